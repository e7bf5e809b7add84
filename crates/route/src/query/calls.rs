//! Calls of a query: first calls, hedges, retries and cancellations.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::Time;

use super::{
    Action, Call, CallId, CallKind, CallState, Context, HOP_ALLOWANCE, Query, Repeat, Shard,
    wait::MAX_ROUNDS,
};
use crate::{Attempt, Failure, Hedge, Ix, Refusal, SpendResult, choose::choose_replica};

/// Delay before late shards that could not be hedged are checked again.
const RECHECK_DELAY: Duration = Duration::from_millis(2);

impl<P> Query<P> {
    /// Calls other replicas for shards whose calls have all ended. Does nothing
    /// if an earlier call may have run and must not be repeated, or if the
    /// deadline or the end of the process is too near. A retry waits while the query needs a first
    /// answer; shards that all replicas shed back off.
    pub(super) fn retry(&mut self, uncovered: &[usize], kind: CallKind, cx: &mut Context<'_>) {
        let may_have_run = kind == CallKind::Retry && self.config.repeat == Repeat::OnlyIfNotRun;
        let too_late = cx.now + HOP_ALLOWANCE >= self.last_time() || !self.can_finish_call(cx);
        if may_have_run || too_late {
            return;
        }
        if kind == CallKind::Retry && self.needs_first_answer() {
            self.defer_until_answer(uncovered, kind);
            return;
        }
        self.call(uncovered, kind, cx);
        if kind == CallKind::RetryAfterShed {
            self.back_off(uncovered, cx);
        }
    }

    /// Records which back ends delay the late shards, hedges these if the query
    /// is idempotent, and sets the time of the next check. Before the midpoint
    /// it waits until few shards are missing; while the query needs a first
    /// answer it makes no hedges. Each delay is fixed when its call is sent: if
    /// it were recomputed at each check, a small rise would make late shards
    /// wait for another whole delay.
    pub(super) fn hedge(&mut self, cx: &mut Context<'_>) {
        self.next_check = Time::MAX;
        if self.needs_first_answer() {
            self.next_check = self.next_deferred();
            return;
        }
        let hedge = cx.table.config.hedge;
        if !self.few_missing(hedge) && cx.now < self.midpoint {
            self.next_check = cx.now + RECHECK_DELAY;
            return;
        }
        let late: Vec<usize> = (0..self.shards.len())
            .filter(|position| {
                let shard = &self.shards[*position];
                shard.part.is_none() && shard.live > 0 && shard.late_at <= cx.now
            })
            .collect();
        self.record_stalls(&late, cx);
        if !late.is_empty() && self.config.repeat == Repeat::Idempotent {
            self.call(&late, CallKind::Hedge, cx);
        }
        self.next_check = self.next_due(cx.now);
    }

    /// Records in the table which back ends delay the late shards.
    fn record_stalls(&self, late: &[usize], cx: &mut Context<'_>) {
        for position in late {
            for id in &self.shards[*position].calls {
                if let CallState::Live(attempt) = &self.calls[id.0 as usize].state {
                    cx.table.stalled(attempt.to(), cx.now);
                }
            }
        }
    }

    /// Returns whether few shards or few calls are missing, by the policy
    /// `hedge`. One call to a peer covers many shards: if it hangs, most shards
    /// may be missing although nothing else is wrong.
    pub(super) fn few_missing(&self, hedge: Hedge) -> bool {
        let live = |call: &&Call| matches!(call.state, CallState::Live(_));
        let calls = self.calls.iter().filter(live).count();
        hedge.is_late(self.pending, self.shards.len()) || hedge.is_late(calls, self.first_calls)
    }

    /// Returns when the next missing shard is late. A shard that is already
    /// late and got no hedge, for lack of a replica or budget, is checked again
    /// shortly.
    pub(super) fn next_due(&self, now: Time) -> Time {
        let pending = self.shards.iter().filter(|shard| shard.part.is_none());
        pending
            .map(|shard| shard.next().max(now + RECHECK_DELAY))
            .min()
            .unwrap_or(Time::MAX)
    }

    /// Chooses a replica for each shard and makes one call per chosen replica.
    /// Shards whose replicas lack capacity or whose call is not paid for are
    /// deferred; a shard without a replica gets no call. None gets one that would outlast the
    /// process, except for a hedge, which may still be faster than the call that is late.
    pub(super) fn call(&mut self, positions: &[usize], kind: CallKind, cx: &mut Context<'_>) {
        if kind != CallKind::Hedge && !self.can_finish_call(cx) {
            return;
        }
        let mut plan: BTreeMap<Ix, Vec<usize>> = BTreeMap::new();
        for position in positions {
            match self.choose_for(*position, kind, cx) {
                Some(to) => plan.entry(to).or_default().push(*position),
                None => self.defer_for_capacity(*position, kind, cx),
            }
        }
        if kind == CallKind::First {
            cx.table.counts.first += plan.len() as u64;
            cx.table.counts.shards += positions.len() as u64;
        }
        for (to, shards) in plan {
            if self.pay(kind, &shards, cx) {
                self.send(to, shards, kind, cx);
            } else {
                self.defer_for_budget(&shards, kind, cx);
            }
        }
    }

    /// Returns `due`, or an earlier time for the hedge so that its answer can
    /// meet the latency objective, but not below the duration of a typical
    /// call: otherwise the budget would be spent on calls that are not late.
    fn advance_hedge(&self, due: Time, cx: &Context<'_>) -> Time {
        let median = cx.table.profile(self.config.class).calls.median();
        let latest = self.config.objective - median.mul_f64(HEDGE_HEADROOM);
        due.min(latest.max(cx.now + median.mul_f64(HEDGE_DELAY_MIN)))
    }

    /// Pays for a call of `kind` from the budget of its first shard and counts
    /// the outcome; a first call also earns tokens. Returns whether it is paid.
    fn pay(&mut self, kind: CallKind, shards: &[usize], cx: &mut Context<'_>) -> bool {
        let Some(first) = shards.first() else {
            return false;
        };
        let budget = self.routes.shards[self.shards[*first].route].budget;
        let gain = match kind {
            CallKind::First => 1.0,
            _ => self.gain(cx.now),
        };
        let budget = cx.table.budget_mut(budget);
        budget.refill(cx.now);
        if kind == CallKind::First {
            budget.earn(1);
        }
        let paid = budget.spend(kind, gain);
        let counts = &mut cx.table.counts;
        match (paid, kind) {
            (SpendResult::Paid, CallKind::Hedge) => counts.hedges += 1,
            (SpendResult::Paid, CallKind::Retry | CallKind::RetryAfterShed) => counts.retries += 1,
            (SpendResult::Paid, CallKind::First | CallKind::Reroute) => {}
            (SpendResult::OverBudget, _) => counts.over_budget += 1,
            (SpendResult::LowGain, _) => counts.low_gain += 1,
        }
        self.withheld += u32::from(paid != SpendResult::Paid);
        paid == SpendResult::Paid
    }

    /// Chooses the replica for a shard's next call. Returns `None` if the
    /// shard's attempts are used up, if no replica may be called or has
    /// capacity, or if a hedge there could not answer in time.
    pub(super) fn choose_for(
        &self,
        position: usize,
        kind: CallKind,
        cx: &mut Context<'_>,
    ) -> Option<Ix> {
        let shard = &self.shards[position];
        if shard.ran >= self.config.max_attempts {
            return None;
        }
        let replicas = &self.routes.shards[shard.route].replicas;
        let version = self.version();
        let fresh = choose_replica(cx.table, replicas, &shard.tried, version, cx.now, cx.rng);
        let to = match fresh {
            Some(to) => to,
            // All replicas were tried without an answer. A call lost with its
            // connection may succeed over another connection.
            None if may_repeat(kind, shard, replicas) => {
                choose_replica(cx.table, replicas, &[], version, cx.now, cx.rng)?
            }
            None => return None,
        };
        let need =
            Duration::from_nanos(cx.table.expected_nanos(self.config.class, to, cx.now) as u64);
        let too_late = kind == CallKind::Hedge && cx.now + need >= self.last_time();
        (!too_late).then_some(to)
    }

    /// Emits a call for `shards` to a back end, records it in the table, and
    /// sets the time from which it is late.
    pub(super) fn send(
        &mut self,
        to: Ix,
        shards: Vec<usize>,
        kind: CallKind,
        cx: &mut Context<'_>,
    ) {
        let id = CallId(u32::try_from(self.calls.len()).expect("fewer than 2^32 calls"));
        let delay = cx.table.hedge_delay(self.config.class, to, cx.now);
        let due = delay.map_or(Time::MAX, |delay| self.advance_hedge(cx.now + delay, cx));
        self.next_check = self.next_check.min(due);
        for position in &shards {
            let shard = &mut self.shards[*position];
            shard.tried.push(to);
            shard.live += 1;
            shard.ran += 1;
            shard.calls.push(id);
            shard.late_at = due;
        }
        cx.table.sent(to, cx.now);
        cx.actions.push(Action::Call {
            call: id,
            to,
            shards: shards.clone(),
            kind,
            deadline: self.last_time() - HOP_ALLOWANCE,
        });
        let attempt = Attempt::plan(to).queue().send(cx.now);
        self.calls.push(Call {
            shards,
            state: CallState::Live(attempt),
        });
    }

    /// Cancels the in-flight calls for a merged shard whose other shards are
    /// merged too. Only calls for this shard are checked: checking all calls
    /// after every answer would be quadratic in the fan-out.
    pub(super) fn cancel_redundant(&mut self, position: usize, cx: &mut Context<'_>) {
        if self.shards[position].part.is_none() || self.shards[position].live == 0 {
            return;
        }
        for id in self.shards[position].calls.clone() {
            let call = &self.calls[id.0 as usize];
            let live = matches!(call.state, CallState::Live(_));
            let wanted = |p: &usize| self.shards[*p].part.is_none();
            if live && !call.shards.iter().any(wanted) {
                self.cancel(id, cx);
            }
        }
    }

    /// Cancels a call that is in flight: records it in the table as cancelled
    /// and emits [`Action::Cancel`]. Does nothing if the call has ended.
    pub(super) fn cancel(&mut self, id: CallId, cx: &mut Context<'_>) {
        let Some(attempt) = self.take(id) else {
            return;
        };
        let span = cx.now.since(attempt.sent_at());
        cx.table
            .cancelled(self.config.class, attempt.to(), span, cx.now);
        self.ends.push(attempt.end_unknown());
        for position in &self.calls[id.0 as usize].shards {
            self.shards[*position].live -= 1;
        }
        cx.actions.push(Action::Cancel(id));
    }
}

/// Returns the kind of call that replaces one that failed with `failure`.
pub(super) fn kind_after(failure: Failure, repeat: Repeat) -> CallKind {
    match failure {
        // The back end may have run the call although its connection is silent,
        // and the call must run at most once.
        Failure::ConnectionSilent if repeat == Repeat::OnlyIfNotRun => CallKind::Retry,
        Failure::NotSent
        | Failure::ConnectionSilent
        | Failure::Refused(Refusal::Draining | Refusal::NoSnapshot | Refusal::Connections) => {
            CallKind::Reroute
        }
        Failure::Refused(_) => CallKind::RetryAfterShed,
        Failure::Lost | Failure::Failed => CallKind::Retry,
    }
}

/// Time before the latency objective by which a hedge is sent, in median call
/// durations.
const HEDGE_HEADROOM: f64 = 1.5;
/// Minimum delay to which a hedge is moved forward, in median call durations.
const HEDGE_DELAY_MIN: f64 = 1.5;
/// Returns whether a shard may be called again after every replica was tried:
/// to replace a failed call, or after a backoff if it was shed, while its calls
/// number less than [`MAX_ROUNDS`] times its replicas.
pub(super) fn may_repeat<P>(kind: CallKind, shard: &Shard<P>, replicas: &[Ix]) -> bool {
    let replaces = match kind {
        CallKind::Retry | CallKind::Reroute => true,
        CallKind::RetryAfterShed => shard.backed_off,
        CallKind::First | CallKind::Hedge => false,
    };
    replaces && shard.tried.len() < replicas.len() * MAX_ROUNDS
}
