//! Calls of one query to leafs that this entry connects to, and to peers.

use std::{fmt::Display, net::SocketAddr};

use bytes::Bytes;
use chestnut_flow::{CallReply, CallRequest, CallTransport, lock};
use chestnut_port::{LeafAnswer, LeafQuery, PeerError, SubAnswer, SubQuery};
use chestnut_route::{Eviction, Failure, Routes};
use chestnut_unit::{LeafId, RequestId, ShardName};
use futures::{FutureExt, future::BoxFuture};

use crate::{
    service::{BackendAddress, Service, ServiceRoutes},
    shared::Shared,
};

/// One query and the service that it is sent to; starts its calls to leafs and
/// peers.
pub(crate) struct QueryCalls<'a> {
    /// The state of the entry.
    pub(crate) shared: &'a Shared,
    /// The service that is queried.
    pub(crate) service: &'a Service,
    /// The id of the query.
    pub(crate) request: RequestId,
    /// The query as JSON.
    pub(crate) body: Bytes,
}

/// The pending result of one call: the reply, or how the call failed.
type CallFuture = BoxFuture<'static, Result<CallReply<Bytes>, Failure>>;

impl CallTransport for QueryCalls<'_> {
    type Extra = ServiceRoutes;
    type Part = Bytes;

    fn request(&self) -> &dyn Display {
        &self.request
    }

    fn call(&self, request: CallRequest<'_>) -> CallFuture {
        self.shared.metrics.count_call(request.kind);
        let backend = lock(&self.service.state)
            .extra
            .addresses
            .get(&request.to)
            .cloned();
        match backend {
            Some(BackendAddress::Leaf(leaf, address)) => self.call_leaf(leaf, address, &request),
            Some(BackendAddress::Peer(_, address)) => self.call_peer(address, &request),
            None => async { Err(Failure::NotSent) }.boxed(),
        }
    }

    fn on_eviction(&self, _: &Eviction) {
        self.shared.metrics.evictions.inc();
    }
}

impl QueryCalls<'_> {
    /// Queries the shards of `request` at a leaf that this entry holds.
    fn call_leaf(
        &self,
        leaf: LeafId,
        address: SocketAddr,
        request: &CallRequest<'_>,
    ) -> CallFuture {
        let names = shard_names(request.routes, &request.shards);
        let call = LeafQuery {
            leaf,
            address,
            request: self.request,
            service: self.service.name.clone(),
            version: request.routes.snapshot.version,
            shards: names.iter().map(|(name, _)| name.clone()).collect(),
            body: self.body.clone(),
            deadline: request.time_left,
        };
        let targets = self.shared.targets.clone();
        async move { Ok(reply_of_leaf(&names, targets.query(call).await?)) }.boxed()
    }

    /// Queries the shards of `request` at a peer, which calls their leafs.
    fn call_peer(&self, address: SocketAddr, request: &CallRequest<'_>) -> CallFuture {
        let query = SubQuery {
            request: self.request,
            service: self.service.name.clone(),
            index: request.routes.snapshot.version,
            shards: request.shards.iter().map(|ix| *ix as u32).collect(),
            body: self.body.clone(),
            deadline: request.time_left,
        };
        let peers = self.shared.peers().clone();
        async move { reply_of_peer(peers.query(address, query).await) }.boxed()
    }
}

/// Returns the names of the shards at the positions `shards` of the routes,
/// each with its position.
fn shard_names(routes: &Routes, shards: &[usize]) -> Vec<(ShardName, usize)> {
    let name = |ix: &usize| (routes.shards[*ix].name.clone(), *ix);
    shards.iter().map(name).collect()
}

/// Converts a leaf's answer, which names shards, to one with their positions in
/// the routes; drops shards that are not in `names`.
fn reply_of_leaf(names: &[(ShardName, usize)], answer: LeafAnswer) -> CallReply<Bytes> {
    let position = |name: &ShardName| {
        let is_named = |(shard, _): &&(ShardName, usize)| shard == name;
        names.iter().find(is_named).map(|(_, ix)| *ix)
    };
    CallReply {
        version: answer.version,
        draining: answer.draining,
        parts: answer
            .parts
            .into_iter()
            .filter_map(|(name, rows)| Some((position(&name)?, rows)))
            .collect(),
    }
}

/// Converts a peer's answer, and maps a transport error to a failure.
fn reply_of_peer(answer: Result<SubAnswer, PeerError>) -> Result<CallReply<Bytes>, Failure> {
    match answer {
        Ok(SubAnswer::Parts { index, parts }) => Ok(CallReply {
            version: index,
            draining: false,
            parts: parts
                .into_iter()
                .map(|(ix, rows)| (ix as usize, rows))
                .collect(),
        }),
        Ok(SubAnswer::Failed(failure)) => Err(failure),
        Err(PeerError::NotSent) => Err(Failure::NotSent),
        Err(PeerError::Lost) => Err(Failure::Lost),
    }
}
