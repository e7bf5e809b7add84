//! Call classes and their recent call and query durations.

use std::time::Duration;

use crate::{Quantiles, Repeat};

/// A class of calls with similar durations: the calls of one route. A table has
/// one class until more are added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class(pub(crate) u16);

impl Class {
    /// Returns the position of the class in the table's list of profiles.
    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Quantile of call durations above which a call is late. Its complement is the
/// usual rate of hedges, which must stay well below the hedge budget.
const LATE_QUANTILE: f64 = 0.99;

/// Quantiles of the recent call durations of one class, of their excess over the
/// expected ones and of the durations of its queries, with the latency objective.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Durations of the calls.
    pub calls: Quantiles,
    /// Time by which calls exceeded the expected duration for their back end.
    pub excess: Quantiles,
    /// Durations of the queries, from the start to the answer or the deadline.
    pub queries: Quantiles,
    /// Latency objective of the callers, if known.
    pub objective: Option<Duration>,
}

impl Default for Profile {
    /// No calls recorded and no objective; the high quantiles are the 99th
    /// percentile.
    fn default() -> Self {
        Self {
            calls: Quantiles::new(LATE_QUANTILE),
            excess: Quantiles::new(LATE_QUANTILE),
            queries: Quantiles::new(LATE_QUANTILE),
            objective: None,
        }
    }
}

impl Profile {
    /// Returns the time in which a query that may be repeated as `repeat` says is expected to
    /// end. If none has ended yet it is the `objective` of one that may be repeated, and `None`
    /// of another.
    #[must_use]
    pub fn query_time(&self, repeat: Repeat, objective: Duration) -> Option<Duration> {
        upper_bound(&self.queries, repeat, objective)
    }

    /// Returns the same of a call.
    pub(crate) fn call_time(&self, repeat: Repeat, objective: Duration) -> Option<Duration> {
        upper_bound(&self.calls, repeat, objective)
    }
}

/// Returns the duration that few of `durations` exceed, or none if the work can't be repeated:
/// its caller can't make up for one that is broken off. Without any, an objective is what the
/// operator expects.
fn upper_bound(durations: &Quantiles, repeat: Repeat, objective: Duration) -> Option<Duration> {
    match (repeat, durations.count()) {
        (Repeat::Idempotent, 0) => Some(objective),
        (Repeat::OnlyIfNotRun, 0) => None,
        (Repeat::Idempotent, _) => Some(durations.high()),
        (Repeat::OnlyIfNotRun, _) => Some(durations.longest()),
    }
}
