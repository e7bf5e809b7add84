//! What the relay keeps beside the table: the book, the leafs, where they are called,
//! and its part of what all entries share.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use chestnut_book::{RECORD, RouteBook, Rule, Target, Turns};
use chestnut_flow::GateId;
use chestnut_port::Distance;
use chestnut_route::{Adapt, Admission, AdmitConfig, Bounds, Class, Ix, Purse, PurseId, Routes};
use chestnut_unit::{DomainName, LeafId, ServiceName};

use crate::{
    allot::Allotment,
    callers::{Callers, Longest},
    cold::{ColdCalls, ColdLeafs},
    evacuations::Evacuations,
    leafs::Leafs,
    settings::{ExtraCalls, RelaySettings, Times},
};

/// Where a leaf is called.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) leaf: LeafId,
    pub(crate) address: SocketAddr,
    pub(crate) service: ServiceName,
    pub(crate) distance: Distance,
    pub(crate) slots: u32,
}

/// Bytes of a leaf's signature in a merged answer.
const SIGNATURE_BYTES: usize = 36;

/// Connections that a leaf takes from all entries where the book says nothing of its service.
const CONNECTIONS: usize = 8;

/// What is kept for one rule, by its name: it outlives versions of the book.
#[derive(Debug)]
pub(crate) struct RuleState {
    pub(crate) class: Class,
    pub(crate) turns: Turns,
    /// The longest time that its callers gave.
    pub(crate) longest: Longest,
}

/// Where the leafs of what callers ask for are.
#[derive(Clone, Debug, Default)]
pub(crate) struct Homes {
    /// Failure domains with leafs of at least half as many services of the book as the
    /// one with most: the loss of some leafs moves no callers.
    pub(crate) domains: BTreeSet<DomainName>,
    /// Their number.
    pub(crate) leafs: usize,
}

/// What the relay keeps beside the table.
#[derive(Debug)]
pub(crate) struct Ground {
    pub(crate) book: Option<Arc<RouteBook>>,
    pub(crate) leafs: Leafs,
    pub(crate) evacuations: Evacuations,
    pub(crate) cold: ColdLeafs,
    pub(crate) cold_calls: ColdCalls,
    pub(crate) places: BTreeMap<Ix, Place>,
    pub(crate) callers: Callers,
    pub(crate) rules: BTreeMap<String, RuleState>,
    /// Classes of rules that are gone.
    pub(crate) spare: Vec<Class>,
    pub(crate) purses: BTreeMap<ServiceName, PurseId>,
    pub(crate) gates: BTreeMap<Vec<ServiceName>, GateId>,
    pub(crate) routes: BTreeMap<Vec<ServiceName>, Arc<Routes>>,
    /// Where the leafs of what callers ask for are, once worked out.
    pub(crate) homes: Option<Arc<Homes>>,
    pub(crate) allotment: Allotment,
    /// Megabits a second of this entry's link.
    pub(crate) link: f64,
    /// What a reload of the settings changes.
    pub(crate) extra: ExtraCalls,
    pub(crate) times: Times,
}

impl Ground {
    /// Nothing is known yet.
    pub(crate) fn new(settings: &RelaySettings) -> Self {
        let times = settings.times;
        Self {
            book: None,
            leafs: Leafs::new(times.lapse(), times.linger()),
            evacuations: Evacuations::default(),
            cold: ColdLeafs::default(),
            cold_calls: settings.cold,
            places: BTreeMap::new(),
            callers: Callers::default(),
            rules: BTreeMap::new(),
            spare: Vec::new(),
            purses: BTreeMap::new(),
            gates: BTreeMap::new(),
            routes: BTreeMap::new(),
            homes: None,
            allotment: Allotment::unknown(),
            link: settings.entry.link,
            extra: settings.extra,
            times,
        }
    }

    /// Time that the answer to a request of `rule` takes on this entry's link. One over
    /// 90 shards names 90 signatures: 2 ms at 18 Mbit/s.
    pub(crate) fn link_time(&self, rule: &Rule) -> Duration {
        let Target::Gather { shards, top, .. } = &rule.target else {
            return Duration::ZERO;
        };
        let bytes = shards.len() * SIGNATURE_BYTES + top * RECORD;
        Duration::from_secs_f64(bytes as f64 * 8.0 / (self.link * 1e6))
    }

    /// Where the leafs of what callers ask for are.
    pub(crate) fn homes(&mut self) -> Arc<Homes> {
        if let Some(homes) = &self.homes {
            return homes.clone();
        }
        let homes = Arc::new(self.find_homes());
        self.homes = Some(homes.clone());
        homes
    }

    fn find_homes(&self) -> Homes {
        let rules = self.book.iter().flat_map(|book| book.rules());
        let asked: BTreeSet<&ServiceName> = rules.flat_map(|rule| rule.target.services()).collect();
        let mut found: BTreeMap<&DomainName, BTreeSet<&ServiceName>> = BTreeMap::new();
        let mut leafs = 0;
        for (service, domain) in self.leafs.places() {
            if asked.contains(service) && !self.evacuations.covers(domain) {
                found.entry(domain).or_default().insert(service);
                leafs += 1;
            }
        }
        let most = found.values().map(BTreeSet::len).max().unwrap_or(0);
        let homes = found
            .into_iter()
            .filter(|(_, served)| served.len() * 2 >= most);
        let domains = homes.map(|(domain, _)| domain.clone()).collect();
        Homes { domains, leafs }
    }

    /// Connections that may be open from here to a leaf of `service`.
    pub(crate) fn connections(&self, service: &ServiceName) -> usize {
        let rule = self.book.as_ref().and_then(|book| book.service(service));
        let most = rule.map_or(CONNECTIONS, |rule| rule.connections);
        self.allotment.connections(most)
    }

    pub(crate) fn bounds(&self, place: &Place) -> Bounds {
        let connections = self.connections(&place.service);
        Bounds::share(place.slots, self.allotment.carriers, connections)
    }
}

/// The tables that tasks share, under one lock.
pub(crate) type State = chestnut_flow::State<Ground>;

/// Requests of one target that run at once at an entry. It bounds memory; the
/// leafs' own queues decide before it does.
const RUNNING_MAX: u32 = 256;
/// Requests that wait for one of those.
const WAITING_MAX: usize = 64;

/// Sets how many calls may be under way at each leaf.
pub(crate) fn set_bounds(state: &mut State) {
    for (ix, place) in &state.extra.places {
        state.table.set_bounds(*ix, state.extra.bounds(place));
    }
}

/// Sets all budgets by the bound on extra calls and this entry's part of it.
pub(crate) fn set_budgets(state: &mut State) {
    let extra = state.extra.extra;
    let slack = state.extra.allotment.slack(&extra);
    for id in state.extra.purses.values() {
        if let Purse::Joint(budget) = state.table.purse(*id) {
            budget.set_share(extra.share());
            budget.set_slack(slack, extra.window);
        }
    }
}

/// The bound on requests of one target that run at once.
pub(crate) fn gate() -> Admission {
    Admission::new(AdmitConfig {
        initial: RUNNING_MAX,
        queue: WAITING_MAX,
        adapt: Adapt::No,
    })
}
