//! Stand-ins at the ports of a relay: a store that can fall silent, leafs that
//! can be slow, silent or full, and probes between entries. All in virtual time.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use chestnut_book::{BookVersion, CallerLimits, Kind, RouteBook, Rule, ServiceRule, Target};
use chestnut_fleet::Probe;
use chestnut_flow::{Host, Trace, lock};
use chestnut_port::{
    Batch, Clock, Feed, FeedError, FeedService, Forward, Freshness, Item, LeafCall, LeafFailure,
    LeafReply, Message, Probes, RawBatch,
};
use chestnut_relay::{
    Advert, Adverts, Ask, FeedPeers, LeafEntry, LeafState, Phase, Relay, RelayPorts, RelaySettings,
    Reply,
};
use chestnut_route::Refusal;
use chestnut_unit::{LeafId, MemberId, ServiceName, Share};
use futures::{FutureExt, future::BoxFuture};
use hyper::{HeaderMap, Method, Response, header::HeaderValue, http::uri::PathAndQuery};
use serde::de::DeserializeOwned;
use slog::{Discard, Logger, o};
use tokio::{
    sync::{Notify, mpsc},
    time::{Instant, sleep},
};

pub const HOST: &str = "league.example";

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
    adverts: BTreeMap<MemberId, Advert>,
    silent: bool,
    /// Raised by each silence; a watch from before it never answers.
    silences: u64,
    /// Watches to come whose answers vanish.
    lost: usize,
    calls: u64,
}

/// A store with a book, leafs and adverts.
#[derive(Clone, Default)]
pub struct FakeStore {
    stored: Arc<Mutex<Stored>>,
    changed: Arc<Notify>,
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
        stored.leafs.insert(id.clone(), (revision, entry));
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

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.stored).calls
    }

    /// Waits for ever if the store is silent.
    async fn reach(&self) {
        let silent = {
            let mut stored = lock(&self.stored);
            stored.calls += 1;
            stored.silent
        };
        if silent {
            // What the adapters make of silence: a timeout.
            sleep(Duration::from_millis(800)).await;
        }
    }

    async fn check(&self) -> Result<(), FeedError> {
        self.reach().await;
        match lock(&self.stored).silent {
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
                if stored.silences != silences {
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
            let stored = lock(&self.stored);
            let item = |(_, book): &(u64, RouteBook)| Item {
                name: "main".to_owned(),
                value: Some(book.clone()),
            };
            Ok(Batch {
                items: stored.book.iter().map(item).collect(),
                revision: stored.revision,
            })
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
                        value: Some(book.clone()),
                    }],
                    revision: stored.revision,
                })
            };
            Ok(self.until(wait, find, nothing).await)
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

type LeafItem = (LeafId, LeafEntry);

fn leaf_item(id: &LeafId, entry: &LeafEntry) -> Item<LeafItem> {
    Item {
        name: id.to_string(),
        value: Some((id.clone(), entry.clone())),
    }
}

impl Feed<LeafItem> for FakeStore {
    fn list(&self, _: Freshness) -> BoxFuture<'_, Result<Batch<LeafItem>, FeedError>> {
        async move {
            self.check().await?;
            let stored = lock(&self.stored);
            let leafs = stored.leafs.iter();
            Ok(Batch {
                items: leafs.map(|(id, (_, entry))| leaf_item(id, entry)).collect(),
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
                let gone = stored.gone.iter().filter(|(at, _)| *at > after);
                items.extend(gone.map(|(_, id)| Item {
                    name: id.to_string(),
                    value: None,
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

/// How a leaf behaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Manner {
    /// It answers after a span with these bytes.
    Answers(Duration, Bytes),
    /// It runs calls and never answers.
    Silent,
    /// It refuses calls before running them.
    Full,
    /// It runs calls and its answers are lost.
    Loses,
    /// It runs calls and answers with a failure of its own.
    Fails,
}

/// A call that a leaf got.
#[derive(Clone, Debug)]
pub struct Got {
    pub leaf: LeafId,
    pub request: String,
    pub at: Instant,
    pub left: Duration,
    pub connections: usize,
}

#[derive(Default)]
struct World {
    manners: BTreeMap<LeafId, Manner>,
    got: Vec<Got>,
    cancelled: usize,
}

/// Leafs behind the port by which requests are forwarded.
#[derive(Clone, Default)]
pub struct FakeLeafs(Arc<Mutex<World>>);

impl FakeLeafs {
    pub fn set(&self, leaf: &LeafId, manner: Manner) {
        lock(&self.0).manners.insert(leaf.clone(), manner);
    }

    pub fn got(&self) -> Vec<Got> {
        lock(&self.0).got.clone()
    }

    /// Calls that were given up before they ended.
    pub fn cancelled(&self) -> usize {
        lock(&self.0).cancelled
    }
}

struct Under(FakeLeafs, bool);

impl Drop for Under {
    fn drop(&mut self) {
        if !self.1 {
            lock(&self.0.0).cancelled += 1;
        }
    }
}

fn leaf_reply(leaf: &LeafId, status: u16, body: Bytes) -> LeafReply {
    let mut answer = Response::new(body);
    *answer.status_mut() = status.try_into().unwrap();
    LeafReply {
        answer,
        proof: HeaderValue::from_str(leaf.as_str()).unwrap(),
    }
}

impl Forward for FakeLeafs {
    fn call(&self, call: LeafCall) -> BoxFuture<'static, Result<LeafReply, LeafFailure>> {
        let this = self.clone();
        async move {
            let manner = {
                let mut world = lock(&this.0);
                world.got.push(Got {
                    leaf: call.leaf.clone(),
                    request: call.message.id.clone(),
                    at: Instant::now(),
                    left: call.left,
                    connections: call.connections,
                });
                world.manners.get(&call.leaf).cloned()
            };
            let mut under = Under(this, false);
            let result = match manner {
                Some(Manner::Answers(span, body)) => {
                    sleep(span).await;
                    Ok(leaf_reply(&call.leaf, 200, body))
                }
                Some(Manner::Silent) => futures::future::pending().await,
                Some(Manner::Full) => Err(LeafFailure::Refused(Refusal::Shed)),
                Some(Manner::Loses) => {
                    sleep(Duration::from_millis(5)).await;
                    Err(LeafFailure::Lost)
                }
                Some(Manner::Fails) => {
                    sleep(Duration::from_millis(5)).await;
                    let reply = leaf_reply(&call.leaf, 500, Bytes::new());
                    Err(LeafFailure::Failed(reply))
                }
                None => Err(LeafFailure::Unsent),
            };
            under.1 = true;
            result
        }
        .boxed()
    }

    fn forget(&self, _: &LeafId) {}
}

type Mail = (Probe, SocketAddr);

/// A network for probes.
#[derive(Clone, Default)]
pub struct FakeNet(Arc<Mutex<BTreeMap<SocketAddr, mpsc::UnboundedSender<Mail>>>>);

struct FakeProbes {
    net: FakeNet,
    own: SocketAddr,
    inbox: tokio::sync::Mutex<mpsc::UnboundedReceiver<Mail>>,
}

impl FakeNet {
    /// Takes an entry off the network.
    pub fn cut(&self, own: SocketAddr) {
        lock(&self.0).remove(&own);
    }

    fn join(&self, own: SocketAddr) -> FakeProbes {
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
pub struct FakeFeeds(Arc<Mutex<BTreeMap<SocketAddr, Arc<dyn FeedService>>>>);

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

fn parse<T: DeserializeOwned>(raw: RawBatch) -> Batch<T> {
    let items = raw.items.into_iter().map(|item| Item {
        name: item.name,
        value: item
            .value
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
            let raw = service.follow(self.2.to_owned(), after, wait).await?;
            if !lock(&self.0.0).contains_key(&self.1) {
                // Cut meanwhile: the answer never comes.
                return futures::future::pending().await;
            }
            Ok(parse(raw))
        }
        .boxed()
    }
}

/// Everything that the entries of one test share.
#[derive(Clone, Default)]
pub struct Stage {
    pub store: FakeStore,
    pub leafs: FakeLeafs,
    pub net: FakeNet,
    pub feeds: FakeFeeds,
}

impl Stage {
    /// Starts entry number `n`. The settings are those of a small deployment.
    pub async fn spawn(&self, n: u16) -> Relay {
        let text = format!(
            "[entry]\nmember = \"entry-{n}\"\ndomain = \"dub-a\"\ncores = 0.25\nlink = 1000\nfiles = 1024\n\
             [listen]\ncallers = \"10.0.0.{n}:1\"\nreadiness = \"10.0.0.{n}:2\"\n\
             directory = \"10.0.0.{n}:3\"\npeers = \"10.0.0.{n}:4\"\nmetrics = \"10.0.0.{n}:5\"\n\
             [store]\naddress = \"10.0.9.9:1\"\n[extra]\npart = 0.2\nslack = 52\nwindow = \"10s\"\n\
             [times]\ngrace = \"6s\"\ndrain = \"3s\"\n"
        );
        let settings = RelaySettings::parse(&text, Path::new("entry.toml")).unwrap();
        let probes = self.net.join(settings.listen.peers);
        let log = Logger::root(Discard, o!());
        let host = Host::new(log, Trace::None, Clock::start(), u64::from(n));
        let (feeds, own) = (self.feeds.clone(), settings.listen.peers);
        let ports = RelayPorts {
            book: Arc::new(self.store.clone()),
            leafs: Arc::new(self.store.clone()),
            peers: Box::new(move |service| {
                lock(&feeds.0).insert(own, service);
                async move { Ok(Arc::new(feeds) as Arc<dyn FeedPeers>) }.boxed()
            }),
            adverts: Arc::new(self.store.clone()),
            forward: Arc::new(self.leafs.clone()),
            probes: Arc::new(probes),
        };
        Relay::spawn(settings, host, ports).await.unwrap()
    }

    /// Starts an entry and waits until it serves.
    pub async fn serving(&self, n: u16) -> Relay {
        let relay = self.spawn(n).await;
        let mut phases = relay.phases();
        phases
            .wait_for(|phase| *phase > Phase::Starting)
            .await
            .unwrap();
        relay
    }

    /// Adds `count` leafs of a service that answer after `ms`.
    pub fn add_leafs(&self, service: &str, count: usize, ms: u64) -> Vec<LeafId> {
        let ids: Vec<LeafId> = (0..count)
            .map(|n| LeafId::new(format!("{service}-{n}")).unwrap())
            .collect();
        for id in &ids {
            self.store.put_leaf(id, entry(service, LeafState::Ready));
            let answer = Manner::Answers(Duration::from_millis(ms), record(service));
            self.leafs.set(id, answer);
        }
        ids
    }
}

/// Where entry number `n` listens for peers.
pub fn peers_address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 4))
}

/// One record that names a service.
pub fn record(service: &str) -> Bytes {
    let mut bytes = service.as_bytes().to_vec();
    bytes.resize(chestnut_book::RECORD, b' ');
    bytes.into()
}

pub fn entry(service: &str, state: LeafState) -> LeafEntry {
    LeafEntry {
        service: name(service),
        address: "10.1.0.1:1".parse().unwrap(),
        domain: "dub-a".parse().unwrap(),
        slots: 5,
        state,
        warmup: Duration::ZERO,
    }
}

pub fn name(service: &str) -> ServiceName {
    ServiceName::new(service).unwrap()
}

pub fn rule(prefix: &str, kind: Kind, target: Target) -> Rule {
    Rule {
        name: format!("rule {prefix}"),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        kind,
        attempts: 2,
        timeout: Duration::from_secs(2),
        goal: Duration::from_millis(200),
        rank: 1,
        target,
    }
}

pub fn gather(shards: &[&str], least: u16) -> Target {
    Target::Gather {
        shards: shards.iter().map(|shard| name(shard)).collect(),
        least: Share::from_permille(least),
        top: 50,
    }
}

pub fn book(version: u64, rules: Vec<Rule>) -> RouteBook {
    let services: Vec<ServiceName> = rules
        .iter()
        .flat_map(|rule| rule.target.services().cloned())
        .collect();
    let services = services
        .into_iter()
        .map(|service| (service, ServiceRule { connections: 40 }));
    let limits = CallerLimits::default();
    RouteBook::build(BookVersion(version), rules, services, limits).unwrap()
}

pub fn ask(id: &str, path: &'static str) -> Ask {
    let message = Message {
        id: id.to_owned(),
        method: Method::GET,
        target: PathAndQuery::from_static(path),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    Ask {
        host: HOST.to_owned(),
        message: Arc::new(message),
        left: Some(Duration::from_secs(2)),
    }
}

/// Shards that are missing from a merged reply; `None` if it is none.
pub fn missing(reply: &Reply) -> Option<usize> {
    match reply {
        Reply::Merged { missing, .. } => Some(*missing),
        _ => None,
    }
}
