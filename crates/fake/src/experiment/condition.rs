//! The load and the faults under which policies are compared.

use std::time::Duration;

use chestnut_unit::Urgency;

/// A fault injected into a run, at calls, leafs, entries, connections or the network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// Multiplies the service time of a random share of calls.
    Stragglers {
        /// Share of calls affected, from 0 to 1.
        share: f64,
        /// Factor on their service time.
        factor: f64,
    },
    /// Multiplies the service time of one leaf in the middle third of the run.
    SlowLeaf {
        /// Factor on its service time.
        factor: f64,
    },
    /// Adds network delay to and from the leafs of one failure domain.
    SlowDomain {
        /// Delay added in each direction.
        extra: Duration,
    },
    /// One leaf crashes a third into the run and stays down.
    LeafCrash,
    /// All leafs of one failure domain crash a third into the run.
    DomainCrash,
    /// One replica of each shard turns cold (slow until warmed up) a third into
    /// the run.
    ColdLeafs,
    /// Health and load endpoints report idle leafs as loaded and the reverse.
    InvertedHealth,
    /// Leafs refuse calls when all slots are busy instead of queueing them.
    Shedding,
    /// A new index version with another shard layout is published a third into
    /// the run, and the leafs drop the old version shortly after.
    NewVersion,
    /// All open connections to a third of the leafs stop carrying traffic
    /// without being closed.
    SilentConnections,
    /// One entry crashes a third into the run.
    EntryCrash,
    /// One entry process is suspended for a while and then resumes.
    EntryFreeze,
    /// Every leaf pauses periodically, out of phase with the others.
    LeafPauses,
    /// Some shards have a single replica from the start of the run.
    ReducedReplicas {
        /// Number of such shards.
        shards: usize,
    },
}

/// The load of a run, its mix of urgencies, and the faults injected.
#[derive(Clone, Debug)]
pub struct Condition {
    /// Name in the tables.
    pub name: &'static str,
    /// Arrival rate as a share of [`Topology::capacity`](super::Topology::capacity).
    pub load: f64,
    /// Share of the queries in each urgency class.
    pub mix: [(Urgency, f64); 3],
    /// Faults injected.
    pub faults: Vec<Fault>,
}

/// Shares of the urgencies without archive queries.
const NORMAL_MIX: [(Urgency, f64); 3] = [
    (Urgency::Now, 0.2),
    (Urgency::Normal, 0.8),
    (Urgency::Archive, 0.0),
];
/// Shares of the urgencies where half of the queries are for the archive.
const ARCHIVE_MIX: [(Urgency, f64); 3] = [
    (Urgency::Now, 0.2),
    (Urgency::Normal, 0.3),
    (Urgency::Archive, 0.5),
];

/// Returns a condition without archive queries; `load` is a share of the capacity.
fn with_faults(name: &'static str, load: f64, faults: &[Fault]) -> Condition {
    Condition {
        name,
        load,
        mix: NORMAL_MIX,
        faults: faults.to_vec(),
    }
}

/// Returns a condition with archive queries and no faults; `load` is a share of the
/// capacity.
fn mixed(name: &'static str, load: f64) -> Condition {
    Condition {
        name,
        load,
        mix: ARCHIVE_MIX,
        faults: vec![Fault::None],
    }
}

/// Returns the conditions of the policy comparison: several loads without faults, single
/// faults, and pairs of faults.
#[must_use]
pub fn conditions() -> Vec<Condition> {
    let straggle = |share, factor| Fault::Stragglers { share, factor };
    let slow_domain = Fault::SlowDomain {
        extra: Duration::from_millis(20),
    };
    vec![
        with_faults("calm-50", 0.5, &[Fault::None]),
        with_faults("calm-80", 0.8, &[Fault::None]),
        with_faults("stragglers-1x10", 0.5, &[straggle(0.01, 10.0)]),
        with_faults("stragglers-1x30", 0.5, &[straggle(0.01, 30.0)]),
        with_faults("stragglers-5x10", 0.5, &[straggle(0.05, 10.0)]),
        with_faults("stragglers-5x30", 0.5, &[straggle(0.05, 30.0)]),
        with_faults("slow-leaf", 0.5, &[Fault::SlowLeaf { factor: 10.0 }]),
        with_faults("slow-domain", 0.5, &[slow_domain]),
        with_faults("lost-leaf", 0.5, &[Fault::LeafCrash]),
        with_faults("lost-domain", 0.5, &[Fault::DomainCrash]),
        with_faults("cold-leafs", 0.5, &[Fault::ColdLeafs]),
        with_faults("lying-health", 0.5, &[Fault::InvertedHealth]),
        with_faults("shedding", 0.8, &[Fault::Shedding]),
        mixed("mixed-50", 0.5),
        mixed("overload-130", 1.3),
        mixed("overload-200", 2.0),
        with_faults("new-version", 0.5, &[Fault::NewVersion]),
        with_faults("silent-third", 0.5, &[Fault::SilentConnections]),
        with_faults("dead-entry", 0.5, &[Fault::EntryCrash]),
        with_faults("frozen-entry", 0.5, &[Fault::EntryFreeze]),
        with_faults(
            "silent+lost-leaf",
            0.5,
            &[Fault::SilentConnections, Fault::LeafCrash],
        ),
        with_faults(
            "version+slow-leaf",
            0.5,
            &[Fault::NewVersion, Fault::SlowLeaf { factor: 10.0 }],
        ),
    ]
}

/// Returns the conditions that compare call limits. Leafs pause in all of them; the first
/// has no scarce shards, the others have one to three with a single replica.
///
/// Loads are relative to the capacity of a shard with one replica of three.
#[must_use]
pub fn capacity_conditions() -> Vec<Condition> {
    /// Capacity of a shard with one of its three replicas, relative to the whole.
    const ONE_OF_THREE: f64 = 1.0 / 3.0;
    let reduced = |name, load: f64, shards| {
        let faults = [Fault::LeafPauses, Fault::ReducedReplicas { shards }];
        with_faults(name, load * ONE_OF_THREE, &faults)
    };
    vec![
        with_faults("pauses", 0.85 * ONE_OF_THREE, &[Fault::LeafPauses]),
        reduced("1 scarce, 85%", 0.85, 1),
        reduced("1 scarce, 130%", 1.3, 1),
        reduced("2 scarce, 85%", 0.85, 2),
        reduced("2 scarce, 130%", 1.3, 2),
        reduced("3 scarce, 130%", 1.3, 3),
    ]
}
