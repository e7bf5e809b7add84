//! The account of the bytes that clients make a process hold.

use std::{collections::BTreeMap, fmt, time::Duration};

use chestnut_unit::{ByteSize, Time};

/// A client of the account, mostly a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(u64);

impl fmt::Display for ClientId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Part of the limit that evictions free beyond what is needed, so that not every byte of a crowd
/// makes one.
const SPARE_DIVISOR: u64 = 16;
/// Least time for which bytes count as held, so that size alone decides among new ones.
const HELD_MIN: Duration = Duration::from_millis(1);

/// Whether bytes fit, and who has to go for them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Whether the bytes were taken. If not, the client that asked is among `evicted`.
    pub granted: bool,
    /// Clients that have to go, which must give back all their bytes.
    pub evicted: Vec<ClientId>,
}

/// What one client makes the process hold.
#[derive(Clone, Copy, Debug)]
struct Held {
    bytes: u64,
    /// Since when it has held any bytes without a break.
    since: Time,
    /// Whether it was told to go.
    evicted: bool,
}

/// The bytes held for each client, in memory that is really taken, and the limit of their sum.
///
/// Bytes of clients that were told to go count until they are given back, but others are granted
/// in their place at once: tasks end within a turn of the runtime.
#[derive(Clone, Debug)]
pub struct Account {
    limit: u64,
    used: u64,
    /// Bytes of clients that were told to go.
    leaving: u64,
    clients: BTreeMap<ClientId, Held>,
    next: u64,
}

impl Account {
    /// Creates an account without clients.
    #[must_use]
    pub fn new(limit: ByteSize) -> Self {
        Self {
            limit: limit.0,
            used: 0,
            leaving: 0,
            clients: BTreeMap::new(),
            next: 0,
        }
    }

    /// Returns the id of a new client. It takes no room until it holds bytes.
    pub fn open(&mut self) -> ClientId {
        self.next += 1;
        ClientId(self.next)
    }

    /// Returns the sum of the bytes held.
    #[must_use]
    pub fn used(&self) -> ByteSize {
        ByteSize(self.used)
    }

    /// Takes `bytes` for a client, and names the clients that have to go if they no longer fit:
    /// first those whose bytes, times how long they have been held, are the most. That may be the
    /// client itself, which then gets nothing. A client that was told to go gets nothing either.
    #[must_use]
    pub fn take(&mut self, client: ClientId, bytes: u64, now: Time) -> Room {
        let held = self.clients.entry(client).or_insert(Held {
            bytes: 0,
            since: now,
            evicted: false,
        });
        if held.evicted {
            return Room::default();
        }
        held.bytes += bytes;
        self.used += bytes;
        let mut room = Room {
            granted: true,
            evicted: Vec::new(),
        };
        if self.used - self.leaving <= self.limit {
            return room;
        }
        let goal = self.limit - self.limit / SPARE_DIVISOR;
        while self.used - self.leaving > goal {
            let Some(worst) = self.worst(now) else {
                break;
            };
            self.evict(worst);
            room.evicted.push(worst);
        }
        if room.evicted.contains(&client) {
            room.granted = false;
            self.give_back(client, bytes);
        }
        room
    }

    /// Returns the client whose bytes, times how long they have been held, are the most, among
    /// those that were not told to go.
    fn worst(&self, now: Time) -> Option<ClientId> {
        let present = self.clients.iter().filter(|(_, held)| !held.evicted);
        let worst = present.max_by_key(|(_, held)| {
            let span = now.since(held.since).max(HELD_MIN);
            u128::from(held.bytes) * span.as_micros()
        });
        worst.map(|(client, _)| *client)
    }

    /// Records that a client has to go: all its bytes are about to be given back.
    fn evict(&mut self, client: ClientId) {
        if let Some(held) = self.clients.get_mut(&client) {
            held.evicted = true;
            self.leaving += held.bytes;
        }
    }

    /// Records that `bytes` of a client are no longer held. A client that holds none any more is
    /// forgotten, and if it was told to go it begins anew.
    pub fn give_back(&mut self, client: ClientId, bytes: u64) {
        let Some(held) = self.clients.get_mut(&client) else {
            return;
        };
        let bytes = bytes.min(held.bytes);
        held.bytes -= bytes;
        self.used -= bytes;
        if held.evicted {
            self.leaving -= bytes;
        }
        if held.bytes == 0 {
            self.clients.remove(&client);
        }
    }
}
