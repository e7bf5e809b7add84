//! HTTP towards operators: metrics, health, status and edits.

use chestnut_audit::{Batch, Receipt};
use chestnut_conf::{Kind, ObjectKey, Stored};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    api::EditError,
    edge,
    edit::{self, EditRequest},
    metrics::cpu_ms,
    shared::lock,
    status,
    tier::{Tier, edit_id},
    web::{self, Reply, WebLimits},
};

/// Body of an edit.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EditBody {
    spec: Value,
    expected: Option<u64>,
    edit: Option<String>,
    #[serde(default)]
    by: String,
}

/// Answers one operator's request.
pub(crate) async fn handle(tier: Tier, limits: WebLimits, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method().clone(), parts.as_slice()) {
        (Method::GET, ["metrics"]) => metrics(&tier),
        (Method::GET, ["healthz"]) => web::json(StatusCode::OK, r#"{"alive":true}"#),
        (Method::GET, ["readyz"]) => ready(&tier),
        (Method::GET, ["status"]) => web::json(StatusCode::OK, json!(tier.status()).to_string()),
        (Method::GET, ["entries"]) => edge::entries(&tier, request.uri().query()),
        (Method::GET, ["targets"]) => web::json(
            StatusCode::OK,
            json!(status::targets(&tier.shared)).to_string(),
        ),
        (Method::GET, ["objects", kind]) => list(&tier, kind),
        (Method::GET, ["objects", kind, name]) => get(&tier, kind, name),
        (Method::PUT, ["objects", kind, name]) => {
            put(&tier, &limits, kind, name, request, Mode::Write).await
        }
        (Method::POST, ["check", kind, name]) => {
            put(&tier, &limits, kind, name, request, Mode::Check).await
        }
        (Method::GET, ["why", receipt]) => why(&tier, receipt).await,
        (Method::POST, ["drain"]) => drain(&tier),
        _ => web::error(StatusCode::NOT_FOUND, "no such path or method"),
    }
}

/// Whether an edit is written or only checked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mode {
    Check,
    Write,
}

fn metrics(tier: &Tier) -> Reply {
    let shared = &tier.shared;
    let metrics = &shared.metrics;
    for (leaf, open) in shared.targets.connections() {
        metrics.set_connections(leaf.to_string(), open);
    }
    let status = tier.status();
    let present = status.members.iter().filter(|m| m.liveness != "gone");
    metrics.members.set(present.count() as i64);
    metrics.share.set(i64::from(shared.settings.control.share));
    metrics
        .confirmed
        .set(status.confirmed_ms.map_or(-1, |ms| ms as i64));
    metrics
        .digest
        .set(lock(&shared.conf).book.digest().0 as i64);
    metrics.probe_bytes.set(status.probe_bytes as i64);
    metrics.records.set(status.records_waiting as i64);
    metrics.in_flight.set(i64::from(status.in_flight));
    metrics.cpu.set(cpu_ms());
    let mut reply = Response::new(metrics.text().into());
    let text = HeaderValue::from_static("application/openmetrics-text; version=1.0.0");
    reply.headers_mut().insert(CONTENT_TYPE, text);
    reply
}

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

fn kind_of(word: &str) -> Result<Kind, Reply> {
    word.parse::<Kind>()
        .map_err(|error| web::error(StatusCode::NOT_FOUND, &error))
}

fn list(tier: &Tier, kind: &str) -> Reply {
    let kind = match kind_of(kind) {
        Ok(kind) => kind,
        Err(reply) => return reply,
    };
    let versions = lock(&tier.shared.conf).book.versions(kind);
    web::json(StatusCode::OK, json!(versions).to_string())
}

fn get(tier: &Tier, kind: &str, name: &str) -> Reply {
    let kind = match kind_of(kind) {
        Ok(kind) => kind,
        Err(reply) => return reply,
    };
    let held = lock(&tier.shared.conf).book.get(kind, name).cloned();
    let Some(held) = held else {
        return web::error(StatusCode::NOT_FOUND, &format!("no {kind} named {name}"));
    };
    let body = match serde_json::from_value::<Stored>(held.value.clone()) {
        Ok(stored) => json!({
            "version": held.version, "spec": stored.spec, "edits": stored.edits,
        }),
        Err(_) => json!({ "version": held.version, "spec": held.value, "edits": [] }),
    };
    web::json(StatusCode::OK, body.to_string())
}

async fn put(
    tier: &Tier,
    limits: &WebLimits,
    kind: &str,
    name: &str,
    request: Request<Incoming>,
    mode: Mode,
) -> Reply {
    let ask = match edit_of(tier, limits, kind, name, request).await {
        Ok(ask) => ask,
        Err(reply) => return reply,
    };
    let result = match mode {
        Mode::Check => edit::check(&tier.shared, &ask).map(|()| json!({ "valid": true })),
        Mode::Write => edit::put(&tier.shared, ask)
            .await
            .map(|reply| json!({ "version": reply.version, "edit": reply.id })),
    };
    match result {
        Ok(body) => web::json(StatusCode::OK, body.to_string()),
        Err(error) => edit_error(&error),
    }
}

async fn edit_of(
    tier: &Tier,
    limits: &WebLimits,
    kind: &str,
    name: &str,
    request: Request<Incoming>,
) -> Result<EditRequest, Reply> {
    let kind = kind_of(kind)?;
    // Names become metric labels and log fields, and parts of paths.
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
        id: body.edit.unwrap_or_else(|| edit_id(&tier.shared)),
        by: body.by,
    })
}

fn edit_error(error: &EditError) -> Reply {
    let status = match error {
        EditError::Check(_) => StatusCode::UNPROCESSABLE_ENTITY,
        EditError::Conflict { .. } => StatusCode::CONFLICT,
        EditError::Outage => StatusCode::SERVICE_UNAVAILABLE,
        EditError::Unsettled { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut body = json!({ "error": error.to_string() });
    match error {
        EditError::Conflict { current } => body["version"] = (*current).into(),
        EditError::Unsettled { id } => body["edit"] = id.clone().into(),
        EditError::Check(_) | EditError::Outage => {}
    }
    web::json(status, body.to_string())
}

/// Explains a refusal: from its receipt alone, and with the record's detail
/// where one can be found in memory or in the platform.
async fn why(tier: &Tier, text: &str) -> Reply {
    let shared = &tier.shared;
    let receipt = match Receipt::decode(text, &shared.check) {
        Ok(receipt) => receipt,
        Err(error) => return web::error(StatusCode::NOT_FOUND, &error.to_string()),
    };
    let waiting = lock(&shared.journal).find(text);
    let (recorded, detail) = match waiting {
        Some(detail) => ("waiting", Some(detail)),
        None => match find_record(tier, &receipt, text).await {
            Found::Record(detail) => ("platform", Some(detail)),
            Found::Nothing => ("not yet or dropped", None),
            Found::Outage => ("the platform can't be reached", None),
        },
    };
    let mut body = json!(receipt);
    body["sentence"] = receipt.reason.sentence().into();
    body["record"] = recorded.into();
    body["detail"] = json!(detail);
    web::json(StatusCode::OK, body.to_string())
}

enum Found {
    Record(String),
    Nothing,
    Outage,
}

async fn find_record(tier: &Tier, receipt: &Receipt, text: &str) -> Found {
    let Ok(listing) = tier.shared.platform.list(Kind::Refusal).await else {
        return Found::Outage;
    };
    let by_entry = format!("{}.", receipt.entry);
    let mine = listing
        .objects
        .into_iter()
        .filter(|object| object.key.name.starts_with(&by_entry));
    for object in mine {
        let Ok(batch) = serde_json::from_value::<Batch>(object.value) else {
            continue;
        };
        let record = batch.records.into_iter().find(|r| r.receipt == text);
        if let Some(record) = record {
            return Found::Record(record.detail);
        }
    }
    Found::Nothing
}

/// Starts a planned stop; the daemon ends when it is over.
fn drain(tier: &Tier) -> Reply {
    tier.shared.drain.notify_one();
    web::json(StatusCode::ACCEPTED, r#"{"draining":true}"#)
}
