//! What the capacity queue reports to the operator.

use std::time::Duration;

/// Counts and lengths of the capacity queue at one service. A query counts at the services whose
/// lack of capacity held it up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueStats {
    /// Queries refused on arrival.
    pub refused_on_arrival: u64,
    /// Queries refused after a wait.
    pub refused_after_wait: u64,
    /// Queries that started after a wait.
    pub woken: u64,
    /// Queries refused because the queue was full of others that go first.
    pub displaced: u64,
    /// Queries that wait now.
    pub waiting: u32,
    /// Longest wait so far of those that wait now.
    pub longest_wait: Duration,
}
