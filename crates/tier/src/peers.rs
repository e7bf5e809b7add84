//! Handlers of requests from peers.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use chestnut_conf::{Object, ObjectKey};
use chestnut_fleet::Member;
use chestnut_once::HandedTicket;
use chestnut_port::{Dispatch, PeerService, SubAnswer, SubQuery, Submission, SubmitReply};
use chestnut_route::Failure;
use chestnut_unit::{Incarnation, LeafId};
use futures::{FutureExt, future::BoxFuture};
use slog::info;

use crate::{
    leafs, propagation, query,
    shared::{Shared, lock},
    submit,
};

/// Answers requests from peers from the state of this entry.
pub(crate) struct PeerHandler(pub(crate) Arc<Shared>);

impl PeerService for PeerHandler {
    /// Runs a part of the peer's query over leafs that this entry holds.
    fn query(&self, request: SubQuery) -> BoxFuture<'static, SubAnswer> {
        let shared = self.0.clone();
        async move { query::serve_part(&shared, request).await }.boxed()
    }

    /// Runs a submission whose ticket this entry keeps, or replies with its
    /// earlier outcome.
    fn submit(&self, request: Submission) -> BoxFuture<'static, SubmitReply> {
        let shared = self.0.clone();
        async move { submit::run_once(&shared, request).await }.boxed()
    }

    /// Sends a submission of the peer to a leaf that this entry holds.
    fn dispatch(&self, request: Dispatch) -> BoxFuture<'static, Result<Bytes, Failure>> {
        let shared = self.0.clone();
        async move { submit::dispatch_local(&shared, request).await }.boxed()
    }

    /// Marks leafs that the peer knows to be leaving, so that they get no new
    /// work.
    fn report_leaving(&self, ids: Vec<LeafId>) {
        leafs::record_leaving(&self.0, &ids, "a peer's word");
    }

    /// Returns all members that this entry knows, those that are gone included.
    fn members(&self) -> Vec<Member> {
        lock(&self.0.swim).view.all().cloned().collect()
    }

    /// Returns the objects that `have`, the peer's versions by key, lacks or
    /// has an older version of.
    fn objects(&self, have: &BTreeMap<ObjectKey, u64>) -> Vec<Object> {
        lock(&self.0.conf).objects.newer_than(have)
    }

    /// Applies objects that the peer forwards, and forwards the new ones.
    fn push(&self, objects: Vec<Object>) {
        propagation::apply_and_forward(&self.0, objects, "a peer");
    }

    /// Keeps a copy of a batch of the peer's refusal records, to be written to
    /// the platform in case the peer crashes. An invalid batch is logged and
    /// dropped.
    fn copy_refusals(&self, batch: &[u8]) {
        match serde_json::from_slice(batch) {
            Ok(batch) => lock(&self.0.replica_batches).add(batch),
            Err(_) => slog::warn!(self.0.runtime.log, "refuse: invalid records from a peer"),
        }
    }

    /// Takes over the tickets of a leaving peer; returns the incarnation of
    /// this entry, which keeps them from now on.
    fn take_tickets(&self, tickets: Vec<HandedTicket>) -> Incarnation {
        info!(
            self.0.runtime.log,
            "keep: took over {} tickets",
            tickets.len()
        );
        lock(&self.0.tickets).adopt(tickets);
        self.0.own.incarnation
    }
}
