//! Which members carry the callers.

/// A member that callers may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<T> {
    /// What the caller of the decision knows it by.
    pub id: T,
    /// Calls a second that it can carry.
    pub weight: u32,
    /// Calls a second that it makes.
    pub load: u32,
}

/// Capacity that carriers have for each call that is made. Half of it is left
/// for the loss of members, for bursts, and for loads that are heard late.
const ROOM: u64 = 2;
/// Fewest carriers, so that losing one is no more than losing a quarter.
const LEAST: usize = 4;
/// Members whose weight is at least this part of the weakest carrier's are as
/// good as it.
const ALIKE_PERCENT: u64 = 90;

/// The members that callers are sent to, strongest first: as few of the
/// strongest as have room for twice the present load, and all that are as
/// strong as the weakest of them.
///
/// A request over many shards costs a weak member as much time as its answer
/// may take. Spread over all members the load would also leave each with a
/// call a second to every leaf, too few to learn from which leafs are slow.
#[must_use]
pub fn carriers<T: Copy>(candidates: &[Candidate<T>]) -> Vec<T> {
    let mut order: Vec<&Candidate<T>> = candidates.iter().collect();
    order.sort_by_key(|candidate| std::cmp::Reverse(candidate.weight));
    let load: u64 = candidates.iter().map(|c| u64::from(c.load)).sum();
    let mut room = 0;
    let mut weakest = u64::MAX;
    let enough = |taken: usize, room: u64| taken >= LEAST && room >= load * ROOM;
    let mut taken = Vec::new();
    for candidate in order {
        let weight = u64::from(candidate.weight);
        let alike = weight * 100 >= weakest.saturating_mul(ALIKE_PERCENT);
        if enough(taken.len(), room) && !alike {
            break;
        }
        if !enough(taken.len(), room) {
            weakest = weight;
        }
        room += weight;
        taken.push(candidate.id);
    }
    taken
}
