//! The routing policies that are compared.

use std::time::Duration;

use chestnut_route::{AdmitConfig, Bounds, Choice, Guard, Hedge, LimitMode, TableConfig};
use chestnut_unit::Share;

use super::Topology;

/// A configuration of routing, admission and call limits, and its name.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Name in the tables.
    pub name: &'static str,
    /// Replica choice, hedging, retries and outlier guard.
    pub table: TableConfig,
    /// Admission control.
    pub admit: AdmitConfig,
    /// Limit on concurrent calls to a leaf.
    pub call_limit: CallLimit,
}

/// Limit on the calls that an entry has in flight at a leaf: none, fixed to its share of
/// the connections or of the slots, or adaptive between these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallLimit {
    /// No limit.
    Unlimited,
    /// The entry's share of the leaf's connections.
    Connections,
    /// The entry's share of the leaf's slots.
    Slots,
    /// An adaptive concurrency window between the two shares.
    Adaptive,
}

impl CallLimit {
    /// Returns the minimum and maximum of the limit, from the entry's share of the leaf's
    /// slots and connections; equal for a fixed limit, `None` if unlimited.
    pub(super) fn bounds(self, topology: &Topology) -> Option<Bounds> {
        let connections = topology.connections / topology.entries;
        let share = Bounds::share(topology.slots as u32, topology.entries, connections);
        match self {
            Self::Unlimited => None,
            Self::Connections => Some(Bounds {
                min: share.max,
                ..share
            }),
            Self::Slots => Some(Bounds {
                max: share.min,
                ..share
            }),
            Self::Adaptive => Some(share),
        }
    }
}

/// Concurrency limit that no run reaches.
const UNLIMITED: u32 = 4096;
/// Length of a pause of a leaf.
pub(super) const PAUSE_DURATION: Duration = Duration::from_millis(250);
/// Delay of the fixed hedge, a high quantile of call latency at half load.
const FIXED_HEDGE_DELAY: Duration = Duration::from_millis(12);

/// Returns an admission control with a fixed limit that no run reaches.
fn unlimited() -> AdmitConfig {
    AdmitConfig {
        initial_limit: UNLIMITED,
        queue_capacity: 256,
        limit_mode: LimitMode::Fixed,
    }
}

/// Returns a policy with this replica choice and without hedges; the rest is default.
fn unhedged(name: &'static str, choice: Choice) -> Policy {
    Policy {
        name,
        table: TableConfig {
            choice,
            hedge: Hedge::Never,
            ..TableConfig::default()
        },
        admit: AdmitConfig::default(),
        call_limit: CallLimit::Unlimited,
    }
}

/// Returns a policy with this replica choice and hedge; the rest is default.
fn hedged(name: &'static str, choice: Choice, hedge: Hedge) -> Policy {
    Policy {
        name,
        table: TableConfig {
            choice,
            hedge,
            ..TableConfig::default()
        },
        admit: AdmitConfig::default(),
        call_limit: CallLimit::Unlimited,
    }
}

/// Returns the daemon's default policy, the baselines and the alternatives.
#[must_use]
pub fn policies() -> Vec<Policy> {
    let default_hedge = TableConfig::default().hedge;
    let naive = Policy {
        name: "naive",
        table: TableConfig {
            choice: Choice::RoundRobin,
            hedge: Hedge::Never,
            retry_share: Share::from_permille(0),
            guard: Guard::Off,
            ..TableConfig::default()
        },
        admit: unlimited(),
        call_limit: CallLimit::Unlimited,
    };
    vec![
        Policy {
            name: "chestnut",
            table: TableConfig::default(),
            admit: AdmitConfig::default(),
            call_limit: CallLimit::Unlimited,
        },
        naive,
        unhedged("least-outstanding", Choice::LeastOutstanding),
        unhedged("power-of-two", Choice::PowerOfTwo),
        unhedged("peak-ewma", Choice::PeakEwma),
        unhedged("predicted", Choice::Predicted),
        hedged(
            "fixed-hedge",
            Choice::PeakEwma,
            Hedge::Fixed(FIXED_HEDGE_DELAY),
        ),
        hedged("predicted-hedged", Choice::Predicted, default_hedge),
        hedged("damped", Choice::Damped, default_hedge),
    ]
}

/// Returns the policies that limit load on shards with little capacity: none, a
/// limit from the service's mean run time, and limits for each leaf.
#[must_use]
pub fn capacity_policies() -> Vec<Policy> {
    let table = TableConfig {
        choice: Choice::Predicted,
        stall_backoff: PAUSE_DURATION,
        ..TableConfig::default()
    };
    let policy = |name, admit, call_limit| Policy {
        name,
        table: table.clone(),
        admit,
        call_limit,
    };
    vec![
        policy("none", unlimited(), CallLimit::Unlimited),
        policy(
            "mean run time",
            AdmitConfig::default(),
            CallLimit::Unlimited,
        ),
        policy("connections", unlimited(), CallLimit::Connections),
        policy("slots", unlimited(), CallLimit::Slots),
        policy("windows", unlimited(), CallLimit::Adaptive),
    ]
}
