//! Shards and whole queries that wait for capacity or budget.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::Time;

use super::{
    BoundedWait, CallKind, Context, End, HOP_ALLOWANCE, PartialReason, Query, QueueConfig, Shard,
    calls::may_repeat,
};
use crate::{BudgetId, Ix};

/// Minimum delay between two checks for capacity: about the time for a busy back end to
/// free a slot.
const CAPACITY_RECHECK: Duration = Duration::from_millis(4);
/// The delay between two checks is the time since the query's start divided by this, if
/// that exceeds [`CAPACITY_RECHECK`]. Old queries, which will be late anyway, thus check
/// less often and leave the capacity to those that can be in time.
const RECHECK_DIVISOR: u32 = 4;
/// Divisor of the time from the query's start to its latency objective that limits the
/// wait for capacity before the first call; the calls need the rest.
const QUEUE_DIVISOR: u32 = 2;
/// Divisor of the time from the query's start to its latency objective that gives the
/// time until which a caller can still retry after an error and meet the objective.
const RETRY_DIVISOR: u32 = 2;
/// Backoff of a shard that every replica shed: long enough for a slot to be freed.
const SHED_BACKOFF: Duration = Duration::from_millis(4);
/// Maximum number of calls of one query for a shard, as a multiple of its replicas.
pub(super) const MAX_ROUNDS: usize = 2;

/// Capacity that a query lacks before its first call.
struct Shortage {
    /// The shards without capacity, as positions in the pinned routes.
    without_capacity: Vec<usize>,
    /// Their budgets, which identify their services.
    budgets: Vec<BudgetId>,
    /// Number of them that are needed for minimum coverage.
    needed: usize,
    /// Queries per second for which capacity is freed, given how much each needs.
    rate: f64,
}

/// A deferred call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deferred {
    /// When to make it; [`Time::MAX`] until the query has a first answer.
    pub(super) at: Time,
    /// The kind of call.
    pub(super) kind: CallKind,
}

impl<P> Query<P> {
    /// Makes the first calls if enough shards have capacity for minimum coverage; a
    /// query that needs a first answer makes only one. Otherwise queues the query
    /// without calls, or ends it if it would wait too long or the process ends sooner: calls to the shards that
    /// have capacity would be wasted.
    pub(super) fn make_first_calls(&mut self, cx: &mut Context<'_>) {
        if !self.can_finish(cx) {
            self.finish(End::Partial(PartialReason::Stopping), cx);
            return;
        }
        if let Some(shortage) = self.shortage(cx) {
            self.enqueue(shortage, cx);
            return;
        }
        self.leave_queue(cx);
        self.next_check = Time::MAX;
        let (called, left) = self.split_first_calls(cx);
        let due = self.check_time(cx.now);
        self.begin_calls(called, cx, |query, _| {
            for position in left {
                query.defer_call(position, CallKind::First, due);
            }
        });
    }

    /// Makes the first calls of the shards in `called`, and then defers the others by `defer`.
    /// A query that needs a first answer makes only one call.
    pub(super) fn begin_calls(
        &mut self,
        mut called: Vec<usize>,
        cx: &mut Context<'_>,
        defer: impl FnOnce(&mut Self, &mut Context<'_>),
    ) {
        if self.needs_first_answer() {
            let others = called.split_off(1.min(called.len()));
            self.defer_until_answer(&others, CallKind::First);
        }
        self.call(&called, CallKind::First, cx);
        defer(self, cx);
        self.first_calls = self.calls.len();
        self.check_end(cx);
    }

    /// Returns the positions of the shards to call first and of those to defer. Where
    /// other queries are queued for a shard that this one can do without, the shard is
    /// left to them: otherwise a query that needs the capacity less would take it from
    /// one that then gets no answer at all.
    fn split_first_calls(&self, cx: &Context<'_>) -> (Vec<usize>, Vec<usize>) {
        let version = self.version();
        let route = |position: usize| &self.routes.shards[self.shards[position].route];
        let demand = |position: &usize| cx.table.queued(route(*position).budget).all;
        let mut order: Vec<usize> = (0..self.shards.len()).collect();
        if order.iter().all(|position| demand(position) == 0) {
            return (order, Vec::new());
        }
        order.sort_by_key(demand);
        let mut available = 0;
        order.into_iter().partition(|position| {
            let needed = available == 0 || !self.has_min_coverage(available);
            let replicas = &route(*position).replicas;
            available += usize::from(cx.table.any_free(replicas, version, cx.now));
            needed || demand(position) == 0
        })
    }

    /// Returns the capacity that the query lacks for minimum coverage, or `None` if
    /// enough shards have capacity.
    fn shortage(&self, cx: &Context<'_>) -> Option<Shortage> {
        let version = self.version();
        let routes = self.shards.iter().map(|s| s.route);
        let route = |number: usize| &self.routes.shards[number];
        let has_capacity = |number| {
            let route = route(number);
            let before = match self.is_returning() {
                true => 0,
                false => cx.table.queued(route.budget).claims,
            };
            match before {
                0 => cx.table.any_free(&route.replicas, version, cx.now),
                _ => cx.table.free_calls(&route.replicas, version, cx.now) > before,
            }
        };
        let without_capacity: Vec<usize> = routes.filter(|number| !has_capacity(*number)).collect();
        let available = self.shards.len() - without_capacity.len();
        let needed =
            (1..=without_capacity.len()).find(|more| self.has_min_coverage(available + more));
        let needed = match available > 0 && self.has_min_coverage(available) {
            true => return None,
            false => needed.unwrap_or(without_capacity.len()),
        };
        let class = self.config.class;
        let rate = |number: &usize| {
            let replicas = &route(*number).replicas;
            cx.table.drain_rate(class, replicas, version, cx.now)
        };
        Some(Shortage {
            rate: without_capacity.iter().map(rate).sum::<f64>() / needed.max(1) as f64,
            budgets: without_capacity
                .iter()
                .map(|number| route(*number).budget)
                .collect(),
            without_capacity,
            needed,
        })
    }

    /// Queues the query for capacity, or keeps it queued. Ends it as
    /// [`PartialReason::NoCapacity`] if it has waited too long or, judging by the queue
    /// and the drain rate, would.
    fn enqueue(&mut self, shortage: Shortage, cx: &mut Context<'_>) {
        let until = self.start + self.max_wait();
        let new = self.queued.is_empty();
        let returning = self.is_returning();
        self.release_claims(cx);
        let before = |budget: &BudgetId| {
            let queued = cx.table.queued(*budget);
            if returning { queued.claims } else { queued.all }
        };
        let ahead = shortage.budgets.iter().map(before).max().unwrap_or(0);
        let left = until.since(cx.now).as_secs_f64();
        let too_long = new && f64::from(ahead + 1) > shortage.rate * left;
        if too_long || cx.now >= until {
            self.without_capacity = shortage.without_capacity;
            self.finish(End::Partial(PartialReason::NoCapacity), cx);
            return;
        }
        if returning && shortage.needed == 1 {
            let budgets = shortage.budgets.iter();
            budgets.for_each(|budget| cx.table.claim(*budget));
            self.claimed = shortage.budgets.clone();
        }
        if new {
            shortage
                .budgets
                .iter()
                .for_each(|budget| cx.table.enqueue(*budget));
            self.queued = shortage.budgets;
        }
        self.next_check = self.check_time(cx.now).min(until);
    }

    /// Lets first attempts have the capacity that this query waits for.
    fn release_claims(&mut self, cx: &mut Context<'_>) {
        for budget in std::mem::take(&mut self.claimed) {
            cx.table.release_claim(budget);
        }
    }

    /// Returns the longest wait for capacity before the first call.
    fn max_wait(&self) -> Duration {
        let objective = self.config.objective.since(self.start);
        match self.config.queue {
            // A returning caller doesn't come back once more, so a longer wait costs it nothing. A
            // gather that starts later is late, as it lasts as long as its slowest call.
            QueueConfig::Bounded(wait) if wait.returning && self.shards.len() == 1 => {
                objective / QUEUE_DIVISOR
            }
            QueueConfig::Bounded(BoundedWait { max_wait, .. }) if max_wait.is_finite() => {
                objective.mul_f64(max_wait.clamp(0.0, 1.0))
            }
            _ => objective / QUEUE_DIVISOR,
        }
    }

    /// Returns whether first attempts leave this query the capacity that it waits for.
    fn is_returning(&self) -> bool {
        matches!(self.config.queue, QueueConfig::Bounded(wait) if wait.returning)
    }

    /// Removes the query from the capacity queues; does nothing if it isn't queued.
    pub(super) fn leave_queue(&mut self, cx: &mut Context<'_>) {
        self.release_claims(cx);
        for budget in std::mem::take(&mut self.queued) {
            cx.table.dequeue(budget);
        }
        if let Some(id) = self.waiter.take() {
            cx.table.leave_capacity_queue(id, cx.now);
        }
        for id in std::mem::take(&mut self.shard_waiters).into_keys() {
            cx.table.leave_capacity_queue(id, cx.now);
        }
    }

    /// Returns when to check for capacity again; the interval grows with the query's
    /// age.
    pub(super) fn check_time(&self, now: Time) -> Time {
        let growing = match self.is_returning() {
            true => Duration::ZERO,
            false => now.since(self.start) / RECHECK_DIVISOR,
        };
        now + CAPACITY_RECHECK.max(growing)
    }

    /// Defers the call of a shard that has no call in flight, if a back end may be
    /// called for it and only lacks capacity. Hedges and shards without attempts left
    /// aren't deferred.
    pub(super) fn defer_for_capacity(
        &mut self,
        position: usize,
        kind: CallKind,
        cx: &mut Context<'_>,
    ) {
        let shard = &self.shards[position];
        let attempts = shard.ran < self.config.max_attempts;
        if kind == CallKind::Hedge || shard.live > 0 || !attempts {
            return;
        }
        let replicas = &self.routes.shards[shard.route].replicas;
        let version = self.version();
        let repeats = may_repeat(kind, shard, replicas);
        let callable = |ix: &Ix| {
            let allowed = repeats || !shard.tried.contains(ix);
            allowed && cx.table.is_open(*ix, version, cx.now)
        };
        if !replicas.iter().any(callable) {
            return;
        }
        match self.config.queue {
            QueueConfig::Ordered(rank) if kind == CallKind::First => {
                self.queue_shard(position, rank, cx);
            }
            _ => self.defer_call(position, kind, self.check_time(cx.now)),
        }
    }

    /// Defers calls other than hedges that no budget paid for. From the latency
    /// objective on, or without one before the deadline, it defers none. A query of a
    /// single shard fails instead, since a new request costs no more than the call over
    /// budget and no other shard's work is lost. So does a query that needs several such
    /// shards while its caller can still retry in time: the wait would rarely succeed
    /// and would make the retry late.
    pub(super) fn defer_for_budget(&mut self, shards: &[usize], kind: CallKind, cx: &Context<'_>) {
        let alone = self.shards.len() == 1;
        if kind == CallKind::Hedge || alone || cx.now >= self.config.objective {
            return;
        }
        if self.config.objective >= self.config.deadline {
            return;
        }
        let early = cx.now < self.start + self.config.objective.since(self.start) / RETRY_DIVISOR;
        if early && self.deficit(cx.now) > 1 {
            return;
        }
        for position in shards {
            if self.shards[*position].live == 0 {
                self.defer_call(*position, kind, self.check_time(cx.now));
            }
        }
    }

    /// Defers a shard's call to `at` and moves the next check up to it. Does nothing if
    /// that is too near the deadline or the end of the process.
    pub(super) fn defer_call(&mut self, position: usize, kind: CallKind, at: Time) {
        if at + HOP_ALLOWANCE >= self.last_time() {
            return;
        }
        self.shards[position].deferred = Some(Deferred { at, kind });
        self.next_check = self.next_check.min(at);
    }

    /// Defers a retry of shards that every replica shed by a backoff, in which a slot
    /// may be freed. Skips shards that have a call in flight or deferred, or have used
    /// up their calls.
    pub(super) fn back_off(&mut self, uncovered: &[usize], cx: &Context<'_>) {
        for position in uncovered {
            let shard = &self.shards[*position];
            let replicas = self.routes.shards[shard.route].replicas.len();
            let idle = shard.live == 0 && shard.deferred.is_none();
            if idle && shard.tried.len() < replicas * MAX_ROUNDS {
                self.defer_call(*position, CallKind::RetryAfterShed, cx.now + SHED_BACKOFF);
            }
        }
    }

    /// Defers a shard's call in favour of queries queued for it, if this query can do
    /// without it; returns whether it does.
    fn yield_shard(&mut self, position: usize, cx: &Context<'_>) -> bool {
        let route = &self.routes.shards[self.shards[position].route];
        let on_track = |shard: &&Shard<P>| shard.part.is_some() || shard.live > 0;
        let enough = self.has_min_coverage(self.shards.iter().filter(on_track).count());
        let yields = enough && cx.table.is_awaited(route.budget);
        if yields {
            self.defer_call(position, CallKind::First, self.check_time(cx.now));
        }
        yields
    }

    /// Makes the deferred calls that are due, except first calls that yield to queued
    /// queries, and ends the query if no more can be merged.
    pub(super) fn make_due_calls(&mut self, cx: &mut Context<'_>) {
        // Shards due for the same reason are called together, since one call may request
        // several shards from a back end.
        let mut due: BTreeMap<CallKind, Vec<usize>> = BTreeMap::new();
        for (position, shard) in self.shards.iter_mut().enumerate() {
            let Some(deferred) = shard.deferred.filter(|deferred| deferred.at <= cx.now) else {
                continue;
            };
            shard.deferred = None;
            shard.backed_off |= deferred.kind == CallKind::RetryAfterShed;
            due.entry(deferred.kind).or_default().push(position);
        }
        if due.is_empty() {
            return;
        }
        for (kind, mut positions) in due {
            if kind == CallKind::First {
                positions.retain(|position| !self.yield_shard(*position, cx));
            }
            self.call(&positions, kind, cx);
        }
        self.maybe_exhausted = true;
        self.check_end(cx);
    }
}
