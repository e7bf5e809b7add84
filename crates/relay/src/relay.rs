//! The handle of a running entry.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use chestnut_book::{CallerLimits, RouteBook};
use chestnut_flow::{Host, lock};
use chestnut_port::{Feed, FeedService, Forward, Probes, Traffic};
use chestnut_unit::{DomainName, LeafId};
use futures::future::BoxFuture;
use slog::info;
use tokio::{sync::watch, task::JoinSet, time::sleep};

use crate::{
    adverts::{self, Adverts},
    cold::{self, LeaseStore},
    forward::{self, Ask, Reply},
    leafs::LeafEntry,
    members::{self, Members},
    pass::Passing,
    pull, quarantine,
    records::{self, Records},
    report,
    settings::RelaySettings,
    shared::{Phase, Shared},
    source,
    sources::{FeedPeers, Sources},
    watch as feeds,
};

/// Makes the port to the feeds of other entries, once the service that passes
/// on this one's exists.
pub type FeedBinder = Box<
    dyn FnOnce(Arc<dyn FeedService>) -> BoxFuture<'static, io::Result<Arc<dyn FeedPeers>>> + Send,
>;

/// The ports that a relay runs over.
pub struct RelayPorts {
    /// The book, in the store.
    pub book: Arc<dyn Feed<RouteBook>>,
    /// The leafs, in the store.
    pub leafs: Arc<dyn Feed<(LeafId, LeafEntry)>>,
    /// The failure domains that are evacuated, in the store.
    pub evacuations: Arc<dyn Feed<DomainName>>,
    /// The feeds of other entries.
    pub peers: FeedBinder,
    /// The adverts of the entries.
    pub adverts: Arc<dyn Adverts>,
    /// What the store keeps of requests that end leafs.
    pub records: Arc<dyn Records>,
    /// The leases of cold leafs.
    pub leases: Arc<dyn LeaseStore>,
    /// Calls to leafs.
    pub forward: Arc<dyn Forward>,
    /// Probes between entries.
    pub probes: Arc<dyn Probes>,
    /// Bytes of all ports.
    pub traffic: Arc<Traffic>,
}

/// A running entry. Clones share it; dropping the last one ends its tasks.
#[derive(Clone)]
pub struct Relay {
    shared: Arc<Shared>,
    members: Arc<Members>,
    _tasks: Arc<JoinSet<()>>,
}

impl Relay {
    /// Starts an entry over `ports`.
    ///
    /// # Errors
    ///
    /// The port to other entries can't be bound.
    pub async fn spawn(settings: RelaySettings, host: Host, ports: RelayPorts) -> io::Result<Self> {
        let (doubter, doubts) = quarantine::doubts();
        let (judged, verdicts) = records::verdicts();
        let shared = Shared::new(
            settings,
            host,
            ports.forward,
            ports.traffic,
            doubter,
            judged,
        );
        let shared = Arc::new(shared);
        let members = Arc::new(Members::new(&shared, ports.probes));
        let sources = Arc::new(Sources {
            book: ports.book,
            leafs: ports.leafs,
            evacuations: ports.evacuations,
            peers: (ports.peers)(Arc::new(Passing(shared.clone()))).await?,
        });
        let mut set = JoinSet::new();
        set.spawn(source::run(
            shared.clone(),
            members.clone(),
            sources.clone(),
        ));
        set.spawn(feeds::book(shared.clone(), sources.clone()));
        set.spawn(feeds::leafs(shared.clone(), sources.clone()));
        set.spawn(feeds::evacuations(shared.clone(), sources.clone()));
        set.spawn(pull::run(shared.clone(), sources));
        set.spawn(adverts::find(
            shared.clone(),
            members.clone(),
            ports.adverts,
        ));
        set.spawn(members::probe(shared.clone(), members.clone()));
        set.spawn(report::run(shared.clone()));
        set.spawn(quarantine::judge(shared.clone(), doubts));
        set.spawn(records::run(
            shared.clone(),
            members.clone(),
            ports.records,
            verdicts,
        ));
        set.spawn(cold::run(shared.clone(), members.clone(), ports.leases));
        set.spawn(quarantine::tell(shared.clone(), members.clone()));
        Ok(Self {
            shared,
            members,
            _tasks: Arc::new(set),
        })
    }

    /// Takes a request through the request path. Dropping the future cancels
    /// its calls.
    pub async fn forward(&self, ask: Ask) -> Reply {
        forward::forward(&self.shared, ask).await
    }

    /// Where the entry is in its life.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.shared.phase()
    }

    /// Changes of [`Relay::phase`].
    #[must_use]
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.shared.phase.subscribe()
    }

    /// Bounds on callers, from the book in force.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        let state = lock(&self.shared.cell.state);
        let book = state.extra.book.as_ref();
        book.map_or_else(CallerLimits::default, |book| book.limits)
    }

    /// Addresses that callers should use, at most `most`.
    #[must_use]
    pub fn addresses(&self, most: usize) -> Vec<SocketAddr> {
        self.members.addresses(&self.shared, most)
    }

    /// How long callers keep the list of addresses.
    #[must_use]
    pub fn ttl(&self) -> Duration {
        lock(&self.shared.cell.state).extra.times.ttl
    }

    /// The entry's metrics, as text.
    #[must_use]
    pub fn metrics(&self) -> String {
        let in_flight = self.shared.in_flight.load(Ordering::Relaxed);
        self.shared.metrics.in_flight.set(i64::from(in_flight));
        let classes = lock(&self.shared.cell.state).table.classes();
        self.shared.metrics.classes.set(classes as i64);
        report::measure(&self.shared);
        self.shared.metrics.text()
    }

    /// Longest time from the signal to stop to the end of the process.
    #[must_use]
    pub fn grace(&self) -> Duration {
        lock(&self.shared.cell.state).extra.times.grace
    }

    /// Puts changed settings in force: the bound on extra calls and the times.
    /// Where an entry listens, and who it is, can't change while it runs.
    pub fn reload(&self, settings: &RelaySettings) {
        self.shared.reload(settings.extra, settings.times);
    }

    /// Connections of callers that may be open.
    #[must_use]
    pub fn callers(&self) -> usize {
        self.shared.settings.entry.callers()
    }

    /// Requests that run.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// Starts a planned stop: callers are sent elsewhere, and those that still
    /// come are served.
    pub async fn leave(&self) {
        let shared = &self.shared;
        shared.phase.send_replace(Phase::Leaving);
        info!(shared.host.log, "fleet: {} is leaving", shared.settings.entry.member;
            "in_flight" => self.in_flight());
        members::leave(shared, &self.members).await;
    }

    /// Waits until no request runs, for at most `wait`, and tells the members
    /// that the entry ends.
    pub async fn finish(&self, wait: Duration) {
        /// Time between two looks at what still runs.
        const LOOK: Duration = Duration::from_millis(10);
        let until = self.shared.now() + wait;
        while self.in_flight() > 0 && self.shared.now() < until {
            sleep(LOOK).await;
        }
        members::farewell(&self.shared, &self.members).await;
        info!(self.shared.host.log, "fleet: {} has stopped", self.shared.settings.entry.member;
            "in_flight" => self.in_flight());
    }
}
