//! HTTP handlers of the simulated leaf.

use std::{sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use chestnut_unit::{IndexVersion, ShardName, lock};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use serde_json::{json, value::RawValue};
use tokio::time::sleep;

use super::{Inner, LEAVE_GRACE, Reply};

/// Routes a request: `/query`, `/submit` and `/state`; under `/control/` the counters,
/// the configuration and the silencing of connections. 404 for other paths.
pub(super) async fn handle(inner: &Inner, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let Ok(body) = request.into_body().collect().await else {
        return refuse(inner, "shed");
    };
    let body = body.to_bytes();
    match (method, path.as_str()) {
        (Method::POST, "/query") => query(inner, &body).await,
        (Method::POST, "/submit") => submit(inner, &body).await,
        (Method::POST, "/state") => state(inner),
        (Method::GET, "/control/ledger") => reply(StatusCode::OK, &*lock(&inner.counters)),
        (Method::GET, "/control/config") => reply(StatusCode::OK, &*inner.config.borrow()),
        (Method::PUT, "/control/config") => match serde_json::from_slice(&body) {
            Ok(config) => {
                inner.configure(|now| *now = config);
                reply(StatusCode::OK, &json!({}))
            }
            Err(error) => reply(
                StatusCode::BAD_REQUEST,
                &json!({ "error": error.to_string() }),
            ),
        },
        (Method::POST, "/control/silence") => {
            for stall in lock(&inner.stalls).drain(..) {
                stall.activate();
            }
            reply(StatusCode::OK, &json!({}))
        }
        _ => reply(StatusCode::NOT_FOUND, &json!({ "error": "not found" })),
    }
}

/// Body of a query call: index version, shards, and deadline in milliseconds.
#[derive(Deserialize)]
struct QueryCall {
    version: IndexVersion,
    shards: Vec<ShardName>,
    deadline_ms: u64,
}

/// Runs a query call in a slot and returns one row per shard. Refuses it if the leaf is
/// closed, has no free slot in time, or lacks a shard; 400 if the body is invalid.
async fn query(inner: &Inner, body: &[u8]) -> Reply {
    let Ok(call) = serde_json::from_slice::<QueryCall>(body) else {
        return reply(
            StatusCode::BAD_REQUEST,
            &json!({ "error": "not a query call" }),
        );
    };
    count_late_call(inner);
    wait_unfrozen(inner).await;
    if inner.config.borrow().closed {
        return refuse(inner, "draining");
    }
    if !holds(inner, &call) {
        return refuse(inner, "no_snapshot");
    }
    let Some(_slot) = acquire_slot(inner, call.deadline_ms).await else {
        return refuse(inner, "shed");
    };
    sleep(inner.service_time()).await;
    wait_unfrozen(inner).await;
    // The shards may have been unloaded while the call ran.
    if !holds(inner, &call) {
        return refuse(inner, "no_snapshot");
    }
    lock(&inner.counters).queries += 1;
    let part = |shard: &ShardName| {
        json!({ "shard": shard, "rows": [{
            "shard": shard, "version": call.version, "leaf": inner.id,
        }] })
    };
    let parts: Vec<_> = call.shards.iter().map(part).collect();
    let draining = inner.config.borrow().draining;
    let body = json!({ "version": call.version, "parts": parts, "draining": draining });
    reply(StatusCode::OK, &body)
}

/// Reports whether the leaf holds all shards of the call at its index version.
fn holds(inner: &Inner, call: &QueryCall) -> bool {
    let config = inner.config.borrow();
    let shards = config.shards.get(&call.version);
    shards.is_some_and(|held| call.shards.iter().all(|shard| held.contains(shard)))
}

/// Body of a submit call: deadline in milliseconds, and the submission as raw JSON.
#[derive(Deserialize)]
struct SubmitCall<'a> {
    deadline_ms: u64,
    #[serde(borrow)]
    body: &'a RawValue,
}

/// The identifier in a submission.
#[derive(Deserialize)]
struct Identified {
    id: String,
}

/// Applies a submission in a slot and counts it by its `id`, or by its whole text without
/// one. Refuses it if closed or without a free slot; no answer with `lose_answers`.
async fn submit(inner: &Inner, body: &[u8]) -> Reply {
    let Ok(call) = serde_json::from_slice::<SubmitCall<'_>>(body) else {
        return reply(
            StatusCode::BAD_REQUEST,
            &json!({ "error": "not a submit call" }),
        );
    };
    count_late_call(inner);
    wait_unfrozen(inner).await;
    if inner.config.borrow().closed {
        return refuse(inner, "draining");
    }
    let Some(_slot) = acquire_slot(inner, call.deadline_ms).await else {
        return refuse(inner, "shed");
    };
    sleep(inner.service_time()).await;
    wait_unfrozen(inner).await;
    let id = serde_json::from_str::<Identified>(call.body.get()).map(|i| i.id);
    let id = id.unwrap_or_else(|_| call.body.get().to_owned());
    *lock(&inner.counters).applied.entry(id).or_default() += 1;
    if inner.config.borrow().lose_answers {
        std::future::pending::<()>().await;
    }
    reply(
        StatusCode::OK,
        &json!({ "accepted": true, "leaf": inner.id }),
    )
}

/// Waits until the leaf is not frozen.
async fn wait_unfrozen(inner: &Inner) {
    let mut config = inner.config.subscribe();
    let _ = config.wait_for(|config| !config.frozen).await;
}

/// Acquires a slot; `None` if the queue is full or the deadline expires first.
async fn acquire_slot(inner: &Inner, deadline_ms: u64) -> Option<tokio::sync::SemaphorePermit<'_>> {
    if let Ok(slot) = inner.slots.try_acquire() {
        return Some(slot);
    }
    let _waiting = Waiting::enter(inner)?;
    let wait = Duration::from_millis(deadline_ms);
    tokio::time::timeout(wait, inner.slots.acquire())
        .await
        .ok()?
        .ok()
}

/// Counts a call that waits for a slot, until dropped.
struct Waiting<'a>(&'a Inner);

impl<'a> Waiting<'a> {
    /// Joins the queue; `None` if it is full.
    fn enter(inner: &'a Inner) -> Option<Self> {
        let limit = inner.config.borrow().queue;
        let waiting = inner.waiting.fetch_add(1, Ordering::Relaxed);
        let entered = Self(inner);
        (waiting < limit).then_some(entered)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a call as late if it came more than [`LEAVE_GRACE`] after the leaf began to
/// drain or closed.
fn count_late_call(inner: &Inner) {
    let left_at = *lock(&inner.left_at);
    if left_at.is_some_and(|at| at.elapsed() > LEAVE_GRACE) {
        lock(&inner.counters).late_calls += 1;
    }
}

/// Reports health, load and index versions; inverted if the config says `lies`.
fn state(inner: &Inner) -> Reply {
    let config = inner.config.borrow();
    let busy = inner.slot_count - inner.slots.available_permits();
    let load = busy as f64 / inner.slot_count.max(1) as f64;
    let versions: Vec<_> = config.shards.keys().copied().collect();
    let body = if config.lies {
        json!({ "healthy": load > 0.5, "draining": false, "load": 1.0 - load, "versions": versions })
    } else {
        json!({ "healthy": true, "draining": config.draining || config.closed, "load": load,
            "versions": versions })
    };
    reply(StatusCode::OK, &body)
}

/// Counts a refusal and answers 503: the call was not run, for `reason`.
fn refuse(inner: &Inner, reason: &str) -> Reply {
    lock(&inner.counters).refused += 1;
    let body = json!({ "not_run": true, "refused": reason });
    reply(StatusCode::SERVICE_UNAVAILABLE, &body)
}

/// Builds a response with `body` as JSON.
fn reply<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    let text = serde_json::to_vec(body).expect("plain JSON");
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = status;
    reply
}
