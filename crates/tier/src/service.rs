//! What an entry keeps of one service.

use std::{collections::BTreeMap, net::SocketAddr};

use chestnut_conf::{ReplicaChoice, RouteSettings};
use chestnut_flow::{Cell, State as FlowState, lock};
use chestnut_route::{Admission, AdmitConfig, Backend, Choice, Ix, Table, TableConfig, Versions};
use chestnut_unit::{LeafId, MemberId, ServiceName, Time};

/// Where a back end is called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// A leaf that this entry holds.
    Leaf(LeafId, SocketAddr),
    /// A peer.
    Peer(MemberId, SocketAddr),
}

/// Where the shards of a service are found.
#[derive(Default)]
pub(crate) struct Placed {
    /// Back ends for queries that enter here.
    pub(crate) versions: Versions,
    /// Leafs held here, for parts that peers ask for.
    pub(crate) local: Versions,
    pub(crate) places: BTreeMap<Ix, Place>,
}

/// One service.
pub(crate) type Service = Cell<Placed>;
/// The tables of one service.
pub(crate) type State = FlowState<Placed>;

/// A service of which nothing is known yet.
pub(crate) fn new(name: ServiceName, route: &RouteSettings) -> Service {
    let choice = match route.choice {
        ReplicaChoice::PeakEwma => Choice::PeakEwma,
        ReplicaChoice::LeastOutstanding => Choice::LeastOutstanding,
        ReplicaChoice::RoundRobin => Choice::RoundRobin,
    };
    let table = TableConfig {
        choice,
        hedge_share: route.hedge,
        retry_share: route.retry,
        ..TableConfig::default()
    };
    let admission = AdmitConfig {
        queue_capacity: route.queue,
        ..AdmitConfig::default()
    };
    let admission = Admission::new(admission);
    Cell::new(name, Table::new(table), admission, Placed::default())
}

/// The leafs of a service that are held here, with their numbers.
pub(crate) fn held(service: &Service) -> Vec<(Ix, LeafId, SocketAddr)> {
    lock(&service.state)
        .extra
        .places
        .iter()
        .filter_map(|(ix, place)| match place {
            Place::Leaf(id, address) => Some((*ix, id.clone(), *address)),
            Place::Peer(..) => None,
        })
        .collect()
}

/// Marks a leaf as leaving or back; returns whether that is new.
pub(crate) fn mark_leaving(service: &Service, leaf: &LeafId, leaving: bool, now: Time) -> bool {
    let mut state = lock(&service.state);
    let Some(ix) = state.table.find(&Backend::Leaf(leaf.clone())) else {
        return false;
    };
    let new = state.table.is_leaving(ix) != leaving;
    state.table.set_leaving(ix, leaving, now);
    new
}
