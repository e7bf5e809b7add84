//! Handles one request, from the lookup of its rule in the route book to its reply.
//!
//! The route book is the versioned list of routing rules. A rule names one service, a
//! weighted split over services, or a gather: a scatter-gather over shards.

use std::{
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use chestnut_book::{RetrySafety, Rule, Target, merge_top};
use chestnut_flow::{AdmittedRequest, InFlightGuard, TimeLeft, admit, lock, run};
use chestnut_port::{ForwardedRequest, LeafReply, ReceiveError};
use chestnut_quarantine::Fingerprint;
use chestnut_route::{
    AdmitRequest, Class, End, Ix, PartialReason, Query, QueryConfig, Repeat, Sheddable, Timeliness,
};
use chestnut_unit::{Coverage, Execution, Reason, Share, Time, Urgency};
use hyper::header::{AUTHORIZATION, HeaderValue};
use rand::Rng;
use slog::info;

use crate::{
    authorise::{Credential, KeyFault, authorise},
    feeds::PeerFeeds,
    leaf_calls::LeafCalls,
    limits,
    plan::{Plan, plan, queue_config},
    quarantine::{self, Attempt},
    returns::Returns,
    shared::{Phase, Shared},
    state::RelayState,
};

/// A request of a caller: its host, the message to forward, and the time that the caller
/// still waits.
#[derive(Clone, Debug)]
pub struct RelayRequest {
    /// The host name, matched against the rules.
    pub host: String,
    /// The message that is forwarded to leafs.
    pub message: Arc<ForwardedRequest>,
    /// How much longer the caller will wait, if it says so.
    pub remaining: Option<Duration>,
    /// The key that the caller sent.
    pub credential: Credential,
}

impl RelayRequest {
    /// The fingerprint by which the quarantine recognises repeats of a request. It includes
    /// the organisation or else the credentials, as a leaf may answer one caller and crash
    /// under another, but not the request id and deadline, which differ between attempts.
    fn fingerprint(&self) -> Fingerprint {
        let message = &self.message;
        let caller = message.headers.get(AUTHORIZATION);
        let organisation = message.organisation.as_ref();
        Fingerprint::of(&[
            message.method.as_str().as_bytes(),
            self.host.as_bytes(),
            message.path.as_str().as_bytes(),
            organisation.map_or(&[], |name| name.as_str().as_bytes()),
            caller.map_or(&[], HeaderValue::as_bytes),
            &message.body,
        ])
    }
}

/// Why a request was declined: no rule, not ready, refused, timed out, or every call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclineReason {
    /// No rule of the route book matches the request.
    NoRule,
    /// The caller's key does not identify an organisation.
    Unauthorised(KeyFault),
    /// This entry has not read the route book or the list of leafs yet.
    NotReady,
    /// Admission, the quarantine or the targets refused it.
    Declined(Reason),
    /// The deadline passed.
    Timeout,
    /// Every call failed.
    Failed,
    /// A planned stop ends before an answer is there.
    Stopping,
    /// The body stopped before its end.
    Stalled,
    /// The memory does not suffice for the body beside those of others.
    Memory,
}

/// A request without an answer: why, whether it may have run, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Declined {
    /// The reason.
    pub reason: DeclineReason,
    /// Whether the request may have run on a leaf.
    pub run: Execution,
    /// Delay after which the caller may retry; none if the request may have run, or no rule
    /// matches it.
    pub retry_after: Option<Duration>,
}

/// The reply to a request: one leaf's answer, the merged answers of a gather, or a refusal.
#[derive(Clone, Debug)]
pub enum Reply {
    /// One leaf's answer, unchanged.
    Whole(LeafReply),
    /// The merged answers of several shards.
    Merged {
        /// Signatures of the merged answers.
        signatures: Vec<HeaderValue>,
        /// Number of shards without an answer.
        missing: usize,
        /// The greatest records of all answers.
        body: Bytes,
    },
    /// No answer, with the reason.
    Declined(Declined),
}

/// Retry delay for callers of an entry that is still reading the book and the leafs. Starting
/// mostly takes well under a second.
const RETRY_AFTER_START: Duration = Duration::from_millis(500);
/// Divisor of the caller's timeout that gives the retry delay after leafs refused or
/// none was available: bursts pass meanwhile, and time is left for another attempt.
const RETRY_AFTER_DIVISOR: u32 = 4;
/// Least retry delay, in which a slot of a leaf usually becomes free.
pub(crate) const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Greatest retry delay, as few callers wait longer.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(1);
/// Time before the first call from which a request counts as one that waited. It exceeds that
/// of asking the home of a limit for a token.
const WAITED_MIN: Duration = Duration::from_millis(5);

/// Least retry delay after a request over the limit of its organisation: a round trip.
const RETRY_AFTER_LIMIT: Duration = Duration::from_millis(10);

/// Retry delay for callers that a leaving entry refuses: another entry can serve them at once.
const RETRY_AFTER_STOP: Duration = Duration::from_millis(10);

/// Fields of the log line of a request, beside its reply.
struct RequestLog {
    /// The rule that matched.
    rule: Option<Arc<Rule>>,
    /// Version of the route book; 0 if the entry was not ready.
    version: u64,
    /// Number of calls to leafs.
    calls: usize,
    /// Extra calls that the budget did not allow.
    withheld: u32,
    /// Whether the answer was returned without the missing shards to meet the latency
    /// objective.
    cut_short: bool,
    /// Time from arrival by which the answer has to be sent to meet the latency objective,
    /// network delay to the caller deducted; none if that is impossible.
    send_by: Option<Duration>,
    /// Whether the caller returns after a refusal; false unless returning callers are detected.
    returning: bool,
    /// Time from arrival to the first call, or to the refusal if none was made; none if the
    /// request was declined before its plan.
    waited: Option<Duration>,
    /// Which shards answered; none if the request was declined before any leaf was chosen.
    coverage: Option<Coverage>,
    /// Ids of the leafs that were called for missing shards, separated by spaces.
    failed_leafs: String,
    /// Number of leafs whose connection was lost during a call.
    lost_leafs: usize,
    /// Whether a leaf ran the request and answered.
    answered: bool,
    /// Shards whose lack of capacity caused the refusal, separated by spaces.
    full_shards: String,
    /// The organisation, or `-`, and the first digits of the digest of its key.
    caller: (String, String),
    /// In a planned stop, the time from arrival to its end.
    process_left: Option<Duration>,
    /// Time that requests of its rule take, if known.
    expected: Option<Duration>,
}

/// Handles a request, logs its outcome, and records the overrun of an answer that was cut
/// off to meet its objective. The request counts as in flight meanwhile.
pub(crate) async fn forward(
    shared: &Shared,
    peers: &dyn PeerFeeds,
    request: RelayRequest,
) -> Reply {
    let _in_flight = InFlightGuard::enter(&shared.in_flight);
    let start = shared.now();
    let mut log = RequestLog {
        rule: None,
        version: 0,
        calls: 0,
        withheld: 0,
        cut_short: false,
        send_by: None,
        returning: false,
        waited: None,
        coverage: None,
        failed_leafs: String::new(),
        lost_leafs: 0,
        answered: false,
        full_shards: String::new(),
        caller: ("-".to_owned(), request.credential.prefix()),
        process_left: None,
        expected: None,
    };
    let mut request = request;
    let reply = handle(shared, peers, &mut request, start, &mut log)
        .await
        .unwrap_or_else(Reply::Declined);
    let elapsed = shared.now().since(start);
    if let (true, Some(send_by)) = (log.cut_short, log.send_by) {
        let late = elapsed.saturating_sub(send_by);
        lock(&shared.cell.state)
            .extra
            .caller_delays
            .record_overrun(late);
    }
    log_outcome(shared, &request, &log, &reply, elapsed);
    reply
}

/// Runs a request: matches its rule, identifies its organisation and takes a token of its
/// limit, asks the quarantine, waits for admission, and calls leafs. Fills in `log` as far as it gets; `start` is the time of arrival.
async fn handle(
    shared: &Shared,
    peers: &dyn PeerFeeds,
    request: &mut RelayRequest,
    start: Time,
    log: &mut RequestLog,
) -> Result<Reply, Declined> {
    let book = lock(&shared.cell.state).extra.book.clone();
    let book = match book {
        Some(book) if shared.phase() > Phase::Starting => book,
        _ => return Err(not_run(DeclineReason::NotReady, Some(RETRY_AFTER_START))),
    };
    log.version = book.version.0;
    let path = request.message.path.path();
    let Some(rule) = book.find(&request.host, path).cloned() else {
        return Err(not_run(DeclineReason::NoRule, None));
    };
    log.rule = Some(rule.clone());
    let timeout = request.remaining.unwrap_or(rule.timeout).min(rule.timeout);
    let deadline = start + timeout;
    let time_left = TimeLeft::new(&shared.runtime, deadline, expected_time(shared, &rule));
    log.process_left = time_left.of_process();
    log.expected = time_left.expected;
    let organisation = authorise(shared, &book, &rule, request.credential)
        .map_err(|(reason, after)| not_run(reason, after))?;
    if let Some(organisation) = &organisation {
        log.caller.0 = organisation.name.to_string();
        Arc::make_mut(&mut request.message).organisation = Some(organisation.name.clone());
    }
    if !time_left.suffices() {
        return Err(stopping());
    }
    let mut permit = match &organisation {
        Some(organisation) => {
            let permit = limits::admit(shared, peers, organisation);
            let permit = time_left.bound(permit).await.ok_or_else(stopping)?;
            permit.map_err(over_limit)?
        }
        None => None,
    };
    let rank = organisation
        .as_ref()
        .and_then(|org| org.rank)
        .unwrap_or(rule.rank);
    let fingerprint = request.fingerprint();
    let trust = quarantine::admit(shared, fingerprint)?;
    let draw = shared.runtime.rng().next_u64();
    let Plan {
        routes,
        queue,
        class,
        send_by,
        timeliness,
        returning,
        ranked_returning,
    } = plan(
        &mut lock(&shared.cell.state),
        &rule,
        request.remaining,
        draw,
        start,
    );
    log.returning = returning;
    log.send_by = (timeliness == Timeliness::InTime).then_some(send_by);
    let admission = AdmitRequest {
        id: shared.next_request(),
        urgency: urgency(rank),
        deadline,
        sheddable: Sheddable::Yes,
    };
    let returns = Returns {
        shared,
        queue,
        deadline,
        returning,
    };
    let admitted = time_left
        .bound(admit(&shared.runtime, &shared.cell, queue, admission))
        .await
        .ok_or_else(stopping)?
        .map_err(|(reason, after)| {
            log.waited = Some(shared.now().since(start));
            let after = returns.give_turn().unwrap_or(after);
            not_run(DeclineReason::Declined(reason), Some(after))
        })?;
    let config = QueryConfig {
        deadline,
        process_end: None,
        min_coverage: min_coverage(&rule),
        objective: start + send_by,
        timeliness,
        max_attempts: rule.attempts,
        repeat: repeat(rule.kind),
        trust,
        class,
        queue: queue_config(
            shared.settings.overload,
            &rule,
            organisation.as_ref().map(|org| &org.name),
            urgency(rank),
            ranked_returning,
        ),
    };
    let leaf_calls = leaf_calls(shared, &rule, request);
    let _attempt = Attempt::new(shared, fingerprint, leaf_calls.outcomes.clone());
    // Counted also if the caller leaves while it runs.
    if let Some(permit) = &mut permit {
        permit.set_spent(true);
    }
    let query = run(
        &shared.runtime,
        &shared.cell,
        &leaf_calls,
        routes,
        None,
        config,
    )
    .await;
    let first_call = leaf_calls.first_call.get().copied();
    log.waited = Some(first_call.unwrap_or_else(|| shared.now()).since(start));
    if let (Some(permit), true) = (&mut permit, query.not_run().is_some()) {
        permit.set_spent(false);
    }
    log.cut_short = query.end() == Some(End::Partial(PartialReason::Sufficient));
    log.calls = query.calls();
    log.withheld = query.withheld();
    log.coverage = Some(query.coverage());
    log.failed_leafs = leaf_names(shared, &query.unanswered_backends());
    log.full_shards = query
        .without_capacity()
        .map(|name| name.as_str())
        .collect::<Vec<_>>()
        .join(" ");
    {
        let outcomes = lock(&leaf_calls.outcomes);
        (log.lost_leafs, log.answered) = (outcomes.lost.len(), outcomes.answered);
    }
    release(admitted, &query);
    let last_failure = lock(&leaf_calls.last_failure).take();
    let retry_after = retry_after(timeout, shared.runtime.rng().next_u64());
    let reply = reply(&rule, query, last_failure, retry_after);
    returns.settle(reply)
}

/// Returns the time that requests of `rule` take by what was observed, or else the time that is
/// expected of them.
fn expected_time(shared: &Shared, rule: &Rule) -> Option<Duration> {
    let state = lock(&shared.cell.state);
    let known = state.extra.rules.get(&rule.name);
    let class = known.map_or_else(Class::default, |known| known.class);
    let profile = state.table.profile(class);
    profile.query_time(repeat(rule.kind), rule.objective)
}

/// Creates the calls of a request by `rule`, with no outcomes yet.
fn leaf_calls<'a>(shared: &'a Shared, rule: &Rule, request: &RelayRequest) -> LeafCalls<'a> {
    LeafCalls {
        shared,
        message: request.message.clone(),
        kind: rule.kind,
        merges: matches!(rule.target, Target::Gather { .. }),
        last_failure: Arc::new(Mutex::new(None)),
        outcomes: Arc::default(),
        first_call: OnceLock::new(),
    }
}

/// The ids of leafs, separated by spaces; those that were removed meanwhile are left out.
fn leaf_names(shared: &Shared, leafs: &[Ix]) -> String {
    let state = lock(&shared.cell.state);
    let endpoints = leafs.iter().filter_map(|ix| state.extra.endpoints.get(ix));
    let names: Vec<&str> = endpoints.map(|endpoint| endpoint.leaf.as_str()).collect();
    names.join(" ")
}

/// Releases the admission slot of a request, and reports its calls and those that leafs shed
/// to its admission queue.
fn release(mut admitted: AdmittedRequest<'_, RelayState>, query: &Query<LeafReply>) {
    admitted.calls = query.calls() as u32;
    admitted.shed_calls = query.shed_calls();
}

/// Maps whether a rule's requests may run more than once to whether their calls are repeated.
pub(crate) fn repeat(kind: RetrySafety) -> Repeat {
    match kind {
        RetrySafety::Idempotent => Repeat::Idempotent,
        RetrySafety::Once => Repeat::OnlyIfNotRun,
    }
}

/// Maps the rank of a rule or an organisation to the urgency of its requests in admission; 0 is the most urgent.
fn urgency(rank: u32) -> Urgency {
    match rank {
        0 => Urgency::Now,
        1 => Urgency::Normal,
        _ => Urgency::Archive,
    }
}

/// The share of shards that must answer: the rule's minimum for a gather, all otherwise.
fn min_coverage(rule: &Rule) -> Share {
    match &rule.target {
        Target::One(_) | Target::Split(_) => Share::FULL,
        Target::Gather { least, .. } => *least,
    }
}

/// Builds the reply from a finished query: merged answers if a gather has enough coverage, or
/// the leaf's answer, else the last error reply of a leaf. Declines if there is none.
fn reply(
    rule: &Rule,
    query: Query<LeafReply>,
    last_failure: Option<LeafReply>,
    retry_after: Duration,
) -> Result<Reply, Declined> {
    let coverage = query.coverage();
    let covered = coverage.answered > 0 && coverage.meets(min_coverage(rule));
    match (&rule.target, last_failure) {
        (Target::Gather { top, .. }, _) if covered => Ok(merge(*top, coverage, query)),
        (Target::Gather { .. }, _) => Err(query_failure(&query, retry_after)),
        (Target::One(_) | Target::Split(_), last_failure) => {
            let declined = query_failure(&query, retry_after);
            let answer = query.into_parts().next().map(|(_, reply)| reply);
            match answer.or(last_failure) {
                Some(reply) => Ok(Reply::Whole(reply)),
                None => Err(declined),
            }
        }
    }
}

/// Merges the answers of a gather into one with the `top` greatest records, and counts the
/// shards without an answer.
fn merge(top: usize, coverage: Coverage, query: Query<LeafReply>) -> Reply {
    let parts: Vec<LeafReply> = query.into_parts().map(|(_, reply)| reply).collect();
    let bodies: Vec<Bytes> = parts
        .iter()
        .map(|reply| reply.response.body().whole())
        .collect();
    Reply::Merged {
        body: merge_top(bodies.iter().map(Bytes::as_ref), top).into(),
        missing: coverage.asked - coverage.answered,
        signatures: parts.into_iter().map(|reply| reply.signature).collect(),
    }
}

/// The refusal for a query whose coverage is too small. It says "not run", with the delay
/// `retry_after`, only if no call can have run on a leaf; otherwise it names no delay.
fn query_failure(query: &Query<LeafReply>, retry_after: Duration) -> Declined {
    if query.not_run().is_some() {
        if query.end() == Some(End::Partial(PartialReason::Stopping)) {
            return stopping();
        }
        let reason = match query.end() {
            Some(End::Partial(PartialReason::Deadline)) => Reason::Deadline,
            Some(End::Partial(PartialReason::NoCapacity)) => Reason::Overload,
            _ => Reason::TargetRefused,
        };
        return not_run(DeclineReason::Declined(reason), Some(retry_after));
    }
    let reason = match query.end() {
        Some(End::Partial(PartialReason::Deadline)) => DeclineReason::Timeout,
        Some(End::Partial(PartialReason::Stopping)) => DeclineReason::Stopping,
        _ => DeclineReason::Failed,
    };
    Declined {
        reason,
        run: Execution::Unknown,
        retry_after: None,
    }
}

/// Retry delay for a caller with this timeout, jittered by `draw` to between half and one
/// and a half times its base, so that callers refused together don't retry together.
fn retry_after(timeout: Duration, draw: u64) -> Duration {
    let base = (timeout / RETRY_AFTER_DIVISOR).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    jittered(base, draw)
}

/// Returns between half and one and a half times `base`, by `draw`.
fn jittered(base: Duration, draw: u64) -> Duration {
    base.mul_f64(0.5 + draw as f64 / u64::MAX as f64)
}

/// The refusal of a request that has not run and can't be answered before the process ends.
pub(crate) fn stopping() -> Declined {
    not_run(DeclineReason::Stopping, Some(RETRY_AFTER_STOP))
}

/// Logs, counts and returns the refusal of a request whose body was not received.
pub(crate) fn not_received(shared: &Shared, error: ReceiveError) -> Declined {
    let (reason, after) = match error {
        ReceiveError::Evicted => {
            let draw = shared.runtime.rng().next_u64();
            (DeclineReason::Memory, Some(jittered(RETRY_AFTER_MAX, draw)))
        }
        _ => (DeclineReason::Stalled, None),
    };
    let declined = not_run(reason, after);
    shared.metrics.count_refusal(reason.as_str(), true);
    info!(shared.runtime.log, "forward: {}", reason.as_str();
        "run" => format!("{:?}", declined.run),
        "retry_after_ms" => after.map(|after| after.as_millis() as u64),
        "held" => %shared.memory.used());
    declined
}

/// The refusal of a request over the limit of its organisation, which may come back `after`
/// that time.
fn over_limit(after: Duration) -> Declined {
    let reason = DeclineReason::Declined(Reason::OrgLimit);
    not_run(reason, Some(after.max(RETRY_AFTER_LIMIT)))
}

/// The refusal of a request that has not run on any leaf.
fn not_run(reason: DeclineReason, retry_after: Option<Duration>) -> Declined {
    Declined {
        reason,
        run: Execution::NotRun,
        retry_after,
    }
}

/// Logs the outcome of a request, and records its latency by rule and its outcome in the
/// metrics. `elapsed` is the time since its arrival.
fn log_outcome(
    shared: &Shared,
    request: &RelayRequest,
    log: &RequestLog,
    reply: &Reply,
    elapsed: Duration,
) {
    let rule = log.rule.as_ref().map_or("-", |rule| rule.name.as_str());
    let outcome = match reply {
        Reply::Whole(reply) if reply.response.status().is_success() => "answered",
        Reply::Whole(_) => "leaf failed",
        Reply::Merged { missing: 0, .. } => "answered",
        Reply::Merged { .. } => "partial",
        Reply::Declined(declined) => declined.reason.as_str(),
    };
    shared.metrics.observe(rule, outcome, elapsed);
    let retry_after = count_refusal(shared, log, reply);
    let missing = log.coverage.as_ref().map_or(String::new(), |coverage| {
        let names: Vec<&str> = coverage.missing.iter().map(|name| name.as_str()).collect();
        names.join(" ")
    });
    let run = match reply {
        Reply::Declined(declined) => format!("{:?}", declined.run),
        Reply::Whole(_) | Reply::Merged { .. } => "Ran".to_owned(),
    };
    info!(shared.runtime.log, "forward: {outcome}";
        "request" => &request.message.id, "asks" => %request.fingerprint(), "rule" => rule, "book" => log.version,
        "left_ms" => request.remaining.map(|left| left.as_millis() as u64),
        "ahead_ms" => log.send_by.map(|send_by| send_by.as_millis() as u64),
        "returning" => log.returning, "retry_after_ms" => retry_after.map(|after| after.as_millis() as u64),
        "process_left_ms" => log.process_left.map(|left| left.as_millis() as u64),
        "expected_ms" => log.expected.map(|time| time.as_millis() as u64),
        "waited_ms" => log.waited.map(|waited| waited.as_millis() as u64),
        "organisation" => &log.caller.0, "key" => &log.caller.1,
        "calls" => log.calls, "withheld" => log.withheld, "missing" => missing, "in_vain" => &log.failed_leafs,
        "lost" => log.lost_leafs, "answered" => log.answered, "full" => &log.full_shards, "run" => run,
        "ms" => elapsed.as_secs_f64() * 1e3);
}

/// Counts a reply that refuses a request as not run, by its reason and whether the request
/// waited; returns its retry delay.
fn count_refusal(shared: &Shared, log: &RequestLog, reply: &Reply) -> Option<Duration> {
    let Reply::Declined(declined) = reply else {
        return None;
    };
    if declined.run == Execution::NotRun {
        let waited = log.waited.is_some_and(|waited| waited >= WAITED_MIN);
        let reason = declined.reason.as_str();
        shared.metrics.count_refusal(reason, waited);
    }
    declined.retry_after
}

impl DeclineReason {
    /// The name used in logs and metric labels.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRule => "no rule",
            Self::Unauthorised(fault) => fault.as_str(),
            Self::NotReady => "not ready",
            Self::Declined(reason) => reason.as_str(),
            Self::Timeout => "timeout",
            Self::Failed => "calls failed",
            Self::Stopping => "stopping",
            Self::Stalled => "stalled",
            Self::Memory => "memory",
        }
    }
}
