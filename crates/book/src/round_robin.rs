//! Smooth weighted round-robin over services.

/// State of a smooth weighted round-robin.
///
/// Each turn adds every service's weight to its credit, then subtracts the sum of
/// the weights from the service with the most credit. Even short runs of requests
/// follow the weights closely, which a random choice would not.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    credit: Vec<i64>,
}

impl RoundRobin {
    /// Returns the index in `weights` of the next service, or `None` if all weights
    /// are 0. The first call skips turns according to `start`, so that entries that
    /// start together don't all choose the same services in step.
    pub fn next(&mut self, weights: &[u32], start: u64) -> Option<usize> {
        let sum: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
        if sum == 0 {
            return None;
        }
        if self.credit.len() != weights.len() {
            self.credit = vec![0; weights.len()];
            for _ in 0..start % sum.unsigned_abs().min(MAX_SKIPPED) {
                self.advance(weights, sum);
            }
        }
        self.advance(weights, sum)
    }

    fn advance(&mut self, weights: &[u32], sum: i64) -> Option<usize> {
        for (credit, weight) in self.credit.iter_mut().zip(weights) {
            *credit += i64::from(*weight);
        }
        let max = (0..weights.len()).max_by_key(|at| (self.credit[*at], *at))?;
        self.credit[max] -= sum;
        Some(max)
    }
}

/// Upper limit of the turns skipped at start.
const MAX_SKIPPED: u64 = 100;
