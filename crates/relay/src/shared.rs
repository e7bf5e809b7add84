//! The tables that the tasks of one entry share.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use chestnut_book::{RouteBook, Rule, Target, Turns};
use chestnut_flow::{Cell, GateId, Host, lock};
use chestnut_port::Forward;
use chestnut_route::{
    Adapt, Admission, AdmitConfig, Backend, Bounds, Budget, Choice, Class, Ix, Prospect, Purse,
    PurseId, Route, Routes, Table, TableConfig,
};
use chestnut_unit::{IndexVersion, LeafId, RequestId, ServiceName, ShardName, Snapshot, Time};
use slog::info;
use tokio::sync::{Notify, watch};

use crate::{
    allot::Allotment,
    callers::{Callers, Longest},
    leafs::{LeafEntry, Leafs, Moved},
    metrics::Metrics,
    pass::Passed,
    pulse::Pulse,
    settings::{ExtraCalls, RelaySettings, Times},
    upstream::{Upstream, UpstreamChoice},
};

/// Where an entry is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It has no book, or no list of leafs, yet.
    Starting,
    /// It serves.
    Serving,
    /// It serves callers that still have its address, and takes no others.
    Leaving,
}

/// Where a leaf is called.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) leaf: LeafId,
    pub(crate) address: SocketAddr,
    pub(crate) service: ServiceName,
    slots: u32,
}

/// Connections that a leaf takes from all entries where the book says nothing of its service.
const CONNECTIONS: usize = 8;

impl Ground {
    /// Connections that may be open from here to a leaf of `service`.
    pub(crate) fn connections(&self, service: &ServiceName) -> usize {
        let rule = self.book.as_ref().and_then(|book| book.service(service));
        let most = rule.map_or(CONNECTIONS, |rule| rule.connections);
        self.allotment.connections(most)
    }

    fn bounds(&self, place: &Place) -> Bounds {
        let connections = self.connections(&place.service);
        Bounds::share(place.slots, self.allotment.carriers, connections)
    }
}

/// What is kept for one rule, by its name: it outlives versions of the book.
#[derive(Debug)]
pub(crate) struct RuleState {
    pub(crate) class: Class,
    pub(crate) turns: Turns,
    /// The longest time that its callers gave.
    longest: Longest,
}

/// What the relay keeps beside the table.
#[derive(Debug)]
pub(crate) struct Ground {
    pub(crate) book: Option<Arc<RouteBook>>,
    pub(crate) leafs: Leafs,
    pub(crate) places: BTreeMap<Ix, Place>,
    callers: Callers,
    rules: BTreeMap<String, RuleState>,
    /// Classes of rules that are gone.
    spare: Vec<Class>,
    purses: BTreeMap<ServiceName, PurseId>,
    gates: BTreeMap<Vec<ServiceName>, GateId>,
    routes: BTreeMap<Vec<ServiceName>, Arc<Routes>>,
    pub(crate) allotment: Allotment,
    /// What a reload of the settings changes.
    pub(crate) extra: ExtraCalls,
    pub(crate) times: Times,
}

pub(crate) type State = chestnut_flow::State<Ground>;

/// Rules that have a class of calls of their own. More share the first one: a
/// class costs some 30 KB, and an entry has 256 MB for everything. Those of rules
/// that are gone are used again, or a day of 5,200 edits would use them up.
const CLASSES_MAX: usize = 64;
/// About the length of the pauses that collectors and compactions cause (250 ms
/// on the users' leafs): shorter sends calls into the rest of a pause, longer
/// idles a leaf that has long recovered.
const PAUSE: Duration = Duration::from_millis(250);
/// Requests of one target that run at once at an entry. It bounds memory; the
/// leafs' own queues decide before it does.
const RUNNING_MAX: u32 = 256;
/// Requests that wait for one of those.
const WAITING_MAX: usize = 64;

/// What the tasks of one entry share.
pub(crate) struct Shared {
    pub(crate) settings: RelaySettings,
    pub(crate) host: Host,
    pub(crate) cell: Arc<Cell<Ground>>,
    pub(crate) forward: Arc<dyn Forward>,
    pub(crate) metrics: Metrics,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) pulse: watch::Sender<Pulse>,
    pub(crate) upstream: watch::Sender<Upstream>,
    pub(crate) passed: Passed,
    /// Which peers failed as upstream.
    pub(crate) upstreams: Mutex<UpstreamChoice>,
    /// The upstream may have to change.
    pub(crate) choose: Notify,
    pub(crate) in_flight: AtomicU32,
    /// Calls to leafs so far.
    pub(crate) calls: AtomicU64,
    requests: AtomicU64,
}

impl Shared {
    pub(crate) fn new(settings: RelaySettings, host: Host, forward: Arc<dyn Forward>) -> Self {
        let config = TableConfig {
            choice: Choice::Predicted,
            stall: PAUSE,
            ..TableConfig::default()
        };
        let ground = Ground {
            book: None,
            leafs: Leafs::new(settings.times.lapse(), settings.times.linger()),
            places: BTreeMap::new(),
            callers: Callers::default(),
            rules: BTreeMap::new(),
            spare: Vec::new(),
            purses: BTreeMap::new(),
            gates: BTreeMap::new(),
            routes: BTreeMap::new(),
            allotment: Allotment::unknown(),
            extra: settings.extra,
            times: settings.times,
        };
        let name = ServiceName::new("relay").expect("a legal name");
        let cell = Cell::new(name, Table::new(config), gate(), ground);
        Self {
            settings,
            host,
            cell: Arc::new(cell),
            forward,
            metrics: Metrics::new(),
            phase: watch::Sender::new(Phase::Starting),
            pulse: watch::Sender::new(Pulse::default()),
            upstream: watch::Sender::new(Upstream::Store),
            passed: Passed::new(),
            upstreams: Mutex::default(),
            choose: Notify::new(),
            in_flight: AtomicU32::new(0),
            calls: AtomicU64::new(0),
            requests: AtomicU64::new(1),
        }
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

    /// Takes it that a peer failed as upstream.
    pub(crate) fn failed(&self, peer: SocketAddr) {
        let now = self.now();
        lock(&self.upstreams).failed(peer, now.since(Time::ZERO), now);
        self.choose.notify_one();
    }

    /// Takes a book, unless a newer one is known.
    pub(crate) fn take_book(&self, book: RouteBook) -> bool {
        let mut state = lock(&self.cell.state);
        let known = state.extra.book.as_ref().map(|book| book.version);
        if known.is_some_and(|known| known >= book.version) {
            return false;
        }
        let named: BTreeSet<&String> = book.rules().map(|rule| &rule.name).collect();
        let ground = &mut state.extra;
        ground.rules.retain(|name, kept| {
            let stays = named.contains(name);
            if !stays && kept.class != Class::default() {
                ground.spare.push(kept.class);
            }
            stays
        });
        ground.book = Some(Arc::new(book));
        set_bounds(&mut state);
        true
    }

    /// Puts settings in force that may change while the entry runs.
    pub(crate) fn reload(&self, extra: ExtraCalls, times: Times) {
        let mut state = lock(&self.cell.state);
        let state = &mut *state;
        state.extra.extra = extra;
        state.extra.times = times;
        state.extra.leafs.set_spans(times.lapse(), times.linger());
        set_budgets(state);
    }

    /// Sets what this entry may use of what all share.
    pub(crate) fn allot(&self, allotment: Allotment) {
        let mut state = lock(&self.cell.state);
        let state = &mut *state;
        if state.extra.allotment == allotment {
            return;
        }
        state.extra.allotment = allotment;
        set_budgets(state);
        set_bounds(state);
        info!(self.host.log, "fleet: {} carriers, {} others", allotment.carriers, allotment.others;
            "this" => format!("{:?}", allotment.part));
    }
}

/// Sets how many calls may be under way at each leaf.
fn set_bounds(state: &mut State) {
    for (ix, place) in &state.extra.places {
        state.table.set_bounds(*ix, state.extra.bounds(place));
    }
}

/// Sets all budgets by the bound on extra calls and this entry's part of it.
fn set_budgets(state: &mut State) {
    let extra = state.extra.extra;
    let slack = state.extra.allotment.slack(&extra);
    for id in state.extra.purses.values() {
        if let Purse::Joint(budget) = state.table.purse(*id) {
            budget.set_share(extra.share());
            budget.set_slack(slack, extra.window);
        }
    }
}

fn gate() -> Admission {
    Admission::new(AdmitConfig {
        initial: RUNNING_MAX,
        queue: WAITING_MAX,
        adapt: Adapt::No,
    })
}

/// Takes changes of the leafs into the table.
pub(crate) fn take_moves(state: &mut State, moves: &[Moved], own: &RelaySettings, now: Time) {
    for moved in moves {
        match moved {
            Moved::Came(id, entry) => {
                // A leaf that was there before this entry is not a cold one.
                let since = match entry.warmup.is_zero() {
                    true => Time::ZERO,
                    false => now,
                };
                came(state, id, entry, own, since, now);
            }
            Moved::Reborn(id, entry) => reborn(state, id, entry, own, now),
            Moved::Outdated(_) => {}
            Moved::Leaves(id) | Moved::Missing(id) => set_doubt(state, id, true),
            Moved::Closed(id) => set_leaving(state, id, now),
            Moved::Gone(id) => gone(state, id, now),
        }
    }
    if !moves.is_empty() {
        state.extra.routes.clear();
    }
}

/// Takes a leaf that started at `since`.
fn came(
    state: &mut State,
    id: &LeafId,
    entry: &LeafEntry,
    own: &RelaySettings,
    since: Time,
    now: Time,
) {
    let ix = state
        .table
        .add(Backend::Leaf(id.clone()), entry.slots, since);
    // It may have been taken for gone while its entry was missing.
    state.table.set_leaving(ix, false, now);
    state.table.set_far(ix, entry.domain != own.entry.domain);
    let place = Place {
        leaf: id.clone(),
        address: entry.address,
        service: entry.service.clone(),
        slots: entry.slots,
    };
    state.table.set_bounds(ix, state.extra.bounds(&place));
    state.extra.places.insert(ix, place);
    set_doubt(state, id, false);
}

fn gone(state: &mut State, id: &LeafId, now: Time) {
    set_leaving(state, id, now);
    if let Some(ix) = state.table.find(&Backend::Leaf(id.clone())) {
        state.extra.places.remove(&ix);
    }
}

/// Takes a new life of a leaf: calls to the old one end as they end, and say
/// nothing of the new one.
fn reborn(state: &mut State, id: &LeafId, entry: &LeafEntry, own: &RelaySettings, now: Time) {
    gone(state, id, now);
    state.table.renew(&Backend::Leaf(id.clone()));
    came(state, id, entry, own, now, now);
}

fn set_leaving(state: &mut State, id: &LeafId, now: Time) {
    if let Some(ix) = state.table.find(&Backend::Leaf(id.clone())) {
        state.table.set_leaving(ix, true, now);
    }
}

fn set_doubt(state: &mut State, id: &LeafId, doubted: bool) {
    if let Some(ix) = state.table.find(&Backend::Leaf(id.clone())) {
        state.table.set_doubt(ix, doubted);
    }
}

/// What a request needs of the tables to run.
pub(crate) struct Plan {
    pub(crate) routes: Arc<Routes>,
    pub(crate) gate: GateId,
    pub(crate) class: Class,
    /// Time from the request's arrival to when its answer must go out to come by
    /// the goal.
    pub(crate) ahead: Duration,
    pub(crate) prospect: Prospect,
}

/// Finds where a request of `rule` goes now, whose caller gives `left`.
pub(crate) fn plan(
    state: &mut State,
    rule: &Rule,
    left: Option<Duration>,
    draw: u64,
    now: Time,
) -> Plan {
    let class = class_of(state, rule);
    state.table.set_goal(class, rule.goal);
    let (ahead, prospect) = time_ahead(state, rule, class, left, now);
    let services = match &rule.target {
        Target::One(service) => vec![service.clone()],
        Target::Split(parts) => vec![turn(state, rule, parts, draw)],
        Target::Gather { shards, .. } => shards.clone(),
    };
    let routes = match state.extra.routes.get(&services) {
        Some(routes) => routes.clone(),
        None => {
            let routes = Arc::new(find_routes(state, &services));
            state.extra.routes.insert(services.clone(), routes.clone());
            routes
        }
    };
    let gate = match state.extra.gates.get(&services) {
        Some(gate) => *gate,
        None => {
            let id = state.add_gate(gate());
            state.extra.gates.insert(services, id);
            id
        }
    };
    Plan {
        routes,
        gate,
        class,
        ahead,
        prospect,
    }
}

/// How long the answer may take to come by the goal, and whether it can. One that
/// can't is given the goal's time once more: it is late in any case, and the
/// more of it is in the better.
fn time_ahead(
    state: &mut State,
    rule: &Rule,
    class: Class,
    left: Option<Duration>,
    now: Time,
) -> (Duration, Prospect) {
    let usual = state.table.profile(class).calls.median();
    let ground = &mut state.extra;
    let Some(kept) = ground.rules.get_mut(&rule.name) else {
        return (rule.goal, Prospect::InTime);
    };
    let away = ground.callers.away(&mut kept.longest, left, now);
    let ahead = rule.goal.saturating_sub(away);
    match ahead > usual {
        true => (ahead, Prospect::InTime),
        false => (rule.goal, Prospect::Late),
    }
}

fn class_of(state: &mut State, rule: &Rule) -> Class {
    if let Some(known) = state.extra.rules.get(&rule.name) {
        return known.class;
    }
    let class = match state.extra.spare.pop() {
        Some(class) => {
            state.table.reset_class(class);
            class
        }
        None if state.table.classes() < CLASSES_MAX => state.table.add_class(),
        None => Class::default(),
    };
    let turns = Turns::default();
    let kept = RuleState {
        class,
        turns,
        longest: Longest::default(),
    };
    state.extra.rules.insert(rule.name.clone(), kept);
    class
}

fn turn(state: &mut State, rule: &Rule, parts: &[(ServiceName, u32)], draw: u64) -> ServiceName {
    let weights: Vec<u32> = parts.iter().map(|(_, weight)| *weight).collect();
    let kept = state.extra.rules.get_mut(&rule.name);
    let at = kept.and_then(|kept| kept.turns.next(&weights, draw));
    parts[at.unwrap_or(0)].0.clone()
}

fn find_routes(state: &mut State, services: &[ServiceName]) -> Routes {
    let shards = services
        .iter()
        .map(|service| Route {
            name: ShardName::new(service.as_str()).expect("the same characters are legal"),
            replicas: replicas(state, service),
            purse: purse_of(state, service),
        })
        .collect();
    Routes {
        snapshot: Snapshot {
            service: services[0].clone(),
            version: IndexVersion(0),
        },
        shards,
    }
}

fn replicas(state: &State, service: &ServiceName) -> Vec<Ix> {
    state
        .extra
        .leafs
        .of(service)
        .filter_map(|(id, _)| state.table.find(&Backend::Leaf(id.clone())))
        .collect()
}

fn purse_of(state: &mut State, service: &ServiceName) -> PurseId {
    if let Some(id) = state.extra.purses.get(service) {
        return *id;
    }
    let extra = state.extra.extra;
    let mut budget = Budget::empty(extra.share(), 1);
    budget.set_slack(state.extra.allotment.slack(&extra), extra.window);
    let id = state.table.add_purse(Purse::Joint(budget));
    state.extra.purses.insert(service.clone(), id);
    id
}
