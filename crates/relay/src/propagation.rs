//! Propagation of the route book: from which peer an entry reads a newer version, and
//! when.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnut_book::BookVersion;
use chestnut_port::Distance;
use chestnut_unit::Time;

/// Peers with a newer book that are tracked. Others are ignored: one is enough to read
/// from, and each reports its version again with its next probe.
const MAX_TRACKED_PEERS: usize = 64;
/// Delay from the report of a peer in another failure domain until it is asked: peers in the
/// own domain usually have the version shortly after, and remote traffic costs money.
const REMOTE_DELAY: Duration = Duration::from_millis(100);
/// Backoff of a peer from which a read failed.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Delay after the latest start of a read before a hedged read from another peer: a peer whose
/// link is congested is slow but not lost. A change of 1,400 rules is 21 KB and takes 12 ms on
/// an idle link of 14 Mbit/s.
const HEDGE_DELAY: Duration = Duration::from_millis(400);
/// Reads of the book that may run at once, the hedged one included.
const MAX_READS: usize = 2;

/// The next step towards a newer book: read it from a peer, or wait, with or without a time
/// limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRead {
    /// Read the book from this peer.
    From(SocketAddr),
    /// Check again at this time, or when a peer reports its version.
    WaitUntil(Time),
    /// Wait until a peer reports its version or a read ends.
    Nothing,
}

/// A peer's version of the book that is newer than the own one, the peer's distance, and the
/// earliest time to ask it.
#[derive(Clone, Copy, Debug)]
struct NewerVersion {
    version: BookVersion,
    distance: Distance,
    /// Time before which the peer is not asked.
    not_before: Time,
}

/// The peers that have a newer book than this entry, and the reads under way.
///
/// Every probe and revision poll reports the sender's version, and an entry that puts a
/// new version in force reports it to some members at once, so versions propagate by
/// gossip. An entry that missed one reads it from any member that has it.
///
/// Books can come from any peer, whatever its upstream and the state of the store, since a
/// version that the store accepted stays valid. Lists of leafs must come from the upstream,
/// because stale ones do harm.
#[derive(Clone, Debug, Default)]
pub struct BookPropagation {
    /// The version in force here.
    own_version: BookVersion,
    /// The peers with a newer version.
    ahead: BTreeMap<SocketAddr, NewerVersion>,
    /// Peers that are being read from, and the start of each read.
    reads: BTreeMap<SocketAddr, Time>,
    /// When a version newer than the own one was first reported.
    since: Option<Time>,
}

impl BookPropagation {
    /// Records that `peer` at `distance` has `version`. Returns whether it is newer than the
    /// own version and all that tracked peers reported. A new peer is not tracked if there are
    /// too many; one that has no newer version any more is dropped.
    pub fn reported(
        &mut self,
        peer: SocketAddr,
        version: BookVersion,
        distance: Distance,
        now: Time,
    ) -> bool {
        if version <= self.own_version {
            self.not_newer(peer);
            return false;
        }
        let is_newer = self.newest().is_none_or(|newest| version > newest);
        let delay = match distance {
            Distance::Local => Duration::ZERO,
            Distance::Remote => REMOTE_DELAY,
        };
        let has_capacity = self.ahead.len() < MAX_TRACKED_PEERS;
        if let Some(ahead) = self.ahead.get_mut(&peer) {
            ahead.version = version;
        } else if has_capacity {
            let not_before = now + delay;
            let ahead = NewerVersion {
                version,
                distance,
                not_before,
            };
            self.ahead.insert(peer, ahead);
        }
        self.since.get_or_insert(now);
        is_newer
    }

    /// Records that `version` is in force here, and drops the peers that have no newer one.
    /// Returns the time since the first report of a newer version after this entry was last up
    /// to date; `None` if there was no such report.
    pub fn installed(&mut self, version: BookVersion, now: Time) -> Option<Duration> {
        self.own_version = self.own_version.max(version);
        self.ahead.retain(|_, ahead| ahead.version > version);
        let since = self.since?;
        if self.ahead.is_empty() {
            self.since = None;
        }
        Some(now.since(since))
    }

    /// Records that `peer` has no newer version: it is no longer read from, and if it was the
    /// last one this entry counts as up to date.
    pub fn not_newer(&mut self, peer: SocketAddr) {
        self.ahead.remove(&peer);
        if self.ahead.is_empty() {
            self.since = None;
        }
    }

    /// Records that a read from `peer` failed: it is not asked again during a backoff
    /// from `now` on.
    pub fn failed(&mut self, peer: SocketAddr, now: Time) {
        if let Some(ahead) = self.ahead.get_mut(&peer) {
            ahead.not_before = now + FAILURE_BACKOFF;
        }
    }

    /// Records the start of a read from `peer` at `now`, from which the hedge delay counts.
    pub fn read_started(&mut self, peer: SocketAddr, now: Time) {
        self.reads.insert(peer, now);
    }

    /// Records the end of the read from `peer`, successful or not.
    pub fn read_ended(&mut self, peer: SocketAddr) {
        self.reads.remove(&peer);
    }

    /// Returns the next step, without recording it: [`BookPropagation::read_started`] does.
    /// Near peers come first, then newer versions. The random number `draw` breaks ties, so
    /// that entries that learn of a version together don't all ask the same peer.
    #[must_use]
    pub fn next(&self, draw: u64, now: Time) -> NextRead {
        let hedge_at = self.reads.values().max().map(|since| *since + HEDGE_DELAY);
        if self.reads.len() >= MAX_READS {
            return NextRead::Nothing;
        }
        let others = self.ahead.iter();
        let others = others.filter(|(peer, _)| !self.reads.contains_key(peer));
        if let Some(hedge_at) = hedge_at.filter(|hedge_at| now < *hedge_at) {
            return match others.count() {
                0 => NextRead::Nothing,
                _ => NextRead::WaitUntil(hedge_at),
            };
        }
        let ready = others.clone().filter(|(_, ahead)| ahead.not_before <= now);
        let rank = |ahead: &NewerVersion| (ahead.distance, std::cmp::Reverse(ahead.version));
        let best = ready.clone().map(|(_, ahead)| rank(ahead)).min();
        let Some(best) = best else {
            let soonest = others.map(|(_, ahead)| ahead.not_before).min();
            return soonest.map_or(NextRead::Nothing, NextRead::WaitUntil);
        };
        let tied: Vec<&SocketAddr> = ready
            .filter(|(_, ahead)| rank(ahead) == best)
            .map(|(peer, _)| peer)
            .collect();
        let at = (draw % tied.len() as u64) as usize;
        NextRead::From(*tied[at])
    }

    /// Returns the newest version among the tracked peers; `None` if no peer is known to have
    /// a newer one than this entry.
    #[must_use]
    pub fn newest(&self) -> Option<BookVersion> {
        self.ahead.values().map(|ahead| ahead.version).max()
    }

    /// Returns how long before `now` a newer version was first reported; `None` if this entry
    /// is up to date.
    #[must_use]
    pub fn lag(&self, now: Time) -> Option<Duration> {
        self.since.map(|since| now.since(since))
    }
}
