//! Load balancing: which replica of a shard gets a call.

use chestnut_unit::{IndexVersion, Time};
use rand::Rng;

use crate::{Ix, Table, evict::evicted_among};

/// Policy by which a replica is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Each replica in turn.
    RoundRobin,
    /// The replica with the fewest outstanding calls of this entry.
    LeastOutstanding,
    /// The one with fewer outstanding calls of two random replicas.
    PowerOfTwo,
    /// Lowest product of the decaying peak duration and outstanding calls. It
    /// avoids a replica after a single long call and returns to it as the peak
    /// decays.
    PeakEwma,
    /// Lowest expected duration: the clipped moving average of call durations,
    /// raised by outstanding calls per slot, by health and load hints, and
    /// during slow start.
    Predicted,
    /// Random by split ratios from windowed weighted averages with ranked
    /// damping (Hajjat et al., JSAC 2013, sections IV-B and IV-C).
    Damped,
}

impl Choice {
    /// All policies.
    pub const ALL: [Choice; 6] = [
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::PowerOfTwo,
        Self::PeakEwma,
        Self::Predicted,
        Self::Damped,
    ];

    /// Name of the policy in reports.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::LeastOutstanding => "least-outstanding",
            Self::PowerOfTwo => "power-of-two",
            Self::PeakEwma => "peak-ewma",
            Self::Predicted => "predicted",
            Self::Damped => "damped",
        }
    }
}

/// Chooses the replica that gets the next call for `version` by the table's
/// policy; `rng` serves random choices and ties. Replicas in `tried` and those
/// that [`Table::is_open`] rules out are never chosen. Returns `None` if no
/// replica is left, or if none of the best tier has capacity.
pub fn choose_replica(
    table: &mut Table,
    replicas: &[Ix],
    tried: &[Ix],
    version: IndexVersion,
    now: Time,
    rng: &mut dyn Rng,
) -> Option<Ix> {
    let tiers = tiers(table, replicas, tried, version, now);
    let best = tiers.into_iter().find(|tier| !tier.is_empty())?;
    // If the best tier has no capacity, waiting for it is better than calling
    // one that is backing off or suspected, so worse tiers aren't tried.
    let candidates: Vec<Ix> = best
        .into_iter()
        .filter(|ix| table.has_capacity(*ix))
        .collect();
    pick_replica(table, &candidates, now, rng)
}

/// Replicas that may be called for `version` and aren't in `tried`, in tiers
/// from best to worst: healthy ones (not suspected, evicted or in backoff); all
/// but suspected ones; all. A replica in backoff is preferred to a suspected
/// one, which may be gone.
pub(crate) fn tiers(
    table: &Table,
    replicas: &[Ix],
    tried: &[Ix],
    version: IndexVersion,
    now: Time,
) -> [Vec<Ix>; 3] {
    let evicted = evicted_among(table, replicas, now);
    let open: Vec<Ix> = replicas
        .iter()
        .copied()
        .filter(|ix| !tried.contains(ix) && table.is_open(*ix, version, now))
        .collect();
    let confirmed: Vec<Ix> = open
        .iter()
        .copied()
        .filter(|ix| !table.is_suspected(*ix))
        .collect();
    let healthy: Vec<Ix> = confirmed
        .iter()
        .copied()
        .filter(|ix| !evicted.contains(ix) && !table.in_backoff(*ix, now))
        .collect();
    [healthy, confirmed, open]
}

/// Picks one of `candidates` by the table's policy and advances the policy's
/// state. A single candidate is returned as it is; `None` if there is none.
fn pick_replica(table: &mut Table, candidates: &[Ix], now: Time, rng: &mut dyn Rng) -> Option<Ix> {
    if candidates.len() <= 1 {
        return candidates.first().copied();
    }
    table.round_robin = table.round_robin.wrapping_add(1);
    match table.config.choice {
        Choice::RoundRobin => Some(candidates[table.round_robin as usize % candidates.len()]),
        Choice::PowerOfTwo => Some(better_of_two(table, candidates, rng)),
        Choice::Damped => table.damped.pick(candidates, now, rng),
        Choice::LeastOutstanding => lowest(candidates, rng, |ix| f64::from(table.outstanding(ix))),
        Choice::PeakEwma => lowest(candidates, rng, |ix| peak_score(table, ix, now)),
        Choice::Predicted => lowest(candidates, rng, |ix| predicted_score(table, ix, now)),
    }
}

/// Draws two different candidates and returns the one with fewer outstanding
/// calls. There must be at least two.
fn better_of_two(table: &Table, candidates: &[Ix], rng: &mut dyn Rng) -> Ix {
    let first = random_below(rng, candidates.len());
    let second = (first + 1 + random_below(rng, candidates.len() - 1)) % candidates.len();
    let (a, b) = (candidates[first], candidates[second]);
    if table.outstanding(b) < table.outstanding(a) {
        b
    } else {
        a
    }
}

/// The replica with the lowest score. The search starts at a random one, so
/// that ties share the load.
fn lowest(candidates: &[Ix], rng: &mut dyn Rng, score: impl Fn(Ix) -> f64) -> Option<Ix> {
    let start = random_below(rng, candidates.len());
    let rotated = candidates[start..].iter().chain(&candidates[..start]);
    let scored = rotated.map(|ix| (score(*ix), *ix));
    scored
        .min_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, ix)| ix)
}

/// Score for [`Choice::PeakEwma`], lowest best: the decaying peak duration, at
/// least a typical one, times the outstanding calls plus one.
fn peak_score(table: &Table, ix: Ix, now: Time) -> f64 {
    let state = &table.states[ix.index()];
    let peak = state.estimate.peak_at(now).max(table.typical_nanos());
    peak * f64::from(state.outstanding + 1)
}

/// Score for [`Choice::Predicted`], lowest best: the expected duration of a
/// call, raised by outstanding calls per slot and by penalties. The moving
/// average already includes queueing caused by other entries; outstanding calls
/// of this entry are added.
fn predicted_score(table: &Table, ix: Ix, now: Time) -> f64 {
    let state = &table.states[ix.index()];
    let load = f64::from(state.outstanding) / f64::from(state.slots.max(1));
    let expected = state.estimate.mean_at(now, table.typical_nanos());
    expected * (1.0 + OUTSTANDING_WEIGHT * load) * table.score_penalty(ix, now)
}

/// Weight of this entry's outstanding calls per slot. Above 1, since other
/// entries that see the same state send about as many calls.
const OUTSTANDING_WEIGHT: f64 = 3.0;

/// A uniformly random number below `bound`.
pub(crate) fn random_below(rng: &mut dyn Rng, bound: usize) -> usize {
    let wide = u128::from(rng.next_u64()) * bound as u128;
    usize::try_from(wide >> 64).expect("below the bound")
}
