//! Split ratios from windowed weighted averages with ranked damping, one of
//! the candidates that the experiments compare.
//!
//! Source: Hajjat et al., "Dynamic Request Splitting for Interactive Cloud
//! Applications", IEEE JSAC 2013, sections IV-B (linearly weighted moving
//! average over W windows, weighted by samples) and IV-C (damping ratio from
//! rank times requests over the last W windows).

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::Time;
use rand::Rng;

use crate::Ix;

/// Windows remembered; the source found 3 to 5 best.
const WINDOWS: usize = 4;
/// Length of a window. The source uses 10 s; a tenth of it suits calls of a
/// few milliseconds.
const WINDOW: Duration = Duration::from_secs(1);
/// Least share of each replica, in place of the source's probes.
const PROBE: f64 = 0.05;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    sum: f64,
    samples: u64,
    requests: u64,
    rank: f64,
}

/// Windows of each back end, newest last.
#[derive(Clone, Debug, Default)]
pub struct Damped {
    windows: BTreeMap<Ix, [Window; WINDOWS]>,
    epoch: u64,
}

impl Damped {
    /// Takes the duration of a call.
    pub fn record(&mut self, ix: Ix, span: Duration, now: Time) {
        self.roll(now);
        let window = &mut self.windows.entry(ix).or_default()[WINDOWS - 1];
        window.sum += span.as_nanos() as f64;
        window.samples += 1;
    }

    /// Draws a replica by its damped share.
    pub fn pick(&mut self, among: &[Ix], now: Time, rng: &mut dyn Rng) -> Option<Ix> {
        self.roll(now);
        let weights: Vec<f64> = among.iter().map(|ix| self.weight(*ix)).collect();
        let total: f64 = weights.iter().sum();
        let mut draw = rng.next_u64() as f64 / u64::MAX as f64 * total;
        let mut chosen = *among.last()?;
        for (ix, weight) in among.iter().zip(&weights) {
            draw -= weight;
            if draw <= 0.0 {
                chosen = *ix;
                break;
            }
        }
        self.windows.entry(chosen).or_default()[WINDOWS - 1].requests += 1;
        Some(chosen)
    }

    /// Rank times requests over the windows, and never less than a probe.
    fn weight(&self, ix: Ix) -> f64 {
        let Some(windows) = self.windows.get(&ix) else {
            return 1.0;
        };
        let past = &windows[..WINDOWS - 1];
        let weight: f64 = past.iter().map(|w| w.rank * w.requests as f64).sum();
        let most: f64 = past.iter().map(|w| w.requests as f64).sum();
        (weight / most.max(1.0)).max(PROBE)
    }

    fn roll(&mut self, now: Time) {
        let epoch = now.as_nanos() / WINDOW.as_nanos() as u64;
        let steps = epoch.saturating_sub(self.epoch).min(WINDOWS as u64);
        self.epoch = epoch;
        for _ in 0..steps {
            self.rank();
            for windows in self.windows.values_mut() {
                windows.rotate_left(1);
                windows[WINDOWS - 1] = Window::default();
            }
        }
    }

    /// Ranks the back ends by their smoothed delay; the best gets the highest.
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

/// Linearly weighted moving average, by recency and samples (equation 1).
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
