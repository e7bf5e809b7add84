//! Submissions: tickets, keepers and the one dispatch.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use chestnut_conf::CallKind;
use chestnut_flow::{GateId, InFlight, Trace, admit};
use chestnut_once::{Claim, Outcome};
use chestnut_port::{Dispatch, LeafSubmit, PeerError, Submission, SubmitReply};
use chestnut_route::{Attempt, Ended, Failure, Ix, NotRun, Refusal, Routes, choose_replica};
use chestnut_unit::{Reason, RequestId, Run, Time};
use rand::Rng;
use slog::debug;
use tokio::{sync::watch, time::timeout};

use crate::{
    api::{Refused, SubmitOutcome, SubmitRequest, TicketReply},
    query,
    refuse::{Subject, Why, refuse},
    service::{Place, Service},
    shared::{Shared, lock},
};

/// Time beyond its deadline that a submission passed to its keeper may take.
const KEEPER_SLACK: Duration = Duration::from_millis(5);

/// Mints a ticket.
pub(crate) fn mint(shared: &Shared) -> Result<TicketReply, Refused> {
    let mut nonce = [0; 16];
    shared.nonce(&mut nonce);
    let wall = shared.host.clock.wall();
    let minted = lock(&shared.keeper).mint(nonce, wall);
    let Some(ticket) = minted else {
        let subject = Subject {
            request: shared.next_request(),
            ..Subject::default()
        };
        let why = Why::not_run(Reason::NotReady, "no tickets are minted here now");
        return Err(refuse(shared, &subject, why));
    };
    Ok(TicketReply {
        expiry: ticket.expiry,
        ticket,
    })
}

/// Answers a caller's submission.
pub(crate) async fn submit(
    shared: &Arc<Shared>,
    ask: SubmitRequest,
) -> Result<SubmitOutcome, Refused> {
    let _flight = InFlight::enter(&shared.in_flight);
    let mut subject = Subject {
        request: shared.next_request(),
        organisation: Some(ask.organisation.clone()),
        service: Some(ask.service.clone()),
        call: Some(ask.call.clone()),
        versions: (0, 0),
    };
    let ticket = match ask.ticket.clone() {
        Some(ticket) => ticket,
        None => mint(shared)?.ticket,
    };
    if let Some(policy) = lock(&shared.conf).policy(&ask.organisation) {
        subject.under(&policy);
    }
    let submission = Submission {
        ticket,
        organisation: ask.organisation,
        service: ask.service,
        call: ask.call,
        body: ask.body,
        deadline: ask.deadline.unwrap_or(DEADLINE),
    };
    let why = match through_keeper(shared, submission).await {
        SubmitReply::Done(answer) => {
            return Ok(SubmitOutcome {
                request: subject.request,
                answer,
            });
        }
        SubmitReply::NotRun(reason) => Why::not_run(reason, "not run, and not to be run"),
        SubmitReply::Unknown(reason) => {
            Why::not_run(reason, "it is not sent again").run(Run::Unknown)
        }
    };
    Err(refuse(shared, &subject, why))
}

/// Deadline of a submission whose caller states none.
const DEADLINE: Duration = Duration::from_secs(5);

/// Brings a submission to the keeper of its ticket, here or elsewhere.
async fn through_keeper(shared: &Arc<Shared>, ask: Submission) -> SubmitReply {
    let keeper = {
        let swim = lock(&shared.swim);
        let ticket = &ask.ticket;
        swim.view
            .ticket_owner(&ticket.keeper, ticket.incarnation)
            .cloned()
    };
    let Some(keeper) = keeper else {
        return SubmitReply::Unknown(Reason::KeeperGone);
    };
    if keeper.id == shared.own.id {
        return keep(shared, ask).await;
    }
    debug!(shared.host.log, "keep: passing ticket to {}", keeper.id);
    pass_on(shared, keeper.addresses.peers, ask).await
}

async fn pass_on(
    shared: &Shared,
    address: std::net::SocketAddr,
    mut ask: Submission,
) -> SubmitReply {
    ask.deadline += KEEPER_SLACK;
    match shared.peers().submit(address, ask).await {
        Ok(reply) => reply,
        // Also when the call was never sent: an earlier use of the ticket may
        // have run, and only its keeper knows.
        Err(PeerError::NotSent | PeerError::Lost) => SubmitReply::Unknown(Reason::KeeperGone),
    }
}

/// Decides on a submission whose ticket this entry keeps.
pub(crate) async fn keep(shared: &Arc<Shared>, ask: Submission) -> SubmitReply {
    let wall = shared.host.clock.wall();
    let body = body_hash(&ask);
    let claim = lock(&shared.keeper).claim(&ask.ticket, body, wall);
    match claim {
        Claim::Run => dispatch_once(shared, ask).await,
        Claim::Join => join(shared, &ask).await,
        Claim::Settled(outcome) => reply_of(outcome),
        Claim::OtherBody | Claim::Refused => SubmitReply::NotRun(Reason::BadTicket),
        Claim::Forgotten => SubmitReply::Unknown(Reason::KeeperGone),
        Claim::Moved => moved(shared, ask).await,
    }
}

/// Hash that tells two uses of one ticket apart.
fn body_hash(ask: &Submission) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for text in [
        ask.organisation.as_str(),
        ask.service.as_str(),
        ask.call.as_str(),
    ] {
        hasher.update(text.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&ask.body);
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

fn reply_of(outcome: Outcome) -> SubmitReply {
    match outcome {
        Outcome::Done(answer) => SubmitReply::Done(Bytes::from(answer)),
        Outcome::NotRun(reason) => SubmitReply::NotRun(reason),
        Outcome::Unknown => SubmitReply::Unknown(Reason::FateUnknown),
    }
}

/// Passes on a ticket that this entry has handed over.
async fn moved(shared: &Shared, ask: Submission) -> SubmitReply {
    let successor = {
        let swim = lock(&shared.swim);
        let own = swim.view.own();
        let successor = own.successors.get(&own.incarnation);
        successor.and_then(|successor| swim.view.get(&successor.member).cloned())
    };
    match successor {
        Some(member) => pass_on(shared, member.addresses.peers, ask).await,
        // Closed and not yet handed over: it has not run, and the caller may
        // use the ticket again in a moment; nothing is sealed.
        None => SubmitReply::Unknown(Reason::NotReady),
    }
}

/// Waits for the outcome of the dispatch that an earlier use started.
async fn join(shared: &Shared, ask: &Submission) -> SubmitReply {
    let key = ask.ticket.to_string();
    let Some(mut told) = lock(&shared.dispatches).get(&key).cloned() else {
        return SubmitReply::Unknown(Reason::FateUnknown);
    };
    let reply = timeout(ask.deadline, told.wait_for(Option::is_some)).await;
    match reply {
        Ok(Ok(reply)) => reply
            .clone()
            .unwrap_or(SubmitReply::Unknown(Reason::FateUnknown)),
        Ok(Err(_)) | Err(_) => SubmitReply::Unknown(Reason::FateUnknown),
    }
}

/// Dispatches a claimed submission in a task of its own, so that its outcome
/// reaches the keeper also when the caller hangs up.
async fn dispatch_once(shared: &Arc<Shared>, ask: Submission) -> SubmitReply {
    let (tell, mut told) = watch::channel(None);
    let key = ask.ticket.to_string();
    lock(&shared.dispatches).insert(key.clone(), told.clone());
    let task = {
        let shared = shared.clone();
        async move {
            let ticket = ask.ticket.clone();
            let outcome = run_claimed(&shared, ask).await;
            lock(&shared.keeper).settle(&ticket, outcome.clone());
            // Repeats find it settled from here on; those that wait are told.
            let _ = tell.send(Some(reply_of(outcome)));
            lock(&shared.dispatches).remove(&key);
        }
    };
    tokio::spawn(task);
    let reply = told.wait_for(Option::is_some).await;
    match reply {
        Ok(reply) => reply
            .clone()
            .unwrap_or(SubmitReply::Unknown(Reason::FateUnknown)),
        Err(_) => SubmitReply::Unknown(Reason::FateUnknown),
    }
}

/// Decides on and dispatches a claimed submission.
async fn run_claimed(shared: &Shared, ask: Submission) -> Outcome {
    let mut subject = Subject {
        request: shared.next_request(),
        ..Subject::default()
    };
    match decide(shared, &ask, &mut subject).await {
        Ok(outcome) => outcome,
        Err(why) => Outcome::NotRun(why.reason),
    }
}

/// An error is a refusal before anything was sent.
async fn decide(shared: &Shared, ask: &Submission, subject: &mut Subject) -> Result<Outcome, Why> {
    let ground = query::ground(shared, &ask.organisation, subject)?;
    let policy = query::permit(&ground, CallKind::Submit, &ask.service, &ask.call)?;
    let service = shared
        .service(&ask.service)
        .ok_or_else(|| Why::not_run(Reason::NoSnapshot, "no such service"))?;
    let _pass = query::pass(shared, &ask.organisation, &ground, policy)?;
    let deadline = query::deadline(shared, Some(ask.deadline), policy);
    let order = query::order(subject, policy, deadline);
    let _running = admit(&shared.host, &service, GateId::default(), order)
        .await
        .map_err(|(reason, after)| Why::not_run(reason, "at admission").after(after))?;
    let now = shared.now();
    let routes = {
        let state = lock(&service.state);
        state.extra.versions.pin(&state.table, now)
    };
    let routes = routes.ok_or_else(|| Why::not_run(Reason::NoSnapshot, "no live leaf"))?;
    let shard = (shared.rng().next_u64() % routes.shards.len().max(1) as u64) as usize;
    let one = One {
        request: subject.request,
        call: ask.call.clone(),
        body: ask.body.clone(),
        deadline,
    };
    let attempts = try_replicas(shared, &service, &routes, shard, &one).await;
    Ok(settle(attempts))
}

/// What one submission brings to each replica that it is tried at.
pub(crate) struct One {
    request: RequestId,
    call: chestnut_unit::CallType,
    body: Bytes,
    deadline: Time,
}

/// The attempts of a submission: how each ended, and the answer of the last.
struct Attempts {
    ends: Vec<Ended>,
    answer: Option<Bytes>,
    last: Failure,
}

fn settle(attempts: Attempts) -> Outcome {
    if let Some(answer) = attempts.answer {
        return Outcome::Done(answer.to_vec());
    }
    match NotRun::prove(&attempts.ends) {
        Some(_) if attempts.last == Failure::Refused(Refusal::Deadline) => {
            Outcome::NotRun(Reason::Deadline)
        }
        Some(_) => Outcome::NotRun(Reason::TargetRefused),
        None => Outcome::Unknown,
    }
}

/// Tries the replicas of a shard one after the other, going on only after
/// proof that the attempt before did not run.
async fn try_replicas(
    shared: &Shared,
    service: &Service,
    routes: &Arc<Routes>,
    shard: usize,
    one: &One,
) -> Attempts {
    let mut attempts = Attempts {
        ends: Vec::new(),
        answer: None,
        last: Failure::NotSent,
    };
    let mut tried = Vec::new();
    loop {
        let now = shared.now();
        if now >= one.deadline {
            attempts.last = Failure::Refused(Refusal::Deadline);
            return attempts;
        }
        let Some((to, place)) = next_replica(shared, service, routes, shard, &tried) else {
            return attempts;
        };
        log_choice(shared, &place, one, tried.len());
        tried.push(to);
        let attempt = Attempt::plan(to).queue().send(now);
        let result = send(shared, service, routes, shard, place, one).await;
        count(shared, service, to, now, &result);
        match result {
            Ok(answer) => {
                attempts.ends.push(attempt.answer());
                attempts.answer = Some(answer);
                return attempts;
            }
            Err(failure @ (Failure::Lost | Failure::Cut | Failure::Failed)) => {
                attempts.ends.push(attempt.lose());
                attempts.last = failure;
                return attempts;
            }
            Err(failure @ Failure::NotSent) => {
                attempts.ends.push(attempt.prove_unsent());
                attempts.last = failure;
            }
            Err(failure @ Failure::Refused(_)) => {
                attempts.ends.push(attempt.refuse_unrun());
                attempts.last = failure;
            }
        }
    }
}

/// Logs which replica a submission goes to, and at which attempt.
fn log_choice(shared: &Shared, place: &Place, one: &One, earlier: usize) {
    if shared.host.trace == Trace::None {
        return;
    }
    let (Place::Leaf(_, address) | Place::Peer(_, address)) = place;
    let part = if earlier == 0 { "choose" } else { "retry" };
    debug!(shared.host.log, "{part}: {address} for a submission";
        "request" => one.request.0, "why" => format!("attempt {}", earlier + 1));
}

fn next_replica(
    shared: &Shared,
    service: &Service,
    routes: &Routes,
    shard: usize,
    tried: &[Ix],
) -> Option<(Ix, Place)> {
    let mut rng = shared.rng();
    let now = shared.now();
    let replicas = &routes.shards.get(shard)?.replicas;
    let mut state = lock(&service.state);
    let version = routes.snapshot.version;
    let to = choose_replica(&mut state.table, replicas, tried, version, now, &mut rng)?;
    state.table.sent(to, now);
    Some((to, state.extra.places.get(&to)?.clone()))
}

fn count(shared: &Shared, service: &Service, to: Ix, sent: Time, result: &Result<Bytes, Failure>) {
    let now = shared.now();
    let mut state = lock(&service.state);
    match result {
        Ok(_) => state.table.answered(to, now.since(sent), now),
        Err(failure) => state.table.failed(to, *failure, now),
    }
}

async fn send(
    shared: &Shared,
    service: &Service,
    routes: &Routes,
    shard: usize,
    place: Place,
    one: &One,
) -> Result<Bytes, Failure> {
    let left = one.deadline.since(shared.now());
    let call = async {
        match place {
            Place::Leaf(leaf, address) => {
                let submit = LeafSubmit {
                    leaf,
                    address,
                    request: one.request,
                    service: service.name.clone(),
                    call: one.call.clone(),
                    body: one.body.clone(),
                    deadline: left,
                };
                shared.targets.submit(submit).await
            }
            Place::Peer(_, address) => {
                let ask = Dispatch {
                    request: one.request,
                    service: service.name.clone(),
                    call: one.call.clone(),
                    index: routes.snapshot.version,
                    shard: shard as u32,
                    body: one.body.clone(),
                    deadline: left,
                };
                shared.peers().dispatch(address, ask).await
            }
        }
    };
    // What was sent and has not answered in time may still run.
    timeout(left, call).await.unwrap_or(Err(Failure::Lost))
}

/// Passes a keeper's submission to a leaf that this entry holds.
pub(crate) async fn dispatch_here(shared: &Shared, ask: Dispatch) -> Result<Bytes, Failure> {
    let unrun = Failure::Refused(Refusal::Connections);
    let service = shared.service(&ask.service).ok_or(unrun)?;
    let routes = lock(&service.state)
        .extra
        .local
        .get(ask.index)
        .ok_or(unrun)?;
    let one = One {
        request: ask.request,
        call: ask.call,
        body: ask.body,
        deadline: shared.now() + ask.deadline,
    };
    let shard = ask.shard as usize;
    let attempts = try_replicas(shared, &service, &routes, shard, &one).await;
    match (attempts.answer, NotRun::prove(&attempts.ends)) {
        (Some(answer), _) => Ok(answer),
        (None, Some(_)) if attempts.ends.is_empty() => Err(unrun),
        (None, Some(_)) => Err(attempts.last),
        (None, None) => Err(Failure::Lost),
    }
}
