//! Selection of the snapshot that a query pins.
//!
//! A snapshot is one index version of a service. It consists of shards, each
//! held by one or more back ends, its replicas.

use std::{collections::BTreeMap, sync::Arc};

use chestnut_unit::{IndexVersion, ShardName, Snapshot, Time};

use crate::{BudgetId, Ix, Table};

/// Number of index versions kept for pinning and for queries in flight.
const VERSIONS_KEPT: usize = 8;

/// The back ends of one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the shard.
    pub name: ShardName,
    /// Back ends that hold the shard, or peers that call such leafs.
    pub replicas: Vec<Ix>,
    /// Budget that pays for extra calls to it.
    pub budget: BudgetId,
}

/// The back ends of every shard of a snapshot. A query uses the routes that it
/// pinned until it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Routes {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Its shards.
    pub shards: Vec<Route>,
}

/// The index versions of a service that may be pinned.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    routes: BTreeMap<IndexVersion, Arc<Routes>>,
}

impl Versions {
    /// Adds a version or replaces its routes. The oldest version is dropped
    /// when there are more than eight.
    pub fn insert(&mut self, routes: Routes) {
        let version = routes.snapshot.version;
        self.routes.insert(version, Arc::new(routes));
        while self.routes.len() > VERSIONS_KEPT {
            self.routes.pop_first();
        }
    }

    /// Drops the versions for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(IndexVersion) -> bool) {
        self.routes.retain(|version, _| keep(*version));
    }

    /// Returns the newest version of which every shard has an open back end.
    /// Without one, returns the version with the highest share of open shards
    /// (the newest of equals), for templates that accept partial answers;
    /// `None` if no shard is open.
    #[must_use]
    pub fn pin(&self, table: &Table, now: Time) -> Option<Arc<Routes>> {
        let complete = self
            .routes
            .values()
            .rev()
            .find(|routes| open_shards(routes, table, now) == routes.shards.len());
        complete
            .cloned()
            .or_else(|| self.highest_coverage(table, now))
    }

    /// Returns the routes of one version, or `None` if it isn't kept.
    #[must_use]
    pub fn get(&self, version: IndexVersion) -> Option<Arc<Routes>> {
        self.routes.get(&version).cloned()
    }

    /// Returns the version with the highest share of open shards in whole
    /// permille, the newest of equals; `None` if all shares are 0.
    fn highest_coverage(&self, table: &Table, now: Time) -> Option<Arc<Routes>> {
        let share =
            |routes: &Routes| open_shards(routes, table, now) * 1000 / routes.shards.len().max(1);
        self.routes
            .values()
            .map(|routes| (share(routes), routes))
            .filter(|(share, _)| *share > 0)
            .max_by_key(|(share, routes)| (*share, routes.snapshot.version))
            .map(|(_, routes)| routes.clone())
    }
}

/// Counts the shards with at least one back end that may be called for the
/// version.
fn open_shards(routes: &Routes, table: &Table, now: Time) -> usize {
    let version = routes.snapshot.version;
    routes
        .shards
        .iter()
        .filter(|shard| {
            shard
                .replicas
                .iter()
                .any(|ix| table.is_open(*ix, version, now))
        })
        .count()
}
