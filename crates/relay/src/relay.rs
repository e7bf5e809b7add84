//! The handle of a running entry, through which the daemon uses it.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use chestnut_book::{CallerLimits, RouteBook};
use chestnut_flow::{Runtime, lock};
use chestnut_port::{
    Feed, FeedService, Forward, Memory, ProbeTransport, ReceiveError, ServeLimits, Traffic,
};
use chestnut_unit::{DomainName, LeafId};
use futures::future::BoxFuture;
use slog::Logger;
use tokio::{sync::watch, task::JoinSet};

use crate::{
    adverts::{self, Adverts},
    book_fetch,
    cold::{self, LeaseStore},
    contact,
    feed_server::FeedServer,
    feed_watch,
    feeds::{Feeds, PeerFeeds},
    forward::{self, Declined, RelayRequest, Reply, stopping},
    leafs::LeafRegistration,
    members::{self, Members},
    quarantine,
    records::{self, RecordStore},
    report, restore,
    settings::RelaySettings,
    shared::{Phase, Shared},
    upstream_poll,
};

/// Called once at the start: serves this entry's feeds to other entries and returns the
/// client of theirs. Fails if the address for peers can't be bound.
pub type FeedBinder = Box<
    dyn FnOnce(Arc<dyn FeedService>) -> BoxFuture<'static, io::Result<Arc<dyn PeerFeeds>>> + Send,
>;

/// The external interfaces of an entry: store, network and other entries.
pub struct RelayPorts {
    /// The route book, read from the store.
    pub book: Arc<dyn Feed<RouteBook>>,
    /// The list of leafs, read from the store.
    pub leafs: Arc<dyn Feed<(LeafId, LeafRegistration)>>,
    /// The failure domains that are being evacuated, read from the store.
    pub evacuations: Arc<dyn Feed<DomainName>>,
    /// The feeds of other entries: book, leafs and evacuations.
    pub peers: FeedBinder,
    /// The adverts in the store, by which entries find each other.
    pub adverts: Arc<dyn Adverts>,
    /// The quarantine records in the store.
    pub records: Arc<dyn RecordStore>,
    /// The leases that bound calls to cold (recently started) leafs.
    pub leases: Arc<dyn LeaseStore>,
    /// Calls to leafs.
    pub forward: Arc<dyn Forward>,
    /// Probe messages of the membership protocol.
    pub probes: Arc<dyn ProbeTransport>,
    /// Byte counters of all interfaces.
    pub traffic: Arc<Traffic>,
    /// Memory for what callers make the entry hold.
    pub memory: Memory,
}

/// The handle of a running entry. Clones share the entry; dropping the last one ends its
/// tasks.
#[derive(Clone)]
pub struct Relay {
    shared: Arc<Shared>,
    members: Arc<Members>,
    peers: Arc<dyn PeerFeeds>,
    /// The background tasks, which end when the last clone is dropped.
    _tasks: Arc<JoinSet<()>>,
}

impl Relay {
    /// Starts the tasks of an entry over `ports` and returns its handle, without waiting
    /// until the entry serves ([`Relay::phases`] tells).
    ///
    /// # Errors
    ///
    /// The address for peers can't be bound.
    pub async fn spawn(
        settings: RelaySettings,
        runtime: Runtime,
        ports: RelayPorts,
    ) -> io::Result<Self> {
        let (suspect_sender, suspects) = quarantine::suspect_channel();
        let (update_sender, updates) = records::update_channel();
        let shared = Shared::new(
            settings,
            runtime,
            ports.forward,
            (ports.traffic, ports.memory),
            suspect_sender,
            update_sender,
        );
        let shared = Arc::new(shared);
        let members = Arc::new(Members::new(&shared, ports.probes));
        let feeds = Arc::new(Feeds {
            book: ports.book,
            leafs: ports.leafs,
            evacuations: ports.evacuations,
            peers: (ports.peers)(Arc::new(FeedServer(shared.clone()))).await?,
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(upstream_poll::run(
            shared.clone(),
            members.clone(),
            feeds.clone(),
        ));
        tasks.spawn(feed_watch::book(shared.clone(), feeds.clone()));
        tasks.spawn(feed_watch::leafs(shared.clone(), feeds.clone()));
        tasks.spawn(feed_watch::evacuations(shared.clone(), feeds.clone()));
        tasks.spawn(book_fetch::run(shared.clone(), feeds.clone()));
        let peers = feeds.peers.clone();
        tasks.spawn(restore::run(shared.clone(), members.clone(), feeds));
        tasks.spawn(contact::run(shared.clone(), peers.clone()));
        tasks.spawn(adverts::discover(
            shared.clone(),
            members.clone(),
            ports.adverts,
        ));
        tasks.spawn(members::probe(shared.clone(), members.clone()));
        tasks.spawn(report::run(shared.clone()));
        tasks.spawn(quarantine::check_suspects(shared.clone(), suspects));
        tasks.spawn(records::run(
            shared.clone(),
            members.clone(),
            ports.records,
            updates,
        ));
        tasks.spawn(cold::run(shared.clone(), members.clone(), ports.leases));
        tasks.spawn(quarantine::gossip(shared.clone(), members.clone()));
        Ok(Self {
            shared,
            members,
            peers,
            _tasks: Arc::new(tasks),
        })
    }

    /// Forwards a request to leafs and returns the reply, [`Reply::Declined`] if there is no
    /// answer. Dropping the future cancels its calls.
    pub async fn forward(&self, request: RelayRequest) -> Reply {
        forward::forward(&self.shared, &*self.peers, request).await
    }

    /// The current phase: starting, serving or leaving.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.shared.phase()
    }

    /// A receiver that observes changes of [`Relay::phase`].
    #[must_use]
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.shared.phase.subscribe()
    }

    /// Limits on callers, from the route book in force; the default limits before the first
    /// book.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        let state = lock(&self.shared.cell.state);
        let book = state.extra.book.as_ref();
        book.map_or_else(CallerLimits::default, |book| book.limits)
    }

    /// Limits of the server for callers, by the route book in force and the settings.
    #[must_use]
    pub fn serve_limits(&self) -> ServeLimits {
        let limits = self.limits();
        ServeLimits {
            max_head: limits.head,
            head_timeout: limits.head_time,
            idle_timeout: limits.idle_time,
            max_connections: self.max_caller_connections(),
        }
    }

    /// Limits of the servers for readiness, directory and metrics.
    #[must_use]
    pub fn side_limits(&self) -> ServeLimits {
        ServeLimits {
            max_connections: self.shared.settings.entry.max_side_connections(),
            ..self.serve_limits()
        }
    }

    /// Returns the refusal of a request of which the body was not received, and counts it: one that
    /// stopped, or that has to go for the memory of others. None of it was passed on.
    #[must_use]
    pub fn not_received(&self, error: ReceiveError) -> Declined {
        forward::not_received(&self.shared, error)
    }

    /// The log of this entry.
    pub(crate) fn log(&self) -> &Logger {
        &self.shared.runtime.log
    }

    /// Whether callers need a key, by the route book in force; front ends then remove it from
    /// requests and pass its digest.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        let state = lock(&self.shared.cell.state);
        let book = state.extra.book.as_ref();
        book.is_some_and(|book| book.organisations().is_some())
    }

    /// Addresses of the serving entries that callers should connect to, a random selection of
    /// at most `most`. This entry is among them only while it serves.
    #[must_use]
    pub fn addresses(&self, most: usize) -> Vec<SocketAddr> {
        self.members.addresses(&self.shared, most)
    }

    /// How long callers may cache [`Relay::addresses`].
    #[must_use]
    pub fn ttl(&self) -> Duration {
        lock(&self.shared.cell.state).extra.times.ttl
    }

    /// The entry's metrics in the Prometheus text format; first updates those that are read
    /// from other counters.
    #[must_use]
    pub fn metrics(&self) -> String {
        let in_flight = self.shared.in_flight.load(Ordering::Relaxed);
        self.shared.metrics.in_flight.set(i64::from(in_flight));
        let classes = lock(&self.shared.cell.state).table.classes();
        self.shared.metrics.classes.set(classes as i64);
        report::update_metrics(&self.shared);
        self.shared.metrics.text()
    }

    /// Longest time from the stop signal to the end of the process, from the settings.
    #[must_use]
    pub fn grace(&self) -> Duration {
        lock(&self.shared.cell.state).extra.times.grace
    }

    /// Applies changed settings: the budget for extra calls and the times. Addresses and
    /// the identity of the entry can't change while it runs.
    pub fn reload(&self, settings: &RelaySettings) {
        self.shared.reload(settings);
    }

    /// Maximum number of open connections from callers, a share of the entry's file
    /// descriptors.
    #[must_use]
    pub fn max_caller_connections(&self) -> usize {
        self.shared.settings.entry.max_caller_connections()
    }

    /// Number of requests being handled.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// Waits for `work`, at most until everything must be answered in a planned stop.
    ///
    /// # Errors
    ///
    /// The refusal of a request that has not run, at the end of the stop.
    pub async fn before_end<T>(&self, work: impl Future<Output = T>) -> Result<T, Declined> {
        let runtime = &self.shared.runtime;
        tokio::select! {
            biased;
            done = work => Ok(done),
            () = runtime.lifetime.until_left(&runtime.clock, Duration::ZERO) => Err(stopping()),
        }
    }

    /// What the tasks of this entry share.
    pub(crate) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// The members that this entry knows.
    pub(crate) fn members(&self) -> &Members {
        &self.members
    }
}
