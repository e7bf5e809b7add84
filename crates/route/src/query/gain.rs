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
        let square = |count: usize| (count as f64 / all).powi(2);
        let sure = self.sure(now);
        let gain = match self.short(now) {
            0 => square(sure + 1) - square(sure),
            short => square(self.least()) / short as f64,
        };
        match self.config.prospect {
            Prospect::InTime if now < self.config.goal => gain,
            Prospect::InTime | Prospect::Late => gain * LATE,
        }
    }

    /// Shards that only extra calls can still bring of those that the answer needs.
    pub(super) fn short(&self, now: Time) -> usize {
        self.least().saturating_sub(self.sure(now))
    }

    /// Shards that are in, or whose call is not late yet.
    fn sure(&self, now: Time) -> usize {
        let sure = self.shards.iter().filter(|shard| {
            let on_time = shard.live > 0 && shard.due > now;
            shard.part.is_some() || on_time
        });
        sure.count()
    }

    /// Fewest shards that an answer may cover.
    fn least(&self) -> usize {
        let all = self.shards.len();
        let least = (1..=all).find(|count| self.reaches_least(*count));
        least.unwrap_or(all)
    }
}
