//! Call counters of one service, for reports and metrics.

/// Counters of one service's calls since its table was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// First calls made.
    pub first: u64,
    /// Shards covered by first calls.
    pub shards: u64,
    /// Hedges made.
    pub hedges: u64,
    /// Retries made.
    pub retries: u64,
    /// Extra calls that were not made because their budget was used up.
    pub over_budget: u64,
    /// Extra calls that were not made because they add too little to the answer
    /// for what is left of their budget.
    pub low_gain: u64,
    /// Answers, or parts of them, that were dropped: the request or shard was
    /// already done, or they belong to another snapshot.
    pub dropped: u64,
    /// Evictions (outlier ejections).
    pub evictions: u64,
}

impl CallCounts {
    /// Hedges and retries per first call.
    #[must_use]
    pub fn extra(&self) -> f64 {
        (self.hedges + self.retries) as f64 / self.first.max(1) as f64
    }
}
