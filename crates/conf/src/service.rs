//! Services: the leafs that may hold shards, as the platform lists them.

use std::{collections::BTreeMap, net::SocketAddr};

use chestnut_unit::{DomainName, IndexVersion, LeafId};
use serde::{Deserialize, Serialize};

use crate::CheckError;

/// One leaf of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leaf {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts from all entries together.
    pub connections: u32,
    /// The group of leafs whose holders are chosen together.
    pub group: u32,
}

/// A service and the index versions that its leafs may serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its leafs.
    pub leafs: BTreeMap<LeafId, Leaf>,
    /// Index versions that are being served, each with a layout object named
    /// `SERVICE.VERSION`.
    pub versions: Vec<IndexVersion>,
}

impl Service {
    /// Checks that the service can be routed to.
    ///
    /// # Errors
    ///
    /// Names the first key that is wrong and what would be right.
    pub fn check(&self) -> Result<(), CheckError> {
        for (id, leaf) in &self.leafs {
            if leaf.slots == 0 {
                let key = format!("leafs.{id}.slots");
                return Err(CheckError::new(key, "must be at least 1"));
            }
            if leaf.connections == 0 {
                let key = format!("leafs.{id}.connections");
                return Err(CheckError::new(key, "must be at least 1"));
            }
        }
        Ok(())
    }
}
