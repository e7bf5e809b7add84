//! Calls to targets, the back ends.
//!
//! The targets here are leafs. A leaf serves some shards, the parts of an
//! index, from its snapshots, each of which has one index version.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use chestnut_route::Failure;
use chestnut_unit::{CallType, IndexVersion, LeafId, RequestId, ServiceName, ShardName};
use futures::future::BoxFuture;
use serde::Deserialize;

use crate::LeafAnswer;

/// A query call to one leaf.
#[derive(Clone, Debug)]
pub struct LeafQuery {
    /// The leaf to call.
    pub leaf: LeafId,
    /// The leaf's address.
    pub address: SocketAddr,
    /// The request that the call belongs to.
    pub request: RequestId,
    /// The service that is called.
    pub service: ServiceName,
    /// The index version that the leaf must answer from.
    pub version: IndexVersion,
    /// The shards to search.
    pub shards: Vec<ShardName>,
    /// The caller's query, as JSON.
    pub body: Bytes,
    /// Time left for the answer, sent to the leaf.
    pub deadline: Duration,
}

/// A submission call to one leaf.
#[derive(Clone, Debug)]
pub struct LeafSubmit {
    /// The leaf to call.
    pub leaf: LeafId,
    /// The leaf's address.
    pub address: SocketAddr,
    /// The request that the call belongs to.
    pub request: RequestId,
    /// The service that is called.
    pub service: ServiceName,
    /// The type of the submission.
    pub call: CallType,
    /// The caller's submission, as JSON.
    pub body: Bytes,
    /// Time left for the answer, sent to the leaf.
    pub deadline: Duration,
}

/// Answer of a leaf's health and load endpoint. It may be out of date or wrong. Missing
/// fields read as not healthy, not draining, no load and no versions.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct LeafState {
    /// Whether the leaf reports itself healthy.
    pub healthy: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Fraction of its request slots in use, from 0 to 1.
    pub load: f64,
    /// Index versions that it can serve.
    pub versions: Vec<IndexVersion>,
}

/// Client of the leafs. Dropping a future cancels its call.
pub trait Targets: Send + Sync {
    /// Runs a query on some shards of a leaf. Fails if the leaf can't be reached, refuses
    /// the call or gives no valid answer.
    fn query(&self, call: LeafQuery) -> BoxFuture<'_, Result<LeafAnswer, Failure>>;

    /// Sends a submission to a leaf. [`Failure::NotSent`] and
    /// [`Failure::Refused`] prove that it did not run; after [`Failure::Lost`]
    /// it may have.
    fn submit(&self, call: LeafSubmit) -> BoxFuture<'_, Result<Bytes, Failure>>;

    /// Reads a leaf's health and load endpoint; `None` if it gives no valid
    /// answer.
    fn state(&self, leaf: LeafId, address: SocketAddr) -> BoxFuture<'_, Option<LeafState>>;

    /// Keeps connections open to these leafs, at most `max_conns` to each, and
    /// drops the pools of all others.
    fn set_leafs(&self, leafs: Vec<(LeafId, SocketAddr)>, max_conns: usize);

    /// Returns the number of connections to each leaf, open or being opened.
    fn connections(&self) -> Vec<(LeafId, usize)>;
}
