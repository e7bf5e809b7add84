//! Applies the answers of feeds to the relay state.

use std::{cmp::Ordering, collections::BTreeSet, time::Duration};

use chestnut_book::RouteBook;
use chestnut_flow::lock;
use chestnut_port::{Batch, Content, Item};
use chestnut_unit::{DomainName, LeafId, Revision, Time};
use slog::{debug, info, warn};
use tokio::time::sleep_until;

use crate::{
    evacuations::{EvacuationChange, Evacuations},
    leaf_changes::{apply_evacuations, apply_leaf_changes},
    leafs::{LeafChange, LeafRegistration, Leafs},
    shared::{Phase, Shared},
    upstream::Upstream,
    watch_cache::WatchCache,
};

/// Applies an answer of the feed of leafs, a full list if `whole` and changes otherwise, to
/// the relay state, and to the cache that peers read from. May let the entry serve.
pub(crate) fn update_leafs(shared: &Shared, batch: Batch<(LeafId, LeafRegistration)>, whole: bool) {
    let colder = leafs_cold_longer(shared, &batch);
    let mut cache = lock(&shared.feed_copies.leafs);
    let order = EpochOrder::of(&cache, &batch);
    if order == EpochOrder::Earlier {
        return;
    }
    match whole {
        true => cache.replace(&batch),
        // A leaf that warms up writes with each heartbeat, and only its remaining warm-up
        // time changes. One that has become cold again is a change.
        false => cache.apply_filtered(&batch, |(id, known), (_, new)| {
            known.is_same(new) && new.warmup <= known.warmup && !colder.contains(id)
        }),
    }
    drop(cache);
    if order == EpochOrder::Later {
        let now = shared.now();
        lock(&shared.cell.state).extra.leafs.restored(now);
    }
    apply_leafs(shared, batch, whole);
}

/// How the epoch of an answer compares with that of the list known so far: earlier (it was read
/// before the store was restored), the same, or later (the store was restored since).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EpochOrder {
    Earlier,
    Same,
    Later,
}

impl EpochOrder {
    /// Compares `batch` with the list in `cache`; the same before the first list.
    fn of<T: Clone>(cache: &WatchCache<T>, batch: &Batch<T>) -> Self {
        let epoch = batch.revision.epoch;
        match cache.epoch().unwrap_or(epoch).cmp(&epoch) {
            Ordering::Less => Self::Later,
            Ordering::Equal => Self::Same,
            Ordering::Greater => Self::Earlier,
        }
    }
}

/// Returns the leafs of a batch that stay cold for longer than was known, by more than the
/// jitter of heartbeats. The end of the warm-up is compared and not the registration: a leaf
/// that becomes cold again may write the same registration as before.
fn leafs_cold_longer(
    shared: &Shared,
    batch: &Batch<(LeafId, LeafRegistration)>,
) -> BTreeSet<LeafId> {
    /// Tolerance for the jitter of heartbeats, by which the end of one warm-up differs.
    const TOLERANCE: Duration = Duration::from_millis(500);
    let now = shared.now();
    let state = lock(&shared.cell.state);
    let values = batch.items.iter().filter_map(|item| match &item.content {
        Content::Value(value) => Some(value),
        Content::Deleted | Content::Malformed => None,
    });
    let longer = values.filter(|(id, entry)| {
        let until = now + entry.warmup;
        !entry.warmup.is_zero() && until > state.extra.leafs.cold_until(id) + TOLERANCE
    });
    longer.map(|(id, _)| id.clone()).collect()
}

/// Applies an answer to the known leafs and the routing table, logs the changes, updates the
/// metric of leafs, and lets the entry serve if it can.
fn apply_leafs(shared: &Shared, batch: Batch<(LeafId, LeafRegistration)>, whole: bool) {
    let now = shared.now();
    let mut changes = Vec::new();
    {
        let mut state = lock(&shared.cell.state);
        let leafs = &mut state.extra.leafs;
        if whole {
            apply_leaf_list(leafs, batch.items, now, &mut changes);
        } else {
            for item in batch.items {
                apply_leaf(leafs, item, now, &mut changes);
            }
        }
        let known = leafs.len();
        shared.metrics.leafs.set(known as i64);
        apply_leaf_changes(&mut state, &changes, &shared.settings, now);
    }
    report_leaf_changes(shared, &changes, batch.revision);
    if changes
        .iter()
        .any(|change| matches!(change, LeafChange::BecameCold(..)))
    {
        shared.cold_changed.notify_one();
    }
    serve_if_ready(shared);
}

/// Applies a full list of leafs and appends the changes. Unreadable leafs are removed at once;
/// those that the list lacks go missing, or are removed if they were draining.
fn apply_leaf_list(
    leafs: &mut Leafs,
    items: Vec<Item<(LeafId, LeafRegistration)>>,
    now: Time,
    changes: &mut Vec<LeafChange>,
) {
    let mut list = Vec::new();
    for item in items {
        match item.content {
            Content::Value(leaf) => list.push(leaf),
            Content::Deleted | Content::Malformed => apply_leaf(leafs, item, now, changes),
        }
    }
    leafs.listed(list, now, changes);
}

/// Applies one changed, deleted or unreadable registration and appends the changes.
fn apply_leaf(
    leafs: &mut Leafs,
    item: Item<(LeafId, LeafRegistration)>,
    now: Time,
    changes: &mut Vec<LeafChange>,
) {
    match (item.content, LeafId::new(&item.name)) {
        (Content::Value((id, entry)), _) => leafs.changed(id, entry, now, changes),
        (Content::Deleted, Ok(id)) => leafs.deleted(&id, now, changes),
        (Content::Malformed, Ok(id)) => leafs.malformed(&id, changes),
        // An invalid name belongs to no known leaf.
        (Content::Deleted | Content::Malformed, Err(_)) => {}
    }
}

/// Removes leafs that stay missing past their time limit, closes those that have drained for too
/// long, and ends what is held after a restore of the store, for as long as the entry runs;
/// nothing while the store is lost.
pub(crate) async fn expire(shared: &Shared) {
    /// Interval between checks while no leaf is missing, or the store is lost.
    const CHECK_INTERVAL: Duration = Duration::from_millis(500);
    loop {
        let now = shared.now();
        let wake = {
            let state = lock(&shared.cell.state);
            state.extra.leafs.wake().min(state.extra.evacuations.wake())
        };
        // Without the store this entry can't see expired leafs come back, so it removes
        // none.
        let lost = shared.store_status.borrow().is_lost();
        if lost || wake > now {
            let wake = if lost {
                now + CHECK_INTERVAL
            } else {
                wake.min(now + CHECK_INTERVAL)
            };
            sleep_until(shared.runtime.clock.instant(wake)).await;
            continue;
        }
        let mut changes = Vec::new();
        {
            let mut state = lock(&shared.cell.state);
            state.extra.leafs.tick(now, &mut changes);
            apply_leaf_changes(&mut state, &changes, &shared.settings, now);
        }
        report_leaf_changes(shared, &changes, Revision::default());
        change_evacuations(shared, Revision::default(), |evacuations, out| {
            evacuations.tick(now, out);
        });
    }
}

/// Logs changes of leafs up to the store's `revision`, the lowest if they came from a timeout, and
/// has the call port drop what it keeps of leafs that were removed or restarted.
fn report_leaf_changes(shared: &Shared, changes: &[LeafChange], revision: Revision) {
    for change in changes {
        let (event, id) = match change {
            // Logged with each heartbeat of a leaf that warms up.
            LeafChange::BecameCold(id, until) => {
                let left = until.since(shared.now()).as_millis() as u64;
                debug!(shared.runtime.log, "hold: leaf {id} is cold"; "revision" => %revision, "left_ms" => left);
                continue;
            }
            LeafChange::Updated(id, _) => ("takes work", id),
            LeafChange::Restarted(id, _) => ("has started again", id),
            LeafChange::Stale(id) => ("has started again since, an old entry is passed over", id),
            LeafChange::Draining(id) => ("is leaving", id),
            LeafChange::Closed(id) => ("takes no more work", id),
            LeafChange::Missing(id) => ("is missing", id),
            LeafChange::Removed(id) => ("is gone", id),
        };
        if let LeafChange::Removed(id) | LeafChange::Restarted(id, _) = change {
            shared.forward.remove(id);
        }
        info!(shared.runtime.log, "hold: leaf {id} {event}"; "revision" => %revision);
    }
}

/// Applies an answer of the feed of evacuations, a full list if `whole` and changes otherwise,
/// to the relay state, and to the cache that peers read from. Has the call port drop what it
/// keeps of newly evacuated leafs. May let the entry serve.
pub(crate) fn update_evacuations(shared: &Shared, batch: Batch<DomainName>, whole: bool) {
    let order = {
        let mut cache = lock(&shared.feed_copies.evacuations);
        let order = EpochOrder::of(&cache, &batch);
        match (order, whole) {
            (EpochOrder::Earlier, _) => return,
            (_, true) => cache.replace(&batch),
            (_, false) => cache.apply(&batch),
        }
        order
    };
    let now = shared.now();
    change_evacuations(shared, batch.revision, |evacuations, out| {
        if order == EpochOrder::Later {
            evacuations.restored(now);
        }
        match whole {
            true => evacuations.listed(batch.items, out),
            false => {
                for item in batch.items {
                    evacuations.changed(item, out);
                }
            }
        }
    });
    shared.cold_changed.notify_one();
    serve_if_ready(shared);
}

/// Applies a change to the evacuations and its results to the routing table, drops what the call
/// port keeps of newly evacuated leafs, and logs the changes up to the store's `revision`.
pub(crate) fn change_evacuations(
    shared: &Shared,
    revision: Revision,
    change: impl FnOnce(&mut Evacuations, &mut Vec<EvacuationChange>),
) {
    let mut changes = Vec::new();
    let evacuated = {
        let mut state = lock(&shared.cell.state);
        change(&mut state.extra.evacuations, &mut changes);
        let count = state.extra.evacuations.domains().count();
        shared.metrics.evacuated.set(count as i64);
        apply_evacuations(&mut state, &changes, shared.now())
    };
    for id in &evacuated {
        shared.forward.remove(id);
    }
    report_evacuations(shared, &changes, revision);
    if !changes.is_empty() {
        shared.cold_changed.notify_one();
    }
}

/// Logs failure domains that were evacuated or returned to service at the store's `revision`;
/// warns if no leaf is known in one.
fn report_evacuations(shared: &Shared, changes: &[EvacuationChange], revision: Revision) {
    for change in changes {
        let (event, domain) = match change {
            EvacuationChange::Started(domain) => ("is evacuated, its leafs get no calls", domain),
            EvacuationChange::Ended(domain) => ("is back, its leafs may be called", domain),
        };
        let leafs = {
            let state = lock(&shared.cell.state);
            state.extra.leafs.in_domain(domain).count()
        };
        info!(shared.runtime.log, "hold: domain {domain} {event}"; "revision" => %revision, "leafs" => leafs);
        if leafs == 0 {
            warn!(shared.runtime.log, "hold: no leaf is known in domain {domain}"; "revision" => %revision);
        }
    }
}

/// Puts route books from the store in force if they are newer, and lets the entry serve if it
/// can. A deleted or unreadable book is logged and leaves the last one in force.
pub(crate) fn apply_books(shared: &Shared, batch: Batch<RouteBook>) {
    for item in batch.items {
        let book = match item.content {
            Content::Value(book) => book,
            unusable @ (Content::Deleted | Content::Malformed) => {
                let is_unreadable = matches!(unusable, Content::Malformed);
                shared.metrics.book_unreadable.set(i64::from(is_unreadable));
                warn!(
                    shared.runtime.log,
                    "watch: the book was deleted or can't be read, the last one stays in force"
                );
                continue;
            }
        };
        shared.install_book(book, Upstream::Store);
    }
    serve_if_ready(shared);
}

/// Whether an entry has what it needs to serve: incomplete, without evacuations, or ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// It has no route book or no leafs.
    Incomplete,
    /// It only lacks the evacuated failure domains.
    NeedsEvacuations,
    /// It has all that it needs.
    Ready,
}

/// Returns whether the entry has the book, the leafs and the evacuations, as it needs to serve.
pub(crate) fn readiness(shared: &Shared) -> Readiness {
    let state = lock(&shared.cell.state);
    let relay_state = &state.extra;
    match relay_state.evacuations.is_known() {
        _ if relay_state.book.is_none() || relay_state.leafs.is_empty() => Readiness::Incomplete,
        false => Readiness::NeedsEvacuations,
        true => Readiness::Ready,
    }
}

/// Moves the entry from starting to serving, and logs that, if it has the route book, the
/// leafs and the evacuated failure domains; otherwise does nothing.
pub(crate) fn serve_if_ready(shared: &Shared) {
    let serves = readiness(shared) == Readiness::Ready
        && shared.phase.send_if_modified(|phase| {
            let starting = *phase == Phase::Starting;
            if starting {
                *phase = Phase::Serving;
            }
            starting
        });
    if serves {
        let after = shared.now().since(Time::ZERO);
        info!(shared.runtime.log, "fleet: {} serves", shared.settings.entry.member;
            "after_ms" => after.as_millis() as u64);
    }
}
