//! An entry of an experiment: the daemon's own decision code and its state.

use std::{collections::BTreeMap, sync::Arc};

use chestnut_route::{
    Admission, Backend, BudgetId, CallId, Class, ConnId, Ix, Pool, Query, Route, Routes, Table,
    Versions,
};
use chestnut_unit::{IndexVersion, LeafId, ShardName, Snapshot, Time, Urgency};
use rand_chacha::ChaCha8Rng;

use super::{Policy, Shape};

/// A request at an entry, from its arrival on.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) urgency: Urgency,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
    pub(super) started: Option<Time>,
    pub(super) query: Option<Query<()>>,
    pub(super) restarts: u32,
    pub(super) ticking: Time,
    /// Times that its caller will come back if it is refused.
    pub(super) returns: u32,
}

/// A call that waits for a connection.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) query: u64,
    pub(super) call: CallId,
    pub(super) shards: Vec<usize>,
    pub(super) version: IndexVersion,
}

/// The connections of an entry to one leaf.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) pool: Pool,
    pub(super) silent: Vec<ConnId>,
    pub(super) waiting: Vec<Waiting>,
    pub(super) flying: BTreeMap<(u64, CallId), ConnId>,
}

/// An entry.
pub(super) struct Entry {
    pub(super) domain: usize,
    pub(super) table: Table,
    pub(super) versions: Versions,
    pub(super) admission: Admission,
    pub(super) requests: BTreeMap<u64, Request>,
    pub(super) links: Vec<Link>,
    pub(super) ixs: Vec<Ix>,
    pub(super) rng: ChaCha8Rng,
    pub(super) dead: bool,
    pub(super) frozen: Option<Time>,
    pub(super) opened: u64,
}

impl Entry {
    pub(super) fn new(domain: usize, shape: &Shape, policy: &Policy, rng: ChaCha8Rng) -> Self {
        let mut table = Table::new(policy.table.clone());
        let add = |leaf: usize| {
            let id = LeafId::new(format!("l{leaf}")).expect("a legal name");
            table.add(Backend::Leaf(id), shape.slots as u32, Time::ZERO)
        };
        let ixs: Vec<Ix> = (0..shape.leafs).map(add).collect();
        if let Some(bounds) = policy.rooms.bounds(shape) {
            for ix in &ixs {
                table.set_bounds(*ix, bounds);
            }
        }
        if let Some(goal) = shape.goal {
            table.set_objective(Class::default(), goal);
        }
        let link = || Link {
            pool: Pool::new(shape.pool, shape.spare),
            silent: Vec::new(),
            waiting: Vec::new(),
            flying: BTreeMap::new(),
        };
        let mut entry = Self {
            domain,
            table,
            versions: Versions::default(),
            admission: Admission::new(policy.admit),
            requests: BTreeMap::new(),
            links: (0..shape.leafs).map(|_| link()).collect(),
            ixs,
            rng,
            dead: false,
            frozen: None,
            opened: 0,
        };
        entry.add_version(shape, IndexVersion(1), 0);
        entry
    }

    /// Learns of an index version whose shards start at leaf `shift`.
    pub(super) fn add_version(&mut self, shape: &Shape, version: IndexVersion, shift: usize) {
        let shard = |s: usize| Route {
            name: ShardName::new(format!("s{s}")).expect("a legal name"),
            replicas: (0..shape.replicas)
                .map(|r| self.ixs[(s * shape.replicas + r + shift) % shape.leafs])
                .collect(),
            budget: BudgetId::default(),
        };
        let routes = Routes {
            snapshot: Snapshot {
                service: shape.service.clone(),
                version,
            },
            shards: (0..shape.shards).map(shard).collect(),
        };
        self.versions.insert(routes);
    }

    pub(super) fn pin(&self, now: Time) -> Option<Arc<Routes>> {
        self.versions.pin(&self.table, now)
    }

    pub(super) fn leaf_of(&self, ix: Ix) -> usize {
        ix.index()
    }
}
