//! A store with a book, leafs and adverts, that can fall silent.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use chestnut_book::RouteBook;
use chestnut_fleet::{LeaseId, LeaseRecord, LeaseReply, Owner};
use chestnut_flow::lock;
use chestnut_port::{Batch, Content, Feed, FeedError, Freshness, Item};
use chestnut_quarantine::Fingerprint;
use chestnut_relay::{Advert, Adverts, LeafEntry, LeaseStore, Record, Records};
use chestnut_unit::{DomainName, LeafId, MemberId};
use futures::{FutureExt, future::BoxFuture};
use serde::Serialize;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};

use super::{
    net::{FRAME, Links},
    peers_address,
};

/// What the adapter waits for the answer to a check.
const CHECK_WAIT: Duration = Duration::from_millis(600);

/// Whether the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    Yes,
    /// Calls, and the answers of watches under way, vanish.
    Never,
}

#[derive(Default)]
struct Stored {
    revision: u64,
    book: Option<(u64, RouteBook)>,
    leafs: BTreeMap<LeafId, (u64, LeafEntry)>,
    gone: Vec<(u64, LeafId)>,
    /// Entries that another writer made unreadable.
    malformed: BTreeMap<LeafId, u64>,
    /// Evacuated domains, and when each was last evacuated or came back.
    evacuated: BTreeMap<DomainName, (u64, bool)>,
    adverts: BTreeMap<MemberId, Advert>,
    records: BTreeMap<Fingerprint, Record>,
    leases: BTreeMap<LeaseId, LeaseRecord>,
    silent: bool,
    /// Raised by each silence; a watch from before it never answers.
    silences: u64,
    /// Watches to come whose answers vanish.
    lost: usize,
    calls: u64,
    /// Entries that are turned away.
    barred: BTreeSet<u16>,
    /// Entries whose calls vanish.
    parted: BTreeSet<u16>,
}

/// A store with a book, leafs and adverts.
#[derive(Clone, Default)]
pub struct FakeStore {
    stored: Arc<Mutex<Stored>>,
    changed: Arc<Notify>,
    /// The entry that calls through this handle.
    caller: u16,
    links: Links,
}

impl FakeStore {
    pub fn put_book(&self, book: RouteBook) {
        let mut stored = lock(&self.stored);
        stored.revision += 1;
        stored.book = Some((stored.revision, book));
        self.changed.notify_waiters();
    }

    pub fn put_leaf(&self, id: &LeafId, entry: LeafEntry) {
        let mut stored = lock(&self.stored);
        stored.revision += 1;
        let revision = stored.revision;
        stored.malformed.remove(id);
        stored.leafs.insert(id.clone(), (revision, entry));
        self.changed.notify_waiters();
    }

    /// Has another writer overwrite an entry with something that can't be read.
    pub fn spoil_leaf(&self, id: &LeafId) {
        let mut stored = lock(&self.stored);
        stored.revision += 1;
        let revision = stored.revision;
        stored.leafs.remove(id);
        stored.malformed.insert(id.clone(), revision);
        self.changed.notify_waiters();
    }

    pub fn drop_leaf(&self, id: &LeafId) {
        let mut stored = lock(&self.stored);
        stored.revision += 1;
        let revision = stored.revision;
        stored.leafs.remove(id);
        stored.gone.push((revision, id.clone()));
        self.changed.notify_waiters();
    }

    /// Has the operator evacuate a failure domain.
    pub fn evacuate(&self, domain: &str) {
        self.set_evacuated(domain, true);
    }

    /// Has the operator take that back.
    pub fn refill(&self, domain: &str) {
        self.set_evacuated(domain, false);
    }

    fn set_evacuated(&self, domain: &str, evacuated: bool) {
        let mut stored = lock(&self.stored);
        stored.revision += 1;
        let revision = stored.revision;
        let domain = DomainName::new(domain).unwrap();
        stored.evacuated.insert(domain, (revision, evacuated));
        self.changed.notify_waiters();
    }

    pub fn answers(&self, answers: Answers) {
        let mut stored = lock(&self.stored);
        stored.silent = answers == Answers::Never;
        stored.silences += 1;
        self.changed.notify_waiters();
    }

    /// Has the answers of the next watches vanish, though the store is there.
    pub fn lose_watches(&self, count: usize) {
        lock(&self.stored).lost = count;
    }

    /// The store as entry number `n` reaches it.
    pub fn reached_by(&self, n: u16, links: &Links) -> Self {
        let mut store = self.clone();
        store.caller = n;
        store.links = links.clone();
        store
    }

    /// Brings the objects of an answer over the caller's link.
    async fn carry<T: Serialize>(&self, batch: Batch<T>) -> Batch<T> {
        let size = |item: &Item<T>| match &item.content {
            Content::Is(value) => serde_json::to_vec(value).unwrap().len(),
            Content::Deleted | Content::Malformed => 0,
        };
        let bytes = FRAME + batch.items.iter().map(size).sum::<usize>();
        let to = peers_address(self.caller);
        self.links.carry_from_store(to, bytes).await;
        batch
    }

    /// Turns some entries away, and no others.
    pub fn bar(&self, entries: BTreeSet<u16>) {
        lock(&self.stored).barred = entries;
        self.changed.notify_waiters();
    }

    /// Cuts some entries off, and no others: their calls vanish.
    pub fn part(&self, entries: BTreeSet<u16>) {
        lock(&self.stored).parted = entries;
        self.changed.notify_waiters();
    }

    fn is_barred(&self) -> bool {
        lock(&self.stored).barred.contains(&self.caller)
    }

    /// Leases of cold leafs that were ever taken.
    pub fn leases(&self) -> usize {
        lock(&self.stored).leases.len()
    }

    /// Records of requests that end leafs.
    pub fn records(&self) -> usize {
        lock(&self.stored).records.len()
    }

    /// Has an operator remove all records.
    pub fn drop_records(&self) {
        lock(&self.stored).records.clear();
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.stored).calls
    }

    /// Waits for ever if the store is silent.
    async fn reach(&self) {
        let silent = {
            let mut stored = lock(&self.stored);
            stored.calls += 1;
            stored.silent || stored.parted.contains(&self.caller)
        };
        if silent {
            // What the adapters make of silence: a timeout.
            sleep(Duration::from_millis(800)).await;
        }
    }

    async fn check(&self) -> Result<(), FeedError> {
        self.reach().await;
        if self.is_barred() {
            return Err(FeedError::Busy("turned away".to_owned()));
        }
        let stored = lock(&self.stored);
        match stored.silent || stored.parted.contains(&self.caller) {
            true => Err(FeedError::Unavailable("silent".to_owned())),
            false => Ok(()),
        }
    }

    async fn until<T>(
        &self,
        wait: Duration,
        find: impl Fn(&Stored) -> Option<T>,
        none: impl Fn(&Stored) -> T,
    ) -> T {
        let end = Instant::now() + wait;
        let lost = {
            let mut stored = lock(&self.stored);
            let lost = stored.lost > 0;
            stored.lost = stored.lost.saturating_sub(1);
            lost
        };
        if lost {
            return futures::future::pending().await;
        }
        let silences = lock(&self.stored).silences;
        loop {
            let changed = self.changed.notified();
            let found = {
                let stored = lock(&self.stored);
                let barred =
                    stored.barred.contains(&self.caller) || stored.parted.contains(&self.caller);
                if stored.silences != silences || barred {
                    None
                } else if let Some(found) = find(&stored) {
                    return found;
                } else if Instant::now() >= end {
                    return none(&stored);
                } else {
                    Some(())
                }
            };
            if found.is_none() {
                // The answer is lost: nothing ever comes.
                return futures::future::pending().await;
            }
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(end) => {}
            }
        }
    }
}

impl Feed<RouteBook> for FakeStore {
    fn list(&self, _: Freshness) -> BoxFuture<'_, Result<Batch<RouteBook>, FeedError>> {
        async move {
            self.check().await?;
            let batch = {
                let stored = lock(&self.stored);
                let item = |(_, book): &(u64, RouteBook)| Item {
                    name: "main".to_owned(),
                    content: Content::Is(book.clone()),
                };
                Batch {
                    items: stored.book.iter().map(item).collect(),
                    revision: stored.revision,
                }
            };
            Ok(self.carry(batch).await)
        }
        .boxed()
    }

    fn pulse(&self) -> BoxFuture<'_, Result<u64, FeedError>> {
        async move {
            self.check().await?;
            Ok(lock(&self.stored).revision)
        }
        .boxed()
    }

    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Batch<RouteBook>, FeedError>> {
        async move {
            self.check().await?;
            let find = |stored: &Stored| {
                let (revision, book) = stored.book.as_ref()?;
                (*revision > after).then(|| Batch {
                    items: vec![Item {
                        name: "main".to_owned(),
                        content: Content::Is(book.clone()),
                    }],
                    revision: stored.revision,
                })
            };
            let batch = self.until(wait, find, nothing).await;
            Ok(self.carry(batch).await)
        }
        .boxed()
    }

    fn check(&self, after: u64) -> BoxFuture<'_, Result<Batch<RouteBook>, FeedError>> {
        async move {
            let watch = Feed::<RouteBook>::watch(self, after, Duration::from_millis(1));
            let answer = timeout(CHECK_WAIT, watch).await;
            answer.unwrap_or_else(|_| Err(FeedError::Unavailable("silent".to_owned())))
        }
        .boxed()
    }
}

fn nothing<T>(stored: &Stored) -> Batch<T> {
    Batch {
        items: Vec::new(),
        revision: stored.revision,
    }
}

pub type LeafItem = (LeafId, LeafEntry);

fn leaf_item(id: &LeafId, entry: &LeafEntry) -> Item<LeafItem> {
    Item {
        name: id.to_string(),
        content: Content::Is((id.clone(), entry.clone())),
    }
}

fn malformed_item(id: &LeafId) -> Item<LeafItem> {
    Item {
        name: id.to_string(),
        content: Content::Malformed,
    }
}

impl Feed<LeafItem> for FakeStore {
    fn list(&self, _: Freshness) -> BoxFuture<'_, Result<Batch<LeafItem>, FeedError>> {
        async move {
            self.check().await?;
            let stored = lock(&self.stored);
            let leafs = stored.leafs.iter();
            let leafs = leafs.map(|(id, (_, entry))| leaf_item(id, entry));
            let malformed = stored.malformed.keys().map(malformed_item);
            Ok(Batch {
                items: leafs.chain(malformed).collect(),
                revision: stored.revision,
            })
        }
        .boxed()
    }

    fn pulse(&self) -> BoxFuture<'_, Result<u64, FeedError>> {
        Feed::<RouteBook>::pulse(self)
    }

    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Batch<LeafItem>, FeedError>> {
        async move {
            self.check().await?;
            let find = |stored: &Stored| {
                let new = stored.leafs.iter().filter(|(_, (at, _))| *at > after);
                let mut items: Vec<_> = new.map(|(id, (_, e))| leaf_item(id, e)).collect();
                let malformed = stored.malformed.iter().filter(|(_, at)| **at > after);
                items.extend(malformed.map(|(id, _)| malformed_item(id)));
                let gone = stored.gone.iter().filter(|(at, _)| *at > after);
                items.extend(gone.map(|(_, id)| Item {
                    name: id.to_string(),
                    content: Content::Deleted,
                }));
                (!items.is_empty()).then_some(Batch {
                    items,
                    revision: stored.revision,
                })
            };
            Ok(self.until(wait, find, nothing).await)
        }
        .boxed()
    }

    fn check(&self, after: u64) -> BoxFuture<'_, Result<Batch<LeafItem>, FeedError>> {
        async move {
            let watch = Feed::<LeafItem>::watch(self, after, Duration::from_millis(1));
            let answer = timeout(CHECK_WAIT, watch).await;
            answer.unwrap_or_else(|_| Err(FeedError::Unavailable("silent".to_owned())))
        }
        .boxed()
    }
}

fn evacuation_item(domain: &DomainName, evacuated: bool) -> Item<DomainName> {
    Item {
        name: domain.to_string(),
        content: match evacuated {
            true => Content::Is(domain.clone()),
            false => Content::Deleted,
        },
    }
}

impl Feed<DomainName> for FakeStore {
    fn list(&self, _: Freshness) -> BoxFuture<'_, Result<Batch<DomainName>, FeedError>> {
        async move {
            self.check().await?;
            let stored = lock(&self.stored);
            let there = stored.evacuated.iter().filter(|(_, (_, there))| *there);
            Ok(Batch {
                items: there
                    .map(|(domain, _)| evacuation_item(domain, true))
                    .collect(),
                revision: stored.revision,
            })
        }
        .boxed()
    }

    fn pulse(&self) -> BoxFuture<'_, Result<u64, FeedError>> {
        Feed::<RouteBook>::pulse(self)
    }

    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Batch<DomainName>, FeedError>> {
        async move {
            self.check().await?;
            let find = |stored: &Stored| {
                let new = stored.evacuated.iter().filter(|(_, (at, _))| *at > after);
                let items: Vec<_> = new
                    .map(|(domain, (_, there))| evacuation_item(domain, *there))
                    .collect();
                (!items.is_empty()).then_some(Batch {
                    items,
                    revision: stored.revision,
                })
            };
            Ok(self.until(wait, find, nothing).await)
        }
        .boxed()
    }

    fn check(&self, after: u64) -> BoxFuture<'_, Result<Batch<DomainName>, FeedError>> {
        async move {
            let watch = Feed::<DomainName>::watch(self, after, Duration::from_millis(1));
            let answer = timeout(CHECK_WAIT, watch).await;
            answer.unwrap_or_else(|_| Err(FeedError::Unavailable("silent".to_owned())))
        }
        .boxed()
    }
}

impl Adverts for FakeStore {
    fn list(&self, _: Freshness) -> BoxFuture<'_, Result<Vec<Advert>, FeedError>> {
        async move {
            self.check().await?;
            Ok(lock(&self.stored).adverts.values().cloned().collect())
        }
        .boxed()
    }

    fn publish(&self, advert: Advert) -> BoxFuture<'_, Result<(), FeedError>> {
        async move {
            self.check().await?;
            let member = advert.member.clone();
            lock(&self.stored).adverts.insert(member, advert);
            Ok(())
        }
        .boxed()
    }

    fn remove(&self, member: MemberId) -> BoxFuture<'_, Result<(), FeedError>> {
        async move {
            self.check().await?;
            lock(&self.stored).adverts.remove(&member);
            Ok(())
        }
        .boxed()
    }
}

impl Records for FakeStore {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Record>, FeedError>> {
        async move {
            self.check().await?;
            Ok(lock(&self.stored).records.values().cloned().collect())
        }
        .boxed()
    }

    fn write(&self, record: Record) -> BoxFuture<'_, Result<(), FeedError>> {
        async move {
            self.check().await?;
            let what = record.report.what;
            lock(&self.stored).records.insert(what, record);
            Ok(())
        }
        .boxed()
    }

    fn remove(&self, what: Fingerprint) -> BoxFuture<'_, Result<(), FeedError>> {
        async move {
            self.check().await?;
            lock(&self.stored).records.remove(&what);
            Ok(())
        }
        .boxed()
    }
}

impl LeaseStore for FakeStore {
    fn list(&self) -> BoxFuture<'_, Result<Vec<LeaseRecord>, FeedError>> {
        async move {
            self.check().await?;
            Ok(lock(&self.stored).leases.values().cloned().collect())
        }
        .boxed()
    }

    fn grant(
        &self,
        id: LeaseId,
        expected: Option<u64>,
        owner: Option<Owner>,
    ) -> BoxFuture<'_, Result<LeaseReply, FeedError>> {
        async move {
            self.check().await?;
            let mut stored = lock(&self.stored);
            let known = stored.leases.get(&id);
            if known.map(|record| record.revision) != expected {
                let known = known.cloned();
                return Ok(known.map_or(LeaseReply::Unknown, LeaseReply::Conflict));
            }
            stored.revision += 1;
            let revision = stored.revision;
            let record = LeaseRecord {
                id,
                owner,
                revision,
            };
            stored.leases.insert(id, record);
            Ok(LeaseReply::Taken(revision))
        }
        .boxed()
    }
}
