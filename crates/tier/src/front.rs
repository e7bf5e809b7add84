//! The HTTP sides of an entry.

use std::{io, net::SocketAddr};

use tokio::{sync::watch, task::JoinHandle};

use crate::{
    admin, edge,
    tier::Tier,
    web::{self, WebLimits},
};

/// Connections that operators may have open.
const OPERATOR_CONNECTIONS: usize = 256;
/// Largest edit: the platform's objects hold up to a megabyte.
const EDIT_MAX: usize = 1 << 20;

/// HTTP before a [`Tier`]. Dropping it closes at once; [`Front::close`] lets
/// each connection finish.
pub struct Front {
    callers: SocketAddr,
    operators: SocketAddr,
    closing: watch::Sender<bool>,
    sides: Vec<JoinHandle<()>>,
}

impl Front {
    /// Binds the addresses in the tier's settings and serves them.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub async fn bind(tier: &Tier) -> io::Result<Self> {
        let settings = &tier.shared.settings;
        let callers = web::bind(settings.listen.callers).await?;
        let operators = web::bind(settings.listen.operators).await?;
        let limits = WebLimits {
            body: settings.limits.body.0 as usize,
            headers: settings.limits.headers,
            patience: settings.limits.patience,
            connections: settings.limits.connections,
        };
        let operator_limits = WebLimits {
            body: EDIT_MAX,
            connections: OPERATOR_CONNECTIONS,
            ..limits
        };
        let (closing, closed) = watch::channel(false);
        let mut front = Self {
            callers: callers.local_addr()?,
            operators: operators.local_addr()?,
            closing,
            sides: Vec::new(),
        };
        let edge_tier = tier.clone();
        let edge = web::serve(callers, limits, closed.clone(), move |request| {
            edge::handle(edge_tier.clone(), limits, request)
        });
        front.sides.push(tokio::spawn(edge));
        let admin_tier = tier.clone();
        let admin = web::serve(operators, operator_limits, closed, move |request| {
            admin::handle(admin_tier.clone(), operator_limits, request)
        });
        front.sides.push(tokio::spawn(admin));
        Ok(front)
    }

    /// Where callers connect.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where operators connect.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Stops accepting and lets each connection finish its request.
    pub async fn close(mut self) {
        self.closing.send_replace(true);
        for side in std::mem::take(&mut self.sides) {
            // A side that panicked has nothing left to close.
            let _ = side.await;
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        for side in &self.sides {
            side.abort();
        }
    }
}
