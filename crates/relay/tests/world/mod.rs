//! Fakes behind the ports of a relay: a store and leafs with injected faults, and the
//! gossip and feeds between entries. All of them run in virtual time.
#![allow(dead_code, reason = "each test file uses its own part")]

mod leafs;
mod net;
mod store;

#[allow(unused_imports, reason = "each test file uses its own part")]
pub use leafs::{Behaviour, Crash, FakeLeafs, ReceivedCall};
pub use net::{FakeFeeds, FakeNet};
#[allow(unused_imports, reason = "each test file uses its own part")]
pub use store::{Availability, FakeStore};

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use bytes::Bytes;
use chestnut_book::{
    BookVersion, CallerLimits, ColdRule, RetrySafety, RouteBook, Rule, ServiceRule, Target,
};
use chestnut_flow::{Runtime, TraceLevel, lock};
use chestnut_port::{Client, Clock, ForwardedRequest, Memory};
use chestnut_relay::{
    Credential, LeafRegistration, LeafState, PeerFeeds, Phase, Relay, RelayPorts, RelayRequest,
    RelaySettings, Reply,
};
use chestnut_unit::{LeafId, ServiceName, Share};
use futures::FutureExt;
use hyper::{HeaderMap, Method, http::uri::PathAndQuery};
use slog::{Discard, Logger, o};
use tokio::time::sleep;

const DOMAINS: [&str; 3] = ["dub-a", "dub-b", "kdr-c"];
/// Host name that the rules match.
pub const HOST: &str = "league.example";

/// Leafs that a request may crash before the limit on its probe calls holds.
pub const CRASH_LIMIT: usize = 3;
/// Time in which connected entries exchange what they need to enforce that limit.
pub const SYNC_TIME: Duration = Duration::from_secs(4);
/// Probe calls that may reach leafs after that.
pub const MAX_LATE_TRIES: usize = 3;

/// Everything that the entries of one test share.
#[derive(Clone, Default)]
pub struct Cluster {
    /// The store of books, leafs and adverts.
    pub store: FakeStore,
    /// Leafs that requests are forwarded to.
    pub leafs: FakeLeafs,
    /// The gossip network.
    pub net: FakeNet,
    /// The feeds between entries.
    pub feeds: FakeFeeds,
    /// Number of failure domains that entries are placed in; 0 counts as 1.
    pub domains: u16,
    /// Numbers of the entries that others contact at their start.
    pub seeds: Vec<u16>,
    /// Further lines of the settings.
    pub settings: &'static str,
    /// `times.grace` of the entries; `None` counts as 6 s.
    pub grace: Option<Duration>,
}

impl Cluster {
    /// Starts entry number `n` with the settings of a small deployment.
    pub async fn spawn(&self, n: u16) -> Relay {
        let domain = DOMAINS[usize::from(n % self.domains.max(1))];
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|n| peer_address(*n).to_string())
            .collect();
        let ip = peer_address(n).ip();
        let grace = self.grace.unwrap_or(Duration::from_secs(6)).as_millis();
        let text = format!(
            "seeds = {seeds:?}\n[entry]\nmember = \"entry-{n}\"\ndomain = \"{domain}\"\ncores = 0.25\nlink = 1000\nfiles = 1024\n\
             [listen]\ncallers = \"{ip}:1\"\nreadiness = \"{ip}:2\"\n\
             directory = \"{ip}:3\"\npeers = \"{ip}:4\"\nmetrics = \"{ip}:5\"\n\
             [store]\naddress = \"10.0.9.9:1\"\n[extra]\npart = 0.2\nslack = 52\nwindow = \"10s\"\n\
             [cold]\nover = 1.5\nslack = 5\n[limits]\nwindow = 5\nover = 0.1\nslack = 20\n[times]\ngrace = \"{grace}ms\"\ndrain = \"3s\"\n{}",
            self.settings
        );
        let settings = RelaySettings::parse(&text, Path::new("entry.toml")).unwrap();
        let probes = self.net.join(settings.listen.peers);
        let log = Logger::root(Discard, o!());
        let runtime = Runtime::new(log, TraceLevel::None, Clock::start(), u64::from(n));
        let own = settings.listen.peers;
        let feeds = self.feeds.handle_for(own);
        let ports = RelayPorts {
            book: Arc::new(self.store.handle_for(n, &self.feeds.1)),
            leafs: Arc::new(self.store.handle_for(n, &self.feeds.1)),
            evacuations: Arc::new(self.store.handle_for(n, &self.feeds.1)),
            peers: Box::new(move |service| {
                lock(&feeds.0).insert(own, service);
                async move { Ok(Arc::new(feeds) as Arc<dyn PeerFeeds>) }.boxed()
            }),
            adverts: Arc::new(self.store.handle_for(n, &self.feeds.1)),
            records: Arc::new(self.store.handle_for(n, &self.feeds.1)),
            leases: Arc::new(self.store.handle_for(n, &self.feeds.1)),
            forward: Arc::new(self.leafs.clone()),
            probes: Arc::new(probes),
            traffic: Arc::default(),
            memory: Memory::unlimited(),
        };
        Relay::spawn(settings, runtime, ports).await.unwrap()
    }

    /// Starts entry number `n` and waits until it serves.
    pub async fn serving(&self, n: u16) -> Relay {
        let relay = self.spawn(n).await;
        let mut phases = relay.phases();
        phases
            .wait_for(|phase| *phase > Phase::Starting)
            .await
            .unwrap();
        relay
    }

    /// Starts entries 1 to `count` and waits until they know each other.
    pub async fn serving_all(&self, count: u16) -> Vec<Relay> {
        const MEMBERSHIP_SETTLE: Duration = Duration::from_secs(8);
        let mut relays = Vec::new();
        for n in 1..=count {
            relays.push(self.serving(n).await);
        }
        sleep(MEMBERSHIP_SETTLE).await;
        relays
    }

    /// Adds `count` leafs of a service that answer after `ms` milliseconds.
    pub fn add_leafs(&self, service: &str, count: usize, ms: u64) -> Vec<LeafId> {
        let ids: Vec<LeafId> = (0..count)
            .map(|n| LeafId::new(format!("{service}-{n}")).unwrap())
            .collect();
        for id in &ids {
            self.store
                .put_leaf(id, leaf_entry(service, LeafState::Ready));
            let answer = Behaviour::Answers(Duration::from_millis(ms), record(service));
            self.leafs.set_behaviour(id, answer);
        }
        ids
    }
}

/// Returns the address at which entry number `n` listens for peers.
pub fn peer_address(n: u16) -> SocketAddr {
    let [high, low] = n.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 4))
}

/// Returns an answer of one record, which holds the service's name.
pub fn record(service: &str) -> Bytes {
    let mut bytes = service.as_bytes().to_vec();
    bytes.resize(chestnut_book::RECORD_BYTES, b' ');
    bytes.into()
}

/// Returns the store entry of a leaf of `service`.
pub fn leaf_entry(service: &str, state: LeafState) -> LeafRegistration {
    LeafRegistration {
        service: service_name(service),
        address: "10.1.0.1:1".parse().unwrap(),
        domain: "dub-a".parse().unwrap(),
        slots: 5,
        state,
        warmup: Duration::ZERO,
        incarnation: None,
    }
}

/// Parses a service name.
pub fn service_name(service: &str) -> ServiceName {
    ServiceName::new(service).unwrap()
}

/// Returns a rule that sends requests under `prefix` to `target`.
pub fn rule(prefix: &str, kind: RetrySafety, target: Target) -> Rule {
    Rule {
        name: format!("rule {prefix}"),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        kind,
        attempts: 2,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(200),
        rank: 1,
        public: false,
        target,
    }
}

/// Returns a target that queries `shards` and needs `least` permille of them.
pub fn gather(shards: &[&str], least: u16) -> Target {
    Target::Gather {
        shards: shards.iter().map(|shard| service_name(shard)).collect(),
        least: Share::from_permille(least),
        top: 50,
    }
}

/// Builds a route book without limits for cold leafs.
pub fn book(version: u64, rules: Vec<Rule>) -> RouteBook {
    book_with_cold(version, rules, None)
}

/// Builds a route book whose services limit their cold leafs by `cold`.
pub fn book_with_cold(version: u64, rules: Vec<Rule>, cold: Option<ColdRule>) -> RouteBook {
    let services: Vec<ServiceName> = rules
        .iter()
        .flat_map(|rule| rule.target.services().cloned())
        .collect();
    let services = services.into_iter().map(|service| {
        (
            service,
            ServiceRule {
                connections: 40,
                cold,
            },
        )
    });
    let limits = CallerLimits::default();
    RouteBook::build(BookVersion(version), rules, services, limits).unwrap()
}

/// Returns a request for `path` with two seconds left.
pub fn request(id: &str, path: &'static str) -> RelayRequest {
    let message = ForwardedRequest {
        client: Client::default(),
        organisation: None,
        id: id.to_owned(),
        method: Method::GET,
        path: PathAndQuery::from_static(path),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    RelayRequest {
        credential: Credential::Unread,
        host: HOST.to_owned(),
        message: Arc::new(message),
        remaining: Some(Duration::from_secs(2)),
    }
}

/// Returns the number of shards missing from a merged reply, `None` for other replies.
pub fn missing(reply: &Reply) -> Option<usize> {
    match reply {
        Reply::Merged { missing, .. } => Some(*missing),
        _ => None,
    }
}
