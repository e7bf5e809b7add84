//! Connection pool of one leaf: which connection carries a call, and when
//! another is opened.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::Time;

/// Identifies a connection within its pool; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(u64);

/// How a call gets its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Use this connection.
    Use(ConnId),
    /// Open this connection first.
    Open(ConnId),
    /// Wait for a connection that is already being opened.
    Wait,
    /// The leaf refused a connection just now; the call is not sent.
    Cooldown,
}

/// Time without any answer after which a connection with outstanding calls
/// counts as quiet and is probed. Stragglers seldom take as long.
pub const QUIET_TIMEOUT: Duration = Duration::from_millis(40);
/// Time after a refused connection in which the pool opens no other one.
const REFUSED_COOLDOWN: Duration = Duration::from_millis(100);

/// One connection: whether it is open, its calls in flight, and since when they
/// have had no answer.
#[derive(Clone, Debug)]
struct Conn {
    ready: bool,
    outstanding: u32,
    /// Since when calls have had no answer, abandoned ones included; `None` if
    /// none waits for one.
    quiet_since: Option<Time>,
}

impl Conn {
    /// Whether calls have had no answer for longer than [`QUIET_TIMEOUT`].
    fn is_quiet(&self, now: Time) -> bool {
        self.quiet_since
            .is_some_and(|since| now.since(since) > QUIET_TIMEOUT)
    }
}

/// The connections of this entry to one leaf.
///
/// A connection can go silent without an error while new ones work, for
/// instance when a middlebox drops its state. The pool checks each connection
/// separately, so that the leaf itself isn't evicted: a connection that is
/// quiet while calls are outstanding is avoided, another is opened beside it,
/// and a probe call distinguishes slow from silent. The caller closes a silent
/// connection and fails its calls at once with
/// [`Failure::ConnectionSilent`](crate::Failure::ConnectionSilent). Idle
/// silent connections are found by the connection's own keepalive pings.
#[derive(Clone, Debug)]
pub struct Pool {
    max: usize,
    spare: usize,
    conns: BTreeMap<ConnId, Conn>,
    next_id: u64,
    /// End of the cooldown after a refused connection.
    cooldown_until: Time,
}

impl Pool {
    /// Creates an empty pool. Beyond the first connection, others up to `max`
    /// (at least 1) plus `spare` in all are opened only while all are quiet.
    /// Both together must stay within this entry's share of the leaf's
    /// connections.
    #[must_use]
    pub fn new(max: usize, spare: usize) -> Self {
        Self {
            max: max.max(1),
            spare,
            conns: BTreeMap::new(),
            next_id: 0,
            cooldown_until: Time::ZERO,
        }
    }

    /// Number of connections, open or being opened.
    #[must_use]
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Whether the pool has no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// Changes the limits. Connections above them aren't closed, since calls may
    /// be in flight on them; they stay in the pool until they close by themselves.
    pub fn set_limits(&mut self, max: usize, spare: usize) {
        self.max = max.max(1);
        self.spare = spare;
    }

    /// Connections that are open or being opened.
    #[must_use]
    pub fn ids(&self) -> Vec<ConnId> {
        self.conns.keys().copied().collect()
    }

    /// Selects the connection for a new call: of the open ones, quiet ones last,
    /// that with the fewest outstanding calls. Without an open one it registers
    /// a connection to open, unless one is being opened or the cooldown runs.
    pub fn pick(&mut self, now: Time) -> Pick {
        let best = self
            .conns
            .iter()
            .filter(|(_, conn)| conn.ready)
            .min_by_key(|(id, conn)| (conn.is_quiet(now), conn.outstanding, **id))
            .map(|(id, _)| *id);
        let opening = self.conns.values().any(|conn| !conn.ready);
        match best {
            None if opening => Pick::Wait,
            None if now < self.cooldown_until => Pick::Cooldown,
            None => Pick::Open(self.start_opening()),
            Some(id) => Pick::Use(id),
        }
    }

    /// Checks for quiet connections; to be called [`QUIET_TIMEOUT`] after a call
    /// was sent. Registers and returns a connection to open if all are quiet,
    /// none is being opened, and the limits and the cooldown allow one.
    pub fn check(&mut self, now: Time) -> Option<ConnId> {
        let opening = self.conns.values().any(|conn| !conn.ready);
        let all_quiet = self.conns.values().all(|conn| conn.is_quiet(now));
        if opening || !all_quiet || !self.may_open(now) {
            return None;
        }
        Some(self.start_opening())
    }

    /// Connections that are quiet and have to be probed.
    #[must_use]
    pub fn quiet(&self, now: Time) -> Vec<ConnId> {
        let quiet = self.conns.iter().filter(|(_, conn)| conn.is_quiet(now));
        quiet.map(|(id, _)| *id).collect()
    }

    /// Records the answer to a probe: the connection is slow, not silent, and
    /// counts as quiet again only [`QUIET_TIMEOUT`] after `now`.
    pub fn probe_answered(&mut self, id: ConnId, now: Time) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.quiet_since = (conn.outstanding > 0).then_some(now);
        }
    }

    /// Records that a connection is open, so that calls can use it.
    pub fn opened(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.ready = true;
        }
    }

    /// Removes a connection that could not be opened and starts the cooldown.
    pub fn refused(&mut self, id: ConnId, now: Time) {
        self.conns.remove(&id);
        self.cooldown_until = now + REFUSED_COOLDOWN;
    }

    /// Removes a connection that was closed.
    pub fn closed(&mut self, id: ConnId) {
        self.conns.remove(&id);
    }

    /// Records that a call was sent on a connection.
    pub fn sent(&mut self, id: ConnId, now: Time) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.outstanding += 1;
            conn.quiet_since.get_or_insert(now);
        }
    }

    /// Records that a call was answered; the connection is no longer quiet.
    pub fn answered(&mut self, id: ConnId, now: Time) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.outstanding = conn.outstanding.saturating_sub(1);
        }
        self.probe_answered(id, now);
    }

    /// Records that a call was abandoned without an answer. The connection
    /// stays quiet, since the end of the wait proves nothing about it.
    pub fn abandoned(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.outstanding = conn.outstanding.saturating_sub(1);
        }
    }

    /// Whether the limits and the cooldown allow another connection.
    fn may_open(&self, now: Time) -> bool {
        self.conns.len() < self.max + self.spare && now >= self.cooldown_until
    }

    /// Registers a connection that is being opened and returns its new id.
    fn start_opening(&mut self) -> ConnId {
        let id = ConnId(self.next_id);
        self.next_id += 1;
        let conn = Conn {
            ready: false,
            outstanding: 0,
            quiet_since: None,
        };
        self.conns.insert(id, conn);
        id
    }
}
