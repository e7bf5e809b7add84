//! The home of each organisation, the entry that keeps what all entries share about it.

use std::time::Duration;

use chestnut_unit::{MemberId, OrgName, WallTime};

use crate::placement::{hash, score};

/// Fewest members among which the homes are divided, if there are as many.
const MIN_HOMES: usize = 4;
/// Time after its start from which a member is a home. By then all have heard of it, and they
/// move to it at the same moment, as far as their clocks agree.
const JOIN_DELAY: Duration = Duration::from_secs(3);

/// The members that are homes, and the choice of one for each organisation by rendezvous
/// hashing: a change of one member moves only the organisations of which it is the home.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    /// The strongest members, ordered by name.
    members: Vec<Candidate>,
    /// Of the others those that have run longest, ordered by that: homes while none of the
    /// strongest has run long enough, as after all of these were restarted.
    reserve: Vec<Candidate>,
}

/// A member that may be a home.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    id: MemberId,
    /// The hash of its name.
    hash: u64,
    /// From when it is a home.
    from: WallTime,
}

impl Candidate {
    fn new(id: &MemberId, started: WallTime) -> Self {
        let delay = JOIN_DELAY.as_millis() as u64;
        Self {
            id: id.clone(),
            hash: hash(id.as_str()),
            from: WallTime(started.0.saturating_add(delay)),
        }
    }

    fn has_joined(&self, now: WallTime) -> bool {
        self.from <= now
    }
}

impl Homes {
    /// Chooses the homes among the members, given with their weights and when they started: the
    /// strongest, and all that are as strong. Weak members would answer late, and callers rarely
    /// reach them.
    #[must_use]
    pub fn new<'a>(members: impl IntoIterator<Item = (&'a MemberId, u32, WallTime)>) -> Self {
        let mut weights: Vec<_> = members.into_iter().collect();
        weights.sort_by(|(a, strong, _), (b, weak, _)| weak.cmp(strong).then_with(|| a.cmp(b)));
        let least = weights
            .get(MIN_HOMES - 1)
            .map_or(0, |(_, weight, _)| *weight);
        let count = weights.partition_point(|(_, weight, _)| *weight >= least);
        let mut others = weights.split_off(count);
        others.sort_by_key(|(id, _, started)| (*started, *id));
        others.truncate(MIN_HOMES);
        let candidates = |list: Vec<(&MemberId, u32, WallTime)>| -> Vec<Candidate> {
            let list = list.into_iter();
            list.map(|(id, _, started)| Candidate::new(id, started))
                .collect()
        };
        let mut members = candidates(weights);
        members.sort();
        Self {
            members,
            reserve: candidates(others),
        }
    }

    /// Returns the homes without a member that is known to be none any more.
    #[must_use]
    pub fn without(&self, id: &MemberId) -> Self {
        let others = |list: &[Candidate]| -> Vec<Candidate> {
            let others = list.iter().filter(|member| member.id != *id);
            others.cloned().collect()
        };
        Self {
            members: others(&self.members),
            reserve: others(&self.reserve),
        }
    }

    /// Returns whether a member is one of the homes, or will be.
    #[must_use]
    pub fn contains(&self, id: &MemberId) -> bool {
        let mut all = self.members.iter().chain(&self.reserve);
        all.any(|member| member.id == *id)
    }

    /// Returns whether a member is one of the homes, and has run long enough at `now`.
    #[must_use]
    pub fn has_joined(&self, id: &MemberId, now: WallTime) -> bool {
        let mut all = self.members.iter().chain(&self.reserve);
        all.any(|member| member.id == *id && member.has_joined(now))
    }

    /// Returns the home of an organisation at `now`; `None` if there are no members. Members that
    /// have just started are homes only if there are no others.
    #[must_use]
    pub fn home_of(&self, org: &OrgName, now: WallTime) -> Option<&MemberId> {
        let key = hash(org.as_str());
        let joined = best(key, &self.members, |member| member.has_joined(now));
        let joined = joined.or_else(|| best(key, &self.reserve, |member| member.has_joined(now)));
        joined.or_else(|| best(key, &self.members, |_| true))
    }

    /// Number of members that have run long enough to be homes at `now`. If it changes, some
    /// organisations may have got another home.
    #[must_use]
    pub fn joined(&self, now: WallTime) -> usize {
        let all = self.members.iter().chain(&self.reserve);
        all.filter(|member| member.has_joined(now)).count()
    }

    /// Number of the strongest members, which are homes or will be.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

/// The member with the highest score for an organisation, given by its hash, of those that `may`.
fn best(key: u64, list: &[Candidate], may: impl Fn(&Candidate) -> bool) -> Option<&MemberId> {
    let list = list.iter().filter(|member| may(member));
    let best = list.max_by_key(|member| score(key, member.hash));
    best.map(|member| &member.id)
}
