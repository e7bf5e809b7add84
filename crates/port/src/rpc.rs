//! Cap'n Proto RPC between entries over TCP, generic over the interface.
//!
//! The objects of the capnp library are not `Send`, so each [`RpcEndpoint`] has a
//! thread of its own with a local task set. Calls reach it through a bounded
//! channel, and answers come back through one-shot channels.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::Future,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use capnp::capability::FromClientHook;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use futures::{AsyncRead, AsyncWrite};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    task::{AbortHandle, LocalSet, spawn_local},
    time::{Instant, timeout, timeout_at},
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{Direction, Distance, PeerError, Purpose, Traffic, wire};

/// Calls that may be queued for the thread; further calls fail as not sent.
const QUEUE_CAPACITY: usize = 1024;
/// Longest time to open a TCP connection to a peer, even if the call's timeout is longer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without received bytes after which a connection is dropped when a call on
/// it times out, so that the next call opens a new one.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(1);

/// Longest extension of a call's timeout while bytes arrive. Enough for the largest answers on
/// the slowest links between entries. At 14 Mbit/s, the slowest link of an entry, 8 MB arrive
/// within it, ten times the largest answer seen.
const MAX_EXTENSION: Duration = Duration::from_secs(5);

/// Timeout of a call, fixed or extended while bytes arrive. It starts once the
/// connection is open.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallTimeout {
    /// A fixed timeout, for calls whose caller has a deadline.
    Fixed(Duration),
    /// A timeout that is extended while bytes keep arriving from the peer: until none
    /// have come for as long as the timeout or for [`MAX_READ_GAP`], whichever is
    /// shorter, and by at most [`MAX_EXTENSION`].
    ///
    /// With a fixed timeout a large answer on a slow link, or one queued behind it,
    /// would be discarded half received and requested again, which loads the link
    /// further.
    Idle(Duration),
}

/// Longest gap between received bytes that still extends a timeout.
const MAX_READ_GAP: Duration = Duration::from_millis(400);

impl CallTimeout {
    /// The timeout without any extension.
    fn duration(self) -> Duration {
        match self {
            Self::Fixed(duration) | Self::Idle(duration) => duration,
        }
    }

    /// The deadline of a call that was sent at `started`, if bytes were last received
    /// at `last_read`.
    fn deadline(self, started: Instant, last_read: Instant) -> Instant {
        match self {
            Self::Fixed(duration) => started + duration,
            Self::Idle(duration) => {
                let extended = (last_read + duration.min(MAX_READ_GAP))
                    .min(started + duration + MAX_EXTENSION);
                extended.max(started + duration)
            }
        }
    }
}

/// Limits of an endpoint on what other entries, or others that reach its port, may send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointLimits {
    /// Maximum number of accepted connections.
    pub(crate) connections: usize,
    /// Largest message of a call, in words of eight bytes.
    pub(crate) call_words: usize,
}

/// Least time without received bytes after which a connection is closed for a new one.
const QUIET_MIN: Duration = Duration::from_secs(1);

/// The client type of a capnp interface.
pub(crate) trait Client: FromClientHook + Clone + 'static {}

impl<C: FromClientHook + Clone + 'static> Client for C {}

/// A call for the network thread, which runs it with its connections and counters.
type Job<C> = Box<dyn FnOnce(Rc<ThreadState<C>>) + Send>;

/// Creates the capability that serves one accepted connection.
pub(crate) type ServiceFactory = Arc<dyn Fn() -> capnp::capability::Client + Send + Sync>;

/// A server and client of one capnp interface. Serves it at one address and calls it
/// at other entries. Dropping the last clone ends its thread.
pub(crate) struct RpcEndpoint<C> {
    jobs: mpsc::Sender<Job<C>>,
    address: SocketAddr,
}

impl<C> Clone for RpcEndpoint<C> {
    fn clone(&self) -> Self {
        Self {
            jobs: self.jobs.clone(),
            address: self.address,
        }
    }
}

impl<C> std::fmt::Debug for RpcEndpoint<C> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RpcEndpoint")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl<C: Client> RpcEndpoint<C> {
    /// Binds `address` and serves each connection with a capability of `factory`. Bytes
    /// of outgoing calls are added to `traffic`.
    pub(crate) fn bind(
        address: SocketAddr,
        factory: ServiceFactory,
        traffic: Arc<Traffic>,
        limits: EndpointLimits,
    ) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (jobs, queue) = mpsc::channel(QUEUE_CAPACITY);
        std::thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || run(listener, (factory, limits), queue, traffic))?;
        Ok(Self { jobs, address })
    }

    /// Returns the address that it listens at.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs `call` with a client of the entry at `to`, on the network thread. Dropping the
    /// future cancels the call.
    ///
    /// Fails with [`PeerError::NotSent`] if the queue is full or no connection opens, and
    /// with [`PeerError::Lost`] on a timeout, a broken connection or an error reply.
    pub(crate) async fn call<T, K, F>(
        &self,
        to: SocketAddr,
        limit: CallTimeout,
        call: K,
    ) -> Result<T, PeerError>
    where
        T: Send + 'static,
        K: FnOnce(C) -> F + Send + 'static,
        F: Future<Output = Result<T, capnp::Error>> + 'static,
    {
        let (answer, answered) = oneshot::channel();
        let job: Job<C> = Box::new(move |state| {
            spawn_local(async move {
                let mut answer = answer;
                tokio::select! {
                    result = one_call(&state, to, limit, call) => {
                        // The caller may have dropped its future.
                        let _ = answer.send(result);
                    }
                    () = answer.closed() => {}
                }
            });
        });
        self.jobs.try_send(job).map_err(|_| PeerError::NotSent)?;
        answered.await.unwrap_or(Err(PeerError::Lost))
    }
}

/// An outgoing connection to one peer: its client, when bytes were last received, and
/// whether new calls may use it.
struct Conn<C> {
    client: C,
    /// When bytes were last received.
    last_read: Rc<Cell<Instant>>,
    /// Whether new calls may use it; cleared when it is dropped from the pool.
    open: Cell<bool>,
}

/// A stream half that records when bytes are received and counts bytes both ways.
struct Tracked<S> {
    inner: S,
    last_read: Rc<Cell<Instant>>,
    /// The counters and the distance to the peer; `None` counts nothing.
    meter: Option<(Arc<Traffic>, Distance)>,
}

impl<S> Tracked<S> {
    /// Adds the bytes of a completed read or write to the counters, if there are any.
    fn count(&self, direction: Direction, bytes: &Poll<std::io::Result<usize>>) {
        if let (Some((traffic, distance)), Poll::Ready(Ok(bytes))) = (&self.meter, bytes) {
            traffic.add(Purpose::Peers, *distance, direction, *bytes);
        }
    }
}

impl<W: AsyncWrite + Unpin> AsyncWrite for Tracked<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, buffer);
        self.count(Direction::Out, &written);
        written
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for Tracked<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.count(Direction::In, &read);
        if matches!(read, Poll::Ready(Ok(1..))) {
            self.last_read.set(Instant::now());
        }
        read
    }
}

/// What the calls on the network thread share: the outgoing connections by peer, and
/// the counters of their bytes.
struct ThreadState<C> {
    conns: RefCell<BTreeMap<SocketAddr, Rc<Conn<C>>>>,
    traffic: Arc<Traffic>,
}

/// Body of the network thread: accepts connections and runs queued calls until the
/// last [`RpcEndpoint`] is dropped.
fn run<C: Client>(
    listener: std::net::TcpListener,
    (factory, limits): (ServiceFactory, EndpointLimits),
    mut queue: mpsc::Receiver<Job<C>>,
    traffic: Arc<Traffic>,
) {
    let local_runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime on one thread can be built");
    LocalSet::new().block_on(&local_runtime, async move {
        let listener = TcpListener::from_std(listener).expect("the socket is non-blocking");
        let accept = spawn_local(accept(listener, factory, limits));
        let state = Rc::new(ThreadState {
            conns: RefCell::default(),
            traffic,
        });
        while let Some(job) = queue.recv().await {
            job(state.clone());
        }
        accept.abort();
    });
}

/// An accepted connection: when bytes last came, and the task that serves it.
struct Accepted {
    last_read: Rc<Cell<Instant>>,
    task: AbortHandle,
}

/// The accepted connections that are open, in the order in which they came.
type AcceptedConns = Rc<RefCell<BTreeMap<u64, Accepted>>>;

/// Returns whether a further connection may be accepted where `most` may be open. At the limit the
/// quietest is closed, or connections on which nothing is sent would keep out other entries.
fn make_room(open: &AcceptedConns, most: usize) -> bool {
    let mut open = open.borrow_mut();
    if open.len() < most {
        return true;
    }
    let quietest = open.iter().min_by_key(|(_, conn)| conn.last_read.get());
    let quietest = quietest.map(|(number, conn)| (*number, conn.last_read.get()));
    match quietest {
        Some((number, last_read)) if last_read.elapsed() >= QUIET_MIN => {
            open.remove(&number).inspect(|conn| conn.task.abort());
            true
        }
        _ => false,
    }
}

/// Accepts connections until cancelled, and serves each with a capability of `factory`.
/// Their bytes are not counted.
async fn accept(listener: TcpListener, factory: ServiceFactory, limits: EndpointLimits) {
    /// Delay after a failed accept, which is mostly caused by a lack of descriptors.
    const BACKOFF: Duration = Duration::from_millis(50);
    let open = AcceptedConns::default();
    for number in 0.. {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(BACKOFF).await;
            continue;
        };
        if !make_room(&open, limits.connections) {
            continue;
        }
        let last_read = Rc::new(Cell::new(Instant::now()));
        let words = limits.call_words;
        let network = network(stream, Side::Server, last_read.clone(), None, words);
        let system = RpcSystem::new(network, Some(factory()));
        let ended = open.clone();
        let task = spawn_local(async move {
            // A protocol error ends only this connection.
            let _ = system.await;
            ended.borrow_mut().remove(&number);
        });
        let task = task.abort_handle();
        open.borrow_mut()
            .insert(number, Accepted { last_read, task });
    }
}

/// Wraps a TCP stream for the capnp library, with Nagle's algorithm disabled. Sets
/// `last_read` at each receipt of bytes and counts bytes if there is a `meter`. Messages received
/// may have at most `words` words.
fn network(
    stream: TcpStream,
    side: Side,
    last_read: Rc<Cell<Instant>>,
    meter: Option<(Arc<Traffic>, Distance)>,
    words: usize,
) -> Box<twoparty::VatNetwork<impl AsyncRead>> {
    // Disables Nagle's algorithm, which would delay small messages.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let reader = Tracked {
        inner: reader.compat(),
        last_read: last_read.clone(),
        meter: meter.clone(),
    };
    let writer = Tracked {
        inner: writer.compat_write(),
        last_read,
        meter,
    };
    Box::new(twoparty::VatNetwork::new(
        reader,
        writer,
        side,
        wire::reader_options(words),
    ))
}

/// Makes one call and waits for its answer until the deadline, which does not include
/// the time to connect. Drops the connection if it is broken or unresponsive. Fails with
/// [`PeerError::NotSent`] if no connection opens, and else with [`PeerError::Lost`].
async fn one_call<T, C, K, F>(
    state: &Rc<ThreadState<C>>,
    to: SocketAddr,
    limit: CallTimeout,
    call: K,
) -> Result<T, PeerError>
where
    C: Client,
    K: FnOnce(C) -> F,
    F: Future<Output = Result<T, capnp::Error>>,
{
    let conn = connect(state, to, limit.duration()).await?;
    let started = Instant::now();
    let mut answer = pin!(call(conn.client.clone()));
    loop {
        let deadline = limit.deadline(started, conn.last_read.get());
        match timeout_at(deadline, &mut answer).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => {
                if error.kind == capnp::ErrorKind::Disconnected {
                    drop_conn(state, to, &conn);
                }
                return Err(PeerError::Lost);
            }
            Err(_) if limit.deadline(started, conn.last_read.get()) > deadline => {}
            Err(_) => {
                if conn.last_read.get().elapsed() > UNRESPONSIVE_AFTER {
                    drop_conn(state, to, &conn);
                }
                return Err(PeerError::Lost);
            }
        }
    }
}

/// Returns the open connection to a peer, or opens and stores one. Fails with
/// [`PeerError::NotSent`] if none opens within `wait` or [`CONNECT_TIMEOUT`],
/// whichever is shorter.
async fn connect<C: Client>(
    state: &Rc<ThreadState<C>>,
    to: SocketAddr,
    wait: Duration,
) -> Result<Rc<Conn<C>>, PeerError> {
    if let Some(conn) = state.conns.borrow().get(&to)
        && conn.open.get()
    {
        return Ok(conn.clone());
    }
    let stream = timeout(CONNECT_TIMEOUT.min(wait), TcpStream::connect(to))
        .await
        .map_err(|_| PeerError::NotSent)?
        .map_err(|_| PeerError::NotSent)?;
    let last_read = Rc::new(Cell::new(Instant::now()));
    let meter = (state.traffic.clone(), state.traffic.distance(to));
    let words = wire::MAX_MESSAGE_WORDS;
    let network = network(stream, Side::Client, last_read.clone(), Some(meter), words);
    let mut system = RpcSystem::new(network, None);
    let conn = Rc::new(Conn {
        client: system.bootstrap(Side::Server),
        last_read,
        open: Cell::new(true),
    });
    let (ended, owner) = (conn.clone(), state.clone());
    spawn_local(async move {
        let _ = system.await;
        drop_conn(&owner, to, &ended);
    });
    state.conns.borrow_mut().insert(to, conn.clone());
    Ok(conn)
}

/// Marks a connection as closed and removes it from the pool, unless a newer one to
/// `to` has replaced it there. Calls in flight on it may still complete.
fn drop_conn<C>(state: &Rc<ThreadState<C>>, to: SocketAddr, conn: &Rc<Conn<C>>) {
    conn.open.set(false);
    let mut conns = state.conns.borrow_mut();
    if conns
        .get(&to)
        .is_some_and(|current| Rc::ptr_eq(current, conn))
    {
        conns.remove(&to);
    }
}
