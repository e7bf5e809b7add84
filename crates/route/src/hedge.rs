//! Hedging: when to call a second replica for a shard that is late.

use std::time::Duration;

use crate::Quantiles;

/// Policy by which hedges are timed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Hedge {
    /// No hedges are made.
    Never,
    /// Every call is hedged after the same delay, whatever the state of its
    /// query.
    Fixed(Duration),
    /// Outstanding calls of a query are hedged once most of its shards have
    /// answered and the calls take longer than usual for the service.
    Late {
        /// Cap on the time after its expected duration at which a call is late,
        /// as a multiple of the median duration. This time is normally a
        /// quantile of past excesses over the expected duration; the cap
        /// applies when there are so many stragglers that they determine it.
        times: f64,
        /// Largest share of missing shards at which a query may hedge. If more
        /// are missing the whole service is slow, and extra calls would slow it
        /// further.
        missing: f64,
    },
}

/// Delay of [`Hedge::Late`] until enough calls of a service were recorded.
const DEFAULT_DELAY: Duration = Duration::from_millis(50);
/// Number of recorded calls needed to derive a delay from them.
const SAMPLES_NEEDED: u64 = 32;
/// Shortest delay of [`Hedge::Late`], above the resolution of the runtime's
/// timers.
const MIN_DELAY: Duration = Duration::from_micros(500);

/// Cap on the expected duration from which a delay is derived, as a multiple of
/// the median. Without it, calls to a back end that is known to be slow would
/// be hedged late, although they delay their queries as much as other late
/// calls.
const MAX_EXPECTED_MEDIANS: f64 = 1.5;

impl Hedge {
    /// Delay between sending a call and hedging it, or `None` if the policy
    /// makes no hedges. The call is expected to take `expected`; `calls` are
    /// the durations of the service's calls, and `excess` is by how much they
    /// exceeded their expected durations.
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
            Self::Late { .. } if calls.count() < SAMPLES_NEEDED => Some(DEFAULT_DELAY),
            Self::Late { times, .. } => {
                let median = calls.median();
                let capped = expected.min(median.mul_f64(MAX_EXPECTED_MEDIANS));
                let margin = excess.high().min(median.mul_f64(times));
                Some((capped + margin).max(MIN_DELAY))
            }
        }
    }

    /// Whether a query that lacks `missing` of `asked` shards may hedge now:
    /// with a fixed delay always; with [`Hedge::Late`] if at most one or at
    /// most the policy's share is missing.
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
