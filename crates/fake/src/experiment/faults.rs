//! Faults as they start and end.

use std::time::Duration;

use chestnut_route::{Failure, Pool};
use chestnut_unit::IndexVersion;

use super::{
    Fault,
    sim::{Event, Sim},
};

/// Time in which a connection's pings find that it is silent.
const PING_FINDS: Duration = Duration::from_millis(1500);
/// How long the leafs keep the old index version beside the new one.
const OLD_KEPT: Duration = Duration::from_millis(500);
/// How long a frozen entry stops.
const FREEZE: Duration = Duration::from_secs(10);

impl Sim<'_> {
    pub(super) fn fault(&mut self, number: usize) {
        match self.condition.faults[number] {
            Fault::SlowLeaf { factor } => self.leafs[0].slow = factor,
            Fault::SlowDomain { extra } => self.extra[0] = extra,
            Fault::LostLeaf => self.lose_leaf(0),
            Fault::LostDomain => {
                for leaf in 0..self.leafs.len() {
                    if self.leafs[leaf].domain == 0 {
                        self.lose_leaf(leaf);
                    }
                }
            }
            Fault::ColdLeafs => {
                for leaf in (0..self.leafs.len()).step_by(self.shape.replicas) {
                    self.leafs[leaf].cold = Some(self.now);
                }
            }
            Fault::NewVersion => self.new_version(),
            Fault::SilentConnections => self.silence(),
            Fault::DeadEntry => {
                self.entries[0].dead = true;
                self.entries[0].requests.clear();
            }
            Fault::FrozenEntry => self.entries[0].frozen = Some(self.now + FREEZE),
            Fault::Scarce { shards } => self.scarce(shards),
            Fault::None
            | Fault::Stragglers { .. }
            | Fault::LyingHealth
            | Fault::Shedding
            | Fault::Pauses => {}
        }
    }

    pub(super) fn fault_ends(&mut self, number: usize) {
        match self.condition.faults[number] {
            Fault::SlowLeaf { .. } => self.leafs[0].slow = 1.0,
            Fault::FrozenEntry => self.entries[0].frozen = None,
            _ => {}
        }
    }

    pub(super) fn lose_leaf(&mut self, leaf: usize) {
        self.leafs[leaf].dead = true;
        for job in self.leafs[leaf].drop_all() {
            self.answer(leaf, job, Err(Failure::Lost));
        }
        self.leafs[leaf].connections = 0;
        for entry in &mut self.entries {
            entry.links[leaf].pool = Pool::new(self.shape.pool, self.shape.spare);
        }
    }

    /// Takes all leafs but one of some shards away; the entries are told.
    fn scarce(&mut self, shards: usize) {
        for shard in 0..shards {
            for replica in 1..self.shape.replicas {
                let leaf = shard * self.shape.replicas + replica;
                self.lose_leaf(leaf);
                for entry in &mut self.entries {
                    entry.table.set_leaving(entry.ixs[leaf], true, self.now);
                }
            }
        }
    }

    pub(super) fn new_version(&mut self) {
        let version = IndexVersion(2);
        for leaf in &mut self.leafs {
            leaf.versions.push(version);
        }
        for entry in &mut self.entries {
            entry.add_version(self.shape, version, 1);
        }
        self.after(OLD_KEPT, Event::DropOld);
    }

    pub(super) fn silence(&mut self) {
        for at in 0..self.entries.len() {
            for leaf in 0..self.leafs.len() / 3 {
                let silent = self.entries[at].links[leaf].pool.ids();
                self.entries[at].links[leaf].silent = silent.clone();
                for conn in silent {
                    self.after(
                        PING_FINDS,
                        Event::Silent {
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

/// When a fault starts and ends in a run of `span`.
pub(super) fn fault_times(fault: &Fault, span: Duration) -> (Duration, Option<Duration>) {
    let third = span / 3;
    match fault {
        Fault::SlowLeaf { .. } => (third, Some(third * 2)),
        Fault::FrozenEntry => (third, Some(third + FREEZE)),
        Fault::SlowDomain { .. } | Fault::Scarce { .. } => (Duration::ZERO, None),
        _ => (third, None),
    }
}
