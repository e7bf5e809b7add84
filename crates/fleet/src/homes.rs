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
    /// The members, ordered by name, with the hash of their names and when they become homes.
    members: Vec<(MemberId, u64, WallTime)>,
}

impl Homes {
    /// Chooses the homes among the members, given with their weights and when they started: the
    /// strongest, and all that are as strong. Weak members would answer late, and callers rarely
    /// reach them.
    #[must_use]
    pub fn new<'a>(members: impl IntoIterator<Item = (&'a MemberId, u32, WallTime)>) -> Self {
        let mut members: Vec<_> = members.into_iter().collect();
        members.sort_by(|(a, strong, _), (b, weak, _)| weak.cmp(strong).then_with(|| a.cmp(b)));
        let least = members
            .get(MIN_HOMES - 1)
            .map_or(0, |(_, weight, _)| *weight);
        let chosen = members
            .into_iter()
            .filter(|(_, weight, _)| *weight >= least);
        let delay = JOIN_DELAY.as_millis() as u64;
        let home = |(id, _, started): (&MemberId, u32, WallTime)| {
            let from = WallTime(started.0.saturating_add(delay));
            (id.clone(), hash(id.as_str()), from)
        };
        let mut members: Vec<_> = chosen.map(home).collect();
        members.sort();
        Self { members }
    }

    /// Returns the home of an organisation at `now`; `None` if there are no members. Members that
    /// have just started are homes only if there are no others.
    #[must_use]
    pub fn home_of(&self, org: &OrgName, now: WallTime) -> Option<&MemberId> {
        let key = hash(org.as_str());
        let joined = |(_, _, from): &&(MemberId, u64, WallTime)| *from <= now;
        let any = self.members.iter().any(|member| joined(&member));
        let members = self.members.iter().filter(|member| !any || joined(member));
        let best = members.max_by_key(|(_, member, _)| score(key, *member));
        best.map(|(id, _, _)| id)
    }

    /// Number of members that are homes at `now`. If it changes, some organisations have got
    /// another home.
    #[must_use]
    pub fn joined(&self, now: WallTime) -> usize {
        let joined = self.members.iter().filter(|(_, _, from)| *from <= now);
        joined.count()
    }

    /// Number of members that are homes, or will be.
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
