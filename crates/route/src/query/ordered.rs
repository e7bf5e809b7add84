//! Queries that wait for capacity in the table's queue.

use std::{sync::Arc, time::Duration};

use chestnut_unit::Time;

use super::{
    CallKind, Context, End, HOP_ALLOWANCE, PartialReason, Query, QueueRank, Timeliness,
    wait::Deferred,
};
use crate::queue::{Arrival, Cost, Demand, Poll, Request, Standing};

/// Minimum weight of an owner, which keeps costs finite.
const WEIGHT_MIN: f64 = 1e-3;
/// Cost per shard while no call of the class has finished.
const SHARD_COST_MIN: Duration = Duration::from_micros(100);

impl<P> Query<P> {
    /// Makes the first calls if enough shards have capacity that no query waits for that goes
    /// first. Otherwise queues or refuses the query.
    pub(super) fn ask_for_capacity(&mut self, rank: QueueRank, cx: &mut Context<'_>) {
        let request = self.capacity_request(rank, cx);
        match cx.table.arrive(&request, cx.now) {
            Arrival::Start(positions) => self.start_with(&positions, cx),
            Arrival::Refuse(positions) => self.refuse(&positions, cx),
            Arrival::Wait(id) => {
                self.waiter = Some(id);
                self.next_check = cx.table.next_waiter_check(id, cx.now);
            }
        }
    }

    /// Checks whether a query in the queue may start or is refused. Ends it if too few shards
    /// for minimum coverage still have an open back end.
    pub(super) fn check_queue(&mut self, cx: &mut Context<'_>) {
        let Some(id) = self.waiter else {
            return;
        };
        if !self.can_finish(cx) {
            self.finish(End::Partial(PartialReason::Stopping), cx);
            return;
        }
        let unavailable = self.unavailable(cx);
        let open = self.shards.len() - unavailable.len();
        if open == 0 || !self.has_min_coverage(open) {
            let reason = self.partial_reason(&unavailable, cx);
            self.finish(End::Partial(reason), cx);
            return;
        }
        match cx.table.poll_waiter(id, cx.now) {
            Poll::Start(positions) => {
                self.waiter = None;
                self.start_with(&positions, cx);
                if self.calls.len() < positions.len() {
                    // It has not used all of the capacity that was promised to it.
                    cx.table.wake_all_ready(cx.now);
                }
            }
            Poll::Refuse(positions) => {
                self.waiter = None;
                self.refuse(&positions, cx);
            }
            Poll::Wait(next) => self.next_check = next,
        }
    }

    /// Makes the first calls of the shards at `positions` and defers those of the others.
    fn start_with(&mut self, positions: &[usize], cx: &mut Context<'_>) {
        self.next_check = Time::MAX;
        let others = (0..self.shards.len()).filter(|at| positions.binary_search(at).is_err());
        let others: Vec<usize> = others.collect();
        self.begin_calls(positions.to_vec(), cx, |query, cx| {
            // A query that may crash back ends has a single call until one has answered.
            if query.needs_first_answer() {
                query.defer_until_answer(&others, CallKind::First);
                return;
            }
            for position in others {
                query.defer_for_capacity(position, CallKind::First, cx);
            }
        });
    }

    /// Queues the first call of a shard of a query that has started. It goes behind the queries
    /// of the same urgency that have made no call, since this one can do without the shard.
    pub(super) fn queue_shard(&mut self, position: usize, rank: QueueRank, cx: &mut Context<'_>) {
        let mut request = self.capacity_request(rank, cx);
        if request.standing == Standing::InTime {
            request.standing = Standing::Optional;
        }
        request.demand.shards = Arc::new([self.shards[position].route]);
        request.demand.needed = 1;
        request.until = self.last_time() - HOP_ALLOWANCE;
        request.cost = Cost(0);
        request.whole = false;
        match cx.table.arrive(&request, cx.now) {
            Arrival::Wait(id) => {
                self.shard_waiters.insert(id, position);
                let next = cx.table.next_waiter_check(id, cx.now);
                self.shard_check = self.shard_check.min(next);
                // The queue decides when to call it; this marks the shard as deferred.
                self.shards[position].deferred = Some(Deferred {
                    at: self.config.deadline,
                    kind: CallKind::First,
                });
            }
            Arrival::Start(_) | Arrival::Refuse(_) => {
                self.defer_call(position, CallKind::First, self.check_time(cx.now));
            }
        }
    }

    /// Makes the first calls of the shards that have waited in the queue and now have capacity.
    pub(super) fn check_shard_queue(&mut self, cx: &mut Context<'_>) {
        if self.shard_waiters.is_empty() {
            return;
        }
        self.shard_check = Time::MAX;
        let mut ready = Vec::new();
        for (id, position) in self.shard_waiters.clone() {
            match cx.table.poll_waiter(id, cx.now) {
                Poll::Wait(next) if self.is_open(position, cx) => {
                    self.shard_check = self.shard_check.min(next);
                    continue;
                }
                Poll::Wait(_) => cx.table.leave_capacity_queue(id, cx.now),
                Poll::Start(_) => ready.push(position),
                Poll::Refuse(_) => {}
            }
            self.shard_waiters.remove(&id);
            self.shards[position].deferred = None;
            self.maybe_exhausted = true;
        }
        if self.needs_first_answer() {
            self.defer_until_answer(&ready, CallKind::First);
        } else if !ready.is_empty() {
            self.call(&ready, CallKind::First, cx);
        }
        self.check_end(cx);
    }

    /// Returns whether a back end may be called for a shard.
    fn is_open(&self, position: usize, cx: &Context<'_>) -> bool {
        let version = self.version();
        let replicas = &self.routes.shards[self.shards[position].route].replicas;
        let mut replicas = replicas.iter();
        replicas.any(|ix| cx.table.is_open(*ix, version, cx.now))
    }

    /// Ends the query for lack of capacity at the shards at `positions`.
    fn refuse(&mut self, positions: &[usize], cx: &mut Context<'_>) {
        let routes = positions.iter().map(|at| self.shards[*at].route);
        self.without_capacity = routes.collect();
        self.finish(End::Partial(PartialReason::NoCapacity), cx);
    }

    /// Returns what the query asks of the queue.
    fn capacity_request(&self, rank: QueueRank, cx: &Context<'_>) -> Request {
        let median = cx.table.profile(self.config.class).calls.median();
        let objective = self.config.objective;
        let latest_start = objective - median;
        let late = self.config.timeliness == Timeliness::Late || cx.now > latest_start;
        let wait = objective.since(self.start).mul_f64(share(rank.max_wait));
        Request {
            demand: Demand {
                routes: self.routes.clone(),
                shards: self.shards.iter().map(|shard| shard.route).collect(),
                needed: self.shards_needed(),
                class: self.config.class,
            },
            rank,
            standing: if late {
                Standing::Late
            } else {
                Standing::InTime
            },
            objective,
            latest_start,
            until: self.start + wait,
            cost: cost(median, self.shards.len(), rank.weight),
            whole: true,
        }
    }

    /// Returns the minimum number of shards with capacity.
    fn shards_needed(&self) -> usize {
        let mut numbers = 1..=self.shards.len();
        let enough = numbers.find(|shards| self.has_min_coverage(*shards));
        enough.unwrap_or(self.shards.len())
    }
}

/// Returns the cost of calls to `shards` shards, of `median` each, for an owner of `weight`.
fn cost(median: Duration, shards: usize, weight: f64) -> Cost {
    let weight = if weight.is_finite() { weight } else { 1.0 };
    let calls = median.max(SHARD_COST_MIN).as_nanos() as f64 * shards as f64;
    Cost((calls / weight.max(WEIGHT_MIN)) as u64)
}

/// Returns `value` limited to 0 to 1, and 0 if it isn't a number.
fn share(value: f64) -> f64 {
    match value.is_nan() {
        true => 0.0,
        false => value.clamp(0.0, 1.0),
    }
}
