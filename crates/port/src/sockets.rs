//! TCP options of connections to back ends and callers.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Keep-alive settings that bound the time until a dead peer is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TcpLiveness {
    /// Longest time that sent bytes may stay unacknowledged
    /// (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
    /// Idle time before the first keep-alive probe, and interval between
    /// probes.
    pub probe_interval: Duration,
    /// Unanswered probes after which the connection is closed.
    pub max_probes: u32,
}

impl Default for TcpLiveness {
    /// Detects a dead peer on an idle connection within about three seconds.
    /// The kernel sends the probes, so no calls are needed for it.
    fn default() -> Self {
        Self {
            user_timeout: Duration::from_secs(2),
            probe_interval: Duration::from_secs(1),
            max_probes: 2,
        }
    }
}

impl TcpLiveness {
    /// Sets these options and `TCP_NODELAY` on a connection.
    ///
    /// # Errors
    ///
    /// Fails if the operating system rejects an option.
    pub fn apply(&self, stream: &TcpStream) -> std::io::Result<()> {
        let keepalive = TcpKeepalive::new()
            .with_time(self.probe_interval)
            .with_interval(self.probe_interval)
            .with_retries(self.max_probes);
        let socket = SockRef::from(stream);
        stream.set_nodelay(true)?;
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(self.user_timeout))
    }
}
