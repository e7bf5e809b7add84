//! Applies changes of the leafs and of the evacuations to the routing table.

use chestnut_port::Distance;
use chestnut_route::{Backend, Ix};
use chestnut_unit::{LeafId, Time};

use crate::{
    cold::{cold_duration, mark_cold},
    evacuations::EvacuationChange,
    leafs::{LeafChange, LeafRegistration},
    settings::RelaySettings,
    state::{Endpoint, State},
};

/// Applies changes of the known leafs to the routing table and the endpoints. Clears the
/// cached routes and leaf domains, unless leafs only became cold.
pub(crate) fn apply_leaf_changes(
    state: &mut State,
    changes: &[LeafChange],
    own: &RelaySettings,
    now: Time,
) {
    for change in changes {
        match change {
            LeafChange::Updated(id, entry) => {
                // A leaf without warm-up time is warm, however recently it was discovered.
                let since = match entry.warmup.is_zero() {
                    true => Time::ZERO,
                    false => now,
                };
                add_leaf(state, id, entry, own, since, now);
            }
            LeafChange::Restarted(id, entry) => restart_leaf(state, id, entry, own, now),
            LeafChange::BecameCold(id, until) => {
                if let Some(ix) = state.table.find(&Backend::Leaf(id.clone())) {
                    mark_cold(state, ix, *until, now);
                }
            }
            LeafChange::Stale(_) => {}
            LeafChange::Draining(id) | LeafChange::Missing(id) => set_suspected(state, id, true),
            LeafChange::Closed(id) => set_leaving(state, id, now),
            LeafChange::Removed(id) => remove_leaf(state, id, now),
        }
    }
    if changes
        .iter()
        .any(|change| !matches!(change, LeafChange::BecameCold(..)))
    {
        state.extra.routes.clear();
        state.extra.leaf_domains = None;
    }
}

/// Adds a leaf to the routing table and the endpoints, or updates it, and makes it available
/// for calls unless its domain is evacuated. `since` is the start of a leaf that is new to
/// the table, ignored for a known one; `own` gives this entry's failure domain.
fn add_leaf(
    state: &mut State,
    id: &LeafId,
    entry: &LeafRegistration,
    own: &RelaySettings,
    since: Time,
    now: Time,
) {
    let ix = state
        .table
        .add(Backend::Leaf(id.clone()), entry.slots, since);
    // The leaf may have been marked as leaving while its registration was missing.
    state.table.set_leaving(ix, false, now);
    let distance = match entry.domain == own.entry.domain {
        true => Distance::Local,
        false => Distance::Remote,
    };
    state.table.set_remote(ix, distance == Distance::Remote);
    let excluded = state.extra.evacuations.covers(&entry.domain);
    state.table.set_excluded(ix, excluded, now);
    let endpoint = Endpoint {
        leaf: id.clone(),
        address: entry.address,
        service: entry.service.clone(),
        distance,
        slots: entry.slots,
    };
    state.table.set_bounds(ix, state.extra.bounds(&endpoint));
    state.extra.endpoints.insert(ix, endpoint);
    set_suspected(state, id, false);
}

/// Marks a leaf whose domain is no longer evacuated as cold, for the time that the book sets
/// for its service: it may have cooled down, which its registration reports only with its
/// next heartbeat. Does nothing without an endpoint.
fn assume_cold(state: &mut State, id: &LeafId, ix: Ix, now: Time) {
    let Some(endpoint) = state.extra.endpoints.get(&ix) else {
        return;
    };
    let until = now + cold_duration(&state.extra, &endpoint.service);
    state.extra.leafs.mark_cold(id, until);
    mark_cold(state, ix, until, now);
}

/// Excludes the leafs of newly evacuated failure domains from calls, and readmits those of
/// domains whose evacuation ended as cold. Returns the known leafs that get no more calls.
pub(crate) fn apply_evacuations(
    state: &mut State,
    changes: &[EvacuationChange],
    now: Time,
) -> Vec<LeafId> {
    let mut evacuated = Vec::new();
    for change in changes {
        let (domain, excluded) = match change {
            EvacuationChange::Started(domain) => (domain, true),
            EvacuationChange::Ended(domain) => (domain, false),
        };
        let leafs: Vec<LeafId> = state.extra.leafs.in_domain(domain).cloned().collect();
        for id in leafs {
            if let Some(ix) = state.table.find(&Backend::Leaf(id.clone())) {
                state.table.set_excluded(ix, excluded, now);
                if !excluded {
                    assume_cold(state, &id, ix, now);
                }
            }
            if excluded {
                evacuated.push(id);
            }
        }
    }
    if !changes.is_empty() {
        state.extra.leaf_domains = None;
    }
    evacuated
}

/// Marks a leaf as leaving and drops its endpoint, so that no further call reaches it;
/// nothing if it is not in the table. Its index and statistics stay in the table.
fn remove_leaf(state: &mut State, id: &LeafId, now: Time) {
    set_leaving(state, id, now);
    if let Some(ix) = state.table.find(&Backend::Leaf(id.clone())) {
        state.extra.endpoints.remove(&ix);
    }
}

/// Replaces a leaf by its new incarnation, which gets a new index and counts as started at
/// `now`; results of calls to the old one don't count for it.
fn restart_leaf(
    state: &mut State,
    id: &LeafId,
    entry: &LeafRegistration,
    own: &RelaySettings,
    now: Time,
) {
    remove_leaf(state, id, now);
    state.table.retire(&Backend::Leaf(id.clone()));
    add_leaf(state, id, entry, own, now, now);
}

/// Sets the leaving flag of a leaf in the routing table, after which it gets no new calls;
/// nothing if it is not in the table. Its endpoint stays.
fn set_leaving(state: &mut State, id: &LeafId, now: Time) {
    if let Some(ix) = state.table.find(&Backend::Leaf(id.clone())) {
        state.table.set_leaving(ix, true, now);
    }
}

/// Sets or clears the mark of a leaf in the routing table by which it is called only if no
/// other can be; nothing if it is not in the table.
fn set_suspected(state: &mut State, id: &LeafId, suspected: bool) {
    if let Some(ix) = state.table.find(&Backend::Leaf(id.clone())) {
        state.table.set_suspected(ix, suspected);
    }
}
