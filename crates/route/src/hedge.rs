//! When to call a second replica for a shard that is late.

use std::time::Duration;

use chestnut_unit::Time;

use crate::Quantiles;

/// How hedges are timed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Hedge {
    /// No hedges.
    Never,
    /// Each call is hedged after the same delay, however its query stands.
    Fixed(Duration),
    /// The calls that a query still waits for are hedged when most of its
    /// shards have answered and the wait passes what calls of the service
    /// usually take.
    Late {
        /// The delay is at most this multiple of the median call. A quantile
        /// alone fails when stragglers outnumber its complement: the delay
        /// then is a straggler's own duration.
        times: f64,
        /// Largest share of shards that may be missing for a hedge. More
        /// means that the service is slow, not a few calls, and extra calls
        /// would make it slower.
        missing: f64,
    },
}

/// Delay while nothing is known of a service.
const DELAY_UNKNOWN: Duration = Duration::from_millis(50);
/// Samples needed before a delay is worked out from them.
const SAMPLES_NEEDED: u64 = 32;
/// Shortest delay: below it the timers of the runtime decide, not the policy.
const DELAY_MIN: Duration = Duration::from_micros(500);

impl Hedge {
    /// Delay from the sending of a call to its hedge.
    #[must_use]
    pub fn delay(&self, calls: &Quantiles) -> Option<Duration> {
        match *self {
            Self::Never => None,
            Self::Fixed(delay) => Some(delay),
            Self::Late { .. } if calls.count() < SAMPLES_NEEDED => Some(DELAY_UNKNOWN),
            Self::Late { times, .. } => {
                let cap = calls.median().mul_f64(times);
                Some(calls.high().min(cap).max(DELAY_MIN))
            }
        }
    }

    /// Whether a query with `missing` of `asked` shards may hedge now.
    #[must_use]
    pub fn is_late(&self, missing: usize, asked: usize) -> bool {
        match *self {
            Self::Never => false,
            Self::Fixed(_) => true,
            Self::Late { missing: share, .. } => {
                missing <= 1 || missing as f64 <= share * asked as f64
            }
        }
    }
}

/// The next point at which a query looks for late shards.
#[derive(Clone, Copy, Debug)]
pub struct HedgeTimer {
    delay: Duration,
    due: Time,
}

impl HedgeTimer {
    /// First look after `delay`.
    #[must_use]
    pub fn new(start: Time, delay: Duration) -> Self {
        Self {
            delay,
            due: start + delay,
        }
    }

    /// The delay of this query. It is fixed at its start: were it worked out
    /// anew at each look, a rise of a few microseconds in between would make
    /// the shards that are due look early, and they would wait for another
    /// whole delay.
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// When to look.
    #[must_use]
    pub fn due(&self) -> Time {
        self.due
    }

    /// Sets the next look one delay after `now`.
    pub fn again(&mut self, now: Time) {
        self.due = now + self.delay;
    }
}
