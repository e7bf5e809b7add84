//! How many replicas of a shard may be evicted at once.

use std::collections::BTreeSet;

use chestnut_unit::Time;

use crate::{Ix, Table};

/// The set of back ends that are evicted among `replicas`, at most a third of
/// them, but one of two: if most replicas of a shard look faulty, the fault is
/// more likely on our side or general, and calling nobody would turn it into
/// an outage. One of two must go, or a frozen holder of a leaf that has two
/// would hold up half of the queries until it is known to be gone.
#[must_use]
pub(crate) fn evicted_among(table: &Table, replicas: &[Ix], now: Time) -> BTreeSet<Ix> {
    let most = match replicas.len() {
        0 | 1 => 0,
        2 => 1,
        more => more / 3,
    };
    replicas
        .iter()
        .copied()
        .filter(|ix| table.evicted_until(*ix, now).is_some())
        .take(most)
        .collect()
}
