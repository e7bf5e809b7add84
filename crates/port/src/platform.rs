//! The port to the platform.

use std::{net::SocketAddr, time::Duration};

use chestnut_conf::{Kind, Object, ObjectKey};
use chestnut_unit::{DomainName, MemberId};
use displaydoc::Display;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum PlatformError {
    /// the object is at version {current}, not at the one expected
    Conflict {
        /// The version that the platform holds; 0 if there is none.
        current: u64,
    },
    /// the platform can't be reached or gave no answer in time
    Unavailable,
    /// the platform refused the call: {0}
    Refused(String),
}

impl std::error::Error for PlatformError {}

/// All objects of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<Object>,
    /// Point in the platform's history from which a watch may follow.
    pub revision: u64,
}

/// What has changed since a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The objects that changed, oldest change first.
    pub objects: Vec<Object>,
    /// The revision to watch from next.
    pub revision: u64,
}

/// What a VM of the platform's list is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// An entry of ours.
    Entry,
    /// A leaf.
    Leaf,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name: that of the member or of the leaf.
    pub name: String,
    /// What it is for.
    pub role: VmRole,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether the platform is taking it down.
    pub leaving: bool,
    /// Where an entry listens for callers, operators and peers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub addresses: Option<[SocketAddr; 3]>,
}

impl Vm {
    /// The member that an entry's VM runs.
    #[must_use]
    pub fn member(&self) -> Option<MemberId> {
        match self.role {
            VmRole::Entry => MemberId::new(&self.name).ok(),
            VmRole::Leaf => None,
        }
    }
}

/// The port to the platform's object API. Every call counts against its rates.
pub trait Platform: Send + Sync {
    /// Reads one object.
    fn get(&self, key: ObjectKey) -> BoxFuture<'_, Result<Option<Object>, PlatformError>>;

    /// Reads all objects of a kind.
    fn list(&self, kind: Kind) -> BoxFuture<'_, Result<Listing, PlatformError>>;

    /// Writes an object if it is at version `expected` (0: if there is none).
    /// Returns the new version. After [`PlatformError::Unavailable`] the write
    /// may have taken effect.
    fn put(
        &self,
        key: ObjectKey,
        expected: u64,
        value: serde_json::Value,
    ) -> BoxFuture<'_, Result<u64, PlatformError>>;

    /// Waits up to `wait` for objects of a kind to change after `revision`.
    fn watch(
        &self,
        kind: Kind,
        revision: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Changes, PlatformError>>;

    /// Reads the lagging list of VMs.
    fn vms(&self) -> BoxFuture<'_, Result<Vec<Vm>, PlatformError>>;
}
