//! Which members carry the callers.

use std::time::Duration;

use chestnut_unit::Time;

/// A member that callers may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<T> {
    /// What the caller of the decision knows it by.
    pub id: T,
    /// Calls a second that it can carry.
    pub weight: u32,
    /// Calls a second that it makes.
    pub load: u32,
    /// Whether its failure domain has leafs of what callers ask for.
    pub near: bool,
}

/// Capacity that carriers have for each call that is made. Half of it is left
/// for the loss of members, for bursts, and for loads that are heard late.
const ROOM: u64 = 2;
/// Fewest carriers, so that losing one is no more than losing a quarter.
const LEAST: usize = 4;
/// Members whose weight is at least this part of another's are as good as it.
const ALIKE_PERCENT: u64 = 90;
/// Carriers beyond which alike ones are added only while the load wants them, and
/// below which they are while each still learns. Each opens connections to every leaf,
/// which resets what is beyond its bound. 16 leave two connections each of 40, and the
/// loss of a failure domain of three leaves ten.
const ALIKE_LEAST: usize = 16;
/// Capacity that carriers have for each call up to which alike ones are added
/// all the same: four times what is needed without any loss.
const ALIKE_ROOM: u64 = 4 * ROOM;

/// A load below this part of what one carrier can carry tells nothing of what is to come:
/// the calls of operators that look whether all is well.
const IDLE_PARTS: u64 = 20;
/// While no load is told one in so many members carries, six at least: too many would
/// begin with too few calls each to learn from.
const IDLE_MEMBERS: usize = 8;
const IDLE_LEAST: usize = 6;
/// Calls a second to each leaf that a carrier needs to know how its leafs do, and to
/// keep its connections to them open. More leaves few carriers, whose links are full.
const LEARNS: f64 = 0.3;

/// The members that callers are sent to, strongest first: as few of the
/// strongest as have room for twice the present load, and of those that are as
/// strong as the weakest of them so many that a lost one hardly shows and each still
/// makes enough calls to learn from, over `leafs` leafs; `held` of them if that is more.
/// Among equal ones those with leafs nearby are taken, and then the first in the order
/// of `candidates`.
///
/// A request over many shards costs a weak member as much time as its answer
/// may take. Spread over all members the load would also leave each with a
/// call a second to every leaf, too few to learn from which leafs are slow.
/// A member without leafs nearby sends every call of a search to another failure
/// domain; a caller from another domain is one exchange. So those only carry what the
/// others have no room for.
#[must_use]
pub fn carriers<T: Copy>(candidates: &[Candidate<T>], leafs: usize, held: usize) -> Vec<T> {
    let load: u64 = candidates.iter().map(|c| u64::from(c.load)).sum();
    let any_near = candidates.iter().any(|candidate| candidate.near);
    let mut room = 0;
    let mut weakest = usize::MAX;
    let enough = |taken: usize, room: u64| taken >= LEAST && room >= load * ROOM;
    let mut taken = Vec::new();
    for (tier, candidate) in by_tier(candidates) {
        let weight = u64::from(candidate.weight);
        if enough(taken.len(), room) {
            let least = alike_least(load, leafs, weight, candidates.len());
            let few = taken.len() < least.max(held);
            let busy = room < load * ALIKE_ROOM && learns(load, taken.len() + 1, leafs);
            if tier > weakest || !(few || busy) {
                break;
            }
            if any_near && !candidate.near {
                continue;
            }
        } else {
            weakest = tier;
        }
        room += weight;
        taken.push(candidate.id);
    }
    taken
}

/// Alike carriers of `weight` that there are in any case, of `count` members. While hardly
/// any load is told, as many as serve what may come to a deployment of that size.
fn alike_least(load: u64, leafs: usize, weight: u64, count: usize) -> usize {
    if load * IDLE_PARTS < weight {
        return (count / IDLE_MEMBERS).clamp(IDLE_LEAST, ALIKE_LEAST);
    }
    let mut all = (LEAST..=ALIKE_LEAST).rev();
    all.find(|count| learns(load, *count, leafs))
        .unwrap_or(LEAST)
}

/// Whether each of `count` carriers makes enough calls to learn from.
fn learns(load: u64, count: usize, leafs: usize) -> bool {
    load as f64 >= LEARNS * (count * leafs) as f64
}

/// The candidates by strength, those of about one strength under one number; of these
/// the ones with leafs nearby first.
fn by_tier<T>(candidates: &[Candidate<T>]) -> Vec<(usize, &Candidate<T>)> {
    let mut order: Vec<&Candidate<T>> = candidates.iter().collect();
    order.sort_by_key(|candidate| std::cmp::Reverse(candidate.weight));
    let (mut tier, mut head) = (0, None);
    let mut tiers: Vec<(usize, &Candidate<T>)> = Vec::new();
    for candidate in order {
        let weight = u64::from(candidate.weight);
        let strongest = *head.get_or_insert(weight);
        if weight * 100 < strongest * ALIKE_PERCENT {
            tier += 1;
            head = Some(weight);
        }
        tiers.push((tier, candidate));
    }
    tiers.sort_by_key(|(tier, candidate)| (*tier, !candidate.near));
    tiers
}

/// How many carriers are kept for a while though the load wants fewer.
///
/// A load that rises is heard in steps, and while few carriers are wanted the others still
/// have callers, but no part of the extra calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Held {
    count: usize,
    /// When so many were wanted last.
    at: Time,
}

/// How long a count is kept. Callers keep the list of entries for up to six seconds, and a
/// load is heard in full some seconds after it has come.
const HELD_SPAN: Duration = Duration::from_secs(10);

impl Held {
    /// Takes how many carriers the load wants; returns how many there are to be.
    pub fn want(&mut self, count: usize, now: Time) -> usize {
        if count >= self.count || now.since(self.at) >= HELD_SPAN {
            self.count = count;
            self.at = now;
        }
        self.count
    }

    /// How many there are to be.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count
    }
}
