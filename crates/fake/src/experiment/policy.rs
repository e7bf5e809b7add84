//! The policies that are compared.

use std::time::Duration;

use chestnut_route::{AdmitConfig, Bounds, Choice, Guard, Hedge, LimitMode, TableConfig};
use chestnut_unit::Share;

use super::Shape;

/// One way to decide.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Its name in the tables.
    pub name: &'static str,
    /// Choice, hedges, retries, guard.
    pub table: TableConfig,
    /// Admission.
    pub admit: AdmitConfig,
    /// How many calls are kept under way at a leaf.
    pub rooms: Rooms,
}

/// How many calls an entry keeps under way at a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rooms {
    /// Any number.
    Any,
    /// Its share of the connections.
    Connections,
    /// Its share of the slots.
    Slots,
    /// A window between the two.
    Windows,
}

impl Rooms {
    /// The bounds that make it so for an entry of `shape`.
    pub(super) fn bounds(self, shape: &Shape) -> Option<Bounds> {
        let connections = shape.connections / shape.entries;
        let share = Bounds::share(shape.slots as u32, shape.entries, connections);
        match self {
            Self::Any => None,
            Self::Connections => Some(Bounds {
                min: share.max,
                ..share
            }),
            Self::Slots => Some(Bounds {
                max: share.min,
                ..share
            }),
            Self::Windows => Some(share),
        }
    }
}

/// Requests at once that no run reaches: no limit.
const UNLIMITED: u32 = 4096;
/// Length of a pause of a leaf, as on the users' platform.
pub(super) const PAUSE: Duration = Duration::from_millis(250);
/// Delay of the fixed hedge: about the 97th percentile of a call at half load.
const FIXED_DELAY: Duration = Duration::from_millis(12);

fn without_limits() -> AdmitConfig {
    AdmitConfig {
        initial_limit: UNLIMITED,
        queue_capacity: 256,
        limit_mode: LimitMode::Fixed,
    }
}

fn choice_only(name: &'static str, choice: Choice) -> Policy {
    Policy {
        name,
        table: TableConfig {
            choice,
            hedge: Hedge::Never,
            ..TableConfig::default()
        },
        admit: AdmitConfig::default(),
        rooms: Rooms::Any,
    }
}

fn hedged(name: &'static str, choice: Choice, hedge: Hedge) -> Policy {
    Policy {
        name,
        table: TableConfig {
            choice,
            hedge,
            ..TableConfig::default()
        },
        admit: AdmitConfig::default(),
        rooms: Rooms::Any,
    }
}

/// What the daemon runs, the candidates, and the baselines.
#[must_use]
pub fn policies() -> Vec<Policy> {
    let late = TableConfig::default().hedge;
    let naive = Policy {
        name: "naive",
        table: TableConfig {
            choice: Choice::RoundRobin,
            hedge: Hedge::Never,
            retry_share: Share::from_permille(0),
            guard: Guard::Off,
            ..TableConfig::default()
        },
        admit: without_limits(),
        rooms: Rooms::Any,
    };
    vec![
        Policy {
            name: "chestnut",
            table: TableConfig::default(),
            admit: AdmitConfig::default(),
            rooms: Rooms::Any,
        },
        naive,
        choice_only("least-outstanding", Choice::LeastOutstanding),
        choice_only("power-of-two", Choice::PowerOfTwo),
        choice_only("peak-ewma", Choice::PeakEwma),
        choice_only("predicted", Choice::Predicted),
        hedged("fixed-hedge", Choice::PeakEwma, Hedge::Fixed(FIXED_DELAY)),
        hedged("predicted-hedged", Choice::Predicted, late),
        hedged("damped", Choice::Damped, late),
    ]
}

/// Ways to keep requests off shards that have little room: by the service's
/// mean run time, by the fullest shard, not at all.
#[must_use]
pub fn room_policies() -> Vec<Policy> {
    let table = TableConfig {
        choice: Choice::Predicted,
        stall_backoff: PAUSE,
        ..TableConfig::default()
    };
    let policy = |name, admit, rooms| Policy {
        name,
        table: table.clone(),
        admit,
        rooms,
    };
    vec![
        policy("none", without_limits(), Rooms::Any),
        policy("mean run time", AdmitConfig::default(), Rooms::Any),
        policy("connections", without_limits(), Rooms::Connections),
        policy("slots", without_limits(), Rooms::Slots),
        policy("windows", without_limits(), Rooms::Windows),
    ]
}
