//! When to call a second replica for a shard that is late.

use std::time::Duration;

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
        /// A call is late when it outlasts its expected time by at most this
        /// multiple of the median call. A quantile alone fails when
        /// stragglers outnumber its complement: the delay then is a
        /// straggler's own duration.
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

/// A call to a back end that is known to be slow is late when a usual one
/// would be, taken as this multiple of the median call: the query waits for
/// the call, however well its slowness was foreseen.
const USUAL: f64 = 1.5;

impl Hedge {
    /// Delay from the sending of a call that is expected to take `expected`
    /// to its hedge. `excess` are the times by which calls of the service
    /// outlast what was expected of their back end: a call to a leaf nearby
    /// is late sooner than one across failure domains.
    #[must_use]
    pub fn delay(
        &self,
        expected: Duration,
        calls: &Quantiles,
        excess: &Quantiles,
    ) -> Option<Duration> {
        match *self {
            Self::Never => None,
            Self::Fixed(delay) => Some(delay),
            Self::Late { .. } if calls.count() < SAMPLES_NEEDED => Some(DELAY_UNKNOWN),
            Self::Late { times, .. } => {
                let median = calls.median();
                let usual = expected.min(median.mul_f64(USUAL));
                let slack = excess.high().min(median.mul_f64(times));
                Some((usual + slack).max(DELAY_MIN))
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
