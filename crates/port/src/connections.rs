//! The open connections of a server, and which of them closes for a new one.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use chestnut_unit::lock;
use tokio::time::Instant;

use crate::{Client, ClientLoss, memory::Charge};

/// Least time without a request after which a connection is closed for a new one. Callers that
/// come at the same time would otherwise drive out each other.
const QUIET_MIN: Duration = Duration::from_secs(1);
/// Part of the connections by which the limit may be exceeded while others close, as a divisor.
const EXCESS_DIVISOR: usize = 16;

/// The open connections of a server.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    /// By number, in the order in which they were opened.
    list: Mutex<BTreeMap<u64, Arc<Conn>>>,
}

/// An open connection, and what it is doing.
#[derive(Debug)]
pub(crate) struct Conn {
    pub(crate) client: Client,
    phase: Mutex<Phase>,
    /// What its read buffer takes while that may be large.
    buffer: Mutex<Charge>,
}

impl Connections {
    /// Returns how many connections are open.
    pub(crate) fn count(&self) -> usize {
        lock(&self.list).len()
    }

    /// Returns whether a further connection may be opened where `most` may be open. Tells the
    /// quietest one to go if need be.
    ///
    /// Clients that connect and send nothing, or stop within a request, would otherwise take all
    /// connections, and all others would be turned away.
    pub(crate) fn make_room(&self, most: usize, now: Instant) -> bool {
        let list = lock(&self.list);
        if list.len() < most {
            return true;
        }
        if list.len() > most + most / EXCESS_DIVISOR {
            return false;
        }
        let quiet = list
            .values()
            .filter_map(|conn| Some((conn.quiet_since()?, conn)));
        let quietest = quiet.min_by_key(|(since, _)| *since);
        let Some((_, conn)) = quietest.filter(|(since, _)| now >= *since + QUIET_MIN) else {
            return false;
        };
        conn.client.evict(ClientLoss::Quiet);
        true
    }
}

impl Conn {
    /// Returns since when the connection has done nothing for a whole request; none if one runs,
    /// or if the connection is about to close.
    fn quiet_since(&self) -> Option<Instant> {
        let phase = *lock(&self.phase);
        let since = match phase {
            Phase::Idle(since) | Phase::Head(since) => since,
            Phase::Busy(since) => Some(since).filter(|_| self.client.is_receiving())?,
        };
        (!self.client.is_evicted()).then_some(since)
    }
}

/// Keeps a connection among those that are open until dropped.
pub(crate) struct OpenGuard {
    open: Arc<Connections>,
    number: u64,
    pub(crate) conn: Arc<Conn>,
}

impl OpenGuard {
    /// Adds a connection to `open`.
    pub(crate) fn new(open: &Arc<Connections>, client: Client) -> Self {
        let conn = Arc::new(Conn {
            buffer: Mutex::new(client.charge()),
            client,
            phase: Mutex::new(Phase::Idle(Instant::now())),
        });
        let mut list = lock(&open.list);
        let number = list.last_key_value().map_or(0, |(last, _)| last + 1);
        list.insert(number, conn.clone());
        drop(list);
        Self {
            open: open.clone(),
            number,
            conn,
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        lock(&self.open.list).remove(&self.number);
    }
}
/// What a connection is doing, which selects its timeout: idle, receiving a head or busy.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Phase {
    /// Between requests, since this time.
    Idle(Instant),
    /// Receiving a request head, since this time.
    Head(Instant),
    /// Serving a request that began at this time, including reading its body; reads have no
    /// timeout.
    Busy(Instant),
}

impl Conn {
    pub(crate) fn phase(&self) -> Phase {
        *lock(&self.phase)
    }

    pub(crate) fn set_phase(&self, to: Phase) {
        *lock(&self.phase) = to;
    }

    /// Changes what the read buffer is taken to hold. If there is no room, the client has to go,
    /// and its connection ends.
    pub(crate) fn charge_buffer(&self, bytes: usize) {
        let _ = lock(&self.buffer).resize(bytes);
    }

    /// Records that a whole head has come.
    pub(crate) fn begin_request(&self) {
        let mut phase = lock(&self.phase);
        let (Phase::Idle(since) | Phase::Head(since) | Phase::Busy(since)) = *phase;
        *phase = Phase::Busy(since);
    }
}
