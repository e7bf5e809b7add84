//! Serves the feeds of the store (book, leafs, evacuations) to other entries, from the
//! state that this one has received.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use chestnut_book::BookVersion;
use chestnut_flow::lock;
use chestnut_port::{Batch, Content, EncodedBatch, EncodedDelta, FeedError, FeedService, Item};
use chestnut_route::{Ask, TokenReply};
use chestnut_unit::{DomainName, LeafId, OrgName, Revision};
use futures::{FutureExt, future::BoxFuture};
use serde::Serialize;
use slog::debug;
use tokio::{sync::watch, time::timeout};

use crate::{
    HeldEvacuation, LeafRegistration, Upstream, WatchCache,
    feeds::{EVACUATIONS, HELD, LEAFS},
    history::History,
    limits,
    shared::Shared,
};

/// Copies of the feeds that are served to other entries: the latest books, the leafs and the
/// evacuated failure domains, with a counter that signals updates.
pub(crate) struct FeedCopies {
    /// The last versions of the route book.
    pub(crate) books: Mutex<History>,
    /// The leafs, as of the last update.
    pub(crate) leafs: Mutex<WatchCache<(LeafId, LeafRegistration)>>,
    /// The evacuated failure domains, as of the last update.
    pub(crate) evacuations: Mutex<WatchCache<DomainName>>,
    /// Incremented with every answer of the upstream that a feed watch applies, also an empty
    /// one; wakes the waiting calls of followers.
    pub(crate) updates: watch::Sender<u64>,
}

impl FeedCopies {
    /// Creates the copies of an entry that has received no feed yet.
    pub(crate) fn new() -> Self {
        Self {
            books: Mutex::default(),
            leafs: Mutex::default(),
            evacuations: Mutex::default(),
            updates: watch::Sender::new(0),
        }
    }
}

/// Serves the book, the leafs, the evacuations and the heartbeat of this entry to others.
pub(crate) struct FeedServer(pub(crate) Arc<Shared>);

/// The part of a feed that is requested: all objects, or those changed after a revision.
#[derive(Clone, Copy)]
enum FeedRange {
    All,
    Since(Revision),
}

impl FeedRange {
    /// Reads this part from `cache`. Fails before the first list, or if changes after the
    /// revision were dropped.
    fn read<T: Clone>(self, cache: &WatchCache<T>) -> Result<Batch<T>, FeedError> {
        match self {
            Self::All => cache.list(),
            // A peer of an earlier version of the program tells no epoch and knows of none.
            Self::Since(revision) if !revision.epoch.is_told() => {
                let epoch = cache.epoch().unwrap_or_default();
                cache.changes_since(Revision::new(epoch, revision.number))
            }
            Self::Since(revision) => cache.changes_since(revision),
        }
    }
}

impl FeedServer {
    /// Reads and encodes a part of the feed named `feed`. Fails if there is no such feed, no
    /// list was received yet, or the changes asked for are no longer kept.
    fn read(&self, feed: &str, range: FeedRange) -> Result<EncodedBatch, FeedError> {
        let copies = &self.0.feed_copies;
        match feed {
            LEAFS => encode(range.read(&lock(&copies.leafs))?),
            EVACUATIONS => encode(range.read(&lock(&copies.evacuations))?),
            HELD => encode(self.held_evacuations()),
            _ => Err(FeedError::Refused(format!("no feed {feed}"))),
        }
    }

    /// Returns the evacuations to which this entry holds although the restored store lacks them.
    fn held_evacuations(&self) -> Batch<HeldEvacuation> {
        let now = self.0.now();
        let state = lock(&self.0.cell.state);
        let items = state.extra.evacuations.held(now).map(|held| Item {
            name: held.domain.to_string(),
            content: Content::Value(held),
        });
        Batch {
            items: items.collect(),
            revision: self.0.store_status.borrow().revision(),
        }
    }

    /// Waits without time limit until objects of a feed have changed after `revision`, and
    /// reads those. Fails if those changes are no longer kept, and as soon as this entry
    /// can't report the store's revision ([`FeedService::poll_revision`]).
    async fn wait_for_changes(
        &self,
        feed: &str,
        revision: Revision,
    ) -> Result<EncodedBatch, FeedError> {
        let mut updates = self.0.feed_copies.updates.subscribe();
        let mut statuses = self.0.store_status.subscribe();
        loop {
            updates.borrow_and_update();
            statuses.borrow_and_update();
            // Fails if this entry has lost the store or has a peer as its upstream.
            self.poll_revision()?;
            let batch = self.read(feed, FeedRange::Since(revision))?;
            if !batch.items.is_empty() {
                return Ok(batch);
            }
            tokio::select! {
                // An error means that the entry is stopping.
                _ = updates.changed() => {}
                _ = statuses.changed() => {}
            }
        }
    }
}

impl FeedService for FeedServer {
    fn version(&self) -> BookVersion {
        self.0.book_version()
    }

    fn book_delta(&self, have: BookVersion) -> Result<EncodedDelta, FeedError> {
        let book = lock(&self.0.feed_copies.books).since(have);
        let book = book.map_err(|error| FeedError::Refused(error.to_string()))?;
        self.0.metrics.passed_bytes.inc_by(book.delta.len() as u64);
        debug!(self.0.runtime.log, "watch: sends book {} to a peer", book.version;
            "since" => %have, "bytes" => book.delta.len());
        Ok(book)
    }

    fn poll_revision(&self) -> Result<Revision, FeedError> {
        if let Some(Upstream::Peer(peer)) = *self.0.upstream.borrow() {
            return Err(match lock(&self.0.upstream_selector).is_current(peer) {
                true => FeedError::Redirect(peer),
                false => FeedError::StoreLost,
            });
        }
        let status = *self.0.store_status.borrow();
        // An entry that has lost the store keeps polling it. Meanwhile it must not
        // report a revision received from peers as the store's: other entries
        // would choose it as their upstream and receive updates late.
        let connected =
            lock(&self.0.upstream_selector).is_store_fresh(self.0.now()) && !status.is_lost();
        match connected && status.revision() > Revision::default() {
            true => Ok(status.revision()),
            false => Err(FeedError::StoreLost),
        }
    }

    /// All objects of a feed, also while the store is lost: an entry that starts meanwhile
    /// can serve from them instead of refusing callers until the store is back.
    fn list(&self, feed: &str) -> Result<EncodedBatch, FeedError> {
        self.read(feed, FeedRange::All)
    }

    fn watch(
        &self,
        feed: String,
        revision: Revision,
        wait: Duration,
    ) -> BoxFuture<'static, Result<EncodedBatch, FeedError>> {
        let this = Self(self.0.clone());
        async move {
            let result = timeout(wait, this.wait_for_changes(&feed, revision)).await;
            let items = Vec::new();
            result.unwrap_or(Ok(EncodedBatch { items, revision }))
        }
        .boxed()
    }

    fn tokens(&self, org: &OrgName, ask: Ask) -> TokenReply {
        limits::grant_to_peer(&self.0, org, ask)
    }
}

/// Encodes the values of a batch as JSON; deleted and malformed objects stay such.
fn encode<T: Serialize>(batch: Batch<T>) -> Result<EncodedBatch, FeedError> {
    let items = batch.items.into_iter().map(|item| {
        Ok(Item {
            name: item.name,
            content: item
                .content
                .try_map(|value| serde_json::to_vec(&value).map(Bytes::from))?,
        })
    });
    Ok(Batch {
        items: items
            .collect::<Result<_, serde_json::Error>>()
            .map_err(|error| FeedError::Refused(error.to_string()))?,
        revision: batch.revision,
    })
}
