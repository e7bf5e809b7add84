//! Injection of faults, and their end.

use std::time::Duration;

use chestnut_route::{Failure, Pool};
use chestnut_unit::IndexVersion;

use super::{
    Fault,
    sim::{Event, Sim},
};

/// Time after which pings detect a silent connection.
const PING_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long the leafs keep the old index version after a new one appears.
const OLD_VERSION_RETENTION: Duration = Duration::from_millis(500);
/// How long a frozen entry is suspended.
const FREEZE_DURATION: Duration = Duration::from_secs(10);

impl Sim<'_> {
    /// Applies the fault at index `number` of the condition; those that act on
    /// the whole run, such as stragglers, need no action here.
    pub(super) fn start_fault(&mut self, number: usize) {
        match self.condition.faults[number] {
            Fault::SlowLeaf { factor } => self.leafs[0].fault_factor = factor,
            Fault::SlowDomain { extra } => self.extra_latency[0] = extra,
            Fault::LeafCrash => self.crash_leaf(0),
            Fault::DomainCrash => {
                for leaf in 0..self.leafs.len() {
                    if self.leafs[leaf].domain == 0 {
                        self.crash_leaf(leaf);
                    }
                }
            }
            Fault::ColdLeafs => {
                for leaf in (0..self.leafs.len()).step_by(self.topology.replicas) {
                    self.leafs[leaf].cold_since = Some(self.now);
                }
            }
            Fault::NewVersion => self.new_version(),
            Fault::SilentConnections => self.silence_connections(),
            Fault::EntryCrash => {
                self.entries[0].crashed = true;
                self.entries[0].requests.clear();
            }
            Fault::EntryFreeze => self.entries[0].frozen_until = Some(self.now + FREEZE_DURATION),
            Fault::ReducedReplicas { shards } => self.remove_replicas(shards),
            Fault::None
            | Fault::Stragglers { .. }
            | Fault::InvertedHealth
            | Fault::Shedding
            | Fault::LeafPauses => {}
        }
    }

    /// Reverts the fault at index `number` of the condition, if it is one that ends.
    pub(super) fn end_fault(&mut self, number: usize) {
        match self.condition.faults[number] {
            Fault::SlowLeaf { .. } => self.leafs[0].fault_factor = 1.0,
            Fault::EntryFreeze => self.entries[0].frozen_until = None,
            _ => {}
        }
    }

    /// Crashes a leaf: fails its calls and resets the connection pools to it.
    pub(super) fn crash_leaf(&mut self, leaf: usize) {
        self.leafs[leaf].crashed = true;
        for job in self.leafs[leaf].drop_all() {
            self.send_reply(leaf, job, Err(Failure::Lost));
        }
        self.leafs[leaf].connections = 0;
        for entry in &mut self.entries {
            entry.links[leaf].pool =
                Pool::new(self.topology.pool_size, self.topology.spare_connections);
        }
    }

    /// Removes all replicas but one of some shards, and marks them as leaving at
    /// the entries.
    fn remove_replicas(&mut self, shards: usize) {
        for shard in 0..shards {
            for replica in 1..self.topology.replicas {
                let leaf = shard * self.topology.replicas + replica;
                self.crash_leaf(leaf);
                for entry in &mut self.entries {
                    entry
                        .table
                        .set_leaving(entry.backends[leaf], true, self.now);
                }
            }
        }
    }

    /// Publishes a new index version, with each shard moved by one leaf.
    pub(super) fn new_version(&mut self) {
        let version = IndexVersion(2);
        for leaf in &mut self.leafs {
            leaf.versions.push(version);
        }
        for entry in &mut self.entries {
            entry.add_version(self.topology, version, 1);
        }
        self.schedule(OLD_VERSION_RETENTION, Event::DropOldVersion);
    }

    /// Makes the open connections to a third of the leafs silent.
    pub(super) fn silence_connections(&mut self) {
        for at in 0..self.entries.len() {
            for leaf in 0..self.leafs.len() / 3 {
                let silent = self.entries[at].links[leaf].pool.ids();
                self.entries[at].links[leaf].silent = silent.clone();
                for conn in silent {
                    self.schedule(
                        PING_TIMEOUT,
                        Event::SilenceFound {
                            entry: at,
                            leaf,
                            conn,
                        },
                    );
                }
            }
        }
    }
}

/// Returns when a fault starts, and when it ends if it does, in a run of `span`.
pub(super) fn fault_times(fault: &Fault, span: Duration) -> (Duration, Option<Duration>) {
    let third = span / 3;
    match fault {
        Fault::SlowLeaf { .. } => (third, Some(third * 2)),
        Fault::EntryFreeze => (third, Some(third + FREEZE_DURATION)),
        Fault::SlowDomain { .. } | Fault::ReducedReplicas { .. } => (Duration::ZERO, None),
        _ => (third, None),
    }
}
