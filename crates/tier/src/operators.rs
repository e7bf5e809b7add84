//! HTTP handlers for operators: metrics, health, status and edits.

use chestnut_audit::{Batch, Receipt};
use chestnut_conf::{ObjectKey, ObjectKind, StoredSpec};
use chestnut_port::decode_segments;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    api::EditError,
    callers,
    edit::{self, EditRequest},
    metrics::cpu_ms,
    shared::lock,
    status,
    tier::{Tier, edit_id},
    web::{self, Reply, WebLimits},
};

/// JSON body of an edit request: the new content, the version that the operator
/// read, the edit's id and the operator's name.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EditBody {
    spec: Value,
    expected: Option<u64>,
    edit: Option<String>,
    #[serde(default)]
    by: String,
}

/// Handles one HTTP request of an operator; 404 for an unknown path or method.
pub(crate) async fn handle(tier: Tier, limits: WebLimits, request: Request<Incoming>) -> Reply {
    let Some(segments) = decode_segments(request.uri().path()) else {
        return web::error(StatusCode::NOT_FOUND, "no such path or method");
    };
    let parts: Vec<&str> = segments.iter().map(String::as_str).collect();
    match (request.method().clone(), parts.as_slice()) {
        (Method::GET, ["metrics"]) => metrics(&tier),
        (Method::GET, ["healthz"]) => web::json(StatusCode::OK, r#"{"alive":true}"#),
        (Method::GET, ["readyz"]) => ready(&tier),
        (Method::GET, ["status"]) => web::json(StatusCode::OK, json!(tier.status()).to_string()),
        (Method::GET, ["entries"]) => callers::list_entries(&tier, request.uri().query()),
        (Method::GET, ["targets"]) => web::json(
            StatusCode::OK,
            json!(status::targets(&tier.shared)).to_string(),
        ),
        (Method::GET, ["objects", kind]) => list_objects(&tier, kind),
        (Method::GET, ["objects", kind, name]) => get_object(&tier, kind, name),
        (Method::PUT, ["objects", kind, name]) => {
            edit_object(&tier, &limits, kind, name, request, Mode::Write).await
        }
        (Method::POST, ["check", kind, name]) => {
            edit_object(&tier, &limits, kind, name, request, Mode::Check).await
        }
        (Method::GET, ["why", receipt]) => explain_refusal(&tier, receipt).await,
        (Method::POST, ["drain"]) => drain(&tier),
        _ => web::error(StatusCode::NOT_FOUND, "no such path or method"),
    }
}

/// Whether an edit is only validated or also written.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mode {
    Check,
    Write,
}

/// Sets the gauges to their present values and replies with all metrics.
fn metrics(tier: &Tier) -> Reply {
    let shared = &tier.shared;
    let metrics = &shared.metrics;
    for (leaf, open) in shared.targets.connections() {
        metrics.set_connections(leaf.to_string(), open);
    }
    let status = tier.status();
    let present = status.members.iter().filter(|m| m.liveness != "gone");
    metrics.members.set(present.count() as i64);
    metrics
        .connection_limit
        .set(i64::from(shared.settings.control.share));
    metrics
        .confirmed_age
        .set(status.confirmed_ms.map_or(-1, |ms| ms as i64));
    metrics
        .digest
        .set(lock(&shared.conf).objects.digest().0 as i64);
    metrics.probe_bytes.set(status.probe_bytes as i64);
    metrics.pending_records.set(status.records_waiting as i64);
    metrics.in_flight.set(i64::from(status.in_flight));
    metrics.cpu.set(cpu_ms());
    let mut reply = Response::new(metrics.text().into());
    let text = HeaderValue::from_static("application/openmetrics-text; version=1.0.0");
    reply.headers_mut().insert(CONTENT_TYPE, text);
    reply
}

/// Reports the phase of this entry; 503 unless it serves callers.
fn ready(tier: &Tier) -> Reply {
    let phase = tier.status().phase;
    let status = if tier.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    web::json(
        status,
        json!({ "ready": tier.is_ready(), "phase": phase }).to_string(),
    )
}

/// Parses the kind of object in a path; the error is the 404 reply.
fn parse_kind(text: &str) -> Result<ObjectKind, Reply> {
    text.parse::<ObjectKind>()
        .map_err(|error| web::error(StatusCode::NOT_FOUND, &error))
}

/// Replies with the names and versions of the objects of one kind.
fn list_objects(tier: &Tier, kind: &str) -> Reply {
    let kind = match parse_kind(kind) {
        Ok(kind) => kind,
        Err(reply) => return reply,
    };
    let versions = lock(&tier.shared.conf).objects.versions(kind);
    web::json(StatusCode::OK, json!(versions).to_string())
}

/// Replies with the version, content and edit history of one object; 404 if
/// there is none. The history is empty if the object has none.
fn get_object(tier: &Tier, kind: &str, name: &str) -> Reply {
    let kind = match parse_kind(kind) {
        Ok(kind) => kind,
        Err(reply) => return reply,
    };
    let object = lock(&tier.shared.conf).objects.get(kind, name).cloned();
    let Some(object) = object else {
        return web::error(StatusCode::NOT_FOUND, &format!("no {kind} named {name}"));
    };
    let body = match serde_json::from_value::<StoredSpec>(object.value.clone()) {
        Ok(stored) => json!({
            "version": object.version, "spec": stored.spec, "edits": stored.edits,
        }),
        Err(_) => json!({ "version": object.version, "spec": object.value, "edits": [] }),
    };
    web::json(StatusCode::OK, body.to_string())
}

/// Validates an edit and, in [`Mode::Write`], writes it; replies with the new
/// version or the error.
async fn edit_object(
    tier: &Tier,
    limits: &WebLimits,
    kind: &str,
    name: &str,
    request: Request<Incoming>,
    mode: Mode,
) -> Reply {
    let edit = match read_edit(tier, limits, kind, name, request).await {
        Ok(edit) => edit,
        Err(reply) => return reply,
    };
    let result = match mode {
        Mode::Check => edit::check(&tier.shared, &edit).map(|()| json!({ "valid": true })),
        Mode::Write => edit::put(&tier.shared, edit)
            .await
            .map(|reply| json!({ "version": reply.version, "edit": reply.id })),
    };
    match result {
        Ok(body) => web::json(StatusCode::OK, body.to_string()),
        Err(error) => edit_error_reply(&error),
    }
}

/// Parses an edit request from the path and the body, and gives it a new id if
/// it has none. The error is the reply to an invalid request.
async fn read_edit(
    tier: &Tier,
    limits: &WebLimits,
    kind: &str,
    name: &str,
    request: Request<Incoming>,
) -> Result<EditRequest, Reply> {
    let kind = parse_kind(kind)?;
    // Names are used in metric labels, log fields and URL paths.
    if let Err(error) = chestnut_unit::OrgName::new(name) {
        return Err(web::error(StatusCode::BAD_REQUEST, &error.to_string()));
    }
    let body = web::read_body(request.into_body(), limits)
        .await
        .map_err(|error| web::error(error.status(), error.text()))?;
    let body: EditBody = serde_json::from_slice(&body)
        .map_err(|error| web::error(StatusCode::BAD_REQUEST, &error.to_string()))?;
    Ok(EditRequest {
        key: ObjectKey {
            kind,
            name: name.to_owned(),
        },
        expected: body.expected,
        spec: body.spec,
        edit_id: body.edit.unwrap_or_else(|| edit_id(&tier.shared)),
        author: body.by,
    })
}

/// Builds the reply to an edit that failed, with the current version after a
/// conflict and the edit's id if the outcome is unknown.
fn edit_error_reply(error: &EditError) -> Reply {
    let status = match error {
        EditError::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
        EditError::Conflict { .. } => StatusCode::CONFLICT,
        EditError::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        EditError::Unconfirmed { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut body = json!({ "error": error.to_string() });
    match error {
        EditError::Conflict { current } => body["version"] = (*current).into(),
        EditError::Unconfirmed { id } => body["edit"] = id.clone().into(),
        EditError::Invalid(_) | EditError::Unavailable => {}
    }
    web::json(status, body.to_string())
}

/// Replies with the content of a receipt, 404 if it can't be decoded. Adds the
/// detail of the refusal's record if the record is still in memory or on the
/// platform.
async fn explain_refusal(tier: &Tier, text: &str) -> Reply {
    let shared = &tier.shared;
    let receipt = match Receipt::decode(text, &shared.mac_key) {
        Ok(receipt) => receipt,
        Err(error) => return web::error(StatusCode::NOT_FOUND, &error.to_string()),
    };
    let buffered = lock(&shared.refusal_log).find(text);
    let (source, detail) = match buffered {
        Some(detail) => ("waiting", Some(detail)),
        None => match find_record(tier, &receipt, text).await {
            RecordLookup::Found(detail) => ("platform", Some(detail)),
            RecordLookup::Missing => ("not yet or dropped", None),
            RecordLookup::Unavailable => ("the platform can't be reached", None),
        },
    };
    let mut body = json!(receipt);
    body["sentence"] = receipt.reason.message().into();
    body["record"] = source.into();
    body["detail"] = json!(detail);
    web::json(StatusCode::OK, body.to_string())
}

/// Result of a search for a refusal record on the platform.
enum RecordLookup {
    /// The detail of the record.
    Found(String),
    /// No batch contains the record.
    Missing,
    /// The platform can't be reached.
    Unavailable,
}

/// Searches the batches that the refusing entry wrote to the platform for the
/// record of the receipt `text`.
async fn find_record(tier: &Tier, receipt: &Receipt, text: &str) -> RecordLookup {
    let Ok(listing) = tier.shared.platform.list(ObjectKind::Refusal).await else {
        return RecordLookup::Unavailable;
    };
    let prefix = format!("{}.", receipt.entry);
    let batches = listing
        .objects
        .into_iter()
        .filter(|object| object.key.name.starts_with(&prefix));
    for object in batches {
        let Ok(batch) = serde_json::from_value::<Batch>(object.value) else {
            continue;
        };
        let record = batch.records.into_iter().find(|r| r.receipt == text);
        if let Some(record) = record {
            return RecordLookup::Found(record.detail);
        }
    }
    RecordLookup::Missing
}

/// Requests a graceful shutdown and replies at once; the daemon exits once the
/// shutdown is complete.
fn drain(tier: &Tier) -> Reply {
    tier.shared.drain_requested.notify_one();
    web::json(StatusCode::ACCEPTED, r#"{"draining":true}"#)
}
