//! Counts of the work of one service, for reports and metrics.

/// Calls of one service since its table was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauge {
    /// First calls.
    pub first: u64,
    /// Shards asked for by first calls.
    pub shards: u64,
    /// Hedges.
    pub hedges: u64,
    /// Retries.
    pub retries: u64,
    /// Extra calls that were not made as no budget could pay for them.
    pub unpaid: u64,
    /// Extra calls that were not made as they add too little to their answers for
    /// what is left of their budget.
    pub spared: u64,
    /// Answers or parts that came after their request or shard was done, or
    /// that named another snapshot, and were dropped.
    pub dropped: u64,
    /// Evictions.
    pub evictions: u64,
}

impl Gauge {
    /// Extra calls for each first call.
    #[must_use]
    pub fn extra(&self) -> f64 {
        (self.hedges + self.retries) as f64 / self.first.max(1) as f64
    }
}
