//! Identifiers of back ends and the configuration of a [`Table`](crate::Table).

use std::{fmt, time::Duration};

use chestnut_unit::{LeafId, MemberId, Share};

use crate::{Choice, Hedge};

/// A back end of a service, as one entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Backend {
    /// A leaf that this entry calls directly.
    Leaf(LeafId),
    /// A peer entry that forwards calls to its leafs.
    Peer(MemberId),
}

impl fmt::Display for Backend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leaf(id) => write!(f, "leaf {id}"),
            Self::Peer(id) => write!(f, "peer {id}"),
        }
    }
}

/// Index of a back end in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ix(pub(crate) u32);

impl Ix {
    /// Returns the index as a position in a list.
    #[must_use]
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Parameters of a [`Table`](crate::Table).
#[derive(Clone, Debug)]
pub struct TableConfig {
    /// Policy by which a replica is chosen.
    pub choice: Choice,
    /// Policy by which hedges are timed.
    pub hedge: Hedge,
    /// Budget of hedges, as a share of first calls.
    pub hedge_share: Share,
    /// Budget of retries, as a share of first calls.
    pub retry_share: Share,
    /// Whether outlier ejection, backoff and slow start are in force.
    pub guard: Guard,
    /// How long a back end with a late call is avoided unless it answers; zero
    /// disables this. It suits back ends that pause all their calls at once.
    /// Where single calls straggle it leaves healthy ones idle.
    pub stall_backoff: Duration,
}

/// Whether a table protects itself against faulty back ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// Outlier ejection, backoff after refusals and slow start of new back
    /// ends.
    On,
    /// No protection, as a baseline.
    Off,
}

impl Default for TableConfig {
    /// Choice by peak durations, hedges for late calls, budgets of 8 % of first
    /// calls for hedges and 10 % for retries, guard on and no backoff for
    /// stalls.
    fn default() -> Self {
        Self {
            choice: Choice::PeakEwma,
            hedge: Hedge::Late {
                times: 1.2,
                missing: 0.6,
            },
            hedge_share: Share::from_permille(80),
            retry_share: Share::from_permille(100),
            guard: Guard::On,
            stall_backoff: Duration::ZERO,
        }
    }
}
