//! Limit on a rate of requests, with a burst.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// A limit on requests: a rate, and a burst beyond it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may come at once, beyond the rate.
    pub burst: f64,
}

impl RateLimit {
    /// Returns the limit of `rate` requests per second and `burst`; `None` unless the rate is
    /// a positive number. A burst that is no number, or negative, counts as 0.
    #[must_use]
    pub fn new(rate: f64, burst: f64) -> Option<Self> {
        let burst = burst.max(0.0);
        (rate > 0.0 && rate.is_finite()).then_some(Self { rate, burst })
    }

    /// Returns how many requests may run in `window`.
    #[must_use]
    pub fn over(&self, window: Duration) -> f64 {
        self.rate * window.as_secs_f64() + self.burst
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s, burst {}", self.rate, self.burst)
    }
}
