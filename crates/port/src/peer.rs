//! The ports between an entry and its peers: calls to them ([`Peers`]) and calls
//! from them ([`PeerService`]).
//!
//! The *holder* of a leaf is an entry with connections to it, through which the other
//! entries reach it. A *ticket* is a one-time permit for a submission, and its *keeper*
//! is the only entry that dispatches this submission.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use chestnut_conf::{Object, ObjectKey};
use chestnut_fleet::Member;
use chestnut_once::{HandedTicket, Ticket};
use chestnut_route::Failure;
use chestnut_unit::{
    CallType, Incarnation, IndexVersion, LeafId, OrgName, Reason, RequestId, ServiceName,
};
use displaydoc::Display;
use futures::future::BoxFuture;

/// Why a call to a peer returned no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum PeerError {
    /// the call was not sent
    NotSent,
    /// the call was sent and no answer came
    Lost,
}

impl std::error::Error for PeerError {}

/// The part of a query that one holder has to serve.
#[derive(Clone, Debug)]
pub struct SubQuery {
    /// The request's identifier at the calling entry.
    pub request: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The index version that must be read.
    pub index: IndexVersion,
    /// Positions of the shards in the layout of this version.
    pub shards: Vec<u32>,
    /// The caller's query, as JSON.
    pub body: Bytes,
    /// Time left until the deadline.
    pub deadline: Duration,
}

/// A holder's answer to a [`SubQuery`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubAnswer {
    /// Shards and their rows, all of one index version. Some shards may be missing.
    Parts {
        /// The index version that was read.
        index: IndexVersion,
        /// Position of each shard in the layout, and its rows as a JSON array.
        parts: Vec<(u32, Bytes)>,
    },
    /// The holder could not serve any shard.
    Failed(Failure),
}

/// A submission that is passed to the keeper of its ticket.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The ticket.
    pub ticket: Ticket,
    /// The organisation.
    pub organisation: OrgName,
    /// The service.
    pub service: ServiceName,
    /// The call type.
    pub call: CallType,
    /// The caller's submission, as JSON.
    pub body: Bytes,
    /// Time left until the deadline.
    pub deadline: Duration,
}

/// A submission that a holder passes to one leaf of a shard.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request's identifier at the keeper.
    pub request: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The call type.
    pub call: CallType,
    /// The index version whose layout names the shard.
    pub index: IndexVersion,
    /// Position of the shard in this layout.
    pub shard: u32,
    /// The caller's submission, as JSON.
    pub body: Bytes,
    /// Time left until the deadline.
    pub deadline: Duration,
}

/// A keeper's answer to a [`Submission`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitReply {
    /// The submission ran; holds the target's answer.
    Ran(Bytes),
    /// The submission did not run and never will with this ticket.
    NotRun(Reason),
    /// Whether the submission ran is unknown.
    Unknown(Reason),
}

/// The port by which an entry calls its peers. Dropping a future cancels its
/// call.
pub trait Peers: Send + Sync {
    /// Asks a holder to serve part of a query.
    fn query(&self, to: SocketAddr, ask: SubQuery) -> BoxFuture<'_, Result<SubAnswer, PeerError>>;

    /// Passes a submission to the keeper of its ticket.
    fn submit(
        &self,
        to: SocketAddr,
        ask: Submission,
    ) -> BoxFuture<'_, Result<SubmitReply, PeerError>>;

    /// Requests a peer's full member list.
    fn members(&self, to: SocketAddr) -> BoxFuture<'_, Result<Vec<Member>, PeerError>>;

    /// Requests the configuration objects that are newer at a peer than the versions in
    /// `have`.
    fn objects(
        &self,
        to: SocketAddr,
        have: BTreeMap<ObjectKey, u64>,
    ) -> BoxFuture<'_, Result<Vec<Object>, PeerError>>;

    /// Sends a peer configuration objects that were just accepted.
    fn push(&self, to: SocketAddr, objects: Vec<Object>) -> BoxFuture<'_, Result<(), PeerError>>;

    /// Asks a holder to pass a submission to a leaf. Only after [`Failure::Lost`] is
    /// it unknown whether it ran, as with the port to targets.
    fn dispatch(&self, to: SocketAddr, ask: Dispatch) -> BoxFuture<'_, Result<Bytes, Failure>>;

    /// Reports to a peer which leafs are leaving according to the platform.
    fn report_leaving(
        &self,
        to: SocketAddr,
        leafs: Vec<LeafId>,
    ) -> BoxFuture<'_, Result<(), PeerError>>;

    /// Stores a copy of a batch of refusal records, as JSON, at a peer.
    fn copy_refusals(&self, to: SocketAddr, batch: Bytes) -> BoxFuture<'_, Result<(), PeerError>>;

    /// Hands tickets over to a successor and returns the incarnation that took them.
    fn take_tickets(
        &self,
        to: SocketAddr,
        tickets: Vec<HandedTicket>,
    ) -> BoxFuture<'_, Result<Incarnation, PeerError>>;
}

/// The calls that an entry serves to its peers.
pub trait PeerService: Send + Sync + 'static {
    /// Serves part of a query from the leafs of which this entry is a holder.
    fn query(&self, ask: SubQuery) -> BoxFuture<'static, SubAnswer>;

    /// Runs a submission as the keeper of its ticket.
    fn submit(&self, ask: Submission) -> BoxFuture<'static, SubmitReply>;

    /// Passes a submission to one of the leafs of which this entry is a holder.
    fn dispatch(&self, ask: Dispatch) -> BoxFuture<'static, Result<Bytes, Failure>>;

    /// Records a peer's report that leafs are leaving.
    fn report_leaving(&self, leafs: Vec<LeafId>);

    /// Returns the full member list.
    fn members(&self) -> Vec<Member>;

    /// Returns the configuration objects that are newer here than the versions in `have`.
    fn objects(&self, have: &BTreeMap<ObjectKey, u64>) -> Vec<Object>;

    /// Applies configuration objects that were just accepted by another entry.
    fn push(&self, objects: Vec<Object>);

    /// Stores a copy of a peer's batch of refusal records, as JSON.
    fn copy_refusals(&self, batch: &[u8]);

    /// Takes over the tickets of a peer that is leaving and returns this entry's
    /// incarnation.
    fn take_tickets(&self, tickets: Vec<HandedTicket>) -> Incarnation;
}
