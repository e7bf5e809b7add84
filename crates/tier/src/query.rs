//! Scatter-gather of callers' queries, and of the parts that peers request.
//!
//! A query is sent to one replica of each shard of a snapshot, which is one
//! version of the index, and the rows that they return are joined.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::{BufMut, Bytes, BytesMut};
use chestnut_conf::{CallKind, CallPolicy, OrgPolicy};
use chestnut_flow::{AdmittedRequest, InFlightGuard, QueueId, TimeLeft, TraceLevel, admit, run};
use chestnut_port::{SubAnswer, SubQuery};
use chestnut_route::{
    AdmitRequest, Class, End, Failure, PartialReason, Query, QueryConfig, Refusal as TargetRefusal,
    Repeat, Routes, Sheddable,
};
use chestnut_unit::{Execution, Reason, Share, Time};
use slog::debug;

use crate::{
    api::{Answer, QueryRequest, Refusal, SettingsUsed},
    calls::QueryCalls,
    refuse::{RefusalCause as Cause, Subject, refuse},
    service::{Service, ServiceRoutes},
    shared::{Phase, Shared, lock},
};

/// Number of times that a query is restarted after its snapshot was removed.
const MAX_RESTARTS: usize = 3;
/// Requests in flight at which parts for peers are shed, to bound memory.
const MAX_IN_FLIGHT: u32 = 4096;

/// Admission under an organisation's limit, released on drop.
struct OrgPermit<'a> {
    shared: &'a Shared,
    org: chestnut_unit::OrgName,
}

impl Drop for OrgPermit<'_> {
    fn drop(&mut self) {
        lock(&self.shared.org_limiters).release(&self.org);
    }
}

/// The policy that applies to a request, and the versions and age of the
/// settings that it comes from.
pub(crate) struct EffectivePolicy {
    pub(crate) policy: Arc<OrgPolicy>,
    pub(crate) settings: SettingsUsed,
}

/// Finds the policy of an organisation and records its versions in `subject`.
///
/// # Errors
///
/// The entry has no settings yet, the organisation is unknown, or the settings
/// were confirmed too long ago.
pub(crate) fn effective_policy(
    shared: &Shared,
    org: &chestnut_unit::OrgName,
    subject: &mut Subject,
) -> Result<EffectivePolicy, Cause> {
    let phase = shared.phase();
    if phase == Phase::Starting || phase == Phase::Stopped {
        let detail = "this entry has no confirmed settings yet";
        return Err(Cause::not_run(Reason::NotReady, detail));
    }
    let now = shared.now();
    let mut conf = lock(&shared.conf);
    let age = conf.confirmation.age(now);
    let policy = conf.policy(org);
    drop(conf);
    let Some(policy) = policy else {
        return Err(Cause::not_run(
            Reason::UnknownOrg,
            format!("no organisation {org}"),
        ));
    };
    subject.set_versions(&policy);
    match age {
        Some(confirmed_age) if confirmed_age <= policy.max_unconfirmed => Ok(EffectivePolicy {
            settings: SettingsUsed {
                template: policy.template,
                organisation: policy.organisation,
                confirmed_age,
            },
            policy,
        }),
        _ => {
            let detail = format!("settings last confirmed {:?} ago", age.unwrap_or_default());
            Err(Cause::not_run(Reason::Unconfirmed, detail))
        }
    }
}

/// Finds the policy of one call type on a service, for queries or submissions
/// as `kind` says.
///
/// # Errors
///
/// The organisation's policy does not allow the call.
pub(crate) fn call_policy<'a>(
    effective: &'a EffectivePolicy,
    kind: CallKind,
    service: &chestnut_unit::ServiceName,
    call: &chestnut_unit::CallType,
) -> Result<&'a CallPolicy, Cause> {
    effective
        .policy
        .call(call, kind, service)
        .map_err(|error| Cause::not_run(error.reason(), error.to_string()))
}

/// Admits a request under its organisation's limit until the permit is dropped.
/// `None`, without counting the request, if its policy forbids refusals for
/// that reason.
///
/// # Errors
///
/// The organisation has reached its limit; the cause has the retry delay.
pub(crate) fn org_permit<'a>(
    shared: &'a Shared,
    org: &chestnut_unit::OrgName,
    effective: &EffectivePolicy,
    policy: &CallPolicy,
) -> Result<Option<impl Drop + 'a + use<'a>>, Cause> {
    if !policy.may_refuse(Reason::OrgLimit) {
        return Ok(None);
    }
    let entries = lock(&shared.swim).view.accepting_work().count();
    let now = shared.now();
    let entered = lock(&shared.org_limiters).admit(org, &effective.policy.limits, entries, now);
    match entered {
        Ok(()) => Ok(Some(OrgPermit {
            shared,
            org: org.clone(),
        })),
        Err(after) => Err(Cause::not_run(
            Reason::OrgLimit,
            format!("limit {}", effective.policy.limits.rate),
        )
        .after(after)),
    }
}

/// Builds the request for admission to a service: its id, urgency and deadline,
/// and whether it may be refused for overload.
pub(crate) fn admit_request(
    subject: &Subject,
    policy: &CallPolicy,
    deadline: Time,
) -> AdmitRequest {
    AdmitRequest {
        id: subject.request,
        urgency: policy.urgency,
        deadline,
        sheddable: if policy.may_refuse(Reason::Overload) {
            Sheddable::Yes
        } else {
            Sheddable::No
        },
    }
}

/// Returns the time by which a request must end: now plus the requested time,
/// or that of the policy, capped by the settings.
pub(crate) fn deadline(shared: &Shared, requested: Option<Duration>, policy: &CallPolicy) -> Time {
    let allowed = requested.unwrap_or(policy.deadline);
    shared.now() + allowed.min(shared.settings.limits.deadline)
}

/// Answers a caller's query and records its metrics. A refusal is also logged,
/// counted and recorded.
pub(crate) async fn answer(shared: &Shared, request: QueryRequest) -> Result<Answer, Refusal> {
    let _flight = InFlightGuard::enter(&shared.in_flight);
    let start = shared.now();
    let mut subject = Subject {
        request: shared.next_request(),
        organisation: Some(request.organisation.clone()),
        service: Some(request.service.clone()),
        call: Some(request.call.clone()),
        versions: (0, 0),
    };
    let result = decide(shared, &request, &mut subject).await;
    let span = shared.now().since(start);
    result
        .inspect(|(answer, urgency)| {
            shared
                .metrics
                .observe_answer(&request.service, *urgency, span, &answer.coverage);
        })
        .map(|(answer, _)| answer)
        .map_err(|cause| refuse(shared, &subject, cause))
}

/// Admits and runs a query; returns the answer with its urgency. The error says
/// why the query is refused. Records the versions of its settings in `subject`.
async fn decide(
    shared: &Shared,
    request: &QueryRequest,
    subject: &mut Subject,
) -> Result<(Answer, chestnut_unit::Urgency), Cause> {
    let effective = effective_policy(shared, &request.organisation, subject)?;
    let policy = call_policy(&effective, CallKind::Query, &request.service, &request.call)?;
    let service = shared
        .service(&request.service)
        .ok_or_else(|| Cause::not_run(Reason::NoSnapshot, "the platform lists no such service"))?;
    let _permit = org_permit(shared, &request.organisation, &effective, policy)?;
    let deadline = deadline(shared, request.deadline, policy);
    let admission = admit_request(subject, policy, deadline);
    let time_left = time_left(shared, &service, deadline);
    if !time_left.suffices() {
        return Err(stopping());
    }
    let mut admitted = time_left
        .bound(admit(
            &shared.runtime,
            &service,
            QueueId::default(),
            admission,
        ))
        .await
        .ok_or_else(stopping)?
        .map_err(|(reason, after)| Cause::not_run(reason, "at admission").after(after))?;
    if shared.runtime.trace > TraceLevel::None {
        debug!(shared.runtime.log, "admit: query of {} admitted", request.service;
            "request" => subject.request.0, "why" => policy.urgency.as_str());
    }
    let config = QueryConfig::new(deadline, policy.min_coverage);
    let FanOut { query, execution } =
        fan_out(shared, &service, request, subject, config, &mut admitted).await?;
    drop(admitted);
    let coverage = query.coverage();
    if !coverage.meets(policy.min_coverage) {
        return Err(coverage_refusal(&query, execution));
    }
    let answer = Answer {
        request_id: subject.request,
        entry: shared.own.id.clone(),
        snapshot: query.routes().snapshot.clone(),
        coverage,
        settings: effective.settings,
        rows: join_rows(query.into_parts().map(|(_, rows)| rows)),
    };
    Ok((answer, policy.urgency))
}

/// Compares how long queries of a service take with what is left of the process.
fn time_left<'a>(shared: &'a Shared, service: &Service, deadline: Time) -> TimeLeft<'a> {
    let longest = deadline.since(shared.now());
    let state = lock(&service.state);
    let profile = state.table.profile(Class::default());
    let expected = profile.query_time(Repeat::Idempotent, longest);
    TimeLeft::new(&shared.runtime, deadline, expected)
}

/// The refusal of a query that has not run and can't be answered before the process ends.
fn stopping() -> Cause {
    Cause::not_run(Reason::NotReady, "this entry stops before an answer")
}

/// The best run of a query, and whether a call of any of its runs may have been
/// executed. A later run without calls must not hide those of an earlier one.
struct FanOut {
    query: Query<Bytes>,
    execution: Execution,
}

/// Runs the query, and restarts it if the pinned snapshot is removed. Adds its
/// calls to the counts of `admitted`. The error is that no snapshot has a live
/// leaf.
async fn fan_out(
    shared: &Shared,
    service: &Arc<Service>,
    request: &QueryRequest,
    subject: &Subject,
    config: QueryConfig,
    admitted: &mut AdmittedRequest<'_, ServiceRoutes>,
) -> Result<FanOut, Cause> {
    let calls = QueryCalls {
        shared,
        service,
        request: subject.request,
        body: request.body.clone(),
    };
    let mut best: Option<Query<Bytes>> = None;
    let mut none_ran = true;
    for _ in 0..=MAX_RESTARTS {
        let Some(routes) = pin_snapshot(shared, service) else {
            break;
        };
        let query = run(&shared.runtime, service, &calls, routes, None, config).await;
        admitted.calls += query.calls() as u32;
        admitted.shed_calls += query.shed_calls();
        none_ran &= query.not_run().is_some();
        let lost = query.end() == Some(End::Partial(PartialReason::SnapshotLost));
        let better = best
            .as_ref()
            .is_none_or(|b| query.coverage().answered > b.coverage().answered);
        if better || !lost {
            best = Some(query);
        }
        if !lost {
            break;
        }
        debug!(shared.runtime.log, "retry: the snapshot is gone, restarting the query";
            "request" => subject.request.0);
    }
    let query =
        best.ok_or_else(|| Cause::not_run(Reason::NoSnapshot, "no index version has a live leaf"))?;
    let execution = if none_ran {
        Execution::NotRun
    } else {
        Execution::Partial
    };
    Ok(FanOut { query, execution })
}

/// Pins a snapshot with live leafs, so that all shards answer from it; `None`
/// if there is none.
fn pin_snapshot(shared: &Shared, service: &Service) -> Option<Arc<Routes>> {
    let now = shared.now();
    let state = lock(&service.state);
    state.extra.versions.pin(&state.table, now)
}

/// Builds the refusal of a query that is below its minimum coverage: deadline,
/// target refused or incomplete, with the missing shards in the detail.
fn coverage_refusal(query: &Query<Bytes>, execution: Execution) -> Cause {
    let coverage = query.coverage();
    let reason = match query.end() {
        Some(End::Partial(PartialReason::Deadline)) => Reason::Deadline,
        Some(End::Partial(PartialReason::Stopping)) => Reason::NotReady,
        _ if execution == Execution::NotRun => Reason::TargetRefused,
        _ => Reason::Incomplete,
    };
    let missing: Vec<&str> = coverage
        .missing
        .iter()
        .take(MAX_MISSING)
        .map(|name| name.as_str())
        .collect();
    let detail = format!(
        "{} of {} shards answered from {}; missing {}",
        coverage.answered,
        coverage.asked,
        query.routes().snapshot,
        missing.join(" ")
    );
    Cause::not_run(reason, detail).execution(execution)
}

/// Maximum number of missing shards listed in a refusal.
const MAX_MISSING: usize = 20;

/// Concatenates JSON arrays to one without parsing them; each part must be an
/// array.
fn join_rows(parts: impl Iterator<Item = Bytes>) -> Bytes {
    let mut joined = BytesMut::new();
    joined.put_u8(b'[');
    for part in parts {
        let rows = part[1..part.len() - 1].trim_ascii();
        if rows.is_empty() {
            continue;
        }
        if joined.len() > 1 {
            joined.put_u8(b',');
        }
        joined.put_slice(rows);
    }
    joined.put_u8(b']');
    joined.freeze()
}

/// Serves the part of a query that a peer requests, using only leafs that this
/// entry holds; shards without one are left out. Fails if too many requests are
/// in flight, the service or index version is unknown, or no shard was
/// answered.
pub(crate) async fn serve_part(shared: &Shared, part: SubQuery) -> SubAnswer {
    let running = shared.in_flight.load(Ordering::Relaxed);
    if running >= MAX_IN_FLIGHT {
        return SubAnswer::Failed(Failure::Refused(TargetRefusal::Shed));
    }
    let _flight = InFlightGuard::enter(&shared.in_flight);
    let Some(service) = shared.service(&part.service) else {
        return SubAnswer::Failed(Failure::Refused(TargetRefusal::NoSnapshot));
    };
    let Some(routes) = lock(&service.state).extra.local.get(part.index) else {
        return SubAnswer::Failed(Failure::Refused(TargetRefusal::NoSnapshot));
    };
    let held = |at: &usize| {
        routes
            .shards
            .get(*at)
            .is_some_and(|s| !s.replicas.is_empty())
    };
    let subset: Vec<usize> = part
        .shards
        .iter()
        .map(|at| *at as usize)
        .filter(held)
        .collect();
    if subset.is_empty() {
        // The peer takes this entry for a holder of these shards' leafs, but by
        // its own placement it is not. Nothing ran.
        return SubAnswer::Failed(Failure::Refused(TargetRefusal::Connections));
    }
    let config = QueryConfig::new(shared.now() + part.deadline, Share::from_permille(0));
    let calls = QueryCalls {
        shared,
        service: &service,
        request: part.request,
        body: part.body,
    };
    let query = run(
        &shared.runtime,
        &service,
        &calls,
        routes,
        Some(&subset),
        config,
    )
    .await;
    if query.coverage().answered == 0 {
        return SubAnswer::Failed(match (query.not_run(), query.end()) {
            (Some(_), Some(End::Partial(PartialReason::SnapshotLost))) => {
                Failure::Refused(TargetRefusal::NoSnapshot)
            }
            (Some(_), Some(End::Partial(PartialReason::Stopping))) => {
                Failure::Refused(TargetRefusal::Draining)
            }
            (Some(_), _) => Failure::Refused(TargetRefusal::Shed),
            (None, _) => Failure::Lost,
        });
    }
    SubAnswer::Parts {
        index: part.index,
        parts: query
            .into_parts()
            .map(|(route, rows)| (route as u32, rows))
            .collect(),
    }
}
