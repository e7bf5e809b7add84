//! What an extra call is worth to the query that makes it.

use chestnut_unit::Time;

use super::Query;
use crate::Prospect;

/// Worth of an answer that comes after the goal, beside one that comes in time.
/// Operators give the goal as the time within which an answer is worth all; what a
/// later one is worth differs, and is little.
const LATE: f64 = 0.2;

impl<P> Query<P> {
    /// What one more extra call adds to the answer, as a part of a whole one that
    /// comes in time.
    ///
    /// An answer is worth the square of the share of shards that are in, and
    /// nothing below the least share. One call that completes the least share
    /// makes most of an answer; where several are needed, each makes its part of
    /// it; beyond the least share it adds a little. Where extra calls are scarce,
    /// those that add most have to come first: spent evenly, they run out on
    /// queries that stay below their least share all the same.
    pub(super) fn gain(&self, now: Time) -> f64 {
        let all = self.shards.len() as f64;
        let sure = self.shards.iter().filter(|shard| {
            let on_time = shard.live > 0 && shard.due > now;
            shard.part.is_some() || on_time
        });
        let sure = sure.count();
        let least = (1..=self.shards.len()).find(|count| self.reaches_least(*count));
        let least = least.unwrap_or(self.shards.len());
        let square = |count: usize| (count as f64 / all).powi(2);
        let gain = match least.saturating_sub(sure) {
            0 => square(sure + 1) - square(sure),
            short => square(least) / short as f64,
        };
        match self.config.prospect {
            Prospect::InTime if now < self.config.goal => gain,
            Prospect::InTime | Prospect::Late => gain * LATE,
        }
    }
}
