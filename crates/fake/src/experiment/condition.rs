//! The conditions under which policies are compared.

use std::time::Duration;

use chestnut_unit::Urgency;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// A share of calls takes a multiple of its time.
    Stragglers {
        /// Share of calls.
        share: f64,
        /// Factor on their time.
        factor: f64,
    },
    /// One leaf takes a multiple of its time for the middle of the run.
    SlowLeaf {
        /// Factor on its time.
        factor: f64,
    },
    /// Every call to one failure domain takes longer.
    SlowDomain {
        /// Time added.
        extra: Duration,
    },
    /// One leaf dies in the middle of the run.
    LostLeaf,
    /// All leafs of one failure domain die in the middle of the run.
    LostDomain,
    /// One replica of each shard, a third of the leafs, starts cold in the
    /// middle of the run.
    ColdLeafs,
    /// Health and load endpoints tell the opposite of the truth.
    LyingHealth,
    /// Leafs refuse what finds no free slot.
    Shedding,
    /// A new index version with a new layout comes in the middle of the run,
    /// and the leafs drop the old one half a second later.
    NewVersion,
    /// All open connections to a third of the leafs go silent at once.
    SilentConnections,
    /// One entry dies in the middle of the run.
    DeadEntry,
    /// One entry stops for ten seconds and comes back.
    FrozenEntry,
    /// Every leaf stops for a quarter of a second each six seconds, each at its
    /// own time.
    Pauses,
    /// Some shards have one leaf left, from the start on.
    Scarce {
        /// Shards.
        shards: usize,
    },
}

/// One condition.
#[derive(Clone, Debug)]
pub struct Condition {
    /// Its name in the tables.
    pub name: &'static str,
    /// Load, as a share of what the slots can serve.
    pub load: f64,
    /// Share of each urgency among the queries.
    pub mix: [(Urgency, f64); 3],
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

const NORMAL: [(Urgency, f64); 3] = [
    (Urgency::Now, 0.2),
    (Urgency::Normal, 0.8),
    (Urgency::Archive, 0.0),
];
const MIXED: [(Urgency, f64); 3] = [
    (Urgency::Now, 0.2),
    (Urgency::Normal, 0.3),
    (Urgency::Archive, 0.5),
];

fn at(name: &'static str, load: f64, faults: &[Fault]) -> Condition {
    Condition {
        name,
        load,
        mix: NORMAL,
        faults: faults.to_vec(),
    }
}

fn mixed(name: &'static str, load: f64) -> Condition {
    Condition {
        name,
        load,
        mix: MIXED,
        faults: vec![Fault::None],
    }
}

/// All conditions, the calm ones first.
#[must_use]
pub fn conditions() -> Vec<Condition> {
    let straggle = |share, factor| Fault::Stragglers { share, factor };
    let slow_domain = Fault::SlowDomain {
        extra: Duration::from_millis(20),
    };
    vec![
        at("calm-50", 0.5, &[Fault::None]),
        at("calm-80", 0.8, &[Fault::None]),
        at("stragglers-1x10", 0.5, &[straggle(0.01, 10.0)]),
        at("stragglers-1x30", 0.5, &[straggle(0.01, 30.0)]),
        at("stragglers-5x10", 0.5, &[straggle(0.05, 10.0)]),
        at("stragglers-5x30", 0.5, &[straggle(0.05, 30.0)]),
        at("slow-leaf", 0.5, &[Fault::SlowLeaf { factor: 10.0 }]),
        at("slow-domain", 0.5, &[slow_domain]),
        at("lost-leaf", 0.5, &[Fault::LostLeaf]),
        at("lost-domain", 0.5, &[Fault::LostDomain]),
        at("cold-leafs", 0.5, &[Fault::ColdLeafs]),
        at("lying-health", 0.5, &[Fault::LyingHealth]),
        at("shedding", 0.8, &[Fault::Shedding]),
        mixed("mixed-50", 0.5),
        mixed("overload-130", 1.3),
        mixed("overload-200", 2.0),
        at("new-version", 0.5, &[Fault::NewVersion]),
        at("silent-third", 0.5, &[Fault::SilentConnections]),
        at("dead-entry", 0.5, &[Fault::DeadEntry]),
        at("frozen-entry", 0.5, &[Fault::FrozenEntry]),
        at(
            "silent+lost-leaf",
            0.5,
            &[Fault::SilentConnections, Fault::LostLeaf],
        ),
        at(
            "version+slow-leaf",
            0.5,
            &[Fault::NewVersion, Fault::SlowLeaf { factor: 10.0 }],
        ),
    ]
}

/// Conditions in which some shards have little room. Loads are shares of what
/// a shard with one leaf of three can serve.
#[must_use]
pub fn room_conditions() -> Vec<Condition> {
    const ONE_OF_THREE: f64 = 1.0 / 3.0;
    let scarce = |name, load: f64, shards| {
        let faults = [Fault::Pauses, Fault::Scarce { shards }];
        at(name, load * ONE_OF_THREE, &faults)
    };
    vec![
        at("pauses", 0.85 * ONE_OF_THREE, &[Fault::Pauses]),
        scarce("1 scarce, 85%", 0.85, 1),
        scarce("1 scarce, 130%", 1.3, 1),
        scarce("2 scarce, 85%", 0.85, 2),
        scarce("2 scarce, 130%", 1.3, 2),
        scarce("3 scarce, 130%", 1.3, 3),
    ]
}
