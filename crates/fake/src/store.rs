//! The state of the platform stand-in, and the ways in which it can fail.

use std::collections::BTreeMap;

use chestnut_conf::{Object, ObjectKey, ObjectKind};
use chestnut_port::{Changes, Listing, PlatformError, Vm};
use chestnut_unit::Time;
use serde::{Deserialize, Serialize};

/// How the stand-in misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFault {
    /// Every call fails.
    pub down: bool,
    /// Milliseconds added to every call.
    pub slow_ms: u64,
    /// Writes that take effect and whose answer is lost, counted down.
    pub lose_answers: u32,
    /// Reads are answered from this many revisions ago.
    pub stale: u64,
    /// Milliseconds by which the list of VMs lags.
    pub lag_ms: u64,
}

/// Calls counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of one object.
    pub gets: u64,
    /// Lists.
    pub lists: u64,
    /// Writes.
    pub puts: u64,
    /// Watches, each waiting one counted once.
    pub watches: u64,
    /// Readings of the list of VMs.
    pub vms: u64,
}

impl Counts {
    /// All calls but writes.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.gets + self.lists + self.watches + self.vms
    }
}

/// The objects with their whole history, and the list of VMs.
#[derive(Debug, Default)]
pub struct Store {
    history: Vec<Object>,
    vms: Vec<(Time, Vec<Vm>)>,
    /// How it misbehaves.
    pub fault: PlatformFault,
    /// Calls so far.
    pub counts: Counts,
}

impl Store {
    /// The latest revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.history.len() as u64
    }

    /// Writes an object if it is at version `expected`.
    ///
    /// # Errors
    ///
    /// The platform is down, or the object is at another version.
    pub fn put(
        &mut self,
        key: ObjectKey,
        expected: u64,
        value: serde_json::Value,
    ) -> Result<u64, PlatformError> {
        self.counts.puts += 1;
        self.up()?;
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

    /// Writes an object as the platform itself does, whatever its faults.
    pub fn write(&mut self, key: ObjectKey, value: serde_json::Value) {
        let version = self.peek(&key).map_or(0, |object| object.version) + 1;
        self.history.push(Object {
            key,
            version,
            value,
        });
    }

    /// The newest state of an object, whatever the faults.
    #[must_use]
    pub fn peek(&self, key: &ObjectKey) -> Option<Object> {
        self.latest(key, self.revision()).cloned()
    }

    /// Every object of a kind, whatever the faults.
    #[must_use]
    pub fn peek_all(&self, kind: ObjectKind) -> Vec<Object> {
        self.newest(kind, self.revision())
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// The platform is down.
    pub fn get(&mut self, key: &ObjectKey) -> Result<Option<Object>, PlatformError> {
        self.counts.gets += 1;
        self.up()?;
        Ok(self.latest(key, self.readable()).cloned())
    }

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// The platform is down.
    pub fn list(&mut self, kind: ObjectKind) -> Result<Listing, PlatformError> {
        self.counts.lists += 1;
        self.up()?;
        let revision = self.readable();
        Ok(Listing {
            objects: self.newest(kind, revision),
            revision,
        })
    }

    /// Changes of a kind after `revision`, without waiting.
    ///
    /// # Errors
    ///
    /// The platform is down.
    pub fn changes(&self, kind: ObjectKind, revision: u64) -> Result<Changes, PlatformError> {
        self.up()?;
        let until = self.readable();
        let from = revision.min(until) as usize;
        let objects = self.history[from..until as usize]
            .iter()
            .filter(|object| object.key.kind == kind)
            .cloned()
            .collect();
        Ok(Changes {
            objects,
            revision: until.max(revision),
        })
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&mut self, vms: Vec<Vm>, now: Time) {
        self.vms.push((now, vms));
    }

    /// Reads the lagging list of VMs.
    ///
    /// # Errors
    ///
    /// The platform is down.
    pub fn vms(&mut self, now: Time) -> Result<Vec<Vm>, PlatformError> {
        self.counts.vms += 1;
        self.up()?;
        let lag = std::time::Duration::from_millis(self.fault.lag_ms);
        let seen = self.vms.iter().rev().find(|(at, _)| *at + lag <= now);
        let first = self.vms.first();
        Ok(seen
            .or(first)
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default())
    }

    /// The list of VMs as it truly is.
    #[must_use]
    pub fn true_vms(&self) -> Vec<Vm> {
        self.vms
            .last()
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }

    fn up(&self) -> Result<(), PlatformError> {
        if self.fault.down {
            return Err(PlatformError::Unavailable);
        }
        Ok(())
    }

    fn readable(&self) -> u64 {
        self.revision().saturating_sub(self.fault.stale)
    }

    fn newest(&self, kind: ObjectKind, revision: u64) -> Vec<Object> {
        let mut newest: BTreeMap<&ObjectKey, &Object> = BTreeMap::new();
        for object in &self.history[..revision as usize] {
            if object.key.kind == kind {
                newest.insert(&object.key, object);
            }
        }
        newest.into_values().cloned().collect()
    }

    fn latest(&self, key: &ObjectKey, revision: u64) -> Option<&Object> {
        self.history[..revision as usize]
            .iter()
            .rev()
            .find(|object| object.key == *key)
    }
}
