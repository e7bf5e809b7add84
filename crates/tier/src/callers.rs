//! HTTP handlers for callers. The formats are in `docs/INTERFACES.md`.

use std::time::Duration;

use bytes::Bytes;
use chestnut_audit::Receipt;
use chestnut_fleet::Entry;
use chestnut_once::Ticket;
use chestnut_unit::{CallType, DomainName, OrgName, Reason, ServiceName};
use hyper::{
    Method, Request, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue, RETRY_AFTER},
};
use serde::Deserialize;
use serde_json::{json, value::RawValue};

use crate::{
    api::{Answer, QueryRequest, Refusal, SubmitOutcome, SubmitRequest},
    refuse::{RefusalCause, Subject, refuse},
    shared::Phase,
    tier::{EMPTY_JSON, Tier},
    web::{self, BodyError, Reply, WebLimits},
};

/// JSON body of a query.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct QueryBody<'a> {
    organisation: OrgName,
    service: ServiceName,
    call: CallType,
    deadline_ms: Option<u64>,
    #[serde(borrow)]
    query: Option<&'a RawValue>,
}

/// JSON body of a submission.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmitBody<'a> {
    ticket: Option<String>,
    organisation: OrgName,
    service: ServiceName,
    call: CallType,
    deadline_ms: Option<u64>,
    #[serde(borrow)]
    body: Option<&'a RawValue>,
}

/// Handles one HTTP request of a caller. Replies of a leaving entry ask the
/// caller to close the connection.
pub(crate) async fn handle(tier: Tier, limits: WebLimits, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let mut reply = match (method, path.as_str()) {
        (Method::GET, "/v1/entries") => list_entries(&tier, request.uri().query()),
        (Method::POST, "/v1/query") => query(&tier, &limits, request).await,
        (Method::POST, "/v1/tickets") => issue_ticket(&tier),
        (Method::POST, "/v1/submit") => submit(&tier, &limits, request).await,
        (Method::GET, path) if path.starts_with(REFUSALS_PATH) => {
            explain(&tier, &path[REFUSALS_PATH.len()..])
        }
        (_, "/v1/entries" | "/v1/query" | "/v1/tickets" | "/v1/submit") => web::error(
            StatusCode::METHOD_NOT_ALLOWED,
            "use the method in the reference",
        ),
        _ => web::error(StatusCode::NOT_FOUND, "no such path; see the reference"),
    };
    // Otherwise a caller with a persistent connection would not fetch the list of
    // entries again, and its connection would be reset when this entry stops.
    if tier.shared.phase() == Phase::Leaving {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(CONNECTION, close);
    }
    reply
}

/// Path prefix under which callers look up receipts.
const REFUSALS_PATH: &str = "/v1/refusals/";

/// Returns the entries that callers should use, in order of preference, for the
/// failure domain in the parameter `domain` of the URL query; without a valid
/// one, for the domain of this entry.
pub(crate) fn list_entries(tier: &Tier, query: Option<&str>) -> Reply {
    let domain = web::param(query, "domain").and_then(|name| DomainName::new(name).ok());
    let list = tier.entries(domain.as_ref());
    let body = json!({
        "entries": list.entries.iter().map(entry_json).collect::<Vec<_>>(),
        "ttl_ms": list.ttl.as_millis() as u64,
    });
    web::json(StatusCode::OK, body.to_string())
}

/// Parses and runs a query. A request that can't be parsed is refused with a
/// receipt, too.
async fn query(tier: &Tier, limits: &WebLimits, request: Request<Incoming>) -> Reply {
    let body = match web::read_body(request.into_body(), limits).await {
        Ok(body) => body,
        Err(error) => return bad_body(tier, error),
    };
    let parsed: QueryBody<'_> = match serde_json::from_slice(&body) {
        Ok(parsed) => parsed,
        Err(error) => return bad_request(tier, error.to_string()),
    };
    let deadline = match parse_deadline(tier, parsed.deadline_ms) {
        Ok(deadline) => deadline,
        Err(detail) => return bad_request(tier, detail),
    };
    let request = QueryRequest {
        organisation: parsed.organisation,
        service: parsed.service,
        call: parsed.call,
        deadline,
        body: raw_bytes(parsed.query),
    };
    match tier.query(request).await {
        Ok(answer) => web::json(StatusCode::OK, answer_json(&answer)),
        Err(refusal) => refusal_reply(&refusal),
    }
}

/// Issues a ticket for a submission, or replies with the refusal.
fn issue_ticket(tier: &Tier) -> Reply {
    match tier.ticket() {
        Ok(reply) => {
            let body = json!({
                "ticket": reply.ticket.to_string(),
                "expires_ms": reply.expiry.0,
            });
            web::json(StatusCode::OK, body.to_string())
        }
        Err(refusal) => refusal_reply(&refusal),
    }
}

/// Parses and runs a submission. A request that can't be parsed is refused with
/// a receipt, too.
async fn submit(tier: &Tier, limits: &WebLimits, request: Request<Incoming>) -> Reply {
    let body = match web::read_body(request.into_body(), limits).await {
        Ok(body) => body,
        Err(error) => return bad_body(tier, error),
    };
    let parsed: SubmitBody<'_> = match serde_json::from_slice(&body) {
        Ok(parsed) => parsed,
        Err(error) => return bad_request(tier, error.to_string()),
    };
    let deadline = match parse_deadline(tier, parsed.deadline_ms) {
        Ok(deadline) => deadline,
        Err(detail) => return bad_request(tier, detail),
    };
    let ticket = match parsed.ticket.map(|text| text.parse::<Ticket>()).transpose() {
        Ok(ticket) => ticket,
        Err(error) => return refuse_unparsed(tier, Reason::BadTicket, error.to_string()),
    };
    let request = SubmitRequest {
        ticket,
        organisation: parsed.organisation,
        service: parsed.service,
        call: parsed.call,
        deadline,
        body: raw_bytes(parsed.body),
    };
    match tier.submit(request).await {
        Ok(outcome) => web::json(StatusCode::OK, outcome_json(&outcome)),
        Err(refusal) => refusal_reply(&refusal),
    }
}

/// Replies with the content of a receipt, which includes the whole refusal, so
/// no store is read; 404 if it can't be decoded.
fn explain(tier: &Tier, text: &str) -> Reply {
    match Receipt::decode(text, &tier.shared.mac_key) {
        Ok(receipt) => {
            let message = receipt.reason.message();
            let mut body = json!(receipt);
            body["sentence"] = message.into();
            web::json(StatusCode::OK, body.to_string())
        }
        Err(error) => web::error(StatusCode::NOT_FOUND, &error.to_string()),
    }
}

/// Copies raw JSON; an absent value becomes an empty object.
fn raw_bytes(value: Option<&RawValue>) -> Bytes {
    value.map_or(EMPTY_JSON, |v| Bytes::copy_from_slice(v.get().as_bytes()))
}

/// Converts the deadline of a request, in milliseconds; `None` if it sets none.
/// The error names the limit that a deadline of zero or above the settings'
/// maximum violates.
fn parse_deadline(tier: &Tier, ms: Option<u64>) -> Result<Option<Duration>, String> {
    let max = tier.shared.settings.limits.deadline;
    let Some(ms) = ms else {
        return Ok(None);
    };
    let span = Duration::from_millis(ms);
    if span.is_zero() || span > max {
        let max = max.as_millis();
        return Err(format!("deadline_ms: {ms} is not from 1 to {max}"));
    }
    Ok(Some(span))
}

/// Refuses a request that could not be parsed as [`Reason::BadRequest`].
fn bad_request(tier: &Tier, detail: String) -> Reply {
    refuse_unparsed(tier, Reason::BadRequest, detail)
}

/// Refuses a request whose body could not be read, with the HTTP status of
/// `error`.
fn bad_body(tier: &Tier, error: BodyError) -> Reply {
    if error == BodyError::NoRoom {
        return refuse_unparsed(tier, Reason::Overload, error.text().to_owned());
    }
    let mut reply = bad_request(tier, error.text().to_owned());
    *reply.status_mut() = error.status();
    reply
}

/// Refuses a request that could not be parsed, and records the refusal like any
/// other. It names no organisation or service.
fn refuse_unparsed(tier: &Tier, reason: Reason, detail: String) -> Reply {
    let subject = Subject {
        request: tier.shared.next_request(),
        ..Subject::default()
    };
    refusal_reply(&refuse(
        &tier.shared,
        &subject,
        RefusalCause::not_run(reason, detail),
    ))
}

/// Encodes an answer to a query as a JSON object.
fn answer_json(answer: &Answer) -> String {
    let head = json!({
        "request": answer.request_id,
        "entry": answer.entry,
        "snapshot": answer.snapshot,
        "coverage": {
            "asked": answer.coverage.asked,
            "answered": answer.coverage.answered,
            "missing": answer.coverage.missing,
            "complete": answer.coverage.is_complete(),
        },
        "settings": {
            "template": answer.settings.template,
            "organisation": answer.settings.organisation,
            "confirmed_ms": answer.settings.confirmed_age.as_millis() as u64,
        },
    })
    .to_string();
    // The rows are already JSON and are passed through unparsed.
    let rows = String::from_utf8_lossy(&answer.rows);
    format!(r#"{},"rows":{rows}}}"#, &head[..head.len() - 1])
}

/// Encodes the answer of a submission that ran as JSON, with the outcome `done`
/// and the request id. The answer is JSON already and passed on unparsed; an empty
/// one becomes `null`. Other outcomes are refusals.
fn outcome_json(outcome: &SubmitOutcome) -> String {
    let answer = if outcome.answer.is_empty() {
        "null".into()
    } else {
        String::from_utf8_lossy(&outcome.answer)
    };
    let request = outcome.request_id;
    format!(r#"{{"outcome":"done","request":{request},"answer":{answer}}}"#)
}

/// Encodes one entry as JSON: its name, caller address and failure domain.
fn entry_json(entry: &Entry) -> serde_json::Value {
    json!({
        "entry": entry.member,
        "address": entry.address,
        "domain": entry.domain,
    })
}

/// Builds the HTTP reply to a refused request, with a `Retry-After` header if a
/// retry may help.
fn refusal_reply(refusal: &Refusal) -> Reply {
    let body = json!({
        "refused": true,
        "receipt": refusal.receipt,
        "reason": refusal.reason,
        "sentence": refusal.reason.message(),
        "detail": refusal.detail,
        "run": refusal.execution,
        "retry_after_ms": refusal.retry_after.map(|span| span.as_millis() as u64),
        "entries": refusal.entries.iter().map(entry_json).collect::<Vec<_>>(),
    });
    let mut reply = web::json(http_status(refusal.reason), body.to_string());
    if let Some(retry_after) = refusal.retry_after {
        // Whole seconds, rounded up; the body has the milliseconds.
        let seconds = retry_after.as_millis().div_ceil(1000) as u64;
        reply
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    reply
}

/// Returns the HTTP status of a refusal for `reason`.
fn http_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::UnknownOrg => StatusCode::NOT_FOUND,
        Reason::ServiceClosed | Reason::CallUnknown => StatusCode::FORBIDDEN,
        Reason::OrgLimit => StatusCode::TOO_MANY_REQUESTS,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Reason::BadTicket => StatusCode::CONFLICT,
        Reason::FateUnknown | Reason::KeeperGone => StatusCode::BAD_GATEWAY,
        Reason::Overload
        | Reason::Incomplete
        | Reason::NoSnapshot
        | Reason::TargetRefused
        | Reason::Unconfirmed
        | Reason::Quarantined
        | Reason::NotReady => StatusCode::SERVICE_UNAVAILABLE,
    }
}
