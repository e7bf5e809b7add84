//! The policies that are compared.

use std::time::Duration;

use chestnut_route::{Adapt, AdmitConfig, Choice, Guard, Hedge, TableConfig};
use chestnut_unit::Share;

/// One way to decide.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Its name in the tables.
    pub name: &'static str,
    /// Choice, hedges, retries, guard.
    pub table: TableConfig,
    /// Admission.
    pub admit: AdmitConfig,
}

/// Requests at once that no run reaches: no limit.
const UNLIMITED: u32 = 4096;
/// Delay of the fixed hedge: about the 97th percentile of a call at half load.
const FIXED_DELAY: Duration = Duration::from_millis(12);

fn without_limits() -> AdmitConfig {
    AdmitConfig {
        initial: UNLIMITED,
        queue: 256,
        adapt: Adapt::No,
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
    };
    vec![
        Policy {
            name: "chestnut",
            table: TableConfig::default(),
            admit: AdmitConfig::default(),
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
