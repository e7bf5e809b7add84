//! The routing state of one service.

use std::{collections::BTreeMap, net::SocketAddr};

use chestnut_conf::{ReplicaSelection, RouteSettings};
use chestnut_flow::{Cell, CellState, lock};
use chestnut_route::{Admission, AdmitConfig, Backend, Choice, Ix, Table, TableConfig, Versions};
use chestnut_unit::{LeafId, MemberId, ServiceName, Time};

/// How a back end is reached: a leaf directly, or leafs through the peer that
/// holds them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BackendAddress {
    /// A leaf that this entry holds.
    Leaf(LeafId, SocketAddr),
    /// A peer that holds leafs which this entry doesn't.
    Peer(MemberId, SocketAddr),
}

/// The routes of a service and the addresses of its back ends.
#[derive(Default)]
pub(crate) struct ServiceRoutes {
    /// Routes for queries of callers, by index version.
    pub(crate) versions: Versions,
    /// Routes over leafs held here, for parts that peers request.
    pub(crate) local: Versions,
    /// The address of each back end.
    pub(crate) addresses: BTreeMap<Ix, BackendAddress>,
}

/// A service with its table of back ends, admission queue and routes.
pub(crate) type Service = Cell<ServiceRoutes>;
/// The part of a [`Service`] behind its lock.
pub(crate) type State = CellState<ServiceRoutes>;

/// Creates a service without back ends or routes; the route settings set the
/// choice of replicas, the shares of hedges and retries, and the size of the
/// queue.
pub(crate) fn new(name: ServiceName, route: &RouteSettings) -> Service {
    let choice = match route.choice {
        ReplicaSelection::PeakEwma => Choice::PeakEwma,
        ReplicaSelection::LeastOutstanding => Choice::LeastOutstanding,
        ReplicaSelection::RoundRobin => Choice::RoundRobin,
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
    Cell::new(name, Table::new(table), admission, ServiceRoutes::default())
}

/// The leafs of a service that this entry holds, with table index and address.
pub(crate) fn held_leafs(service: &Service) -> Vec<(Ix, LeafId, SocketAddr)> {
    lock(&service.state)
        .extra
        .addresses
        .iter()
        .filter_map(|(ix, backend)| match backend {
            BackendAddress::Leaf(id, address) => Some((*ix, id.clone(), *address)),
            BackendAddress::Peer(..) => None,
        })
        .collect()
}

/// Marks a leaf as leaving or not, as of `now`; returns whether this changed
/// it. Returns false for a leaf that this entry never held.
pub(crate) fn mark_leaving(service: &Service, leaf: &LeafId, leaving: bool, now: Time) -> bool {
    let mut state = lock(&service.state);
    let Some(ix) = state.table.find(&Backend::Leaf(leaf.clone())) else {
        return false;
    };
    let new = state.table.is_leaving(ix) != leaving;
    state.table.set_leaving(ix, leaving, now);
    new
}
