//! From whom an entry hears of changes.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnut_fleet::{Liveness, Member};
use chestnut_unit::Time;

/// Entries of a failure domain, the strongest first, of which the others follow
/// the first that answers. Only the first watches the store, as long as it
/// does; the second takes over within a pulse.
const WATCHERS: usize = 2;
/// How long a peer that did not answer is not asked again.
const BAD_SPAN: Duration = Duration::from_secs(5);
/// How long an entry that starts asks the seeds before it asks the store. The
/// seeds start with it, and have read the store some tens of milliseconds
/// later; entries that all ask the store at once are paid for one by one.
const SEEDS_SPAN: Duration = Duration::from_millis(400);
/// How long a seed that did not answer is not asked again, during that span.
const SEED_REST: Duration = Duration::from_millis(50);

/// From whom an entry hears of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// From the store itself.
    Store,
    /// From an entry that watches the store.
    Peer(SocketAddr),
}

/// Chooses from whom to hear.
///
/// The strongest entry of each failure domain watches the store and passes on
/// what it hears; the others follow it, or the second strongest if it does not
/// answer. So the store's calls grow with the failure domains and not with the
/// entries. An entry that finds nobody to follow watches the store itself, so
/// losing all watchers costs a moment and no change. Entries that follow pass
/// nothing on: two that took each other for watchers would hear nothing and miss
/// nothing.
#[derive(Clone, Debug, Default)]
pub struct UpstreamChoice {
    bad: BTreeMap<SocketAddr, Time>,
}

impl UpstreamChoice {
    /// Takes it that a peer did not answer, or has lost the store itself.
    pub fn failed(&mut self, peer: SocketAddr, age: Duration, now: Time) {
        let span = if age < SEEDS_SPAN {
            SEED_REST
        } else {
            BAD_SPAN
        };
        self.bad.insert(peer, now + span);
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
        let mut near: Vec<&Member> = others
            .chain([own])
            .filter(|member| member.domain == own.domain && member.takes_work())
            .filter(|member| member.liveness == Liveness::Alive)
            .collect();
        if near.len() <= 1 {
            return self.seed(own, seeds, age);
        }
        near.sort_by_key(|member| (std::cmp::Reverse(member.weight), &member.id));
        let before = near.iter().position(|member| member.id == own.id);
        let peers = near.iter().take(before.unwrap_or(near.len()).min(WATCHERS));
        let good = peers
            .map(|member| member.addresses.peers)
            .find(|peer| !self.bad.contains_key(peer));
        good.map_or(Upstream::Store, Upstream::Peer)
    }

    /// Before any member is known.
    fn seed(&self, own: &Member, seeds: &[SocketAddr], age: Duration) -> Upstream {
        if age >= SEEDS_SPAN || seeds.contains(&own.addresses.peers) {
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
        let spread: usize = own.id.as_str().bytes().map(usize::from).sum();
        match good.is_empty() {
            true => Upstream::Store,
            false => Upstream::Peer(*good[spread % good.len()]),
        }
    }
}
