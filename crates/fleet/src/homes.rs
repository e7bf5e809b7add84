//! The home of each organisation, the entry that keeps what all entries share about it.

use chestnut_unit::{MemberId, OrgName};

use crate::placement::{hash, score};

/// Fewest members among which the homes are divided, if there are as many.
const MIN_HOMES: usize = 4;

/// The members that are homes, and the choice of one for each organisation by rendezvous
/// hashing: a change of one member moves only the organisations of which it is the home.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    /// The members with the hash of their names, ordered by name.
    members: Vec<(MemberId, u64)>,
}

impl Homes {
    /// Chooses the homes among the members, given with their weights: the strongest, and all
    /// that are as strong. Weak members would answer late, and callers rarely reach them.
    #[must_use]
    pub fn new<'a>(members: impl IntoIterator<Item = (&'a MemberId, u32)>) -> Self {
        let mut members: Vec<_> = members.into_iter().collect();
        members.sort_by(|(a, strong), (b, weak)| weak.cmp(strong).then_with(|| a.cmp(b)));
        let least = members.get(MIN_HOMES - 1).map_or(0, |(_, weight)| *weight);
        let chosen = members.into_iter().filter(|(_, weight)| *weight >= least);
        let mut members: Vec<_> = chosen
            .map(|(id, _)| (id.clone(), hash(id.as_str())))
            .collect();
        members.sort();
        Self { members }
    }

    /// Returns the home of an organisation; `None` if there are no members.
    #[must_use]
    pub fn home_of(&self, org: &OrgName) -> Option<&MemberId> {
        let key = hash(org.as_str());
        let best = self
            .members
            .iter()
            .max_by_key(|(_, member)| score(key, *member));
        best.map(|(id, _)| id)
    }

    /// Number of members that are homes.
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
