//! Simulated leaf: a back-end server with configurable latency and faults.

mod calls;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use chestnut_unit::{IndexVersion, LeafId, ShardName, lock};
use http_body_util::Full;
use hyper::{Response, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    task::JoinHandle,
    time::sleep,
};

use crate::{LeafSpec, Stall, stall::StallableStream};

/// Configures a simulated leaf; can be changed while it runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetConfig {
    /// Median service time of a call, in milliseconds.
    pub median_ms: f64,
    /// Fraction of calls that are stragglers.
    pub straggle: f64,
    /// Factor on the service time of stragglers.
    pub factor: f64,
    /// Factor on the service time of every call.
    pub slow: f64,
    /// Maximum number of calls that wait for a slot; further ones are shed.
    pub queue: usize,
    /// Time to open a connection, in milliseconds.
    pub open_ms: u64,
    /// Maximum open connections.
    pub connections: usize,
    /// Whether it reports that it is draining.
    pub draining: bool,
    /// Whether it refuses new calls with the reason `draining`.
    pub closed: bool,
    /// Whether submissions take effect but are never answered.
    pub lose_answers: bool,
    /// Whether its state endpoint reports inverted health and load.
    pub lies: bool,
    /// Whether calls block until this is cleared.
    pub frozen: bool,
    /// Shards that it holds, by index version.
    pub shards: BTreeMap<IndexVersion, Vec<ShardName>>,
}

impl Default for TargetConfig {
    /// A median service time of 1 ms, a queue of 64 calls, up to 40 connections, no faults
    /// and no shards.
    fn default() -> Self {
        Self {
            median_ms: 1.0,
            straggle: 0.0,
            factor: 1.0,
            slow: 1.0,
            queue: 64,
            open_ms: 0,
            connections: 40,
            draining: false,
            closed: false,
            lose_answers: false,
            lies: false,
            frozen: false,
            shards: BTreeMap::new(),
        }
    }
}

/// Counters of a simulated leaf.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafCounters {
    /// Query calls completed.
    pub queries: u64,
    /// Calls refused without running them.
    pub refused: u64,
    /// Number of times each submission took effect, by its `id` field.
    pub applied: BTreeMap<String, u64>,
    /// Open connections.
    pub connections: usize,
    /// Peak number of open connections.
    pub connections_peak: usize,
    /// Calls received while draining or closed, later than three seconds after
    /// that began.
    pub late_calls: u64,
}

/// A leaf's configuration, slots and counters, and the switches that make its connections
/// unresponsive; shared by all connections.
struct Inner {
    id: LeafId,
    config: watch::Sender<TargetConfig>,
    slots: Semaphore,
    slot_count: usize,
    counters: Mutex<LeafCounters>,
    stalls: Mutex<Vec<Stall>>,
    left_at: Mutex<Option<tokio::time::Instant>>,
    rng_count: AtomicU64,
    waiting: AtomicUsize,
}

/// Time after a leaf begins to drain or closes, within which calls are not late:
/// entries need it to learn of the change.
const LEAVE_GRACE: Duration = Duration::from_secs(3);
/// Standard deviation of the logarithm of the service time (log-normal).
const LOG_STD_DEV: f64 = 0.25;

/// Simulated leaf, stopped on drop along with its connections.
pub struct TargetServer {
    inner: Arc<Inner>,
    address: SocketAddr,
    task: JoinHandle<()>,
    connections: Arc<watch::Sender<()>>,
}

impl Drop for TargetServer {
    fn drop(&mut self) {
        self.task.abort();
        self.connections.send_replace(());
    }
}

/// HTTP response with a JSON body.
type Reply = Response<Full<Bytes>>;

impl TargetServer {
    /// Starts the leaf `id` that runs up to `slots` calls concurrently.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind(
        id: LeafId,
        address: SocketAddr,
        slots: u32,
        config: TargetConfig,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let inner = Arc::new(Inner {
            id,
            config: watch::Sender::new(config),
            slots: Semaphore::new(slots as usize),
            slot_count: slots as usize,
            counters: Mutex::new(LeafCounters::default()),
            stalls: Mutex::new(Vec::new()),
            left_at: Mutex::new(None),
            rng_count: AtomicU64::new(1),
            waiting: AtomicUsize::new(0),
        });
        let connections = Arc::new(watch::Sender::new(()));
        let task = tokio::spawn(accept(listener, inner.clone(), connections.clone()));
        Ok(Self {
            inner,
            address,
            task,
            connections,
        })
    }

    /// Starts a leaf of a deployment.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind_leaf(leaf: &LeafSpec) -> io::Result<Self> {
        let config = TargetConfig {
            median_ms: leaf.median.as_secs_f64() * 1e3,
            open_ms: leaf.open.as_millis() as u64,
            connections: leaf.connections as usize,
            shards: BTreeMap::from([(IndexVersion(1), leaf.shards.clone())]),
            ..TargetConfig::default()
        };
        Self::bind(leaf.id.clone(), leaf.address, leaf.slots, config).await
    }

    /// Returns the address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the configuration of the running leaf, and notes when it begins to drain or
    /// closes.
    pub fn configure(&self, change: impl FnOnce(&mut TargetConfig)) {
        self.inner.configure(change);
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> LeafCounters {
        lock(&self.inner.counters).clone()
    }

    /// Makes every open connection unresponsive; new ones work.
    pub fn stall_connections(&self) {
        for stall in lock(&self.inner.stalls).drain(..) {
            stall.activate();
        }
    }

    /// Runs the server; it does not end by itself.
    pub async fn run(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Inner {
    /// Changes the configuration, and notes when the leaf begins to drain or closes.
    fn configure(&self, change: impl FnOnce(&mut TargetConfig)) {
        self.config.send_modify(change);
        let config = self.config.borrow();
        let mut left_at = lock(&self.left_at);
        if config.draining || config.closed {
            left_at.get_or_insert_with(tokio::time::Instant::now);
        } else {
            *left_at = None;
        }
    }

    /// Returns a new generator, seeded by the name of the leaf and the number of generators
    /// made before.
    fn rng(&self) -> ChaCha8Rng {
        let mut seed = fnv1a(self.id.as_str());
        seed ^= self.rng_count.fetch_add(1, Ordering::Relaxed);
        ChaCha8Rng::seed_from_u64(seed)
    }

    /// Draws the service time of one call: log-normal, with the slowdown and stragglers
    /// of the configuration.
    fn service_time(&self) -> Duration {
        let config = self.config.borrow();
        let mut rng = self.rng();
        let mut ms = config.median_ms * (LOG_STD_DEV * normal(&mut rng)).exp() * config.slow;
        if uniform(&mut rng) < config.straggle {
            ms *= config.factor;
        }
        Duration::from_secs_f64(ms / 1e3)
    }
}

/// Computes the 64-bit FNV-1a hash.
fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Draws uniformly from [0, 1).
fn uniform(rng: &mut impl Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Draws from the standard normal distribution (Box-Muller transform).
fn normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - uniform(rng)).ln()).sqrt();
    radius * (std::f64::consts::TAU * uniform(rng)).cos()
}

/// Accepts connections without end, serves each in a task of its own until `close` changes,
/// and drops those above the limit at once.
async fn accept(listener: TcpListener, inner: Arc<Inner>, close: Arc<watch::Sender<()>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let limit = inner.config.borrow().connections;
        {
            let mut counters = lock(&inner.counters);
            if counters.connections >= limit {
                // Closing it at once shows the peer that no call has run.
                continue;
            }
            counters.connections += 1;
            counters.connections_peak = counters.connections_peak.max(counters.connections);
        }
        let (inner, mut close) = (inner.clone(), close.subscribe());
        tokio::spawn(async move {
            tokio::select! {
                () = serve(stream, inner.clone()) => {}
                _ = close.changed() => {}
            }
            lock(&inner.counters).connections -= 1;
        });
    }
}

/// Serves the calls on a connection after the time to open it, and registers its
/// [`Stall`].
async fn serve(stream: TcpStream, inner: Arc<Inner>) {
    let open = inner.config.borrow().open_ms;
    sleep(Duration::from_millis(open)).await;
    let _ = stream.set_nodelay(true);
    let stall = Stall::default();
    {
        let mut stalls = lock(&inner.stalls);
        stalls.push(stall.clone());
    }
    let stream = StallableStream { stream, stall };
    let service = service_fn(move |request| {
        let inner = inner.clone();
        async move { Ok::<_, std::convert::Infallible>(calls::handle(&inner, request).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http2().timer(TokioTimer::new());
    let _ = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
