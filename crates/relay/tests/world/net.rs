//! Probes and feeds between entries.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use chestnut_book::RouteBook;
use chestnut_fleet::Probe;
use chestnut_flow::lock;
use chestnut_port::{
    Batch, Content, Feed, FeedError, FeedService, Freshness, Item, Probes, RawBatch,
};
use chestnut_relay::FeedPeers;
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
pub struct FakeNet(Arc<Mutex<BTreeMap<SocketAddr, mpsc::UnboundedSender<Mail>>>>);

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
        if let Some(inbox) = lock(&self.net.0).get(&to) {
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
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Way {
    Out,
    In,
}

impl Links {
    /// Limits the link of an entry, in bytes a second.
    pub fn limit(&self, entry: SocketAddr, rate: u32) {
        lock(&self.0).rates.insert(entry, rate);
    }

    /// Carries `bytes` to `to`; from the store if `from` is none.
    pub async fn carry(&self, from: Option<SocketAddr>, to: SocketAddr, bytes: usize) {
        let ends = [from.map(|from| (from, Way::Out)), Some((to, Way::In))];
        let arrived = {
            let mut table = lock(&self.0);
            let table = &mut *table;
            let ends = ends.into_iter().flatten();
            let ends: Vec<_> = ends.filter(|(e, _)| table.rates.contains_key(e)).collect();
            let mut arrived = Instant::now();
            for end in &ends {
                arrived = arrived.max(table.free.get(end).copied().unwrap_or(arrived));
            }
            let slowest = ends.iter().map(|(entry, _)| table.rates[entry]).min();
            let rate = f64::from(slowest.unwrap_or(u32::MAX));
            arrived += Duration::from_secs_f64(bytes as f64 / rate);
            for end in ends {
                table.free.insert(end, arrived);
            }
            arrived
        };
        sleep_until(arrived).await;
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
);

/// What the adapter waits for an answer.
const WAIT: Duration = Duration::from_millis(400);

impl FakeFeeds {
    /// Has an entry answer nobody any more.
    pub fn cut(&self, entry: SocketAddr) {
        lock(&self.0).remove(&entry);
    }

    /// The feeds as the entry at `own` reaches them.
    pub fn reached_by(&self, own: SocketAddr) -> Self {
        Self(self.0.clone(), self.1.clone(), Some(own))
    }
}

impl FeedPeers for FakeFeeds {
    fn book(&self, to: SocketAddr) -> Arc<dyn Feed<RouteBook>> {
        Arc::new(FakePeerFeed(self.clone(), to, "book"))
    }

    fn leafs(&self, to: SocketAddr) -> Arc<dyn Feed<LeafItem>> {
        Arc::new(FakePeerFeed(self.clone(), to, "leafs"))
    }
}

struct FakePeerFeed(FakeFeeds, SocketAddr, &'static str);

impl FakePeerFeed {
    async fn service(&self) -> Result<Arc<dyn FeedService>, FeedError> {
        let service = lock(&self.0.0).get(&self.1).cloned();
        match service {
            Some(service) => Ok(service),
            None => {
                sleep(Duration::from_millis(400)).await;
                Err(FeedError::Unavailable("no answer".to_owned()))
            }
        }
    }
}

impl FakePeerFeed {
    async fn carry(&self, raw: &RawBatch) -> Result<(), FeedError> {
        let FakeFeeds(_, links, own) = &self.0;
        let Some(own) = own else {
            return Ok(());
        };
        let carried = timeout(WAIT, links.carry(Some(self.1), *own, weight(raw))).await;
        carried.map_err(|_| FeedError::Unavailable("no answer".to_owned()))
    }

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
            let raw = self.service().await?.all(self.2)?;
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
                raw = service.follow(self.2.to_owned(), after, wait) => raw?,
                () = self.replaced(&service) => {
                    return Err(FeedError::Unavailable("reset".to_owned()));
                }
            };
            if !lock(&self.0.0).contains_key(&self.1) {
                // Cut meanwhile: the answer never comes.
                return futures::future::pending().await;
            }
            let FakeFeeds(_, links, own) = &self.0;
            if let Some(own) = own {
                links.carry(Some(self.1), *own, weight(&raw)).await;
            }
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
