//! Client of leafs over HTTP/2 with prior knowledge, with a connection pool per
//! leaf.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use chestnut_route::{ConnId, Failure, Pick, Pool, QUIET_TIMEOUT, Refusal};
use chestnut_unit::{LeafId, lock};
use futures::{FutureExt, future::BoxFuture};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, body::Incoming, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde::Deserialize;
use tokio::{net::TcpStream, sync::Notify, task::AbortHandle, time::timeout};

use crate::{Clock, LeafAnswer, LeafQuery, LeafState, LeafSubmit, Targets, http_pool::is_final};

/// Connect timeout, keep-alive pings and answer size limit of [`HttpTargets`].
#[derive(Clone, Copy, Debug)]
pub struct TargetsConfig {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Interval of HTTP/2 keep-alive pings on a connection.
    pub ping_interval: Duration,
    /// Timeout of a ping. An unresponsive connection is closed after at most
    /// `ping_interval` and this together.
    pub ping_timeout: Duration,
    /// Largest answer body, in bytes.
    pub max_answer: usize,
}

impl Default for TargetsConfig {
    /// A connect timeout of 1 s, a ping each 500 ms with a timeout of 1 s, and answers of
    /// at most 4 MiB.
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            ping_interval: Duration::from_millis(500),
            ping_timeout: Duration::from_secs(1),
            max_answer: 4 << 20,
        }
    }
}

/// Timeout of the probe call on a quiet connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// Timeout of a call to a leaf's health and load endpoint.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends requests on one HTTP/2 connection.
type Sender = http2::SendRequest<Full<Bytes>>;

/// An open connection. Aborting its task ends every call on it at once.
struct OpenConn {
    sender: Sender,
    task: AbortHandle,
}

/// The connections to one leaf at one address: the pool that selects them and the open
/// ones. `opened` wakes calls that wait when an attempt to open one has ended.
struct LeafConns {
    address: SocketAddr,
    pool: Mutex<(Pool, BTreeMap<ConnId, OpenConn>)>,
    opened: Notify,
    /// Connections that were closed as unresponsive, for the error of their
    /// calls.
    unresponsive: Mutex<BTreeSet<ConnId>>,
}

/// What the clones of an [`HttpTargets`] share: configuration, clock, connection limits
/// and the pools by leaf.
struct Inner {
    config: TargetsConfig,
    clock: Clock,
    leafs: Mutex<BTreeMap<LeafId, Arc<LeafConns>>>,
    max_conns: AtomicUsize,
    share: usize,
}

/// HTTP/2 client of leafs. Lock order: the map of leafs, then one leaf's pool.
#[derive(Clone)]
pub struct HttpTargets {
    inner: Arc<Inner>,
}

impl HttpTargets {
    /// Creates a client without connections. It opens at most `max_conns` to a
    /// leaf, and up to `share` while those are quiet (no answer to pending
    /// calls).
    #[must_use]
    pub fn new(config: TargetsConfig, clock: Clock, max_conns: usize, share: usize) -> Self {
        let inner = Inner {
            config,
            clock,
            leafs: Mutex::new(BTreeMap::new()),
            max_conns: max_conns.into(),
            share,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Returns the pool of a leaf; a leaf with a new address gets a new pool.
    fn leaf(&self, id: &LeafId, address: SocketAddr) -> Arc<LeafConns> {
        let mut leafs = lock(&self.inner.leafs);
        if let Some(leaf) = leafs.get(id)
            && leaf.address == address
        {
            return leaf.clone();
        }
        let max_conns = self.inner.max_conns.load(Ordering::Relaxed);
        let pool = Pool::new(max_conns, self.inner.share.saturating_sub(max_conns));
        let leaf = Arc::new(LeafConns {
            address,
            pool: Mutex::new((pool, BTreeMap::new())),
            opened: Notify::new(),
            unresponsive: Mutex::new(BTreeSet::new()),
        });
        leafs.insert(id.clone(), leaf.clone());
        leaf
    }

    /// Returns a connection for a call, opening one or waiting for one if needed. Its only
    /// failure is [`Failure::NotSent`], during the cooldown after failed attempts.
    async fn connection(&self, leaf: &Arc<LeafConns>) -> Result<(ConnId, Sender), Failure> {
        loop {
            let opened = leaf.opened.notified();
            let pick = lock(&leaf.pool).0.pick(self.inner.clock.now());
            let id = match pick {
                Pick::Use(id) => id,
                Pick::Open(id) => {
                    let (this, leaf) = (self.clone(), leaf.clone());
                    // In a separate task: if this call is cancelled, other
                    // calls still wait for the connection.
                    tokio::spawn(async move { this.open(&leaf, id).await });
                    opened.await;
                    continue;
                }
                Pick::Wait => {
                    opened.await;
                    continue;
                }
                Pick::Cooldown => return Err(Failure::NotSent),
            };
            match usable_sender(leaf, id) {
                Some(sender) => return Ok((id, sender)),
                None => lock(&leaf.pool).0.closed(id),
            }
        }
    }

    /// Opens the connection `id`, wakes waiting calls and probes quiet
    /// connections.
    async fn open(&self, leaf: &Arc<LeafConns>, id: ConnId) {
        let connected = timeout(self.inner.config.connect_timeout, self.connect(leaf, id)).await;
        let quiet = self.record_opened(leaf, id, connected.ok().and_then(Result::ok));
        leaf.opened.notify_waiters();
        for id in quiet {
            self.probe(leaf, id).await;
        }
    }

    /// Records in the pool whether the connection `id` could be opened (`None`: it could
    /// not); returns the quiet ones.
    fn record_opened(&self, leaf: &LeafConns, id: ConnId, opened: Option<OpenConn>) -> Vec<ConnId> {
        let now = self.inner.clock.now();
        let mut pool = lock(&leaf.pool);
        match opened {
            Some(open) => {
                pool.1.insert(id, open);
                pool.0.opened(id);
            }
            None => pool.0.refused(id, now),
        }
        pool.0.quiet(now)
    }

    /// Probes a quiet connection with a small call, and closes it if that has not ended
    /// within [`PROBE_TIMEOUT`]; a call that fails counts as answered. This distinguishes
    /// a slow leaf from an unresponsive connection.
    async fn probe(&self, leaf: &Arc<LeafConns>, id: ConnId) {
        let Some(mut sender) = usable_sender(leaf, id) else {
            return;
        };
        let Ok(request) = post(leaf, "/state", Vec::new()) else {
            return;
        };
        let answered = timeout(PROBE_TIMEOUT, sender.send_request(request)).await;
        let mut pool = lock(&leaf.pool);
        if answered.is_ok() {
            pool.0.probe_answered(id, self.inner.clock.now());
            return;
        }
        pool.0.closed(id);
        lock(&leaf.unresponsive).insert(id);
        if let Some(open) = pool.1.remove(&id) {
            open.task.abort();
        }
    }

    /// Waits for an answer. After [`QUIET_TIMEOUT`] it checks for quiet connections,
    /// and opens another if the pool asks for one.
    async fn await_answer<T>(&self, leaf: &Arc<LeafConns>, answer: impl Future<Output = T>) -> T {
        let mut answer = std::pin::pin!(answer);
        if let Ok(answer) = timeout(QUIET_TIMEOUT, &mut answer).await {
            return answer;
        }
        // Makes sure that the connection counts as quiet when it is checked.
        tokio::time::sleep(Duration::from_millis(1)).await;
        let open = lock(&leaf.pool).0.check(self.inner.clock.now());
        if let Some(id) = open {
            let (this, leaf) = (self.clone(), leaf.clone());
            tokio::spawn(async move { this.open(&leaf, id).await });
        }
        answer.await
    }

    /// Opens a connection and spawns the task that drives it.
    async fn connect(&self, leaf: &Arc<LeafConns>, id: ConnId) -> Result<OpenConn, ConnectError> {
        let stream = TcpStream::connect(leaf.address)
            .await
            .map_err(|_| ConnectError)?;
        stream.set_nodelay(true).map_err(|_| ConnectError)?;
        let (sender, conn) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(self.inner.config.ping_interval)
            .keep_alive_timeout(self.inner.config.ping_timeout)
            .keep_alive_while_idle(true)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ConnectError)?;
        let weak = Arc::downgrade(leaf);
        let task = tokio::spawn(async move {
            // The error is dropped, as each call on the connection gets its
            // own.
            let _ = conn.await;
            if let Some(leaf) = weak.upgrade() {
                let mut pool = lock(&leaf.pool);
                pool.0.closed(id);
                pool.1.remove(&id);
            }
        });
        Ok(OpenConn {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Sends a request to a leaf and reads the whole answer, whatever its status, but for one
    /// that is none. Has no timeout. Fails with [`Failure::NotSent`], or after sending as [`loss_kind`] says.
    async fn call(
        &self,
        leaf: &Arc<LeafConns>,
        path: &'static str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let (id, mut sender) = self.connection(leaf).await?;
        let request = post(leaf, path, body)?;
        if sender.ready().await.is_err() {
            lock(&leaf.pool).0.closed(id);
            return Err(Failure::NotSent);
        }
        let mut in_flight = InFlight::start(leaf, id, self.inner.clock);
        let answer = self
            .await_answer(leaf, sender.send_request(request))
            .await
            .map_err(|_| loss_kind(leaf, id))?;
        let status = answer.status();
        if !is_final(status) {
            return Err(loss_kind(leaf, id));
        }
        let body = self
            .body(answer.into_body())
            .await
            .map_err(|_| loss_kind(leaf, id))?;
        in_flight.answered();
        Ok((status, body))
    }

    /// Reads a whole answer body; fails if it is incomplete or larger than `max_answer`.
    async fn body(&self, body: Incoming) -> Result<Bytes, AnswerError> {
        let limited = Limited::new(body, self.inner.config.max_answer);
        let collected = limited.collect().await.map_err(|_| AnswerError)?;
        Ok(collected.to_bytes())
    }
}

/// A connection could not be opened, for any reason.
struct ConnectError;

/// An answer body is incomplete or larger than the limit.
struct AnswerError;

/// Returns the failure of a call that was sent on `id` and got no answer:
/// [`Failure::ConnectionSilent`] if the connection was closed as unresponsive.
fn loss_kind(leaf: &LeafConns, id: ConnId) -> Failure {
    if lock(&leaf.unresponsive).contains(&id) {
        Failure::ConnectionSilent
    } else {
        Failure::Lost
    }
}

/// A call in flight. Reports its end to the pool, also when it is dropped
/// because the call was cancelled or failed.
struct InFlight {
    leaf: Arc<LeafConns>,
    id: ConnId,
    clock: Clock,
    done: bool,
}

impl InFlight {
    /// Records in the pool that a call was sent on the connection `id`.
    fn start(leaf: &Arc<LeafConns>, id: ConnId, clock: Clock) -> Self {
        lock(&leaf.pool).0.sent(id, clock.now());
        Self {
            leaf: leaf.clone(),
            id,
            clock,
            done: false,
        }
    }

    /// Records in the pool that the call was answered.
    fn answered(&mut self) {
        self.done = true;
        lock(&self.leaf.pool).0.answered(self.id, self.clock.now());
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        lock(&self.leaf.pool).0.abandoned(self.id);
    }
}

impl Targets for HttpTargets {
    /// Posts to `/query`. An answer that can't be decoded is [`Failure::Lost`].
    fn query(&self, call: LeafQuery) -> BoxFuture<'_, Result<LeafAnswer, Failure>> {
        async move {
            let leaf = self.leaf(&call.leaf, call.address);
            let body = query_body(&call);
            let (status, answer) = self.call(&leaf, "/query", body).await?;
            if status != StatusCode::OK {
                return Err(parse_refusal(&answer));
            }
            serde_json::from_slice(&answer).map_err(|_| Failure::Lost)
        }
        .boxed()
    }

    /// Posts to `/submit` and returns the body of the answer as it is.
    fn submit(&self, call: LeafSubmit) -> BoxFuture<'_, Result<Bytes, Failure>> {
        async move {
            let leaf = self.leaf(&call.leaf, call.address);
            let body = submit_body(&call);
            let (status, answer) = self.call(&leaf, "/submit", body).await?;
            if status == StatusCode::OK {
                Ok(answer)
            } else {
                Err(parse_refusal(&answer))
            }
        }
        .boxed()
    }

    /// Posts to `/state` with a timeout of one second; the status is ignored.
    fn state(&self, leaf: LeafId, address: SocketAddr) -> BoxFuture<'_, Option<LeafState>> {
        async move {
            let leaf = self.leaf(&leaf, address);
            let call = self.call(&leaf, "/state", Vec::new());
            let (_, answer) = timeout(STATE_TIMEOUT, call).await.ok()?.ok()?;
            serde_json::from_slice(&answer).ok()
        }
        .boxed()
    }

    /// Spawns a task for each leaf that tries to open a connection unless there is one.
    /// Connections of dropped pools close when no call uses them.
    fn set_leafs(&self, wanted: Vec<(LeafId, SocketAddr)>, max_conns: usize) {
        self.inner.max_conns.store(max_conns, Ordering::Relaxed);
        let spare = self.inner.share.saturating_sub(max_conns);
        let keep: BTreeMap<LeafId, SocketAddr> = wanted.into_iter().collect();
        let kept: Vec<Arc<LeafConns>> = {
            let mut leafs = lock(&self.inner.leafs);
            leafs.retain(|id, leaf| keep.get(id) == Some(&leaf.address));
            leafs.values().cloned().collect()
        };
        for leaf in kept {
            lock(&leaf.pool).0.set_limits(max_conns, spare);
        }
        for (id, address) in keep {
            let this = self.clone();
            tokio::spawn(async move {
                let leaf = this.leaf(&id, address);
                let _ = this.connection(&leaf).await;
            });
        }
    }

    fn connections(&self) -> Vec<(LeafId, usize)> {
        let leafs = lock(&self.inner.leafs);
        leafs
            .iter()
            .map(|(id, leaf)| (id.clone(), lock(&leaf.pool).0.len()))
            .collect()
    }
}

/// Returns the sender of a connection; `None` if it is closed or not in the pool.
fn usable_sender(leaf: &LeafConns, id: ConnId) -> Option<Sender> {
    let pool = lock(&leaf.pool);
    let open = pool.1.get(&id).filter(|open| !open.sender.is_closed())?;
    Some(open.sender.clone())
}

/// Builds a POST request with a JSON body; [`Failure::NotSent`] if the path is invalid.
fn post(leaf: &LeafConns, path: &str, body: Vec<u8>) -> Result<Request<Full<Bytes>>, Failure> {
    Request::post(format!("http://{}{path}", leaf.address))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|_| Failure::NotSent)
}

/// Encodes the body of a query call. `call.body` is JSON already, so the object
/// is written by hand around it.
fn query_body(call: &LeafQuery) -> Vec<u8> {
    let mut body = format!(
        r#"{{"request":{},"service":"{}","version":{},"deadline_ms":{},"shards":["#,
        call.request.0,
        call.service,
        call.version.0,
        call.deadline.as_millis(),
    )
    .into_bytes();
    // Names contain no character that JSON has to escape.
    for (i, shard) in call.shards.iter().enumerate() {
        let comma = if i == 0 { "\"" } else { ",\"" };
        body.extend_from_slice(comma.as_bytes());
        body.extend_from_slice(shard.as_str().as_bytes());
        body.push(b'"');
    }
    body.extend_from_slice(br#"],"query":"#);
    body.extend_from_slice(&call.body);
    body.push(b'}');
    body
}

/// Encodes the body of a submission call, like [`query_body`].
fn submit_body(call: &LeafSubmit) -> Vec<u8> {
    let mut body = format!(
        r#"{{"request":{},"service":"{}","call":"{}","deadline_ms":{},"body":"#,
        call.request.0,
        call.service,
        call.call,
        call.deadline.as_millis(),
    )
    .into_bytes();
    body.extend_from_slice(&call.body);
    body.push(b'}');
    body
}

/// Body of an answer by which a leaf refuses a call.
#[derive(Deserialize)]
struct RefusalBody {
    not_run: bool,
    refused: String,
}

/// Decodes a refusal. Unless it states that the call did not run, the call may have run
/// and is [`Failure::Lost`]. An unknown reason is read as [`Refusal::Shed`].
fn parse_refusal(body: &[u8]) -> Failure {
    let Ok(refusal) = serde_json::from_slice::<RefusalBody>(body) else {
        return Failure::Lost;
    };
    if !refusal.not_run {
        return Failure::Lost;
    }
    Failure::Refused(match refusal.refused.as_str() {
        "connections" => Refusal::Connections,
        "draining" => Refusal::Draining,
        "no_snapshot" => Refusal::NoSnapshot,
        "deadline" => Refusal::Deadline,
        _ => Refusal::Shed,
    })
}
