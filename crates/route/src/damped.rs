//! Split ratios from windowed weighted averages with ranked damping.
//!
//! Source: Hajjat et al., "Dynamic Request Splitting for Interactive Cloud
//! Applications", IEEE JSAC 2013, sections IV-B (linearly weighted moving
//! average over W windows, weighted by samples) and IV-C (damping ratio from
//! rank times requests over the last W windows).

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::Time;
use rand::Rng;

use crate::Ix;

/// Number of windows kept; the source recommends 3 to 5.
const WINDOWS: usize = 4;
/// Length of a window. Shorter than in the source, to suit calls that take
/// milliseconds.
const WINDOW_SPAN: Duration = Duration::from_secs(1);
/// Smallest weight of a replica in the random choice. It keeps samples coming
/// in place of the source's probes.
const MIN_WEIGHT: f64 = 0.05;

/// Statistics of one back end in one window: durations, answered calls,
/// requests sent to it, and its rank at the window's end.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// Sum of call durations, in nanoseconds.
    sum: f64,
    samples: u64,
    requests: u64,
    rank: f64,
}

/// Statistics of the recent windows of each back end, newest last.
#[derive(Clone, Debug, Default)]
pub struct DampedSplit {
    windows: BTreeMap<Ix, [Window; WINDOWS]>,
    /// Number of the current window since time zero.
    current: u64,
}

impl DampedSplit {
    /// Records the duration of an answered call.
    pub fn record(&mut self, ix: Ix, span: Duration, now: Time) {
        self.advance(now);
        let window = &mut self.windows.entry(ix).or_default()[WINDOWS - 1];
        window.sum += span.as_nanos() as f64;
        window.samples += 1;
    }

    /// Picks a replica at random, weighted by its damped share, and counts the
    /// request for it. Returns `None` without candidates.
    pub fn pick(&mut self, candidates: &[Ix], now: Time, rng: &mut dyn Rng) -> Option<Ix> {
        self.advance(now);
        let weights: Vec<f64> = candidates.iter().map(|ix| self.weight(*ix)).collect();
        let total: f64 = weights.iter().sum();
        let mut draw = rng.next_u64() as f64 / u64::MAX as f64 * total;
        let mut chosen = *candidates.last()?;
        for (ix, weight) in candidates.iter().zip(&weights) {
            draw -= weight;
            if draw <= 0.0 {
                chosen = *ix;
                break;
            }
        }
        self.windows.entry(chosen).or_default()[WINDOWS - 1].requests += 1;
        Some(chosen)
    }

    /// Mean rank over the past windows, weighted by the requests of each, at
    /// least [`MIN_WEIGHT`]; 1 for a back end without records.
    fn weight(&self, ix: Ix) -> f64 {
        let Some(windows) = self.windows.get(&ix) else {
            return 1.0;
        };
        let past = &windows[..WINDOWS - 1];
        let weight: f64 = past.iter().map(|w| w.rank * w.requests as f64).sum();
        let requests: f64 = past.iter().map(|w| w.requests as f64).sum();
        (weight / requests.max(1.0)).max(MIN_WEIGHT)
    }

    /// Ranks and closes the windows that ended by `now`.
    fn advance(&mut self, now: Time) {
        let current = now.as_nanos() / WINDOW_SPAN.as_nanos() as u64;
        let steps = current.saturating_sub(self.current).min(WINDOWS as u64);
        self.current = current;
        for _ in 0..steps {
            self.rank();
            for windows in self.windows.values_mut() {
                windows.rotate_left(1);
                windows[WINDOWS - 1] = Window::default();
            }
        }
    }

    /// Ranks the back ends of the current window by smoothed duration; the
    /// fastest gets the highest rank.
    fn rank(&mut self) {
        let mut order: Vec<(f64, Ix)> = self
            .windows
            .iter()
            .map(|(ix, windows)| (smoothed(windows), *ix))
            .collect();
        order.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        for (rank, (_, ix)) in order.iter().enumerate() {
            if let Some(windows) = self.windows.get_mut(ix) {
                windows[WINDOWS - 1].rank = (rank + 1) as f64;
            }
        }
    }
}

/// Moving average of the durations in nanoseconds, weighted by recency and
/// samples (equation 1 of the source); 0 without samples.
fn smoothed(windows: &[Window; WINDOWS]) -> f64 {
    let mut sum = 0.0;
    let mut weights = 0.0;
    for (age, window) in windows.iter().enumerate() {
        let weight = (age + 1) as f64;
        sum += window.sum * weight;
        weights += window.samples as f64 * weight;
    }
    if weights == 0.0 { 0.0 } else { sum / weights }
}
