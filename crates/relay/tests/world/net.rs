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
use chestnut_port::{Batch, Feed, FeedError, FeedService, Freshness, Item, Probes, RawBatch};
use chestnut_relay::FeedPeers;
use futures::{FutureExt, future::BoxFuture};
use serde::de::DeserializeOwned;
use tokio::{sync::mpsc, time::sleep};

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

/// Feeds between entries: calls go straight to the other's service.
#[derive(Clone, Default)]
pub struct FakeFeeds(pub Arc<Mutex<BTreeMap<SocketAddr, Arc<dyn FeedService>>>>);

impl FakeFeeds {
    /// Has an entry answer nobody any more.
    pub fn cut(&self, entry: SocketAddr) {
        lock(&self.0).remove(&entry);
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
        async move { Ok(parse(self.service().await?.all(self.2)?)) }.boxed()
    }

    fn pulse(&self) -> BoxFuture<'_, Result<u64, FeedError>> {
        async move { self.service().await?.pulse() }.boxed()
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
            Ok(parse(raw))
        }
        .boxed()
    }
}
