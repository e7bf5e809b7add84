//! HTTP server that simulates the platform: object store, watches, list of VMs.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use chestnut_conf::{ObjectKey, ObjectKind};
use chestnut_port::{Clock, PlatformError, decode_segments};
use chestnut_unit::lock;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use serde::Serialize;
use serde_json::json;
use tokio::{
    net::TcpListener,
    sync::Notify,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{DeploymentSpec, Store};

/// Maximum wait of a watch.
const WATCH_MAX: Duration = Duration::from_secs(60);

/// Store, wake-up for watches and clock, shared by all connections.
struct Inner {
    store: Mutex<Store>,
    changed: Notify,
    clock: Clock,
}

/// Simulated platform server, stopped on drop.
pub struct PlatformServer {
    inner: Arc<Inner>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// HTTP response with a JSON body.
type Reply = Response<Full<Bytes>>;

impl PlatformServer {
    /// Starts a server with an empty object store.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let inner = Arc::new(Inner {
            store: Mutex::new(Store::default()),
            changed: Notify::new(),
            clock: Clock::start(),
        });
        let task = tokio::spawn(accept(listener, inner.clone()));
        Ok(Self {
            inner,
            address,
            task,
        })
    }

    /// Starts a server with the services, layouts and VMs of `spec`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind_deployment(spec: &DeploymentSpec) -> io::Result<Self> {
        let server = Self::bind(spec.platform).await?;
        {
            let mut store = server.store();
            for (key, value) in spec.objects() {
                store.put(key, 0, value).map_err(io::Error::other)?;
            }
            store.set_vms(spec.vms(), server.inner.clock.now());
        }
        Ok(server)
    }

    /// Returns the address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Locks and returns the store, for tests in the same process.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        lock(&self.inner.store)
    }

    /// Runs the server; it does not end by itself.
    pub async fn run(mut self) {
        let _ = (&mut self.task).await;
    }
}

/// Accepts connections without end and serves each in a task of its own.
async fn accept(listener: TcpListener, inner: Arc<Inner>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let inner = inner.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let inner = inner.clone();
                async move { Ok::<_, std::convert::Infallible>(handle(&inner, request).await) }
            });
            let _ = auto::Builder::new(TokioExecutor::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Routes a request: `/control/...` at once; reads, writes and watches after the
/// injected delay. 404 for other paths, 400 if the body can't be read.
async fn handle(inner: &Inner, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or("").to_owned();
    let method = request.method().clone();
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return reply(StatusCode::BAD_REQUEST, &json!({ "error": "no body" })),
    };
    let Some(segments) = decode_segments(&path) else {
        return not_found();
    };
    let parts: Vec<&str> = segments.iter().map(String::as_str).collect();
    if parts.first() == Some(&"control") {
        return control(inner, &method, &parts, &body);
    }
    let slow = lock(&inner.store).fault.slow_ms;
    sleep(Duration::from_millis(slow)).await;
    match (method, parts.as_slice()) {
        (Method::GET, ["vms"]) => {
            let now = inner.clock.now();
            answer(lock(&inner.store).vms(now))
        }
        (Method::GET, ["objects", kind]) => match kind.parse() {
            Ok(kind) => answer(lock(&inner.store).list(kind)),
            Err(_) => not_found(),
        },
        (Method::GET, ["objects", kind, name]) => match object_key(kind, name) {
            Some(key) => found(lock(&inner.store).get(&key)),
            None => not_found(),
        },
        (Method::PUT, ["objects", kind, name]) => match object_key(kind, name) {
            Some(key) => put(inner, key, &query, &body),
            None => not_found(),
        },
        (Method::GET, ["watch", kind]) => match kind.parse() {
            Ok(kind) => watch(inner, kind, &query).await,
            Err(_) => not_found(),
        },
        _ => not_found(),
    }
}

/// Returns the key of an object; `None` if there is no such kind.
fn object_key(kind: &str, name: &str) -> Option<ObjectKey> {
    Some(ObjectKey {
        kind: kind.parse().ok()?,
        name: name.to_owned(),
    })
}

/// Writes an object if its version is `if_version` (0 or not given: absent) and wakes the
/// watches. Answers the new version, 400 if the body is not JSON, or as [`answer`].
fn put(inner: &Inner, key: ObjectKey, query: &str, body: &[u8]) -> Reply {
    let Ok(value) = serde_json::from_slice(body) else {
        return reply(StatusCode::BAD_REQUEST, &json!({ "error": "not JSON" }));
    };
    let expected = param(query, "if_version").unwrap_or(0);
    let written = lock(&inner.store).put(key, expected, value);
    inner.changed.notify_waiters();
    answer(written.map(|version| json!({ "version": version })))
}

/// Answers the changes after revision `after`, at the latest after `wait_ms` (at most
/// [`WATCH_MAX`]), then without objects (long polling).
async fn watch(inner: &Inner, kind: ObjectKind, query: &str) -> Reply {
    let after = param(query, "after").unwrap_or(0);
    let wait = Duration::from_millis(param(query, "wait_ms").unwrap_or(0)).min(WATCH_MAX);
    lock(&inner.store).counts.watches += 1;
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let changed = inner.changed.notified();
        let changes = lock(&inner.store).changes(kind, after);
        match &changes {
            Ok(some) if some.objects.is_empty() && tokio::time::Instant::now() < deadline => {}
            _ => return answer(changes),
        }
        let left = deadline - tokio::time::Instant::now();
        let _ = timeout(left, changed).await;
    }
}

/// Serves the control endpoints, not subject to faults: read or replace the VMs, set the
/// fault, read the call counts. 400 for an invalid body, 404 for other paths.
fn control(inner: &Inner, method: &Method, parts: &[&str], body: &[u8]) -> Reply {
    let invalid =
        |e: serde_json::Error| reply(StatusCode::BAD_REQUEST, &json!({ "error": e.to_string() }));
    match (method, parts) {
        (&Method::PUT, ["control", "vms"]) => match serde_json::from_slice(body) {
            Ok(vms) => {
                lock(&inner.store).set_vms(vms, inner.clock.now());
                reply(StatusCode::OK, &json!({}))
            }
            Err(error) => invalid(error),
        },
        (&Method::GET, ["control", "vms"]) => reply(StatusCode::OK, &lock(&inner.store).last_vms()),
        (&Method::PUT, ["control", "fault"]) => match serde_json::from_slice(body) {
            Ok(fault) => {
                lock(&inner.store).fault = fault;
                // Waiting watches fail at once in an outage.
                inner.changed.notify_waiters();
                reply(StatusCode::OK, &json!({}))
            }
            Err(error) => invalid(error),
        },
        (&Method::GET, ["control", "counts"]) => reply(StatusCode::OK, &lock(&inner.store).counts),
        _ => not_found(),
    }
}

/// Returns a numeric parameter of the query string; `None` if missing or not a number.
fn param(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Maps a result of the store to a response: 200 with the value, 409 with the current
/// version for a conflict, 503 with the message for any other error.
fn answer<T: Serialize>(result: Result<T, PlatformError>) -> Reply {
    match result {
        Ok(value) => reply(StatusCode::OK, &value),
        Err(PlatformError::Conflict { current }) => {
            reply(StatusCode::CONFLICT, &json!({ "version": current }))
        }
        Err(error) => {
            let body = json!({ "error": error.to_string() });
            reply(StatusCode::SERVICE_UNAVAILABLE, &body)
        }
    }
}

/// Like [`answer`], with 404 for a missing object.
fn found<T: Serialize>(result: Result<Option<T>, PlatformError>) -> Reply {
    match result {
        Ok(None) => not_found(),
        other => answer(other),
    }
}

/// Builds a 404 response.
fn not_found() -> Reply {
    reply(StatusCode::NOT_FOUND, &json!({ "error": "not found" }))
}

/// Builds a response with `body` as JSON.
fn reply<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    let text = serde_json::to_vec(body).expect("plain JSON");
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = status;
    reply
}
