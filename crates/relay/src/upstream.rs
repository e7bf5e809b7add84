//! From whom an entry hears of changes.

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use chestnut_fleet::Member;
use chestnut_unit::Time;
use displaydoc::Display;

use crate::ranked::Ranked;

/// How long a peer that did not answer is not asked again.
const BAD_SPAN: Duration = Duration::from_secs(5);
/// How long it is believed that a peer has lost the store, or hears of it from
/// another one, unless it is asked again.
const WORD_SPAN: Duration = Duration::from_secs(3);
/// How long an answer of the store to this entry outweighs what peers say of it:
/// two pulses.
const SERVED_SPAN: Duration = Duration::from_secs(2);
/// How long after an answer of the store an entry passes on what it hears: three
/// pulses. One that is cut off finds out within a pulse and its wait, 1.8 s.
const HEARS_SPAN: Duration = Duration::from_secs(3);
/// How long a peer is not asked again that sent this entry to one that is no use.
const LOOP_REST: Duration = Duration::from_millis(300);
/// How long it is believed that a peer which follows one that has lost the store has
/// lost it too: a pulse, with which it notices and asks another one, or the store.
const NOTICE_SPAN: Duration = Duration::from_secs(1);
/// Peers that must have lost the store before it is taken to be lost to all. One
/// alone may be cut off from it.
const LOST_QUORUM: usize = 2;
/// How long an entry that starts asks the seeds before it asks the store: seeds that
/// run, or start with it, answer within it. The time differs between entries up to
/// the longest, as those that all ask the store at once are paid for one by one.
///
/// After a loss of power the seeds may come back last, and the others would refuse every
/// caller meanwhile beside a store that answers in milliseconds.
const SEEDS_LEAST: Duration = Duration::from_millis(30);
const SEEDS_MOST: Duration = Duration::from_millis(120);
/// Calls a second that an entry must be able to carry to ask so soon: a hundred
/// requests over fifteen shards. Weaker ones carry callers only where there are no
/// stronger ones, and are many: their calls to the store cost more than callers gain.
const SWIFT: u32 = 1500;
/// How long weaker ones ask the seeds.
const SEEDS_SLOW: Duration = Duration::from_millis(400);
/// How long a seed that did not answer is not asked again, during that span.
const SEED_REST: Duration = Duration::from_millis(25);
/// How long an entry that has started stays with the peer that answered it. Its
/// view of the members takes about three seconds to become whole at 90 entries;
/// by a part of it, many would take themselves for their domain's strongest.
const SETTLE: Duration = Duration::from_secs(5);

/// From whom an entry hears of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// From the store itself.
    Store,
    /// From an entry that watches the store.
    Peer(SocketAddr),
}

/// Why an entry hears of changes from where it does.
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

/// Chooses from whom to hear.
///
/// The strongest entry of each failure domain watches the store and passes on
/// what it hears; the others follow it, the second strongest, or the strongest of
/// another domain. So the store's calls grow with the failure domains and not
/// with the entries. Entries that follow pass nothing on, and name the one that
/// they follow: two that took each other for watchers would hear nothing and
/// miss nothing.
///
/// When the store is lost, entries that follow wait for those that watch it. If
/// all turned to the store, thousands would ask it in vain, and again all at
/// once when it is back. As a single watcher may be cut off, it takes two that
/// have lost the store, and none that has it. A watcher that has lost the store
/// asks those of other domains, and sends its followers where it finds it.
#[derive(Clone, Debug, Default)]
pub struct UpstreamChoice {
    /// Peers that did not answer, and until when they are not asked.
    bad: BTreeMap<SocketAddr, Time>,
    /// Peers that have lost the store, and until when that is believed.
    lost: BTreeMap<SocketAddr, Time>,
    /// The peer that answered last.
    current: Option<SocketAddr>,
    /// The peer that this entry was sent to, and until when it follows it.
    sent: Option<(SocketAddr, Time)>,
    /// Until when the store is not asked, as it did not answer this entry.
    deaf: Option<Time>,
    /// When the store answered this entry last; none if it has failed to since.
    served: Option<Time>,
    cause: Cause,
}

impl UpstreamChoice {
    /// Takes it that a peer did not answer.
    pub fn failed(&mut self, peer: SocketAddr, age: Duration, now: Time) {
        let span = if age < SEEDS_SLOW {
            SEED_REST
        } else {
            BAD_SPAN
        };
        self.avoid(peer, now + span);
    }

    /// Takes it that a peer has nothing to pass on to an entry that starts: it
    /// may just start too.
    pub fn not_ready(&mut self, peer: SocketAddr, age: Duration, now: Time) {
        let rest = match age < SEEDS_SLOW {
            true => SEED_REST,
            false => LOOP_REST,
        };
        self.avoid(peer, now + rest);
    }

    /// Takes it that a peer answered.
    pub fn answered(&mut self, peer: SocketAddr) {
        self.lost.remove(&peer);
        self.current = Some(peer);
    }

    /// Takes it that a peer has lost the store. Where the store has just answered
    /// this entry, that is the peer's own trouble.
    pub fn lost(&mut self, peer: SocketAddr, now: Time) {
        self.forget(peer);
        match self.served.is_some_and(|at| now.since(at) < SERVED_SPAN) {
            true => self.bad.insert(peer, now + BAD_SPAN),
            false => self.lost.insert(peer, now + WORD_SPAN),
        };
    }

    /// Takes it that `peer` hears of the store from the entry at `to`. Where that one has
    /// lost the store, so has `peer`, which will notice it with its next pulse. Taken
    /// for no use, it would leave one that has lost the store, one short of the quorum,
    /// and all entries would ask the store.
    pub fn redirected(&mut self, peer: SocketAddr, to: SocketAddr, own: SocketAddr, now: Time) {
        if to != own && self.is_lost(to) {
            self.forget(peer);
            self.lost.insert(peer, now + NOTICE_SPAN);
        } else if to == own || !self.is_usable(to) {
            self.avoid(peer, now + LOOP_REST);
        } else {
            self.sent = Some((to, now + WORD_SPAN));
        }
    }

    /// Takes it that the store answered this entry.
    pub fn store_answered(&mut self, now: Time) {
        self.served = Some(now);
    }

    /// Whether the store has answered this entry lately, which may pass that on. It
    /// goes by the answer and not by the upstream: an entry that looks for a moment
    /// whether its peers have the store again would tell those that ask in that
    /// moment that it has lost it, and be believed for three seconds.
    #[must_use]
    pub fn hears_store(&self, now: Time) -> bool {
        self.served.is_some_and(|at| now.since(at) < HEARS_SPAN)
    }

    /// Takes it that the store did not answer this entry, which asks others until
    /// then.
    pub fn store_failed(&mut self, until: Time) {
        self.deaf = Some(until);
        self.served = None;
    }

    /// Whether the store is not asked now, as it did not answer this entry.
    #[must_use]
    pub fn is_deaf(&self) -> bool {
        self.deaf.is_some()
    }

    /// Takes it that the store answers this entry although its peers have lost
    /// it.
    pub fn store_answers(&mut self, now: Time) {
        for (peer, _) in std::mem::take(&mut self.lost) {
            self.bad.insert(peer, now + BAD_SPAN);
        }
    }

    /// Whether `peer` answered last time. Only such a one is named to others:
    /// entries that look for one to follow would send each other around.
    #[must_use]
    pub fn is_heard(&self, peer: SocketAddr) -> bool {
        self.current == Some(peer)
    }

    /// Whether a peer has lost the store.
    #[must_use]
    pub fn is_lost(&self, peer: SocketAddr) -> bool {
        self.lost.contains_key(&peer)
    }

    fn is_usable(&self, peer: SocketAddr) -> bool {
        !self.bad.contains_key(&peer) && !self.lost.contains_key(&peer)
    }

    fn avoid(&mut self, peer: SocketAddr, until: Time) {
        self.forget(peer);
        self.bad.insert(peer, until);
    }

    fn forget(&mut self, peer: SocketAddr) {
        self.current = self.current.filter(|current| *current != peer);
    }

    /// The upstream of `own`, which started `age` ago, among the members that
    /// it knows.
    pub fn choose<'a>(
        &mut self,
        own: &'a Member,
        others: impl Iterator<Item = &'a Member>,
        seeds: &[SocketAddr],
        age: Duration,
        now: Time,
    ) -> Upstream {
        self.bad.retain(|_, until| now < *until);
        self.lost.retain(|_, until| now < *until);
        self.deaf = self.deaf.filter(|until| now < *until);
        let ranked = Ranked::new(own, others);
        let (upstream, cause) = self.decide(own, &ranked, seeds, age, now);
        self.cause = cause;
        upstream
    }

    /// Why the last choice fell as it did.
    #[must_use]
    pub fn cause(&self) -> Cause {
        self.cause
    }

    fn decide(
        &self,
        own: &Member,
        ranked: &Ranked,
        seeds: &[SocketAddr],
        age: Duration,
        now: Time,
    ) -> (Upstream, Cause) {
        let is_seed = seeds.contains(&own.addresses.peers);
        let watches = match age < SETTLE {
            true => is_seed,
            false => ranked.own == Some(0),
        };
        if watches && self.deaf.is_none() {
            return (Upstream::Store, Cause::Watches);
        }
        let sent = self.sent.filter(|(_, until)| now < *until);
        let current = self.current.filter(|_| age < SETTLE);
        let sent = sent.map(|(peer, _)| (peer, Cause::Sent));
        let word = sent.or(current.map(|peer| (peer, Cause::Stays)));
        if let Some((peer, cause)) = word.filter(|(peer, _)| self.is_usable(*peer)) {
            return (Upstream::Peer(peer), cause);
        }
        let watchers = ranked.watchers();
        let alone = ranked.near.len() <= 1;
        let nobody = (Upstream::Store, Cause::Nobody);
        match ranked.own {
            _ if self.deaf.is_some() => {
                let own = own.addresses.peers;
                let seeds: Vec<SocketAddr> = seeds.iter().copied().filter(|s| *s != own).collect();
                let peer = self.follow(&watchers).or_else(|| self.follow(&seeds));
                peer.map_or(nobody, |peer| (Upstream::Peer(peer), Cause::Deaf))
            }
            _ if alone => (self.seed(own, seeds, age), Cause::Starts),
            Some(0) => (Upstream::Store, Cause::Watches),
            Some(1) if !self.is_usable(ranked.near[0]) => (Upstream::Store, Cause::TakesOver),
            _ => {
                let follows = self.follow(&watchers).map(|peer| (peer, Cause::Follows));
                let waits = || self.wait(&watchers).map(|peer| (peer, Cause::Waits));
                let word = follows.or_else(waits);
                word.map_or(nobody, |(peer, cause)| (Upstream::Peer(peer), cause))
            }
        }
    }

    /// The first of `watchers` that may be followed.
    fn follow(&self, watchers: &[SocketAddr]) -> Option<SocketAddr> {
        let peer = watchers.iter().find(|peer| self.is_usable(**peer));
        peer.copied()
    }

    /// One of `watchers` that has lost the store, if enough have.
    fn wait(&self, watchers: &[SocketAddr]) -> Option<SocketAddr> {
        let mut lost = watchers.iter().filter(|peer| self.is_lost(**peer));
        let enough = lost.clone().count() >= LOST_QUORUM;
        lost.next().copied().filter(|_| enough)
    }

    /// Before any member is known.
    fn seed(&self, own: &Member, seeds: &[SocketAddr], age: Duration) -> Upstream {
        if age >= patience(own) {
            return Upstream::Store;
        }
        match self.pick_seed(own, seeds) {
            // None answers yet: they start at the same time as this entry.
            Upstream::Store => seeds
                .first()
                .map_or(Upstream::Store, |s| Upstream::Peer(*s)),
            seed => seed,
        }
    }

    /// One of the seeds that is not known to be bad, a different one for
    /// different entries.
    fn pick_seed(&self, own: &Member, peers: &[SocketAddr]) -> Upstream {
        let good: Vec<&SocketAddr> = peers
            .iter()
            .filter(|peer| !self.bad.contains_key(peer))
            .collect();
        match good.is_empty() {
            true => Upstream::Store,
            false => Upstream::Peer(*good[spread(own) % good.len()]),
        }
    }
}

/// How long `own` asks the seeds when it starts.
fn patience(own: &Member) -> Duration {
    /// Steps from the least to the most.
    const STEPS: usize = 16;
    if own.weight < SWIFT {
        return SEEDS_SLOW;
    }
    let part = (spread(own) % STEPS) as f64 / STEPS as f64;
    SEEDS_LEAST + (SEEDS_MOST - SEEDS_LEAST).mul_f64(part)
}

/// A number that differs between entries, so that they choose differently.
pub(crate) fn spread(own: &Member) -> usize {
    let mix = |sum: usize, byte: u8| sum.wrapping_mul(31).wrapping_add(usize::from(byte));
    own.id.as_str().bytes().fold(0, mix)
}
