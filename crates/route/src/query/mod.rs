//! One fan-out over the shards of a snapshot, from the first calls to the merge.

mod calls;
mod completion;
mod config;
mod gain;
mod ordered;
mod stop;
mod trial;
mod wait;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use calls::kind_after;
use chestnut_unit::{Coverage, IndexVersion, ShardName, Time};
pub use config::{
    Action, BoundedWait, CallId, CallKind, End, OwnerId, PartialReason, QueryConfig, QueueConfig,
    QueueRank, Repeat, Timeliness, Trust,
};
use rand::Rng;
pub use stop::can_end_by;
use wait::Deferred;

use crate::{
    Attempt, BudgetId, Ended, Failure, Ix, NotRun, Refusal, Routes, Sent, Table, WaiterId,
};

/// Time reserved per hop for an answer to travel from a back end to the caller.
const HOP_ALLOWANCE: Duration = Duration::from_millis(1);

/// One shard of the query: its merged part, the back ends called for it, and its
/// calls.
#[derive(Debug)]
struct Shard<P> {
    route: usize,
    part: Option<P>,
    tried: Vec<Ix>,
    /// Number of its calls in flight.
    live: u32,
    /// Calls that a back end may have run.
    ran: u32,
    /// Calls that requested the shard.
    calls: Vec<CallId>,
    /// When its latest call is late.
    late_at: Time,
    /// The shard's deferred call, which waits for capacity, for the budget, for a
    /// first answer, or for the end of a backoff.
    deferred: Option<Deferred>,
    /// Whether it has been in backoff after every replica shed a call.
    backed_off: bool,
}

/// Whether a call is in flight, with its sent attempt, or has ended.
#[derive(Debug)]
enum CallState {
    Live(Attempt<Sent>),
    Done,
}

/// A call and the shards that it requested, as positions in the query.
#[derive(Debug)]
struct Call {
    shards: Vec<usize>,
    state: CallState,
}

/// Inputs and outputs of every event: the table, the time, the random source and
/// the resulting actions.
pub struct Context<'a> {
    /// State of the back ends.
    pub table: &'a mut Table,
    /// Current time.
    pub now: Time,
    /// Random source.
    pub rng: &'a mut dyn Rng,
    /// Receives the actions to perform.
    pub actions: &'a mut Vec<Action>,
}

/// One query: its shards with the parts merged so far, its calls, and how it
/// ended. `P` is the partial result of one shard.
#[derive(Debug)]
pub struct Query<P> {
    routes: Arc<Routes>,
    config: QueryConfig,
    shards: Vec<Shard<P>>,
    calls: Vec<Call>,
    ends: Vec<Ended>,
    /// Number of missing shards.
    pending: usize,
    start: Time,
    /// Budgets of the shards without capacity, while the query is queued and has
    /// made no call.
    queued: Vec<BudgetId>,
    /// Budgets of the shards whose capacity first attempts leave to this query of a returning
    /// caller, while one of them is all that it lacks.
    claimed: Vec<BudgetId>,
    /// Its place in the table's queue, while it waits there and has made no call.
    waiter: Option<WaiterId>,
    /// The shards, as positions in the query, whose first call waits in the table's queue.
    shard_waiters: BTreeMap<WaiterId, usize>,
    /// When to check these shards.
    shard_check: Time,
    /// Shards whose lack of capacity ended the query, as positions in the routes.
    without_capacity: Vec<usize>,
    /// When to check for capacity or late shards.
    next_check: Time,
    /// Halfway to the deadline: from here on any number of missing shards may be
    /// hedged, within the budget.
    midpoint: Time,
    /// Number of first calls.
    first_calls: usize,
    end: Option<End>,
    shed_calls: u32,
    /// Calls that were lost with their back end or connection.
    lost: usize,
    /// Whether a back end has answered a call.
    answered: bool,
    /// Number of extra calls that no budget paid for.
    withheld: u32,
    /// Whether the objective has passed without ending the query.
    objective_passed: bool,
    /// Whether some shard may have no call in flight and none deferred.
    maybe_exhausted: bool,
}

impl<P> Query<P> {
    /// Starts a query over all shards of `routes`, or over those at the positions
    /// in `subset`: makes the first calls, or queues it for capacity. Ends it
    /// without a call if too few shards for minimum coverage have an open back
    /// end.
    pub fn start(
        routes: Arc<Routes>,
        subset: Option<&[usize]>,
        config: QueryConfig,
        cx: &mut Context<'_>,
    ) -> Self {
        let all: Vec<usize> = (0..routes.shards.len()).collect();
        let chosen = subset.unwrap_or(&all);
        let mut query = Self {
            shards: chosen.iter().map(|route| Shard::new(*route)).collect(),
            pending: chosen.len(),
            routes,
            config,
            calls: Vec::new(),
            ends: Vec::new(),
            start: cx.now,
            queued: Vec::new(),
            claimed: Vec::new(),
            waiter: None,
            shard_waiters: BTreeMap::new(),
            shard_check: Time::MAX,
            without_capacity: Vec::new(),
            next_check: Time::MAX,
            midpoint: cx.now + config.deadline.since(cx.now) / 2,
            first_calls: 0,
            end: None,
            shed_calls: 0,
            lost: 0,
            answered: false,
            withheld: 0,
            objective_passed: false,
            maybe_exhausted: true,
        };
        let unavailable = query.unavailable(cx);
        let open = query.shards.len() - unavailable.len();
        if open == 0 || !query.has_min_coverage(open) {
            // Calls that are cancelled at once may already have been sent;
            // without any, the refusal can prove that nothing ran.
            query.end = Some(End::Partial(query.partial_reason(&unavailable, cx)));
            return query;
        }
        if !query.can_finish(cx) {
            query.end = Some(End::Partial(PartialReason::Stopping));
            return query;
        }
        match config.queue {
            QueueConfig::Polling | QueueConfig::Bounded(_) => query.make_first_calls(cx),
            QueueConfig::Ordered(rank) => query.ask_for_capacity(rank, cx),
        }
        query
    }

    /// Handles the answer to call `id`, made from snapshot `version`; `parts`
    /// holds pairs of a shard's position in the query and its part. Drops parts
    /// of another snapshot, of shards that this call did not request, and of
    /// shards already merged. Then retries shards that it left out, cancels calls
    /// no longer needed, and may end the query.
    pub fn answer(
        &mut self,
        id: CallId,
        version: IndexVersion,
        parts: Vec<(usize, P)>,
        cx: &mut Context<'_>,
    ) {
        let Some(attempt) = self.take(id) else {
            cx.table.counts.dropped += parts.len() as u64;
            return;
        };
        let to = attempt.to();
        let span = cx.now.since(attempt.sent_at());
        self.ends.push(attempt.answer());
        cx.table.answered_in(self.config.class, to, span, cx.now);
        if version == self.version() {
            self.merge(id, parts, cx);
        } else {
            cx.table.counts.dropped += parts.len() as u64;
            cx.table.mark_missing(to, self.version(), cx.now);
        }
        self.record_first_answer(cx);
        self.detach(id, CallKind::Retry, cx);
        self.check_end(cx);
    }

    /// Handles the failure of a call: records it in the table, and retries its
    /// shards that have no other call in flight, or ends the query. Does nothing
    /// for a call that has already ended.
    pub fn fail(&mut self, id: CallId, failure: Failure, cx: &mut Context<'_>) {
        let Some(attempt) = self.take(id) else {
            return;
        };
        let to = attempt.to();
        self.ends.push(match failure {
            Failure::Lost | Failure::ConnectionSilent => attempt.end_unknown(),
            Failure::Refused(_) => attempt.refuse(),
            Failure::NotSent => attempt.prove_unsent(),
            Failure::Failed => attempt.answer(),
        });
        cx.table.failed(to, failure, cx.now);
        if matches!(failure, Failure::Refused(_) | Failure::NotSent) {
            self.revert_run(id);
        }
        if failure == Failure::Refused(Refusal::NoSnapshot) {
            cx.table.mark_missing(to, self.version(), cx.now);
        }
        self.lost += usize::from(failure == Failure::Lost);
        self.shed_calls += u32::from(failure == Failure::Refused(Refusal::Shed));
        self.detach(id, kind_after(failure, self.config.repeat), cx);
        self.check_end(cx);
    }

    /// Handles the passing of time: ends the query at its deadline or with the process, or at
    /// the objective with minimum coverage; makes deferred calls that are due, and
    /// hedges late shards. A queued query checks for capacity. Must be called at
    /// [`Query::next_tick`], and when [`Table::take_woken`] returns one of
    /// [`Query::waiters`].
    pub fn tick(&mut self, cx: &mut Context<'_>) {
        if self.end.is_some() {
            return;
        }
        if cx.now >= self.last_time() {
            self.finish(End::Partial(self.timeout_reason()), cx);
            return;
        }
        if self.waiter.is_some() {
            self.check_queue(cx);
            return;
        }
        if !self.queued.is_empty() {
            if cx.now >= self.next_check {
                self.make_first_calls(cx);
            }
            return;
        }
        self.objective_passed |= cx.now >= self.config.objective;
        if self.is_sufficient(cx.now) {
            self.finish(End::Partial(PartialReason::Sufficient), cx);
            return;
        }
        self.check_shard_queue(cx);
        if self.end.is_some() {
            return;
        }
        self.make_due_calls(cx);
        if self.end.is_none() && cx.now >= self.next_check {
            self.hedge(cx);
        }
    }

    /// Subtracts a call that did not run from the `ran` counts of its shards.
    fn revert_run(&mut self, id: CallId) {
        for position in &self.calls[id.0 as usize].shards {
            let shard = &mut self.shards[*position];
            shard.ran = shard.ran.saturating_sub(1);
        }
    }

    /// Ends a query whose caller is gone, as if its deadline had passed, and
    /// cancels its calls. Does nothing if it has ended.
    pub fn cancel_all(&mut self, cx: &mut Context<'_>) {
        if self.end.is_none() {
            self.finish(End::Partial(PartialReason::Deadline), cx);
        }
    }

    /// Returns when [`Query::tick`] must be called next: at the next check, the
    /// deadline, the end of the process or the objective, whichever is first.
    #[must_use]
    pub fn next_tick(&self) -> Time {
        let started = self.queued.is_empty() && self.waiter.is_none();
        let waits =
            started && self.config.objective < self.config.deadline && !self.objective_passed;
        let objective = if waits {
            self.config.objective
        } else {
            Time::MAX
        };
        let check = self.next_check.min(self.shard_check);
        check.min(self.last_time()).min(objective)
    }

    /// Returns the ids in the table's queue of the query or of its shards while they wait
    /// there.
    pub fn waiters(&self) -> impl Iterator<Item = WaiterId> {
        self.waiter
            .into_iter()
            .chain(self.shard_waiters.keys().copied())
    }

    /// Returns how the query ended, if it has.
    #[must_use]
    pub fn end(&self) -> Option<End> {
        self.end
    }

    /// Returns the number of calls of this query that targets shed.
    #[must_use]
    pub fn shed_calls(&self) -> u32 {
        self.shed_calls
    }

    /// Returns the number of extra calls of this query that no budget paid for.
    #[must_use]
    pub fn withheld(&self) -> u32 {
        self.withheld
    }

    /// Returns proof that no target ran any part of the query; `None` while a
    /// call is in flight or if one may have run.
    #[must_use]
    pub fn not_run(&self) -> Option<NotRun> {
        let live = self
            .calls
            .iter()
            .any(|c| matches!(c.state, CallState::Live(_)));
        if live {
            None
        } else {
            NotRun::prove(&self.ends)
        }
    }

    /// Returns the number of calls made so far.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the routes that the query pinned.
    #[must_use]
    pub fn routes(&self) -> &Arc<Routes> {
        &self.routes
    }

    /// Returns the position in the pinned routes of the shard at `position`.
    #[must_use]
    pub fn route_of(&self, position: usize) -> usize {
        self.shards[position].route
    }

    /// Returns the coverage of the merged parts.
    #[must_use]
    pub fn coverage(&self) -> Coverage {
        let name = |shard: &Shard<P>| self.routes.shards[shard.route].name.clone();
        let asked: Vec<_> = self.shards.iter().map(name).collect();
        let merged: Vec<_> = self.shards.iter().map(|s| s.part.is_some()).collect();
        Coverage::from_merged(&asked, &merged)
    }

    /// Returns the shards whose lack of capacity ended the query before its first
    /// call.
    pub fn without_capacity(&self) -> impl Iterator<Item = &ShardName> {
        self.without_capacity
            .iter()
            .map(|at| &self.routes.shards[*at].name)
    }

    /// Returns the back ends that were called for the missing shards, in order.
    #[must_use]
    pub fn unanswered_backends(&self) -> Vec<Ix> {
        let missing = self.shards.iter().filter(|shard| shard.part.is_none());
        missing
            .flat_map(|shard| shard.tried.iter().copied())
            .collect()
    }

    /// Returns the merged parts with their positions in the pinned routes, in
    /// order.
    pub fn into_parts(self) -> impl Iterator<Item = (usize, P)> {
        self.shards
            .into_iter()
            .filter_map(|shard| shard.part.map(|part| (shard.route, part)))
    }

    /// Returns the index version of the pinned snapshot.
    fn version(&self) -> IndexVersion {
        self.routes.snapshot.version
    }

    /// Marks a call as done and returns its attempt, or `None` if it was not in
    /// flight.
    fn take(&mut self, id: CallId) -> Option<Attempt<Sent>> {
        let call = self.calls.get_mut(id.0 as usize)?;
        match std::mem::replace(&mut call.state, CallState::Done) {
            CallState::Live(attempt) => Some(attempt),
            CallState::Done => None,
        }
    }

    /// Stores the parts that call `id` requested and that are still missing;
    /// counts the others as dropped.
    fn merge(&mut self, id: CallId, parts: Vec<(usize, P)>, cx: &mut Context<'_>) {
        let asked = std::mem::take(&mut self.calls[id.0 as usize].shards);
        for (position, part) in parts {
            let wanted = asked.contains(&position) && self.shards[position].part.is_none();
            if !wanted {
                cx.table.counts.dropped += 1;
                continue;
            }
            self.shards[position].part = Some(part);
            self.pending -= 1;
        }
        self.calls[id.0 as usize].shards = asked;
    }

    /// Detaches a call that has ended from its shards. Those still missing and
    /// without another call in flight are retried by a call of kind `again`,
    /// unless the query has ended; calls no longer needed are cancelled.
    fn detach(&mut self, id: CallId, again: CallKind, cx: &mut Context<'_>) {
        let shards = std::mem::take(&mut self.calls[id.0 as usize].shards);
        let mut uncovered = Vec::new();
        for position in &shards {
            let shard = &mut self.shards[*position];
            shard.live -= 1;
            if shard.part.is_none() && shard.live == 0 {
                uncovered.push(*position);
            }
        }
        for position in &shards {
            self.cancel_redundant(*position, cx);
        }
        self.calls[id.0 as usize].shards = shards;
        if !uncovered.is_empty() && self.end.is_none() {
            self.retry(&uncovered, again, cx);
            self.maybe_exhausted = true;
        }
    }
}

impl<P> Shard<P> {
    /// Returns when the shard must be checked next: when its deferred call is
    /// due, or else when its latest call is late.
    fn next(&self) -> Time {
        self.deferred.map_or(self.late_at, |deferred| deferred.at)
    }

    /// Returns whether the shard is missing, with no call in flight and none
    /// deferred.
    fn is_exhausted(&self) -> bool {
        self.part.is_none() && self.live == 0 && self.deferred.is_none()
    }

    /// Creates a missing shard without calls; `route` is its position in the
    /// pinned routes.
    fn new(route: usize) -> Self {
        Self {
            route,
            part: None,
            tried: Vec::new(),
            live: 0,
            ran: 0,
            calls: Vec::new(),
            late_at: Time::MAX,
            deferred: None,
            backed_off: false,
        }
    }
}
