//! The port by which requests are forwarded to back ends unchanged.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use chestnut_route::Refusal;
use chestnut_unit::{LeafId, Time};
use futures::future::BoxFuture;
use hyper::{HeaderMap, Method, Response, header::HeaderValue, http::uri::PathAndQuery};

use crate::Distance;

/// A request of a caller, as it is passed on.
#[derive(Clone, Debug)]
pub struct Message {
    /// The caller's own name for this attempt.
    pub id: String,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: PathAndQuery,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// One call to one leaf.
#[derive(Clone, Debug)]
pub struct LeafCall {
    /// The leaf. Another one that answers at its address must refuse the call.
    pub leaf: LeafId,
    /// Where it listens.
    pub address: SocketAddr,
    /// What is passed on.
    pub message: Arc<Message>,
    /// Whether it is in the own failure domain.
    pub distance: Distance,
    /// Time left for the answer.
    pub left: Duration,
    /// Connections to the leaf that may be open at once.
    pub connections: usize,
    /// Longest time that a connection which carries the call may have been
    /// idle. A leaf may have forgotten an idle one, and what is sent on it is
    /// lost without proof that it did not run.
    pub idle: Duration,
    /// From when on it must not be sent any more.
    pub until: Time,
}

/// A leaf's answer to a forwarded request.
#[derive(Clone, Debug)]
pub struct LeafReply {
    /// Its status, headers and whole body.
    pub answer: Response<Bytes>,
    /// The leaf's signature of the answer.
    pub proof: HeaderValue,
}

/// Why a call brought no answer to pass on.
#[derive(Clone, Debug)]
pub enum LeafFailure {
    /// Nothing was sent.
    Unsent,
    /// The leaf refused the call before running any of it.
    Refused(Refusal),
    /// It was sent, and nothing that can be used came back.
    Lost,
    /// The leaf ran it and answered with a failure of its own.
    Failed(LeafReply),
}

/// Whether a leaf takes connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listening {
    /// It does.
    Yes,
    /// Its machine says that nothing listens there.
    No,
    /// Nothing came back.
    Unknown,
}

/// The port by which requests are forwarded.
pub trait Forward: Send + Sync {
    /// Calls a leaf. Dropping the future cancels the call.
    fn call(&self, call: LeafCall) -> BoxFuture<'static, Result<LeafReply, LeafFailure>>;

    /// Finds out whether a leaf takes connections, by opening one and closing it.
    fn listening(&self, leaf: &LeafId, address: SocketAddr) -> BoxFuture<'static, Listening>;

    /// Takes it that a leaf has left for good.
    fn forget(&self, leaf: &LeafId);
}
