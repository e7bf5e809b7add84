//! Call classes and their recent call durations.

use std::time::Duration;

use crate::Quantiles;

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

/// Quantiles of the recent call durations of one class and of their excess over
/// the expected ones, with the latency objective.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Durations of the calls.
    pub calls: Quantiles,
    /// Time by which calls exceeded the expected duration for their back end.
    pub excess: Quantiles,
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
            objective: None,
        }
    }
}
