//! What this entry does for its peers.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use chestnut_conf::{Object, ObjectKey};
use chestnut_fleet::Member;
use chestnut_once::Handed;
use chestnut_port::{Dispatch, PeerService, SubAnswer, SubQuery, Submission, SubmitReply};
use chestnut_route::Failure;
use chestnut_unit::{Incarnation, LeafId};
use futures::{FutureExt, future::BoxFuture};
use slog::info;

use crate::{
    leafs, query,
    shared::{Shared, lock},
    spread, submit,
};

/// The service that the port to peers calls.
pub(crate) struct Served(pub(crate) Arc<Shared>);

impl PeerService for Served {
    fn query(&self, ask: SubQuery) -> BoxFuture<'static, SubAnswer> {
        let shared = self.0.clone();
        async move { query::serve_part(&shared, ask).await }.boxed()
    }

    fn submit(&self, ask: Submission) -> BoxFuture<'static, SubmitReply> {
        let shared = self.0.clone();
        async move { submit::keep(&shared, ask).await }.boxed()
    }

    fn dispatch(&self, ask: Dispatch) -> BoxFuture<'static, Result<Bytes, Failure>> {
        let shared = self.0.clone();
        async move { submit::dispatch_here(&shared, ask).await }.boxed()
    }

    fn leaving(&self, named: Vec<LeafId>) {
        leafs::mark_listed(&self.0, &named, "a peer's word");
    }

    fn members(&self) -> Vec<Member> {
        lock(&self.0.swim).view.all().cloned().collect()
    }

    fn objects(&self, have: &BTreeMap<ObjectKey, u64>) -> Vec<Object> {
        lock(&self.0.conf).book.newer_than(have)
    }

    fn push(&self, objects: Vec<Object>) {
        spread::take(&self.0, objects, "a peer");
    }

    fn records(&self, batch: &[u8]) {
        match serde_json::from_slice(batch) {
            Ok(batch) => lock(&self.0.copies).add(batch),
            Err(_) => slog::warn!(self.0.host.log, "refuse: a peer's records can't be read"),
        }
    }

    fn adopt(&self, tickets: Vec<Handed>) -> Incarnation {
        info!(self.0.host.log, "keep: took over {} tickets", tickets.len());
        lock(&self.0.keeper).adopt(tickets);
        self.0.own.incarnation
    }
}
