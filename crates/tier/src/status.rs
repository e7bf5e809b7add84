//! The status that an entry reports to operators.

use std::{collections::BTreeMap, time::Duration};

use chestnut_conf::{ObjectKind, Versions};
use chestnut_fleet::Liveness;
use chestnut_route::Backend;
use chestnut_route::Class;
use serde::Serialize;

use crate::{
    service::BackendAddress,
    shared::{Phase, Shared, lock},
};

/// A member of the fleet in the view of this entry: name, failure domain,
/// address for operators and liveness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberStatus {
    /// Its name.
    pub member: String,
    /// Its failure domain.
    pub domain: String,
    /// The address on which it listens for operators.
    pub operators: String,
    /// `alive`, `suspect` or `gone`.
    pub liveness: &'static str,
    /// Whether it reports that it is leaving.
    pub leaving: bool,
}

/// A back end, leaf or peer, of one service in the view of this entry: whether
/// it gets calls, its load, latency and connections.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LeafStatus {
    /// The service that it serves.
    pub service: String,
    /// The leaf, or the peer through which leafs are reached.
    pub target: String,
    /// `held here` for a leaf that this entry calls itself, or `peer`.
    pub place: &'static str,
    /// `open`, `evicted`, `evacuated` or `leaving`.
    pub state: &'static str,
    /// Milliseconds until its eviction ends; 0 if it is not evicted.
    pub evicted_ms: u64,
    /// Calls that it has not answered yet.
    pub outstanding: u32,
    /// Expected latency of a call in milliseconds.
    pub expected_ms: f64,
    /// Open connections to it; 0 for a peer.
    pub connections: usize,
}

/// The status of an entry: its phase, the settings in force, the members that
/// it knows, and counts of requests, records and tickets.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// Its name.
    pub member: String,
    /// `starting`, `serving`, `leaving` or `stopped`.
    pub phase: &'static str,
    /// Milliseconds since its settings were confirmed; absent if never.
    pub confirmed_ms: Option<u64>,
    /// Versions of the templates in force.
    pub templates: Versions,
    /// Versions of the organisations in force.
    pub organisations: Versions,
    /// All members that it knows, itself included.
    pub members: Vec<MemberStatus>,
    /// Requests that are running.
    pub in_flight: u32,
    /// Refusal records not yet written to the platform.
    pub records_waiting: usize,
    /// Refusal records dropped since its start.
    pub records_dropped: u64,
    /// Tickets whose outcomes it keeps.
    pub tickets: usize,
    /// Bytes of membership traffic since its start.
    pub probe_bytes: u64,
}

/// Collects the status of this entry.
pub(crate) fn status(shared: &Shared) -> Status {
    let now = shared.now();
    let (confirmed_age, templates, organisations) = {
        let conf = lock(&shared.conf);
        (
            conf.confirmation.age(now),
            conf.objects.versions(ObjectKind::Template),
            conf.objects.versions(ObjectKind::Organisation),
        )
    };
    let members = members(shared);
    let (records_waiting, records_dropped) = {
        let log = lock(&shared.refusal_log);
        (log.unconfirmed(), log.dropped())
    };
    Status {
        member: shared.own.id.to_string(),
        phase: phase_name(shared.phase()),
        confirmed_ms: confirmed_age.map(|age: Duration| age.as_millis() as u64),
        templates,
        organisations,
        members,
        in_flight: shared.in_flight.load(std::sync::atomic::Ordering::Relaxed),
        records_waiting,
        records_dropped,
        tickets: lock(&shared.tickets).len(),
        probe_bytes: shared.probes.bytes(),
    }
}

/// Returns the name of a phase in [`Status`].
fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Leaving => "leaving",
        Phase::Stopped => "stopped",
    }
}

/// Collects the status of all members that this entry knows, itself and those
/// that are gone included.
fn members(shared: &Shared) -> Vec<MemberStatus> {
    let swim = lock(&shared.swim);
    let to_status = |member: &chestnut_fleet::Member| MemberStatus {
        member: member.id.to_string(),
        domain: member.domain.to_string(),
        operators: member.addresses.operators.to_string(),
        liveness: match member.liveness {
            Liveness::Alive => "alive",
            Liveness::Suspect => "suspect",
            Liveness::Gone => "gone",
        },
        leaving: member.leaving,
    };
    swim.view.all().map(to_status).collect()
}

/// Collects the status of every back end that this entry may call, service by
/// service.
pub(crate) fn targets(shared: &Shared) -> Vec<LeafStatus> {
    let open: BTreeMap<_, _> = shared.targets.connections().into_iter().collect();
    let now = shared.now();
    let mut list = Vec::new();
    for service in shared.services() {
        let state = lock(&service.state);
        for (ix, address) in &state.extra.addresses {
            let evicted = state.table.evicted_until(*ix, now);
            let (target, place_name, connections) = match (state.table.backend(*ix), address) {
                (Backend::Leaf(id), _) => (
                    id.to_string(),
                    "held here",
                    open.get(id).copied().unwrap_or(0),
                ),
                (Backend::Peer(id), BackendAddress::Peer(..) | BackendAddress::Leaf(..)) => {
                    (id.to_string(), "peer", 0)
                }
            };
            list.push(LeafStatus {
                service: service.name.to_string(),
                target,
                place: place_name,
                state: match evicted {
                    _ if state.table.is_leaving(*ix) => "leaving",
                    _ if state.table.is_excluded(*ix) => "evacuated",
                    Some(_) => "evicted",
                    None => "open",
                },
                evicted_ms: evicted.map_or(0, |until| until.since(now).as_millis() as u64),
                outstanding: state.table.outstanding(*ix),
                expected_ms: state.table.expected_nanos(Class::default(), *ix, now) / 1e6,
                connections,
            });
        }
    }
    list
}
