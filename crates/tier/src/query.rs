//! Queries of callers, and the parts of queries that peers ask for.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::{BufMut, Bytes, BytesMut};
use chestnut_conf::{CallKind, CallPolicy, OrgPolicy};
use chestnut_flow::{GateId, InFlight, Running, Trace, admit, run};
use chestnut_port::{SubAnswer, SubQuery};
use chestnut_route::{End, Failure, Give, Order, Query, QueryConfig, Refusal, Routes, Yields};
use chestnut_unit::{Reason, Run, Share, Time};
use slog::debug;

use crate::{
    api::{Answer, QueryRequest, Refused, SettingsUsed},
    calls::Ask,
    refuse::{Subject, Why, refuse},
    service::{Placed, Service},
    shared::{Phase, Shared, lock},
};

/// Times that a query may start over because its snapshot went away.
const RESTARTS: usize = 3;
/// Requests at once past which parts for peers are shed, to bound memory.
const SUB_QUERIES_MAX: u32 = 4096;

/// A request that is let in under its organisation's limit.
struct OrgPass<'a> {
    shared: &'a Shared,
    org: chestnut_unit::OrgName,
}

impl Drop for OrgPass<'_> {
    fn drop(&mut self) {
        lock(&self.shared.gates).leave(&self.org);
    }
}

/// The policy and settings that a request is decided under.
pub(crate) struct Ground {
    pub(crate) policy: Arc<OrgPolicy>,
    pub(crate) settings: SettingsUsed,
}

/// Finds the policy of an organisation, if this entry may decide on it now.
pub(crate) fn ground(
    shared: &Shared,
    org: &chestnut_unit::OrgName,
    subject: &mut Subject,
) -> Result<Ground, Why> {
    let phase = shared.phase();
    if phase == Phase::Starting || phase == Phase::Stopped {
        let detail = "this entry has no confirmed settings yet";
        return Err(Why::not_run(Reason::NotReady, detail));
    }
    let now = shared.now();
    let mut conf = lock(&shared.conf);
    let age = conf.confirmation.age(now);
    let policy = conf.policy(org);
    drop(conf);
    let Some(policy) = policy else {
        return Err(Why::not_run(
            Reason::UnknownOrg,
            format!("no organisation {org}"),
        ));
    };
    subject.under(&policy);
    match age {
        Some(confirmed) if confirmed <= policy.unconfirmed => Ok(Ground {
            settings: SettingsUsed {
                template: policy.template,
                organisation: policy.organisation,
                confirmed,
            },
            policy,
        }),
        _ => {
            let detail = format!("settings last confirmed {:?} ago", age.unwrap_or_default());
            Err(Why::not_run(Reason::Unconfirmed, detail))
        }
    }
}

/// Checks the call against the policy, and the organisation's limit.
pub(crate) fn permit<'a>(
    ground: &'a Ground,
    kind: CallKind,
    service: &chestnut_unit::ServiceName,
    call: &chestnut_unit::CallType,
) -> Result<&'a CallPolicy, Why> {
    ground
        .policy
        .call(call, kind, service)
        .map_err(|error| Why::not_run(error.reason(), error.to_string()))
}

/// Takes a request under its organisation's limit.
pub(crate) fn pass<'a>(
    shared: &'a Shared,
    org: &chestnut_unit::OrgName,
    ground: &Ground,
    policy: &CallPolicy,
) -> Result<Option<impl Drop + 'a + use<'a>>, Why> {
    if !policy.may_refuse(Reason::OrgLimit) {
        return Ok(None);
    }
    let entries = lock(&shared.swim).view.accepting_work().count();
    let now = shared.now();
    let entered = lock(&shared.gates).enter(org, &ground.policy.limits, entries, now);
    match entered {
        Ok(()) => Ok(Some(OrgPass {
            shared,
            org: org.clone(),
        })),
        Err(after) => Err(Why::not_run(
            Reason::OrgLimit,
            format!("limit {}", ground.policy.limits.rate),
        )
        .after(after)),
    }
}

/// The order for admission of one request.
pub(crate) fn order(subject: &Subject, policy: &CallPolicy, deadline: Time) -> Order {
    Order {
        id: subject.request,
        urgency: policy.urgency,
        deadline,
        yields: if policy.may_refuse(Reason::Overload) {
            Yields::Yes
        } else {
            Yields::No
        },
    }
}

/// The deadline of a request: its own, or the template's, within the limit.
pub(crate) fn deadline(shared: &Shared, own: Option<Duration>, policy: &CallPolicy) -> Time {
    let span = own.unwrap_or(policy.deadline);
    shared.now() + span.min(shared.settings.limits.deadline)
}

/// Answers a caller's query.
pub(crate) async fn answer(shared: &Shared, ask: QueryRequest) -> Result<Answer, Refused> {
    let _flight = InFlight::enter(&shared.in_flight);
    let start = shared.now();
    let mut subject = Subject {
        request: shared.next_request(),
        organisation: Some(ask.organisation.clone()),
        service: Some(ask.service.clone()),
        call: Some(ask.call.clone()),
        versions: (0, 0),
    };
    let result = decide(shared, &ask, &mut subject).await;
    let span = shared.now().since(start);
    result
        .inspect(|(answer, urgency)| {
            shared
                .metrics
                .observe(&ask.service, *urgency, span, &answer.coverage);
        })
        .map(|(answer, _)| answer)
        .map_err(|why| refuse(shared, &subject, why))
}

async fn decide(
    shared: &Shared,
    ask: &QueryRequest,
    subject: &mut Subject,
) -> Result<(Answer, chestnut_unit::Urgency), Why> {
    let ground = ground(shared, &ask.organisation, subject)?;
    let policy = permit(&ground, CallKind::Query, &ask.service, &ask.call)?;
    let service = shared
        .service(&ask.service)
        .ok_or_else(|| Why::not_run(Reason::NoSnapshot, "the platform lists no such service"))?;
    let _pass = pass(shared, &ask.organisation, &ground, policy)?;
    let deadline = deadline(shared, ask.deadline, policy);
    let order = order(subject, policy, deadline);
    let mut running = admit(&shared.host, &service, GateId::default(), order)
        .await
        .map_err(|(reason, after)| Why::not_run(reason, "at admission").after(after))?;
    if shared.host.trace > Trace::None {
        debug!(shared.host.log, "admit: {} runs", ask.service;
            "request" => subject.request.0, "why" => policy.urgency.as_str());
    }
    let config = QueryConfig::new(deadline, policy.least);
    let Fanned { query, run } =
        fan_out(shared, &service, ask, subject, config, &mut running).await?;
    drop(running);
    let coverage = query.coverage();
    if !coverage.reaches(policy.least) {
        return Err(why_short(&query, run));
    }
    let answer = Answer {
        request: subject.request,
        entry: shared.own.id.clone(),
        snapshot: query.routes().snapshot.clone(),
        coverage,
        settings: ground.settings,
        rows: join_rows(query.into_parts().map(|(_, rows)| rows)),
    };
    Ok((answer, policy.urgency))
}

/// The best query of a request, and what ran of all that it made. A later one
/// that made no call must not hide what an earlier one ran.
struct Fanned {
    query: Query<Bytes>,
    run: Run,
}

/// Runs the query, on another snapshot if the pinned one goes away.
async fn fan_out(
    shared: &Shared,
    service: &Arc<Service>,
    ask: &QueryRequest,
    subject: &Subject,
    config: QueryConfig,
    running: &mut Running<'_, Placed>,
) -> Result<Fanned, Why> {
    let asked = Ask {
        shared,
        service,
        request: subject.request,
        body: ask.body.clone(),
    };
    let mut best: Option<Query<Bytes>> = None;
    let mut unrun = true;
    for _ in 0..=RESTARTS {
        let Some(routes) = pin(shared, service) else {
            break;
        };
        let query = run(&shared.host, service, &asked, routes, None, config).await;
        running.calls += query.calls() as u32;
        running.sheds += query.sheds();
        unrun &= query.not_run().is_some();
        let lost = query.end() == Some(End::Partial(Give::SnapshotLost));
        let better = best
            .as_ref()
            .is_none_or(|b| query.coverage().answered > b.coverage().answered);
        if better || !lost {
            best = Some(query);
        }
        if !lost {
            break;
        }
        debug!(shared.host.log, "retry: the snapshot is gone, starting over";
            "request" => subject.request.0);
    }
    let query =
        best.ok_or_else(|| Why::not_run(Reason::NoSnapshot, "no index version has a live leaf"))?;
    let run = if unrun { Run::NotRun } else { Run::Partial };
    Ok(Fanned { query, run })
}

fn pin(shared: &Shared, service: &Service) -> Option<Arc<Routes>> {
    let now = shared.now();
    let state = lock(&service.state);
    state.extra.versions.pin(&state.table, now)
}

/// Why an answer does not cover enough.
fn why_short(query: &Query<Bytes>, run: Run) -> Why {
    let coverage = query.coverage();
    let reason = match query.end() {
        Some(End::Partial(Give::Deadline)) => Reason::Deadline,
        _ if run == Run::NotRun => Reason::TargetRefused,
        _ => Reason::Incomplete,
    };
    let missing: Vec<&str> = coverage
        .missing
        .iter()
        .take(MISSING_NAMED)
        .map(|name| name.as_str())
        .collect();
    let detail = format!(
        "{} of {} shards answered from {}; missing {}",
        coverage.answered,
        coverage.asked,
        query.routes().snapshot,
        missing.join(" ")
    );
    Why::not_run(reason, detail).run(run)
}

/// Missing shards named in a refusal's detail.
const MISSING_NAMED: usize = 20;

/// Joins JSON arrays into one.
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

/// Serves the part of a query that a peer asks this entry for, from the leafs
/// that it holds.
pub(crate) async fn serve_part(shared: &Shared, ask: SubQuery) -> SubAnswer {
    let running = shared.in_flight.load(Ordering::Relaxed);
    if running >= SUB_QUERIES_MAX {
        return SubAnswer::Failed(Failure::Refused(Refusal::Shed));
    }
    let _flight = InFlight::enter(&shared.in_flight);
    let Some(service) = shared.service(&ask.service) else {
        return SubAnswer::Failed(Failure::Refused(Refusal::NoSnapshot));
    };
    let Some(routes) = lock(&service.state).extra.local.get(ask.index) else {
        return SubAnswer::Failed(Failure::Refused(Refusal::NoSnapshot));
    };
    let held = |at: &usize| {
        routes
            .shards
            .get(*at)
            .is_some_and(|s| !s.replicas.is_empty())
    };
    let subset: Vec<usize> = ask
        .shards
        .iter()
        .map(|at| *at as usize)
        .filter(held)
        .collect();
    if subset.is_empty() {
        // Views differ: the asker still takes us for a holder. Nothing ran.
        return SubAnswer::Failed(Failure::Refused(Refusal::Connections));
    }
    let config = QueryConfig::new(shared.now() + ask.deadline, Share::from_permille(0));
    let asked = Ask {
        shared,
        service: &service,
        request: ask.request,
        body: ask.body,
    };
    let query = run(
        &shared.host,
        &service,
        &asked,
        routes,
        Some(&subset),
        config,
    )
    .await;
    if query.coverage().answered == 0 {
        let lost = query.end() == Some(End::Partial(Give::SnapshotLost));
        return SubAnswer::Failed(match query.not_run() {
            Some(_) if lost => Failure::Refused(Refusal::NoSnapshot),
            Some(_) => Failure::Refused(Refusal::Shed),
            None => Failure::Lost,
        });
    }
    SubAnswer::Parts {
        index: ask.index,
        parts: query
            .into_parts()
            .map(|(route, rows)| (route as u32, rows))
            .collect(),
    }
}
