//! From which peer an entry reads a newer book, and when.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnut_book::BookVersion;
use chestnut_port::Distance;
use chestnut_unit::Time;

/// Peers of which it is kept that they have a newer book. Past it the others are
/// passed over: one is enough to read from, and each tells again with its next probe.
const AHEAD_MAX: usize = 64;
/// How long peers of the own failure domain are waited for before one of another domain
/// is asked. They mostly have the version some milliseconds later, and bytes between
/// domains are paid for.
const FAR_REST: Duration = Duration::from_millis(100);
/// How long a peer that did not answer is not asked again.
const BAD_SPAN: Duration = Duration::from_secs(1);

/// How long a reading may take before another peer is asked beside it. A peer whose link
/// is full is slow and not lost, and others may have room; a change of 1,400 routes is
/// 21 KB and takes 12 ms on a link of 14 Mbit/s that is free.
const SLOW: Duration = Duration::from_millis(400);
/// Readings under way at once.
const READINGS: usize = 2;

/// What to do about a newer book.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pull {
    /// Read it from this peer.
    From(SocketAddr),
    /// Look again then, or when a peer tells of its book.
    Rest(Time),
    /// Nothing, until a peer tells of its book or a reading ends.
    Nothing,
}

#[derive(Clone, Copy, Debug)]
struct Ahead {
    version: BookVersion,
    distance: Distance,
    /// From when on it may be asked.
    from: Time,
}

/// Which peers have a newer book than this entry.
///
/// A version that the store has taken is in force for good, so whoever has it may pass
/// it on, whatever became of the store or of what that peer follows. Every probe and
/// pulse tells the sender's version, and whoever takes a new one tells some members at
/// once: a change goes from entry to entry, and one that was missed reads it from any
/// member that it meets.
///
/// Unlike lists of leafs, of which old news does harm, books need no upstream. If they
/// came from it alone, entries that have a version would keep it from others that ask,
/// because they follow another one or have lost the store.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    own: BookVersion,
    ahead: BTreeMap<SocketAddr, Ahead>,
    /// Peers that are being read from, and since when.
    readings: BTreeMap<SocketAddr, Time>,
    /// Since when a newer version than the own one is known of.
    since: Option<Time>,
}

impl Spread {
    /// Takes it that `peer` has `version`. Tells whether it is newer than all that was
    /// known of.
    pub fn told(
        &mut self,
        peer: SocketAddr,
        version: BookVersion,
        distance: Distance,
        now: Time,
    ) -> bool {
        if version <= self.own {
            self.lacks(peer);
            return false;
        }
        let news = self.newest().is_none_or(|newest| version > newest);
        let rest = match distance {
            Distance::Near => Duration::ZERO,
            Distance::Far => FAR_REST,
        };
        let room = self.ahead.len() < AHEAD_MAX;
        if let Some(ahead) = self.ahead.get_mut(&peer) {
            ahead.version = version;
        } else if room {
            let from = now + rest;
            let ahead = Ahead {
                version,
                distance,
                from,
            };
            self.ahead.insert(peer, ahead);
        }
        self.since.get_or_insert(now);
        news
    }

    /// Takes it that `version` is in force here. Tells for how long a newer one had
    /// been known of.
    pub fn taken(&mut self, version: BookVersion, now: Time) -> Option<Duration> {
        self.own = self.own.max(version);
        self.ahead.retain(|_, ahead| ahead.version > version);
        let since = self.since?;
        if self.ahead.is_empty() {
            self.since = None;
        }
        Some(now.since(since))
    }

    /// Takes it that `peer` has no newer version after all.
    pub fn lacks(&mut self, peer: SocketAddr) {
        self.ahead.remove(&peer);
        if self.ahead.is_empty() {
            self.since = None;
        }
    }

    /// Takes it that `peer` did not pass on what it told of.
    pub fn failed(&mut self, peer: SocketAddr, now: Time) {
        if let Some(ahead) = self.ahead.get_mut(&peer) {
            ahead.from = now + BAD_SPAN;
        }
    }

    /// Takes it that a reading from `peer` begins.
    pub fn begun(&mut self, peer: SocketAddr, now: Time) {
        self.readings.insert(peer, now);
    }

    /// Takes it that the reading from `peer` has ended, well or not.
    pub fn ended(&mut self, peer: SocketAddr) {
        self.readings.remove(&peer);
    }

    /// What to do now. Among peers that are equally good `draw` decides, so that
    /// entries which hear of a version together don't all ask the same peer.
    #[must_use]
    pub fn next(&self, draw: u64, now: Time) -> Pull {
        let slow = self.readings.values().max().map(|since| *since + SLOW);
        if self.readings.len() >= READINGS {
            return Pull::Nothing;
        }
        let others = self.ahead.iter();
        let others = others.filter(|(peer, _)| !self.readings.contains_key(peer));
        if let Some(slow) = slow.filter(|slow| now < *slow) {
            return match others.count() {
                0 => Pull::Nothing,
                _ => Pull::Rest(slow),
            };
        }
        let ready = others.clone().filter(|(_, ahead)| ahead.from <= now);
        let rank = |ahead: &Ahead| (ahead.distance, std::cmp::Reverse(ahead.version));
        let best = ready.clone().map(|(_, ahead)| rank(ahead)).min();
        let Some(best) = best else {
            let soonest = others.map(|(_, ahead)| ahead.from).min();
            return soonest.map_or(Pull::Nothing, Pull::Rest);
        };
        let equal: Vec<&SocketAddr> = ready
            .filter(|(_, ahead)| rank(ahead) == best)
            .map(|(peer, _)| peer)
            .collect();
        let at = (draw % equal.len() as u64) as usize;
        Pull::From(*equal[at])
    }

    /// The newest version that a peer told of, if it is newer than the own one.
    #[must_use]
    pub fn newest(&self) -> Option<BookVersion> {
        self.ahead.values().map(|ahead| ahead.version).max()
    }

    /// For how long a newer version has been known of.
    #[must_use]
    pub fn behind(&self, now: Time) -> Option<Duration> {
        self.since.map(|since| now.since(since))
    }
}
