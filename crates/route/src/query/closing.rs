//! When a query ends, and how.

use chestnut_unit::Time;

use super::{CallId, Context, End, Give, HOP, Query};

impl<P> Query<P> {
    /// Whether the answer is past its goal and covers the least share.
    pub(super) fn is_enough(&self, now: Time) -> bool {
        let merged = self.shards.len() - self.pending;
        now >= self.config.goal && merged > 0 && self.reaches_least(merged)
    }

    /// Whether the least share is in and all that is missing would have to come
    /// from back ends that answer nobody. Each query still calls one of them,
    /// so that one that is back shows within a query.
    pub(super) fn is_dark(&self, cx: &Context<'_>) -> bool {
        let merged = self.shards.len() - self.pending;
        if self.config.goal >= self.config.deadline || !self.reaches_least(merged) {
            return false;
        }
        let mut pending = self.shards.iter().filter(|shard| shard.part.is_none());
        pending.all(|shard| {
            let replicas = &self.routes.shards[shard.route].replicas;
            replicas.iter().all(|ix| cx.table.is_dark(*ix, cx.now))
        })
    }

    /// Shards without any back end that may be called.
    pub(super) fn closed(&self, cx: &Context<'_>) -> Vec<usize> {
        let version = self.version();
        let is_closed = |position: &usize| {
            let route = self.shards[*position].route;
            let mut replicas = self.routes.shards[route].replicas.iter();
            !replicas.any(|ix| cx.table.is_open(*ix, version, cx.now))
        };
        (0..self.shards.len()).filter(is_closed).collect()
    }

    pub(super) fn reaches_least(&self, shards: usize) -> bool {
        shards as f64 >= self.config.least.as_f64() * self.shards.len() as f64
    }

    /// Ends the query if nothing more can come of it.
    pub(super) fn settle(&mut self, cx: &mut Context<'_>) {
        if self.end.is_some() {
            return;
        }
        if self.pending == 0 {
            self.finish(End::Whole, cx);
            return;
        }
        if self.is_enough(cx.now) || self.is_dark(cx) {
            self.finish(End::Partial(Give::Enough), cx);
            return;
        }
        if !self.stuck {
            return;
        }
        let hopeless: Vec<usize> = (0..self.shards.len())
            .filter(|p| self.shards[*p].is_hopeless())
            .collect();
        let reachable = self.shards.len() - hopeless.len();
        let over = hopeless.len() == self.pending || !self.reaches_least(reachable);
        if over && !hopeless.is_empty() {
            let give = self.why(&hopeless, cx);
            self.finish(End::Partial(give), cx);
            return;
        }
        // After the end was ruled out: a call that is cancelled at once may have run.
        self.stuck = !hopeless.is_empty();
        self.try_next(cx);
    }

    /// Why shards have no live call and get none.
    pub(super) fn why(&self, hopeless: &[usize], cx: &Context<'_>) -> Give {
        if cx.now + HOP >= self.config.deadline {
            return Give::Deadline;
        }
        let version = self.version();
        let lost = hopeless.iter().any(|position| {
            let route = self.shards[*position].route;
            let replicas = &self.routes.shards[route].replicas;
            !replicas.is_empty()
                && !replicas
                    .iter()
                    .any(|ix| cx.table.is_open(*ix, version, cx.now))
        });
        if lost {
            Give::SnapshotLost
        } else {
            Give::NoReplica
        }
    }

    pub(super) fn finish(&mut self, end: End, cx: &mut Context<'_>) {
        self.end = Some(end);
        self.let_go(cx);
        for number in 0..self.calls.len() {
            self.cancel(CallId(number as u32), cx);
        }
    }
}
