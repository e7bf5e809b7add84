//! Snapshots and the layouts of shards that belong to them.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{LeafId, ServiceName, ShardName};

/// The version of a service's index. A greater version is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct IndexVersion(pub u64);

impl fmt::Display for IndexVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

impl FromStr for IndexVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_start_matches('v').parse().map(Self)
    }
}

/// What one query reads: one version of one service's index. Parts of two
/// snapshots are never merged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Snapshot {
    /// The service.
    pub service: ServiceName,
    /// The version of its index.
    pub version: IndexVersion,
}

impl fmt::Display for Snapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.service, self.version)
    }
}

/// One shard of a layout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LayoutShard {
    /// Its name, unique in the layout.
    pub name: ShardName,
    /// The leafs that hold a replica of it.
    pub leafs: Vec<LeafId>,
}

/// Which shards a snapshot has and which leafs hold them. A layout never
/// changes: repartitioning makes a new index version with a new layout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Layout {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Its shards, in the order in which answers list them.
    pub shards: Vec<LayoutShard>,
}
