//! The adapter to targets: HTTP/2 with prior knowledge.

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

use crate::{Clock, LeafAnswer, LeafQuery, LeafState, LeafSubmit, Targets};

/// Parameters of the adapter.
#[derive(Clone, Copy, Debug)]
pub struct TargetsConfig {
    /// Longest wait for a connection to open.
    pub connect: Duration,
    /// Time between two pings of a connection.
    pub ping: Duration,
    /// Longest wait for the answer to a ping. A connection that is silent is
    /// closed after `ping` and this together.
    pub pong: Duration,
    /// Largest answer.
    pub answer: usize,
}

impl Default for TargetsConfig {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            ping: Duration::from_millis(500),
            pong: Duration::from_secs(1),
            answer: 4 << 20,
        }
    }
}

/// Longest wait for the answer to a probe of a quiet connection.
const PROBE_WAIT: Duration = Duration::from_millis(50);
/// Longest wait for a leaf's health and load endpoint.
const STATE_WAIT: Duration = Duration::from_secs(1);

type Sender = http2::SendRequest<Full<Bytes>>;

/// An open connection. Aborting its task ends every call on it at once.
struct Open {
    sender: Sender,
    task: AbortHandle,
}

/// Connections to one leaf.
struct LeafConns {
    address: SocketAddr,
    pool: Mutex<(Pool, BTreeMap<ConnId, Open>)>,
    opened: Notify,
    /// Connections that were closed for their silence. Calls on them ask.
    silenced: Mutex<BTreeSet<ConnId>>,
}

struct Inner {
    config: TargetsConfig,
    clock: Clock,
    leafs: Mutex<BTreeMap<LeafId, Arc<LeafConns>>>,
    most: AtomicUsize,
    share: usize,
}

/// The adapter to targets. Lock order: the map of leafs, then one leaf's pool.
#[derive(Clone)]
pub struct HttpTargets {
    inner: Arc<Inner>,
}

impl HttpTargets {
    /// An adapter without connections, which opens at most `most` to a leaf,
    /// and up to `share` while some are quiet.
    #[must_use]
    pub fn new(config: TargetsConfig, clock: Clock, most: usize, share: usize) -> Self {
        let inner = Inner {
            config,
            clock,
            leafs: Mutex::new(BTreeMap::new()),
            most: most.into(),
            share,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    fn leaf(&self, id: &LeafId, address: SocketAddr) -> Arc<LeafConns> {
        let mut leafs = lock(&self.inner.leafs);
        if let Some(leaf) = leafs.get(id)
            && leaf.address == address
        {
            return leaf.clone();
        }
        let most = self.inner.most.load(Ordering::Relaxed);
        let pool = Pool::new(most, self.inner.share.saturating_sub(most));
        let leaf = Arc::new(LeafConns {
            address,
            pool: Mutex::new((pool, BTreeMap::new())),
            opened: Notify::new(),
            silenced: Mutex::new(BTreeSet::new()),
        });
        leafs.insert(id.clone(), leaf.clone());
        leaf
    }

    /// A connection that can carry a call now. Until it is used nothing has
    /// been handed over, so every failure here is [`Failure::NotSent`].
    async fn connection(&self, leaf: &Arc<LeafConns>) -> Result<(ConnId, Sender), Failure> {
        loop {
            let opened = leaf.opened.notified();
            let pick = lock(&leaf.pool).0.pick(self.inner.clock.now());
            let id = match pick {
                Pick::Use(id) => id,
                Pick::Open(id) => {
                    let (this, leaf) = (self.clone(), leaf.clone());
                    // In a task of its own: a call that is cancelled must not
                    // leave the pool waiting for a connection that nobody opens.
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
            match usable(leaf, id) {
                Some(sender) => return Ok((id, sender)),
                None => lock(&leaf.pool).0.closed(id),
            }
        }
    }

    async fn open(&self, leaf: &Arc<LeafConns>, id: ConnId) {
        let connected = timeout(self.inner.config.connect, self.handshake(leaf, id)).await;
        let quiet = self.settle(leaf, id, connected.ok().and_then(Result::ok));
        leaf.opened.notify_waiters();
        for id in quiet {
            self.question(leaf, id).await;
        }
    }

    /// Notes how the opening of a connection went; returns the quiet ones.
    fn settle(&self, leaf: &LeafConns, id: ConnId, opened: Option<Open>) -> Vec<ConnId> {
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

    /// Tells slow from silent: a connection that does not even answer a small
    /// call, while a new one could be opened, is closed.
    async fn question(&self, leaf: &Arc<LeafConns>, id: ConnId) {
        let Some(mut sender) = usable(leaf, id) else {
            return;
        };
        let Ok(request) = post(leaf, "/state", Vec::new()) else {
            return;
        };
        let answered = timeout(PROBE_WAIT, sender.send_request(request)).await;
        let mut pool = lock(&leaf.pool);
        if answered.is_ok() {
            pool.0.probe_answered(id, self.inner.clock.now());
            return;
        }
        pool.0.closed(id);
        lock(&leaf.silenced).insert(id);
        if let Some(open) = pool.1.remove(&id) {
            open.task.abort();
        }
    }

    /// Waits for an answer, and has the connections looked at when it is long
    /// in coming.
    async fn patiently<T>(&self, leaf: &Arc<LeafConns>, answer: impl Future<Output = T>) -> T {
        let mut answer = std::pin::pin!(answer);
        if let Ok(answer) = timeout(QUIET_TIMEOUT, &mut answer).await {
            return answer;
        }
        // A little later, so that the connection counts as quiet by now.
        tokio::time::sleep(Duration::from_millis(1)).await;
        let open = lock(&leaf.pool).0.check(self.inner.clock.now());
        if let Some(id) = open {
            let (this, leaf) = (self.clone(), leaf.clone());
            tokio::spawn(async move { this.open(&leaf, id).await });
        }
        answer.await
    }

    async fn handshake(&self, leaf: &Arc<LeafConns>, id: ConnId) -> Result<Open, HandshakeError> {
        let stream = TcpStream::connect(leaf.address)
            .await
            .map_err(|_| HandshakeError)?;
        stream.set_nodelay(true).map_err(|_| HandshakeError)?;
        let (sender, conn) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(self.inner.config.ping)
            .keep_alive_timeout(self.inner.config.pong)
            .keep_alive_while_idle(true)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| HandshakeError)?;
        let weak = Arc::downgrade(leaf);
        let task = tokio::spawn(async move {
            // The reason does not matter: each call on it learns its own fate.
            let _ = conn.await;
            if let Some(leaf) = weak.upgrade() {
                let mut pool = lock(&leaf.pool);
                pool.0.closed(id);
                pool.1.remove(&id);
            }
        });
        Ok(Open {
            sender,
            task: task.abort_handle(),
        })
    }

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
        let mut flight = Flight::start(leaf, id, self.inner.clock);
        let answer = self
            .patiently(leaf, sender.send_request(request))
            .await
            .map_err(|_| lost_on(leaf, id))?;
        let status = answer.status();
        let body = self
            .body(answer.into_body())
            .await
            .map_err(|_| lost_on(leaf, id))?;
        flight.answered();
        Ok((status, body))
    }

    async fn body(&self, body: Incoming) -> Result<Bytes, BrokenBody> {
        let limited = Limited::new(body, self.inner.config.answer);
        let collected = limited.collect().await.map_err(|_| BrokenBody)?;
        Ok(collected.to_bytes())
    }
}

/// A connection could not be opened; nothing more is known or needed.
struct HandshakeError;

/// An answer broke off or is larger than the limit.
struct BrokenBody;

/// How a call was lost: with a connection that was closed for its silence, or
/// otherwise.
fn lost_on(leaf: &LeafConns, id: ConnId) -> Failure {
    if lock(&leaf.silenced).contains(&id) {
        Failure::ConnectionSilent
    } else {
        Failure::Lost
    }
}

/// A call on a connection; tells the pool how it ended, also when the call is
/// cancelled by dropping it.
struct Flight {
    leaf: Arc<LeafConns>,
    id: ConnId,
    clock: Clock,
    over: bool,
}

impl Flight {
    fn start(leaf: &Arc<LeafConns>, id: ConnId, clock: Clock) -> Self {
        lock(&leaf.pool).0.sent(id, clock.now());
        Self {
            leaf: leaf.clone(),
            id,
            clock,
            over: false,
        }
    }

    fn answered(&mut self) {
        self.over = true;
        lock(&self.leaf.pool).0.answered(self.id, self.clock.now());
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        lock(&self.leaf.pool).0.abandoned(self.id);
    }
}

impl Targets for HttpTargets {
    fn query(&self, call: LeafQuery) -> BoxFuture<'_, Result<LeafAnswer, Failure>> {
        async move {
            let leaf = self.leaf(&call.leaf, call.address);
            let body = query_body(&call);
            let (status, answer) = self.call(&leaf, "/query", body).await?;
            if status != StatusCode::OK {
                return Err(refusal(&answer));
            }
            serde_json::from_slice(&answer).map_err(|_| Failure::Lost)
        }
        .boxed()
    }

    fn submit(&self, call: LeafSubmit) -> BoxFuture<'_, Result<Bytes, Failure>> {
        async move {
            let leaf = self.leaf(&call.leaf, call.address);
            let body = submit_body(&call);
            let (status, answer) = self.call(&leaf, "/submit", body).await?;
            if status == StatusCode::OK {
                Ok(answer)
            } else {
                Err(refusal(&answer))
            }
        }
        .boxed()
    }

    fn state(&self, leaf: LeafId, address: SocketAddr) -> BoxFuture<'_, Option<LeafState>> {
        async move {
            let leaf = self.leaf(&leaf, address);
            let call = self.call(&leaf, "/state", Vec::new());
            let (_, answer) = timeout(STATE_WAIT, call).await.ok()?.ok()?;
            serde_json::from_slice(&answer).ok()
        }
        .boxed()
    }

    fn hold(&self, held: Vec<(LeafId, SocketAddr)>, most: usize) {
        self.inner.most.store(most, Ordering::Relaxed);
        let spare = self.inner.share.saturating_sub(most);
        let keep: BTreeMap<LeafId, SocketAddr> = held.into_iter().collect();
        let kept: Vec<Arc<LeafConns>> = {
            let mut leafs = lock(&self.inner.leafs);
            leafs.retain(|id, leaf| keep.get(id) == Some(&leaf.address));
            leafs.values().cloned().collect()
        };
        for leaf in kept {
            lock(&leaf.pool).0.set_limits(most, spare);
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

fn usable(leaf: &LeafConns, id: ConnId) -> Option<Sender> {
    let pool = lock(&leaf.pool);
    let open = pool.1.get(&id).filter(|open| !open.sender.is_closed())?;
    Some(open.sender.clone())
}

fn post(leaf: &LeafConns, path: &str, body: Vec<u8>) -> Result<Request<Full<Bytes>>, Failure> {
    Request::post(format!("http://{}{path}", leaf.address))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|_| Failure::NotSent)
}

fn query_body(call: &LeafQuery) -> Vec<u8> {
    let mut body = format!(
        r#"{{"request":{},"service":"{}","version":{},"deadline_ms":{},"shards":["#,
        call.request.0,
        call.service,
        call.version.0,
        call.deadline.as_millis(),
    )
    .into_bytes();
    // Names hold no character that JSON would escape.
    for (number, shard) in call.shards.iter().enumerate() {
        let comma = if number == 0 { "\"" } else { ",\"" };
        body.extend_from_slice(comma.as_bytes());
        body.extend_from_slice(shard.as_str().as_bytes());
        body.push(b'"');
    }
    body.extend_from_slice(br#"],"query":"#);
    body.extend_from_slice(&call.body);
    body.push(b'}');
    body
}

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

#[derive(Deserialize)]
struct RefusalBody {
    not_run: bool,
    refused: String,
}

/// Reads a refusal. Only one that says "not run" by itself counts as such.
fn refusal(body: &[u8]) -> Failure {
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
