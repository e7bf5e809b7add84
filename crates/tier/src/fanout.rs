//! Runs one [`Query`] over the ports.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use chestnut_port::{LeafAnswer, LeafQuery, PeerError, SubAnswer, SubQuery};
use chestnut_route::{Action, CallId, CallKind, Context, Failure, Ix, Query, QueryConfig, Routes};
use chestnut_unit::{IndexVersion, RequestId, Time};
use futures::{
    FutureExt, StreamExt,
    future::{AbortHandle, Abortable, BoxFuture},
    stream::FuturesUnordered,
};
use rand_chacha::ChaCha8Rng;
use slog::debug;
use tokio::time::sleep_until;

use crate::{
    service::{Place, Service},
    shared::{Shared, lock},
};

/// What a query asks.
#[derive(Clone)]
pub(crate) struct Ask {
    pub(crate) request: RequestId,
    pub(crate) body: Bytes,
}

/// The parts of an answer: positions in the query and rows.
type Parts = (IndexVersion, Vec<(usize, Bytes)>);

enum Reply {
    Leaf(Result<LeafAnswer, Failure>),
    Peer(Result<SubAnswer, PeerError>),
}

type Call = Abortable<BoxFuture<'static, (CallId, Reply)>>;

struct Flight {
    to: Ix,
    shards: Vec<usize>,
    abort: AbortHandle,
}

/// A query under way. Dropping it cancels its calls and gives back their
/// counts, so a caller that hangs up costs the targets nothing more.
struct Fanout<'a> {
    shared: &'a Shared,
    service: &'a Service,
    ask: Ask,
    query: Option<Query<Bytes>>,
    calls: FuturesUnordered<Call>,
    flights: BTreeMap<CallId, Flight>,
    actions: Vec<Action>,
    rng: ChaCha8Rng,
}

/// Runs a query over all shards of `routes`, or over `subset`, to its end.
pub(crate) async fn run(
    shared: &Shared,
    service: &Service,
    ask: Ask,
    routes: Arc<Routes>,
    subset: Option<&[usize]>,
    config: QueryConfig,
) -> Query<Bytes> {
    let mut fanout = Fanout {
        shared,
        service,
        ask,
        query: None,
        calls: FuturesUnordered::new(),
        flights: BTreeMap::new(),
        actions: Vec::new(),
        rng: shared.rng(),
    };
    fanout.start(routes, subset, config);
    fanout.drive().await
}

impl Fanout<'_> {
    fn start(&mut self, routes: Arc<Routes>, subset: Option<&[usize]>, config: QueryConfig) {
        let now = self.shared.now();
        let mut state = lock(&self.service.state);
        let mut cx = Context {
            table: &mut state.table,
            now,
            rng: &mut self.rng,
            out: &mut self.actions,
        };
        self.query = Some(Query::start(routes, subset, config, &mut cx));
    }

    async fn drive(mut self) -> Query<Bytes> {
        loop {
            self.perform();
            let query = self.query.as_ref().expect("started and not yet ended");
            if query.end().is_some() {
                return self.query.take().expect("just seen");
            }
            let wake = self.shared.clock.instant(query.wake());
            tokio::select! {
                biased;
                Some(reply) = self.calls.next(), if !self.calls.is_empty() => {
                    if let Ok((call, reply)) = reply {
                        self.take(call, reply);
                    }
                }
                () = sleep_until(wake) => self.with_query(|query, cx| query.tick(cx)),
            }
        }
    }

    /// Passes an event to the query under the service's lock.
    fn with_query(&mut self, event: impl FnOnce(&mut Query<Bytes>, &mut Context<'_>)) {
        let Some(query) = &mut self.query else {
            return;
        };
        let mut state = lock(&self.service.state);
        let mut cx = Context {
            table: &mut state.table,
            now: self.shared.now(),
            rng: &mut self.rng,
            out: &mut self.actions,
        };
        event(query, &mut cx);
        let evictions = state.table.take_evictions();
        drop(state);
        for eviction in evictions {
            self.shared.metrics.evictions.inc();
            slog::info!(self.shared.log, "evict: {} for {:?}", eviction.backend, eviction.span;
                "service" => %self.service.name, "why" => %eviction.failure);
        }
    }

    fn perform(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Cancel(call) => {
                    if let Some(flight) = self.flights.remove(&call) {
                        flight.abort.abort();
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

    fn call(&mut self, id: CallId, to: Ix, shards: Vec<usize>, kind: CallKind, deadline: Time) {
        let place = lock(&self.service.state).places.get(&to).cloned();
        self.log_choice(place.as_ref(), shards.len(), kind);
        self.shared.metrics.count_call(kind);
        let left = deadline.since(self.shared.now());
        let future = match place {
            Some(Place::Leaf(leaf, address)) => self.call_leaf(id, leaf, address, &shards, left),
            Some(Place::Peer(_, address)) => self.call_peer(id, address, &shards, left),
            None => async move { (id, Reply::Leaf(Err(Failure::NotSent))) }.boxed(),
        };
        let (abort, registration) = AbortHandle::new_pair();
        self.calls.push(Abortable::new(future, registration));
        self.flights.insert(id, Flight { to, shards, abort });
    }

    fn call_leaf(
        &self,
        id: CallId,
        leaf: chestnut_unit::LeafId,
        address: std::net::SocketAddr,
        shards: &[usize],
        deadline: Duration,
    ) -> BoxFuture<'static, (CallId, Reply)> {
        let query = self.query.as_ref().expect("calls belong to a query");
        let routes = query.routes();
        let names = shards
            .iter()
            .map(|at| routes.shards[query.route_of(*at)].name.clone())
            .collect();
        let call = LeafQuery {
            leaf,
            address,
            request: self.ask.request,
            service: self.service.name.clone(),
            version: routes.snapshot.version,
            shards: names,
            body: self.ask.body.clone(),
            deadline,
        };
        let targets = self.shared.targets.clone();
        async move { (id, Reply::Leaf(targets.query(call).await)) }.boxed()
    }

    fn call_peer(
        &self,
        id: CallId,
        address: std::net::SocketAddr,
        shards: &[usize],
        deadline: Duration,
    ) -> BoxFuture<'static, (CallId, Reply)> {
        let query = self.query.as_ref().expect("calls belong to a query");
        let ask = SubQuery {
            request: self.ask.request,
            service: self.service.name.clone(),
            index: query.routes().snapshot.version,
            shards: shards.iter().map(|at| query.route_of(*at) as u32).collect(),
            body: self.ask.body.clone(),
            deadline,
        };
        let peers = self.shared.peers().clone();
        async move { (id, Reply::Peer(peers.query(address, ask).await)) }.boxed()
    }

    fn take(&mut self, call: CallId, reply: Reply) {
        let Some(flight) = self.flights.remove(&call) else {
            return;
        };
        let parts = match reply {
            Reply::Leaf(Ok(answer)) => {
                if answer.draining {
                    self.mark_draining(flight.to);
                }
                Ok(self.leaf_parts(&flight.shards, answer))
            }
            Reply::Leaf(Err(failure)) => Err(failure),
            Reply::Peer(Ok(SubAnswer::Parts { index, parts })) => {
                Ok((index, self.peer_parts(&flight.shards, parts)))
            }
            Reply::Peer(Ok(SubAnswer::Failed(failure))) => Err(failure),
            Reply::Peer(Err(PeerError::NotSent)) => Err(Failure::NotSent),
            Reply::Peer(Err(PeerError::Lost)) => Err(Failure::Lost),
        };
        match parts {
            Ok((version, parts)) => {
                self.with_query(|query, cx| query.answer(call, version, parts, cx));
            }
            Err(failure) => {
                self.log_failure(flight.to, failure);
                self.with_query(|query, cx| query.fail(call, failure, cx));
            }
        }
    }

    fn leaf_parts(&self, shards: &[usize], answer: LeafAnswer) -> Parts {
        let query = self.query.as_ref().expect("answers belong to a query");
        let routes = &query.routes().shards;
        let position = |name: &chestnut_unit::ShardName| {
            let here = |at: &&usize| routes[query.route_of(**at)].name == *name;
            shards.iter().find(here).copied()
        };
        let parts = answer
            .parts
            .into_iter()
            .filter_map(|(name, rows)| Some((position(&name)?, rows)))
            .collect();
        (answer.version, parts)
    }

    fn peer_parts(&self, shards: &[usize], parts: Vec<(u32, Bytes)>) -> Vec<(usize, Bytes)> {
        let query = self.query.as_ref().expect("answers belong to a query");
        let position = |route: u32| {
            let here = |at: &&usize| query.route_of(**at) == route as usize;
            shards.iter().find(here).copied()
        };
        parts
            .into_iter()
            .filter_map(|(route, rows)| Some((position(route)?, rows)))
            .collect()
    }

    fn mark_draining(&self, ix: Ix) {
        let now = self.shared.now();
        let mut state = lock(&self.service.state);
        if !state.table.is_leaving(ix) {
            state.table.set_leaving(ix, true, now);
            let backend = state.table.backend(ix).clone();
            drop(state);
            slog::info!(self.shared.log, "hold: {backend} is leaving";
                "service" => %self.service.name, "why" => "its own mark");
        }
    }

    fn log_choice(&self, place: Option<&Place>, shards: usize, kind: CallKind) {
        if !self.shared.log_routes {
            return;
        }
        let to = match place {
            Some(Place::Leaf(id, _)) => id.as_str(),
            Some(Place::Peer(id, _)) => id.as_str(),
            None => "nobody",
        };
        let part = match kind {
            CallKind::First => "choose",
            CallKind::Hedge => "hedge",
            CallKind::Retry | CallKind::Reshed | CallKind::Reroute => "retry",
        };
        debug!(self.shared.log, "{part}: {to} for {shards} shards";
            "request" => self.ask.request.0, "why" => kind.as_str());
    }

    fn log_failure(&self, to: Ix, failure: Failure) {
        if !self.shared.log_routes {
            return;
        }
        let backend = lock(&self.service.state).table.backend(to).clone();
        debug!(self.shared.log, "retry: {backend} failed";
            "request" => self.ask.request.0, "why" => %failure);
    }
}

impl Drop for Fanout<'_> {
    fn drop(&mut self) {
        self.with_query(|query, cx| query.abandon(cx));
    }
}
