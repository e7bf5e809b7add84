//! Which snapshot a query pins.

use std::{collections::BTreeMap, sync::Arc};

use chestnut_unit::{IndexVersion, ShardName, Snapshot, Time};

use crate::{Ix, PurseId, Table};

/// Index versions that are kept for pinning and for queries under way.
const VERSIONS_KEPT: usize = 8;

/// The back ends of one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The shard.
    pub name: ShardName,
    /// Back ends that hold it, or that hold leafs that do.
    pub replicas: Vec<Ix>,
    /// Who pays for extra calls to it.
    pub purse: PurseId,
}

/// The back ends of every shard of a snapshot. A query keeps the one that it
/// pinned until its end.
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
    /// Adds a version, or replaces the back ends of one that is known. The
    /// oldest version goes when there are more than eight.
    pub fn insert(&mut self, routes: Routes) {
        let version = routes.snapshot.version;
        self.routes.insert(version, Arc::new(routes));
        while self.routes.len() > VERSIONS_KEPT {
            self.routes.pop_first();
        }
    }

    /// Drops the versions that `keep` refuses.
    pub fn retain(&mut self, keep: impl Fn(IndexVersion) -> bool) {
        self.routes.retain(|version, _| keep(*version));
    }

    /// The newest version of which every shard has an open back end. If there
    /// is none, the newest of which most shards have one, so that a template
    /// that takes partial answers still gets them.
    #[must_use]
    pub fn pin(&self, table: &Table, now: Time) -> Option<Arc<Routes>> {
        let whole = self
            .routes
            .values()
            .rev()
            .find(|routes| open_shards(routes, table, now) == routes.shards.len());
        whole.cloned().or_else(|| self.widest(table, now))
    }

    /// The routes of one version.
    #[must_use]
    pub fn get(&self, version: IndexVersion) -> Option<Arc<Routes>> {
        self.routes.get(&version).cloned()
    }

    fn widest(&self, table: &Table, now: Time) -> Option<Arc<Routes>> {
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
