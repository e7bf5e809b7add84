//! Which replica of a shard gets a call.

use chestnut_unit::{IndexVersion, Time};
use rand::Rng;

use crate::{Ix, Table, evict::evicted_among};

/// How a replica is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// In turn. Baseline.
    RoundRobin,
    /// Fewest outstanding calls of this entry. Baseline.
    LeastOutstanding,
    /// The better of two at random by outstanding calls. Baseline.
    PowerOfTwo,
    /// Highest recent duration, decaying, times outstanding calls. What the
    /// daemon uses: it shuns a replica at the first long call and comes back as
    /// the memory of it fades.
    PeakEwma,
    /// Expected time of the call: clipped mean of past calls, worsened by the
    /// outstanding calls that share the replica's slots, by hints of its health
    /// and load endpoint, and while it is cold.
    Predicted,
    /// Windowed weighted average with ranked damping of the split ratios, as
    /// in Dealer (Hajjat et al., JSAC 2013, sections IV-B and IV-C).
    Damped,
}

impl Choice {
    /// Every way to choose.
    pub const ALL: [Choice; 6] = [
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::PowerOfTwo,
        Self::PeakEwma,
        Self::Predicted,
        Self::Damped,
    ];

    /// The word in reports.
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

/// The replica of `replicas` that gets the next call for `version`. Those in
/// `tried`, those that are leaving, those that lack the snapshot and those
/// without room are never chosen.
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
    // Where the best ones have no room, waiting for one of them is better than
    // calling one that rests or leaves.
    let among: Vec<Ix> = best.into_iter().filter(|ix| table.has_room(*ix)).collect();
    pick(table, &among, now, rng)
}

/// The replicas that may be called, the best first: those that are sound, all
/// that are not leaving, all. A replica that rests is better than one that is
/// leaving: the latter may end at any moment, and must be left alone soon.
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
    let sure: Vec<Ix> = open
        .iter()
        .copied()
        .filter(|ix| !table.is_doubted(*ix))
        .collect();
    let sound: Vec<Ix> = sure
        .iter()
        .copied()
        .filter(|ix| !evicted.contains(ix) && !table.is_resting(*ix, now))
        .collect();
    [sound, sure, open]
}

fn pick(table: &mut Table, among: &[Ix], now: Time, rng: &mut dyn Rng) -> Option<Ix> {
    if among.len() <= 1 {
        return among.first().copied();
    }
    table.turn = table.turn.wrapping_add(1);
    match table.config.choice {
        Choice::RoundRobin => Some(among[table.turn as usize % among.len()]),
        Choice::PowerOfTwo => Some(two_random(table, among, rng)),
        Choice::Damped => table.damped.pick(among, now, rng),
        Choice::LeastOutstanding => least(among, rng, |ix| f64::from(table.outstanding(ix))),
        Choice::PeakEwma => least(among, rng, |ix| peak_score(table, ix, now)),
        Choice::Predicted => least(among, rng, |ix| predicted_score(table, ix, now)),
    }
}

fn two_random(table: &Table, among: &[Ix], rng: &mut dyn Rng) -> Ix {
    let one = below(rng, among.len());
    let other = (one + 1 + below(rng, among.len() - 1)) % among.len();
    let (a, b) = (among[one], among[other]);
    if table.outstanding(b) < table.outstanding(a) {
        b
    } else {
        a
    }
}

/// The back end with the least score; the search starts at a random place so
/// that equal ones share the load.
fn least(among: &[Ix], rng: &mut dyn Rng, score: impl Fn(Ix) -> f64) -> Option<Ix> {
    let start = below(rng, among.len());
    let turned = among[start..].iter().chain(&among[..start]);
    let scored = turned.map(|ix| (score(*ix), *ix));
    scored
        .min_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, ix)| ix)
}

fn peak_score(table: &Table, ix: Ix, now: Time) -> f64 {
    let state = &table.states[ix.index()];
    let peak = state.estimate.peak_at(now).max(table.typical());
    peak * f64::from(state.outstanding + 1)
}

/// Expected time of a call. The mean already holds the waiting that other
/// entries cause; our own outstanding calls come on top of it, spread over the
/// slots.
fn predicted_score(table: &Table, ix: Ix, now: Time) -> f64 {
    let state = &table.states[ix.index()];
    let own = f64::from(state.outstanding) / f64::from(state.slots.max(1));
    let expected = state.estimate.mean_at(now, table.typical());
    expected * (1.0 + OWN_WEIGHT * own) * table.handicap(ix, now)
}

/// Weight of our own outstanding calls. Above 1 because, with several entries
/// alike, each of ours stands for about one of each other entry's.
const OWN_WEIGHT: f64 = 3.0;

/// A number below `bound`.
pub(crate) fn below(rng: &mut dyn Rng, bound: usize) -> usize {
    let wide = u128::from(rng.next_u64()) * bound as u128;
    usize::try_from(wide >> 64).expect("below the bound")
}
