//! Estimates and quantiles of call durations.

use std::time::Duration;

use chestnut_unit::Time;
use hdrhistogram::Histogram;

/// Weight of a new sample in the moving average. It is small enough that one
/// straggler changes the average little, and large enough that the average of
/// a leaf that turned slow rises within about ten calls.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Samples are clipped at this multiple of the average, so that one straggler doesn't move its
/// leaf's load to the other replicas. A leaf that is truly slow still rises by a fifth with
/// every call.
const CLIP_FACTOR: f64 = 3.0;
/// Time constant with which estimates decay towards the typical duration.
/// Without it a leaf that was slow once would never be called again.
const DECAY_TIME: Duration = Duration::from_secs(30);

/// Expected duration of a call to one back end: a moving average and a decaying
/// peak.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    /// Exponentially weighted moving average, in nanoseconds.
    mean: Option<f64>,
    peak: f64,
    updated: Time,
}

impl Estimate {
    /// Records the duration of an answered call in the average, clipped, and in
    /// the peak.
    pub fn record(&mut self, span: Duration, now: Time) {
        let sample = span.as_nanos() as f64;
        self.peak = self.peak_at(now).max(sample);
        let mean = match self.mean {
            None => sample,
            Some(mean) => mean + SAMPLE_WEIGHT * (sample.min(mean * CLIP_FACTOR) - mean),
        };
        self.mean = Some(mean);
        self.updated = now;
    }

    /// Records a call that was cancelled after `span`. It counts only if it
    /// already took longer than the average, or if there is none yet.
    pub fn record_at_least(&mut self, span: Duration, now: Time) {
        if self.mean.is_none_or(|mean| span.as_nanos() as f64 > mean) {
            self.record(span, now);
        }
    }

    /// Expected duration of a call in nanoseconds: the average, which decays
    /// towards `typical`, the duration at a typical back end of the service.
    /// `typical` if no call was recorded.
    #[must_use]
    pub fn mean_at(&self, now: Time, typical: f64) -> f64 {
        match self.mean {
            None => typical,
            Some(mean) => typical + (mean - typical) * decay(now.since(self.updated)),
        }
    }

    /// The decaying peak of call durations, in nanoseconds.
    #[must_use]
    pub fn peak_at(&self, now: Time) -> f64 {
        self.peak * decay(now.since(self.updated))
    }

    /// Whether any call has been recorded.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.mean.is_some()
    }
}

/// Part of a value, from 1 towards 0, that remains at this age.
fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

/// Longest duration that is recorded, in microseconds; longer ones count as
/// this.
const SPAN_MAX_US: u64 = 60_000_000;
/// Significant digits of recorded durations.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Number of samples per window.
const WINDOW_SAMPLES: u64 = 2_000;
/// Number of samples between two computations of the cached quantiles.
const REFRESH_SAMPLES: u64 = 64;

/// Quantiles of recent call durations over two windows of samples. A full
/// window replaces the older one.
#[derive(Clone, Debug)]
pub struct Quantiles {
    old: Histogram<u32>,
    new: Histogram<u32>,
    /// Samples since the cached quantiles were computed.
    unrefreshed: u64,
    median: Duration,
    high: Duration,
    quantile: f64,
}

impl Quantiles {
    /// Creates an empty histogram that caches the median and the given
    /// `quantile`.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are valid constants.
    #[must_use]
    pub fn new(quantile: f64) -> Self {
        let empty =
            Histogram::new_with_max(SPAN_MAX_US, SIGNIFICANT_DIGITS).expect("constant bounds");
        Self {
            old: empty.clone(),
            new: empty,
            unrefreshed: 0,
            median: Duration::ZERO,
            high: Duration::ZERO,
            quantile,
        }
    }

    /// Records the duration of one call. The cached quantiles are recomputed
    /// after every few samples, or at each sample while there are few.
    pub fn record(&mut self, span: Duration) {
        let us = u64::try_from(span.as_micros()).unwrap_or(SPAN_MAX_US);
        self.new.saturating_record(us.clamp(1, SPAN_MAX_US));
        self.unrefreshed += 1;
        if self.unrefreshed >= REFRESH_SAMPLES || self.count() < REFRESH_SAMPLES {
            self.refresh();
        }
        if self.new.len() >= WINDOW_SAMPLES {
            std::mem::swap(&mut self.old, &mut self.new);
            self.new.reset();
        }
    }

    /// Number of samples in both windows.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.old.len() + self.new.len()
    }

    /// The median at the latest refresh, zero before the first sample.
    #[must_use]
    pub fn median(&self) -> Duration {
        self.median
    }

    /// The quantile given to [`Quantiles::new`] at the latest refresh, zero
    /// before the first sample.
    #[must_use]
    pub fn high(&self) -> Duration {
        self.high
    }

    /// The longest duration in both windows, zero before the first sample.
    #[must_use]
    pub fn longest(&self) -> Duration {
        Duration::from_micros(self.old.max().max(self.new.max()))
    }

    /// Recomputes the cached quantiles.
    fn refresh(&mut self) {
        self.unrefreshed = 0;
        self.median = self.value_at(0.5);
        self.high = self.value_at(self.quantile);
    }

    /// The quantile over both windows: the mean of theirs, weighted by samples.
    fn value_at(&self, quantile: f64) -> Duration {
        let (a, b) = (self.old.len() as f64, self.new.len() as f64);
        let value = |h: &Histogram<u32>| h.value_at_quantile(quantile) as f64;
        let us = (value(&self.old) * a + value(&self.new) * b) / (a + b).max(1.0);
        Duration::from_micros(us as u64)
    }
}
