//! What an entry keeps of one service.

use std::{collections::BTreeMap, net::SocketAddr, sync::Mutex};

use chestnut_conf::{ReplicaChoice, RouteSettings};
use chestnut_route::{
    Admission, AdmitConfig, Backend, Choice, Decision, Ix, Release, Table, TableConfig, Versions,
};
use chestnut_unit::{LeafId, MemberId, RequestId, ServiceName};
use rand::Rng;
use tokio::sync::oneshot;

use crate::shared::lock;

/// Where a back end is called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// A leaf that this entry holds.
    Leaf(LeafId, SocketAddr),
    /// A peer.
    Peer(MemberId, SocketAddr),
}

/// The tables of one service.
pub(crate) struct State {
    pub(crate) table: Table,
    /// Back ends for queries that enter here.
    pub(crate) versions: Versions,
    /// Leafs held here, for parts that peers ask for.
    pub(crate) local: Versions,
    pub(crate) places: BTreeMap<Ix, Place>,
    pub(crate) admission: Admission,
    pub(crate) waiting: BTreeMap<RequestId, oneshot::Sender<Decision>>,
}

/// One service.
pub(crate) struct Service {
    pub(crate) name: ServiceName,
    pub(crate) state: Mutex<State>,
}

impl Service {
    pub(crate) fn new(name: ServiceName, route: &RouteSettings) -> Self {
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
            queue: route.queue,
            ..AdmitConfig::default()
        };
        let state = State {
            table: Table::new(table),
            versions: Versions::default(),
            local: Versions::default(),
            places: BTreeMap::new(),
            admission: Admission::new(admission),
            waiting: BTreeMap::new(),
        };
        Self {
            name,
            state: Mutex::new(state),
        }
    }

    /// The leafs held here, with their numbers.
    pub(crate) fn held(&self) -> Vec<(Ix, LeafId, SocketAddr)> {
        lock(&self.state)
            .places
            .iter()
            .filter_map(|(ix, place)| match place {
                Place::Leaf(id, address) => Some((*ix, id.clone(), *address)),
                Place::Peer(..) => None,
            })
            .collect()
    }

    /// Marks a leaf as leaving or back; returns whether that is new.
    pub(crate) fn mark_leaving(
        &self,
        leaf: &LeafId,
        leaving: bool,
        now: chestnut_unit::Time,
    ) -> bool {
        let mut state = lock(&self.state);
        let Some(ix) = state.table.find(&Backend::Leaf(leaf.clone())) else {
            return false;
        };
        let new = state.table.is_leaving(ix) != leaving;
        state.table.set_leaving(ix, leaving, now);
        new
    }
}

impl State {
    /// Tells waiting requests what became of them. One whose caller has gone
    /// gives its place to the next.
    pub(crate) fn deliver(
        &mut self,
        mut releases: Vec<Release>,
        now: chestnut_unit::Time,
        rng: &mut dyn Rng,
    ) {
        while let Some(release) = releases.pop() {
            let told = self
                .waiting
                .remove(&release.id)
                .is_some_and(|waiter| waiter.send(release.decision).is_ok());
            if !told && release.decision == Decision::Run {
                self.admission.give_back(now, rng, &mut releases);
            }
        }
    }
}
