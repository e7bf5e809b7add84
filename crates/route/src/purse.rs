//! Who pays for an extra call.

use chestnut_unit::{Share, Time};

use crate::{Budget, CallKind, Tally};

/// Number of a budget in its table. The first one is the table's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PurseId(pub(crate) u32);

/// What a call that a target sheds costs it, as part of a call that it runs.
const SHED_COST: f64 = 0.25;
/// Part of a joint budget that may be spent on any call. Below it the calls that
/// add most to their answers come first. With more of it, queries that lack two shards
/// use up what others need; with none, hedges for the last missing shard are withheld
/// while all is calm.
const SPENT_FREELY: f64 = 0.25;

/// What a budget says to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Paid {
    /// It is paid for.
    Yes,
    /// Too little is left.
    Unpaid,
    /// It adds too little to its answer for what is left.
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

    /// Pays for a call that adds `gain` to its answer, from 0 to 1, if there is
    /// enough. The less of a joint budget is left, the more a call must add.
    pub fn spend(&mut self, kind: CallKind, gain: f64) -> Paid {
        match (self, kind) {
            (_, CallKind::First) => Paid::Yes,
            (Self::Joint(budget), _) => {
                let least = 1.0 - budget.part_left() / (1.0 - SPENT_FREELY);
                match gain >= least {
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

    /// What became of it so far, hedges and retries together.
    #[must_use]
    pub fn tally(&self) -> Tally {
        match self {
            Self::Split { hedges, retries } => hedges.tally() + retries.tally(),
            Self::Joint(budget) => budget.tally(),
        }
    }
}
