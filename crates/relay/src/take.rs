//! Applies the answers of feeds to the relay state.

use std::{collections::BTreeSet, time::Duration};

use chestnut_book::RouteBook;
use chestnut_flow::lock;
use chestnut_port::{Batch, Content, Item};
use chestnut_unit::{DomainName, LeafId, Time};
use slog::{debug, info, warn};
use tokio::time::sleep_until;

use crate::{
    evacuations::Shift,
    leafs::{LeafEntry, Leafs, Moved},
    moves::{take_moves, take_shifts},
    shared::{Phase, Shared},
    upstream::Upstream,
};

/// Applies an answer of the feed of leafs to the relay state, and to the cache that peers
/// read from.
pub(crate) fn update_leafs(shared: &Shared, batch: Batch<(LeafId, LeafEntry)>, whole: bool) {
    let colder = leafs_cold_longer(shared, &batch);
    let mut passed = lock(&shared.passed.leafs);
    match whole {
        true => passed.listed(&batch),
        // A leaf that warms up writes with each heartbeat, and only its remaining warm-up
        // time changes. One that has become cold again is a change.
        false => passed.changed_from(&batch, |(id, known), (_, new)| {
            known.is_same(new) && new.warmup <= known.warmup && !colder.contains(id)
        }),
    }
    drop(passed);
    apply_leafs(shared, batch, whole);
}

/// Returns the leafs of a batch that stay cold for longer than was known. A leaf that
/// becomes cold again before it has reported a shorter warm-up writes the same entry as
/// before.
fn leafs_cold_longer(shared: &Shared, batch: &Batch<(LeafId, LeafEntry)>) -> BTreeSet<LeafId> {
    /// Tolerance for the jitter of heartbeats, by which the end of one warm-up differs.
    const TOLERANCE: Duration = Duration::from_millis(500);
    let now = shared.now();
    let state = lock(&shared.cell.state);
    let values = batch.items.iter().filter_map(|item| match &item.content {
        Content::Is(value) => Some(value),
        Content::Deleted | Content::Malformed => None,
    });
    let longer = values.filter(|(id, entry)| {
        let until = now + entry.warmup;
        !entry.warmup.is_zero() && until > state.extra.leafs.cold_until(id) + TOLERANCE
    });
    longer.map(|(id, _)| id.clone()).collect()
}

fn apply_leafs(shared: &Shared, batch: Batch<(LeafId, LeafEntry)>, whole: bool) {
    let now = shared.now();
    let mut moves = Vec::new();
    {
        let mut state = lock(&shared.cell.state);
        let leafs = &mut state.extra.leafs;
        if whole {
            apply_leaf_list(leafs, batch.items, now, &mut moves);
        } else {
            for item in batch.items {
                apply_leaf(leafs, item, now, &mut moves);
            }
        }
        let known = leafs.len();
        shared.metrics.leafs.set(known as i64);
        take_moves(&mut state, &moves, &shared.settings, now);
    }
    report_moves(shared, &moves, batch.revision);
    if moves.iter().any(|moved| matches!(moved, Moved::Cooled(..))) {
        shared.cooled.notify_one();
    }
    serve_if_ready(shared);
}

fn apply_leaf_list(
    leafs: &mut Leafs,
    items: Vec<Item<(LeafId, LeafEntry)>>,
    now: Time,
    moves: &mut Vec<Moved>,
) {
    let mut list = Vec::new();
    for item in items {
        match item.content {
            Content::Is(leaf) => list.push(leaf),
            Content::Deleted | Content::Malformed => apply_leaf(leafs, item, now, moves),
        }
    }
    leafs.listed(list, now, moves);
}

fn apply_leaf(
    leafs: &mut Leafs,
    item: Item<(LeafId, LeafEntry)>,
    now: Time,
    moves: &mut Vec<Moved>,
) {
    match (item.content, LeafId::new(&item.name)) {
        (Content::Is((id, entry)), _) => leafs.changed(id, entry, now, moves),
        (Content::Deleted, Ok(id)) => leafs.deleted(&id, now, moves),
        (Content::Malformed, Ok(id)) => leafs.malformed(&id, moves),
        // An invalid name belongs to no known leaf.
        (Content::Deleted | Content::Malformed, Err(_)) => {}
    }
}

/// Removes leafs that stay missing past their time limit.
pub(crate) async fn expire_leafs(shared: &Shared) {
    /// Interval between checks while no leaf is missing, or the store is lost.
    const CHECK_INTERVAL: Duration = Duration::from_millis(500);
    loop {
        let now = shared.now();
        let wake = lock(&shared.cell.state).extra.leafs.wake();
        // Without the store this entry can't see expired leafs come back, so it removes
        // none.
        let lost = shared.pulse.borrow().is_lost();
        if lost || wake > now {
            let wake = if lost {
                now + CHECK_INTERVAL
            } else {
                wake.min(now + CHECK_INTERVAL)
            };
            sleep_until(shared.runtime.clock.instant(wake)).await;
            continue;
        }
        let mut moves = Vec::new();
        {
            let mut state = lock(&shared.cell.state);
            state.extra.leafs.tick(now, &mut moves);
            take_moves(&mut state, &moves, &shared.settings, now);
        }
        report_moves(shared, &moves, 0);
    }
}

/// Logs changes of leafs, and drops what was kept of calls to leafs that are gone or restarted.
fn report_moves(shared: &Shared, moves: &[Moved], revision: u64) {
    for moved in moves {
        let (event, id) = match moved {
            // Logged with each heartbeat of a leaf that warms up.
            Moved::Cooled(id, until) => {
                let left = until.since(shared.now()).as_millis() as u64;
                debug!(shared.runtime.log, "hold: leaf {id} is cold"; "revision" => revision, "left_ms" => left);
                continue;
            }
            Moved::Came(id, _) => ("takes work", id),
            Moved::Reborn(id, _) => ("has started again", id),
            Moved::Outdated(id) => ("has started again since, an old entry is passed over", id),
            Moved::Leaves(id) => ("is leaving", id),
            Moved::Closed(id) => ("takes no more work", id),
            Moved::Missing(id) => ("is missing", id),
            Moved::Gone(id) => ("is gone", id),
        };
        if let Moved::Gone(id) | Moved::Reborn(id, _) = moved {
            shared.forward.forget(id);
        }
        info!(shared.runtime.log, "hold: leaf {id} {event}"; "revision" => revision);
    }
}

/// Applies an answer of the feed of evacuations to the relay state, and to the cache that
/// peers read from.
pub(crate) fn update_evacuations(shared: &Shared, batch: Batch<DomainName>, whole: bool) {
    {
        let mut passed = lock(&shared.passed.evacuations);
        match whole {
            true => passed.listed(&batch),
            false => passed.changed(&batch),
        }
    }
    let now = shared.now();
    let mut shifts = Vec::new();
    let emptied = {
        let mut state = lock(&shared.cell.state);
        let evacuations = &mut state.extra.evacuations;
        match whole {
            true => evacuations.listed(batch.items, &mut shifts),
            false => {
                for item in batch.items {
                    evacuations.changed(item, &mut shifts);
                }
            }
        }
        let count = evacuations.domains().count();
        shared.metrics.evacuated.set(count as i64);
        take_shifts(&mut state, &shifts, now)
    };
    for id in &emptied {
        shared.forward.forget(id);
    }
    report_shifts(shared, &shifts, batch.revision);
    shared.cooled.notify_one();
    serve_if_ready(shared);
}

/// Logs failure domains that were evacuated or returned to service.
fn report_shifts(shared: &Shared, shifts: &[Shift], revision: u64) {
    for shift in shifts {
        let (event, domain) = match shift {
            Shift::Emptied(domain) => ("is evacuated, its leafs get no calls", domain),
            Shift::Refilled(domain) => ("is back, its leafs may be called", domain),
        };
        let leafs = {
            let state = lock(&shared.cell.state);
            state.extra.leafs.within(domain).count()
        };
        info!(shared.runtime.log, "hold: domain {domain} {event}"; "revision" => revision, "leafs" => leafs);
        if leafs == 0 {
            warn!(shared.runtime.log, "hold: no leaf is known in domain {domain}"; "revision" => revision);
        }
    }
}

/// Applies route books from the store.
pub(crate) fn apply_books(shared: &Shared, batch: Batch<RouteBook>) {
    for item in batch.items {
        let book = match item.content {
            Content::Is(book) => book,
            Content::Deleted | Content::Malformed => {
                warn!(
                    shared.runtime.log,
                    "watch: the book was deleted or can't be read, the last one stays in force"
                );
                continue;
            }
        };
        shared.take_book(book, Upstream::Store);
    }
    serve_if_ready(shared);
}

/// Whether an entry has the state that it needs to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// It has no route book or no leafs.
    Incomplete,
    /// It only lacks the evacuated failure domains.
    NeedsEvacuations,
    /// It has all that it needs.
    Ready,
}

/// Returns whether the entry has the state that it needs to serve.
pub(crate) fn readiness(shared: &Shared) -> Readiness {
    let state = lock(&shared.cell.state);
    let relay_state = &state.extra;
    match relay_state.evacuations.is_known() {
        _ if relay_state.book.is_none() || relay_state.leafs.is_empty() => Readiness::Incomplete,
        false => Readiness::NeedsEvacuations,
        true => Readiness::Ready,
    }
}

/// Lets the entry serve once it has the route book, the leafs and the evacuated failure
/// domains.
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
