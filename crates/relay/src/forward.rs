//! One forwarded request, from its rule to its reply.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use chestnut_book::{Kind, Rule, Target, greatest};
use chestnut_flow::{InFlight, Running, admit, lock, run};
use chestnut_port::{LeafReply, Message};
use chestnut_quarantine::Fingerprint;
use chestnut_route::{End, Give, Ix, Order, Prospect, Query, QueryConfig, Repeat, Yields};
use chestnut_unit::{Coverage, Reason, Run, Share, Time, Urgency};
use hyper::header::{AUTHORIZATION, HeaderValue};
use rand::Rng;
use slog::info;

use crate::{
    calls::Forwarded,
    ground::Ground,
    plan::{Plan, plan},
    quarantine::{self, Try},
    shared::{Phase, Shared},
};

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The host that it names.
    pub host: String,
    /// What is passed on.
    pub message: Arc<Message>,
    /// How long the caller will wait.
    pub left: Option<Duration>,
}

impl Ask {
    /// The fingerprint of what is asked. Who asks counts where the request says so: a leaf
    /// may answer the one and not the other. The caller's name of the try and its deadline
    /// are new each time.
    fn fingerprint(&self) -> Fingerprint {
        let message = &self.message;
        let caller = message.headers.get(AUTHORIZATION);
        Fingerprint::of(&[
            message.method.as_str().as_bytes(),
            self.host.as_bytes(),
            message.target.as_str().as_bytes(),
            caller.map_or(&[], HeaderValue::as_bytes),
            &message.body,
        ])
    }
}

/// Why a request gets no answer of a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// No rule of the book fits it.
    NoRule,
    /// This entry has no book or no list of leafs yet.
    NotReady,
    /// It can't be served now.
    Declined(Reason),
    /// Its time is over.
    Timeout,
    /// Every call failed.
    Failed,
}

/// A request that is given up on, at once and for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Declined {
    /// Why.
    pub why: Why,
    /// Whether any of it ran.
    pub run: Run,
    /// When to come back, where that may help.
    pub after: Option<Duration>,
}

/// The reply to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// One leaf's answer, unchanged.
    Whole(LeafReply),
    /// The merge of the answers of many shards.
    Merged {
        /// The signatures of the answers that are in.
        proofs: Vec<HeaderValue>,
        /// Shards that are not.
        missing: usize,
        /// The greatest records.
        body: Bytes,
    },
    /// No answer.
    Declined(Declined),
}

/// When to come back to an entry that is starting: it mostly needs well under
/// a second to read the book and the leafs.
const AFTER_START: Duration = Duration::from_millis(500);
/// When to come back after leafs refused or none was there, as part of the time
/// that the caller had: late enough that a burst or a pause may have passed,
/// early enough for a second try as long as the first could have been.
const AFTER_PART: u32 = 4;
/// Bounds of it. A slot comes free within the least; few callers stay for more
/// than the most.
const AFTER_MIN: Duration = Duration::from_millis(50);
const AFTER_MAX: Duration = Duration::from_secs(1);

/// What the log tells of a request, beside its reply.
struct Account {
    rule: Option<Arc<Rule>>,
    version: u64,
    calls: usize,
    /// Times that no budget paid for an extra call.
    withheld: u32,
    /// Whether the answer was ended for its caller to have it in time.
    ended: bool,
    /// Time that the answer had to come by the goal, the caller's way taken off; none
    /// if the caller was late already.
    ahead: Option<Duration>,
    coverage: Option<Coverage>,
    /// Leafs that were called for shards which are missing.
    in_vain: String,
    /// Leafs whose connection ended under a call.
    lost: usize,
    /// Whether a leaf ran it and answered.
    ran: bool,
    /// Shards for want of whose room it was refused.
    full: String,
}

/// Takes a request through the request path.
pub(crate) async fn forward(shared: &Shared, ask: Ask) -> Reply {
    let _flight = InFlight::enter(&shared.in_flight);
    let start = shared.now();
    let mut account = Account {
        rule: None,
        version: 0,
        calls: 0,
        withheld: 0,
        ended: false,
        ahead: None,
        coverage: None,
        in_vain: String::new(),
        lost: 0,
        ran: false,
        full: String::new(),
    };
    let reply = decide(shared, &ask, start, &mut account)
        .await
        .unwrap_or_else(Reply::Declined);
    let span = shared.now().since(start);
    if let (true, Some(ahead)) = (account.ended, account.ahead) {
        let late = span.saturating_sub(ahead);
        lock(&shared.cell.state).extra.callers.went_out(late);
    }
    tell(shared, &ask, &account, &reply, span);
    reply
}

async fn decide(
    shared: &Shared,
    ask: &Ask,
    start: Time,
    account: &mut Account,
) -> Result<Reply, Declined> {
    let book = lock(&shared.cell.state).extra.book.clone();
    let book = match book {
        Some(book) if shared.phase() > Phase::Starting => book,
        _ => return Err(unrun(Why::NotReady, Some(AFTER_START))),
    };
    account.version = book.version.0;
    let path = ask.message.target.path();
    let Some(rule) = book.find(&ask.host, path).cloned() else {
        return Err(unrun(Why::NoRule, None));
    };
    account.rule = Some(rule.clone());
    let asks = ask.fingerprint();
    let trust = quarantine::admit(shared, asks)?;
    let draw = shared.host.rng().next_u64();
    let Plan {
        routes,
        gate,
        class,
        ahead,
        prospect,
    } = plan(&mut lock(&shared.cell.state), &rule, ask.left, draw, start);
    account.ahead = (prospect == Prospect::InTime).then_some(ahead);
    let span = ask.left.unwrap_or(rule.timeout).min(rule.timeout);
    let deadline = start + span;
    let order = Order {
        id: shared.next_request(),
        urgency: urgency(rule.rank),
        deadline,
        yields: Yields::Yes,
    };
    let running = admit(&shared.host, &shared.cell, gate, order)
        .await
        .map_err(|(reason, after)| unrun(Why::Declined(reason), Some(after)))?;
    let config = QueryConfig {
        deadline,
        least: least(&rule),
        goal: start + ahead,
        prospect,
        attempts: rule.attempts,
        repeat: match rule.kind {
            Kind::Idempotent => Repeat::Free,
            Kind::Once => Repeat::Unrun,
        },
        trust,
        class,
    };
    let forwarded = forwarded(shared, &rule, ask);
    let _try = Try::new(shared, asks, forwarded.seen.clone());
    let query = run(&shared.host, &shared.cell, &forwarded, routes, None, config).await;
    account.ended = query.end() == Some(End::Partial(Give::Enough));
    account.calls = query.calls();
    account.withheld = query.withheld();
    account.coverage = Some(query.coverage());
    account.in_vain = names(shared, &query.in_vain());
    account.full = query
        .full()
        .map(|name| name.as_str())
        .collect::<Vec<_>>()
        .join(" ");
    {
        let seen = lock(&forwarded.seen);
        (account.lost, account.ran) = (seen.lost.len(), seen.answered);
    }
    finish(running, &query);
    let failed = lock(&forwarded.failed).take();
    let after = come_back(span, shared.host.rng().next_u64());
    reply(&rule, query, failed, after)
}

fn forwarded<'a>(shared: &'a Shared, rule: &Rule, ask: &Ask) -> Forwarded<'a> {
    Forwarded {
        shared,
        message: ask.message.clone(),
        kind: rule.kind,
        merges: matches!(rule.target, Target::Gather { .. }),
        failed: Arc::new(Mutex::new(None)),
        seen: Arc::default(),
    }
}

/// The names of leafs, for the log.
fn names(shared: &Shared, leafs: &[Ix]) -> String {
    let state = lock(&shared.cell.state);
    let places = leafs.iter().filter_map(|ix| state.extra.places.get(ix));
    let names: Vec<&str> = places.map(|place| place.leaf.as_str()).collect();
    names.join(" ")
}

/// Gives back the place of a request that ran.
fn finish(mut running: Running<'_, Ground>, query: &Query<LeafReply>) {
    running.calls = query.calls() as u32;
    running.sheds = query.sheds();
}

fn urgency(rank: u32) -> Urgency {
    match rank {
        0 => Urgency::Now,
        1 => Urgency::Normal,
        _ => Urgency::Archive,
    }
}

fn least(rule: &Rule) -> Share {
    match &rule.target {
        Target::One(_) | Target::Split(_) => Share::WHOLE,
        Target::Gather { least, .. } => *least,
    }
}

fn reply(
    rule: &Rule,
    query: Query<LeafReply>,
    failed: Option<LeafReply>,
    after: Duration,
) -> Result<Reply, Declined> {
    let coverage = query.coverage();
    let covered = coverage.answered > 0 && coverage.reaches(least(rule));
    match (&rule.target, failed) {
        (Target::Gather { top, .. }, _) if covered => Ok(merge(*top, coverage, query)),
        (Target::Gather { .. }, _) => Err(given_up(&query, after)),
        (Target::One(_) | Target::Split(_), failed) => {
            let declined = given_up(&query, after);
            let answer = query.into_parts().next().map(|(_, reply)| reply);
            match answer.or(failed) {
                Some(reply) => Ok(Reply::Whole(reply)),
                None => Err(declined),
            }
        }
    }
}

fn merge(top: usize, coverage: Coverage, query: Query<LeafReply>) -> Reply {
    let parts: Vec<LeafReply> = query.into_parts().map(|(_, reply)| reply).collect();
    let bodies = parts.iter().map(|reply| reply.answer.body().as_ref());
    Reply::Merged {
        body: greatest(bodies, top).into(),
        missing: coverage.asked - coverage.answered,
        proofs: parts.into_iter().map(|reply| reply.proof).collect(),
    }
}

/// Why a query that covers too little was given up. "Not run" needs the proof
/// that no call of it could have run.
fn given_up(query: &Query<LeafReply>, after: Duration) -> Declined {
    if query.not_run().is_some() {
        let reason = match query.end() {
            Some(End::Partial(Give::Deadline)) => Reason::Deadline,
            Some(End::Partial(Give::Full)) => Reason::Overload,
            _ => Reason::TargetRefused,
        };
        return unrun(Why::Declined(reason), Some(after));
    }
    let why = match query.end() {
        Some(End::Partial(Give::Deadline)) => Why::Timeout,
        _ => Why::Failed,
    };
    Declined {
        why,
        run: Run::Unknown,
        after: None,
    }
}

/// When a caller that had `span` should come back: from half to one and a half
/// times the usual, by `draw`, so that callers refused together don't return
/// together.
fn come_back(span: Duration, draw: u64) -> Duration {
    let base = (span / AFTER_PART).clamp(AFTER_MIN, AFTER_MAX);
    base.mul_f64(0.5 + draw as f64 / u64::MAX as f64)
}

fn unrun(why: Why, after: Option<Duration>) -> Declined {
    Declined {
        why,
        run: Run::NotRun,
        after,
    }
}

/// Logs and counts what became of a request.
fn tell(shared: &Shared, ask: &Ask, account: &Account, reply: &Reply, span: Duration) {
    let rule = account.rule.as_ref().map_or("-", |rule| rule.name.as_str());
    let outcome = match reply {
        Reply::Whole(reply) if reply.answer.status().is_success() => "answered",
        Reply::Whole(_) => "leaf failed",
        Reply::Merged { missing: 0, .. } => "answered",
        Reply::Merged { .. } => "partial",
        Reply::Declined(declined) => declined.why.as_str(),
    };
    shared.metrics.observe(rule, outcome, span);
    let missing = account.coverage.as_ref().map_or(String::new(), |coverage| {
        let names: Vec<&str> = coverage.missing.iter().map(|name| name.as_str()).collect();
        names.join(" ")
    });
    let run = match reply {
        Reply::Declined(declined) => format!("{:?}", declined.run),
        Reply::Whole(_) | Reply::Merged { .. } => "Ran".to_owned(),
    };
    info!(shared.host.log, "forward: {outcome}";
        "request" => &ask.message.id, "asks" => %ask.fingerprint(), "rule" => rule, "book" => account.version,
        "left_ms" => ask.left.map(|left| left.as_millis() as u64),
        "ahead_ms" => account.ahead.map(|ahead| ahead.as_millis() as u64),
        "calls" => account.calls, "withheld" => account.withheld, "missing" => missing, "in_vain" => &account.in_vain,
        "lost" => account.lost, "answered" => account.ran, "full" => &account.full, "run" => run,
        "ms" => span.as_secs_f64() * 1e3);
}

impl Why {
    /// The words in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRule => "no rule",
            Self::NotReady => "not ready",
            Self::Declined(reason) => reason.as_str(),
            Self::Timeout => "timeout",
            Self::Failed => "calls failed",
        }
    }
}
