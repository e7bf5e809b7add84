//! Takes changes of the leafs into the table.

use chestnut_port::Distance;
use chestnut_route::{Backend, Ix};
use chestnut_unit::{LeafId, Time};

use crate::{
    cold::{cold_span, cool},
    evacuations::Shift,
    ground::{Place, State},
    leafs::{LeafEntry, Moved},
    settings::RelaySettings,
};

/// Takes changes of the leafs into the table.
pub(crate) fn take_moves(state: &mut State, moves: &[Moved], own: &RelaySettings, now: Time) {
    for moved in moves {
        match moved {
            Moved::Came(id, entry) => {
                // A leaf that was there before this entry is not a cold one.
                let since = match entry.warmup.is_zero() {
                    true => Time::ZERO,
                    false => now,
                };
                came(state, id, entry, own, since, now);
            }
            Moved::Reborn(id, entry) => reborn(state, id, entry, own, now),
            Moved::Cooled(id, until) => {
                if let Some(ix) = state.table.find(&Backend::Leaf(id.clone())) {
                    cool(state, ix, *until, now);
                }
            }
            Moved::Outdated(_) => {}
            Moved::Leaves(id) | Moved::Missing(id) => set_doubt(state, id, true),
            Moved::Closed(id) => set_leaving(state, id, now),
            Moved::Gone(id) => gone(state, id, now),
        }
    }
    if moves
        .iter()
        .any(|moved| !matches!(moved, Moved::Cooled(..)))
    {
        state.extra.routes.clear();
        state.extra.homes = None;
    }
}

/// Takes a leaf that started at `since`.
fn came(
    state: &mut State,
    id: &LeafId,
    entry: &LeafEntry,
    own: &RelaySettings,
    since: Time,
    now: Time,
) {
    let ix = state
        .table
        .add(Backend::Leaf(id.clone()), entry.slots, since);
    // It may have been taken for gone while its entry was missing.
    state.table.set_leaving(ix, false, now);
    let distance = match entry.domain == own.entry.domain {
        true => Distance::Near,
        false => Distance::Far,
    };
    state.table.set_far(ix, distance == Distance::Far);
    let barred = state.extra.evacuations.covers(&entry.domain);
    state.table.set_barred(ix, barred, now);
    let place = Place {
        leaf: id.clone(),
        address: entry.address,
        service: entry.service.clone(),
        distance,
        slots: entry.slots,
    };
    state.table.set_bounds(ix, state.extra.bounds(&place));
    state.extra.places.insert(ix, place);
    set_doubt(state, id, false);
}

/// Takes a leaf of a domain that is back for cold: it may have become so meanwhile, and
/// its entry tells of it only with its next heartbeat.
fn warm_up(state: &mut State, id: &LeafId, ix: Ix, now: Time) {
    let Some(place) = state.extra.places.get(&ix) else {
        return;
    };
    let until = now + cold_span(&state.extra, &place.service);
    state.extra.leafs.cool(id, until);
    cool(state, ix, until, now);
}

/// Takes changes of the failure domains that are evacuated into the table. Returns the
/// leafs that get no more calls.
pub(crate) fn take_shifts(state: &mut State, shifts: &[Shift], now: Time) -> Vec<LeafId> {
    let mut emptied = Vec::new();
    for shift in shifts {
        let (domain, barred) = match shift {
            Shift::Emptied(domain) => (domain, true),
            Shift::Refilled(domain) => (domain, false),
        };
        let leafs: Vec<LeafId> = state.extra.leafs.within(domain).cloned().collect();
        for id in leafs {
            if let Some(ix) = state.table.find(&Backend::Leaf(id.clone())) {
                state.table.set_barred(ix, barred, now);
                if !barred {
                    warm_up(state, &id, ix, now);
                }
            }
            if barred {
                emptied.push(id);
            }
        }
    }
    if !shifts.is_empty() {
        state.extra.homes = None;
    }
    emptied
}

fn gone(state: &mut State, id: &LeafId, now: Time) {
    set_leaving(state, id, now);
    if let Some(ix) = state.table.find(&Backend::Leaf(id.clone())) {
        state.extra.places.remove(&ix);
    }
}

/// Takes a new life of a leaf: calls to the old one end as they end, and say
/// nothing of the new one.
fn reborn(state: &mut State, id: &LeafId, entry: &LeafEntry, own: &RelaySettings, now: Time) {
    gone(state, id, now);
    state.table.renew(&Backend::Leaf(id.clone()));
    came(state, id, entry, own, now, now);
}

fn set_leaving(state: &mut State, id: &LeafId, now: Time) {
    if let Some(ix) = state.table.find(&Backend::Leaf(id.clone())) {
        state.table.set_leaving(ix, true, now);
    }
}

fn set_doubt(state: &mut State, id: &LeafId, doubted: bool) {
    if let Some(ix) = state.table.find(&Backend::Leaf(id.clone())) {
        state.table.set_doubt(ix, doubted);
    }
}
