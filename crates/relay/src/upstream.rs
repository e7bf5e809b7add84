//! The choice of an entry's upstream: the store, or another entry that watches the store.

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use chestnut_fleet::Member;
use chestnut_unit::Time;
use displaydoc::Display;

use crate::ranking::Ranking;

/// Backoff of a peer that did not answer, once this entry has run for [`SLOW_SEED_WAIT`]; also
/// of a peer that has lost the store while the store still answers this entry.
const FAILURE_BACKOFF: Duration = Duration::from_secs(5);
/// Lifetime of a peer's report that it has lost the store, or of a redirect to another
/// peer.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Time for which an answer of the store to this entry outweighs a peer's report that
/// the store is lost: two revision polls.
const OWN_ANSWER_PRECEDENCE: Duration = Duration::from_secs(2);
/// Time after an answer of the store for which an entry passes on updates: three
/// revision polls, longer than a partitioned entry needs to notice.
const STORE_ANSWER_TTL: Duration = Duration::from_secs(3);
/// Backoff of a peer that is not ready, or redirected this entry to an unusable peer.
const REDIRECT_BACKOFF: Duration = Duration::from_millis(300);
/// Time for which a peer counts as having lost the store because its upstream has: one
/// revision poll, with which the peer notices and changes its upstream.
const INFERRED_LOSS_TTL: Duration = Duration::from_secs(1);
/// Peers that must have lost the store before it counts as lost for all; a single one
/// may be partitioned from it.
const LOST_QUORUM: usize = 2;
/// Least time that a starting entry asks the seeds before it asks the store. It is short,
/// so that entries can serve if the seeds are the last to restart after a power loss.
const MIN_SEED_WAIT: Duration = Duration::from_millis(30);
/// Upper end of that time, which varies by entry so that calls to the store are spread out.
const MAX_SEED_WAIT: Duration = Duration::from_millis(120);
/// Least weight, in calls per second, of an entry that asks the store after at most
/// [`MAX_SEED_WAIT`]. Lighter ones are many and rarely serve callers, so they wait for
/// [`SLOW_SEED_WAIT`] to keep calls to the store few. 1,500 calls are a hundred requests over
/// fifteen shards.
const FAST_WEIGHT: u32 = 1500;
/// Time that lighter entries ask the seeds before the store.
const SLOW_SEED_WAIT: Duration = Duration::from_millis(400);
/// Backoff of a peer that did not answer or is not ready, during [`SLOW_SEED_WAIT`] from the
/// start.
const SEED_BACKOFF: Duration = Duration::from_millis(25);
/// Time after the start for which an entry keeps the peer that answered it. With an incomplete
/// view of the members, many would rank themselves first in their domain. At 90 entries it
/// takes about three seconds until the view is complete.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// The source from which an entry receives updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// The store itself.
    Store,
    /// Another entry, which watches the store.
    Peer(SocketAddr),
}

/// The reason for the choice of an upstream; each text is a value in the log.
// The variant names are metric labels.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
pub enum Cause {
    /// it starts and asks the seeds, or the store after them
    #[default]
    Starts,
    /// it has started and stays with the peer that answered
    Stays,
    /// it watches the store for its failure domain
    Watches,
    /// the watcher of its failure domain is no use, and it is the second
    TakesOver,
    /// that is the first watcher that is of use
    Follows,
    /// the peer that it asked hears of changes from there
    Sent,
    /// the store did not answer it
    Deaf,
    /// the watchers have lost the store, and it waits for them
    Waits,
    /// no watcher is of use
    Nobody,
}

impl fmt::Display for Upstream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("the store"),
            Self::Peer(peer) => peer.fmt(f),
        }
    }
}

/// Chooses an entry's upstream, from the backoffs of peers and store, the peers that have lost
/// the store, the last peer that answered, redirects, and the last answer of the store.
///
/// The entry with the greatest weight in each failure domain watches the store and passes
/// on updates. The others receive updates from it, from the second in the domain, or from
/// the first of another domain, so that the load on the store grows with the failure
/// domains and not with the entries. Entries that don't watch the store pass on nothing and
/// redirect to their upstream; otherwise two could follow each other and receive nothing.
///
/// While the store is lost, followers wait for the watchers; if all turned to the store,
/// they would overload it as it recovers. They wait only if two watchers have lost the
/// store and none is usable, as a single one may be partitioned. A watcher that has lost
/// the store asks those of other domains and redirects its followers.
#[derive(Clone, Debug, Default)]
pub struct UpstreamSelector {
    /// Peers in backoff, and the end of each backoff.
    backoffs: BTreeMap<SocketAddr, Time>,
    /// Peers that have lost the store, and the time at which each report expires.
    lost: BTreeMap<SocketAddr, Time>,
    /// The peer that answered most recently.
    current: Option<SocketAddr>,
    /// The peer that this entry was redirected to, and the time at which that expires.
    redirect: Option<(SocketAddr, Time)>,
    /// End of the backoff of the store, after it did not answer this entry.
    store_backoff: Option<Time>,
    /// Time of the store's last answer to this entry; none after a failure, or before the first.
    last_answer: Option<Time>,
    /// Reason for the last choice.
    cause: Cause,
}

impl UpstreamSelector {
    /// Records that a peer did not answer, which starts its backoff; `age` is the time since
    /// this entry started.
    pub fn failed(&mut self, peer: SocketAddr, age: Duration, now: Time) {
        let backoff = if age < SLOW_SEED_WAIT {
            SEED_BACKOFF
        } else {
            FAILURE_BACKOFF
        };
        self.back_off(peer, now + backoff);
    }

    /// Records that a peer has nothing to pass on to an entry that starts, since it may be
    /// starting too; `age` is the time since this entry started.
    pub fn not_ready(&mut self, peer: SocketAddr, age: Duration, now: Time) {
        let backoff = match age < SLOW_SEED_WAIT {
            true => SEED_BACKOFF,
            false => REDIRECT_BACKOFF,
        };
        self.back_off(peer, now + backoff);
    }

    /// Records that a peer answered: it becomes the current one, and has the store again.
    pub fn answered(&mut self, peer: SocketAddr) {
        self.lost.remove(&peer);
        self.current = Some(peer);
    }

    /// Records that a peer has lost the store, which holds for a few seconds. If the store has just
    /// answered this entry, the peer counts as failed instead.
    pub fn lost(&mut self, peer: SocketAddr, now: Time) {
        self.clear_current(peer);
        match self
            .last_answer
            .is_some_and(|at| now.since(at) < OWN_ANSWER_PRECEDENCE)
        {
            true => self.backoffs.insert(peer, now + FAILURE_BACKOFF),
            false => self.lost.insert(peer, now + REPORT_TTL),
        };
    }

    /// Records that `peer` redirected this entry, whose address is `own`, to `to`, which is then
    /// preferred for a few seconds. If `to` is unusable or `own`, `peer` goes into backoff.
    ///
    /// If `to` has lost the store, `peer` has lost it too and will notice. Were `peer` only
    /// put into backoff, the quorum would be missed and all entries would ask the store.
    pub fn redirected(&mut self, peer: SocketAddr, to: SocketAddr, own: SocketAddr, now: Time) {
        if to != own && self.is_lost(to) {
            self.clear_current(peer);
            self.lost.insert(peer, now + INFERRED_LOSS_TTL);
        } else if to == own || !self.is_usable(to) {
            self.back_off(peer, now + REDIRECT_BACKOFF);
        } else {
            self.redirect = Some((to, now + REPORT_TTL));
        }
    }

    /// Records that the store answered this entry at `now`.
    pub fn store_answered(&mut self, now: Time) {
        self.last_answer = Some(now);
    }

    /// Returns whether the store answered this entry recently, so that it may pass on
    /// updates.
    ///
    /// The last answer counts, not the upstream: an entry that briefly checks whether its
    /// peers have the store again would otherwise report that it has lost the store.
    #[must_use]
    pub fn is_store_fresh(&self, now: Time) -> bool {
        self.last_answer
            .is_some_and(|at| now.since(at) < STORE_ANSWER_TTL)
    }

    /// Records that the store did not answer this entry, which asks peers until `until`.
    pub fn store_failed(&mut self, until: Time) {
        self.store_backoff = Some(until);
        self.last_answer = None;
    }

    /// Returns whether the store is in backoff, as it did not answer this entry. A backoff ends
    /// with the next [`UpstreamSelector::choose`] after its time.
    #[must_use]
    pub fn is_store_in_backoff(&self) -> bool {
        self.store_backoff.is_some()
    }

    /// Records that the store answers this entry although its peers have lost it; those
    /// peers go into backoff.
    pub fn store_reachable_again(&mut self, now: Time) {
        for (peer, _) in std::mem::take(&mut self.lost) {
            self.backoffs.insert(peer, now + FAILURE_BACKOFF);
        }
    }

    /// Returns whether `peer` was the last to answer. Others are redirected only to such a
    /// peer, or entries in search of an upstream would redirect each other in circles.
    #[must_use]
    pub fn is_current(&self, peer: SocketAddr) -> bool {
        self.current == Some(peer)
    }

    /// Returns whether a peer has lost the store, by a report that had not expired at the last
    /// [`UpstreamSelector::choose`].
    #[must_use]
    pub fn is_lost(&self, peer: SocketAddr) -> bool {
        self.lost.contains_key(&peer)
    }

    /// Returns whether a peer is neither in backoff nor has lost the store.
    fn is_usable(&self, peer: SocketAddr) -> bool {
        !self.backoffs.contains_key(&peer) && !self.lost.contains_key(&peer)
    }

    /// Starts the backoff of a peer, which is no longer the current one.
    fn back_off(&mut self, peer: SocketAddr, until: Time) {
        self.clear_current(peer);
        self.backoffs.insert(peer, until);
    }

    /// Clears the current peer if it is `peer`.
    fn clear_current(&mut self, peer: SocketAddr) {
        self.current = self.current.filter(|current| *current != peer);
    }

    /// Chooses the upstream of `own`, which started `age` ago, among the store, the known
    /// members `others` and the seeds. Expires backoffs and reports, and keeps the reason.
    pub fn choose<'a>(
        &mut self,
        own: &'a Member,
        others: impl Iterator<Item = &'a Member>,
        seeds: &[SocketAddr],
        age: Duration,
        now: Time,
    ) -> Upstream {
        self.backoffs.retain(|_, until| now < *until);
        self.lost.retain(|_, until| now < *until);
        self.store_backoff = self.store_backoff.filter(|until| now < *until);
        let ranking = Ranking::new(own, others);
        let (upstream, cause) = self.decide(own, &ranking, seeds, age, now);
        self.cause = cause;
        upstream
    }

    /// Returns the reason for the last choice; [`Cause::Starts`] before the first.
    #[must_use]
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// Chooses the upstream and its reason by the ranking, without expiring or changing what is
    /// recorded.
    fn decide(
        &self,
        own: &Member,
        ranking: &Ranking,
        seeds: &[SocketAddr],
        age: Duration,
        now: Time,
    ) -> (Upstream, Cause) {
        let is_seed = seeds.contains(&own.addresses.peers);
        let watches = match age < SETTLE_TIME {
            true => is_seed,
            false => ranking.own_rank == Some(0),
        };
        if watches && self.store_backoff.is_none() {
            return (Upstream::Store, Cause::Watches);
        }
        let redirect = self.redirect.filter(|(_, until)| now < *until);
        let current = self.current.filter(|_| age < SETTLE_TIME);
        let redirect = redirect.map(|(peer, _)| (peer, Cause::Sent));
        let recent = redirect.or(current.map(|peer| (peer, Cause::Stays)));
        if let Some((peer, cause)) = recent.filter(|(peer, _)| self.is_usable(*peer)) {
            return (Upstream::Peer(peer), cause);
        }
        let watchers = ranking.watchers();
        let alone = ranking.local.len() <= 1;
        let fallback = (Upstream::Store, Cause::Nobody);
        match ranking.own_rank {
            _ if self.store_backoff.is_some() => {
                let own = own.addresses.peers;
                let seeds: Vec<SocketAddr> = seeds.iter().copied().filter(|s| *s != own).collect();
                let peer = self
                    .first_usable(&watchers)
                    .or_else(|| self.first_usable(&seeds));
                peer.map_or(fallback, |peer| (Upstream::Peer(peer), Cause::Deaf))
            }
            _ if alone => (self.seed_upstream(own, seeds, age), Cause::Starts),
            Some(0) => (Upstream::Store, Cause::Watches),
            Some(1) if !self.is_usable(ranking.local[0]) => (Upstream::Store, Cause::TakesOver),
            _ => {
                let follows = self
                    .first_usable(&watchers)
                    .map(|peer| (peer, Cause::Follows));
                let waits = || self.find_lost(&watchers).map(|peer| (peer, Cause::Waits));
                let choice = follows.or_else(waits);
                choice.map_or(fallback, |(peer, cause)| (Upstream::Peer(peer), cause))
            }
        }
    }

    /// Returns the first usable peer of `watchers`; `None` if all are in backoff or have lost
    /// the store.
    fn first_usable(&self, watchers: &[SocketAddr]) -> Option<SocketAddr> {
        let peer = watchers.iter().find(|peer| self.is_usable(**peer));
        peer.copied()
    }

    /// Returns the first of `watchers` that has lost the store; `None` unless [`LOST_QUORUM`] of
    /// them have.
    fn find_lost(&self, watchers: &[SocketAddr]) -> Option<SocketAddr> {
        let mut lost = watchers.iter().filter(|peer| self.is_lost(**peer));
        let enough = lost.clone().count() >= LOST_QUORUM;
        lost.next().copied().filter(|_| enough)
    }

    /// Chooses the upstream of an entry that knows at most one live entry in its domain, usually
    /// itself: a seed until [`seed_wait`] is over, then the store.
    fn seed_upstream(&self, own: &Member, seeds: &[SocketAddr], age: Duration) -> Upstream {
        if age >= seed_wait(own) {
            return Upstream::Store;
        }
        match self.pick_seed(own, seeds) {
            // No seed answers yet; the seeds may be starting together with this entry.
            Upstream::Store => seeds
                .first()
                .map_or(Upstream::Store, |s| Upstream::Peer(*s)),
            seed => seed,
        }
    }

    /// Picks one of the seeds `peers` that are not in backoff, by a hash of the own member id;
    /// the store if there is none.
    fn pick_seed(&self, own: &Member, peers: &[SocketAddr]) -> Upstream {
        let usable: Vec<&SocketAddr> = peers
            .iter()
            .filter(|peer| !self.backoffs.contains_key(peer))
            .collect();
        match usable.is_empty() {
            true => Upstream::Store,
            false => Upstream::Peer(*usable[member_hash(own) % usable.len()]),
        }
    }
}

/// Returns how long `own` asks the seeds when it starts, before it asks the store: a fixed time
/// for light entries, otherwise one that varies by member id.
fn seed_wait(own: &Member) -> Duration {
    /// Number of different wait limits.
    const STEPS: usize = 16;
    if own.weight < FAST_WEIGHT {
        return SLOW_SEED_WAIT;
    }
    let part = (member_hash(own) % STEPS) as f64 / STEPS as f64;
    MIN_SEED_WAIT + (MAX_SEED_WAIT - MIN_SEED_WAIT).mul_f64(part)
}

/// Hashes the member id, for choices that are stable but differ between entries.
pub(crate) fn member_hash(own: &Member) -> usize {
    let mix = |sum: usize, byte: u8| sum.wrapping_mul(31).wrapping_add(usize::from(byte));
    own.id.as_str().bytes().fold(0, mix)
}
