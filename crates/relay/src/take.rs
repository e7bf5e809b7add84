//! Takes what the feeds tell.

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

/// Takes an answer of the feed, to pass it on and to act by it.
pub(crate) fn pass_leafs(shared: &Shared, batch: Batch<(LeafId, LeafEntry)>, whole: bool) {
    let cooled = cooled_of(shared, &batch);
    let mut passed = lock(&shared.passed.leafs);
    match whole {
        true => passed.listed(&batch),
        // A leaf that warms up writes with each heartbeat, and only the time that is left
        // of it changes. One that has become cold again is news.
        false => passed.changed_from(&batch, |(id, known), (_, new)| {
            known.is_same(new) && new.warmup <= known.warmup && !cooled.contains(id)
        }),
    }
    drop(passed);
    take_leafs(shared, batch, whole);
}

/// Leafs of a batch that stay cold for longer than was known: one that becomes cold again
/// before it has told that it grows warm says the same as before.
fn cooled_of(shared: &Shared, batch: &Batch<(LeafId, LeafEntry)>) -> BTreeSet<LeafId> {
    /// By how much heartbeats of a leaf that warms up differ in what they make of its end.
    const SLACK: Duration = Duration::from_millis(500);
    let now = shared.now();
    let state = lock(&shared.cell.state);
    let values = batch.items.iter().filter_map(|item| match &item.content {
        Content::Is(value) => Some(value),
        Content::Deleted | Content::Malformed => None,
    });
    let longer = values.filter(|(id, entry)| {
        let until = now + entry.warmup;
        !entry.warmup.is_zero() && until > state.extra.leafs.cold_until(id) + SLACK
    });
    longer.map(|(id, _)| id.clone()).collect()
}

fn take_leafs(shared: &Shared, batch: Batch<(LeafId, LeafEntry)>, whole: bool) {
    let now = shared.now();
    let mut moves = Vec::new();
    {
        let mut state = lock(&shared.cell.state);
        let leafs = &mut state.extra.leafs;
        if whole {
            take_list(leafs, batch.items, now, &mut moves);
        } else {
            for item in batch.items {
                take_leaf(leafs, item, now, &mut moves);
            }
        }
        let known = leafs.len();
        shared.metrics.leafs.set(known as i64);
        take_moves(&mut state, &moves, &shared.settings, now);
    }
    tell_moves(shared, &moves, batch.revision);
    if moves.iter().any(|moved| matches!(moved, Moved::Cooled(..))) {
        shared.cooled.notify_one();
    }
    serve_if_ready(shared);
}

fn take_list(
    leafs: &mut Leafs,
    items: Vec<Item<(LeafId, LeafEntry)>>,
    now: Time,
    moves: &mut Vec<Moved>,
) {
    let mut list = Vec::new();
    for item in items {
        match item.content {
            Content::Is(leaf) => list.push(leaf),
            Content::Deleted | Content::Malformed => take_leaf(leafs, item, now, moves),
        }
    }
    leafs.listed(list, now, moves);
}

fn take_leaf(
    leafs: &mut Leafs,
    item: Item<(LeafId, LeafEntry)>,
    now: Time,
    moves: &mut Vec<Moved>,
) {
    match (item.content, LeafId::new(&item.name)) {
        (Content::Is((id, entry)), _) => leafs.changed(id, entry, now, moves),
        (Content::Deleted, Ok(id)) => leafs.deleted(&id, now, moves),
        (Content::Malformed, Ok(id)) => leafs.malformed(&id, moves),
        // No leaf can have been taken under a name that is none.
        (Content::Deleted | Content::Malformed, Err(_)) => {}
    }
}

/// Gives up missing leafs in time.
pub(crate) async fn lapses(shared: &Shared) {
    /// Time between two looks while no leaf is missing, or the store is lost.
    const LOOK: Duration = Duration::from_millis(500);
    loop {
        let now = shared.now();
        let wake = lock(&shared.cell.state).extra.leafs.wake();
        // An entry that has lost the store can't see lapsed entries come back.
        let lost = shared.pulse.borrow().is_lost();
        if lost || wake > now {
            let wake = if lost {
                now + LOOK
            } else {
                wake.min(now + LOOK)
            };
            sleep_until(shared.host.clock.instant(wake)).await;
            continue;
        }
        let mut moves = Vec::new();
        {
            let mut state = lock(&shared.cell.state);
            state.extra.leafs.tick(now, &mut moves);
            take_moves(&mut state, &moves, &shared.settings, now);
        }
        tell_moves(shared, &moves, 0);
    }
}

fn tell_moves(shared: &Shared, moves: &[Moved], revision: u64) {
    for moved in moves {
        let (word, id) = match moved {
            // Told with each heartbeat of a leaf that warms up.
            Moved::Cooled(id, until) => {
                let left = until.since(shared.now()).as_millis() as u64;
                debug!(shared.host.log, "hold: leaf {id} is cold"; "revision" => revision, "left_ms" => left);
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
        info!(shared.host.log, "hold: leaf {id} {word}"; "revision" => revision);
    }
}

/// Takes an answer of the feed of evacuations, to pass it on and to act by it.
pub(crate) fn pass_evacuations(shared: &Shared, batch: Batch<DomainName>, whole: bool) {
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
    tell_shifts(shared, &shifts, batch.revision);
    shared.cooled.notify_one();
    serve_if_ready(shared);
}

fn tell_shifts(shared: &Shared, shifts: &[Shift], revision: u64) {
    for shift in shifts {
        let (word, domain) = match shift {
            Shift::Emptied(domain) => ("is evacuated, its leafs get no calls", domain),
            Shift::Refilled(domain) => ("is back, its leafs may be called", domain),
        };
        let leafs = {
            let state = lock(&shared.cell.state);
            state.extra.leafs.within(domain).count()
        };
        info!(shared.host.log, "hold: domain {domain} {word}"; "revision" => revision, "leafs" => leafs);
        if leafs == 0 {
            warn!(shared.host.log, "hold: no leaf is known in domain {domain}"; "revision" => revision);
        }
    }
}

/// Takes books that the store told of.
pub(crate) fn take_book(shared: &Shared, batch: Batch<RouteBook>) {
    for item in batch.items {
        let book = match item.content {
            Content::Is(book) => book,
            Content::Deleted | Content::Malformed => {
                warn!(
                    shared.host.log,
                    "watch: the book was deleted or can't be read, the last one stays in force"
                );
                continue;
            }
        };
        shared.take_book(book, Upstream::Store);
    }
    serve_if_ready(shared);
}

/// What an entry still has to know before it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lack {
    /// The book or the leafs.
    More,
    /// Only which domains are evacuated.
    Evacuations,
    /// Nothing.
    Nothing,
}

pub(crate) fn lacks(shared: &Shared) -> Lack {
    let state = lock(&shared.cell.state);
    let ground = &state.extra;
    match ground.evacuations.is_known() {
        _ if ground.book.is_none() || ground.leafs.is_empty() => Lack::More,
        false => Lack::Evacuations,
        true => Lack::Nothing,
    }
}

/// Lets the entry serve once it knows the book, the leafs and which of their domains are
/// evacuated.
pub(crate) fn serve_if_ready(shared: &Shared) {
    let serves = lacks(shared) == Lack::Nothing
        && shared.phase.send_if_modified(|phase| {
            let starting = *phase == Phase::Starting;
            if starting {
                *phase = Phase::Serving;
            }
            starting
        });
    if serves {
        let after = shared.now().since(Time::ZERO);
        info!(shared.host.log, "fleet: {} serves", shared.settings.entry.member;
            "after_ms" => after.as_millis() as u64);
    }
}
