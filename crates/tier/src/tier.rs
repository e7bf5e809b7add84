//! The handle of a running entry.

use std::{io, sync::Arc, time::Duration};

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
    time::{sleep, timeout},
};

use crate::{
    api::{
        Answer, EditError, EditReply, EntryList, QueryRequest, Refused, SubmitOutcome,
        SubmitRequest, TicketReply,
    },
    boot,
    edit::{self, EditRequest},
    gossip, leafs,
    peers::Served,
    place,
    ports::Ports,
    query, records,
    shared::{Differs, Phase, Shared, SharedPorts, lock},
    spread,
    status::{self, Status},
    submit, watch,
};

/// Peers that differ and wait to be asked; more say so again.
const DIFFERS: usize = 16;
/// Time between two looks at what is still in flight.
const FLIGHT_LOOK: Duration = Duration::from_millis(20);
/// Peers that are told directly that this entry is leaving.
const FAREWELLS: usize = 32;
/// Longest wait for the last records to be written.
const LAST_RECORDS: Duration = Duration::from_secs(2);

/// Why an entry can't start.
#[derive(Debug, Display)]
pub enum SpawnError {
    /// listen.peers: can't bind {address}: {source}
    Peers {
        /// The address.
        address: std::net::SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

impl std::error::Error for SpawnError {}

/// A running entry. Clones share it; [`Tier::leave`] is a planned stop, and
/// dropping the last clone ends its tasks at once.
#[derive(Clone)]
pub struct Tier {
    pub(crate) shared: Arc<Shared>,
    _tasks: Arc<Tasks>,
}

struct Tasks {
    shared: Arc<Shared>,
    _set: JoinSet<()>,
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.shared.phase.send_replace(Phase::Stopped);
    }
}

impl Tier {
    /// Starts an entry over `ports`, with random draws from `seed`.
    ///
    /// # Errors
    ///
    /// The port to peers can't be bound.
    pub async fn spawn(
        settings: Settings,
        log: Logger,
        ports: Ports,
        seed: u64,
    ) -> Result<Self, SpawnError> {
        let own = own_member(&settings, &ports.clock);
        let (differs, differing) = mpsc::channel::<Differs>(DIFFERS);
        let shared_ports = SharedPorts {
            targets: ports.targets,
            platform: ports.platform,
            probes: ports.probes,
            clock: ports.clock,
        };
        let address = settings.listen.peers;
        let shared = Arc::new(Shared::new(settings, log, shared_ports, own, seed, differs));
        let peers = (ports.peers)(Arc::new(Served(shared.clone())))
            .await
            .map_err(|source| SpawnError::Peers { address, source })?;
        let _ = shared.peers.set(peers);
        let mut set = JoinSet::new();
        set.spawn(boot::run(shared.clone()));
        set.spawn(place::run(shared.clone()));
        set.spawn(gossip::run(shared.clone()));
        set.spawn(watch::run(shared.clone()));
        set.spawn(leafs::watch(shared.clone()));
        set.spawn(spread::fetch(shared.clone(), differing));
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

    /// Whether the entry has confirmed settings and serves.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.phase() == Phase::Serving
    }

    /// Answers a query.
    ///
    /// # Errors
    ///
    /// The refusal, with its receipt.
    pub async fn query(&self, ask: QueryRequest) -> Result<Answer, Refused> {
        query::answer(&self.shared, ask).await
    }

    /// Mints a ticket for a submission.
    ///
    /// # Errors
    ///
    /// The entry mints none now.
    pub fn ticket(&self) -> Result<TicketReply, Refused> {
        submit::mint(&self.shared)
    }

    /// Runs a submission at most once for its ticket.
    ///
    /// # Errors
    ///
    /// It was not run, or its fate can't be known; the refusal says which.
    pub async fn submit(&self, ask: SubmitRequest) -> Result<SubmitOutcome, Refused> {
        submit::submit(&self.shared, ask).await
    }

    /// The entries that a caller should use.
    #[must_use]
    pub fn entries(&self, domain: Option<&DomainName>) -> EntryList {
        EntryList {
            entries: self.shared.entries(domain),
            ttl: self.shared.settings.control.ttl,
        }
    }

    /// Makes an edit of a template or organisation. Repeating `id` repeats the
    /// edit and never doubles it.
    ///
    /// # Errors
    ///
    /// The edit is wrong, came second, or could not be settled.
    pub async fn edit(
        &self,
        key: ObjectKey,
        spec: serde_json::Value,
        expected: Option<u64>,
        id: String,
    ) -> Result<EditReply, EditError> {
        let ask = EditRequest {
            key,
            expected,
            spec,
            id,
            by: String::new(),
        };
        edit::put(&self.shared, ask).await
    }

    /// Waits until an operator asks this entry to leave.
    pub async fn drain_asked(&self) {
        self.shared.drain.notified().await;
    }

    /// What the entry tells operators.
    #[must_use]
    pub fn status(&self) -> Status {
        status::status(&self.shared)
    }

    /// Leaves in an orderly way: callers are sent elsewhere, tickets are
    /// handed over, and everything in flight is answered. Returns when the
    /// callers that still have this entry's address have let go of it.
    pub async fn leave(&self) {
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
        info!(shared.host.log, "fleet: {} is leaving", shared.own.id);
        let left = shared.now();
        lock(&shared.swim).leave(None);
        tell_peers(shared).await;
        hand_tickets(shared).await;
        let ttl = shared.settings.control.ttl;
        sleep(ttl.saturating_sub(shared.now().since(left)) + TTL_SLACK).await;
        let grace = shared.settings.control.grace;
        let drained = timeout(grace, nothing_in_flight(shared)).await;
        if drained.is_err() {
            warn!(
                shared.host.log,
                "fleet: requests are still in flight after {grace:?}"
            );
        }
    }

    /// Ends the entry after [`Tier::leave`]: writes the last records and says
    /// farewell.
    pub async fn stop(&self) {
        let shared = &self.shared;
        if timeout(LAST_RECORDS, records::write_last(shared))
            .await
            .is_err()
        {
            warn!(
                shared.host.log,
                "fleet: the last records could not be written"
            );
        }
        let farewells = lock(&shared.swim).stop(shared.status(), FAREWELLS);
        gossip::send_all(shared, farewells).await;
        shared.phase.send_replace(Phase::Stopped);
        info!(shared.host.log, "fleet: {} has stopped", shared.own.id);
    }
}

/// Callers' clocks run differently, and their requests travel: time beyond the
/// ttl in which a request may still come.
const TTL_SLACK: Duration = Duration::from_millis(500);

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

/// Tells peers at once what this entry says of itself, ahead of the probes.
async fn tell_peers(shared: &Shared) {
    let news = lock(&shared.swim).announce(shared.status(), FAREWELLS);
    gossip::send_all(shared, news).await;
}

/// Stops dispatching, waits for what is being dispatched, and hands all
/// tickets to a successor.
async fn hand_tickets(shared: &Shared) {
    lock(&shared.keeper).close();
    let grace = shared.settings.control.grace;
    let settled = async {
        while lock(&shared.keeper).running() > 0 {
            sleep(FLIGHT_LOOK).await;
        }
    };
    // Those that are still running then are handed over as unknown.
    let _ = timeout(grace, settled).await;
    for _ in 0..SUCCESSORS_TRIED {
        if hand_to_some(shared).await {
            tell_peers(shared).await;
            return;
        }
        sleep(SUCCESSOR_REST).await;
    }
    warn!(
        shared.host.log,
        "keep: nobody took over the tickets; repeats will be unknown"
    );
}

/// Members that are tried as successor.
const SUCCESSORS_TRIED: usize = 5;
/// Rest between two of them.
const SUCCESSOR_REST: Duration = Duration::from_millis(200);

/// Hands the tickets to a member at random; tells whether it took them.
async fn hand_to_some(shared: &Shared) -> bool {
    let Some((member, address)) = pick_successor(shared) else {
        return false;
    };
    let tickets = lock(&shared.keeper).hand_over();
    let count = tickets.len();
    let Ok(incarnation) = shared.peers().adopt(address, tickets).await else {
        return false;
    };
    info!(shared.host.log, "keep: handed {count} tickets to {member}");
    lock(&shared.swim).leave(Some(Successor {
        member,
        incarnation,
    }));
    true
}

fn pick_successor(shared: &Shared) -> Option<(MemberId, std::net::SocketAddr)> {
    let swim = lock(&shared.swim);
    swim.view
        .others()
        .filter(|member| member.accepts_work() && member.liveness == Liveness::Alive)
        .map(|member| (member.id.clone(), member.addresses.peers))
        .choose(&mut shared.rng())
}

async fn nothing_in_flight(shared: &Shared) {
    let ordering = std::sync::atomic::Ordering::Relaxed;
    while shared.in_flight.load(ordering) > 0 {
        sleep(FLIGHT_LOOK).await;
    }
}

/// Makes a name for an edit whose operator gave none.
pub(crate) fn edit_id(shared: &Shared) -> String {
    format!("{}-{:016x}", shared.own.id, shared.rng().next_u64())
}

/// An empty JSON object, for requests without a body.
pub(crate) const EMPTY: Bytes = Bytes::from_static(b"{}");
