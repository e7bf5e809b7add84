//! What leafs that are cold may be sent.
//!
//! A cold leaf crashes when all entries together send it more than a rate. The bound is
//! cut into the parts of a few leases in the store; an entry that holds none sends nothing
//! to cold leafs. Leases are taken only while leafs are cold whose service has a bound.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use chestnut_fleet::{
    LEASES, LeaseCall, LeaseId, LeaseRecord, LeaseReply, LeaseTimes, Leases, Owner,
};
use chestnut_flow::lock;
use chestnut_port::FeedError;
use chestnut_route::{Backend, COLD_WINDOW, Ix, Permit};
use chestnut_unit::{ServiceName, Time};
use futures::future::BoxFuture;
use rand::Rng;
use serde::Deserialize;
use slog::{info, warn};
use tokio::time::sleep_until;

use crate::{
    ground::{Ground, State},
    members::{Members, serves},
    shared::Shared,
};

/// The port to the leases.
pub trait LeaseStore: Send + Sync {
    /// Reads all leases as they are now.
    fn list(&self) -> BoxFuture<'_, Result<Vec<LeaseRecord>, FeedError>>;

    /// Writes a lease if it is at the revision `expected`, or not there. Each write that
    /// takes effect raises the revision, also one that says what the lease said before.
    /// After an error the write may take effect nevertheless, or later.
    fn grant(
        &self,
        id: LeaseId,
        expected: Option<u64>,
        owner: Option<Owner>,
    ) -> BoxFuture<'_, Result<LeaseReply, FeedError>>;
}

/// How long a lease holds, and what was sent under it counts.
const TIMES: LeaseTimes = LeaseTimes {
    term: Duration::from_millis(1500),
    settle: COLD_WINDOW,
};
/// Carriers that look for a lease: as many again as there are leases can take over. The
/// calls to the store don't grow with the entries.
const CLAIMANTS: usize = 2 * LEASES as usize;
/// Time between two looks whether this entry is one of them.
const LOOK: Duration = Duration::from_millis(500);
/// Least time between two decisions without news.
const STEP: Duration = Duration::from_millis(5);
/// By how much the time of suspension may seem to change while there was none.
const SLEPT_SLACK: Duration = Duration::from_millis(20);

/// What a cold leaf takes where a book bounds it, as the settings have it.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdCalls {
    /// Calls in a second, as a multiple of the rate in the book.
    pub over: f64,
    /// Calls in a second on top of it.
    pub slack: f64,
}

impl Default for ColdCalls {
    /// The rate itself.
    fn default() -> Self {
        Self {
            over: 1.0,
            slack: 0.0,
        }
    }
}

/// A lease that is held.
#[derive(Clone, Copy, Debug)]
struct Grant {
    id: LeaseId,
    until: Time,
    /// For how long the machine had been suspended when the lease was asked for.
    slept: Duration,
}

/// Leafs whose calls are bounded now, and what this entry holds of the bounds.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdLeafs {
    /// Until when each is cold.
    leafs: BTreeMap<Ix, Time>,
    grant: Option<Grant>,
}

impl Ground {
    /// Calls in a second that a cold leaf of `service` takes from all entries together,
    /// if they are bounded.
    fn cold_bound(&self, service: &ServiceName) -> Option<u32> {
        let rule = self.book.as_ref()?.service(service)?.cold?;
        let calls = rule.rate.as_f64() * self.cold_calls.over + self.cold_calls.slack;
        // The cast saturates.
        Some(calls.max(0.0) as u32)
    }

    fn permit_at(&self, ix: Ix) -> Permit {
        let place = self.places.get(&ix);
        let bound = place.and_then(|place| self.cold_bound(&place.service));
        match (bound, self.cold.grant) {
            (Some(bound), Some(grant)) => Permit {
                calls: grant.id.part(bound),
                until: grant.until,
            },
            _ => Permit::default(),
        }
    }
}

/// Takes it that a leaf is cold until then.
pub(crate) fn cool(state: &mut State, ix: Ix, until: Time, now: Time) {
    let place = state.extra.places.get(&ix);
    let bounded = place.is_some_and(|place| state.extra.cold_bound(&place.service).is_some());
    if !bounded || until <= now {
        return;
    }
    state.table.set_cold(ix, until, now);
    let permit = state.extra.permit_at(ix);
    state.table.permit(ix, permit);
    state.extra.cold.leafs.insert(ix, until);
}

/// Bounds the leafs that are cold by the book in force.
pub(crate) fn cool_all(state: &mut State, now: Time) {
    let bounded: Vec<Ix> = state.extra.cold.leafs.keys().copied().collect();
    for ix in bounded {
        let place = state.extra.places.get(&ix);
        if place.is_none_or(|place| state.extra.cold_bound(&place.service).is_none()) {
            state.table.set_warm(ix);
            state.extra.cold.leafs.remove(&ix);
        }
    }
    let cold: Vec<_> = state.extra.leafs.cold(now).collect();
    for (id, until) in cold {
        if let Some(ix) = state.table.find(&Backend::Leaf(id)) {
            cool(state, ix, until, now);
        }
    }
}

/// How long leafs of `service` stay cold.
pub(crate) fn cold_span(ground: &Ground, service: &ServiceName) -> Duration {
    let book = ground.book.as_ref();
    let rule = book.and_then(|book| book.service(service)?.cold);
    rule.map_or(Duration::ZERO, |rule| rule.span)
}

/// Until when a call to `ix` may be sent, and whether it may be sent at all: a lease that
/// was held before the machine was suspended may be another's by now.
pub(crate) fn send_until(shared: &Shared, state: &State, ix: Ix) -> Option<Time> {
    let Some(until) = state.table.permitted_until(ix, shared.now()) else {
        return Some(Time::MAX);
    };
    let slept = shared.host.clock.slept();
    let grant = state.extra.cold.grant;
    let awake = grant.is_some_and(|grant| slept <= grant.slept + SLEPT_SLACK);
    awake.then_some(until)
}

/// Takes and gives back leases for as long as the entry runs.
pub(crate) async fn run(shared: Arc<Shared>, members: Arc<Members>, store: Arc<dyn LeaseStore>) {
    if !serves(&shared).await {
        return;
    }
    let (life, start) = {
        let mut rng = shared.host.rng();
        (rng.next_u64(), rng.next_u64())
    };
    let own = Owner(format!("{}/{life:x}", shared.settings.entry.member));
    let mut leases = Leases::new(TIMES, own, start);
    loop {
        let now = shared.now();
        let any = any_cold(&shared, now);
        let wanted = any
            && members
                .carrier_rank(&shared)
                .is_some_and(|at| at < CLAIMANTS);
        if let Some(call) = leases.next(wanted, now) {
            ask(&shared, &*store, &mut leases, call).await;
            continue;
        }
        set_permits(&shared, &leases, now);
        let look = if any { now + LOOK } else { Time::MAX };
        let wake = leases.wake(wanted, now).min(look).max(now + STEP);
        tokio::select! {
            () = shared.cooled.notified() => {}
            () = sleep_until(shared.host.clock.instant(wake)) => {}
        }
    }
}

async fn ask(shared: &Shared, store: &dyn LeaseStore, leases: &mut Leases, call: LeaseCall) {
    shared.metrics.count_store("leases");
    let (sent, slept) = (shared.now(), shared.host.clock.slept());
    match call {
        LeaseCall::List => match store.list().await {
            Ok(list) => leases.listed(list, shared.now()),
            Err(error) => {
                warn!(shared.host.log, "hold: can't read the leases of cold leafs"; "why" => %error);
                leases.failed(shared.now());
            }
        },
        LeaseCall::Write {
            id,
            expected,
            owner,
        } => {
            let reply = store.grant(id, expected, owner.clone()).await;
            let reply = reply.unwrap_or_else(|error| {
                warn!(shared.host.log, "hold: a lease of cold leafs may not be written"; "lease" => %id, "why" => %error);
                LeaseReply::Unknown
            });
            let (before, owner_wanted) = (leases.is_holding(), owner.is_some());
            leases.answered(id, owner, reply, sent, shared.now());
            take_grant(shared, leases, slept);
            let after = leases.is_holding();
            let word = match (before, after, owner_wanted) {
                (false, true, _) => "holds",
                (true, false, true) => "lost",
                (true, false, false) => "gave back",
                _ => return,
            };
            info!(shared.host.log, "hold: {word} lease {id} of cold leafs");
        }
    }
}

fn take_grant(shared: &Shared, leases: &Leases, slept: Duration) {
    let now = shared.now();
    let mut state = lock(&shared.cell.state);
    let held = leases.held(now);
    let known = state.extra.cold.grant;
    state.extra.cold.grant = held.map(|(id, until)| match known {
        // An answer that prolonged nothing says nothing of the time since.
        Some(known) if known.id == id && known.until == until => known,
        _ => Grant { id, until, slept },
    });
    drop(state);
    set_permits(shared, leases, now);
}

/// Brings what the table allows up to what is held, and forgets leafs that are warm.
fn set_permits(shared: &Shared, leases: &Leases, now: Time) {
    let mut state = lock(&shared.cell.state);
    let state = &mut *state;
    if leases.held(now).is_none() {
        state.extra.cold.grant = None;
    }
    state.extra.cold.leafs.retain(|_, until| now < *until);
    let leafs: Vec<Ix> = state.extra.cold.leafs.keys().copied().collect();
    for ix in &leafs {
        let permit = state.extra.permit_at(*ix);
        state.table.permit(*ix, permit);
    }
    shared.metrics.cold.set(leafs.len() as i64);
    let held = state
        .extra
        .cold
        .grant
        .map_or(-1, |grant| i64::from(grant.id.0));
    shared.metrics.lease.set(held);
}

fn any_cold(shared: &Shared, now: Time) -> bool {
    let state = lock(&shared.cell.state);
    state.extra.cold.leafs.values().any(|until| now < *until)
}
