//! Passes on to other entries what this one hears of the store.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use chestnut_book::BookVersion;
use chestnut_flow::lock;
use chestnut_port::{Batch, FeedError, FeedService, Item, RawBatch, RawBook};
use chestnut_unit::{DomainName, LeafId};
use futures::{FutureExt, future::BoxFuture};
use serde::Serialize;
use slog::debug;
use tokio::{sync::watch, time::timeout};

use crate::{
    LeafEntry, Mirror, Upstream,
    history::History,
    shared::Shared,
    sources::{EVACUATIONS, LEAFS},
};

/// What is passed on.
pub(crate) struct Passed {
    pub(crate) books: Mutex<History>,
    pub(crate) leafs: Mutex<Mirror<(LeafId, LeafEntry)>>,
    pub(crate) evacuations: Mutex<Mirror<DomainName>>,
    /// Raised with every answer of a feed.
    pub(crate) told: watch::Sender<u64>,
}

impl Passed {
    pub(crate) fn new() -> Self {
        Self {
            books: Mutex::default(),
            leafs: Mutex::default(),
            evacuations: Mutex::default(),
            told: watch::Sender::new(0),
        }
    }
}

/// The service to other entries.
pub(crate) struct Passing(pub(crate) Arc<Shared>);

/// What is asked of a feed.
#[derive(Clone, Copy)]
enum Wanted {
    All,
    Since(u64),
}

impl Wanted {
    fn of<T: Clone>(self, mirror: &Mirror<T>) -> Result<Batch<T>, FeedError> {
        match self {
            Self::All => mirror.all(),
            Self::Since(revision) => mirror.since(revision),
        }
    }
}

impl Passing {
    fn tell(&self, feed: &str, wanted: Wanted) -> Result<RawBatch, FeedError> {
        let passed = &self.0.passed;
        match feed {
            LEAFS => raw(wanted.of(&lock(&passed.leafs))?),
            EVACUATIONS => raw(wanted.of(&lock(&passed.evacuations))?),
            _ => Err(FeedError::Refused(format!("no feed {feed}"))),
        }
    }

    async fn wait(&self, feed: &str, revision: u64) -> Result<RawBatch, FeedError> {
        let mut told = self.0.passed.told.subscribe();
        let mut pulses = self.0.pulse.subscribe();
        loop {
            told.borrow_and_update();
            pulses.borrow_and_update();
            // Changes come from an entry that hears of the store itself only.
            self.pulse()?;
            let batch = self.tell(feed, Wanted::Since(revision))?;
            if !batch.items.is_empty() {
                return Ok(batch);
            }
            tokio::select! {
                // An error means that the entry ends.
                _ = told.changed() => {}
                _ = pulses.changed() => {}
            }
        }
    }
}

impl FeedService for Passing {
    fn version(&self) -> BookVersion {
        self.0.book_version()
    }

    fn book(&self, have: BookVersion) -> Result<RawBook, FeedError> {
        let book = lock(&self.0.passed.books).since(have);
        let book = book.map_err(|error| FeedError::Refused(error.to_string()))?;
        self.0.metrics.passed.inc_by(book.delta.len() as u64);
        debug!(self.0.host.log, "watch: passes on book {}", book.version;
            "since" => %have, "bytes" => book.delta.len());
        Ok(book)
    }

    fn pulse(&self) -> Result<u64, FeedError> {
        if let Some(Upstream::Peer(peer)) = *self.0.upstream.borrow() {
            return Err(match lock(&self.0.upstreams).is_heard(peer) {
                true => FeedError::Elsewhere(peer),
                false => FeedError::Lost,
            });
        }
        let pulse = *self.0.pulse.borrow();
        // An entry that is cut off from the store asks it again and again. Until
        // it answers, what was heard from others is not passed on as the store's:
        // entries that the store serves would follow such a one, and hear late.
        let hears = lock(&self.0.upstreams).hears_store(self.0.now()) && !pulse.is_lost();
        match hears && pulse.revision() > 0 {
            true => Ok(pulse.revision()),
            false => Err(FeedError::Lost),
        }
    }

    /// All leafs that were heard of, also if the store is lost since: an entry that starts
    /// meanwhile can serve by it as this one does, instead of refusing every caller
    /// until the store is back. What changed comes from elsewhere.
    fn all(&self, feed: &str) -> Result<RawBatch, FeedError> {
        self.tell(feed, Wanted::All)
    }

    fn follow(
        &self,
        feed: String,
        revision: u64,
        wait: Duration,
    ) -> BoxFuture<'static, Result<RawBatch, FeedError>> {
        let this = Self(self.0.clone());
        async move {
            let waited = timeout(wait, this.wait(&feed, revision)).await;
            let items = Vec::new();
            waited.unwrap_or(Ok(RawBatch { items, revision }))
        }
        .boxed()
    }
}

fn raw<T: Serialize>(batch: Batch<T>) -> Result<RawBatch, FeedError> {
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
