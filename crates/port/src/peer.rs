//! The port to peers, in both directions.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use chestnut_conf::{Object, ObjectKey};
use chestnut_fleet::Member;
use chestnut_once::{Handed, Ticket};
use chestnut_route::Failure;
use chestnut_unit::{
    CallType, Incarnation, IndexVersion, LeafId, OrgName, Reason, RequestId, ServiceName,
};
use displaydoc::Display;
use futures::future::BoxFuture;

/// Why a call to a peer gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum PeerError {
    /// the call was not sent
    NotSent,
    /// the call was sent and no answer came
    Lost,
}

impl std::error::Error for PeerError {}

/// The part of a query that one holder serves.
#[derive(Clone, Debug)]
pub struct SubQuery {
    /// The request at the entry that asks.
    pub request: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The pinned index version.
    pub index: IndexVersion,
    /// Positions of the shards in the layout of that version.
    pub shards: Vec<u32>,
    /// The caller's query, JSON.
    pub body: Bytes,
    /// Time left for the answer.
    pub deadline: Duration,
}

/// A holder's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubAnswer {
    /// Shards and their rows, all of one index version. Some may be missing.
    Parts {
        /// The index version that was read.
        index: IndexVersion,
        /// Position in the layout, and rows as a JSON array.
        parts: Vec<(u32, Bytes)>,
    },
    /// The holder has nothing to give.
    Failed(Failure),
}

/// A submission on its way to the keeper of its ticket.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Its ticket.
    pub ticket: Ticket,
    /// The organisation.
    pub organisation: OrgName,
    /// The service.
    pub service: ServiceName,
    /// The call type.
    pub call: CallType,
    /// The caller's submission, JSON.
    pub body: Bytes,
    /// Time left for the answer.
    pub deadline: Duration,
}

/// A submission that a holder passes to one leaf of a shard.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request at the keeper.
    pub request: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The call type.
    pub call: CallType,
    /// The index version whose layout names the shard.
    pub index: IndexVersion,
    /// Position of the shard in that layout.
    pub shard: u32,
    /// The caller's submission, JSON.
    pub body: Bytes,
    /// Time left for the answer.
    pub deadline: Duration,
}

/// What a keeper says of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitReply {
    /// It was done; the target's answer.
    Done(Bytes),
    /// It was not run and won't be under its ticket.
    NotRun(Reason),
    /// Its fate can't be known.
    Unknown(Reason),
}

/// The port by which the tier calls its peers. Dropping a future cancels its
/// call.
pub trait Peers: Send + Sync {
    /// Has a holder serve part of a query.
    fn query(&self, to: SocketAddr, ask: SubQuery) -> BoxFuture<'_, Result<SubAnswer, PeerError>>;

    /// Passes a submission to the keeper of its ticket.
    fn submit(
        &self,
        to: SocketAddr,
        ask: Submission,
    ) -> BoxFuture<'_, Result<SubmitReply, PeerError>>;

    /// Reads a peer's whole view of the members.
    fn members(&self, to: SocketAddr) -> BoxFuture<'_, Result<Vec<Member>, PeerError>>;

    /// Reads the objects that are newer at a peer than those in `have`.
    fn objects(
        &self,
        to: SocketAddr,
        have: BTreeMap<ObjectKey, u64>,
    ) -> BoxFuture<'_, Result<Vec<Object>, PeerError>>;

    /// Sends objects that have just been accepted.
    fn push(&self, to: SocketAddr, objects: Vec<Object>) -> BoxFuture<'_, Result<(), PeerError>>;

    /// Has a holder pass a submission to a leaf. As at the port to targets,
    /// only [`Failure::Lost`] leaves open whether it ran.
    fn dispatch(&self, to: SocketAddr, ask: Dispatch) -> BoxFuture<'_, Result<Bytes, Failure>>;

    /// Passes on which leafs the platform's list calls leaving.
    fn leaving(&self, to: SocketAddr, leafs: Vec<LeafId>) -> BoxFuture<'_, Result<(), PeerError>>;

    /// Leaves a copy of a batch of refusal records, JSON, with a peer.
    fn records(&self, to: SocketAddr, batch: Bytes) -> BoxFuture<'_, Result<(), PeerError>>;

    /// Hands tickets to a successor, and returns the incarnation that took them over.
    fn adopt(
        &self,
        to: SocketAddr,
        tickets: Vec<Handed>,
    ) -> BoxFuture<'_, Result<Incarnation, PeerError>>;
}

/// What the tier does for its peers.
pub trait PeerService: Send + Sync + 'static {
    /// Serves part of a query from the leafs that this entry holds.
    fn query(&self, ask: SubQuery) -> BoxFuture<'static, SubAnswer>;

    /// Keeps a submission's ticket and dispatches it.
    fn submit(&self, ask: Submission) -> BoxFuture<'static, SubmitReply>;

    /// Passes a submission to one of the leafs that this entry holds.
    fn dispatch(&self, ask: Dispatch) -> BoxFuture<'static, Result<Bytes, Failure>>;

    /// Takes a peer's word that leafs are leaving.
    fn leaving(&self, leafs: Vec<LeafId>);

    /// The whole view of the members.
    fn members(&self) -> Vec<Member>;

    /// The objects that are newer here than those in `have`.
    fn objects(&self, have: &BTreeMap<ObjectKey, u64>) -> Vec<Object>;

    /// Takes objects that have just been accepted elsewhere.
    fn push(&self, objects: Vec<Object>);

    /// Takes a copy of a peer's batch of refusal records, JSON.
    fn records(&self, batch: &[u8]);

    /// Takes over the tickets of a peer that leaves, and returns this entry's
    /// incarnation.
    fn adopt(&self, tickets: Vec<Handed>) -> Incarnation;
}
