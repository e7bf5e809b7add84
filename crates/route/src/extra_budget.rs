//! Budgets that pay for extra calls (hedges and retries).

use chestnut_unit::{Share, Time};

use crate::{Budget, BudgetTotals, CallKind};

/// Index of a budget in its table. Index 0 is the table's default budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BudgetId(pub(crate) u32);

/// Cost of a retry after a shed call in a split budget, as a fraction of an executed
/// call.
const SHED_COST: f64 = 0.25;
/// Part of a joint budget's capacity, from full, that any extra call may spend. When more is
/// spent, the gain that a call needs rises from 0 to 1 at an empty budget. With more, queries
/// that lack two shards use up what others need; with none, hedges for the last missing shard
/// are withheld at calm load.
const FREE_FRACTION: f64 = 0.25;

/// A budget's decision on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpendResult {
    /// The call is paid for.
    Paid,
    /// The budget is exhausted.
    OverBudget,
    /// The call's gain is too small for what is left of the budget.
    LowGain,
}

impl SpendResult {
    /// Returns `Paid` if the budget had enough, and `OverBudget` otherwise.
    fn paid_if(enough: bool) -> Self {
        match enough {
            true => Self::Paid,
            false => Self::OverBudget,
        }
    }
}

/// The budgets that pay for extra calls to a group of shards.
#[derive(Clone, Debug)]
pub enum ExtraBudget {
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

impl ExtraBudget {
    /// Creates separate budgets for hedges and retries, each with a capacity of
    /// `burst` calls.
    #[must_use]
    pub fn split(hedges: Share, retries: Share, burst: u32) -> Self {
        Self::Split {
            hedges: Budget::new(hedges, burst),
            retries: Budget::new(retries, burst),
        }
    }

    /// Adds the tokens that a joint budget accrues with time until `now`. Split
    /// budgets accrue none.
    pub fn refill(&mut self, now: Time) {
        if let Self::Joint(budget) = self {
            budget.refill(now);
        }
    }

    /// Adds the tokens earned by `calls` first calls, to both budgets if they are
    /// split.
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
    /// allows it. First calls cost nothing, and neither do reroutes in a split budget.
    /// The less of a joint budget is left, the higher the gain must be; a split budget
    /// ignores it.
    pub fn spend(&mut self, kind: CallKind, gain: f64) -> SpendResult {
        match (self, kind) {
            (_, CallKind::First) => SpendResult::Paid,
            (Self::Joint(budget), _) => {
                let min_gain = 1.0 - budget.fill_level() / (1.0 - FREE_FRACTION);
                match gain >= min_gain {
                    true => SpendResult::paid_if(budget.spend()),
                    false => SpendResult::LowGain,
                }
            }
            (Self::Split { .. }, CallKind::Reroute) => SpendResult::Paid,
            (Self::Split { hedges, .. }, CallKind::Hedge) => SpendResult::paid_if(hedges.spend()),
            (Self::Split { retries, .. }, CallKind::Retry) => SpendResult::paid_if(retries.spend()),
            (Self::Split { retries, .. }, CallKind::RetryAfterShed) => {
                SpendResult::paid_if(retries.spend_cost(SHED_COST))
            }
        }
    }

    /// Returns the totals of the budget, hedges and retries combined.
    #[must_use]
    pub fn totals(&self) -> BudgetTotals {
        match self {
            Self::Split { hedges, retries } => hedges.totals() + retries.totals(),
            Self::Joint(budget) => budget.totals(),
        }
    }
}
