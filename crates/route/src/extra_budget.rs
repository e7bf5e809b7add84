//! Budgets that pay for extra calls (hedges and retries).

use chestnut_unit::{Share, Time};

use crate::{Budget, CallKind, Tally};

/// Index of a budget in its table. Index 0 is the table's default budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PurseId(pub(crate) u32);

/// Cost of a retry after a shed call, as a fraction of an executed call.
const SHED_COST: f64 = 0.25;
/// Fraction of a joint budget that any extra call may spend; below it, calls with the
/// highest gain come first. A larger fraction lets queries that lack several shards
/// exhaust the budget; a fraction of zero withholds hedges for the last missing shard
/// in normal operation.
const FREE_FRACTION: f64 = 0.25;

/// A budget's decision on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Paid {
    /// The call is paid for.
    Yes,
    /// The budget is exhausted.
    Unpaid,
    /// The call's gain is too small for what is left of the budget.
    Spared,
}

impl Paid {
    fn if_enough(enough: bool) -> Self {
        match enough {
            true => Self::Yes,
            false => Self::Unpaid,
        }
    }
}

/// The budgets that pay for extra calls to a group of shards.
#[derive(Clone, Debug)]
pub enum Purse {
    /// Hedges and retries have separate budgets, and a retry after a shed call costs a
    /// fraction.
    Split {
        /// Budget for hedges.
        hedges: Budget,
        /// Budget for retries.
        retries: Budget,
    },
    /// Every call after the first costs one token, whatever its outcome: targets count
    /// arrivals.
    Joint(Budget),
}

impl Purse {
    /// Creates separate budgets for hedges and retries, each with a capacity of
    /// `burst` calls.
    #[must_use]
    pub fn split(hedges: Share, retries: Share, burst: u32) -> Self {
        Self::Split {
            hedges: Budget::new(hedges, burst),
            retries: Budget::new(retries, burst),
        }
    }

    /// Adds the tokens that accrue with time until `now`.
    pub fn pass(&mut self, now: Time) {
        if let Self::Joint(budget) = self {
            budget.pass(now);
        }
    }

    /// Adds the tokens earned by `calls` first calls.
    pub fn earn(&mut self, calls: usize) {
        match self {
            Self::Split { hedges, retries } => {
                hedges.earn(calls);
                retries.earn(calls);
            }
            Self::Joint(budget) => budget.earn(calls),
        }
    }

    /// Pays for a call of `kind` whose answer gains `gain` (0 to 1), if the budget
    /// allows it. The less of a joint budget is left, the higher the gain must be.
    pub fn spend(&mut self, kind: CallKind, gain: f64) -> Paid {
        match (self, kind) {
            (_, CallKind::First) => Paid::Yes,
            (Self::Joint(budget), _) => {
                let min_gain = 1.0 - budget.part_left() / (1.0 - FREE_FRACTION);
                match gain >= min_gain {
                    true => Paid::if_enough(budget.spend()),
                    false => Paid::Spared,
                }
            }
            (Self::Split { .. }, CallKind::Reroute) => Paid::Yes,
            (Self::Split { hedges, .. }, CallKind::Hedge) => Paid::if_enough(hedges.spend()),
            (Self::Split { retries, .. }, CallKind::Retry) => Paid::if_enough(retries.spend()),
            (Self::Split { retries, .. }, CallKind::Reshed) => {
                Paid::if_enough(retries.spend_part(SHED_COST))
            }
        }
    }

    /// Returns the totals of the budget, hedges and retries combined.
    #[must_use]
    pub fn tally(&self) -> Tally {
        match self {
            Self::Split { hedges, retries } => hedges.tally() + retries.tally(),
            Self::Joint(budget) => budget.tally(),
        }
    }
}
