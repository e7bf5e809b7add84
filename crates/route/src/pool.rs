//! Which connection of one leaf carries a call, and when another is opened.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::Time;

/// Number of a connection within its pool; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(u64);

/// What a call does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Use this connection.
    Use(ConnId),
    /// Open this connection first.
    Open(ConnId),
    /// Wait for a connection that is being opened.
    Wait,
    /// The leaf has just refused a connection; the call is not sent.
    Down,
}

/// How long a connection with calls under way may stay without any answer
/// before it is questioned. Stragglers alone seldom silence a connection that
/// long, and if they do it costs one probe.
pub const PATIENCE: Duration = Duration::from_millis(40);
/// How long a leaf is not tried again after it refused a connection.
const DOWN_REST: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
struct Conn {
    ready: bool,
    outstanding: u32,
    /// Since when calls wait and nothing was heard; `None` while none waits.
    quiet: Option<Time>,
}

impl Conn {
    fn is_quiet(&self, now: Time) -> bool {
        self.quiet.is_some_and(|since| now.since(since) > PATIENCE)
    }
}

/// The connections of this entry to one leaf.
///
/// A connection can go silent for good while new ones work, when something
/// between the ends has lost track of it. No error ever comes; calls on it
/// just don't answer. The pool judges each connection by itself, so that the
/// leaf keeps its place in the routing: one that is quiet while calls wait is
/// avoided, another is opened beside it, and a small call on the quiet one
/// tells slow from silent. A silent one is closed, and its calls are told as
/// cut off at once instead of waiting for their deadlines. The connection's
/// own pings find a silent connection that carries no calls.
#[derive(Clone, Debug)]
pub struct Pool {
    most: usize,
    spare: usize,
    conns: BTreeMap<ConnId, Conn>,
    next: u64,
    down: Time,
}

impl Pool {
    /// A pool of at most `most` connections, and `spare` more while some are
    /// quiet. Both together must stay within this entry's share of the leaf's
    /// connections.
    #[must_use]
    pub fn new(most: usize, spare: usize) -> Self {
        Self {
            most: most.max(1),
            spare,
            conns: BTreeMap::new(),
            next: 0,
            down: Time::ZERO,
        }
    }

    /// Connections open or being opened.
    #[must_use]
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// Changes the most connections. Those above are not closed: calls run on
    /// them; they go as they end.
    pub fn set_most(&mut self, most: usize, spare: usize) {
        self.most = most.max(1);
        self.spare = spare;
    }

    /// The connections, open or being opened.
    #[must_use]
    pub fn ids(&self) -> Vec<ConnId> {
        self.conns.keys().copied().collect()
    }

    /// Decides on a new call.
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
            None if now < self.down => Pick::Down,
            None => Pick::Open(self.begin()),
            Some(id) => Pick::Use(id),
        }
    }

    /// Looks for quiet connections, [`PATIENCE`] after a call went out. Returns
    /// a connection to open beside them, if there is need and room.
    pub fn check(&mut self, now: Time) -> Option<ConnId> {
        let opening = self.conns.values().any(|conn| !conn.ready);
        let all_quiet = self.conns.values().all(|conn| conn.is_quiet(now));
        if opening || !all_quiet || !self.may_open(now) {
            return None;
        }
        Some(self.begin())
    }

    /// The connections that are quiet and have to be probed.
    #[must_use]
    pub fn quiet(&self, now: Time) -> Vec<ConnId> {
        let quiet = self.conns.iter().filter(|(_, conn)| conn.is_quiet(now));
        quiet.map(|(id, _)| *id).collect()
    }

    /// A probe was answered: the connection is slow, not silent.
    pub fn alive(&mut self, id: ConnId, now: Time) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.quiet = (conn.outstanding > 0).then_some(now);
        }
    }

    /// A connection is open.
    pub fn opened(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.ready = true;
        }
    }

    /// A connection could not be opened.
    pub fn refused(&mut self, id: ConnId, now: Time) {
        self.conns.remove(&id);
        self.down = now + DOWN_REST;
    }

    /// A connection has closed.
    pub fn closed(&mut self, id: ConnId) {
        self.conns.remove(&id);
    }

    /// A call goes out on a connection.
    pub fn sent(&mut self, id: ConnId, now: Time) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.outstanding += 1;
            conn.quiet.get_or_insert(now);
        }
    }

    /// A call was answered.
    pub fn answered(&mut self, id: ConnId, now: Time) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.outstanding = conn.outstanding.saturating_sub(1);
        }
        self.alive(id, now);
    }

    /// A call was given up without an answer. The connection stays quiet: that
    /// nobody waits any more proves nothing about it.
    pub fn missed(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.outstanding = conn.outstanding.saturating_sub(1);
        }
    }

    fn may_open(&self, now: Time) -> bool {
        self.conns.len() < self.most + self.spare && now >= self.down
    }

    fn begin(&mut self) -> ConnId {
        let id = ConnId(self.next);
        self.next += 1;
        let conn = Conn {
            ready: false,
            outstanding: 0,
            quiet: None,
        };
        self.conns.insert(id, conn);
        id
    }
}
