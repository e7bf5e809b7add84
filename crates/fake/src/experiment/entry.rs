//! An entry, the process that callers connect to: the daemon's routing code and
//! its state.

use std::{collections::BTreeMap, sync::Arc};

use chestnut_route::{
    Admission, Backend, BudgetId, CallId, Class, ConnId, Ix, Pool, Query, Route, Routes, Table,
    Versions,
};
use chestnut_unit::{IndexVersion, LeafId, ShardName, Snapshot, Time, Urgency};
use rand_chacha::ChaCha8Rng;

use super::{Policy, Topology};

/// A request at an entry, from its arrival to its end.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) urgency: Urgency,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
    /// When its query first started.
    pub(super) started: Option<Time>,
    pub(super) query: Option<Query<()>>,
    /// Restarts of its query after a lost snapshot.
    pub(super) restarts: u32,
    /// When the timer armed for its query fires.
    pub(super) timer_at: Time,
    /// Retries that its caller still makes if it is not served.
    pub(super) retries_left: u32,
}

/// A call that waits for a connection to its leaf.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    pub(super) query: u64,
    pub(super) call: CallId,
    pub(super) shards: Vec<usize>,
    pub(super) version: IndexVersion,
}

/// The connections of an entry to one leaf.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) pool: Pool,
    /// Connections that carry no traffic but are not yet closed.
    pub(super) silent: Vec<ConnId>,
    /// Calls that wait for a connection.
    pub(super) pending: Vec<PendingCall>,
    /// Connection of each call that has been sent, by query and call.
    pub(super) in_flight: BTreeMap<(u64, CallId), ConnId>,
}

/// A modelled entry: its routing table, index versions, admission control, requests and
/// connections.
pub(super) struct Entry {
    pub(super) domain: usize,
    pub(super) table: Table,
    pub(super) versions: Versions,
    pub(super) admission: Admission,
    pub(super) requests: BTreeMap<u64, Request>,
    /// Connections by leaf.
    pub(super) links: Vec<Link>,
    /// Index in the routing table of each leaf.
    pub(super) backends: Vec<Ix>,
    pub(super) rng: ChaCha8Rng,
    pub(super) crashed: bool,
    /// Time until which the process is suspended.
    pub(super) frozen_until: Option<Time>,
    /// Connections opened after the warm-up.
    pub(super) connections_opened: u64,
}

impl Entry {
    /// Creates an entry that knows the first index version.
    pub(super) fn new(
        domain: usize,
        topology: &Topology,
        policy: &Policy,
        rng: ChaCha8Rng,
    ) -> Self {
        let mut table = Table::new(policy.table.clone());
        let add = |leaf: usize| {
            let id = LeafId::new(format!("l{leaf}")).expect("a legal name");
            table.add(Backend::Leaf(id), topology.slots as u32, Time::ZERO)
        };
        let backends: Vec<Ix> = (0..topology.leafs).map(add).collect();
        if let Some(bounds) = policy.call_limit.bounds(topology) {
            for ix in &backends {
                table.set_bounds(*ix, bounds);
            }
        }
        if let Some(objective) = topology.objective {
            table.set_objective(Class::default(), objective);
        }
        let link = || Link {
            pool: Pool::new(topology.pool_size, topology.spare_connections),
            silent: Vec::new(),
            pending: Vec::new(),
            in_flight: BTreeMap::new(),
        };
        let mut entry = Self {
            domain,
            table,
            versions: Versions::default(),
            admission: Admission::new(policy.admit),
            requests: BTreeMap::new(),
            links: (0..topology.leafs).map(|_| link()).collect(),
            backends,
            rng,
            crashed: false,
            frozen_until: None,
            connections_opened: 0,
        };
        entry.add_version(topology, IndexVersion(1), 0);
        entry
    }

    /// Adds an index version to the entry's routes; its replicas are on consecutive leafs
    /// from leaf `shift` on.
    pub(super) fn add_version(&mut self, topology: &Topology, version: IndexVersion, shift: usize) {
        let shard = |s: usize| Route {
            name: ShardName::new(format!("s{s}")).expect("a legal name"),
            replicas: (0..topology.replicas)
                .map(|r| self.backends[(s * topology.replicas + r + shift) % topology.leafs])
                .collect(),
            budget: BudgetId::default(),
        };
        let routes = Routes {
            snapshot: Snapshot {
                service: topology.service.clone(),
                version,
            },
            shards: (0..topology.shards).map(shard).collect(),
        };
        self.versions.insert(routes);
    }

    /// Returns the routes of the newest complete index version for a new query, else of the
    /// one with the most available shards; `None` if no shard is available.
    pub(super) fn pin(&self, now: Time) -> Option<Arc<Routes>> {
        self.versions.pin(&self.table, now)
    }

    /// Returns the leaf at an index of the routing table.
    pub(super) fn leaf_of(&self, ix: Ix) -> usize {
        ix.index()
    }
}
