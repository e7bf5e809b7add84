//! Estimates of how long calls take.

use std::time::Duration;

use chestnut_unit::Time;
use hdrhistogram::Histogram;

/// Weight of a new sample. A tenth remembers about ten calls: enough to ride
/// out one straggler, few enough to follow a leaf that turned slow.
const SAMPLE_WEIGHT: f64 = 0.1;
/// A sample counts as at most this multiple of the estimate. One random
/// straggler would otherwise push its leaf's load on to the other replicas; a
/// leaf that is truly slow still climbs by a fifth with every call.
const CLIP: f64 = 3.0;
/// Time in which the difference from the typical leaf falls to a third while
/// a leaf gets no calls. Without it a leaf that was slow once would never be
/// tried again.
const FORGET: Duration = Duration::from_secs(30);

/// Expected time of one call to one back end.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    mean: Option<f64>,
    peak: f64,
    at: Time,
}

impl Estimate {
    /// Takes the duration of a call.
    pub fn record(&mut self, span: Duration, now: Time) {
        let sample = span.as_nanos() as f64;
        self.peak = self.peak_at(now).max(sample);
        let mean = match self.mean {
            None => sample,
            Some(mean) => mean + SAMPLE_WEIGHT * (sample.min(mean * CLIP) - mean),
        };
        self.mean = Some(mean);
        self.at = now;
    }

    /// Takes a call that had not answered after `span`: it counts only if it
    /// is longer than expected.
    pub fn record_at_least(&mut self, span: Duration, now: Time) {
        if self.mean.is_none_or(|mean| span.as_nanos() as f64 > mean) {
            self.record(span, now);
        }
    }

    /// Expected nanoseconds of a call, where a typical back end of the service
    /// takes `typical`.
    #[must_use]
    pub fn mean_at(&self, now: Time, typical: f64) -> f64 {
        match self.mean {
            None => typical,
            Some(mean) => typical + (mean - typical) * fade(now.since(self.at)),
        }
    }

    /// The highest recent duration in nanoseconds, decaying with time.
    #[must_use]
    pub fn peak_at(&self, now: Time) -> f64 {
        self.peak * fade(now.since(self.at))
    }

    /// Whether any call was recorded.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.mean.is_some()
    }
}

fn fade(age: Duration) -> f64 {
    (-age.as_secs_f64() / FORGET.as_secs_f64()).exp()
}

/// Longest duration that is told apart, in microseconds.
const SPAN_MAX_US: u64 = 60_000_000;
/// Digits kept of a duration.
const DIGITS: u8 = 2;
/// Samples after which the older half of the memory is dropped.
const WINDOW: u64 = 2_000;
/// Samples between two computations of the cached quantiles.
const REFRESH: u64 = 64;

/// Quantiles of the recent call durations of a service, from two windows of
/// samples of which the older is dropped when the newer is full.
#[derive(Clone, Debug)]
pub struct Quantiles {
    old: Histogram<u32>,
    new: Histogram<u32>,
    stale: u64,
    median: Duration,
    high: Duration,
    quantile: f64,
}

impl Quantiles {
    /// Keeps the median and the given high `quantile` at hand.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants that it accepts.
    #[must_use]
    pub fn new(quantile: f64) -> Self {
        let empty = Histogram::new_with_max(SPAN_MAX_US, DIGITS).expect("constant bounds");
        Self {
            old: empty.clone(),
            new: empty,
            stale: 0,
            median: Duration::ZERO,
            high: Duration::ZERO,
            quantile,
        }
    }

    /// Takes the duration of one call.
    pub fn record(&mut self, span: Duration) {
        let us = u64::try_from(span.as_micros()).unwrap_or(SPAN_MAX_US);
        self.new.saturating_record(us.clamp(1, SPAN_MAX_US));
        self.stale += 1;
        if self.stale >= REFRESH || self.count() < REFRESH {
            self.refresh();
        }
        if self.new.len() >= WINDOW {
            std::mem::swap(&mut self.old, &mut self.new);
            self.new.reset();
        }
    }

    /// Samples in memory.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.old.len() + self.new.len()
    }

    /// The median, as of the latest refresh.
    #[must_use]
    pub fn median(&self) -> Duration {
        self.median
    }

    /// The high quantile, as of the latest refresh.
    #[must_use]
    pub fn high(&self) -> Duration {
        self.high
    }

    fn refresh(&mut self) {
        self.stale = 0;
        self.median = self.at(0.5);
        self.high = self.at(self.quantile);
    }

    fn at(&self, quantile: f64) -> Duration {
        let (a, b) = (self.old.len() as f64, self.new.len() as f64);
        let of = |h: &Histogram<u32>| h.value_at_quantile(quantile) as f64;
        let us = (of(&self.old) * a + of(&self.new) * b) / (a + b).max(1.0);
        Duration::from_micros(us as u64)
    }
}
