//! Selection of the serving entries, the members that callers are sent to.

use std::time::Duration;

use chestnut_unit::Time;

/// A member that may become a serving entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<T> {
    /// Value that [`serving_entries`] returns for a selected member.
    pub id: T,
    /// Capacity in calls to leafs per second.
    pub weight: u32,
    /// Calls to leafs per second that it makes now.
    pub load: u32,
    /// Whether its failure domain has leafs of the requested service.
    pub local: bool,
}

/// Required capacity as a multiple of the load: leaves capacity for lost members, bursts and
/// load reports that arrive late.
const HEADROOM: u64 = 2;
/// Minimum number of serving entries; losing one loses at most a quarter of them.
const MIN_ENTRIES: usize = 4;
/// Members whose weight is at least this percentage of a tier's strongest member belong
/// to that tier.
const TIER_PERCENT: u64 = 90;
/// Upper limit of [`baseline_entries`]: each serving entry connects to every leaf, and a leaf
/// resets connections beyond its limit. With 16, each has two connections to a leaf that
/// accepts 40, and the loss of one of three failure domains leaves ten.
const MAX_BASELINE: usize = 16;
/// Capacity, as a multiple of the load, up to which members of the weakest tier in use are
/// added beyond the baseline. This is four times what is needed without any loss.
const EXTRA_HEADROOM: u64 = 4 * HEADROOM;

/// A load below one member's capacity divided by this is idle traffic, such as operators'
/// health checks, and doesn't predict demand.
const IDLE_DIVISOR: u64 = 20;
/// Members per serving entry while the deployment is idle, from [`MIN_IDLE_BASELINE`] to
/// [`MAX_BASELINE`] entries. With too many, each would start with too few calls to learn from.
const MEMBERS_PER_IDLE_ENTRY: usize = 8;
/// Lower limit of [`baseline_entries`] while the deployment is idle.
const MIN_IDLE_BASELINE: usize = 6;
/// Calls per second that a serving entry needs to make to each leaf to estimate its latency and
/// to keep its connections open. A higher rate leaves few serving entries, whose links are
/// full.
const MIN_LEAF_RATE: f64 = 0.3;

/// Returns the serving entries, strongest first.
///
/// Takes the strongest members until their capacity is a fixed multiple of the load. Then
/// adds members of the weakest tier in use up to `min_count`, or while each still makes enough
/// calls to estimate the latency of `leafs` leafs. Within a tier, members with leafs in
/// their own failure domain come first, then the order of `candidates` decides.
///
/// Weak members add latency to requests over many shards, and spreading the load over all
/// members would leave each too few calls per leaf to find slow ones. A member without
/// local leafs sends every call of a request to another failure domain, so it serves
/// callers only when the others lack capacity.
#[must_use]
pub fn serving_entries<T: Copy>(
    candidates: &[Candidate<T>],
    leafs: usize,
    min_count: usize,
) -> Vec<T> {
    let load: u64 = candidates.iter().map(|c| u64::from(c.load)).sum();
    let any_local = candidates.iter().any(|candidate| candidate.local);
    let mut capacity = 0;
    let mut weakest = usize::MAX;
    let enough = |taken: usize, capacity: u64| taken >= MIN_ENTRIES && capacity >= load * HEADROOM;
    let mut taken = Vec::new();
    for (tier, candidate) in by_tier(candidates) {
        let weight = u64::from(candidate.weight);
        if enough(taken.len(), capacity) {
            let baseline = baseline_entries(load, leafs, weight, candidates.len());
            let below_baseline = taken.len() < baseline.max(min_count);
            let useful = capacity < load * EXTRA_HEADROOM
                && has_enough_samples(load, taken.len() + 1, leafs);
            if tier > weakest || !(below_baseline || useful) {
                break;
            }
            if any_local && !candidate.local {
                continue;
            }
        } else {
            weakest = tier;
        }
        capacity += weight;
        taken.push(candidate.id);
    }
    taken
}

/// Number of serving entries up to which members of a tier of this `weight` are added
/// although their capacity isn't needed. It is the largest number, from [`MIN_ENTRIES`]
/// to [`MAX_BASELINE`], of entries that each still make enough calls per leaf to estimate
/// its latency, or else [`MIN_ENTRIES`]. While the deployment is idle, `count`, the
/// number of members, decides instead ([`MEMBERS_PER_IDLE_ENTRY`]).
fn baseline_entries(load: u64, leafs: usize, weight: u64, count: usize) -> usize {
    if load * IDLE_DIVISOR < weight {
        return (count / MEMBERS_PER_IDLE_ENTRY).clamp(MIN_IDLE_BASELINE, MAX_BASELINE);
    }
    let mut counts = (MIN_ENTRIES..=MAX_BASELINE).rev();
    counts
        .find(|count| has_enough_samples(load, *count, leafs))
        .unwrap_or(MIN_ENTRIES)
}

/// Whether each of `count` serving entries makes enough calls per leaf to estimate
/// latency, if they share `load` calls per second to `leafs` leafs equally.
fn has_enough_samples(load: u64, count: usize, leafs: usize) -> bool {
    load as f64 >= MIN_LEAF_RATE * (count * leafs) as f64
}

/// Groups the candidates into tiers of similar weight and returns them with the number of
/// their tier, strongest tier first; within a tier, those with local leafs come first.
fn by_tier<T>(candidates: &[Candidate<T>]) -> Vec<(usize, &Candidate<T>)> {
    let mut order: Vec<&Candidate<T>> = candidates.iter().collect();
    order.sort_by_key(|candidate| std::cmp::Reverse(candidate.weight));
    let (mut tier, mut tier_weight) = (0, None);
    let mut tiers: Vec<(usize, &Candidate<T>)> = Vec::new();
    for candidate in order {
        let weight = u64::from(candidate.weight);
        let strongest = *tier_weight.get_or_insert(weight);
        if weight * 100 < strongest * TIER_PERCENT {
            tier += 1;
            tier_weight = Some(weight);
        }
        tiers.push((tier, candidate));
    }
    tiers.sort_by_key(|(tier, candidate)| (*tier, !candidate.local));
    tiers
}

/// Delays a decrease of the number of serving entries by a fixed time.
///
/// Reports of a rising load arrive in steps, so the wanted number can drop for a moment.
/// Entries dropped then would still receive callers, but have no share of the budget for
/// extra calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelayedDecrease {
    count: usize,
    /// When the count was last wanted.
    wanted_at: Time,
}

/// How long a number of entries stays in use after it was last wanted. Covers the time
/// for which callers cache the list of entries, and the delay of load reports.
const DECREASE_DELAY: Duration = Duration::from_secs(10);

impl DelayedDecrease {
    /// Records the number of serving entries that the load needs and returns the number
    /// to use. An increase takes effect at once, a decrease only after the delay.
    pub fn update(&mut self, count: usize, now: Time) -> usize {
        if count >= self.count || now.since(self.wanted_at) >= DECREASE_DELAY {
            self.count = count;
            self.wanted_at = now;
        }
        self.count
    }

    /// Returns the number of serving entries to use.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count
    }
}
