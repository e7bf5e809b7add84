//! The clients of a process, and the account of what they make it hold.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use chestnut_memory::{Account, ClientId};
use chestnut_unit::{ByteSize, lock};
use tokio_util::sync::CancellationToken;

use crate::Clock;

/// The process can't hold more, and the client that asked has to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Evicted;

/// The memory for clients, shared by all servers of a process.
#[derive(Clone)]
pub struct Memory {
    inner: Arc<Inner>,
}

struct Inner {
    clock: Clock,
    state: Mutex<State>,
    losses: [AtomicU64; ClientLoss::ALL.len()],
}

/// Why a client lost its connection, or did not get one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientLoss {
    /// What it made the process hold had to go for others.
    Memory,
    /// It was the quietest when all connections were in use.
    Quiet,
    /// All connections were in use and none was quiet.
    Full,
}

impl ClientLoss {
    /// All reasons, in order of declaration.
    pub const ALL: [Self; 3] = [Self::Memory, Self::Quiet, Self::Full];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Quiet => "quiet",
            Self::Full => "full",
        }
    }
}

/// The account, and the clients that can be told to go.
struct State {
    account: Account,
    clients: BTreeMap<ClientId, Weak<ClientState>>,
}

impl fmt::Debug for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Memory")
            .field("used", &self.used())
            .finish_non_exhaustive()
    }
}

impl Memory {
    /// Creates a memory that clients may fill up to `limit`.
    #[must_use]
    pub fn new(limit: ByteSize, clock: Clock) -> Self {
        let state = State {
            account: Account::new(limit),
            clients: BTreeMap::new(),
        };
        Self {
            inner: Arc::new(Inner {
                clock,
                state: Mutex::new(state),
                losses: Default::default(),
            }),
        }
    }

    /// Creates a memory without a limit, for tests and clients that are trusted.
    #[must_use]
    pub fn unlimited() -> Self {
        Self::new(ByteSize(u64::MAX), Clock::start())
    }

    /// Returns a new client. It is forgotten once its clones and buffers are dropped.
    #[must_use]
    pub fn client(&self) -> Client {
        let mut state = lock(&self.inner.state);
        let id = state.account.open();
        let client = Arc::new(ClientState {
            memory: self.clone(),
            id,
            evicted: CancellationToken::new(),
            receiving: AtomicBool::new(false),
        });
        state.clients.insert(id, Arc::downgrade(&client));
        Client(client)
    }

    /// Returns the bytes that are held for clients.
    #[must_use]
    pub fn used(&self) -> ByteSize {
        lock(&self.inner.state).account.used()
    }

    /// Returns how many clients were lost so far for a reason.
    #[must_use]
    pub fn losses(&self, why: ClientLoss) -> u64 {
        self.inner.losses[why as usize].load(Ordering::Relaxed)
    }

    /// Counts a client that was lost.
    pub(crate) fn count_loss(&self, why: ClientLoss) {
        self.inner.losses[why as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Takes bytes for a client and tells those to go that no longer fit; returns whether it got
    /// them.
    fn take(&self, client: ClientId, bytes: usize) -> bool {
        let now = self.inner.clock.now();
        let mut state = lock(&self.inner.state);
        let room = state.account.take(client, bytes as u64, now);
        let evicted: Vec<Arc<ClientState>> = room
            .evicted
            .iter()
            .filter_map(|id| state.clients.get(id)?.upgrade())
            .collect();
        // Their last handle may be dropped here, which takes the lock.
        drop(state);
        for client in evicted {
            client.evict(ClientLoss::Memory);
        }
        room.granted
    }

    /// Gives bytes of a client back.
    fn give_back(&self, client: ClientId, bytes: usize) {
        let mut state = lock(&self.inner.state);
        state.account.give_back(client, bytes as u64);
    }
}

struct ClientState {
    memory: Memory,
    id: ClientId,
    evicted: CancellationToken,
    /// Whether a request of it is being received, so that it can be refused as not run.
    receiving: AtomicBool,
}

impl ClientState {
    fn evict(&self, why: ClientLoss) {
        if !self.evicted.is_cancelled() {
            self.memory.count_loss(why);
            self.evicted.cancel();
        }
    }
}

impl Drop for ClientState {
    fn drop(&mut self) {
        lock(&self.memory.inner.state).clients.remove(&self.id);
    }
}

/// A client of the process, mostly a connection, for which it holds bytes.
#[derive(Clone)]
pub struct Client(Arc<ClientState>);

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Client").field(&self.0.id).finish()
    }
}

impl Default for Client {
    /// A client of a memory without a limit.
    fn default() -> Self {
        Memory::unlimited().client()
    }
}

impl Client {
    /// Waits until the client has to go: its connection is to be closed, and its buffers dropped.
    pub async fn evicted(&self) {
        self.0.evicted.cancelled().await;
    }

    /// Tells the client to go.
    pub(crate) fn evict(&self, why: ClientLoss) {
        self.0.evict(why);
    }

    /// Whether the client was told to go.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.0.evicted.is_cancelled()
    }

    /// Whether a request of the client is being received, and none of it has been passed on.
    #[must_use]
    pub fn is_receiving(&self) -> bool {
        self.0.receiving.load(Ordering::Relaxed)
    }

    /// Returns a charge of no bytes.
    pub(crate) fn charge(&self) -> Charge {
        Charge {
            client: self.clone(),
            bytes: 0,
        }
    }
}

/// Marks a client as one whose request is being received, until dropped.
pub(crate) struct Receiving<'a>(&'a Client);

impl<'a> Receiving<'a> {
    pub(crate) fn start(client: &'a Client) -> Self {
        client.0.receiving.store(true, Ordering::Relaxed);
        Self(client)
    }
}

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        self.0.0.receiving.store(false, Ordering::Relaxed);
    }
}

/// Bytes of a client that are in the account, until dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    client: Client,
    bytes: usize,
}

impl Charge {
    /// Changes the number of bytes; fails if the client has to go.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), Evicted> {
        let ClientState { memory, id, .. } = &*self.client.0;
        if bytes > self.bytes && !memory.take(*id, bytes - self.bytes) {
            return Err(Evicted);
        }
        if bytes < self.bytes {
            memory.give_back(*id, self.bytes - bytes);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Returns the number of bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes `bytes` of this charge over into a new one; all of it if it is less.
    pub(crate) fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            client: self.client.clone(),
            bytes,
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            let ClientState { memory, id, .. } = &*self.client.0;
            memory.give_back(*id, self.bytes);
        }
    }
}
