//! The relay state that is kept beside the routing table: the book, the leafs and their
//! endpoints, and this entry's quota.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use chestnut_book::{RECORD_BYTES, RoundRobin, RouteBook, Rule, Target};
use chestnut_flow::QueueId;
use chestnut_port::Distance;
use chestnut_route::{
    Admission, AdmitConfig, Bounds, BudgetId, Class, ExtraBudget, Ix, LimitMode, Routes, TurnBook,
};
use chestnut_unit::{DomainName, LeafId, ServiceName};

use crate::{
    callers::{CallerDelays, MaxRemaining, ReturnDetection},
    cold::{ColdLeafs, ColdLimits},
    evacuations::Evacuations,
    leafs::Leafs,
    quota::Quota,
    settings::{ExtraCalls, KeyChecks, OverloadSettings, RelaySettings, Times},
};

/// A leaf in the routing table: id, address, service, distance and number of slots.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    /// The leaf's id.
    pub(crate) leaf: LeafId,
    /// The address that calls go to.
    pub(crate) address: SocketAddr,
    /// The service that the leaf runs.
    pub(crate) service: ServiceName,
    /// Local if the leaf is in this entry's failure domain, remote otherwise.
    pub(crate) distance: Distance,
    /// Requests that the leaf runs at once.
    pub(crate) slots: u32,
}

/// Size of a leaf's signature in a merged answer, in bytes.
const SIGNATURE_BYTES: usize = 36;

/// Connections that a leaf accepts from all entries together if the book does not list its
/// service.
const DEFAULT_CONNECTIONS: usize = 8;

/// What is kept of one rule, by its name, across versions of the book: its call class, its
/// position in the weighted round robin, and the greatest remaining time of its callers.
#[derive(Debug)]
pub(crate) struct RuleState {
    /// The class of calls whose statistics the rule uses.
    pub(crate) class: Class,
    /// The weighted round-robin position of a rule that splits traffic.
    pub(crate) round_robin: RoundRobin,
    /// The greatest remaining time that the rule's callers sent recently.
    pub(crate) max_remaining: MaxRemaining,
}

/// The failure domains and the number of the leafs that the book's rules use: those
/// registered as ready, outside evacuated domains.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeafDomains {
    /// Failure domains whose leafs cover at least half as many of these services as the
    /// best domain; the margin keeps the loss of some leafs from moving callers.
    pub(crate) domains: BTreeSet<DomainName>,
    /// Number of those leafs, in all failure domains.
    pub(crate) leaf_count: usize,
}

/// The relay state, kept beside the routing table under the same lock.
#[derive(Debug)]
pub(crate) struct RelayState {
    /// The book in force; none before the first.
    pub(crate) book: Option<Arc<RouteBook>>,
    /// The known leafs, from their registrations.
    pub(crate) leafs: Leafs,
    /// The evacuated failure domains.
    pub(crate) evacuations: Evacuations,
    /// The rate-limited cold leafs, and the lease to call them.
    pub(crate) cold: ColdLeafs,
    /// Adjustment of the rate limit of cold leafs, from the settings.
    pub(crate) cold_limits: ColdLimits,
    /// The endpoints of the leafs, by their index in the table; removed leafs have none.
    pub(crate) endpoints: BTreeMap<Ix, Endpoint>,
    /// Estimates of the time that requests spend outside this entry.
    pub(crate) caller_delays: CallerDelays,
    /// The class, round robin and greatest remaining time of each rule, by its name.
    pub(crate) rules: BTreeMap<String, RuleState>,
    /// Classes of removed rules, free for reuse.
    pub(crate) free_classes: Vec<Class>,
    /// The extra-call budget of each service.
    pub(crate) budgets: BTreeMap<ServiceName, BudgetId>,
    /// The admission queue of each list of services that a rule calls.
    pub(crate) queues: BTreeMap<Vec<ServiceName>, QueueId>,
    /// Service rates and return times of each list of services, which its admission queue
    /// identifies; empty unless scheduling under overload is enabled.
    pub(crate) turns: TurnBook<QueueId>,
    /// Cached routes of each list of services; cleared when leafs change, unless they only
    /// became cold.
    pub(crate) routes: BTreeMap<Vec<ServiceName>, Arc<Routes>>,
    /// Cached failure domains of the leafs; none until they are computed.
    pub(crate) leaf_domains: Option<Arc<LeafDomains>>,
    /// This entry's quota of the resources that all entries share.
    pub(crate) quota: Quota,
    /// Bandwidth of this entry's link, in megabits per second.
    pub(crate) link: f64,
    /// How keys of organisations are checked, reloadable.
    pub(crate) keys: KeyChecks,
    /// The bound on extra calls, reloadable.
    pub(crate) extra: ExtraCalls,
    /// The configured durations, reloadable.
    pub(crate) times: Times,
    /// Scheduling while leafs lack capacity, fixed at the start.
    pub(crate) overload: OverloadSettings,
}

impl RelayState {
    /// Creates the state of an entry that has received no book, leafs or evacuations, with the
    /// limits and times of `settings` and the initial quota.
    pub(crate) fn new(settings: &RelaySettings) -> Self {
        let times = settings.times;
        Self {
            book: None,
            leafs: Leafs::new(times.missing_leaf_grace(), times.draining_leaf_grace()),
            evacuations: Evacuations::default(),
            cold: ColdLeafs::default(),
            cold_limits: settings.cold,
            endpoints: BTreeMap::new(),
            caller_delays: CallerDelays::default(),
            rules: BTreeMap::new(),
            free_classes: Vec::new(),
            budgets: BTreeMap::new(),
            queues: BTreeMap::new(),
            turns: TurnBook::default(),
            routes: BTreeMap::new(),
            leaf_domains: None,
            quota: Quota::initial(),
            link: settings.entry.link,
            keys: settings.keys,
            extra: settings.extra,
            times,
            overload: settings.overload,
        }
    }

    /// Returns whether returning callers are told from others: only where scheduling under
    /// overload is enabled.
    pub(crate) fn return_detection(&self) -> ReturnDetection {
        match self.overload.enabled {
            true => ReturnDetection::On,
            false => ReturnDetection::Off,
        }
    }

    /// Returns the transmission delay of the largest answer to `rule` on this entry's link:
    /// a signature per shard and the records of a gather; zero for other targets.
    pub(crate) fn transmission_delay(&self, rule: &Rule) -> Duration {
        let Target::Gather { shards, top, .. } = &rule.target else {
            return Duration::ZERO;
        };
        let bytes = shards.len() * SIGNATURE_BYTES + top * RECORD_BYTES;
        Duration::from_secs_f64(bytes as f64 * 8.0 / (self.link * 1e6))
    }

    /// Returns the failure domains of the leafs that the book's rules use. The result is
    /// cached until the book, the leafs or the evacuations change.
    pub(crate) fn leaf_domains(&mut self) -> Arc<LeafDomains> {
        if let Some(leaf_domains) = &self.leaf_domains {
            return leaf_domains.clone();
        }
        let leaf_domains = Arc::new(self.find_leaf_domains());
        self.leaf_domains = Some(leaf_domains.clone());
        leaf_domains
    }

    /// Computes [`LeafDomains`] from the book, the leafs and the evacuations; empty without a
    /// book.
    fn find_leaf_domains(&self) -> LeafDomains {
        let rules = self.book.iter().flat_map(|book| book.rules());
        let services: BTreeSet<&ServiceName> =
            rules.flat_map(|rule| rule.target.services()).collect();
        let mut services_by_domain: BTreeMap<&DomainName, BTreeSet<&ServiceName>> = BTreeMap::new();
        let mut leaf_count = 0;
        for (service, domain) in self.leafs.ready_leafs() {
            if services.contains(service) && !self.evacuations.covers(domain) {
                services_by_domain
                    .entry(domain)
                    .or_default()
                    .insert(service);
                leaf_count += 1;
            }
        }
        let most = services_by_domain
            .values()
            .map(BTreeSet::len)
            .max()
            .unwrap_or(0);
        let leaf_domains = services_by_domain
            .into_iter()
            .filter(|(_, served)| served.len() * 2 >= most);
        let domains = leaf_domains.map(|(domain, _)| domain.clone()).collect();
        LeafDomains {
            domains,
            leaf_count,
        }
    }

    /// Returns how many connections this entry may open to a leaf of `service`: its quota of
    /// the book's limit, or of [`DEFAULT_CONNECTIONS`]; at least one.
    pub(crate) fn connections(&self, service: &ServiceName) -> usize {
        let rule = self.book.as_ref().and_then(|book| book.service(service));
        let most = rule.map_or(DEFAULT_CONNECTIONS, |rule| rule.connections);
        self.quota.connections(most)
    }

    /// Returns this entry's bounds on concurrent calls to a leaf, from the leaf's slots, the
    /// number of serving entries and the connections that this entry may open.
    pub(crate) fn bounds(&self, endpoint: &Endpoint) -> Bounds {
        let connections = self.connections(&endpoint.service);
        Bounds::share(endpoint.slots, self.quota.serving, connections)
    }
}

/// The routing table and the relay state, which tasks share under one lock.
pub(crate) type State = chestnut_flow::CellState<RelayState>;

/// Concurrent requests of one admission queue, that is of one list of services. It bounds
/// memory; the leafs' own queues limit concurrency first.
const MAX_CONCURRENT_REQUESTS: u32 = 256;
/// Requests that may wait in one admission queue.
const MAX_QUEUED_REQUESTS: usize = 64;

/// Recomputes the bounds on concurrent calls of all leafs, after a change of the book or of
/// this entry's quota.
pub(crate) fn set_bounds(state: &mut State) {
    for (ix, endpoint) in &state.extra.endpoints {
        state.table.set_bounds(*ix, state.extra.bounds(endpoint));
    }
}

/// Updates the ratio, slack and window of all extra-call budgets to the settings and this
/// entry's quota.
pub(crate) fn set_budgets(state: &mut State) {
    let extra = state.extra.extra;
    let slack = state.extra.quota.slack(&extra);
    for id in state.extra.budgets.values() {
        if let ExtraBudget::Joint(budget) = state.table.budget_mut(*id) {
            budget.set_share(extra.ratio());
            budget.set_quota(slack, extra.window);
        }
    }
}

/// Creates an admission queue with a fixed concurrency limit, for one list of services.
pub(crate) fn admission_queue() -> Admission {
    Admission::new(AdmitConfig {
        initial_limit: MAX_CONCURRENT_REQUESTS,
        queue_capacity: MAX_QUEUED_REQUESTS,
        limit_mode: LimitMode::Fixed,
    })
}
