//! Snapshots of an index and their shard layouts.
//!
//! A shard is a part of a service's index. Each leaf that serves it holds a
//! replica of it.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{LeafId, ServiceName, ShardName};

/// Version of a service's index; a greater version is newer.
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

/// One version of a service's index. A query reads a single snapshot; results
/// from different snapshots are never merged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Snapshot {
    /// The service.
    pub service: ServiceName,
    /// The index version.
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
    /// Name, unique within the layout.
    pub name: ShardName,
    /// Leafs that hold a replica.
    pub leafs: Vec<LeafId>,
}

/// The shards of a snapshot and the leafs that hold them. Immutable:
/// repartitioning creates a new index version with its own layout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Layout {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Shards, in the order in which answers list them.
    pub shards: Vec<LayoutShard>,
}
