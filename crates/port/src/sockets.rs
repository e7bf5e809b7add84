//! Options of the sockets to back ends and callers.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How soon a silent peer is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Longest time that sent bytes may stay unacknowledged.
    pub unacked: Duration,
    /// Quiet time before the first keep-alive probe, and time between probes.
    pub probe: Duration,
    /// Probes without an answer that close the connection.
    pub probes: u32,
}

impl Default for Silence {
    /// About three seconds in all, for connections that wait. The kernel sends
    /// the probes, so that a connection that is silent for good is found
    /// without calls of our own.
    fn default() -> Self {
        Self {
            unacked: Duration::from_secs(2),
            probe: Duration::from_secs(1),
            probes: 2,
        }
    }
}

impl Silence {
    /// Sets the options of a connection.
    ///
    /// # Errors
    ///
    /// The system refuses one of them.
    pub fn apply(&self, stream: &TcpStream) -> std::io::Result<()> {
        let keepalive = TcpKeepalive::new()
            .with_time(self.probe)
            .with_interval(self.probe)
            .with_retries(self.probes);
        let socket = SockRef::from(stream);
        stream.set_nodelay(true)?;
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(self.unacked))
    }
}
