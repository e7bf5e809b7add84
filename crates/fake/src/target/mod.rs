//! The stand-in for a leaf.

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

use crate::{LeafSpec, Silence, gate::Gated};

/// How a leaf behaves. All of it can be changed while it runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetConfig {
    /// Median milliseconds of a call.
    pub median_ms: f64,
    /// Share of calls that straggle.
    pub straggle: f64,
    /// Factor on the time of a straggler.
    pub factor: f64,
    /// Factor on every call: a slow leaf.
    pub slow: f64,
    /// Calls that wait for a slot before others are shed.
    pub queue: usize,
    /// Milliseconds to open a connection.
    pub open_ms: u64,
    /// Connections accepted.
    pub connections: usize,
    /// Whether it says that it is leaving.
    pub draining: bool,
    /// Whether it refuses new work, draining.
    pub closed: bool,
    /// Whether submissions take effect and their answer is lost.
    pub lose_answers: bool,
    /// Whether its health and load endpoint tells the opposite of the truth.
    pub lies: bool,
    /// Whether calls wait until this turns false.
    pub frozen: bool,
    /// Shards it holds, by index version.
    pub shards: BTreeMap<IndexVersion, Vec<ShardName>>,
}

impl Default for TargetConfig {
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

/// What a leaf has done, by its own account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLedger {
    /// Query calls run.
    pub queries: u64,
    /// Calls refused unrun.
    pub refused: u64,
    /// Times that each submission took effect, by its `id` field.
    pub applied: BTreeMap<String, u64>,
    /// Connections open now.
    pub connections: usize,
    /// Most connections open at once.
    pub connections_peak: usize,
    /// Calls that came while the leaf was closed or draining, after a grace of
    /// three seconds from the change.
    pub late_calls: u64,
}

struct Inner {
    id: LeafId,
    config: watch::Sender<TargetConfig>,
    slots: Semaphore,
    slot_count: usize,
    ledger: Mutex<TargetLedger>,
    silences: Mutex<Vec<Silence>>,
    left: Mutex<Option<tokio::time::Instant>>,
    draws: AtomicU64,
    waiting: AtomicUsize,
}

/// Grace after a leaf starts leaving, within which new calls are not counted
/// against the tier.
const LEAVE_GRACE: Duration = Duration::from_secs(3);
/// Spread of the time of a call around its median: one standard deviation of
/// its logarithm.
const SPREAD: f64 = 0.25;

/// The stand-in for a leaf. Dropping it ends it and closes its connections.
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

type Reply = Response<Full<Bytes>>;

impl TargetServer {
    /// Serves the leaf `id` with `slots` slots.
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
            ledger: Mutex::new(TargetLedger::default()),
            silences: Mutex::new(Vec::new()),
            left: Mutex::new(None),
            draws: AtomicU64::new(1),
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

    /// Serves a leaf of a world.
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

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it behaves.
    pub fn change(&self, change: impl FnOnce(&mut TargetConfig)) {
        self.inner.change(change);
    }

    /// What it has done.
    #[must_use]
    pub fn ledger(&self) -> TargetLedger {
        lock(&self.inner.ledger).clone()
    }

    /// Silences every connection that is open now; new ones work.
    pub fn silence(&self) {
        for silence in lock(&self.inner.silences).drain(..) {
            silence.fall();
        }
    }

    /// Waits until the server ends, which it does not by itself.
    pub async fn run(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Inner {
    fn change(&self, change: impl FnOnce(&mut TargetConfig)) {
        self.config.send_modify(change);
        let config = self.config.borrow();
        let mut left = lock(&self.left);
        if config.draining || config.closed {
            left.get_or_insert_with(tokio::time::Instant::now);
        } else {
            *left = None;
        }
    }

    fn rng(&self) -> ChaCha8Rng {
        let mut seed = seed_of(self.id.as_str());
        seed ^= self.draws.fetch_add(1, Ordering::Relaxed);
        ChaCha8Rng::seed_from_u64(seed)
    }

    /// The time of one call.
    fn service_time(&self) -> Duration {
        let config = self.config.borrow();
        let mut rng = self.rng();
        let mut ms = config.median_ms * (SPREAD * normal(&mut rng)).exp() * config.slow;
        if unit(&mut rng) < config.straggle {
            ms *= config.factor;
        }
        Duration::from_secs_f64(ms / 1e3)
    }
}

fn seed_of(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

fn unit(rng: &mut impl Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// A standard normal draw, by the Box-Muller transform.
fn normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - unit(rng)).ln()).sqrt();
    radius * (std::f64::consts::TAU * unit(rng)).cos()
}

async fn accept(listener: TcpListener, inner: Arc<Inner>, end: Arc<watch::Sender<()>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let most = inner.config.borrow().connections;
        {
            let mut ledger = lock(&inner.ledger);
            if ledger.connections >= most {
                // Refused by closing it: the other end sees that nothing ran.
                continue;
            }
            ledger.connections += 1;
            ledger.connections_peak = ledger.connections_peak.max(ledger.connections);
        }
        let (inner, mut end) = (inner.clone(), end.subscribe());
        tokio::spawn(async move {
            tokio::select! {
                () = serve(stream, inner.clone()) => {}
                _ = end.changed() => {}
            }
            lock(&inner.ledger).connections -= 1;
        });
    }
}

async fn serve(stream: TcpStream, inner: Arc<Inner>) {
    let open = inner.config.borrow().open_ms;
    sleep(Duration::from_millis(open)).await;
    let _ = stream.set_nodelay(true);
    let silence = Silence::default();
    {
        let mut silences = lock(&inner.silences);
        silences.push(silence.clone());
    }
    let stream = Gated { stream, silence };
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
