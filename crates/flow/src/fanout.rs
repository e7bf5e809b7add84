//! Runs one scatter-gather [`Query`] over the calls of a protocol front end.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Display,
    sync::Arc,
    time::Duration,
};

use chestnut_route::{
    Action, CallId, CallKind, Context, Eviction, Failure, Ix, Query, QueryConfig, Routes, WaiterId,
};
use chestnut_unit::{IndexVersion, Time};
use futures::{
    FutureExt, StreamExt,
    future::{AbortHandle, Abortable, BoxFuture},
    stream::FuturesUnordered,
};
use rand_chacha::ChaCha8Rng;
use slog::debug;
use tokio::{
    sync::{Notify, watch},
    time::sleep_until,
};

use crate::{Cell, CellState, Runtime, TraceLevel, lock};

/// The answer to one call: the index version that was read, and the parts of
/// the shards that were asked.
#[derive(Debug)]
pub struct CallReply<P> {
    /// The index version that the back end read.
    pub version: IndexVersion,
    /// Positions in the pinned routes, with the shards' parts of the answer.
    pub parts: Vec<(usize, P)>,
    /// Whether the back end reports that it is leaving.
    pub draining: bool,
}

/// The parameters of a call to start: the back end, the shards to ask and the
/// time left.
#[derive(Debug)]
pub struct CallRequest<'a> {
    /// The back end to call.
    pub to: Ix,
    /// The routes that the query pinned when it started.
    pub routes: &'a Routes,
    /// Positions in `routes` of the shards to ask.
    pub shards: Vec<usize>,
    /// Time left for the answer.
    pub time_left: Duration,
    /// Why the call is made.
    pub kind: CallKind,
}

/// The future of a call in flight, which gives the reply or says how the call
/// failed.
pub type CallFuture<P> = BoxFuture<'static, Result<CallReply<P>, Failure>>;

/// Makes calls to back ends on behalf of one request. Each protocol front end
/// implements it.
pub trait CallTransport {
    /// State that the front end keeps in its cells.
    type Extra;
    /// A shard's part of the answer.
    type Part;

    /// Returns the name of the request for logs.
    fn request(&self) -> &dyn Display;

    /// Starts a call. Dropping the future cancels it.
    fn call(&self, request: CallRequest<'_>) -> CallFuture<Self::Part>;

    /// Called after each ejection of a back end as an outlier, for example to
    /// count it.
    fn on_eviction(&self, eviction: &Eviction);
}

/// A call in flight that can be cancelled; it gives its id with the reply.
type Cancellable<P> = Abortable<BoxFuture<'static, (CallId, Result<CallReply<P>, Failure>)>>;

/// A call in flight: its back end, its shards and the handle that cancels it.
struct PendingCall {
    to: Ix,
    shards: Vec<usize>,
    abort: AbortHandle,
}

/// A query in progress: its calls in flight and the actions that it asked for.
/// Dropping it cancels its calls and releases their capacity, so a caller that
/// hangs up costs the targets nothing more.
struct Fanout<'a, C: CallTransport> {
    runtime: &'a Runtime,
    cell: &'a Cell<C::Extra>,
    transport: &'a C,
    query: Option<Query<C::Part>>,
    in_flight: FuturesUnordered<Cancellable<C::Part>>,
    pending: BTreeMap<CallId, PendingCall>,
    actions: Vec<Action>,
    rng: ChaCha8Rng,
    queued: Queued,
    /// When the process ends by plan.
    process_end: watch::Receiver<Option<Time>>,
}

/// The places of the query and its shards in the capacity queue, and the notification that wakes
/// its task.
#[derive(Default)]
struct Queued {
    ids: BTreeSet<WaiterId>,
    notify: Option<Arc<Notify>>,
}

/// Runs a query over all shards of `routes`, or over those at the positions in
/// `subset`, until it ends, and returns it with its parts and coverage.
/// Dropping the future cancels the calls in flight.
pub async fn run<C: CallTransport>(
    runtime: &Runtime,
    cell: &Cell<C::Extra>,
    transport: &C,
    routes: Arc<Routes>,
    subset: Option<&[usize]>,
    config: QueryConfig,
) -> Query<C::Part>
where
    C::Part: 'static,
{
    let mut fanout = Fanout {
        runtime,
        cell,
        transport,
        query: None,
        in_flight: FuturesUnordered::new(),
        pending: BTreeMap::new(),
        actions: Vec::new(),
        rng: runtime.rng(),
        queued: Queued::default(),
        process_end: runtime.lifetime.subscribe(),
    };
    fanout.start(routes, subset, config);
    fanout.drive().await
}

impl<C: CallTransport> Fanout<'_, C>
where
    C::Part: 'static,
{
    /// Starts the query, which adds its first calls to the actions to run.
    fn start(&mut self, routes: Arc<Routes>, subset: Option<&[usize]>, mut config: QueryConfig) {
        config.process_end = *self.process_end.borrow_and_update();
        let now = self.runtime.now();
        let mut state = lock(&self.cell.state);
        let mut cx = Context {
            table: &mut state.table,
            now,
            rng: &mut self.rng,
            actions: &mut self.actions,
        };
        let query = Query::start(routes, subset, config, &mut cx);
        self.queued.update(query.waiters(), &mut state);
        state.wake_queries();
        self.query = Some(query);
    }

    /// Performs actions, and passes replies, timeouts and the end of the process to the
    /// query until it ends.
    async fn drive(mut self) -> Query<C::Part> {
        loop {
            self.run_actions();
            let query = self.query.as_ref().expect("the query is running");
            if query.end().is_some() {
                return self.query.take().expect("the query has ended");
            }
            let next_tick = self.runtime.clock.instant(query.next_tick());
            tokio::select! {
                biased;
                Some(reply) = self.in_flight.next(), if !self.in_flight.is_empty() => {
                    if let Ok((call, reply)) = reply {
                        self.handle_reply(call, reply);
                    }
                }
                Ok(()) = self.process_end.changed() => self.limit(),
                () = self.queued.woken() => self.with_query(|query, cx| query.tick(cx)),
                () = sleep_until(next_tick) => self.with_query(|query, cx| query.tick(cx)),
            }
        }
    }

    /// Tells the query when the process ends.
    fn limit(&mut self) {
        let end = *self.process_end.borrow_and_update();
        if let Some(end) = end {
            self.with_query(|query, cx| query.stop_by(end, cx));
        }
    }

    /// Starts and cancels the calls that the query asked for.
    fn run_actions(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Cancel(call) => {
                    if let Some(sent) = self.pending.remove(&call) {
                        sent.abort.abort();
                    }
                }
                Action::Call {
                    call,
                    to,
                    shards,
                    kind,
                    deadline,
                } => self.call(call, to, shards, kind, deadline),
            }
        }
    }

    /// Logs and starts a call, and keeps it until its reply or its
    /// cancellation.
    fn call(&mut self, id: CallId, to: Ix, shards: Vec<usize>, kind: CallKind, deadline: Time) {
        self.log_choice(to, shards.len(), kind);
        let query = self.query.as_ref().expect("calls belong to a query");
        let request = CallRequest {
            to,
            routes: query.routes(),
            shards: shards.iter().map(|at| query.route_of(*at)).collect(),
            time_left: deadline.since(self.runtime.now()),
            kind,
        };
        let reply = self.transport.call(request);
        let future = async move { (id, reply.await) }.boxed();
        let (abort, registration) = AbortHandle::new_pair();
        self.in_flight.push(Abortable::new(future, registration));
        self.pending.insert(id, PendingCall { to, shards, abort });
    }

    /// Passes the reply of a call to the query; ignores it if the call was
    /// cancelled. A reply from a draining back end also marks it as leaving.
    fn handle_reply(&mut self, call: CallId, reply: Result<CallReply<C::Part>, Failure>) {
        let Some(sent) = self.pending.remove(&call) else {
            return;
        };
        match reply {
            Ok(answer) => {
                if answer.draining {
                    self.mark_draining(sent.to);
                }
                let parts = self.positions(&sent.shards, answer.parts);
                let version = answer.version;
                self.with_query(|query, cx| query.answer(call, version, parts, cx));
            }
            Err(failure) => {
                self.log_failure(sent.to, failure);
                self.with_query(|query, cx| query.fail(call, failure, cx));
            }
        }
    }

    /// Maps positions in the routes to positions in the query. Drops parts that
    /// are not of `shards`, the positions that the call asked for.
    fn positions(&self, shards: &[usize], parts: Vec<(usize, C::Part)>) -> Vec<(usize, C::Part)> {
        let query = self.query.as_ref().expect("answers belong to a query");
        let position = |route: usize| {
            let here = |at: &&usize| query.route_of(**at) == route;
            shards.iter().find(here).copied()
        };
        parts
            .into_iter()
            .filter_map(|(route, part)| Some((position(route)?, part)))
            .collect()
    }

    /// Marks a back end that reported that it is leaving in the table, and logs
    /// this; does nothing if it is marked already.
    fn mark_draining(&self, ix: Ix) {
        let now = self.runtime.now();
        let mut state = lock(&self.cell.state);
        if state.table.is_leaving(ix) {
            return;
        }
        state.table.set_leaving(ix, true, now);
        let backend = state.table.backend(ix).clone();
        drop(state);
        slog::info!(self.runtime.log, "hold: {backend} is leaving";
            "service" => %self.cell.name, "why" => "its own mark");
    }

    /// Logs the back end chosen for a call of `shards` shards, unless the trace
    /// level excludes calls of this kind.
    fn log_choice(&self, to: Ix, shards: usize, kind: CallKind) {
        let level = match kind {
            CallKind::First => TraceLevel::All,
            _ => TraceLevel::Extra,
        };
        if self.runtime.trace < level {
            return;
        }
        let part = match kind {
            CallKind::First => "choose",
            CallKind::Hedge => "hedge",
            CallKind::Retry | CallKind::RetryAfterShed | CallKind::Reroute => "retry",
        };
        let backend = lock(&self.cell.state).table.backend(to).clone();
        debug!(self.runtime.log, "{part}: {backend} for {shards} shards";
            "request" => %self.transport.request(), "why" => kind.as_str());
    }

    /// Logs a failed call, unless the trace level excludes it.
    fn log_failure(&self, to: Ix, failure: Failure) {
        if self.runtime.trace < TraceLevel::Extra {
            return;
        }
        let backend = lock(&self.cell.state).table.backend(to).clone();
        debug!(self.runtime.log, "retry: {backend} failed";
            "request" => %self.transport.request(), "why" => %failure);
    }
}

impl<C: CallTransport> Fanout<'_, C> {
    /// Passes an event to the query under the cell's lock and wakes the queued queries that
    /// can start after it, then reports and logs the evictions that it caused. Does nothing before the start or
    /// after the end of the query.
    fn with_query(&mut self, event: impl FnOnce(&mut Query<C::Part>, &mut Context<'_>)) {
        let Some(query) = &mut self.query else {
            return;
        };
        let mut state = lock(&self.cell.state);
        let mut cx = Context {
            table: &mut state.table,
            now: self.runtime.now(),
            rng: &mut self.rng,
            actions: &mut self.actions,
        };
        event(query, &mut cx);
        self.queued.update(query.waiters(), &mut state);
        state.wake_queries();
        let evictions = state.table.take_evictions();
        drop(state);
        for eviction in evictions {
            self.transport.on_eviction(&eviction);
            slog::info!(self.runtime.log, "evict: {} for {:?}", eviction.backend, eviction.span;
                "service" => %self.cell.name, "why" => %eviction.failure);
        }
    }
}

impl Queued {
    /// Registers the notification under the ids that the query has got in the queue, and removes
    /// it from those that have left it.
    fn update<X>(&mut self, ids: impl Iterator<Item = WaiterId>, state: &mut CellState<X>) {
        let ids: BTreeSet<WaiterId> = ids.collect();
        for old in self.ids.difference(&ids) {
            state.waiters.remove(old);
        }
        for new in ids.difference(&self.ids) {
            let notify = self.notify.get_or_insert_default();
            state.waiters.insert(*new, notify.clone());
        }
        self.ids = ids;
    }

    /// Waits until the query is woken; never returns if it isn't queued.
    async fn woken(&self) {
        match &self.notify {
            Some(notify) if !self.ids.is_empty() => notify.notified().await,
            _ => std::future::pending().await,
        }
    }
}

impl<C: CallTransport> Drop for Fanout<'_, C> {
    fn drop(&mut self) {
        self.with_query(|query, cx| query.cancel_all(cx));
    }
}
