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

/// Implements [`PeerService`] on the tables of the entry.
pub(crate) struct PeerHandler(pub(crate) Arc<Shared>);

impl PeerService for PeerHandler {
    fn query(&self, request: SubQuery) -> BoxFuture<'static, SubAnswer> {
        let shared = self.0.clone();
        async move { query::serve_part(&shared, request).await }.boxed()
    }

    fn submit(&self, request: Submission) -> BoxFuture<'static, SubmitReply> {
        let shared = self.0.clone();
        async move { submit::run_once(&shared, request).await }.boxed()
    }

    fn dispatch(&self, request: Dispatch) -> BoxFuture<'static, Result<Bytes, Failure>> {
        let shared = self.0.clone();
        async move { submit::dispatch_local(&shared, request).await }.boxed()
    }

    fn report_leaving(&self, ids: Vec<LeafId>) {
        leafs::record_leaving(&self.0, &ids, "a peer's word");
    }

    fn members(&self) -> Vec<Member> {
        lock(&self.0.swim).view.all().cloned().collect()
    }

    fn objects(&self, have: &BTreeMap<ObjectKey, u64>) -> Vec<Object> {
        lock(&self.0.conf).book.newer_than(have)
    }

    fn push(&self, objects: Vec<Object>) {
        propagation::apply_and_forward(&self.0, objects, "a peer");
    }

    fn copy_refusals(&self, batch: &[u8]) {
        match serde_json::from_slice(batch) {
            Ok(batch) => lock(&self.0.replica_batches).add(batch),
            Err(_) => slog::warn!(self.0.runtime.log, "refuse: invalid records from a peer"),
        }
    }

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
