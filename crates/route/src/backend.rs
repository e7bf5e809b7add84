//! Back ends, and how a table treats them.

use std::{fmt, time::Duration};

use chestnut_unit::{LeafId, MemberId, Share};

use crate::{Choice, Hedge};

/// A back end of a service, as one entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Backend {
    /// A leaf that this entry holds and calls itself.
    Leaf(LeafId),
    /// A peer that holds leafs for which this entry asks it.
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

/// Number of a back end in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ix(pub(crate) u32);

impl Ix {
    /// Position in the table's list.
    #[must_use]
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Parameters of a table.
#[derive(Clone, Debug)]
pub struct TableConfig {
    /// How a replica is chosen.
    pub choice: Choice,
    /// How hedges are timed.
    pub hedge: Hedge,
    /// Share of extra calls for hedges.
    pub hedge_share: Share,
    /// Share of extra calls for retries.
    pub retry_share: Share,
    /// Whether outliers are evicted and cold leafs ramped up.
    pub guard: Guard,
    /// How long a back end with a late call is passed over while it answers
    /// nothing. It helps where back ends pause, all their calls at once; where
    /// single calls straggle it idles sound ones.
    pub stall: Duration,
}

/// Whether the table guards against faulty leafs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// Evict outliers, back off from refusals, ramp up cold leafs.
    On,
    /// None of it, for the naive baseline.
    Off,
}

impl Default for TableConfig {
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
            stall: Duration::ZERO,
        }
    }
}
