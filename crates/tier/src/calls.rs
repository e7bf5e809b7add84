//! Calls of one request to the leafs held here and to peers.

use std::{fmt::Display, net::SocketAddr};

use bytes::Bytes;
use chestnut_flow::{Calls, Parts, Start, lock};
use chestnut_port::{LeafAnswer, LeafQuery, PeerError, SubAnswer, SubQuery};
use chestnut_route::{Eviction, Failure, Routes};
use chestnut_unit::{LeafId, RequestId, ShardName};
use futures::{FutureExt, future::BoxFuture};

use crate::{
    service::{Place, Placed, Service},
    shared::Shared,
};

/// What a query asks, and of whom.
pub(crate) struct Ask<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) service: &'a Service,
    pub(crate) request: RequestId,
    pub(crate) body: Bytes,
}

type Reply = BoxFuture<'static, Result<Parts<Bytes>, Failure>>;

impl Calls for Ask<'_> {
    type Extra = Placed;
    type Part = Bytes;

    fn request(&self) -> &dyn Display {
        &self.request
    }

    fn call(&self, start: Start<'_>) -> Reply {
        self.shared.metrics.count_call(start.kind);
        let place = lock(&self.service.state)
            .extra
            .places
            .get(&start.to)
            .cloned();
        match place {
            Some(Place::Leaf(leaf, address)) => self.call_leaf(leaf, address, &start),
            Some(Place::Peer(_, address)) => self.call_peer(address, &start),
            None => async { Err(Failure::NotSent) }.boxed(),
        }
    }

    fn evicted(&self, _: &Eviction) {
        self.shared.metrics.evictions.inc();
    }
}

impl Ask<'_> {
    fn call_leaf(&self, leaf: LeafId, address: SocketAddr, start: &Start<'_>) -> Reply {
        let named = named(start.routes, &start.shards);
        let call = LeafQuery {
            leaf,
            address,
            request: self.request,
            service: self.service.name.clone(),
            version: start.routes.snapshot.version,
            shards: named.iter().map(|(name, _)| name.clone()).collect(),
            body: self.body.clone(),
            deadline: start.left,
        };
        let targets = self.shared.targets.clone();
        async move { Ok(leaf_parts(&named, targets.query(call).await?)) }.boxed()
    }

    fn call_peer(&self, address: SocketAddr, start: &Start<'_>) -> Reply {
        let ask = SubQuery {
            request: self.request,
            service: self.service.name.clone(),
            index: start.routes.snapshot.version,
            shards: start.shards.iter().map(|at| *at as u32).collect(),
            body: self.body.clone(),
            deadline: start.left,
        };
        let peers = self.shared.peers().clone();
        async move { peer_parts(peers.query(address, ask).await) }.boxed()
    }
}

fn named(routes: &Routes, shards: &[usize]) -> Vec<(ShardName, usize)> {
    let name = |at: &usize| (routes.shards[*at].name.clone(), *at);
    shards.iter().map(name).collect()
}

fn leaf_parts(named: &[(ShardName, usize)], answer: LeafAnswer) -> Parts<Bytes> {
    let position = |name: &ShardName| {
        let here = |(asked, _): &&(ShardName, usize)| asked == name;
        named.iter().find(here).map(|(_, at)| *at)
    };
    Parts {
        version: answer.version,
        draining: answer.draining,
        parts: answer
            .parts
            .into_iter()
            .filter_map(|(name, rows)| Some((position(&name)?, rows)))
            .collect(),
    }
}

fn peer_parts(answer: Result<SubAnswer, PeerError>) -> Result<Parts<Bytes>, Failure> {
    match answer {
        Ok(SubAnswer::Parts { index, parts }) => Ok(Parts {
            version: index,
            draining: false,
            parts: parts
                .into_iter()
                .map(|(at, rows)| (at as usize, rows))
                .collect(),
        }),
        Ok(SubAnswer::Failed(failure)) => Err(failure),
        Err(PeerError::NotSent) => Err(Failure::NotSent),
        Err(PeerError::Lost) => Err(Failure::Lost),
    }
}
