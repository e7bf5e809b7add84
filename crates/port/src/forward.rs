//! The port that forwards requests to leafs unchanged.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use chestnut_book::RetrySafety;
use chestnut_route::Refusal;
use chestnut_unit::{LeafId, OrgName, Time};
use futures::future::BoxFuture;
use hyper::{HeaderMap, Method, Response, header::HeaderValue, http::uri::PathAndQuery};

use crate::{Client, Distance, Message};

/// A caller's request in the form that is forwarded.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The caller's identifier of this attempt.
    pub id: String,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: PathAndQuery,
    /// The organisation that asks, as this entry found by its key; leafs are told.
    pub organisation: Option<OrgName>,
    /// The headers to forward.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The client, for which the answers are held.
    pub client: Client,
}

/// One call to one leaf.
#[derive(Clone, Debug)]
pub struct LeafCall {
    /// The intended leaf. Any other leaf at this address must refuse the call.
    pub leaf: LeafId,
    /// The address of the leaf.
    pub address: SocketAddr,
    /// The request to forward.
    pub request: Arc<ForwardedRequest>,
    /// Whether the leaf is in the same failure domain as this entry.
    pub distance: Distance,
    /// Time left until the request's deadline, sent to the leaf.
    pub timeout: Duration,
    /// Maximum number of open connections to the leaf.
    pub max_connections: usize,
    /// Maximum idle time of a reused connection. The leaf may have dropped an older
    /// one, and a request sent on it is lost without proof that it did not run.
    pub max_idle: Duration,
    /// Whether the request may run more than once. One that may not is sent only where no response
    /// to another request can be taken for its own.
    pub kind: RetrySafety,
    /// Time from which the call must not be sent any more.
    pub send_before: Time,
}

/// A leaf's response to a forwarded request.
#[derive(Clone, Debug)]
pub struct LeafReply {
    /// The status, the headers and the whole body.
    pub response: Response<Message>,
    /// The leaf's signature of the response.
    pub signature: HeaderValue,
}

/// Why a call returned no response to forward.
#[derive(Clone, Debug)]
pub enum LeafFailure {
    /// The call was not sent.
    Unsent,
    /// The leaf refused the call without running any of it.
    Refused(Refusal),
    /// The call was sent, and no usable response arrived. It may have run.
    Lost,
    /// The leaf ran the call and returned an error response.
    Failed(LeafReply),
}

/// Whether a leaf accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listening {
    /// The leaf accepted a connection.
    Yes,
    /// The VM refused the connection: nothing listens at the address.
    No,
    /// The connection failed otherwise, such as by a timeout.
    Unknown,
}

/// The port that forwards requests to leafs and checks whether they accept connections.
pub trait Forward: Send + Sync {
    /// Calls a leaf. Dropping the future cancels the call.
    fn call(&self, call: LeafCall) -> BoxFuture<'static, Result<LeafReply, LeafFailure>>;

    /// Checks whether a leaf accepts connections by opening one and closing it.
    fn check_listening(&self, leaf: &LeafId, address: SocketAddr) -> BoxFuture<'static, Listening>;

    /// Drops what is kept for a leaf that has left permanently, such as its connections.
    fn remove(&self, leaf: &LeafId);
}
