//! Services and their leafs, the targets that serve shards, as the platform lists
//! them.

use std::{collections::BTreeMap, net::SocketAddr};

use chestnut_unit::{DomainName, IndexVersion, LeafId};
use serde::{Deserialize, Serialize};

use crate::ValidationError;

/// One leaf of a service: its address, failure domain, limits and connection group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leaf {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: DomainName,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Maximum number of connections, over all entries.
    pub connections: u32,
    /// Group of leafs to which the same entries connect.
    pub group: u32,
}

/// A service: its leafs and the index versions being served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Leafs by name.
    pub leafs: BTreeMap<LeafId, Leaf>,
    /// Index versions being served. Each has a layout object named
    /// `SERVICE.VERSION`.
    pub versions: Vec<IndexVersion>,
}

impl Service {
    /// Checks that every leaf allows at least one request and one connection.
    ///
    /// # Errors
    ///
    /// Names the first invalid key and what is allowed.
    pub fn check(&self) -> Result<(), ValidationError> {
        for (id, leaf) in &self.leafs {
            if leaf.slots == 0 {
                let key = format!("leafs.{id}.slots");
                return Err(ValidationError::new(key, "must be at least 1"));
            }
            if leaf.connections == 0 {
                let key = format!("leafs.{id}.connections");
                return Err(ValidationError::new(key, "must be at least 1"));
            }
        }
        Ok(())
    }
}
