//! HTTP/1.1 client for back ends, with a connection pool for each leaf. A connection
//! carries one request at a time and is reused only while that is safe.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use chestnut_book::RetrySafety;
use chestnut_unit::{LeafId, Time, lock};
use displaydoc::Display;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::HeaderName,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

use crate::{
    Clock, LeafCall, Listening, Message, Purpose, ReceiveError, TcpLiveness, Traffic, TrafficMeter,
    head_limit::{HeadBudget, HeadLimited},
    traffic::Metered,
};

/// Timeouts, body limit and TCP keep-alive of [`HttpPool`].
#[derive(Clone, Copy, Debug)]
pub struct HttpPoolConfig {
    /// Timeout for opening a connection. Should be far above the time of a handshake
    /// and far below the shortest deadline of a request.
    pub connect_timeout: Duration,
    /// Maximum size of a response body, in bytes.
    pub max_body: usize,
    /// Idle timeout of a connection if the back end sends no `Keep-Alive` header.
    pub idle_timeout: Duration,
    /// How dead connections are detected.
    pub keepalive: TcpLiveness,
}

impl Default for HttpPoolConfig {
    /// A connect timeout of 300 ms, responses of at most 8 MiB, an idle timeout of 10 s.
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            max_body: 8 << 20,
            idle_timeout: Duration::from_secs(10),
            keepalive: TcpLiveness::default(),
        }
    }
}

/// Subtracted from the idle timeout of a back end, whose timer starts before ours: a
/// request sent while it closes the connection may or may not have run.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Largest read buffer of a connection, and largest head of a response, in bytes. Each open
/// connection keeps its buffer.
const READ_BUFFER_MAX: usize = 64 << 10;
/// Most bytes from a back end before the head of its response ends, with all interim responses.
const HEAD_BYTES_MAX: usize = 4 * READ_BUFFER_MAX;

/// Why an exchange returned no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ExchangeError {
    /// nothing was sent: all permitted connections are in use
    AtCapacity,
    /// nothing was sent: the time limit passed before a connection was available
    TooLate,
    /// nothing was sent: no connection could be opened
    Unsent,
    /// the request was sent, but no complete response arrived
    Lost,
}

impl std::error::Error for ExchangeError {}

/// Checks whether anything listens at `address` by opening a connection and closing it.
/// Has no timeout of its own.
pub async fn check_listening(address: SocketAddr) -> Listening {
    match TcpStream::connect(address).await {
        Ok(_) => Listening::Yes,
        Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => Listening::No,
        Err(_) => Listening::Unknown,
    }
}

/// An idle connection in a pool: its sender, the task that drives it, since when it is
/// idle and when it expires.
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    head: HeadBudget,
    responses: Responses,
    task: AbortHandle,
    since: Time,
    expires: Time,
}

/// The connection pool of one leaf: its idle connections, the number open (idle, in use
/// or being opened), and the number of attempts to open one so far.
struct Conns {
    idle: Vec<Idle>,
    open: usize,
    opened: u64,
    /// Distinguishes this pool from an earlier one of the same leaf, whose
    /// connections may still be in use.
    generation: u64,
}

impl Conns {
    /// Creates an empty pool.
    fn new(generation: u64) -> Self {
        Self {
            idle: Vec::new(),
            open: 0,
            opened: 0,
            generation,
        }
    }
}

/// What the clones of an [`HttpPool`] share, with the pools by leaf.
struct Inner {
    config: HttpPoolConfig,
    clock: Clock,
    traffic: Arc<Traffic>,
    leafs: Mutex<BTreeMap<LeafId, Conns>>,
    /// The next generation of a [`Conns`].
    generations: AtomicU64,
}

/// An HTTP/1.1 client for back ends that pools connections.
#[derive(Clone)]
pub struct HttpPool {
    inner: Arc<Inner>,
}

impl HttpPool {
    /// Creates a client without connections. Their bytes are counted in `traffic`.
    #[must_use]
    pub fn new(config: HttpPoolConfig, clock: Clock, traffic: Arc<Traffic>) -> Self {
        let inner = Inner {
            config,
            clock,
            traffic,
            leafs: Mutex::new(BTreeMap::new()),
            generations: AtomicU64::new(0),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Sends `request`, the HTTP form of `call`, on a connection that carries no other
    /// request, within the call's limits on connections and idle time. Dropping the
    /// future closes the connection, which cancels the request. There is no timeout for
    /// the response. If a reused connection turns out closed, another one is tried.
    ///
    /// # Errors
    ///
    /// Fails if no complete response within the size limit arrives; the error says whether
    /// the request was sent.
    pub async fn exchange(
        &self,
        call: &LeafCall,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, ExchangeError> {
        let mut request = request;
        loop {
            let mut checkout = self.checkout(call).await?;
            if self.inner.clock.now() >= call.send_before {
                return Err(ExchangeError::TooLate);
            }
            checkout.head.start(HEAD_BYTES_MAX);
            let sent = checkout.sender.try_send_request(request).await;
            checkout.head.end();
            match sent {
                Ok(answer) => return self.read(call, checkout, answer).await,
                // The connection closed before anything was written.
                Err(mut error) => match error.take_message() {
                    Some(unsent) if checkout.reused => request = unsent,
                    Some(_) => return Err(ExchangeError::Unsent),
                    None => return Err(ExchangeError::Lost),
                },
            }
        }
    }

    /// Reads the body of a response; [`ExchangeError::Lost`] if its status is none, or if it is
    /// incomplete or larger than the limit. Never returns if the call's client has to go, which drops the future.
    async fn read(
        &self,
        call: &LeafCall,
        checkout: Checkout,
        answer: Response<Incoming>,
    ) -> Result<Exchange, ExchangeError> {
        let (mut parts, body) = answer.into_parts();
        if !is_final(parts.status) {
            return Err(ExchangeError::Lost);
        }
        // The reason phrase means nothing, and callers may show or parse it.
        parts.extensions.clear();
        let body = call.request.client.read(body, self.inner.config.max_body);
        match body.await {
            Ok(body) => Ok(Exchange {
                answer: Response::from_parts(parts, body),
                checkout,
            }),
            Err(ReceiveError::Evicted) => std::future::pending().await,
            Err(_) => Err(ExchangeError::Lost),
        }
    }

    /// Takes the connection released last from the pool, or opens one. Closes those it finds
    /// broken, expired, of no use for the call's kind, or idle for more than `max_idle` of the call. Fails with
    /// `AtCapacity` at its `max_connections`, and `Unsent` if none can be opened.
    async fn checkout(&self, call: &LeafCall) -> Result<Checkout, ExchangeError> {
        let leaf = &call.leaf;
        let now = self.inner.clock.now();
        let mut slot = {
            let mut leafs = lock(&self.inner.leafs);
            let generations = &self.inner.generations;
            let conns = leafs
                .entry(leaf.clone())
                .or_insert_with(|| Conns::new(generations.fetch_add(1, Ordering::Relaxed)));
            let generation = conns.generation;
            while let Some(idle) = conns.idle.pop() {
                let usable =
                    idle.sender.is_ready() && now < idle.expires && idle.responses.suit(call.kind);
                if usable && now.since(idle.since) <= call.max_idle {
                    let slot = Slot::new(self, leaf, generation, Some(idle.task));
                    return Ok(Checkout {
                        sender: idle.sender,
                        head: idle.head,
                        responses: idle.responses,
                        reused: true,
                        slot,
                    });
                }
                idle.task.abort();
                conns.open = conns.open.saturating_sub(1);
            }
            if conns.open >= call.max_connections {
                return Err(ExchangeError::AtCapacity);
            }
            conns.open += 1;
            conns.opened += 1;
            Slot::new(self, leaf, generation, None)
        };
        let opened = timeout(self.inner.config.connect_timeout, self.open(call)).await;
        match opened {
            Ok(Ok((sender, head, task))) => {
                slot.task = Some(task);
                Ok(Checkout {
                    sender,
                    head,
                    responses: Responses::Identified,
                    reused: false,
                    slot,
                })
            }
            Ok(Err(_)) | Err(_) => Err(ExchangeError::Unsent),
        }
    }

    /// Opens a connection with TCP keep-alive, performs the HTTP/1.1 handshake, and spawns
    /// the task that drives it. Its bytes are counted as traffic with leafs.
    async fn open(
        &self,
        call: &LeafCall,
    ) -> std::io::Result<(SendRequest<Full<Bytes>>, HeadBudget, AbortHandle)> {
        let stream = TcpStream::connect(call.address).await?;
        self.inner.config.keepalive.apply(&stream)?;
        let meter = TrafficMeter {
            traffic: self.inner.traffic.clone(),
            purpose: Purpose::Leafs,
            distance: call.distance,
        };
        let head = HeadBudget::unlimited();
        let stream = HeadLimited::new(Metered::new(stream, meter), head.clone());
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // An error surfaces in the exchange on the connection; a closed idle
            // connection is discarded when it is next taken from the pool.
            let _ = conn.await;
        });
        Ok((sender, head, task.abort_handle()))
    }

    /// Closes the idle connections to a leaf that has left and drops its pool. Connections
    /// in use are closed after their exchange.
    pub fn remove(&self, leaf: &LeafId) {
        let mut leafs = lock(&self.inner.leafs);
        if let Some(conns) = leafs.remove(leaf) {
            for idle in conns.idle {
                idle.task.abort();
            }
        }
    }

    /// Returns, over the pools of current leafs, the attempts to open a connection so far
    /// and the connections that are open or being opened.
    #[must_use]
    pub fn counts(&self) -> (u64, usize) {
        let leafs = lock(&self.inner.leafs);
        let opened = leafs.values().map(|conns| conns.opened).sum();
        (opened, leafs.values().map(|conns| conns.open).sum())
    }
}

/// Returns whether `status` ends a request. A back end in trouble may send others, such as 101,
/// after which a caller would speak another protocol, or 999, which has no meaning; what else the
/// response says can't be believed either.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// A slot in the connection limit of a leaf, with the connection that uses it.
/// Dropping it closes the connection and frees the slot.
struct Slot {
    pool: HttpPool,
    leaf: LeafId,
    /// Generation of the [`Conns`] that it belongs to.
    generation: u64,
    task: Option<AbortHandle>,
    /// Whether the connection went back to the pool, so that dropping the slot has no effect.
    pooled: bool,
}

impl Slot {
    /// Takes over a slot that is counted already; `task` drives its connection, if open.
    fn new(pool: &HttpPool, leaf: &LeafId, generation: u64, task: Option<AbortHandle>) -> Self {
        Self {
            pool: pool.clone(),
            leaf: leaf.clone(),
            generation,
            task,
            pooled: false,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.pooled {
            return;
        }
        if let Some(task) = &self.task {
            task.abort();
        }
        let mut leafs = lock(&self.pool.inner.leafs);
        let conns = leafs.get_mut(&self.leaf);
        if let Some(conns) = conns.filter(|conns| conns.generation == self.generation) {
            conns.open = conns.open.saturating_sub(1);
        }
    }
}

/// Whether the responses on a connection name the requests that they belong to.
///
/// A back end may send a response twice. The copy comes where the next response is expected, and
/// without a name it counts for the next request: a refusal then says of a request that runs that
/// it has not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Responses {
    /// All have named their request.
    Identified,
    /// At least one has not.
    Anonymous,
}

impl Responses {
    /// Whether a request of this kind may follow on the connection.
    fn suit(self, kind: RetrySafety) -> bool {
        self == Self::Identified || kind == RetrySafety::Idempotent
    }
}

/// A connection in use by one exchange. `reused` tells whether it came from the pool.
struct Checkout {
    sender: SendRequest<Full<Bytes>>,
    head: HeadBudget,
    responses: Responses,
    reused: bool,
    slot: Slot,
}

/// A complete response and its connection. The connection is closed unless
/// [`Exchange::release`] confirms that the response belongs to the request. After a
/// stray response, the right one may follow and be taken for that of the next
/// request on the connection.
pub struct Exchange {
    /// The response.
    pub answer: Response<Message>,
    checkout: Checkout,
}

impl Exchange {
    /// Yields the response, which may name its request or not (`response`), and returns the
    /// connection to the pool, or closes it if the leaf's pool was dropped since. It expires after the response's `Keep-Alive` timeout,
    /// or else the configured idle timeout, less half a second.
    #[must_use]
    pub fn release(self, response: Responses) -> Response<Message> {
        let Self { answer, checkout } = self;
        let Checkout {
            sender,
            head,
            responses,
            mut slot,
            ..
        } = checkout;
        let pool = slot.pool.clone();
        let idle = keep_alive_timeout(&answer).unwrap_or(pool.inner.config.idle_timeout);
        let now = pool.inner.clock.now();
        let expires = now + idle.saturating_sub(IDLE_MARGIN);
        let mut leafs = lock(&pool.inner.leafs);
        // A connection to an earlier incarnation must not enter the new pool: calls on
        // it would reach a stopped process, or another one at the same address.
        let generation = slot.generation;
        let conns = leafs.get_mut(&slot.leaf);
        let conns = conns.filter(|conns| conns.generation == generation);
        let (Some(conns), Some(task)) = (conns, slot.task.clone()) else {
            drop(leafs);
            return answer;
        };
        slot.pooled = true;
        conns.idle.push(Idle {
            sender,
            head,
            responses: responses.max(response),
            task,
            since: now,
            expires,
        });
        answer
    }
}

/// Header by which a back end states its idle timeout.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Returns the `timeout` parameter (in seconds) of a response's `Keep-Alive` header;
/// `None` if it is missing or invalid.
fn keep_alive_timeout(answer: &Response<Message>) -> Option<Duration> {
    let text = answer.headers().get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| {
        let (key, value) = part.split_once('=')?;
        (key.trim().eq_ignore_ascii_case("timeout")).then(|| value.trim().parse().ok())?
    });
    seconds.map(Duration::from_secs)
}
