//! The order of queries in the capacity queue.

use chestnut_unit::{Time, Urgency};

use super::WaiterId;
use crate::OwnerId;

/// Virtual time of fair queueing, in nanoseconds of call time per unit of weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Tag(pub(super) u64);

/// Share of capacity that one query uses: the expected duration of its calls divided by the
/// weight of its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cost(pub(crate) u64);

impl Tag {
    /// Returns the tag after `count` queries of `cost`.
    pub(super) fn after(self, cost: Cost, count: u64) -> Self {
        Self(self.0.saturating_add(cost.0.saturating_mul(count)))
    }

    /// Returns the tag before one query of `cost`.
    pub(super) fn before(self, cost: Cost) -> Self {
        Self(self.0.saturating_sub(cost.0))
    }
}

/// Precedence within one urgency, before the fair shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    /// The answer can still meet the latency objective.
    InTime,
    /// The first call of one shard of a query that has started without it.
    Optional,
    /// The answer can't meet the latency objective.
    Late,
}

/// The part of the order that precedes the fair shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Level {
    pub(super) urgency: Urgency,
    pub(super) standing: Standing,
}

/// The order among the queries of one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    /// Whether the caller doesn't return after a refusal; returning ones go first.
    pub(super) first_attempt: bool,
    pub(super) objective: Time,
    /// Ids increase with arrival.
    pub(super) id: WaiterId,
}

/// The order among the first queries of all owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) level: Level,
    pub(super) tag: Tag,
    pub(super) owner: OwnerId,
    pub(super) place: Place,
}
