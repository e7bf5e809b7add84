//! Rate limits of calls to cold leafs, divided among entries by leases.
//!
//! A cold leaf has started recently and is not warmed up yet; it crashes if all entries
//! together exceed a call rate. The rate limit is divided among a few leases in the store,
//! and an entry that holds none sends nothing to cold leafs. Leases are acquired only
//! while there are cold leafs of a service with a limit.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use chestnut_fleet::{
    LEASE_COUNT, LeaseCall, LeaseId, LeaseList, LeaseReply, LeaseTimes, LeaseWrite, Leases, Owner,
};
use chestnut_flow::lock;
use chestnut_port::FeedError;
use chestnut_route::{Backend, COLD_WINDOW, ColdPermit, Ix};
use chestnut_unit::{ServiceName, Time};
use futures::future::BoxFuture;
use rand::Rng;
use serde::Deserialize;
use slog::{info, warn};
use tokio::time::sleep_until;

use crate::{
    members::{Members, wait_until_serving},
    shared::Shared,
    state::{RelayState, State},
};

/// The port to the leases in the store.
pub trait LeaseStore: Send + Sync {
    /// Reads all leases, never from a stale copy.
    fn list(&self) -> BoxFuture<'_, Result<LeaseList, FeedError>>;

    /// Writes a lease if it is at the expected revision, or absent if that is none.
    ///
    /// Each write that takes effect raises the revision, even if the content is unchanged.
    /// After an error the write may still have taken effect, or take effect later.
    fn grant(&self, write: LeaseWrite) -> BoxFuture<'_, Result<LeaseReply, FeedError>>;
}

/// Term of a lease, and its grace: the time for which calls sent under it still count towards
/// the rate limit.
const LEASE_TIMES: LeaseTimes = LeaseTimes {
    term: Duration::from_millis(1500),
    grace: COLD_WINDOW,
};
/// Serving entries that compete for leases: as many again as there are leases, as standby.
/// The limit keeps calls to the store independent of the number of entries.
const MAX_CANDIDATES: usize = 2 * LEASE_COUNT as usize;
/// Interval at which an entry checks whether it is a candidate, while there are cold leafs.
const CANDIDATE_RECHECK: Duration = Duration::from_millis(500);
/// Least time between two decisions about leases that no notification triggered.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(5);
/// Tolerated increase of the VM's suspended time since a lease was requested, for the error of
/// its measurement.
const SUSPEND_TOLERANCE: Duration = Duration::from_millis(20);

/// Settings that adjust the rate limit of cold leafs from the book.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdLimits {
    /// Multiple of the rate in the book.
    pub over: f64,
    /// Calls per second that are added to it.
    pub slack: f64,
}

impl Default for ColdLimits {
    /// The rate in the book, unchanged: multiplied by 1, with nothing added.
    fn default() -> Self {
        Self {
            over: 1.0,
            slack: 0.0,
        }
    }
}

/// A lease that this entry holds: its id, its end, and the VM's suspended time at the request.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: LeaseId,
    /// End of the lease, unless it is renewed.
    until: Time,
    /// Total suspended time of the VM when the lease was requested.
    suspended: Duration,
}

/// The cold leafs with a rate limit, and the lease that lets this entry call them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdLeafs {
    /// The time at which each leaf stops being cold.
    leafs: BTreeMap<Ix, Time>,
    /// The lease that this entry holds, if any.
    lease: Option<HeldLease>,
}

impl RelayState {
    /// Returns the rate limit of a cold leaf of `service`, in calls per second from all
    /// entries together, adjusted by the settings; none if the book sets no limit.
    fn cold_rate_limit(&self, service: &ServiceName) -> Option<u32> {
        let rule = self.book.as_ref()?.service(service)?.cold?;
        let calls = rule.rate.as_f64() * self.cold_limits.over + self.cold_limits.slack;
        // The cast saturates.
        Some(calls.max(0.0) as u32)
    }

    /// Returns what this entry may send to a cold leaf under its lease, its share of the rate
    /// limit until the lease ends; nothing without a lease or a limit.
    fn permit_for(&self, ix: Ix) -> ColdPermit {
        let endpoint = self.endpoints.get(&ix);
        let bound = endpoint.and_then(|endpoint| self.cold_rate_limit(&endpoint.service));
        match (bound, self.cold.lease) {
            (Some(bound), Some(lease)) => ColdPermit {
                max_calls: lease.id.share(bound),
                expires: lease.until,
            },
            _ => ColdPermit::default(),
        }
    }
}

/// Rate-limits a leaf until `until`, with a permit under the current lease. Does nothing if
/// its service has no limit in the book, or `until` is over.
pub(crate) fn mark_cold(state: &mut State, ix: Ix, until: Time, now: Time) {
    let endpoint = state.extra.endpoints.get(&ix);
    let bounded =
        endpoint.is_some_and(|endpoint| state.extra.cold_rate_limit(&endpoint.service).is_some());
    if !bounded || until <= now {
        return;
    }
    state.table.start_cold_limit(ix, until, now);
    let permit = state.extra.permit_for(ix);
    state.table.permit(ix, permit);
    state.extra.cold.leafs.insert(ix, until);
}

/// Recomputes which cold leafs are rate-limited after a change of the book: ends the limit of
/// those whose service has none now, and limits all others that are cold.
pub(crate) fn refresh_cold(state: &mut State, now: Time) {
    let bounded: Vec<Ix> = state.extra.cold.leafs.keys().copied().collect();
    for ix in bounded {
        let endpoint = state.extra.endpoints.get(&ix);
        if endpoint.is_none_or(|endpoint| state.extra.cold_rate_limit(&endpoint.service).is_none())
        {
            state.table.end_cold_limit(ix);
            state.extra.cold.leafs.remove(&ix);
        }
    }
    let cold: Vec<_> = state.extra.leafs.cold(now).collect();
    for (id, until) in cold {
        if let Some(ix) = state.table.find(&Backend::Leaf(id)) {
            mark_cold(state, ix, until, now);
        }
    }
}

/// Returns how long leafs of `service` stay cold, by the book; zero if it sets no rate limit
/// for them.
pub(crate) fn cold_duration(relay_state: &RelayState, service: &ServiceName) -> Duration {
    let book = relay_state.book.as_ref();
    let rule = book.and_then(|book| book.service(service)?.cold);
    rule.map_or(Duration::ZERO, |rule| rule.span)
}

/// Returns the time until which a call to `ix` may be sent: [`Time::MAX`] if the leaf is not
/// rate-limited; none without a lease, or if the VM was suspended since it was requested.
///
/// After the VM was suspended, another entry may have acquired this entry's lease.
pub(crate) fn send_until(shared: &Shared, state: &State, ix: Ix) -> Option<Time> {
    let Some(until) = state.table.permitted_until(ix, shared.now()) else {
        return Some(Time::MAX);
    };
    let suspended = shared.runtime.clock.suspended();
    let lease = state.extra.cold.lease;
    let valid = lease.is_some_and(|lease| suspended <= lease.suspended + SUSPEND_TOLERANCE);
    valid.then_some(until)
}

/// Acquires, renews and releases leases from when the entry serves. It wants one while there
/// are rate-limited cold leafs and it is among the first [`MAX_CANDIDATES`] serving entries.
pub(crate) async fn run(shared: Arc<Shared>, members: Arc<Members>, store: Arc<dyn LeaseStore>) {
    if !wait_until_serving(&shared).await {
        return;
    }
    let (incarnation, start) = {
        let mut rng = shared.runtime.rng();
        (rng.next_u64(), rng.next_u64())
    };
    let own = Owner(format!("{}/{incarnation:x}", shared.settings.entry.member));
    let available_from = Time::ZERO + LEASE_TIMES.term + LEASE_TIMES.grace;
    let mut leases = Leases::new(LEASE_TIMES, own, start, available_from);
    loop {
        let now = shared.now();
        let epoch = shared.store_status.borrow().revision().epoch;
        leases.observe_epoch(epoch, now);
        let any = any_cold(&shared, now);
        let wanted = any
            && members
                .serving_rank(&shared)
                .is_some_and(|at| at < MAX_CANDIDATES);
        if let Some(call) = leases.next_call(wanted, now) {
            call_store(&shared, &*store, &mut leases, call).await;
            continue;
        }
        update_permits(&shared, &leases, now);
        let recheck = if any {
            now + CANDIDATE_RECHECK
        } else {
            Time::MAX
        };
        let wake = leases
            .wake(wanted, now)
            .min(recheck)
            .max(now + MIN_WAKE_INTERVAL);
        tokio::select! {
            () = shared.cold_changed.notified() => {}
            () = sleep_until(shared.runtime.clock.instant(wake)) => {}
        }
    }
}

/// Makes a call to the store and passes its result to `leases`. After a write it also updates
/// the held lease and the permits, and logs whether the lease was acquired, lost or released.
async fn call_store(shared: &Shared, store: &dyn LeaseStore, leases: &mut Leases, call: LeaseCall) {
    shared.metrics.count_store_call("leases");
    let (sent, suspended) = (shared.now(), shared.runtime.clock.suspended());
    match call {
        LeaseCall::List => match store.list().await {
            Ok(list) => leases.on_list(list, shared.now()),
            Err(error) => {
                warn!(shared.runtime.log, "hold: can't read the leases of cold leafs"; "why" => %error);
                leases.on_failure(shared.now());
            }
        },
        LeaseCall::Write(write) => {
            let id = write.id;
            let reply = store.grant(write.clone()).await;
            let reply = reply.unwrap_or_else(|error| {
                warn!(shared.runtime.log, "hold: writing a lease of cold leafs failed, its outcome is unknown"; "lease" => %id, "why" => %error);
                LeaseReply::Unknown
            });
            let (before, owner_wanted) = (leases.is_holding(), write.owner.is_some());
            leases.on_reply(write, reply, sent, shared.now());
            record_lease(shared, leases, suspended);
            let after = leases.is_holding();
            let event = match (before, after, owner_wanted) {
                (false, true, _) => "holds",
                (true, false, true) => "lost",
                (true, false, false) => "gave back",
                _ => return,
            };
            info!(shared.runtime.log, "hold: {event} lease {id} of cold leafs");
        }
    }
}

/// Records the lease that is held after a write to the store, and updates the permits.
/// `suspended` is the VM's suspended time when the write was sent.
fn record_lease(shared: &Shared, leases: &Leases, suspended: Duration) {
    let now = shared.now();
    let mut state = lock(&shared.cell.state);
    let held = leases.valid_lease(now);
    let known = state.extra.cold.lease;
    state.extra.cold.lease = held.map(|(id, until)| match known {
        // The lease was not renewed, so its suspended time must not move forward either.
        Some(known) if known.id == id && known.until == until => known,
        _ => HeldLease {
            id,
            until,
            suspended,
        },
    });
    drop(state);
    update_permits(shared, leases, now);
}

/// Updates the permits of cold leafs in the table to the held lease, dropped if it has ended;
/// forgets leafs that are warm, and updates the metrics.
fn update_permits(shared: &Shared, leases: &Leases, now: Time) {
    let mut state = lock(&shared.cell.state);
    let state = &mut *state;
    if leases.valid_lease(now).is_none() {
        state.extra.cold.lease = None;
    }
    state.extra.cold.leafs.retain(|_, until| now < *until);
    let leafs: Vec<Ix> = state.extra.cold.leafs.keys().copied().collect();
    for ix in &leafs {
        let permit = state.extra.permit_for(*ix);
        state.table.permit(*ix, permit);
    }
    shared.metrics.cold_leafs.set(leafs.len() as i64);
    let held = state
        .extra
        .cold
        .lease
        .map_or(-1, |lease| i64::from(lease.id.0));
    shared.metrics.cold_lease.set(held);
}

/// Returns whether any rate-limited leaf is cold at `now`.
fn any_cold(shared: &Shared, now: Time) -> bool {
    let state = lock(&shared.cell.state);
    state.extra.cold.leafs.values().any(|until| now < *until)
}
