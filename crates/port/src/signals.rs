//! The signals by which a process is told to stop or to read its settings again.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receivers of the signals that a daemon handles.
#[derive(Debug)]
pub struct Signals {
    /// SIGTERM: stop by plan.
    pub terminate: Signal,
    /// SIGINT: the same, from a terminal.
    pub interrupt: Signal,
    /// SIGHUP: read the settings again.
    pub hangup: Signal,
}

impl Signals {
    /// Waits for a signal to stop.
    pub async fn stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Handles the signals from now on, in place of their default actions.
    ///
    /// # Errors
    ///
    /// The process can't handle signals.
    pub fn open() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}
