//! Calls of one forwarded request to leafs.

use std::{
    fmt::Display,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use chestnut_book::Kind;
use chestnut_flow::{Calls, Flying, Parts, Start, lock};
use chestnut_port::{LeafCall, LeafFailure, LeafReply, Message};
use chestnut_route::{Eviction, Failure};
use chestnut_unit::LeafId;
use futures::FutureExt;

use crate::{cold::send_until, ground::Ground, shared::Shared};

/// A forwarded request and what its calls brought beside answers.
pub(crate) struct Forwarded<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) message: Arc<Message>,
    pub(crate) kind: Kind,
    /// Whether answers are parts of a merged one.
    pub(crate) merges: bool,
    /// The last failure that a leaf answered with, to pass on if nothing
    /// better comes.
    pub(crate) failed: Arc<Mutex<Option<LeafReply>>>,
    pub(crate) seen: Arc<Mutex<Seen>>,
}

/// What calls tell of what their request does to leafs.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// Whether a leaf ran it and answered.
    pub(crate) answered: bool,
    /// Leafs whose connection ended under a call.
    pub(crate) lost: Vec<(LeafId, SocketAddr)>,
}

/// Longest idle time of a connection for a request that runs at most once. Leafs
/// keep idle connections for some seconds, and sometimes forget them sooner; a
/// new one costs a few milliseconds.
const IDLE_ONCE: Duration = Duration::from_millis(500);

impl Calls for Forwarded<'_> {
    type Extra = Ground;
    type Part = LeafReply;

    fn request(&self) -> &dyn Display {
        &self.message.id
    }

    fn call(&self, start: Start<'_>) -> Flying<LeafReply> {
        let place = {
            let state = lock(&self.shared.cell.state);
            let place = state.extra.places.get(&start.to).cloned();
            let until = send_until(self.shared, &state, start.to);
            place
                .zip(until)
                .map(|(place, until)| (state.extra.connections(&place.service), place, until))
        };
        self.shared.calls.fetch_add(1, Ordering::Relaxed);
        self.shared.metrics.count_call(start.kind);
        let Some((connections, place, until)) = place else {
            return async { Err(Failure::NotSent) }.boxed();
        };
        let called = (place.leaf.clone(), place.address);
        let call = LeafCall {
            leaf: place.leaf,
            address: place.address,
            distance: place.distance,
            message: self.message.clone(),
            left: start.left,
            connections,
            idle: match self.kind {
                Kind::Idempotent => Duration::MAX,
                Kind::Once => IDLE_ONCE,
            },
            until,
        };
        let reply = self.shared.forward.call(call);
        let (failed, shards, merges) = (self.failed.clone(), start.shards, self.merges);
        let version = start.routes.snapshot.version;
        let seen = self.seen.clone();
        async move {
            let reply = reply.await;
            match &reply {
                Ok(_) => lock(&seen).answered = true,
                Err(LeafFailure::Lost) => lock(&seen).lost.push(called),
                Err(_) => {}
            }
            match reply {
                // What a leaf refuses, as a wrong path, is signed like any answer
                // but holds no records: merged it would look like an empty shard.
                Ok(reply) if merges && !reply.answer.status().is_success() => {
                    *lock(&failed) = Some(reply);
                    Err(Failure::Failed)
                }
                Ok(reply) => Ok(Parts {
                    version,
                    // One call asks one leaf for one shard.
                    parts: shards.into_iter().map(|at| (at, reply.clone())).collect(),
                    draining: false,
                }),
                Err(LeafFailure::Unsent) => Err(Failure::NotSent),
                Err(LeafFailure::Refused(refusal)) => Err(Failure::Refused(refusal)),
                Err(LeafFailure::Lost) => Err(Failure::Lost),
                Err(LeafFailure::Failed(reply)) => {
                    *lock(&failed) = Some(reply);
                    Err(Failure::Failed)
                }
            }
        }
        .boxed()
    }

    fn evicted(&self, _: &Eviction) {
        self.shared.metrics.evictions.inc();
    }
}
