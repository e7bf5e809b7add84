//! Fake gossip network and feeds between entries, over links of limited bandwidth.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use chestnut_book::BookVersion;
use chestnut_fleet::Message;
use chestnut_flow::lock;
use chestnut_port::{
    Batch, Content, EncodedBatch, EncodedDelta, Feed, FeedError, FeedService, Freshness, Heartbeat,
    Item, ProbeTransport,
};
use chestnut_relay::{HeldEvacuation, PeerFeeds};
use chestnut_route::{Ask, TokenReply};
use chestnut_unit::{DomainName, Epoch, OrgName, Revision};
use futures::{FutureExt, future::BoxFuture};
use serde::de::DeserializeOwned;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, sleep_until, timeout},
};

use super::store::LeafItem;

/// A message and its sender.
type Datagram = (Message, SocketAddr);

/// A network that carries probes between entries.
#[derive(Clone, Default)]
pub struct FakeNet(
    /// Inboxes of the entries.
    Arc<Mutex<BTreeMap<SocketAddr, mpsc::UnboundedSender<Datagram>>>>,
    Isolated,
    /// Entries of an earlier version, whose probes tell no epochs.
    Arc<Mutex<BTreeSet<SocketAddr>>>,
);

/// Entries that can neither send nor receive probes.
type Isolated = Arc<Mutex<BTreeSet<SocketAddr>>>;

/// The [`ProbeTransport`] port of one entry.
pub struct FakeProbes {
    net: FakeNet,
    own: SocketAddr,
    inbox: tokio::sync::Mutex<mpsc::UnboundedReceiver<Datagram>>,
}

impl FakeNet {
    /// Removes an entry from the network.
    pub fn remove(&self, own: SocketAddr) {
        lock(&self.0).remove(&own);
    }

    /// Marks an entry as of an earlier version, which neither tells nor reads epochs.
    pub fn set_without_epochs(&self, entry: SocketAddr) {
        lock(&self.2).insert(entry);
    }

    /// Isolates these entries, and no others, from all entries.
    pub fn isolate(&self, entries: &[SocketAddr]) {
        *lock(&self.1) = entries.iter().copied().collect();
    }

    /// Adds an entry to the network and returns its port.
    pub fn join(&self, own: SocketAddr) -> FakeProbes {
        let (sender, inbox) = mpsc::unbounded_channel();
        lock(&self.0).insert(own, sender);
        FakeProbes {
            net: self.clone(),
            own,
            inbox: tokio::sync::Mutex::new(inbox),
        }
    }
}

impl ProbeTransport for FakeProbes {
    fn send(&self, to: SocketAddr, mut message: Message) -> BoxFuture<'_, ()> {
        let without_epochs = lock(&self.net.2);
        if without_epochs.contains(&to) || without_epochs.contains(&self.own) {
            message.epoch = Epoch::default();
        }
        drop(without_epochs);
        let isolated = {
            let isolated = lock(&self.net.1);
            isolated.contains(&to) || isolated.contains(&self.own)
        };
        if let Some(inbox) = lock(&self.net.0).get(&to).filter(|_| !isolated) {
            let _ = inbox.send((message, self.own));
        }
        async {}.boxed()
    }

    fn receive(&self) -> BoxFuture<'_, (Message, SocketAddr)> {
        async move {
            match self.inbox.lock().await.recv().await {
                Some(datagram) => datagram,
                None => futures::future::pending().await,
            }
        }
        .boxed()
    }

    fn bytes(&self) -> u64 {
        0
    }
}

/// Links of limited bandwidth. Bytes queue behind all that were sent before, including
/// those of cancelled calls.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<LinkTable>>);

#[derive(Default)]
struct LinkTable {
    /// Bytes per second of each entry's link in each direction; unlimited if absent.
    rates: BTreeMap<SocketAddr, u32>,
    /// When the queue of each direction of a link is empty.
    free_at: BTreeMap<(SocketAddr, Direction), Instant>,
    /// Transfers, by sender and receiver.
    transfers: BTreeMap<(SocketAddr, SocketAddr), Vec<Transfer>>,
    /// Total bytes sent between entries.
    bytes_sent: usize,
}

/// Start and end of the transfer of one answer.
type Transfer = (Instant, Instant);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Direction {
    Out,
    In,
}

/// Time after which an adapter gives up if no bytes of an answer arrive.
const IDLE_TIMEOUT: Duration = Duration::from_millis(400);

impl Links {
    /// Limits the link of an entry to `rate` bytes per second.
    pub fn set_bandwidth(&self, entry: SocketAddr, rate: u32) {
        lock(&self.0).rates.insert(entry, rate);
    }

    /// Returns the total bytes sent between entries.
    pub fn bytes_sent(&self) -> usize {
        lock(&self.0).bytes_sent
    }

    /// Transfers `bytes` from the store, without the timeout that applies to peers.
    pub async fn transfer_from_store(&self, to: SocketAddr, bytes: usize) {
        let arrived = lock(&self.0).send(None, to, bytes);
        sleep_until(arrived).await;
    }

    /// Transfers `bytes` between entries. Returns whether they arrive before the adapter
    /// gives up because no bytes came from the sender for [`IDLE_TIMEOUT`].
    pub async fn transfer(&self, from: SocketAddr, to: SocketAddr, bytes: usize) -> bool {
        let asked = Instant::now();
        let arrived = lock(&self.0).send(Some(from), to, bytes);
        let mut end = asked + IDLE_TIMEOUT;
        while end < arrived {
            sleep_until(end).await;
            let last_arrival = lock(&self.0).last_arrival(from, to, end);
            if last_arrival + IDLE_TIMEOUT <= end {
                return false;
            }
            end = last_arrival + IDLE_TIMEOUT;
        }
        sleep_until(arrived).await;
        true
    }
}

impl LinkTable {
    /// Queues bytes on both links and returns when they have passed both. A slow receiver
    /// doesn't delay the sender's other transfers.
    fn send(&mut self, from: Option<SocketAddr>, to: SocketAddr, bytes: usize) -> Instant {
        let now = Instant::now();
        let ends = [
            from.map(|from| (from, Direction::Out)),
            Some((to, Direction::In)),
        ];
        let (mut begins, mut arrived) = (now, now);
        for end in ends.into_iter().flatten() {
            let Some(rate) = self.rates.get(&end.0) else {
                continue;
            };
            let first = self.free_at.get(&end).copied().unwrap_or(now).max(now);
            let last = first + Duration::from_secs_f64(bytes as f64 / f64::from(*rate));
            self.free_at.insert(end, last);
            begins = begins.max(first);
            arrived = arrived.max(last);
        }
        if let Some(from) = from {
            let transfers = self.transfers.entry((from, to)).or_default();
            transfers.retain(|(_, end)| *end + IDLE_TIMEOUT > now);
            transfers.push((begins, arrived));
            self.bytes_sent += bytes;
        }
        arrived
    }

    /// Returns when bytes last arrived, up to `now`.
    fn last_arrival(&self, from: SocketAddr, to: SocketAddr, now: Instant) -> Instant {
        let transfers = self.transfers.get(&(from, to)).into_iter().flatten();
        let started = transfers.filter(|(begins, _)| *begins <= now);
        let last_arrival = started.map(|(_, end)| (*end).min(now)).max();
        last_arrival.unwrap_or(now - IDLE_TIMEOUT)
    }
}

/// Bytes of an answer in addition to its objects.
pub const ANSWER_OVERHEAD: usize = 64;

/// Returns the size of an answer in bytes.
fn encoded_size(raw: &EncodedBatch) -> usize {
    let size = |item: &Item<bytes::Bytes>| match &item.content {
        Content::Value(value) => value.len(),
        Content::Deleted | Content::Malformed => 0,
    };
    ANSWER_OVERHEAD + raw.items.iter().map(size).sum::<usize>()
}

/// Feeds between entries. Calls run on the peer's service; answers pass over both links.
#[derive(Clone, Default)]
pub struct FakeFeeds(
    /// The service of each entry.
    pub Arc<Mutex<BTreeMap<SocketAddr, Arc<dyn FeedService>>>>,
    /// The links that answers pass over.
    pub Links,
    /// The entry that calls through this handle.
    Option<SocketAddr>,
    /// Entries of an earlier version, which have no feed of evacuations.
    Arc<Mutex<BTreeSet<SocketAddr>>>,
    /// Entries of an earlier version, which neither tell nor read epochs.
    Arc<Mutex<BTreeSet<SocketAddr>>>,
);

impl FakeFeeds {
    /// Marks an entry as of an earlier version, which has no feed of evacuations.
    pub fn set_legacy(&self, entry: SocketAddr) {
        lock(&self.3).insert(entry);
    }

    /// Marks an entry as of an earlier version, which neither tells nor reads epochs.
    pub fn set_without_epochs(&self, entry: SocketAddr) {
        lock(&self.4).insert(entry);
    }

    /// Returns a revision as it passes between an entry and the caller: without its epoch if
    /// one of them is of an earlier version.
    fn pass(&self, peer: SocketAddr, revision: Revision) -> Revision {
        let legacy = lock(&self.4);
        let own = self.2.is_some_and(|own| legacy.contains(&own));
        match own || legacy.contains(&peer) {
            true => Revision::new(Epoch::default(), revision.number),
            false => revision,
        }
    }

    /// Makes an entry answer no further calls.
    pub fn disconnect(&self, entry: SocketAddr) {
        lock(&self.0).remove(&entry);
    }

    /// Makes an entry answer no further calls, and returns its service.
    pub fn take(&self, entry: SocketAddr) -> Arc<dyn FeedService> {
        lock(&self.0).remove(&entry).unwrap()
    }

    /// Makes an entry answer calls again.
    pub fn put_back(&self, entry: SocketAddr, service: Arc<dyn FeedService>) {
        lock(&self.0).insert(entry, service);
    }

    /// Returns a handle through which the entry at `own` calls.
    pub fn handle_for(&self, own: SocketAddr) -> Self {
        Self(
            self.0.clone(),
            self.1.clone(),
            Some(own),
            self.3.clone(),
            self.4.clone(),
        )
    }
}

impl PeerFeeds for FakeFeeds {
    fn heartbeat(&self, to: SocketAddr) -> BoxFuture<'_, Result<Heartbeat, FeedError>> {
        async move {
            let service = self.service(to).await?;
            let (store, book) = (service.poll_revision(), service.version());
            self.transfer(to, ANSWER_OVERHEAD).await?;
            let store = store.map(|revision| self.pass(to, revision));
            Ok(Heartbeat { store, book })
        }
        .boxed()
    }

    fn book(
        &self,
        to: SocketAddr,
        have: BookVersion,
    ) -> BoxFuture<'_, Result<EncodedDelta, FeedError>> {
        async move {
            let raw = self.service(to).await?.book_delta(have)?;
            self.transfer(to, ANSWER_OVERHEAD + raw.delta.len()).await?;
            Ok(raw)
        }
        .boxed()
    }

    fn leafs(&self, to: SocketAddr) -> Arc<dyn Feed<LeafItem>> {
        Arc::new(FakePeerFeed(self.clone(), to, "leafs"))
    }

    fn evacuations(&self, to: SocketAddr) -> Arc<dyn Feed<DomainName>> {
        let known = !lock(&self.3).contains(&to);
        let feed = if known { "evacuations" } else { "unknown" };
        Arc::new(FakePeerFeed(self.clone(), to, feed))
    }

    fn held(&self, to: SocketAddr) -> Arc<dyn Feed<HeldEvacuation>> {
        let known = !lock(&self.4).contains(&to);
        let feed = if known { "held evacuations" } else { "unknown" };
        Arc::new(FakePeerFeed(self.clone(), to, feed))
    }

    fn tokens<'a>(
        &'a self,
        to: SocketAddr,
        org: &'a OrgName,
        ask: Ask,
    ) -> BoxFuture<'a, Result<TokenReply, FeedError>> {
        async move {
            // An entry that was taken is cut off: it reaches no other either.
            if self.2.is_some_and(|own| !lock(&self.0).contains_key(&own)) {
                sleep(IDLE_TIMEOUT).await;
                return Err(FeedError::Unavailable("cut off".to_owned()));
            }
            let grant = self.service(to).await?.tokens(org, ask);
            self.transfer(to, ANSWER_OVERHEAD).await?;
            Ok(grant)
        }
        .boxed()
    }
}

impl FakeFeeds {
    async fn service(&self, to: SocketAddr) -> Result<Arc<dyn FeedService>, FeedError> {
        let service = lock(&self.0).get(&to).cloned();
        match service {
            Some(service) => Ok(service),
            None => {
                sleep(IDLE_TIMEOUT).await;
                Err(FeedError::Unavailable("no answer".to_owned()))
            }
        }
    }

    /// Transfers the bytes of an answer to the caller.
    async fn transfer(&self, from: SocketAddr, bytes: usize) -> Result<(), FeedError> {
        let Some(own) = self.2 else {
            return Ok(());
        };
        match self.1.transfer(from, own, bytes).await {
            true => Ok(()),
            false => Err(FeedError::Unavailable("no answer".to_owned())),
        }
    }
}

/// One feed of the entry at an address, by its name.
struct FakePeerFeed(FakeFeeds, SocketAddr, &'static str);

impl FakePeerFeed {
    async fn service(&self) -> Result<Arc<dyn FeedService>, FeedError> {
        self.0.service(self.1).await
    }

    async fn transfer(&self, raw: &EncodedBatch) -> Result<(), FeedError> {
        self.0.transfer(self.1, encoded_size(raw)).await
    }
}

impl FakePeerFeed {
    fn parse<T: DeserializeOwned>(&self, raw: EncodedBatch) -> Batch<T> {
        let items = raw.items.into_iter().map(|item| Item {
            name: item.name,
            content: item
                .content
                .map(|json| serde_json::from_slice(&json).unwrap()),
        });
        Batch {
            items: items.collect(),
            revision: self.0.pass(self.1, raw.revision),
        }
    }

    /// Waits until a new incarnation of the entry serves at its address, which resets
    /// connections to the previous one.
    async fn replaced(&self, service: &Arc<dyn FeedService>) {
        loop {
            sleep(Duration::from_millis(100)).await;
            let now = lock(&self.0.0).get(&self.1).cloned();
            if now.is_some_and(|now| !Arc::ptr_eq(&now, service)) {
                return;
            }
        }
    }
}

/// Maps errors as the adapter does: those without a code on the wire become `StoreLost`.
fn adapter_error(error: FeedError) -> FeedError {
    match error {
        FeedError::HistoryGone | FeedError::Redirect(_) => error,
        _ => FeedError::StoreLost,
    }
}

impl<T: DeserializeOwned + Send + Sync> Feed<T> for FakePeerFeed {
    fn list(&self, _: Freshness) -> BoxFuture<'_, Result<Batch<T>, FeedError>> {
        async move {
            let raw = self.service().await?.list(self.2).map_err(adapter_error)?;
            self.transfer(&raw).await?;
            Ok(self.parse(raw))
        }
        .boxed()
    }

    fn poll_revision(&self) -> BoxFuture<'_, Result<Revision, FeedError>> {
        async move {
            let revision = self.service().await?.poll_revision()?;
            let items = Vec::new();
            self.transfer(&Batch { items, revision }).await?;
            Ok(self.0.pass(self.1, revision))
        }
        .boxed()
    }

    fn watch(&self, after: Revision, wait: Duration) -> BoxFuture<'_, Result<Batch<T>, FeedError>> {
        async move {
            let service = self.service().await?;
            let after = self.0.pass(self.1, after);
            let raw = tokio::select! {
                raw = service.watch(self.2.to_owned(), after, wait) => raw.map_err(adapter_error)?,
                () = self.replaced(&service) => {
                    return Err(FeedError::Unavailable("reset".to_owned()));
                }
            };
            if !lock(&self.0.0).contains_key(&self.1) {
                // The entry was cut off during the call: no answer arrives.
                return futures::future::pending().await;
            }
            self.transfer(&raw).await?;
            Ok(self.parse(raw))
        }
        .boxed()
    }

    fn poll(&self, after: Revision) -> BoxFuture<'_, Result<Batch<T>, FeedError>> {
        async move {
            let watch = self.watch(after, Duration::from_millis(1));
            let answer = timeout(IDLE_TIMEOUT, watch).await;
            answer.unwrap_or_else(|_| Err(FeedError::Unavailable("no answer".to_owned())))
        }
        .boxed()
    }
}
