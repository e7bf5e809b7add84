//! Who pays for an extra call.

use chestnut_unit::{Share, Time};

use crate::{Budget, CallKind};

/// Number of a budget in its table. The first one is the table's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PurseId(pub(crate) u32);

/// What a call that a target sheds costs it, as part of a call that it runs.
const SHED_COST: f64 = 0.25;

/// The budgets that the extra calls to some shards are paid from.
#[derive(Clone, Debug)]
pub enum Purse {
    /// Hedges and retries have a budget each, and a call that costs its target
    /// little is paid in part.
    Split {
        /// For hedges.
        hedges: Budget,
        /// For retries.
        retries: Budget,
    },
    /// Every call after the first costs one, whatever became of it: what the
    /// target counts are arrivals.
    Joint(Budget),
}

impl Purse {
    /// Budgets of hedges and retries that save up to `burst` calls each.
    #[must_use]
    pub fn split(hedges: Share, retries: Share, burst: u32) -> Self {
        Self::Split {
            hedges: Budget::new(hedges, burst),
            retries: Budget::new(retries, burst),
        }
    }

    /// Takes the passing of time.
    pub fn pass(&mut self, now: Time) {
        if let Self::Joint(budget) = self {
            budget.pass(now);
        }
    }

    /// Counts `calls` first calls.
    pub fn earn(&mut self, calls: usize) {
        match self {
            Self::Split { hedges, retries } => {
                hedges.earn(calls);
                retries.earn(calls);
            }
            Self::Joint(budget) => budget.earn(calls),
        }
    }

    /// Pays for a call, if there is enough.
    #[must_use]
    pub fn spend(&mut self, kind: CallKind) -> bool {
        match (self, kind) {
            (_, CallKind::First) => true,
            (Self::Joint(budget), _) => budget.spend(),
            (Self::Split { .. }, CallKind::Reroute) => true,
            (Self::Split { hedges, .. }, CallKind::Hedge) => hedges.spend(),
            (Self::Split { retries, .. }, CallKind::Retry) => retries.spend(),
            (Self::Split { retries, .. }, CallKind::Reshed) => retries.spend_part(SHED_COST),
        }
    }
}
