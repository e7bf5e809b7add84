//! One fan-out over the shards of a snapshot, from first call to merge.

mod closing;
mod config;
mod gain;
mod proof;
mod tries;
mod wait;

use std::{sync::Arc, time::Duration};

use chestnut_unit::{Coverage, IndexVersion, ShardName, Time};
pub use config::{Action, CallId, CallKind, End, Give, Prospect, QueryConfig, Repeat, Trust};
use rand::Rng;
use tries::kind_after;
use wait::Later;

use crate::{Attempt, Ended, Failure, Ix, NotRun, PurseId, Refusal, Routes, Sent, Table};

/// Time that an answer needs from a back end to the caller of the decision,
/// taken off the deadline at each hop.
const HOP: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct Shard<P> {
    route: usize,
    part: Option<P>,
    tried: Vec<Ix>,
    live: u32,
    /// Calls that a back end may have run.
    ran: u32,
    /// Calls that asked for it.
    calls: Vec<CallId>,
    due: Time,
    /// A call that waits: for room, for the budget, or after every replica
    /// shed one.
    later: Option<Later>,
    rested: bool,
}

#[derive(Debug)]
enum Life {
    Live(Attempt<Sent>),
    Over,
}

#[derive(Debug)]
struct Call {
    shards: Vec<usize>,
    life: Life,
}

/// What comes with every event: the table, the time and the random source.
pub struct Context<'a> {
    /// What is known of the back ends.
    pub table: &'a mut Table,
    /// The present time.
    pub now: Time,
    /// Random source.
    pub rng: &'a mut dyn Rng,
    /// Receives what has to be done.
    pub out: &'a mut Vec<Action>,
}

/// One query. `P` is the part that a shard contributes.
#[derive(Debug)]
pub struct Query<P> {
    routes: Arc<Routes>,
    config: QueryConfig,
    shards: Vec<Shard<P>>,
    calls: Vec<Call>,
    ends: Vec<Ended>,
    pending: usize,
    start: Time,
    /// What a query waits for that has made no call yet: the shards without room.
    held: Vec<PurseId>,
    /// Shards whose want of room ended the query, as positions in the routes.
    full: Vec<usize>,
    look: Time,
    /// Half of the time to the deadline: from here on what is missing may be
    /// hedged however much it is, as far as the budget goes.
    half: Time,
    first: usize,
    end: Option<End>,
    sheds: u32,
    /// Calls whose back end ended, or their connection.
    lost: usize,
    /// Whether a back end has answered a call.
    proven: bool,
    /// Times that an extra call was not paid for.
    withheld: u32,
    /// Whether the goal has passed and the query was not ended by it.
    goal_seen: bool,
    /// Whether some shard may have no call under way and none to come.
    stuck: bool,
}

impl<P> Query<P> {
    /// Starts a query over all shards of `routes`, or over those in `subset`.
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
            held: Vec::new(),
            full: Vec::new(),
            look: Time::MAX,
            half: cx.now + config.deadline.since(cx.now) / 2,
            first: 0,
            end: None,
            sheds: 0,
            lost: 0,
            proven: false,
            withheld: 0,
            goal_seen: false,
            stuck: true,
        };
        let closed = query.closed(cx);
        let open = query.shards.len() - closed.len();
        if open == 0 || !query.reaches_least(open) {
            // Calls that are cancelled at once may still have been sent; with
            // none the refusal can say that nothing ran.
            query.end = Some(End::Partial(query.why(&closed, cx)));
            return query;
        }
        query.begin(cx);
        query
    }

    /// Takes an answer. Parts of another snapshot, of shards that were not
    /// asked in this call or that are done, are dropped.
    pub fn answer(
        &mut self,
        id: CallId,
        version: IndexVersion,
        parts: Vec<(usize, P)>,
        cx: &mut Context<'_>,
    ) {
        let Some(attempt) = self.take(id) else {
            cx.table.gauge.dropped += parts.len() as u64;
            return;
        };
        let to = attempt.to();
        let span = cx.now.since(attempt.sent_at());
        self.ends.push(attempt.answer());
        cx.table.answered_in(self.config.class, to, span, cx.now);
        if version == self.version() {
            self.merge(id, parts, cx);
        } else {
            cx.table.gauge.dropped += parts.len() as u64;
            cx.table.lacks(to, self.version(), cx.now);
        }
        self.prove(cx);
        self.release(id, CallKind::Retry, cx);
        self.settle(cx);
    }

    /// Takes the failure of a call.
    pub fn fail(&mut self, id: CallId, failure: Failure, cx: &mut Context<'_>) {
        let Some(attempt) = self.take(id) else {
            return;
        };
        let to = attempt.to();
        self.ends.push(match failure {
            Failure::Lost | Failure::Cut => attempt.lose(),
            Failure::Refused(_) => attempt.refuse_unrun(),
            Failure::NotSent => attempt.prove_unsent(),
            Failure::Failed => attempt.answer(),
        });
        cx.table.failed(to, failure, cx.now);
        if matches!(failure, Failure::Refused(_) | Failure::NotSent) {
            self.uncount(id);
        }
        if failure == Failure::Refused(Refusal::NoSnapshot) {
            cx.table.lacks(to, self.version(), cx.now);
        }
        self.lost += usize::from(failure == Failure::Lost);
        self.sheds += u32::from(failure == Failure::Refused(Refusal::Shed));
        self.release(id, kind_after(failure, self.config.repeat), cx);
        self.settle(cx);
    }

    /// Takes the passing of time.
    pub fn tick(&mut self, cx: &mut Context<'_>) {
        if self.end.is_some() {
            return;
        }
        if cx.now >= self.config.deadline {
            self.finish(End::Partial(Give::Deadline), cx);
            return;
        }
        if !self.held.is_empty() {
            if cx.now >= self.look {
                self.begin(cx);
            }
            return;
        }
        self.goal_seen |= cx.now >= self.config.goal;
        if self.is_enough(cx.now) {
            self.finish(End::Partial(Give::Enough), cx);
            return;
        }
        self.call_waiting(cx);
        if self.end.is_none() && cx.now >= self.look {
            self.hedge(cx);
        }
    }

    /// Takes back from the shards of a call that it may have run.
    fn uncount(&mut self, id: CallId) {
        for position in &self.calls[id.0 as usize].shards {
            let shard = &mut self.shards[*position];
            shard.ran = shard.ran.saturating_sub(1);
        }
    }

    /// Ends a query that nobody waits for any more.
    pub fn abandon(&mut self, cx: &mut Context<'_>) {
        if self.end.is_none() {
            self.finish(End::Partial(Give::Deadline), cx);
        }
    }

    /// When [`Query::tick`] has something to do next.
    #[must_use]
    pub fn wake(&self) -> Time {
        let begun = self.held.is_empty();
        let waits = begun && self.config.goal < self.config.deadline && !self.goal_seen;
        let goal = if waits { self.config.goal } else { Time::MAX };
        self.look.min(self.config.deadline).min(goal)
    }

    /// How the query ended, if it has.
    #[must_use]
    pub fn end(&self) -> Option<End> {
        self.end
    }

    /// Calls of this query that targets shed.
    #[must_use]
    pub fn sheds(&self) -> u32 {
        self.sheds
    }

    /// Times that no budget paid for an extra call of this query.
    #[must_use]
    pub fn withheld(&self) -> u32 {
        self.withheld
    }

    /// Proof that no target ran any part of the query, if there is one.
    #[must_use]
    pub fn not_run(&self) -> Option<NotRun> {
        let live = self.calls.iter().any(|c| matches!(c.life, Life::Live(_)));
        if live {
            None
        } else {
            NotRun::prove(&self.ends)
        }
    }

    /// Calls made so far.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// The routes that the query pinned.
    #[must_use]
    pub fn routes(&self) -> &Arc<Routes> {
        &self.routes
    }

    /// Position in the pinned routes of the shard at `position`.
    #[must_use]
    pub fn route_of(&self, position: usize) -> usize {
        self.shards[position].route
    }

    /// What the merged parts cover.
    #[must_use]
    pub fn coverage(&self) -> Coverage {
        let name = |shard: &Shard<P>| self.routes.shards[shard.route].name.clone();
        let asked: Vec<_> = self.shards.iter().map(name).collect();
        let merged: Vec<_> = self.shards.iter().map(|s| s.part.is_some()).collect();
        Coverage::from_merged(&asked, &merged)
    }

    /// The shards whose want of room ended the query before its first call.
    pub fn full(&self) -> impl Iterator<Item = &ShardName> {
        self.full.iter().map(|at| &self.routes.shards[*at].name)
    }

    /// Back ends that were called for shards which have no part, in order.
    #[must_use]
    pub fn in_vain(&self) -> Vec<Ix> {
        let missing = self.shards.iter().filter(|shard| shard.part.is_none());
        missing
            .flat_map(|shard| shard.tried.iter().copied())
            .collect()
    }

    /// The merged parts with their positions in the pinned routes, in order.
    pub fn into_parts(self) -> impl Iterator<Item = (usize, P)> {
        self.shards
            .into_iter()
            .filter_map(|shard| shard.part.map(|part| (shard.route, part)))
    }

    fn version(&self) -> IndexVersion {
        self.routes.snapshot.version
    }

    /// Ends the life of a call and returns its attempt, if it was live.
    fn take(&mut self, id: CallId) -> Option<Attempt<Sent>> {
        let call = self.calls.get_mut(id.0 as usize)?;
        match std::mem::replace(&mut call.life, Life::Over) {
            Life::Live(attempt) => Some(attempt),
            Life::Over => None,
        }
    }

    fn merge(&mut self, id: CallId, parts: Vec<(usize, P)>, cx: &mut Context<'_>) {
        let asked = std::mem::take(&mut self.calls[id.0 as usize].shards);
        for (position, part) in parts {
            let wanted = asked.contains(&position) && self.shards[position].part.is_none();
            if !wanted {
                cx.table.gauge.dropped += 1;
                continue;
            }
            self.shards[position].part = Some(part);
            self.pending -= 1;
        }
        self.calls[id.0 as usize].shards = asked;
    }

    /// Lets go of the shards of a call that has ended: those still without a
    /// part and without another live call are tried again or given up.
    fn release(&mut self, id: CallId, again: CallKind, cx: &mut Context<'_>) {
        let shards = std::mem::take(&mut self.calls[id.0 as usize].shards);
        let mut orphans = Vec::new();
        for position in &shards {
            let shard = &mut self.shards[*position];
            shard.live -= 1;
            if shard.part.is_none() && shard.live == 0 {
                orphans.push(*position);
            }
        }
        for position in &shards {
            self.cancel_useless(*position, cx);
        }
        self.calls[id.0 as usize].shards = shards;
        if !orphans.is_empty() && self.end.is_none() {
            self.retry(&orphans, again, cx);
            self.stuck = true;
        }
    }
}

impl<P> Shard<P> {
    /// When the shard has to be looked at next.
    fn next(&self) -> Time {
        self.later.map_or(self.due, |later| later.at)
    }

    /// Whether the shard has no part, no call under way and none to come.
    fn is_hopeless(&self) -> bool {
        self.part.is_none() && self.live == 0 && self.later.is_none()
    }

    fn new(route: usize) -> Self {
        Self {
            route,
            part: None,
            tried: Vec::new(),
            live: 0,
            ran: 0,
            calls: Vec::new(),
            due: Time::MAX,
            later: None,
            rested: false,
        }
    }
}
