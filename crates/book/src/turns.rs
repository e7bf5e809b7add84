//! Whose turn it is among weighted services.

/// Turns among services by weight.
///
/// Each turn raises every service's credit by its weight and takes the sum of
/// the weights from the one with the most, so that any stretch of turns holds
/// the proportions to within one turn a service. A random draw would be off by
/// several in a hundred over a few hundred requests.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    credit: Vec<i64>,
}

impl Turns {
    /// The service whose turn it is, as a position in `weights`; `None` if all
    /// weights are 0. `start` spreads the first turns of entries that start
    /// together.
    pub fn next(&mut self, weights: &[u32], start: u64) -> Option<usize> {
        let sum: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
        if sum == 0 {
            return None;
        }
        if self.credit.len() != weights.len() {
            self.credit = vec![0; weights.len()];
            for _ in 0..start % sum.unsigned_abs().min(START_MAX) {
                self.turn(weights, sum);
            }
        }
        self.turn(weights, sum)
    }

    fn turn(&mut self, weights: &[u32], sum: i64) -> Option<usize> {
        for (credit, weight) in self.credit.iter_mut().zip(weights) {
            *credit += i64::from(*weight);
        }
        let most = (0..weights.len()).max_by_key(|at| (self.credit[*at], *at))?;
        self.credit[most] -= sum;
        Some(most)
    }
}

/// Most turns that a start skips; more spread no better.
const START_MAX: u64 = 100;
