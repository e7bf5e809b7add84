//! TCP options of connections to back ends and callers.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Keep-alive settings that bound the time until a dead peer is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Longest time that sent bytes may stay unacknowledged
    /// (`TCP_USER_TIMEOUT`).
    pub unacked: Duration,
    /// Idle time before the first keep-alive probe, and interval between
    /// probes.
    pub probe: Duration,
    /// Unanswered probes after which the connection is closed.
    pub probes: u32,
}

impl Default for Silence {
    /// Detects a dead peer on an idle connection within about three seconds.
    /// The kernel sends the probes, so no calls are needed for it.
    fn default() -> Self {
        Self {
            unacked: Duration::from_secs(2),
            probe: Duration::from_secs(1),
            probes: 2,
        }
    }
}

impl Silence {
    /// Sets these options and `TCP_NODELAY` on a connection.
    ///
    /// # Errors
    ///
    /// Fails if the operating system rejects an option.
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
