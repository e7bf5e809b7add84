//! Value of an extra call to its query, by which a joint budget ranks calls.

use chestnut_unit::Time;

use super::Query;
use crate::Timeliness;

/// Value of an answer after the latency objective, relative to one that meets it. Operators
/// state only the objective; what a later answer is worth differs, and is little.
const LATE_VALUE: f64 = 0.2;

impl<P> Query<P> {
    /// Returns the value that one more extra call adds to the answer, as a fraction
    /// of a complete answer within the latency objective.
    ///
    /// An answer is worth the square of its coverage, and nothing below the minimum
    /// coverage. A call that alone completes the minimum has a high gain; where
    /// several are needed, each gets an equal part; beyond the minimum the gain is
    /// small. Without this ranking a scarce budget is spent on queries that stay
    /// below their minimum coverage anyway.
    pub(super) fn gain(&self, now: Time) -> f64 {
        let all = self.shards.len() as f64;
        let square = |count: usize| (count as f64 / all).powi(2);
        let on_track = self.on_track(now);
        let gain = match self.deficit(now) {
            0 => square(on_track + 1) - square(on_track),
            deficit => square(self.min_shards()) / deficit as f64,
        };
        match self.config.timeliness {
            Timeliness::InTime if now < self.config.objective => gain,
            Timeliness::InTime | Timeliness::Late => gain * LATE_VALUE,
        }
    }

    /// Returns the number of shards needed for minimum coverage that only extra
    /// calls can still deliver.
    pub(super) fn deficit(&self, now: Time) -> usize {
        self.min_shards().saturating_sub(self.on_track(now))
    }

    /// Returns the number of shards that are merged or whose call is not yet late.
    fn on_track(&self, now: Time) -> usize {
        let on_track = self.shards.iter().filter(|shard| {
            let on_time = shard.live > 0 && shard.late_at > now;
            shard.part.is_some() || on_time
        });
        on_track.count()
    }

    /// Returns the fewest shards that an answer may cover.
    fn min_shards(&self) -> usize {
        let all = self.shards.len();
        let min_shards = (1..=all).find(|count| self.has_min_coverage(*count));
        min_shards.unwrap_or(all)
    }
}
