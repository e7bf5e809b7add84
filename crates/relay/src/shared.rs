//! The state that the tasks of one entry share.

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
use chestnut_flow::{Cell, Runtime, lock};
use chestnut_port::{Distance, Forward, Memory, Traffic};
use chestnut_quarantine::{Fingerprint, SuspectLedger};
use chestnut_route::{Choice, Class, Table, TableConfig};
use chestnut_unit::{RequestId, ServiceName, Time};
use slog::info;
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    cold::refresh_cold,
    feed_server::FeedCopies,
    limits::OrgLimits,
    metrics::Metrics,
    propagation::BookPropagation,
    quarantine::SuspectAttempt,
    quota::Quota,
    settings::RelaySettings,
    state::{LeafDomains, RelayState, admission_queue, set_bounds, set_budgets},
    store_status::StoreStatus,
    upstream::{Upstream, UpstreamSelector},
};

/// The lifecycle phase of an entry: starting, serving or leaving, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The entry lacks the book, the leafs or the list of evacuated domains; it declines
    /// requests.
    Starting,
    /// The entry serves callers.
    Serving,
    /// The entry serves callers that still have its address, and is not offered to others.
    Leaving,
}

/// Cooldown of a leaf that stalls with a late call, about the length of a garbage collection
/// or compaction: shorter sends calls into the stall, longer idles a recovered leaf.
const STALL_COOLDOWN: Duration = Duration::from_millis(250);

/// What the tasks of one entry share: settings, ports, the routing table with the relay state,
/// the upstream and feed copies, the quarantine ledger, metrics and notifications.
pub(crate) struct Shared {
    /// The settings that the entry started with.
    pub(crate) settings: RelaySettings,
    /// Clock, log and random numbers.
    pub(crate) runtime: Runtime,
    /// The routing table and the relay state, under one lock.
    pub(crate) cell: Arc<Cell<RelayState>>,
    /// The port for calls to leafs.
    pub(crate) forward: Arc<dyn Forward>,
    /// The entry's metrics.
    pub(crate) metrics: Metrics,
    /// Byte counts of all ports.
    pub(crate) traffic: Arc<Traffic>,
    /// Memory for what callers make the entry hold.
    pub(crate) memory: Memory,
    /// The lifecycle phase.
    pub(crate) phase: watch::Sender<Phase>,
    /// Whether the store is lost and its greatest revision, from the revision polls.
    pub(crate) store_status: watch::Sender<StoreStatus>,
    /// The current upstream; none while this entry polls peers for one that answers.
    pub(crate) upstream: watch::Sender<Option<Upstream>>,
    /// The book, leafs and evacuations that this entry passes on to its followers.
    pub(crate) feed_copies: FeedCopies,
    /// The choice of the upstream, and the peers that failed as one.
    pub(crate) upstream_selector: Mutex<UpstreamSelector>,
    /// The peers that have a newer book.
    pub(crate) propagation: Mutex<BookPropagation>,
    /// Notified when a peer has reported a newer book.
    pub(crate) newer_book: Notify,
    /// The version of the book in force; 0 if there is none.
    pub(crate) version: watch::Sender<BookVersion>,
    /// Notified when leafs become cold, or their rate limits or the evacuations change.
    pub(crate) cold_changed: Notify,
    /// Notified when the upstream has to be chosen again.
    pub(crate) upstream_changed: Notify,
    /// The crash records of suspect requests.
    pub(crate) ledger: Mutex<SuspectLedger>,
    /// Notified when the ledger has updates to send.
    pub(crate) ledger_changed: Notify,
    /// Queue of attempts without an answer whose lost leafs are to be checked for crashes.
    pub(crate) suspect_attempts: mpsc::Sender<SuspectAttempt>,
    /// Queue of requests whose record in the store has to be updated.
    pub(crate) record_updates: mpsc::Sender<Fingerprint>,
    /// The limits of organisations.
    pub(crate) limits: OrgLimits,
    /// Requests that run now.
    pub(crate) in_flight: AtomicU32,
    /// Total number of calls to leafs.
    pub(crate) calls: AtomicU64,
    /// The next request id.
    requests: AtomicU64,
}

impl Shared {
    /// Creates the state of an entry that starts, with no book, leafs or upstream. The senders
    /// feed the queues of the quarantine and of its records.
    pub(crate) fn new(
        settings: RelaySettings,
        runtime: Runtime,
        forward: Arc<dyn Forward>,
        (traffic, memory): (Arc<Traffic>, Memory),
        suspect_attempts: mpsc::Sender<SuspectAttempt>,
        record_updates: mpsc::Sender<Fingerprint>,
    ) -> Self {
        let config = TableConfig {
            choice: Choice::Predicted,
            stall_backoff: STALL_COOLDOWN,
            ..TableConfig::default()
        };
        let relay_state = RelayState::new(&settings);
        let name = ServiceName::new("relay").expect("a legal name");
        let cell = Cell::new(name, Table::new(config), admission_queue(), relay_state);
        Self {
            limits: OrgLimits::new(settings.limits, settings.listen.peers, &settings.seeds),
            settings,
            runtime,
            cell: Arc::new(cell),
            forward,
            metrics: Metrics::new(),
            traffic,
            memory,
            phase: watch::Sender::new(Phase::Starting),
            store_status: watch::Sender::new(StoreStatus::default()),
            upstream: watch::Sender::new(None),
            feed_copies: FeedCopies::new(),
            upstream_selector: Mutex::default(),
            propagation: Mutex::default(),
            newer_book: Notify::new(),
            version: watch::Sender::new(BookVersion(0)),
            cold_changed: Notify::new(),
            upstream_changed: Notify::new(),
            ledger: Mutex::default(),
            ledger_changed: Notify::new(),
            suspect_attempts,
            record_updates,
            in_flight: AtomicU32::new(0),
            calls: AtomicU64::new(0),
            requests: AtomicU64::new(1),
        }
    }

    /// Returns the current time of the runtime's monotonic clock, from the start of the entry.
    pub(crate) fn now(&self) -> Time {
        self.runtime.now()
    }

    /// Returns the lifecycle phase.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns a new request id, unique in this entry; counted from 1.
    pub(crate) fn next_request(&self) -> RequestId {
        RequestId(self.requests.fetch_add(1, Ordering::Relaxed))
    }

    /// Records that a peer failed as upstream, which starts its backoff, and has the upstream
    /// chosen again.
    pub(crate) fn failed(&self, peer: SocketAddr) {
        let now = self.now();
        lock(&self.upstream_selector).failed(peer, now.since(Time::ZERO), now);
        self.upstream_changed.notify_one();
    }

    /// Returns the version of the book in force; 0 if there is none.
    pub(crate) fn book_version(&self) -> BookVersion {
        *self.version.borrow()
    }

    /// Records the version of the book that a peer at distance `from` has in force, and sets
    /// the lag metric. If a newer version is known, it wakes the task that fetches books.
    pub(crate) fn record_peer_version(
        &self,
        peer: SocketAddr,
        version: BookVersion,
        from: Distance,
    ) {
        let now = self.now();
        let mut propagation = lock(&self.propagation);
        let is_newer = propagation.reported(peer, version, from, now);
        let lag = propagation.lag(now);
        self.metrics.set_book_behind(lag);
        drop(propagation);
        if is_newer {
            info!(self.runtime.log, "watch: a peer has a newer book"; "peer" => %peer, "book" => %version);
        }
        // Also if the version was known: a remote peer may have reported it first, and a
        // local peer can be asked at once.
        if lag.is_some() {
            self.newer_book.notify_one();
        }
    }

    /// Puts a book read at `from` in force if it is newer than the one in force; returns
    /// whether it is. Drops what is kept of rules that it lacks, updates connection bounds and
    /// cold limits, passes the book on to followers, and notifies tasks of its version.
    pub(crate) fn install_book(&self, mut book: RouteBook, from: Upstream) -> bool {
        let (now, version) = (self.now(), book.version);
        if from == Upstream::Store {
            let current = lock(&self.cell.state).extra.book.clone();
            if let Some(current) = current {
                book.share_rules(&current);
            }
        }
        let mut state = lock(&self.cell.state);
        let known = state.extra.book.as_ref().map(|book| book.version);
        if known.is_some_and(|known| known >= version) {
            return false;
        }
        retain_rules(&mut state.extra, &book);
        let rules = book.rules().count();
        let any_limit = book.organisations().is_some_and(|orgs| orgs.any_limit());
        self.limits.set_any_limit(any_limit);
        let book = Arc::new(book);
        state.extra.book = Some(book.clone());
        state.extra.leaf_domains = None;
        set_bounds(&mut state);
        refresh_cold(&mut state, now);
        lock(&self.feed_copies.books).put(book);
        drop(state);
        self.metrics.book_version.set(version.0 as i64);
        self.metrics.book_unreadable.set(0);
        let mut propagation = lock(&self.propagation);
        let lag = propagation.installed(version, now).unwrap_or_default();
        self.metrics.set_book_behind(propagation.lag(now));
        drop(propagation);
        info!(self.runtime.log, "watch: book {version} is in force"; "rules" => rules, "from" => %from,
            "behind_ms" => lag.as_millis() as u64);
        self.version.send_replace(version);
        self.cold_changed.notify_one();
        true
    }

    /// Applies the settings that may change while the entry runs: the bound on extra calls,
    /// the checks of keys, the margins of limits, and the times with the timeouts of leafs that follow from them.
    pub(crate) fn reload(&self, settings: &RelaySettings) {
        let (extra, times) = (settings.extra, settings.times);
        self.limits.set_margins(settings.limits);
        let mut state = lock(&self.cell.state);
        let state = &mut *state;
        state.extra.keys = settings.keys;
        state.extra.extra = extra;
        state.extra.times = times;
        state
            .extra
            .leafs
            .set_timeouts(times.missing_leaf_grace(), times.draining_leaf_grace());
        set_budgets(state);
    }

    /// Returns the failure domains and the number of the leafs that the book's rules use.
    pub(crate) fn leaf_domains(&self) -> Arc<LeafDomains> {
        lock(&self.cell.state).extra.leaf_domains()
    }

    /// Sets this entry's quota of the resources that all entries share. If it has changed,
    /// updates the extra-call budgets and the bounds of all leafs, and logs it.
    pub(crate) fn set_quota(&self, quota: Quota) {
        let mut state = lock(&self.cell.state);
        let state = &mut *state;
        if state.extra.quota == quota {
            return;
        }
        state.extra.quota = quota;
        set_budgets(state);
        set_bounds(state);
        info!(self.runtime.log, "fleet: {} carriers, {} others", quota.serving, quota.others;
            "this" => format!("{:?}", quota.role));
    }
}

/// Keeps what is known of the rules that `book` names, and frees the classes of all others,
/// except the shared default class.
fn retain_rules(relay_state: &mut RelayState, book: &RouteBook) {
    let named: BTreeSet<&String> = book.rules().map(|rule| &rule.name).collect();
    relay_state.rules.retain(|name, kept| {
        let retained = named.contains(name);
        if !retained && kept.class != Class::default() {
            relay_state.free_classes.push(kept.class);
        }
        retained
    });
}
