//! State of the simulated platform, with fault injection.

use std::collections::BTreeMap;

use chestnut_conf::{Object, ObjectKey, ObjectKind};
use chestnut_port::{Changes, Listing, PlatformError, Vm};
use chestnut_unit::{Epoch, Time};
use serde::{Deserialize, Serialize};

/// Faults injected into the simulated platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFault {
    /// Whether every call fails.
    pub down: bool,
    /// Delay added to every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes that take effect but return an error.
    pub lose_answers: u32,
    /// Number of revisions by which reads lag.
    pub stale: u64,
    /// Lag of the list of VMs, in milliseconds.
    pub lag_ms: u64,
}

/// Counts calls to the platform since its start, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of one object.
    pub gets: u64,
    /// Lists of a kind.
    pub lists: u64,
    /// Writes.
    pub puts: u64,
    /// Watches, counted once however long they wait.
    pub watches: u64,
    /// Reads of the list of VMs.
    pub vms: u64,
}

impl CallCounts {
    /// Returns the number of calls other than writes.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.gets + self.lists + self.watches + self.vms
    }
}

/// Stores every revision of all objects, and the list of VMs over time.
#[derive(Debug, Default)]
pub struct Store {
    history: Vec<Object>,
    /// How often the store was restored from an older copy.
    restores: u64,
    vms: Vec<(Time, Vec<Vm>)>,
    /// Injected faults.
    pub fault: PlatformFault,
    /// Calls since the start.
    pub counts: CallCounts,
}

impl Store {
    /// Returns the number of the latest revision: the count of writes to all objects.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.history.len() as u64
    }

    /// Restores the store from a copy without the last `writes` changes, whose revisions and
    /// versions are given out again.
    pub fn restore(&mut self, writes: u64) {
        let kept = self.revision().saturating_sub(writes);
        self.history.truncate(kept as usize);
        self.restores += 1;
    }

    /// Writes an object if it is at version `expected` (0: absent) and returns
    /// its new version.
    ///
    /// # Errors
    ///
    /// The platform is down, the answer is lost by a fault, or the object is at
    /// another version.
    pub fn put(
        &mut self,
        key: ObjectKey,
        expected: u64,
        value: serde_json::Value,
    ) -> Result<u64, PlatformError> {
        self.counts.puts += 1;
        self.check_up()?;
        let current = self.latest(&key, self.revision()).map_or(0, |o| o.version);
        if current != expected {
            return Err(PlatformError::Conflict { current });
        }
        let version = current + 1;
        self.history.push(Object {
            key,
            version,
            value,
        });
        if self.fault.lose_answers > 0 {
            self.fault.lose_answers -= 1;
            return Err(PlatformError::Unavailable);
        }
        Ok(version)
    }

    /// Writes an object unconditionally, ignoring faults.
    pub fn put_unfaulted(&mut self, key: ObjectKey, value: serde_json::Value) {
        let version = self.get_unfaulted(&key).map_or(0, |object| object.version) + 1;
        self.history.push(Object {
            key,
            version,
            value,
        });
    }

    /// Returns the latest version of an object, ignoring faults; `None` if it was never
    /// written.
    #[must_use]
    pub fn get_unfaulted(&self, key: &ObjectKey) -> Option<Object> {
        self.latest(key, self.revision()).cloned()
    }

    /// Returns the latest version of every object of a kind, ignoring faults.
    #[must_use]
    pub fn list_unfaulted(&self, kind: ObjectKind) -> Vec<Object> {
        self.latest_all(kind, self.revision())
    }

    /// Counts the read and returns one object as of the visible revision; `None` if it
    /// does not exist there.
    ///
    /// # Errors
    ///
    /// The platform is down.
    pub fn get(&mut self, key: &ObjectKey) -> Result<Option<Object>, PlatformError> {
        self.counts.gets += 1;
        self.check_up()?;
        Ok(self.latest(key, self.visible_revision()).cloned())
    }

    /// Counts the read and returns all objects of a kind as of the visible revision.
    ///
    /// # Errors
    ///
    /// The platform is down.
    pub fn list(&mut self, kind: ObjectKind) -> Result<Listing, PlatformError> {
        self.counts.lists += 1;
        self.check_up()?;
        let revision = self.visible_revision();
        Ok(Listing {
            objects: self.latest_all(kind, revision),
            revision,
            epoch: Epoch(Some(self.restores)),
        })
    }

    /// Returns the changes of a kind after `revision` up to the visible one, without
    /// waiting; empty if there are none.
    ///
    /// # Errors
    ///
    /// The platform is down.
    pub fn changes(&self, kind: ObjectKind, revision: u64) -> Result<Changes, PlatformError> {
        self.check_up()?;
        let until = self.visible_revision();
        let from = revision.min(until) as usize;
        let objects = self.history[from..until as usize]
            .iter()
            .filter(|object| object.key.kind == kind)
            .cloned()
            .collect();
        Ok(Changes {
            objects,
            revision: until.max(revision),
            epoch: Epoch(Some(self.restores)),
        })
    }

    /// Replaces the list of VMs as of `now`; reads with a lag still see earlier lists.
    pub fn set_vms(&mut self, vms: Vec<Vm>, now: Time) {
        self.vms.push((now, vms));
    }

    /// Counts the read and returns the list of VMs as of `lag_ms` before `now`; the first
    /// list if none is that old.
    ///
    /// # Errors
    ///
    /// The platform is down.
    pub fn vms(&mut self, now: Time) -> Result<Vec<Vm>, PlatformError> {
        self.counts.vms += 1;
        self.check_up()?;
        let lag = std::time::Duration::from_millis(self.fault.lag_ms);
        let seen = self.vms.iter().rev().find(|(at, _)| *at + lag <= now);
        let first = self.vms.first();
        Ok(seen
            .or(first)
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default())
    }

    /// Returns the current list of VMs, ignoring faults.
    #[must_use]
    pub fn last_vms(&self) -> Vec<Vm> {
        self.vms
            .last()
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }

    /// Fails with `Unavailable` if the platform is down.
    fn check_up(&self) -> Result<(), PlatformError> {
        if self.fault.down {
            return Err(PlatformError::Unavailable);
        }
        Ok(())
    }

    /// Returns the latest revision that reads can see: `stale` before the latest, at least 0.
    fn visible_revision(&self) -> u64 {
        self.revision().saturating_sub(self.fault.stale)
    }

    /// Returns the objects of a kind as of `revision`.
    fn latest_all(&self, kind: ObjectKind, revision: u64) -> Vec<Object> {
        let mut latest: BTreeMap<&ObjectKey, &Object> = BTreeMap::new();
        for object in &self.history[..revision as usize] {
            if object.key.kind == kind {
                latest.insert(&object.key, object);
            }
        }
        latest.into_values().cloned().collect()
    }

    /// Returns an object as of `revision`; `None` if it did not exist then.
    fn latest(&self, key: &ObjectKey, revision: u64) -> Option<&Object> {
        self.history[..revision as usize]
            .iter()
            .rev()
            .find(|object| object.key == *key)
    }
}
