//! The tables that the tasks of one entry share.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
};

use chestnut_audit::{CheckKey, Copies, Journal, JournalConfig};
use chestnut_conf::{Book, BookDigest, Kind, OrgPolicy, Settings};
use chestnut_fleet::{Confirmation, Entry, Member, Status, Swim, SwimConfig, order_entries};
pub(crate) use chestnut_flow::lock;
use chestnut_flow::{Host, Trace};
use chestnut_once::{Keeper, KeeperConfig};
use chestnut_port::{Clock, Peers, Platform, Probes, SubmitReply, Targets};
use chestnut_route::OrgGates;
use chestnut_unit::{DomainName, LeafId, MemberId, OrgName, RequestId, ServiceName, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use slog::Logger;
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    metrics::Metrics,
    service::{self, Service},
};

/// Batches of refusal records of other entries that are kept: with 2,000
/// records each about 20 MB at most.
const COPIES: usize = 32;

/// What was last read of one kind.
#[derive(Clone, Copy)]
struct KindRead {
    revision: u64,
    asked: Time,
}

/// The configuration that is in force, and since when it is confirmed.
#[derive(Default)]
pub(crate) struct Conf {
    pub(crate) book: Book,
    pub(crate) confirmation: Confirmation,
    read: BTreeMap<Kind, KindRead>,
    policies: BTreeMap<OrgName, Option<Arc<OrgPolicy>>>,
}

impl Conf {
    /// The policy of an organisation, kept until the book changes.
    pub(crate) fn policy(&mut self, org: &OrgName) -> Option<Arc<OrgPolicy>> {
        if let Some(policy) = self.policies.get(org) {
            return policy.clone();
        }
        let policy = self.book.policy(org).map(Arc::new);
        // Unknown names come from callers: they are not kept, or the map would
        // grow with every name that anybody makes up.
        if policy.is_some() {
            self.policies.insert(org.clone(), policy.clone());
        }
        policy
    }

    /// Notes that the platform gave `revision` of a kind when asked at `asked`.
    /// Settings are confirmed as of the older of the two kinds that operators
    /// edit. A revision older than one seen before is a stale copy: it
    /// confirms nothing.
    pub(crate) fn note_read(&mut self, kind: Kind, revision: u64, asked: Time) {
        let last = self.read.get(&kind).map_or(0, |read| read.revision);
        if revision < last {
            return;
        }
        self.read.insert(kind, KindRead { revision, asked });
        let both = [Kind::Template, Kind::Organisation].map(|kind| self.read.get(&kind));
        if let [Some(templates), Some(organisations)] = both {
            self.confirmation
                .platform_synced(templates.asked.min(organisations.asked));
        }
    }

    /// Forgets policies after a change of the book.
    pub(crate) fn changed(&mut self) {
        self.policies.clear();
    }
}

/// Where an entry is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It has no configuration yet.
    Starting,
    /// It serves.
    Serving,
    /// It serves callers that still have its address, and takes no others.
    Leaving,
    /// Its tasks end.
    Stopped,
}

/// A peer whose configuration differs from ours.
pub(crate) struct Differs {
    pub(crate) peer: std::net::SocketAddr,
    pub(crate) digest: BookDigest,
}

/// Waiting place for repeats of a submission that is being dispatched.
pub(crate) type Dispatches = BTreeMap<String, watch::Receiver<Option<SubmitReply>>>;

/// What the tasks of one entry share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) host: Host,
    pub(crate) targets: Arc<dyn Targets>,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) probes: Arc<dyn Probes>,
    pub(crate) peers: OnceLock<Arc<dyn Peers>>,
    pub(crate) own: Member,
    pub(crate) conf: Mutex<Conf>,
    pub(crate) swim: Mutex<Swim>,
    services: Mutex<BTreeMap<ServiceName, Arc<Service>>>,
    pub(crate) gates: Mutex<OrgGates>,
    pub(crate) keeper: Mutex<Keeper>,
    pub(crate) dispatches: Mutex<Dispatches>,
    pub(crate) journal: Mutex<Journal>,
    pub(crate) copies: Mutex<Copies>,
    pub(crate) leaving: Mutex<BTreeSet<LeafId>>,
    pub(crate) check: CheckKey,
    pub(crate) metrics: Metrics,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) place: Notify,
    pub(crate) drain: Notify,
    pub(crate) differs: mpsc::Sender<Differs>,
    requests: AtomicU64,
    pub(crate) in_flight: AtomicU32,
}

/// The ports as [`Shared`] keeps them.
pub(crate) struct SharedPorts {
    pub(crate) targets: Arc<dyn Targets>,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) probes: Arc<dyn Probes>,
    pub(crate) clock: Clock,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        log: Logger,
        ports: SharedPorts,
        own: Member,
        seed: u64,
        differs: mpsc::Sender<Differs>,
    ) -> Self {
        let control = &settings.control;
        let swim = SwimConfig {
            interval: control.probe,
            ..SwimConfig::default()
        };
        let keeper = KeeperConfig {
            life: control.ticket,
            ..KeeperConfig::default()
        };
        let journal = JournalConfig {
            interval: control.records,
            ..JournalConfig::default()
        };
        let now = ports.clock.now();
        Self {
            check: CheckKey::from_secret(&control.secret),
            host: Host::new(
                log,
                match settings.log.level {
                    chestnut_conf::LogLevel::Debug => Trace::All,
                    _ => Trace::None,
                },
                ports.clock,
                seed,
            ),
            swim: Mutex::new(Swim::new(swim, own.clone(), now)),
            keeper: Mutex::new(Keeper::new(own.id.clone(), own.incarnation, keeper)),
            journal: Mutex::new(Journal::new(journal, own.id.clone(), own.incarnation)),
            copies: Mutex::new(Copies::new(COPIES)),
            metrics: Metrics::new(),
            settings,
            targets: ports.targets,
            platform: ports.platform,
            probes: ports.probes,
            peers: OnceLock::new(),
            own,
            conf: Mutex::new(Conf::default()),
            services: Mutex::new(BTreeMap::new()),
            gates: Mutex::new(OrgGates::default()),
            dispatches: Mutex::new(BTreeMap::new()),
            leaving: Mutex::new(BTreeSet::new()),
            phase: watch::Sender::new(Phase::Starting),
            place: Notify::new(),
            drain: Notify::new(),
            differs,
            requests: AtomicU64::new(1),
            in_flight: AtomicU32::new(0),
        }
    }

    /// The port to peers. It is set before any task runs.
    pub(crate) fn peers(&self) -> &Arc<dyn Peers> {
        self.peers.get().expect("the port to peers is set at start")
    }

    pub(crate) fn now(&self) -> Time {
        self.host.now()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub(crate) fn next_request(&self) -> RequestId {
        RequestId(self.requests.fetch_add(1, Ordering::Relaxed))
    }

    /// A generator for one decision or request, from the entry's seed.
    pub(crate) fn rng(&self) -> ChaCha8Rng {
        self.host.rng()
    }

    /// Fills a ticket's nonce. It comes from the system, not from the seed:
    /// whoever knows the seed could guess tickets.
    pub(crate) fn nonce(&self, nonce: &mut [u8]) {
        rand::rng().fill_bytes(nonce);
    }

    pub(crate) fn service(&self, name: &ServiceName) -> Option<Arc<Service>> {
        lock(&self.services).get(name).cloned()
    }

    pub(crate) fn services(&self) -> Vec<Arc<Service>> {
        lock(&self.services).values().cloned().collect()
    }

    /// The cell of a service, made if it is new.
    pub(crate) fn service_or_new(&self, name: &ServiceName) -> Arc<Service> {
        lock(&self.services)
            .entry(name.clone())
            .or_insert_with(|| Arc::new(service::new(name.clone(), &self.settings.route)))
            .clone()
    }

    pub(crate) fn drop_services(&self, keep: &BTreeSet<ServiceName>) {
        lock(&self.services).retain(|name, _| keep.contains(name));
    }

    /// What this entry says of itself in probes.
    pub(crate) fn status(&self) -> Status {
        let now = self.now();
        let conf = lock(&self.conf);
        Status {
            digest: conf.book.digest(),
            confirmed: conf.confirmation.age(now),
            load: self.in_flight.load(Ordering::Relaxed),
            ..Status::default()
        }
    }

    /// Entries for a caller, preferred first.
    pub(crate) fn entries(&self, domain: Option<&DomainName>) -> Vec<Entry> {
        let load = self.in_flight.load(Ordering::Relaxed);
        let domain = domain.unwrap_or(&self.own.domain);
        let mut rng = self.rng();
        order_entries(&lock(&self.swim), Some(domain), load, &mut rng)
    }

    /// Entries for a caller that this one refused.
    pub(crate) fn other_entries(&self) -> Vec<Entry> {
        /// Entries named in a refusal.
        const MOST: usize = 3;
        let mut entries = self.entries(None);
        entries.retain(|entry| entry.member != self.own.id);
        entries.truncate(MOST);
        entries
    }

    /// Addresses of other members for calls, at most `most` at random.
    pub(crate) fn some_peers(&self, most: usize) -> Vec<(MemberId, std::net::SocketAddr)> {
        use rand::seq::SliceRandom;
        let mut peers: Vec<(MemberId, std::net::SocketAddr)> = lock(&self.swim)
            .view
            .others()
            .map(|member| (member.id.clone(), member.addresses.peers))
            .collect();
        peers.shuffle(&mut self.rng());
        peers.truncate(most);
        peers
    }
}
