//! The handle of a running entry, with its start and its planned stop.

use std::{
    future::Future,
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use chestnut_conf::{ObjectKey, Settings};
use chestnut_fleet::{Addresses, Liveness, Member, Successor};
use chestnut_port::Clock;
use chestnut_unit::{DomainName, Incarnation, MemberId};
use displaydoc::Display;
use rand::{Rng, seq::IteratorRandom};
use slog::{Logger, info, warn};
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout, timeout_at},
};

use crate::{
    api::{
        Answer, EditError, EditReply, EntryList, QueryRequest, Refusal, SubmitOutcome,
        SubmitRequest, TicketReply,
    },
    edit::{self, EditRequest},
    gossip, leafs,
    peers::PeerHandler,
    place,
    ports::Ports,
    propagation, query, records,
    shared::{DivergentPeer, Phase, Shared, SharedPorts, lock},
    startup,
    status::{self, Status},
    submit, watch,
};

/// Capacity of the queue of peers with a different configuration digest. Those
/// beyond it are dropped and queued again after a later probe.
const DIVERGENT_QUEUE: usize = 16;
/// Poll interval while waiting for requests and dispatches in flight to end.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Number of peers that get a leave message or an update directly.
const LEAVE_FANOUT: usize = 32;
/// Time after the end of a stop in which requests that were answered then may still end.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Time limit for writing the last refusal records at a stop.
const RECORDS_TIMEOUT: Duration = Duration::from_secs(2);

/// An error that prevents the start of an entry.
#[derive(Debug, Display)]
pub enum SpawnError {
    /// listen.peers: can't bind {address}: {source}
    Peers {
        /// The address that could not be bound.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl std::error::Error for SpawnError {}

/// A handle of a running entry. Clones share the entry; dropping the last one
/// aborts its tasks. [`Tier::leave`] and [`Tier::stop`] make a planned stop.
#[derive(Clone)]
pub struct Tier {
    pub(crate) shared: Arc<Shared>,
    _tasks: Arc<Tasks>,
}

/// The tasks of an entry; dropping it marks the entry as stopped and aborts
/// them.
struct Tasks {
    shared: Arc<Shared>,
    _set: JoinSet<()>,
}

impl Drop for Tasks {
    /// Sets the phase to stopped; the tasks are aborted afterwards, when the
    /// set is dropped.
    fn drop(&mut self) {
        self.shared.phase.send_replace(Phase::Stopped);
    }
}

impl Tier {
    /// Starts an entry over `ports`, with random draws from `seed`. It serves
    /// once it has a confirmed configuration; see [`Tier::is_ready`].
    ///
    /// # Errors
    ///
    /// The port for calls between entries can't be bound.
    pub async fn spawn(
        settings: Settings,
        log: Logger,
        ports: Ports,
        seed: u64,
    ) -> Result<Self, SpawnError> {
        let own = own_member(&settings, &ports.clock);
        let (divergent_peers, divergent_rx) = mpsc::channel::<DivergentPeer>(DIVERGENT_QUEUE);
        let shared_ports = SharedPorts {
            targets: ports.targets,
            platform: ports.platform,
            probes: ports.probes,
            clock: ports.clock,
        };
        let address = settings.listen.peers;
        let shared = Arc::new(Shared::new(
            settings,
            log,
            shared_ports,
            own,
            seed,
            divergent_peers,
        ));
        let peers = (ports.peers)(Arc::new(PeerHandler(shared.clone())))
            .await
            .map_err(|source| SpawnError::Peers { address, source })?;
        let _ = shared.peers.set(peers);
        let mut set = JoinSet::new();
        set.spawn(startup::start_serving(shared.clone()));
        set.spawn(place::run(shared.clone()));
        set.spawn(gossip::run(shared.clone()));
        set.spawn(watch::run(shared.clone()));
        set.spawn(leafs::poll_states(shared.clone()));
        set.spawn(propagation::fetch(shared.clone(), divergent_rx));
        set.spawn(records::run(shared.clone()));
        let tasks = Tasks {
            shared: shared.clone(),
            _set: set,
        };
        Ok(Self {
            shared,
            _tasks: Arc::new(tasks),
        })
    }

    /// The entry's name.
    #[must_use]
    pub fn member(&self) -> &MemberId {
        &self.shared.own.id
    }

    /// Whether the entry serves callers: it has confirmed its configuration and
    /// is not leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.phase() == Phase::Serving
    }

    /// Runs a query.
    ///
    /// # Errors
    ///
    /// The query was refused; the error has the receipt.
    pub async fn query(&self, request: QueryRequest) -> Result<Answer, Refusal> {
        query::answer(&self.shared, request).await
    }

    /// Mints a ticket for a submission.
    ///
    /// # Errors
    ///
    /// The entry is leaving, or keeps as many tickets as it may.
    pub fn ticket(&self) -> Result<TicketReply, Refusal> {
        submit::mint(&self.shared)
    }

    /// Runs a submission at most once for its ticket.
    ///
    /// # Errors
    ///
    /// The submission did not run, or its outcome is unknown; the refusal says
    /// which.
    pub async fn submit(&self, request: SubmitRequest) -> Result<SubmitOutcome, Refusal> {
        submit::submit(&self.shared, request).await
    }

    /// The entries that a caller in `domain` should use, preferred first;
    /// without a domain, for that of this entry.
    #[must_use]
    pub fn entries(&self, domain: Option<&DomainName>) -> EntryList {
        EntryList {
            entries: self.shared.entries(domain),
            ttl: self.shared.settings.control.ttl,
        }
    }

    /// Edits a template, an organisation or an evacuation. The object must be at
    /// version `expected`; `None` overwrites any version. Edits with the same
    /// `edit_id` are applied once.
    ///
    /// # Errors
    ///
    /// The edit is invalid, conflicts with another one, was not accepted, or
    /// its outcome is unknown.
    pub async fn edit(
        &self,
        key: ObjectKey,
        spec: serde_json::Value,
        expected: Option<u64>,
        edit_id: String,
    ) -> Result<EditReply, EditError> {
        let request = EditRequest {
            key,
            expected,
            spec,
            edit_id,
            author: String::new(),
        };
        edit::put(&self.shared, request).await
    }

    /// Waits until an operator requests a drain.
    pub async fn drain_requested(&self) {
        self.shared.drain_requested.notified().await;
    }

    /// The status of the entry for operators.
    #[must_use]
    pub fn status(&self) -> Status {
        status::status(&self.shared)
    }

    /// Begins a planned stop: the entry is no longer listed for callers and hands over its
    /// tickets, after waiting up to the grace time for dispatches. Serves callers until the TTL
    /// of the list of entries has passed, or until `again` is ready, a further request to stop.
    /// [`Tier::end`] is set from the start. Does nothing if it is leaving already.
    pub async fn leave(&self, again: impl Future<Output = ()>) {
        let shared = &self.shared;
        let entered = shared.phase.send_if_modified(|phase| {
            let serving = *phase < Phase::Leaving;
            if serving {
                *phase = Phase::Leaving;
            }
            serving
        });
        if !entered {
            return;
        }
        let control = &shared.settings.control;
        let listed_until = shared.now() + control.ttl + TTL_MARGIN;
        let end = listed_until + control.grace;
        let end = shared.runtime.lifetime.end_at(end);
        info!(shared.runtime.log, "fleet: {} is leaving", shared.own.id;
            "left_ms" => end.since(shared.now()).as_millis() as u64);
        lock(&shared.swim).leave(None);
        announce(shared).await;
        hand_over_tickets(shared).await;
        let why = tokio::select! {
            () = sleep_until(shared.runtime.clock.instant(listed_until)) => "lists have expired",
            () = again => "asked to stop again",
        };
        info!(shared.runtime.log, "fleet: {} closes", shared.own.id; "why" => why,
            "in_flight" => shared.in_flight.load(Ordering::Relaxed),
            "left_ms" => end.since(shared.now()).as_millis() as u64);
    }

    /// When every request is answered, once a planned stop has begun.
    #[must_use]
    pub fn end(&self) -> Option<Instant> {
        let runtime = &self.shared.runtime;
        runtime.lifetime.end().map(|end| runtime.clock.instant(end))
    }

    /// Stops the entry after [`Tier::leave`]: finishes what runs, until [`Tier::end`] at most,
    /// writes the last refusal records, within a time limit, and sends leave messages. The tasks
    /// end when the last handle is dropped.
    pub async fn stop(&self) {
        let shared = &self.shared;
        let end = self.end().unwrap_or_else(Instant::now) + ANSWER_TIME;
        if timeout_at(end, wait_until_idle(shared)).await.is_err() {
            warn!(shared.runtime.log, "fleet: requests are still in flight at the end of the stop";
                "in_flight" => shared.in_flight.load(Ordering::Relaxed));
        }
        if timeout(RECORDS_TIMEOUT, records::write_last(shared))
            .await
            .is_err()
        {
            warn!(
                shared.runtime.log,
                "fleet: the last records could not be written"
            );
        }
        let messages = lock(&shared.swim).stop(shared.status(), LEAVE_FANOUT);
        gossip::send_all(shared, messages).await;
        shared.phase.send_replace(Phase::Stopped);
        info!(shared.runtime.log, "fleet: {} has stopped", shared.own.id);
    }
}

/// Time beyond the TTL of the list of entries in which requests may arrive,
/// because of clock drift and network delay.
const TTL_MARGIN: Duration = Duration::from_millis(500);

/// Describes this entry as a member, with a new incarnation from the wall
/// clock.
fn own_member(settings: &Settings, clock: &Clock) -> Member {
    let addresses = Addresses {
        callers: settings.listen.callers,
        operators: settings.listen.operators,
        peers: settings.listen.peers,
    };
    let entry = &settings.entry;
    let incarnation = Incarnation(clock.wall().0);
    Member::starting(
        entry.member.clone(),
        entry.domain.clone(),
        addresses,
        incarnation,
    )
}

/// Sends the state of this entry to peers at once, ahead of the next probes.
async fn announce(shared: &Shared) {
    let updates = lock(&shared.swim).announce(shared.status(), LEAVE_FANOUT);
    gossip::send_all(shared, updates).await;
}

/// Stops dispatching, waits for the dispatches in flight, and hands all tickets
/// over to a successor. If no member takes them, a warning is logged.
async fn hand_over_tickets(shared: &Shared) {
    lock(&shared.tickets).close();
    let grace = shared.settings.control.grace;
    let settled = async {
        while lock(&shared.tickets).running() > 0 {
            sleep(DRAIN_POLL).await;
        }
    };
    // Dispatches that are still running are handed over as unknown.
    let _ = timeout(grace, settled).await;
    for _ in 0..SUCCESSOR_ATTEMPTS {
        if try_hand_over(shared).await {
            announce(shared).await;
            return;
        }
        sleep(SUCCESSOR_BACKOFF).await;
    }
    warn!(
        shared.runtime.log,
        "keep: no member took over the tickets; outcomes of repeats will be unknown"
    );
}

/// Attempts to find a successor for the tickets.
const SUCCESSOR_ATTEMPTS: usize = 5;
/// Delay between two of these attempts.
const SUCCESSOR_BACKOFF: Duration = Duration::from_millis(200);

/// Hands the tickets to a random member and records it as the successor;
/// returns false if there is none or it did not take them.
async fn try_hand_over(shared: &Shared) -> bool {
    let Some((member, address)) = pick_successor(shared) else {
        return false;
    };
    let tickets = lock(&shared.tickets).hand_over();
    let count = tickets.len();
    let Ok(incarnation) = shared.peers().take_tickets(address, tickets).await else {
        return false;
    };
    info!(
        shared.runtime.log,
        "keep: handed {count} tickets to {member}"
    );
    lock(&shared.swim).leave(Some(Successor {
        member,
        incarnation,
    }));
    true
}

/// Chooses a random other member that is alive and accepts work; `None` if
/// there is none.
fn pick_successor(shared: &Shared) -> Option<(MemberId, std::net::SocketAddr)> {
    let swim = lock(&shared.swim);
    swim.view
        .others()
        .filter(|member| member.accepts_work() && member.liveness == Liveness::Alive)
        .map(|member| (member.id.clone(), member.addresses.peers))
        .choose(&mut shared.rng())
}

/// Waits until no request is in flight, without a time limit.
async fn wait_until_idle(shared: &Shared) {
    while shared.in_flight.load(Ordering::Relaxed) > 0 {
        sleep(DRAIN_POLL).await;
    }
}

/// Generates a random id for an edit whose operator gave none.
pub(crate) fn edit_id(shared: &Shared) -> String {
    format!("{}-{:016x}", shared.own.id, shared.rng().next_u64())
}

/// An empty JSON object, the default body of a request.
pub(crate) const EMPTY_JSON: Bytes = Bytes::from_static(b"{}");
