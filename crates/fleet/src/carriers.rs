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
/// Carriers beyond which alike ones are added only while the load wants them.
/// Each opens connections to every leaf: of 100 alike entries over leafs that
/// take 40 connections all carried, and leafs reset what was beyond, a fifth of
/// the requests. 16 leave two connections each, and the loss of a failure domain
/// of three leaves ten.
const ALIKE_LEAST: usize = 16;
/// Capacity that carriers have for each call up to which alike ones are added
/// all the same: four times what is needed without any loss.
const ALIKE_ROOM: u64 = 4 * ROOM;

/// The members that callers are sent to, strongest first: as few of the
/// strongest as have room for twice the present load, and of those that are as
/// strong as the weakest of them so many that a lost one hardly shows. Among equal
/// ones the first in the order of `candidates` are taken.
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
        let plenty = taken.len() >= ALIKE_LEAST && room >= load * ALIKE_ROOM;
        if enough(taken.len(), room) && (!alike || plenty) {
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
