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
    /// Use this connection, and open another in the background, since this one
    /// looks silent.
    UseAndOpen {
        /// To use now.
        now: ConnId,
        /// To open.
        open: ConnId,
    },
    /// Open this connection first.
    Open(ConnId),
    /// Wait for a connection that is being opened.
    Wait,
    /// The leaf has just refused a connection; the call is not sent.
    Down,
}

/// Calls in a row that a connection may leave unanswered before it counts as
/// silent. One may be a straggler; two in a row on one connection, while the
/// service answers elsewhere, seldom are.
const MISSES_MAX: u32 = 2;
/// How long a leaf is not tried again after it refused a connection.
const DOWN_REST: Duration = Duration::from_millis(100);
/// Time without any answer, calls being unanswered, after which a silent
/// connection is closed.
const SILENT_MAX: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Conn {
    ready: bool,
    outstanding: u32,
    missed: u32,
    heard: Time,
}

/// The connections of this entry to one leaf.
///
/// A connection can go silent for good while new ones work, when something
/// between the ends has lost track of it. No error ever comes; calls on it
/// just don't answer. The pool judges each connection by itself, so that the
/// leaf keeps its place in the routing: a connection that leaves calls
/// unanswered is avoided, another is opened beside it within the limit, and it
/// is closed when it has been silent for a second.
#[derive(Clone, Debug)]
pub struct Pool {
    most: usize,
    conns: BTreeMap<ConnId, Conn>,
    next: u64,
    down: Time,
}

impl Pool {
    /// A pool of at most `most` connections.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            most: most.max(1),
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
    pub fn set_most(&mut self, most: usize) {
        self.most = most.max(1);
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
            .min_by_key(|(id, conn)| (conn.missed >= MISSES_MAX, conn.outstanding, **id))
            .map(|(id, conn)| (*id, conn.missed >= MISSES_MAX));
        let opening = self.conns.values().any(|conn| !conn.ready);
        match best {
            None if opening => Pick::Wait,
            None if now < self.down => Pick::Down,
            None => Pick::Open(self.begin(now)),
            Some((id, true)) if !opening && self.may_open(now) => Pick::UseAndOpen {
                now: id,
                open: self.begin(now),
            },
            Some((id, _)) => Pick::Use(id),
        }
    }

    /// A connection is open.
    pub fn opened(&mut self, id: ConnId, now: Time) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.ready = true;
            conn.heard = now;
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
    pub fn sent(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.outstanding += 1;
        }
    }

    /// A call was answered.
    pub fn answered(&mut self, id: ConnId, now: Time) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.outstanding = conn.outstanding.saturating_sub(1);
            conn.missed = 0;
            conn.heard = now;
        }
    }

    /// A call ended without an answer. Returns whether the connection has to
    /// be closed.
    pub fn missed(&mut self, id: ConnId, now: Time) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else {
            return false;
        };
        conn.outstanding = conn.outstanding.saturating_sub(1);
        conn.missed += 1;
        let silent = conn.missed >= MISSES_MAX && now.since(conn.heard) >= SILENT_MAX;
        if silent {
            self.conns.remove(&id);
        }
        silent
    }

    fn may_open(&self, now: Time) -> bool {
        self.conns.len() < self.most && now >= self.down
    }

    fn begin(&mut self, now: Time) -> ConnId {
        let id = ConnId(self.next);
        self.next += 1;
        let conn = Conn {
            ready: false,
            outstanding: 0,
            missed: 0,
            heard: now,
        };
        self.conns.insert(id, conn);
        id
    }
}
