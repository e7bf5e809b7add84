//! The HTTP servers of an entry.

use std::{io, net::SocketAddr, time::Duration};

use chestnut_port::Memory;
use tokio::{sync::watch, task::JoinHandle, time::Instant};

use crate::{
    callers, operators,
    tier::Tier,
    web::{self, WebLimits},
};

/// Time after the last answer in which connections may still send theirs.
const SEND_TIME: Duration = Duration::from_secs(1);
/// Maximum number of open operator connections.
const MAX_OPERATOR_CONNECTIONS: usize = 256;
/// Largest body of an edit in bytes, the size limit of the platform's objects.
const MAX_EDIT_BYTES: usize = 1 << 20;

/// The HTTP servers of a [`Tier`], for callers and operators. Dropping it closes
/// all connections at once; [`HttpServers::close`] lets each finish its request.
pub struct HttpServers {
    callers: SocketAddr,
    operators: SocketAddr,
    shutdown: watch::Sender<Option<Instant>>,
    servers: Vec<JoinHandle<()>>,
}

impl HttpServers {
    /// Binds the addresses in the tier's settings and starts the servers.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn bind(tier: &Tier) -> io::Result<Self> {
        let settings = &tier.shared.settings;
        let callers = web::bind(settings.listen.callers).await?;
        let operators = web::bind(settings.listen.operators).await?;
        let limits = WebLimits {
            memory: Memory::new(settings.limits.memory, tier.shared.runtime.clock),
            body: settings.limits.body.0 as usize,
            headers: settings.limits.headers,
            request_timeout: settings.limits.patience,
            connections: settings.limits.connections,
        };
        let operator_limits = WebLimits {
            body: MAX_EDIT_BYTES,
            connections: MAX_OPERATOR_CONNECTIONS,
            ..limits.clone()
        };
        let (shutdown, shutdown_rx) = watch::channel(None);
        let mut http = Self {
            callers: callers.local_addr()?,
            operators: operators.local_addr()?,
            shutdown,
            servers: Vec::new(),
        };
        let caller_tier = tier.clone();
        let handler_limits = limits.clone();
        let caller_server = web::serve(callers, limits, shutdown_rx.clone(), move |request| {
            callers::handle(caller_tier.clone(), handler_limits.clone(), request)
        });
        http.servers.push(tokio::spawn(caller_server));
        let operator_tier = tier.clone();
        let handler_limits = operator_limits.clone();
        let operator_server = web::serve(operators, operator_limits, shutdown_rx, move |request| {
            operators::handle(operator_tier.clone(), handler_limits.clone(), request)
        });
        http.servers.push(tokio::spawn(operator_server));
        Ok(http)
    }

    /// The bound address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// The bound address for operators.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Stops accepting connections and waits until each open one has finished its request, but
    /// no longer than [`SEND_TIME`] after `end`, when every request is answered.
    pub async fn close(mut self, end: Instant) {
        self.shutdown.send_replace(Some(end + SEND_TIME));
        for server in std::mem::take(&mut self.servers) {
            // A server that panicked has no connections left to close.
            let _ = server.await;
        }
    }
}

impl Drop for HttpServers {
    fn drop(&mut self) {
        for server in &self.servers {
            server.abort();
        }
    }
}
