//! Limit on how many replicas of a shard may be evicted (outlier ejection) at
//! once.

use std::collections::BTreeSet;

use chestnut_unit::Time;

use crate::{Ix, Table};

/// The evicted back ends among `replicas` that are treated as evicted: the
/// first ones in the list, at most a third of all replicas, or one of two. The
/// others count as not evicted: if most replicas look faulty, the cause is
/// probably this entry or the whole service, and evicting them all would cause
/// an outage. One of two may be evicted, since an unresponsive replica would
/// otherwise delay half of the queries.
#[must_use]
pub(crate) fn evicted_among(table: &Table, replicas: &[Ix], now: Time) -> BTreeSet<Ix> {
    let limit = match replicas.len() {
        0 | 1 => 0,
        2 => 1,
        count => count / 3,
    };
    replicas
        .iter()
        .copied()
        .filter(|ix| table.evicted_until(*ix, now).is_some())
        .take(limit)
        .collect()
}
