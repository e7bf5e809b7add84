//! Shards, and whole queries, that wait for room at their back ends.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::Time;

use super::{CallKind, Context, End, Give, HOP, Query, Shard, tries::may_repeat};
use crate::{Ix, PurseId};

/// First wait for room: about what a slot of a busy back end takes to come
/// free (5 slots, calls of 28 ms).
const ROOM_LOOK: Duration = Duration::from_millis(4);
/// Later waits, as part of the time since the start: one that will be late anyway leaves
/// the room to those that may still be in time.
const ROOM_PART: u32 = 4;
/// Part of the time to the goal for which a query waits before its first call:
/// the calls need the rest. A query that would wait longer, by what waits
/// already and how fast places come free, is given up at once.
const HOLD_PART: u32 = 2;
/// Part of the time to the goal within which a caller that is told of a failure can
/// come back and still get an answer by the goal.
const RETURN_PART: u32 = 2;
/// Rest of a shard that every replica shed: about a call, so that a slot has
/// come free.
const SHED_REST: Duration = Duration::from_millis(4);
/// Times that each replica of a shard may be called for one query.
pub(super) const ROUNDS: usize = 2;

/// What a query waits for before its first call.
struct Lack {
    /// The shards without room, as positions in the pinned routes.
    full: Vec<usize>,
    /// Their budgets, which stand for their services.
    purses: Vec<PurseId>,
    /// Queries a second for which room comes free, each taking what it needs.
    rate: f64,
}

/// A call that is to be made later.
#[derive(Clone, Copy, Debug)]
pub(super) struct Later {
    pub(super) at: Time,
    pub(super) kind: CallKind,
}

impl<P> Query<P> {
    /// Makes the first calls if enough shards have a back end with room to
    /// reach the least share. Otherwise the query waits a while without making
    /// any: calls to the shards that have room would be for nothing.
    pub(super) fn begin(&mut self, cx: &mut Context<'_>) {
        if let Some(lack) = self.lack(cx) {
            self.hold(lack, cx);
            return;
        }
        self.let_go(cx);
        self.look = Time::MAX;
        let (mut called, left) = self.needed(cx);
        if self.is_trial() {
            let others = called.split_off(1.min(called.len()));
            self.wait_for_proof(&others, CallKind::First);
        }
        self.call(&called, CallKind::First, cx);
        for position in left {
            self.call_later(position, CallKind::First, self.next_look(cx.now));
        }
        self.first = self.calls.len();
        self.settle(cx);
    }

    /// The shards to call first, and those that are left to queries which wait
    /// for them, as the least share is reached without them. A query that took
    /// a place it could do without would leave another one unserved: with two
    /// shards that have room for three quarters of the queries each, one in
    /// four got nothing though all could get an answer that lacks one.
    fn needed(&self, cx: &Context<'_>) -> (Vec<usize>, Vec<usize>) {
        let version = self.version();
        let route = |position: usize| &self.routes.shards[self.shards[position].route];
        let wanted = |position: &usize| cx.table.held(route(*position).purse);
        let mut order: Vec<usize> = (0..self.shards.len()).collect();
        if order.iter().all(|position| wanted(position) == 0) {
            return (order, Vec::new());
        }
        order.sort_by_key(wanted);
        let mut room = 0;
        order.into_iter().partition(|position| {
            let needed = room == 0 || !self.reaches_least(room);
            let replicas = &route(*position).replicas;
            room += usize::from(cx.table.any_room(replicas, version, cx.now));
            needed || wanted(position) == 0
        })
    }

    /// What the query lacks to reach the least share, if anything.
    fn lack(&self, cx: &Context<'_>) -> Option<Lack> {
        let version = self.version();
        let routes = self.shards.iter().map(|s| s.route);
        let route = |number: usize| &self.routes.shards[number];
        let has_room = |number| cx.table.any_room(&route(number).replicas, version, cx.now);
        let full: Vec<usize> = routes.filter(|number| !has_room(*number)).collect();
        let room = self.shards.len() - full.len();
        let needed = (1..=full.len()).find(|more| self.reaches_least(room + more));
        let needed = match room > 0 && self.reaches_least(room) {
            true => return None,
            false => needed.unwrap_or(full.len()),
        };
        let class = self.config.class;
        let rate = |number: &usize| {
            let replicas = &route(*number).replicas;
            cx.table.drain_rate(class, replicas, version, cx.now)
        };
        Some(Lack {
            rate: full.iter().map(rate).sum::<f64>() / needed.max(1) as f64,
            purses: full.iter().map(|number| route(*number).purse).collect(),
            full,
        })
    }

    fn hold(&mut self, lack: Lack, cx: &mut Context<'_>) {
        let until = self.start + self.config.goal.since(self.start) / HOLD_PART;
        let new = self.held.is_empty();
        let held = lack.purses.iter().map(|purse| cx.table.held(*purse));
        let ahead = held.max().unwrap_or(0);
        let left = until.since(cx.now).as_secs_f64();
        let hopeless = new && f64::from(ahead + 1) > lack.rate * left;
        if hopeless || cx.now >= until {
            self.full = lack.full;
            self.finish(End::Partial(Give::Full), cx);
            return;
        }
        if new {
            lack.purses.iter().for_each(|purse| cx.table.hold(*purse));
            self.held = lack.purses;
        }
        self.look = self.next_look(cx.now).min(until);
    }

    /// Ends the wait of a query that has made no call.
    pub(super) fn let_go(&mut self, cx: &mut Context<'_>) {
        for purse in std::mem::take(&mut self.held) {
            cx.table.release(purse);
        }
    }

    fn next_look(&self, now: Time) -> Time {
        now + ROOM_LOOK.max(now.since(self.start) / ROOM_PART)
    }

    /// Has a shard without a call under way wait until one of its back ends has
    /// room, if that is what it lacks.
    pub(super) fn wait_for_room(&mut self, position: usize, kind: CallKind, cx: &Context<'_>) {
        let shard = &self.shards[position];
        let attempts = shard.ran < self.config.attempts;
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
        if replicas.iter().any(callable) {
            self.call_later(position, kind, self.next_look(cx.now));
        }
    }

    /// Has a shard whose call no budget paid wait for the budget. Only where
    /// the query would throw away what other shards did: a caller that asks
    /// again for a single one costs no more than the call that was not paid. Nor
    /// where several are needed and the caller can still come back in time: it
    /// mostly waited until the goal, for nothing, and was late then in any case.
    pub(super) fn wait_for_budget(&mut self, shards: &[usize], kind: CallKind, cx: &Context<'_>) {
        let alone = self.shards.len() == 1;
        if kind == CallKind::Hedge || alone || cx.now >= self.config.goal {
            return;
        }
        if self.config.goal >= self.config.deadline {
            return;
        }
        let early = cx.now < self.start + self.config.goal.since(self.start) / RETURN_PART;
        if early && self.short(cx.now) > 1 {
            return;
        }
        for position in shards {
            if self.shards[*position].live == 0 {
                self.call_later(*position, kind, self.next_look(cx.now));
            }
        }
    }

    fn call_later(&mut self, position: usize, kind: CallKind, at: Time) {
        if at + HOP >= self.config.deadline {
            return;
        }
        self.shards[position].later = Some(Later { at, kind });
        self.look = self.look.min(at);
    }

    /// Has shards that every replica shed tried again after a rest, in which a
    /// slot may come free.
    pub(super) fn rest(&mut self, orphans: &[usize], cx: &Context<'_>) {
        for position in orphans {
            let shard = &self.shards[*position];
            let replicas = self.routes.shards[shard.route].replicas.len();
            let rests = shard.live == 0 && shard.later.is_none();
            if rests && shard.tried.len() < replicas * ROUNDS {
                self.call_later(*position, CallKind::Reshed, cx.now + SHED_REST);
            }
        }
    }

    /// Leaves a shard to other queries, which can't do without it, if this one
    /// can; tells whether it does.
    fn give_way(&mut self, position: usize, cx: &Context<'_>) -> bool {
        let route = &self.routes.shards[self.shards[position].route];
        let sure = |shard: &&Shard<P>| shard.part.is_some() || shard.live > 0;
        let enough = self.reaches_least(self.shards.iter().filter(sure).count());
        let gives = enough && cx.table.held(route.purse) > 0;
        if gives {
            self.call_later(position, CallKind::First, self.next_look(cx.now));
        }
        gives
    }

    /// Makes the calls whose time has come.
    pub(super) fn call_waiting(&mut self, cx: &mut Context<'_>) {
        // One call may ask a back end for several shards, so those that are due
        // for the same reason are called together.
        let mut due: BTreeMap<CallKind, Vec<usize>> = BTreeMap::new();
        for (position, shard) in self.shards.iter_mut().enumerate() {
            let Some(later) = shard.later.filter(|later| later.at <= cx.now) else {
                continue;
            };
            shard.later = None;
            shard.rested |= later.kind == CallKind::Reshed;
            due.entry(later.kind).or_default().push(position);
        }
        if due.is_empty() {
            return;
        }
        for (kind, mut positions) in due {
            if kind == CallKind::First {
                positions.retain(|position| !self.give_way(*position, cx));
            }
            self.call(&positions, kind, cx);
        }
        self.stuck = true;
        self.settle(cx);
    }
}
