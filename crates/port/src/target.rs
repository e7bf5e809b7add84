//! The port to targets.

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
    /// The leaf.
    pub leaf: LeafId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The request that it is for.
    pub request: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The index version that it must read.
    pub version: IndexVersion,
    /// The shards that are asked.
    pub shards: Vec<ShardName>,
    /// The caller's query, JSON.
    pub body: Bytes,
    /// Time left for the answer.
    pub deadline: Duration,
}

/// A submission call to one leaf.
#[derive(Clone, Debug)]
pub struct LeafSubmit {
    /// The leaf.
    pub leaf: LeafId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The request that it is for.
    pub request: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The call type.
    pub call: CallType,
    /// The caller's submission, JSON.
    pub body: Bytes,
    /// Time left for the answer.
    pub deadline: Duration,
}

/// What a leaf's health and load endpoint says. It lags and may mislead.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct LeafState {
    /// Whether it calls itself healthy.
    pub healthy: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// Share of its slots in use, from 0 to 1.
    pub load: f64,
    /// Index versions that it holds.
    pub versions: Vec<IndexVersion>,
}

/// The port to targets. Dropping a future cancels its call.
pub trait Targets: Send + Sync {
    /// Asks a leaf for shards.
    fn query(&self, call: LeafQuery) -> BoxFuture<'_, Result<LeafAnswer, Failure>>;

    /// Submits to a leaf. [`Failure::NotSent`] and [`Failure::Refused`] are
    /// proof that it did not run; [`Failure::Lost`] leaves it open.
    fn submit(&self, call: LeafSubmit) -> BoxFuture<'_, Result<Bytes, Failure>>;

    /// Reads a leaf's health and load endpoint.
    fn state(&self, leaf: LeafId, address: SocketAddr) -> BoxFuture<'_, Option<LeafState>>;

    /// Opens the connections to leafs that this entry holds, at most `most` to
    /// each, and closes those to all other leafs.
    fn hold(&self, leafs: Vec<(LeafId, SocketAddr)>, most: usize);

    /// Connections open to each leaf.
    fn connections(&self) -> Vec<(LeafId, usize)>;
}
