//! Access to the platform: its versioned object store and its list of VMs.

use std::{net::SocketAddr, time::Duration};

use chestnut_conf::{Object, ObjectKey, ObjectKind};
use chestnut_unit::{DomainName, Epoch, MemberId};
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

/// All objects of one kind, at one revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<Object>,
    /// The store's revision, from which a watch can continue without a gap.
    pub revision: u64,
    /// How often the store was restored from an older copy, if it tells.
    #[serde(default)]
    pub epoch: Epoch,
}

/// The objects of one kind that changed after a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The objects that changed, oldest change first.
    pub objects: Vec<Object>,
    /// The revision to watch from next.
    pub revision: u64,
    /// How often the store was restored from an older copy, if it tells. If it has risen since
    /// `revision` was returned, changes may be missing.
    #[serde(default)]
    pub epoch: Epoch,
}

/// What a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// An entry: a process of the tier, to which callers connect.
    Entry,
    /// A leaf: a back end that serves shards.
    Leaf,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the member or leaf that it runs.
    pub name: String,
    /// What it runs.
    pub role: VmRole,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether the platform is about to shut it down.
    pub leaving: bool,
    /// An entry's addresses for callers, operators and peers, in this order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub addresses: Option<[SocketAddr; 3]>,
}

impl Vm {
    /// Returns the member that this VM runs, `None` if it runs a leaf.
    #[must_use]
    pub fn member(&self) -> Option<MemberId> {
        match self.role {
            VmRole::Entry => MemberId::new(&self.name).ok(),
            VmRole::Leaf => None,
        }
    }
}

/// The platform's object API. Every call counts against the platform's rate
/// limits.
pub trait Platform: Send + Sync {
    /// Reads one object; `None` if it does not exist.
    fn get(&self, key: ObjectKey) -> BoxFuture<'_, Result<Option<Object>, PlatformError>>;

    /// Reads all objects of a kind.
    fn list(&self, kind: ObjectKind) -> BoxFuture<'_, Result<Listing, PlatformError>>;

    /// Writes an object if its version is `expected`; 0 means that it must not
    /// exist. Returns the new version. After [`PlatformError::Unavailable`] the
    /// write may have taken effect.
    fn put(
        &self,
        key: ObjectKey,
        expected: u64,
        value: serde_json::Value,
    ) -> BoxFuture<'_, Result<u64, PlatformError>>;

    /// Long poll: waits up to `wait` for objects of a kind to change after
    /// `revision`.
    fn watch(
        &self,
        kind: ObjectKind,
        revision: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Changes, PlatformError>>;

    /// Reads the list of VMs, which may be out of date.
    fn vms(&self) -> BoxFuture<'_, Result<Vec<Vm>, PlatformError>>;
}
