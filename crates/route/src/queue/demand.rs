//! What a query needs to start.

use std::{collections::BTreeSet, sync::Arc};

use chestnut_unit::{IndexVersion, Time};

use super::rank::{Cost, Standing};
use crate::{BudgetId, Class, Ix, QueueRank, Routes};

/// The shards that a query calls and how many of them must have capacity.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    pub(crate) routes: Arc<Routes>,
    /// The shards, as positions in the routes.
    pub(crate) shards: Arc<[usize]>,
    /// Minimum number of shards with capacity.
    pub(crate) needed: usize,
    /// The class of the calls.
    pub(crate) class: Class,
}

impl Demand {
    /// Returns the version that the calls must read.
    pub(super) fn version(&self) -> IndexVersion {
        self.routes.snapshot.version
    }

    /// Returns the replicas of the shard at `position`.
    pub(super) fn replicas(&self, position: usize) -> &[Ix] {
        &self.routes.shards[self.shards[position]].replicas
    }

    /// Returns the budget of the shard at `position`, which identifies its service.
    pub(super) fn service(&self, position: usize) -> BudgetId {
        self.routes.shards[self.shards[position]].budget
    }

    /// Returns the services of the shards at `positions`.
    pub(super) fn services_at(&self, positions: &BTreeSet<usize>) -> BTreeSet<BudgetId> {
        positions.iter().map(|at| self.service(*at)).collect()
    }

    /// Returns the services of all shards.
    pub(super) fn services(&self) -> impl Iterator<Item = BudgetId> {
        (0..self.shards.len()).map(|position| self.service(position))
    }

    /// Returns whether a back end holds one of the shards.
    pub(super) fn holds(&self, ix: Ix) -> bool {
        (0..self.shards.len()).any(|position| self.replicas(position).contains(&ix))
    }

    /// Returns whether another query needs the same, so that only the first of both must be
    /// checked for capacity. The names of the shards don't matter.
    pub(super) fn is_same(&self, other: &Demand) -> bool {
        let same_shard = |position: usize| {
            self.service(position) == other.service(position)
                && self.replicas(position) == other.replicas(position)
        };
        self.shards.len() == other.shards.len()
            && self.needed == other.needed
            && self.class == other.class
            && self.version() == other.version()
            && (0..self.shards.len()).all(same_shard)
    }
}

/// A query, or one shard of a query that has started, that asks for capacity.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) demand: Demand,
    pub(crate) rank: QueueRank,
    pub(crate) standing: Standing,
    /// When the latency objective passes.
    pub(crate) objective: Time,
    /// Until when a start can meet the latency objective.
    pub(crate) latest_start: Time,
    /// End of the wait.
    pub(crate) until: Time,
    pub(crate) cost: Cost,
    /// Whether it is a query without calls, which is refused if it would wait too long.
    pub(crate) whole: bool,
}
