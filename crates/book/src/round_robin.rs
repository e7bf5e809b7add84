//! Smooth weighted round-robin over services.

/// Smooth weighted round-robin: selects services in turn, in proportion to weights, and
/// keeps the credit of each.
///
/// Each turn adds every service's weight to its credit, then subtracts the sum of
/// the weights from the service with the most credit. Even short runs of requests
/// follow the weights closely, which a random choice would not.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    /// Credit of each service, by its index in the weights.
    credit: Vec<i64>,
}

impl RoundRobin {
    /// Takes a turn and returns the index in `weights` of the selected service, or `None`
    /// if all weights are 0. The first call, and each in which the number of weights has
    /// changed, resets the credits and skips turns according to `start`, so that entries
    /// that start together don't all choose the same services in step.
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

    /// Takes one turn and returns the index of the selected service; `sum` is the sum of
    /// `weights`. `None` if there are no weights.
    fn advance(&mut self, weights: &[u32], sum: i64) -> Option<usize> {
        for (credit, weight) in self.credit.iter_mut().zip(weights) {
            *credit += i64::from(*weight);
        }
        let max = (0..weights.len()).max_by_key(|at| (self.credit[*at], *at))?;
        self.credit[max] -= sum;
        Some(max)
    }
}

/// Exclusive upper limit of the turns skipped by [`RoundRobin::next`] at start.
const MAX_SKIPPED: u64 = 100;
