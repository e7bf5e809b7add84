//! Periodic log lines and metrics of the bytes, store calls and extra calls of an entry, of the
//! capacity of services and of the requests of organisations.

use std::{collections::BTreeMap, fmt::Write, sync::Arc, time::Duration};

use chestnut_flow::lock;
use chestnut_port::{ClientLoss, Direction, Distance, Purpose, Traffic};
use chestnut_route::{BudgetTotals, CallCounts, OrgUse};
use chestnut_unit::{OrgName, ServiceName, Time};
use slog::info;
use tokio::time::sleep;

use crate::{metrics::ServiceRoom, shared::Shared, state::State};

/// Interval between log lines of bytes and calls, long enough that they are few beside those
/// of requests.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Organisations that a log line names.
const ORGANISATIONS_LOGGED: usize = 8;
/// Organisations with metrics of their own; bounds the labels, as a book may list thousands.
const ORGANISATIONS_SHOWN: usize = 20;
/// Services with metrics of their own; bounds the labels.
const SERVICES_SHOWN: usize = 64;

/// Total bytes by purpose, distance and direction.
#[derive(Clone, Copy, Default)]
struct ByteTotals([[[u64; 2]; 2]; Purpose::ALL.len()]);

impl ByteTotals {
    /// Reads the counters of `traffic`.
    fn read(traffic: &Traffic) -> Self {
        let mut bytes = Self::default();
        for (purpose, distance, direction) in byte_kinds() {
            bytes.0[purpose as usize][distance as usize][direction as usize] =
                traffic.get(purpose, distance, direction);
        }
        bytes
    }

    /// The bytes counted since `before`, an earlier reading, as
    /// `purpose=local in/local out/remote in/remote out` for each purpose.
    fn since(&self, before: &Self) -> String {
        let mut text = String::new();
        for purpose in Purpose::ALL {
            let separator = if text.is_empty() { "" } else { " " };
            let count = |distance: usize, direction: usize| {
                let at = purpose as usize;
                self.0[at][distance][direction] - before.0[at][distance][direction]
            };
            let name = purpose.as_str();
            // Writing to a string can't fail.
            let _ = write!(
                text,
                "{separator}{name}={}/{}/{}/{}",
                count(0, 0),
                count(0, 1),
                count(1, 0),
                count(1, 1)
            );
        }
        text
    }
}

/// All combinations of purpose, distance and direction.
fn byte_kinds() -> impl Iterator<Item = (Purpose, Distance, Direction)> {
    let pairs = |purpose| {
        Distance::ALL
            .into_iter()
            .flat_map(move |distance| Direction::ALL.map(|way| (purpose, distance, way)))
    };
    Purpose::ALL.into_iter().flat_map(pairs)
}

/// Totals of the extra-call budgets (earned, discarded, spent) and of the calls made by kind.
#[derive(Clone, Copy, Default)]
struct ExtraTotals {
    totals: BudgetTotals,
    counts: CallCounts,
}

/// Logs the bytes, store calls and extra calls since the last line, and the estimated caller
/// delays, for as long as the entry runs. No line on extra calls if there was no first call.
pub(crate) async fn run(shared: Arc<Shared>) {
    let (mut bytes, mut extra) = (ByteTotals::default(), ExtraTotals::default());
    let mut refused = 0;
    let mut losses = ClientLosses::default();
    loop {
        sleep(LOG_INTERVAL).await;
        let now = ByteTotals::read(&shared.traffic);
        let store_calls = shared.metrics.take_store_calls();
        let store_calls: Vec<String> = store_calls
            .iter()
            .map(|(kind, n)| format!("{kind}={n}"))
            .collect();
        info!(shared.runtime.log, "spend: bytes"; "bytes" => now.since(&bytes), "store" => store_calls.join(", "));
        bytes = now;
        let (next, delay, samples, overrun) = {
            let state = lock(&shared.cell.state);
            let (totals, counts) = (state.table.budget_totals(), state.table.counts());
            let delays = &state.extra.caller_delays;
            (
                ExtraTotals { totals, counts },
                delays.network_delay(Duration::ZERO),
                delays.samples(),
                delays.overrun(),
            )
        };
        if next.counts.first > extra.counts.first {
            info!(shared.runtime.log, "spend: extra calls";
                "earned" => next.totals.earned - extra.totals.earned,
                "lost" => next.totals.discarded - extra.totals.discarded,
                "spent" => next.totals.spent - extra.totals.spent,
                "first" => next.counts.first - extra.counts.first,
                "hedges" => next.counts.hedges - extra.counts.hedges,
                "retries" => next.counts.retries - extra.counts.retries,
                "unpaid" => next.counts.over_budget - extra.counts.over_budget,
                "spared" => next.counts.low_gain - extra.counts.low_gain,
                "way_ms" => delay.as_secs_f64() * 1e3, "way_samples" => samples, "overrun_ms" => overrun.as_secs_f64() * 1e3);
        }
        extra = next;
        log_organisations(&shared, &mut refused);
        log_clients(&shared, &mut losses);
    }
}

/// Clients that were lost, by reason.
type ClientLosses = [u64; ClientLoss::ALL.len()];

/// Logs the clients that lost their connection to others since the last line, if there are any;
/// `losses` are the totals then.
fn log_clients(shared: &Shared, losses: &mut ClientLosses) {
    let now = ClientLoss::ALL.map(|why| shared.memory.losses(why));
    let before = std::mem::replace(losses, now);
    if now == before {
        return;
    }
    let counts = ClientLoss::ALL.map(|why| {
        let count = now[why as usize] - before[why as usize];
        format!("{}={count}", why.as_str())
    });
    info!(shared.runtime.log, "admit: clients lost their connection to others";
        "clients" => counts.join(" "), "held" => %shared.memory.used());
}

/// Logs the requests under limits since the start, if any were refused since the last line;
/// `refused` is their number then.
fn log_organisations(shared: &Shared, refused: &mut u64) {
    let (largest, rest) = shared.limits.usage(ORGANISATIONS_LOGGED);
    let all = || largest.iter().map(|(_, usage)| usage).chain([&rest]);
    let now = all().map(|usage| usage.refused).sum();
    if now == *refused {
        return;
    }
    *refused = now;
    let list: Vec<String> = largest
        .iter()
        .map(|(org, usage)| format!("{org}={}/{}/{}", usage.asked, usage.refused, usage.detached))
        .collect();
    info!(shared.runtime.log, "limit: organisations"; "asked_refused_detached" => list.join(" "),
        "refused" => now, "detached" => all().map(|usage| usage.detached).sum::<u64>());
}

/// Returns the capacity of the leafs of each service. Leafs that are evacuated or evicted have no
/// places, as no calls are sent to them.
fn service_rooms(state: &State, now: Time) -> BTreeMap<ServiceName, ServiceRoom> {
    let table = &state.table;
    let mut rooms: BTreeMap<ServiceName, ServiceRoom> = BTreeMap::new();
    for (ix, _) in table.backends() {
        let Some(endpoint) = state.extra.endpoints.get(&ix) else {
            continue;
        };
        let calls = u64::from(table.outstanding(ix));
        let is_usable = !table.is_excluded(ix) && table.evicted_until(ix, now).is_none();
        let places = if is_usable {
            u64::from(table.window(ix))
        } else {
            0
        };
        let room = ServiceRoom {
            places,
            free: places.saturating_sub(calls),
            calls,
        };
        rooms.entry(endpoint.service.clone()).or_default().add(room);
    }
    rooms
}

/// Sets the limits of the organisations that have metrics of their own, by the book in force.
fn set_limits(shared: &Shared, shown: &[(OrgName, OrgUse)]) {
    let book = lock(&shared.cell.state).extra.book.clone();
    let organisations = book.as_ref().and_then(|book| book.organisations());
    let limit = |org: &OrgName| Some(organisations?.get(org)?.limit?.rate);
    let limits = shown.iter().filter_map(|(org, _)| Some((org, limit(org)?)));
    shared.metrics.set_organisation_limits(limits);
}

/// Updates the metrics that are read from counters elsewhere: bytes, clients, the capacity of services,
/// calls in flight to evacuated domains, requests of organisations, and extra calls.
pub(crate) fn update_metrics(shared: &Shared) {
    for (purpose, distance, direction) in byte_kinds() {
        let bytes = shared.traffic.get(purpose, distance, direction);
        shared
            .metrics
            .set_bytes(purpose, distance, direction, bytes);
    }
    for why in ClientLoss::ALL {
        let lost = shared.memory.losses(why);
        shared.metrics.set_client_losses(why.as_str(), lost);
    }
    let held = shared.memory.used().0;
    shared.metrics.client_bytes.set(held as i64);
    let (totals, counts, evacuated_calls, rooms) = {
        let state = lock(&shared.cell.state);
        (
            state.table.budget_totals(),
            state.table.counts(),
            state.table.outstanding_excluded(),
            service_rooms(&state, shared.now()),
        )
    };
    shared.metrics.set_services(&rooms, SERVICES_SHOWN);
    shared
        .metrics
        .evacuated_calls
        .set(i64::from(evacuated_calls));
    let (largest, rest) = shared.limits.usage(ORGANISATIONS_SHOWN);
    shared.metrics.set_organisations(&largest, rest);
    set_limits(shared, &largest);
    shared.metrics.set_extra_calls("earned", totals.earned);
    shared.metrics.set_extra_calls("lost", totals.discarded);
    shared.metrics.set_extra_calls("spent", totals.spent);
    shared
        .metrics
        .set_extra_calls("unpaid", counts.over_budget as f64);
    shared
        .metrics
        .set_extra_calls("spared", counts.low_gain as f64);
}
