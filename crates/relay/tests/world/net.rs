//! Probes and feeds between entries.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use chestnut_book::BookVersion;
use chestnut_fleet::Probe;
use chestnut_flow::lock;
use chestnut_port::{
    Batch, Content, Feed, FeedError, FeedService, Freshness, Item, PeerPulse, Probes, RawBatch,
    RawBook,
};
use chestnut_relay::FeedPeers;
use chestnut_unit::DomainName;
use futures::{FutureExt, future::BoxFuture};
use serde::de::DeserializeOwned;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, sleep_until, timeout},
};

use super::store::LeafItem;

type Mail = (Probe, SocketAddr);

/// A network for probes.
#[derive(Clone, Default)]
pub struct FakeNet(
    Arc<Mutex<BTreeMap<SocketAddr, mpsc::UnboundedSender<Mail>>>>,
    Parted,
);

/// Entries whose probes reach nobody, nor any of them.
type Parted = Arc<Mutex<BTreeSet<SocketAddr>>>;

pub struct FakeProbes {
    net: FakeNet,
    own: SocketAddr,
    inbox: tokio::sync::Mutex<mpsc::UnboundedReceiver<Mail>>,
}

impl FakeNet {
    /// Takes an entry off the network.
    pub fn cut(&self, own: SocketAddr) {
        lock(&self.0).remove(&own);
    }

    /// Parts entries from all others.
    pub fn part(&self, entries: &[SocketAddr]) {
        *lock(&self.1) = entries.iter().copied().collect();
    }

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

impl Probes for FakeProbes {
    fn send(&self, to: SocketAddr, probe: Probe) -> BoxFuture<'_, ()> {
        let parted = {
            let parted = lock(&self.net.1);
            parted.contains(&to) || parted.contains(&self.own)
        };
        if let Some(inbox) = lock(&self.net.0).get(&to).filter(|_| !parted) {
            let _ = inbox.send((probe, self.own));
        }
        async {}.boxed()
    }

    fn receive(&self) -> BoxFuture<'_, (Probe, SocketAddr)> {
        async move {
            match self.inbox.lock().await.recv().await {
                Some(mail) => mail,
                None => futures::future::pending().await,
            }
        }
        .boxed()
    }

    fn bytes(&self) -> u64 {
        0
    }
}

/// Links of limited rate: what goes over one waits for what was sent before it,
/// whether or not anybody still wants that.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<LinkTable>>);

#[derive(Default)]
struct LinkTable {
    /// Bytes a second of each entry's link, either way; none limits nothing.
    rates: BTreeMap<SocketAddr, u32>,
    free: BTreeMap<(SocketAddr, Way), Instant>,
    /// When bytes flow, by where from and to.
    flows: BTreeMap<(SocketAddr, SocketAddr), Vec<Flow>>,
    /// Bytes carried between entries.
    carried: usize,
}

/// First and last moment at which bytes of one answer flow.
type Flow = (Instant, Instant);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Way {
    Out,
    In,
}

/// What the adapters wait for an answer, and for more of it.
const WAIT: Duration = Duration::from_millis(400);

impl Links {
    /// Limits the link of an entry, in bytes a second.
    pub fn limit(&self, entry: SocketAddr, rate: u32) {
        lock(&self.0).rates.insert(entry, rate);
    }

    /// Bytes carried between entries so far.
    pub fn carried(&self) -> usize {
        lock(&self.0).carried
    }

    /// Carries `bytes` from the store, which is waited for longer than peers.
    pub async fn carry_from_store(&self, to: SocketAddr, bytes: usize) {
        let arrived = lock(&self.0).send(None, to, bytes);
        sleep_until(arrived).await;
    }

    /// Carries `bytes` between entries. Tells whether they arrive before the adapter
    /// gives up, which it does once nothing has come from there for a while.
    pub async fn carry(&self, from: SocketAddr, to: SocketAddr, bytes: usize) -> bool {
        let asked = Instant::now();
        let arrived = lock(&self.0).send(Some(from), to, bytes);
        let mut end = asked + WAIT;
        while end < arrived {
            sleep_until(end).await;
            let heard = lock(&self.0).heard(from, to, end);
            if heard + WAIT <= end {
                return false;
            }
            end = heard + WAIT;
        }
        sleep_until(arrived).await;
        true
    }
}

impl LinkTable {
    /// Puts bytes into the queues of both links; a slow receiver keeps the sender from
    /// nobody else. Returns when they have passed both.
    fn send(&mut self, from: Option<SocketAddr>, to: SocketAddr, bytes: usize) -> Instant {
        let now = Instant::now();
        let ends = [from.map(|from| (from, Way::Out)), Some((to, Way::In))];
        let (mut begins, mut arrived) = (now, now);
        for end in ends.into_iter().flatten() {
            let Some(rate) = self.rates.get(&end.0) else {
                continue;
            };
            let first = self.free.get(&end).copied().unwrap_or(now).max(now);
            let last = first + Duration::from_secs_f64(bytes as f64 / f64::from(*rate));
            self.free.insert(end, last);
            begins = begins.max(first);
            arrived = arrived.max(last);
        }
        if let Some(from) = from {
            let flows = self.flows.entry((from, to)).or_default();
            flows.retain(|(_, end)| *end + WAIT > now);
            flows.push((begins, arrived));
            self.carried += bytes;
        }
        arrived
    }

    /// When bytes flowed last, up to `now`.
    fn heard(&self, from: SocketAddr, to: SocketAddr, now: Instant) -> Instant {
        let flows = self.flows.get(&(from, to)).into_iter().flatten();
        let begun = flows.filter(|(begins, _)| *begins <= now);
        let heard = begun.map(|(_, end)| (*end).min(now)).max();
        heard.unwrap_or(now - WAIT)
    }
}

/// Bytes of an answer beside its objects.
pub const FRAME: usize = 64;

fn weight(raw: &RawBatch) -> usize {
    let size = |item: &Item<bytes::Bytes>| match &item.content {
        Content::Is(value) => value.len(),
        Content::Deleted | Content::Malformed => 0,
    };
    FRAME + raw.items.iter().map(size).sum::<usize>()
}

/// Feeds between entries: calls go to the other's service, answers over both links.
#[derive(Clone, Default)]
pub struct FakeFeeds(
    pub Arc<Mutex<BTreeMap<SocketAddr, Arc<dyn FeedService>>>>,
    pub Links,
    /// The entry that calls through this handle.
    Option<SocketAddr>,
    /// Entries of an earlier version, which pass on no evacuations.
    Arc<Mutex<BTreeSet<SocketAddr>>>,
);

impl FakeFeeds {
    /// Has an entry be of an earlier version, which passes on no evacuations.
    pub fn set_earlier(&self, entry: SocketAddr) {
        lock(&self.3).insert(entry);
    }

    /// Has an entry answer nobody any more.
    pub fn cut(&self, entry: SocketAddr) {
        lock(&self.0).remove(&entry);
    }

    /// The feeds as the entry at `own` reaches them.
    pub fn reached_by(&self, own: SocketAddr) -> Self {
        Self(self.0.clone(), self.1.clone(), Some(own), self.3.clone())
    }
}

impl FeedPeers for FakeFeeds {
    fn pulse(&self, to: SocketAddr) -> BoxFuture<'_, Result<PeerPulse, FeedError>> {
        async move {
            let service = self.service(to).await?;
            let (store, book) = (service.pulse(), service.version());
            self.carry(to, FRAME).await?;
            Ok(PeerPulse { store, book })
        }
        .boxed()
    }

    fn book(&self, to: SocketAddr, have: BookVersion) -> BoxFuture<'_, Result<RawBook, FeedError>> {
        async move {
            let raw = self.service(to).await?.book(have)?;
            self.carry(to, FRAME + raw.delta.len()).await?;
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
}

impl FakeFeeds {
    async fn service(&self, to: SocketAddr) -> Result<Arc<dyn FeedService>, FeedError> {
        let service = lock(&self.0).get(&to).cloned();
        match service {
            Some(service) => Ok(service),
            None => {
                sleep(WAIT).await;
                Err(FeedError::Unavailable("no answer".to_owned()))
            }
        }
    }

    /// Carries the bytes of an answer to the caller.
    async fn carry(&self, from: SocketAddr, bytes: usize) -> Result<(), FeedError> {
        let Some(own) = self.2 else {
            return Ok(());
        };
        match self.1.carry(from, own, bytes).await {
            true => Ok(()),
            false => Err(FeedError::Unavailable("no answer".to_owned())),
        }
    }
}

struct FakePeerFeed(FakeFeeds, SocketAddr, &'static str);

impl FakePeerFeed {
    async fn service(&self) -> Result<Arc<dyn FeedService>, FeedError> {
        self.0.service(self.1).await
    }

    async fn carry(&self, raw: &RawBatch) -> Result<(), FeedError> {
        self.0.carry(self.1, weight(raw)).await
    }
}

impl FakePeerFeed {
    /// Waits until another life of the entry answers at its address: that
    /// resets connections to the life before.
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

/// What the adapter makes of an error: what has no word of its own is a lost store.
fn told(error: FeedError) -> FeedError {
    match error {
        FeedError::HistoryGone | FeedError::Elsewhere(_) => error,
        _ => FeedError::Lost,
    }
}

fn parse<T: DeserializeOwned>(raw: RawBatch) -> Batch<T> {
    let items = raw.items.into_iter().map(|item| Item {
        name: item.name,
        content: item
            .content
            .map(|json| serde_json::from_slice(&json).unwrap()),
    });
    Batch {
        items: items.collect(),
        revision: raw.revision,
    }
}

impl<T: DeserializeOwned + Send + Sync> Feed<T> for FakePeerFeed {
    fn list(&self, _: Freshness) -> BoxFuture<'_, Result<Batch<T>, FeedError>> {
        async move {
            let raw = self.service().await?.all(self.2).map_err(told)?;
            self.carry(&raw).await?;
            Ok(parse(raw))
        }
        .boxed()
    }

    fn pulse(&self) -> BoxFuture<'_, Result<u64, FeedError>> {
        async move {
            let revision = self.service().await?.pulse()?;
            let items = Vec::new();
            self.carry(&Batch { items, revision }).await?;
            Ok(revision)
        }
        .boxed()
    }

    fn watch(&self, after: u64, wait: Duration) -> BoxFuture<'_, Result<Batch<T>, FeedError>> {
        async move {
            let service = self.service().await?;
            let raw = tokio::select! {
                raw = service.follow(self.2.to_owned(), after, wait) => raw.map_err(told)?,
                () = self.replaced(&service) => {
                    return Err(FeedError::Unavailable("reset".to_owned()));
                }
            };
            if !lock(&self.0.0).contains_key(&self.1) {
                // Cut meanwhile: the answer never comes.
                return futures::future::pending().await;
            }
            self.carry(&raw).await?;
            Ok(parse(raw))
        }
        .boxed()
    }

    fn check(&self, after: u64) -> BoxFuture<'_, Result<Batch<T>, FeedError>> {
        async move {
            let watch = self.watch(after, Duration::from_millis(1));
            let answer = timeout(WAIT, watch).await;
            answer.unwrap_or_else(|_| Err(FeedError::Unavailable("no answer".to_owned())))
        }
        .boxed()
    }
}
