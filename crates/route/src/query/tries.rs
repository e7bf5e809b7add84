//! The calls of a query: first ones, hedges, retries and cancellations.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::Time;

use super::{
    Action, Call, CallId, CallKind, Context, HOP, Life, Query, Repeat, Shard, wait::ROUNDS,
};
use crate::{Attempt, Failure, Hedge, Ix, Paid, Refusal, choose::choose_replica};

/// Time after which late shards that could not be hedged are looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(2);

impl<P> Query<P> {
    pub(super) fn retry(&mut self, orphans: &[usize], kind: CallKind, cx: &mut Context<'_>) {
        let may_have_run = kind == CallKind::Retry && self.config.repeat == Repeat::Unrun;
        if may_have_run || cx.now + HOP >= self.config.deadline {
            return;
        }
        if kind == CallKind::Retry && self.is_trial() {
            self.wait_for_proof(orphans, kind);
            return;
        }
        self.call(orphans, kind, cx);
        if kind == CallKind::Reshed {
            self.rest(orphans, cx);
        }
    }

    /// Calls a second replica for the shards that are late, and sets the time
    /// of the next look. The delays are fixed when a call is sent: were they
    /// worked out anew at each look, a small rise in between would make late
    /// shards look early, and they would wait for another whole delay.
    pub(super) fn hedge(&mut self, cx: &mut Context<'_>) {
        self.look = Time::MAX;
        if self.is_trial() {
            self.look = self.next_later();
            return;
        }
        let hedge = cx.table.config.hedge;
        if !self.few_missing(hedge) && cx.now < self.half {
            self.look = cx.now + LOOK_AGAIN;
            return;
        }
        let late: Vec<usize> = (0..self.shards.len())
            .filter(|position| {
                let shard = &self.shards[*position];
                shard.part.is_none() && shard.live > 0 && shard.due <= cx.now
            })
            .collect();
        self.note_stalls(&late, cx);
        if !late.is_empty() && self.config.repeat == Repeat::Free {
            self.call(&late, CallKind::Hedge, cx);
        }
        self.look = self.next_due(cx.now);
    }

    /// Tells the table which back ends hold up the late shards.
    fn note_stalls(&self, late: &[usize], cx: &mut Context<'_>) {
        for position in late {
            for id in &self.shards[*position].calls {
                if let Life::Live(attempt) = &self.calls[id.0 as usize].life {
                    cx.table.stalled(attempt.to(), cx.now);
                }
            }
        }
    }

    /// Whether the query waits for few of its shards or of its calls. One call
    /// to a holder covers many shards: when it hangs, most shards may be
    /// missing though nothing else is wrong.
    pub(super) fn few_missing(&self, hedge: Hedge) -> bool {
        let live = |call: &&Call| matches!(call.life, Life::Live(_));
        let calls = self.calls.iter().filter(live).count();
        hedge.is_late(self.pending, self.shards.len()) || hedge.is_late(calls, self.first)
    }

    /// When the next pending shard is late. One that is late already and got
    /// no hedge, for want of a replica or budget, is looked at again shortly.
    pub(super) fn next_due(&self, now: Time) -> Time {
        let pending = self.shards.iter().filter(|shard| shard.part.is_none());
        pending
            .map(|shard| shard.next().max(now + LOOK_AGAIN))
            .min()
            .unwrap_or(Time::MAX)
    }

    /// Chooses a replica for each shard and makes one call to each replica
    /// chosen. A shard without a replica gets none; one whose replicas have no
    /// room, or whose call no budget pays, waits.
    pub(super) fn call(&mut self, positions: &[usize], kind: CallKind, cx: &mut Context<'_>) {
        let mut plan: BTreeMap<Ix, Vec<usize>> = BTreeMap::new();
        for position in positions {
            match self.choose_for(*position, kind, cx) {
                Some(to) => plan.entry(to).or_default().push(*position),
                None => self.wait_for_room(*position, kind, cx),
            }
        }
        if kind == CallKind::First {
            cx.table.gauge.first += plan.len() as u64;
            cx.table.gauge.shards += positions.len() as u64;
        }
        for (to, shards) in plan {
            if self.pay(kind, &shards, cx) {
                self.send(to, shards, kind, cx);
            } else {
                self.wait_for_budget(&shards, kind, cx);
            }
        }
    }

    /// Brings a hedge forward so that its answer comes by the goal: later ones
    /// are worth little. It is never brought below what a usual call takes, or
    /// hedges would be spent on calls that are not late.
    fn hedge_by(&self, due: Time, cx: &Context<'_>) -> Time {
        let usual = cx.table.profile(self.config.class).calls.median();
        let latest = self.config.goal - usual.mul_f64(HEDGE_ROOM);
        due.min(latest.max(cx.now + usual.mul_f64(HEDGE_LEAST)))
    }

    /// Takes a call of `kind` from the budget of its shards.
    fn pay(&mut self, kind: CallKind, shards: &[usize], cx: &mut Context<'_>) -> bool {
        let Some(first) = shards.first() else {
            return false;
        };
        let purse = self.routes.shards[self.shards[*first].route].purse;
        let gain = match kind {
            CallKind::First => 1.0,
            _ => self.gain(cx.now),
        };
        let purse = cx.table.purse(purse);
        purse.pass(cx.now);
        if kind == CallKind::First {
            purse.earn(1);
        }
        let paid = purse.spend(kind, gain);
        let gauge = &mut cx.table.gauge;
        match (paid, kind) {
            (Paid::Yes, CallKind::Hedge) => gauge.hedges += 1,
            (Paid::Yes, CallKind::Retry | CallKind::Reshed) => gauge.retries += 1,
            (Paid::Yes, CallKind::First | CallKind::Reroute) => {}
            (Paid::Unpaid, _) => gauge.unpaid += 1,
            (Paid::Spared, _) => gauge.spared += 1,
        }
        self.withheld += u32::from(paid != Paid::Yes);
        paid == Paid::Yes
    }

    pub(super) fn choose_for(
        &self,
        position: usize,
        kind: CallKind,
        cx: &mut Context<'_>,
    ) -> Option<Ix> {
        let shard = &self.shards[position];
        if shard.ran >= self.config.attempts {
            return None;
        }
        let replicas = &self.routes.shards[shard.route].replicas;
        let version = self.version();
        let fresh = choose_replica(cx.table, replicas, &shard.tried, version, cx.now, cx.rng);
        let to = match fresh {
            Some(to) => to,
            // Every replica was tried and none answered. What was lost with
            // its connection may well be answered over another one.
            None if may_repeat(kind, shard, replicas) => {
                choose_replica(cx.table, replicas, &[], version, cx.now, cx.rng)?
            }
            None => return None,
        };
        let need = Duration::from_nanos(cx.table.expected(self.config.class, to, cx.now) as u64);
        let pointless = kind == CallKind::Hedge && cx.now + need >= self.config.deadline;
        (!pointless).then_some(to)
    }

    pub(super) fn send(
        &mut self,
        to: Ix,
        shards: Vec<usize>,
        kind: CallKind,
        cx: &mut Context<'_>,
    ) {
        let id = CallId(u32::try_from(self.calls.len()).expect("fewer than 2^32 calls"));
        let delay = cx.table.hedge_delay(self.config.class, to, cx.now);
        let due = delay.map_or(Time::MAX, |delay| self.hedge_by(cx.now + delay, cx));
        self.look = self.look.min(due);
        for position in &shards {
            let shard = &mut self.shards[*position];
            shard.tried.push(to);
            shard.live += 1;
            shard.ran += 1;
            shard.calls.push(id);
            shard.due = due;
        }
        cx.table.sent(to, cx.now);
        cx.out.push(Action::Call {
            call: id,
            to,
            shards: shards.clone(),
            kind,
            deadline: self.config.deadline - HOP,
        });
        let attempt = Attempt::plan(to).queue().send(cx.now);
        self.calls.push(Call {
            shards,
            life: Life::Live(attempt),
        });
    }

    /// Cancels the calls for a shard that has its part, if all their shards
    /// have. Only calls that asked for this shard are looked at: looking at all
    /// of them after every answer costs the square of the fan-out.
    pub(super) fn cancel_useless(&mut self, position: usize, cx: &mut Context<'_>) {
        if self.shards[position].part.is_none() || self.shards[position].live == 0 {
            return;
        }
        for id in self.shards[position].calls.clone() {
            let call = &self.calls[id.0 as usize];
            let live = matches!(call.life, Life::Live(_));
            let wanted = |p: &usize| self.shards[*p].part.is_none();
            if live && !call.shards.iter().any(wanted) {
                self.cancel(id, cx);
            }
        }
    }

    pub(super) fn cancel(&mut self, id: CallId, cx: &mut Context<'_>) {
        let Some(attempt) = self.take(id) else {
            return;
        };
        let span = cx.now.since(attempt.sent_at());
        cx.table
            .cancelled(self.config.class, attempt.to(), span, cx.now);
        self.ends.push(attempt.lose());
        for position in &self.calls[id.0 as usize].shards {
            self.shards[*position].live -= 1;
        }
        cx.out.push(Action::Cancel(id));
    }
}

/// The kind of the call that makes good a failed one.
pub(super) fn kind_after(failure: Failure, repeat: Repeat) -> CallKind {
    match failure {
        // Silence proves nothing: what must run at most once may have run.
        Failure::Cut if repeat == Repeat::Unrun => CallKind::Retry,
        Failure::NotSent
        | Failure::Cut
        | Failure::Refused(Refusal::Draining | Refusal::NoSnapshot | Refusal::Connections) => {
            CallKind::Reroute
        }
        Failure::Refused(_) => CallKind::Reshed,
        Failure::Lost | Failure::Failed => CallKind::Retry,
    }
}

/// Time that a hedge needs before the goal, in median calls.
const HEDGE_ROOM: f64 = 1.5;
/// Least delay of a hedge, in median calls.
const HEDGE_LEAST: f64 = 1.5;
/// Whether a shard of which every replica was tried may be tried once more:
/// to make good a call that failed, and after a rest if it was shed.
pub(super) fn may_repeat<P>(kind: CallKind, shard: &Shard<P>, replicas: &[Ix]) -> bool {
    let repairs = match kind {
        CallKind::Retry | CallKind::Reroute => true,
        CallKind::Reshed => shard.rested,
        CallKind::First | CallKind::Hedge => false,
    };
    repairs && shard.tried.len() < replicas.len() * ROUNDS
}
