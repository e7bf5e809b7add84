//! The tables that the tasks of one entry share.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use chestnut_book::{BookVersion, RouteBook};
use chestnut_flow::{Cell, Host, lock};
use chestnut_port::{Distance, Forward, Traffic};
use chestnut_quarantine::{Fingerprint, Ledger};
use chestnut_route::{Choice, Class, Table, TableConfig};
use chestnut_unit::{RequestId, ServiceName, Time};
use slog::info;
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    allot::Allotment,
    cold::cool_all,
    ground::{Ground, Homes, gate, set_bounds, set_budgets},
    metrics::Metrics,
    pass::Passed,
    pulse::Pulse,
    quarantine::Doubt,
    settings::{ExtraCalls, RelaySettings, Times},
    spread::Spread,
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

/// About the length of the pauses that collectors and compactions cause: shorter sends
/// calls into the rest of a pause, longer idles a leaf that has long recovered.
const PAUSE: Duration = Duration::from_millis(250);

/// What the tasks of one entry share.
pub(crate) struct Shared {
    pub(crate) settings: RelaySettings,
    pub(crate) host: Host,
    pub(crate) cell: Arc<Cell<Ground>>,
    pub(crate) forward: Arc<dyn Forward>,
    pub(crate) metrics: Metrics,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) pulse: watch::Sender<Pulse>,
    /// None while the entry asks peers of which none has answered.
    pub(crate) upstream: watch::Sender<Option<Upstream>>,
    pub(crate) passed: Passed,
    /// Which peers failed as upstream.
    pub(crate) upstreams: Mutex<UpstreamChoice>,
    /// Which peers have a newer book.
    pub(crate) spread: Mutex<Spread>,
    /// A peer told of a newer book.
    pub(crate) newer: Notify,
    /// The version of the book in force; 0 if there is none.
    pub(crate) version: watch::Sender<BookVersion>,
    /// Leafs have become cold, or what bounds them has changed.
    pub(crate) cooled: Notify,
    /// The upstream may have to change.
    pub(crate) choose: Notify,
    /// What is known against requests.
    pub(crate) ledger: Mutex<Ledger>,
    /// The ledger has news to tell.
    pub(crate) struck: Notify,
    /// Where tries go that have to be looked into.
    pub(crate) doubts: mpsc::Sender<Doubt>,
    /// Where requests go whose record in the store has to change.
    pub(crate) verdicts: mpsc::Sender<Fingerprint>,
    pub(crate) in_flight: AtomicU32,
    /// Calls to leafs so far.
    pub(crate) calls: AtomicU64,
    requests: AtomicU64,
}

impl Shared {
    pub(crate) fn new(
        settings: RelaySettings,
        host: Host,
        forward: Arc<dyn Forward>,
        traffic: Arc<Traffic>,
        doubts: mpsc::Sender<Doubt>,
        verdicts: mpsc::Sender<Fingerprint>,
    ) -> Self {
        let config = TableConfig {
            choice: Choice::Predicted,
            stall: PAUSE,
            ..TableConfig::default()
        };
        let ground = Ground::new(&settings);
        let name = ServiceName::new("relay").expect("a legal name");
        let cell = Cell::new(name, Table::new(config), gate(), ground);
        Self {
            settings,
            host,
            cell: Arc::new(cell),
            forward,
            metrics: Metrics::new(),
            traffic,
            phase: watch::Sender::new(Phase::Starting),
            pulse: watch::Sender::new(Pulse::default()),
            upstream: watch::Sender::new(None),
            passed: Passed::new(),
            upstreams: Mutex::default(),
            spread: Mutex::default(),
            newer: Notify::new(),
            version: watch::Sender::new(BookVersion(0)),
            cooled: Notify::new(),
            choose: Notify::new(),
            ledger: Mutex::default(),
            struck: Notify::new(),
            doubts,
            verdicts,
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

    /// The version of the book in force; 0 if there is none.
    pub(crate) fn book_version(&self) -> BookVersion {
        *self.version.borrow()
    }

    /// Takes it that a peer has `version` of the book in force.
    pub(crate) fn hear_version(&self, peer: SocketAddr, version: BookVersion, from: Distance) {
        let now = self.now();
        let mut spread = lock(&self.spread);
        let news = spread.told(peer, version, from, now);
        let behind = spread.behind(now);
        self.metrics.set_behind(behind);
        drop(spread);
        if news {
            info!(self.host.log, "watch: a peer has a newer book"; "peer" => %peer, "book" => %version);
        }
        // Also if the version is no news: a near peer that has it is asked at once, and
        // before it a far one may have told of it.
        if behind.is_some() {
            self.newer.notify_one();
        }
    }

    /// Takes a book, unless a newer one is known. Tells whether it did.
    pub(crate) fn take_book(&self, mut book: RouteBook, from: Upstream) -> bool {
        let (now, version) = (self.now(), book.version);
        if from == Upstream::Store {
            let held = lock(&self.cell.state).extra.book.clone();
            if let Some(held) = held {
                book.share(&held);
            }
        }
        let mut state = lock(&self.cell.state);
        let known = state.extra.book.as_ref().map(|book| book.version);
        if known.is_some_and(|known| known >= version) {
            return false;
        }
        keep_rules(&mut state.extra, &book);
        let rules = book.rules().count();
        let book = Arc::new(book);
        state.extra.book = Some(book.clone());
        state.extra.homes = None;
        set_bounds(&mut state);
        cool_all(&mut state, now);
        lock(&self.passed.books).put(book);
        drop(state);
        self.metrics.book.set(version.0 as i64);
        let mut spread = lock(&self.spread);
        let behind = spread.taken(version, now).unwrap_or_default();
        self.metrics.set_behind(spread.behind(now));
        drop(spread);
        info!(self.host.log, "watch: book {version} is in force"; "rules" => rules, "from" => %from,
            "behind_ms" => behind.as_millis() as u64);
        self.version.send_replace(version);
        self.cooled.notify_one();
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

    /// Where the leafs of what callers ask for are.
    pub(crate) fn homes(&self) -> Arc<Homes> {
        lock(&self.cell.state).extra.homes()
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

/// Keeps what is known of the rules that `book` names, and frees the classes of the
/// others.
fn keep_rules(ground: &mut Ground, book: &RouteBook) {
    let named: BTreeSet<&String> = book.rules().map(|rule| &rule.name).collect();
    ground.rules.retain(|name, kept| {
        let stays = named.contains(name);
        if !stays && kept.class != Class::default() {
            ground.spare.push(kept.class);
        }
        stays
    });
}
