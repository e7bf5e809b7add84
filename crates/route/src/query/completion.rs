//! Conditions under which a query ends.

use chestnut_unit::Time;

use super::{CallId, Context, End, HOP_ALLOWANCE, PartialReason, Query};

impl<P> Query<P> {
    /// Returns whether the latency objective has passed and the merged shards, at
    /// least one, reach the minimum coverage.
    pub(super) fn is_sufficient(&self, now: Time) -> bool {
        let merged = self.shards.len() - self.pending;
        now >= self.config.objective && merged > 0 && self.has_min_coverage(merged)
    }

    /// Returns whether the minimum coverage is reached and all missing shards have
    /// only unresponsive back ends; false without an objective before the
    /// deadline. Each query still calls one of them first, so a recovered back end
    /// is detected by the next query.
    pub(super) fn only_unresponsive_left(&self, cx: &Context<'_>) -> bool {
        let merged = self.shards.len() - self.pending;
        if self.config.objective >= self.config.deadline || !self.has_min_coverage(merged) {
            return false;
        }
        let mut pending = self.shards.iter().filter(|shard| shard.part.is_none());
        pending.all(|shard| {
            let replicas = &self.routes.shards[shard.route].replicas;
            replicas
                .iter()
                .all(|ix| cx.table.is_unresponsive(*ix, cx.now))
        })
    }

    /// Returns the positions of the shards without a back end that may be called
    /// for the pinned version.
    pub(super) fn unavailable(&self, cx: &Context<'_>) -> Vec<usize> {
        let version = self.version();
        let is_unavailable = |position: &usize| {
            let route = self.shards[*position].route;
            let mut replicas = self.routes.shards[route].replicas.iter();
            !replicas.any(|ix| cx.table.is_open(*ix, version, cx.now))
        };
        (0..self.shards.len()).filter(is_unavailable).collect()
    }

    /// Returns whether an answer over `shards` shards has the minimum coverage.
    pub(super) fn has_min_coverage(&self, shards: usize) -> bool {
        shards as f64 >= self.config.min_coverage.as_f64() * self.shards.len() as f64
    }

    /// Ends the query if it is complete or sufficient, or if no further shard or
    /// too few for minimum coverage can be merged. Otherwise continues a trial.
    pub(super) fn check_end(&mut self, cx: &mut Context<'_>) {
        if self.end.is_some() {
            return;
        }
        if self.pending == 0 {
            self.finish(End::Complete, cx);
            return;
        }
        if self.is_sufficient(cx.now) || self.only_unresponsive_left(cx) {
            self.finish(End::Partial(PartialReason::Sufficient), cx);
            return;
        }
        if !self.maybe_exhausted {
            return;
        }
        let exhausted: Vec<usize> = (0..self.shards.len())
            .filter(|p| self.shards[*p].is_exhausted())
            .collect();
        let reachable = self.shards.len() - exhausted.len();
        let over = exhausted.len() == self.pending || !self.has_min_coverage(reachable);
        if over && !exhausted.is_empty() {
            let reason = self.partial_reason(&exhausted, cx);
            self.finish(End::Partial(reason), cx);
            return;
        }
        // Call only after ruling out the end: a call that is cancelled at once may
        // have run.
        self.maybe_exhausted = !exhausted.is_empty();
        self.continue_trial(cx);
    }

    /// Returns why the `exhausted` shards have no call in flight and get none: the
    /// deadline or the end of the process is too near, no replica of one of them may be called, or else no
    /// replica is left to try.
    pub(super) fn partial_reason(&self, exhausted: &[usize], cx: &Context<'_>) -> PartialReason {
        if cx.now + HOP_ALLOWANCE >= self.last_time() {
            return self.timeout_reason();
        }
        if !self.can_finish_call(cx) {
            return PartialReason::Stopping;
        }
        let version = self.version();
        let lost = exhausted.iter().any(|position| {
            let route = self.shards[*position].route;
            let replicas = &self.routes.shards[route].replicas;
            !replicas.is_empty()
                && !replicas
                    .iter()
                    .any(|ix| cx.table.is_open(*ix, version, cx.now))
        });
        if lost {
            PartialReason::SnapshotLost
        } else {
            PartialReason::NoReplica
        }
    }

    /// Ends the query with `end`: leaves the capacity queue and cancels all calls
    /// in flight.
    pub(super) fn finish(&mut self, end: End, cx: &mut Context<'_>) {
        self.end = Some(end);
        self.record_duration(end, cx);
        self.leave_queue(cx);
        for number in 0..self.calls.len() {
            self.cancel(CallId(number as u32), cx);
        }
    }
}
