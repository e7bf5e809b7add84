//! Submissions, which run at most once for each ticket.
//!
//! A ticket names its issuer, the entry that minted it. Every use of a ticket
//! goes to its keeper: the issuer, or its successor if the issuer has left. The
//! keeper dispatches the first use and answers the others with its outcome.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use chestnut_conf::CallKind;
use chestnut_flow::{InFlightGuard, QueueId, TraceLevel, admit};
use chestnut_once::{Claim, Outcome};
use chestnut_port::{Dispatch, LeafSubmit, PeerError, Submission, SubmitReply};
use chestnut_route::{
    Attempt, Ended, Failure, Ix, NotRun, Refusal as TargetRefusal, Routes, choose_replica,
};
use chestnut_unit::{Execution, Reason, RequestId, Time};
use rand::Rng;
use slog::debug;
use tokio::{sync::watch, time::timeout};

use crate::{
    api::{Refusal, SubmitOutcome, SubmitRequest, TicketReply},
    query,
    refuse::{RefusalCause, Subject, refuse},
    service::{BackendAddress, Service},
    shared::{Shared, lock},
};

/// Time added to the deadline of a submission that is forwarded to another
/// entry.
const FORWARD_MARGIN: Duration = Duration::from_millis(5);

/// Mints a ticket, whose keeper is this entry.
///
/// # Errors
///
/// The entry is leaving or keeps as many tickets as it may; the refusal is
/// recorded like any other.
pub(crate) fn mint(shared: &Shared) -> Result<TicketReply, Refusal> {
    let mut nonce = [0; 16];
    shared.nonce(&mut nonce);
    let wall = shared.runtime.clock.wall();
    let minted = lock(&shared.tickets).mint(nonce, wall);
    let Some(ticket) = minted else {
        let subject = Subject {
            request: shared.next_request(),
            ..Subject::default()
        };
        let cause = RefusalCause::not_run(Reason::NotReady, "no tickets are minted here now");
        return Err(refuse(shared, &subject, cause));
    };
    Ok(TicketReply {
        expiry: ticket.expiry,
        ticket,
    })
}

/// Runs a caller's submission at the keeper of its ticket, or returns the
/// answer of an earlier use. Without a ticket, one is minted here.
///
/// # Errors
///
/// The submission was not run, or its outcome is unknown; the refusal is
/// logged, counted and recorded.
pub(crate) async fn submit(
    shared: &Arc<Shared>,
    request: SubmitRequest,
) -> Result<SubmitOutcome, Refusal> {
    let _flight = InFlightGuard::enter(&shared.in_flight);
    let mut subject = Subject {
        request: shared.next_request(),
        organisation: Some(request.organisation.clone()),
        service: Some(request.service.clone()),
        call: Some(request.call.clone()),
        versions: (0, 0),
    };
    let ticket = match request.ticket.clone() {
        Some(ticket) => ticket,
        None => mint(shared)?.ticket,
    };
    if let Some(policy) = lock(&shared.conf).policy(&request.organisation) {
        subject.set_versions(&policy);
    }
    let submission = Submission {
        ticket,
        organisation: request.organisation,
        service: request.service,
        call: request.call,
        body: request.body,
        deadline: request.deadline.unwrap_or(DEFAULT_DEADLINE),
    };
    let runtime = &shared.runtime;
    let reply = tokio::select! {
        biased;
        reply = send_to_keeper(shared, submission) => reply,
        // The dispatch may go on, but its caller must hear before the process ends.
        () = runtime.lifetime.until_left(&runtime.clock, Duration::ZERO) => {
            SubmitReply::Unknown(Reason::FateUnknown)
        }
    };
    let cause = match reply {
        SubmitReply::Ran(answer) => {
            return Ok(SubmitOutcome {
                request_id: subject.request,
                answer,
            });
        }
        SubmitReply::NotRun(reason) => RefusalCause::not_run(reason, "not run, and not to be run"),
        SubmitReply::Unknown(reason) => {
            RefusalCause::not_run(reason, "it is not sent again").execution(Execution::Unknown)
        }
    };
    Err(refuse(shared, &subject, cause))
}

/// Deadline of a submission whose caller sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);

/// Sends a submission to the keeper of its ticket, which may be this entry. The
/// reply is unknown if no member keeps the ticket.
async fn send_to_keeper(shared: &Arc<Shared>, submission: Submission) -> SubmitReply {
    let keeper = {
        let swim = lock(&shared.swim);
        let ticket = &submission.ticket;
        swim.view
            .ticket_owner(&ticket.issuer, ticket.incarnation)
            .cloned()
    };
    let Some(keeper) = keeper else {
        return SubmitReply::Unknown(Reason::KeeperGone);
    };
    if keeper.id == shared.own.id {
        return run_once(shared, submission).await;
    }
    debug!(
        shared.runtime.log,
        "keep: forwarding submission to {}", keeper.id
    );
    forward(shared, keeper.addresses.peers, submission).await
}

/// Forwards a submission to the entry at `address`. The reply is unknown if
/// that entry can't be reached.
async fn forward(
    shared: &Shared,
    address: std::net::SocketAddr,
    mut submission: Submission,
) -> SubmitReply {
    submission.deadline += FORWARD_MARGIN;
    match shared.peers().submit(address, submission).await {
        Ok(reply) => reply,
        // Even if this call was not sent, an earlier use of the ticket may
        // have run, and only the keeper knows.
        Err(PeerError::NotSent | PeerError::Lost) => SubmitReply::Unknown(Reason::KeeperGone),
    }
}

/// Runs a submission whose ticket this entry keeps, or replies with the outcome
/// of an earlier use. Forwards it if the ticket was handed over; does not run
/// it if the ticket is invalid or was used for another body.
pub(crate) async fn run_once(shared: &Arc<Shared>, submission: Submission) -> SubmitReply {
    let wall = shared.runtime.clock.wall();
    let body = body_hash(&submission);
    let claim = lock(&shared.tickets).claim(&submission.ticket, body, wall);
    match claim {
        Claim::Run => dispatch_once(shared, submission).await,
        Claim::Join => await_dispatch(shared, &submission).await,
        Claim::Settled(outcome) => reply_of(outcome),
        Claim::BodyMismatch | Claim::Refused => SubmitReply::NotRun(Reason::BadTicket),
        Claim::NotFound => SubmitReply::Unknown(Reason::KeeperGone),
        Claim::Moved => forward_moved(shared, submission).await,
    }
}

/// Hashes the organisation, service, call type and body of a submission, to
/// reject a ticket that is reused for another one.
fn body_hash(submission: &Submission) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for text in [
        submission.organisation.as_str(),
        submission.service.as_str(),
        submission.call.as_str(),
    ] {
        hasher.update(text.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&submission.body);
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Converts the outcome that is stored for a ticket to the reply for the
/// caller.
fn reply_of(outcome: Outcome) -> SubmitReply {
    match outcome {
        Outcome::Done(answer) => SubmitReply::Ran(Bytes::from(answer)),
        Outcome::NotRun(reason) => SubmitReply::NotRun(reason),
        Outcome::Unknown => SubmitReply::Unknown(Reason::FateUnknown),
    }
}

/// Forwards a submission whose ticket was handed over to the successor; the
/// reply is unknown while the handover is in progress.
async fn forward_moved(shared: &Shared, submission: Submission) -> SubmitReply {
    let successor = {
        let swim = lock(&shared.swim);
        let own = swim.view.own();
        let successor = own.successors.get(&own.incarnation);
        successor.and_then(|successor| swim.view.get(&successor.member).cloned())
    };
    match successor {
        Some(member) => forward(shared, member.addresses.peers, submission).await,
        // The handover is in progress. The submission has not run, and the
        // caller may use the ticket again afterwards.
        None => SubmitReply::Unknown(Reason::NotReady),
    }
}

/// Waits for the reply to an earlier use that is still being dispatched;
/// unknown if none comes within the submission's deadline.
async fn await_dispatch(shared: &Shared, submission: &Submission) -> SubmitReply {
    let key = submission.ticket.to_string();
    let Some(mut reply_rx) = lock(&shared.dispatches).get(&key).cloned() else {
        return SubmitReply::Unknown(Reason::FateUnknown);
    };
    let reply = timeout(submission.deadline, reply_rx.wait_for(Option::is_some)).await;
    match reply {
        Ok(Ok(reply)) => reply
            .clone()
            .unwrap_or(SubmitReply::Unknown(Reason::FateUnknown)),
        Ok(Err(_)) | Err(_) => SubmitReply::Unknown(Reason::FateUnknown),
    }
}

/// Dispatches a claimed submission in its own task, so that its outcome is
/// recorded even if the caller disconnects.
async fn dispatch_once(shared: &Arc<Shared>, submission: Submission) -> SubmitReply {
    let (reply_tx, mut reply_rx) = watch::channel(None);
    let key = submission.ticket.to_string();
    lock(&shared.dispatches).insert(key.clone(), reply_rx.clone());
    let task = {
        let shared = shared.clone();
        async move {
            let ticket = submission.ticket.clone();
            let outcome = run_claimed(&shared, submission).await;
            lock(&shared.tickets).settle(&ticket, outcome.clone());
            // New repeats find the outcome; those that wait get the reply.
            let _ = reply_tx.send(Some(reply_of(outcome)));
            lock(&shared.dispatches).remove(&key);
        }
    };
    tokio::spawn(task);
    let reply = reply_rx.wait_for(Option::is_some).await;
    match reply {
        Ok(reply) => reply
            .clone()
            .unwrap_or(SubmitReply::Unknown(Reason::FateUnknown)),
        Err(_) => SubmitReply::Unknown(Reason::FateUnknown),
    }
}

/// Runs a submission as the first use of its ticket. If it is refused before
/// anything was sent, the outcome is that it did not run, with the reason.
async fn run_claimed(shared: &Shared, submission: Submission) -> Outcome {
    let mut subject = Subject {
        request: shared.next_request(),
        ..Subject::default()
    };
    match decide(shared, &submission, &mut subject).await {
        Ok(outcome) => outcome,
        Err(cause) => Outcome::NotRun(cause.reason),
    }
}

/// Admits a submission and tries it at the replicas of a random shard. An error
/// is a refusal before anything was sent. Records the versions of its settings
/// in `subject`.
async fn decide(
    shared: &Shared,
    submission: &Submission,
    subject: &mut Subject,
) -> Result<Outcome, RefusalCause> {
    let effective = query::effective_policy(shared, &submission.organisation, subject)?;
    let policy = query::call_policy(
        &effective,
        CallKind::Submit,
        &submission.service,
        &submission.call,
    )?;
    let service = shared
        .service(&submission.service)
        .ok_or_else(|| RefusalCause::not_run(Reason::NoSnapshot, "no such service"))?;
    let _permit = query::org_permit(shared, &submission.organisation, &effective, policy)?;
    let deadline = query::deadline(shared, Some(submission.deadline), policy);
    let admission = query::admit_request(subject, policy, deadline);
    let _admitted = admit(&shared.runtime, &service, QueueId::default(), admission)
        .await
        .map_err(|(reason, after)| RefusalCause::not_run(reason, "at admission").after(after))?;
    let now = shared.now();
    let routes = {
        let state = lock(&service.state);
        state.extra.versions.pin(&state.table, now)
    };
    let routes = routes.ok_or_else(|| RefusalCause::not_run(Reason::NoSnapshot, "no live leaf"))?;
    let shard = (shared.rng().next_u64() % routes.shards.len().max(1) as u64) as usize;
    let params = CallParams {
        request: subject.request,
        call: submission.call.clone(),
        body: submission.body.clone(),
        deadline,
    };
    let attempts = try_replicas(shared, &service, &routes, shard, &params).await;
    Ok(outcome_of(attempts))
}

/// The parameters that all attempts of one submission share: request id, call
/// type, body and deadline.
pub(crate) struct CallParams {
    request: RequestId,
    call: chestnut_unit::CallType,
    body: Bytes,
    deadline: Time,
}

/// The attempts of a submission: how each ended, the answer, if any, and the
/// failure of the last one without an answer.
struct Attempts {
    ends: Vec<Ended>,
    answer: Option<Bytes>,
    last: Failure,
}

/// Derives the outcome of a submission: done if it was answered, not run if no
/// attempt can have run at a target, and unknown otherwise.
fn outcome_of(attempts: Attempts) -> Outcome {
    if let Some(answer) = attempts.answer {
        return Outcome::Done(answer.to_vec());
    }
    match NotRun::prove(&attempts.ends) {
        Some(_) if attempts.last == Failure::Refused(TargetRefusal::Deadline) => {
            Outcome::NotRun(Reason::Deadline)
        }
        Some(_) => Outcome::NotRun(Reason::TargetRefused),
        None => Outcome::Unknown,
    }
}

/// Tries the replicas of the shard at position `shard` in turn, until one
/// answers, none is left or the deadline passes. The next attempt is made only
/// if the previous one provably did not run.
async fn try_replicas(
    shared: &Shared,
    service: &Service,
    routes: &Arc<Routes>,
    shard: usize,
    params: &CallParams,
) -> Attempts {
    let mut attempts = Attempts {
        ends: Vec::new(),
        answer: None,
        last: Failure::NotSent,
    };
    let mut tried = Vec::new();
    loop {
        let now = shared.now();
        if now >= params.deadline {
            attempts.last = Failure::Refused(TargetRefusal::Deadline);
            return attempts;
        }
        let Some((to, backend)) = next_replica(shared, service, routes, shard, &tried) else {
            return attempts;
        };
        log_choice(shared, &backend, params, tried.len());
        tried.push(to);
        let attempt = Attempt::plan(to).queue().send(now);
        let result = send(shared, service, routes, shard, backend, params).await;
        record_result(shared, service, to, now, &result);
        match result {
            Ok(answer) => {
                attempts.ends.push(attempt.answer());
                attempts.answer = Some(answer);
                return attempts;
            }
            Err(failure @ (Failure::Lost | Failure::ConnectionSilent | Failure::Failed)) => {
                attempts.ends.push(attempt.end_unknown());
                attempts.last = failure;
                return attempts;
            }
            Err(failure @ Failure::NotSent) => {
                attempts.ends.push(attempt.prove_unsent());
                attempts.last = failure;
            }
            Err(failure @ Failure::Refused(_)) => {
                attempts.ends.push(attempt.refuse());
                attempts.last = failure;
            }
        }
    }
}

/// Logs the replica that was chosen, with the number of `earlier` attempts plus
/// one, unless the trace level is none.
fn log_choice(shared: &Shared, backend: &BackendAddress, params: &CallParams, earlier: usize) {
    if shared.runtime.trace == TraceLevel::None {
        return;
    }
    let (BackendAddress::Leaf(_, address) | BackendAddress::Peer(_, address)) = backend;
    let part = if earlier == 0 { "choose" } else { "retry" };
    debug!(shared.runtime.log, "{part}: {address} for a submission";
        "request" => params.request.0, "why" => format!("attempt {}", earlier + 1));
}

/// Chooses a replica that was not tried yet and counts a call to it. `None` if
/// the routes lack the shard or no replica can take a call, and also if the chosen
/// one has no address any more, in which case the call stays counted.
fn next_replica(
    shared: &Shared,
    service: &Service,
    routes: &Routes,
    shard: usize,
    tried: &[Ix],
) -> Option<(Ix, BackendAddress)> {
    let mut rng = shared.rng();
    let now = shared.now();
    let replicas = &routes.shards.get(shard)?.replicas;
    let mut state = lock(&service.state);
    let version = routes.snapshot.version;
    let to = choose_replica(&mut state.table, replicas, tried, version, now, &mut rng)?;
    state.table.sent(to, now);
    Some((to, state.extra.addresses.get(&to)?.clone()))
}

/// Records the result of an attempt in the table of back ends, with the latency
/// since `sent` if it was answered.
fn record_result(
    shared: &Shared,
    service: &Service,
    to: Ix,
    sent: Time,
    result: &Result<Bytes, Failure>,
) {
    let now = shared.now();
    let mut state = lock(&service.state);
    match result {
        Ok(_) => state.table.answered(to, now.since(sent), now),
        Err(failure) => state.table.failed(to, *failure, now),
    }
}

/// Calls a leaf, or a peer that holds it, until the deadline. A call that takes
/// longer fails with [`Failure::Lost`], and the target may still run it.
async fn send(
    shared: &Shared,
    service: &Service,
    routes: &Routes,
    shard: usize,
    backend: BackendAddress,
    params: &CallParams,
) -> Result<Bytes, Failure> {
    let left = params.deadline.since(shared.now());
    let call = async {
        match backend {
            BackendAddress::Leaf(leaf, address) => {
                let submit = LeafSubmit {
                    leaf,
                    address,
                    request: params.request,
                    service: service.name.clone(),
                    call: params.call.clone(),
                    body: params.body.clone(),
                    deadline: left,
                };
                shared.targets.submit(submit).await
            }
            BackendAddress::Peer(_, address) => {
                let dispatch = Dispatch {
                    request: params.request,
                    service: service.name.clone(),
                    call: params.call.clone(),
                    index: routes.snapshot.version,
                    shard: shard as u32,
                    body: params.body.clone(),
                    deadline: left,
                };
                shared.peers().dispatch(address, dispatch).await
            }
        }
    };
    // A call that timed out may still run.
    timeout(left, call).await.unwrap_or(Err(Failure::Lost))
}

/// Tries a submission that its keeper sent here at the leafs of its shard that
/// this entry holds. Any failure but [`Failure::Lost`] proves that it did not run.
pub(crate) async fn dispatch_local(shared: &Shared, dispatch: Dispatch) -> Result<Bytes, Failure> {
    let not_run = Failure::Refused(TargetRefusal::Connections);
    let service = shared.service(&dispatch.service).ok_or(not_run)?;
    let routes = lock(&service.state)
        .extra
        .local
        .get(dispatch.index)
        .ok_or(not_run)?;
    let params = CallParams {
        request: dispatch.request,
        call: dispatch.call,
        body: dispatch.body,
        deadline: shared.now() + dispatch.deadline,
    };
    let shard = dispatch.shard as usize;
    let attempts = try_replicas(shared, &service, &routes, shard, &params).await;
    match (attempts.answer, NotRun::prove(&attempts.ends)) {
        (Some(answer), _) => Ok(answer),
        (None, Some(_)) if attempts.ends.is_empty() => Err(not_run),
        (None, Some(_)) => Err(attempts.last),
        (None, None) => Err(Failure::Lost),
    }
}
