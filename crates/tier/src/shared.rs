//! The state that the tasks of one entry share.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
};

use chestnut_audit::{MacKey, RefusalLog, RefusalLogConfig, ReplicaBatches};
use chestnut_conf::{ConfigDigest, ConfigSet, ObjectKind, OrgPolicy, Settings};
use chestnut_fleet::{Confirmation, Entry, Member, Status, Swim, SwimConfig, order_entries};
pub(crate) use chestnut_flow::lock;
use chestnut_flow::{Runtime, TraceLevel};
use chestnut_once::{RegistryConfig, TicketRegistry};
use chestnut_port::{Clock, Peers, Platform, ProbeTransport, SubmitReply, Targets};
use chestnut_route::OrgLimiters;
use chestnut_unit::{
    DomainName, Epoch, LeafId, MemberId, OrgName, RequestId, Revision, ServiceName, Time,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use slog::Logger;
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    metrics::Metrics,
    service::{self, Service},
};

/// Maximum number of batches of refusal records stored for peers, to bound memory. With 2,000
/// records each they take about 20 MB at most.
const MAX_REPLICA_BATCHES: usize = 32;

/// The latest read of one kind of object: the revision that the platform
/// returned and the time of the request.
#[derive(Clone, Copy)]
struct KindRead {
    revision: Revision,
    asked: Time,
}

/// The configuration in force, the time of its last confirmation, the latest
/// reads from the platform and a cache of policies.
#[derive(Default)]
pub(crate) struct Conf {
    pub(crate) objects: ConfigSet,
    pub(crate) confirmation: Confirmation,
    read: BTreeMap<ObjectKind, KindRead>,
    policies: BTreeMap<OrgName, Option<Arc<OrgPolicy>>>,
}

impl Conf {
    /// The policy of an organisation, cached until the configuration changes;
    /// `None` if the organisation or its template is unknown or invalid.
    pub(crate) fn policy(&mut self, org: &OrgName) -> Option<Arc<OrgPolicy>> {
        if let Some(policy) = self.policies.get(org) {
            return policy.clone();
        }
        let policy = self.objects.policy(org).map(Arc::new);
        // Unknown names aren't cached: callers could grow the map without
        // bound.
        if policy.is_some() {
            self.policies.insert(org.clone(), policy.clone());
        }
        policy
    }

    /// Records that the platform returned `revision` of a kind for a request at
    /// `asked`. Settings are confirmed as of the older read of the two kinds
    /// that operators edit. A revision older than one already seen comes from a
    /// stale copy and confirms nothing.
    pub(crate) fn record_read(&mut self, kind: ObjectKind, revision: Revision, asked: Time) {
        let last = self.read.get(&kind).map(|read| read.revision);
        if last.is_some_and(|last| revision < last) {
            return;
        }
        self.read.insert(kind, KindRead { revision, asked });
        let both =
            [ObjectKind::Template, ObjectKind::Organisation].map(|kind| self.read.get(&kind));
        if let [Some(templates), Some(organisations)] = both {
            self.confirmation
                .platform_synced(templates.asked.min(organisations.asked));
        }
    }

    /// Whether the platform was restored from an older copy since the last read of a kind, as an
    /// answer of this epoch shows.
    pub(crate) fn is_restored(&self, kind: ObjectKind, epoch: Epoch) -> bool {
        let read = self.read.get(&kind);
        read.is_some_and(|read| read.revision.epoch < epoch)
    }

    /// Drops the cached policies after a change of the configuration.
    pub(crate) fn clear_policies(&mut self) {
        self.policies.clear();
    }
}

/// The lifecycle phase of an entry, in order: starting, serving, leaving,
/// stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It has no configuration yet.
    Starting,
    /// It serves callers.
    Serving,
    /// It serves callers that still have its address, and is no longer listed.
    Leaving,
    /// It has stopped, or its tasks are being aborted.
    Stopped,
}

/// A peer whose configuration digest differs from that of this entry: its call
/// address and its digest.
pub(crate) struct DivergentPeer {
    pub(crate) peer: std::net::SocketAddr,
    pub(crate) digest: ConfigDigest,
}

/// Replies of the submissions that are being dispatched, by ticket; `None`
/// until the outcome is known. Repeats of a submission wait here.
pub(crate) type Dispatches = BTreeMap<String, watch::Receiver<Option<SubmitReply>>>;

/// What the tasks of one entry share: settings, ports, counters and tables,
/// each table behind a lock of its own.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) runtime: Runtime,
    pub(crate) targets: Arc<dyn Targets>,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) probes: Arc<dyn ProbeTransport>,
    pub(crate) peers: OnceLock<Arc<dyn Peers>>,
    /// This entry as a member.
    pub(crate) own: Member,
    pub(crate) conf: Mutex<Conf>,
    pub(crate) swim: Mutex<Swim>,
    services: Mutex<BTreeMap<ServiceName, Arc<Service>>>,
    /// Limits of the organisations.
    pub(crate) org_limiters: Mutex<OrgLimiters>,
    /// Tickets that this entry minted or took over, with their outcomes.
    pub(crate) tickets: Mutex<TicketRegistry>,
    pub(crate) dispatches: Mutex<Dispatches>,
    /// Refusal records that the platform doesn't have yet.
    pub(crate) refusal_log: Mutex<RefusalLog>,
    /// Refusal records stored for peers.
    pub(crate) replica_batches: Mutex<ReplicaBatches>,
    /// Leafs that are listed as leaving.
    pub(crate) leaving_leafs: Mutex<BTreeSet<LeafId>>,
    /// Key that authenticates receipts.
    pub(crate) mac_key: MacKey,
    pub(crate) metrics: Metrics,
    pub(crate) phase: watch::Sender<Phase>,
    /// Notified when members or services change.
    pub(crate) placement_due: Notify,
    /// Notified when an operator requests a drain.
    pub(crate) drain_requested: Notify,
    /// Peers to fetch newer configuration from.
    pub(crate) divergent_peers: mpsc::Sender<DivergentPeer>,
    requests: AtomicU64,
    /// Requests that are running.
    pub(crate) in_flight: AtomicU32,
}

/// The ports that [`Shared`] is created with; the port to peers is set later.
pub(crate) struct SharedPorts {
    pub(crate) targets: Arc<dyn Targets>,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) probes: Arc<dyn ProbeTransport>,
    pub(crate) clock: Clock,
}

impl Shared {
    /// Creates the state of an entry in [`Phase::Starting`], without services
    /// or objects. Random draws are derived from `seed`.
    pub(crate) fn new(
        settings: Settings,
        log: Logger,
        ports: SharedPorts,
        own: Member,
        seed: u64,
        divergent_peers: mpsc::Sender<DivergentPeer>,
    ) -> Self {
        let control = &settings.control;
        let swim = SwimConfig {
            interval: control.probe,
            ..SwimConfig::default()
        };
        let tickets = RegistryConfig {
            ttl: control.ticket,
            ..RegistryConfig::default()
        };
        let refusal_log = RefusalLogConfig {
            interval: control.records,
            ..RefusalLogConfig::default()
        };
        let now = ports.clock.now();
        Self {
            mac_key: MacKey::from_secret(&control.secret),
            runtime: Runtime::new(
                log,
                match settings.log.level {
                    chestnut_conf::LogLevel::Debug => TraceLevel::All,
                    _ => TraceLevel::None,
                },
                ports.clock,
                seed,
            ),
            swim: Mutex::new(Swim::new(swim, own.clone(), now)),
            tickets: Mutex::new(TicketRegistry::new(
                own.id.clone(),
                own.incarnation,
                tickets,
            )),
            refusal_log: Mutex::new(RefusalLog::new(
                refusal_log,
                own.id.clone(),
                own.incarnation,
            )),
            replica_batches: Mutex::new(ReplicaBatches::new(MAX_REPLICA_BATCHES)),
            metrics: Metrics::new(),
            settings,
            targets: ports.targets,
            platform: ports.platform,
            probes: ports.probes,
            peers: OnceLock::new(),
            own,
            conf: Mutex::new(Conf::default()),
            services: Mutex::new(BTreeMap::new()),
            org_limiters: Mutex::new(OrgLimiters::default()),
            dispatches: Mutex::new(BTreeMap::new()),
            leaving_leafs: Mutex::new(BTreeSet::new()),
            phase: watch::Sender::new(Phase::Starting),
            placement_due: Notify::new(),
            drain_requested: Notify::new(),
            divergent_peers,
            requests: AtomicU64::new(1),
            in_flight: AtomicU32::new(0),
        }
    }

    /// The port for calls to peers.
    ///
    /// # Panics
    ///
    /// It is not set yet; [`crate::Tier::spawn`] sets it before any task runs.
    pub(crate) fn peers(&self) -> &Arc<dyn Peers> {
        self.peers.get().expect("the port to peers is set at start")
    }

    /// The current time of the entry's clock.
    pub(crate) fn now(&self) -> Time {
        self.runtime.now()
    }

    /// The current lifecycle phase.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Allocates a request id, unique within this run of the entry.
    pub(crate) fn next_request(&self) -> RequestId {
        RequestId(self.requests.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns a new generator for one decision or request, derived from the
    /// seed.
    pub(crate) fn rng(&self) -> ChaCha8Rng {
        self.runtime.rng()
    }

    /// Fills a ticket's nonce from the system's random source. Nonces from the
    /// entry's seed could be guessed by anyone who knows the seed.
    pub(crate) fn nonce(&self, nonce: &mut [u8]) {
        rand::rng().fill_bytes(nonce);
    }

    /// The service of this name; `None` if the platform does not list it.
    pub(crate) fn service(&self, name: &ServiceName) -> Option<Arc<Service>> {
        lock(&self.services).get(name).cloned()
    }

    /// All services that the platform lists.
    pub(crate) fn services(&self) -> Vec<Arc<Service>> {
        lock(&self.services).values().cloned().collect()
    }

    /// The service of this name, which is created without back ends if it is
    /// new.
    pub(crate) fn service_or_new(&self, name: &ServiceName) -> Arc<Service> {
        lock(&self.services)
            .entry(name.clone())
            .or_insert_with(|| Arc::new(service::new(name.clone(), &self.settings.route)))
            .clone()
    }

    /// Removes all services that are not in `keep`.
    pub(crate) fn drop_services(&self, keep: &BTreeSet<ServiceName>) {
        lock(&self.services).retain(|name, _| keep.contains(name));
    }

    /// The status that this entry reports in probes: its configuration digest,
    /// the age of its confirmation and the requests in flight.
    pub(crate) fn status(&self) -> Status {
        let now = self.now();
        let conf = lock(&self.conf);
        Status {
            digest: conf.objects.digest(),
            confirmed: conf.confirmation.age(now),
            load: self.in_flight.load(Ordering::Relaxed),
            ..Status::default()
        }
    }

    /// Entries that accept work for a caller in `domain`, by default that of
    /// this entry, preferred first: those of the domain, then by load.
    pub(crate) fn entries(&self, domain: Option<&DomainName>) -> Vec<Entry> {
        let load = self.in_flight.load(Ordering::Relaxed);
        let domain = domain.unwrap_or(&self.own.domain);
        let mut rng = self.rng();
        order_entries(&lock(&self.swim), Some(domain), load, &mut rng)
    }

    /// A few alternative entries for a caller that this one refused, preferred
    /// first.
    pub(crate) fn other_entries(&self) -> Vec<Entry> {
        /// Maximum number of entries listed in a refusal.
        const MAX_ENTRIES: usize = 3;
        let mut entries = self.entries(None);
        entries.retain(|entry| entry.member != self.own.id);
        entries.truncate(MAX_ENTRIES);
        entries
    }

    /// Names and call addresses of at most `most` other members that are not
    /// gone, at random.
    pub(crate) fn random_peers(&self, most: usize) -> Vec<(MemberId, std::net::SocketAddr)> {
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
