//! What calls of one class take.

use std::time::Duration;

use crate::Quantiles;

/// A class of calls that take about as long: the calls of one route. A table
/// has one class until more are added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class(pub(crate) u16);

impl Class {
    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The quantile of call durations after which a call counts as late. Its
/// complement is what hedges cost while nothing is wrong; the budget is well
/// above it, so that it is not spent when stragglers come.
const LATE_QUANTILE: f64 = 0.99;

/// Durations of the recent calls of one class.
#[derive(Clone, Debug)]
pub struct Profile {
    /// What calls took.
    pub calls: Quantiles,
    /// By how much they outlasted what was expected of their back end.
    pub excess: Quantiles,
    /// Within what time callers want the answers, if that is known.
    pub goal: Option<Duration>,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            calls: Quantiles::new(LATE_QUANTILE),
            excess: Quantiles::new(LATE_QUANTILE),
            goal: None,
        }
    }
}
