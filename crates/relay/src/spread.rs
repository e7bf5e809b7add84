//! Which peers have a newer book than this entry, and since when.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnut_book::BookVersion;
use chestnut_unit::Time;

/// Peers of which it is kept that they have a newer book. Past it the others are
/// passed over: one is enough to read from, and each tells again with its next probe.
const HOLDERS_MAX: usize = 64;

/// What other entries told of their books.
///
/// A version that the store has taken is in force for good. Whoever has it may
/// tell it and pass it on, whatever became of the store since.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    /// Peers with a newer book than the own one.
    holders: BTreeMap<SocketAddr, BookVersion>,
    /// Since when a newer one is known of.
    since: Option<Time>,
}

impl Spread {
    /// Takes it that `peer` has `version` while this entry has `own`. Tells whether it
    /// is newer than what was known of.
    pub fn told(
        &mut self,
        peer: SocketAddr,
        version: BookVersion,
        own: BookVersion,
        now: Time,
    ) -> bool {
        if version <= own {
            self.holders.remove(&peer);
            return false;
        }
        let newest = self.newest();
        if self.holders.len() < HOLDERS_MAX || self.holders.contains_key(&peer) {
            self.holders.insert(peer, version);
        }
        self.since.get_or_insert(now);
        newest.is_none_or(|newest| version > newest)
    }

    /// Takes it that `version` is in force here. Tells for how long a newer one had
    /// been known of.
    pub fn taken(&mut self, version: BookVersion, now: Time) -> Option<Duration> {
        self.holders.retain(|_, held| *held > version);
        let since = self.since?;
        if self.holders.is_empty() {
            self.since = None;
        }
        Some(now.since(since))
    }

    /// The newest version that a peer told of, if it is newer than the own one.
    #[must_use]
    pub fn newest(&self) -> Option<BookVersion> {
        self.holders.values().max().copied()
    }

    /// For how long a newer version has been known of.
    #[must_use]
    pub fn behind(&self, now: Time) -> Option<Duration> {
        self.since.map(|since| now.since(since))
    }
}
