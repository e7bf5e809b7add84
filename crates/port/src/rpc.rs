//! Cap'n Proto calls between entries over TCP, for any interface.
//!
//! The library's objects stay on one thread, so a net has a thread of its own
//! with a local task set. Calls reach it through a bounded channel and answers
//! come back through one-shot channels; `docs/design/peers.md` has the measured
//! cost of that hop.

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
use futures::{AsyncRead, AsyncWrite, FutureExt};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    task::{LocalSet, spawn_local},
    time::{Instant, timeout, timeout_at},
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{Distance, Flow, PeerError, Purpose, Traffic, wire};

/// Calls that wait for the thread; past it a call is not sent.
const QUEUE: usize = 1024;
/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_millis(500);
/// Time without any answer after which a connection on which a call timed out
/// is dropped: it may be silent for good, and a new one may work.
const SILENT_MAX: Duration = Duration::from_secs(1);

/// Longest that a call goes on because bytes come from the peer. At 14 Mbit/s, the
/// slowest link that entries have, 8 MB come within it, ten times the largest answer
/// that was measured.
const SLOW_MAX: Duration = Duration::from_secs(5);

/// When a call is given up.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Patience {
    /// After a span, as the caller waits no longer.
    Until(Duration),
    /// Once the span is over and nothing has come from the peer for as long, or for
    /// [`SILENCE`] if that is shorter.
    ///
    /// An answer of 0.8 MB takes 0.5 s on a link of 14 Mbit/s, and what is asked
    /// meanwhile waits behind it. With a span alone the peer counted as lost, what had
    /// come was thrown away and asked for elsewhere, and links filled with answers that
    /// nobody took.
    Silent(Duration),
}

/// Longest silence of a peer in the middle of an answer.
const SILENCE: Duration = Duration::from_millis(400);

impl Patience {
    fn span(self) -> Duration {
        match self {
            Self::Until(span) | Self::Silent(span) => span,
        }
    }

    /// When a call that was made at `asked` is given up, bytes having come last at
    /// `heard`.
    fn end(self, asked: Instant, heard: Instant) -> Instant {
        match self {
            Self::Until(span) => asked + span,
            Self::Silent(span) => {
                let slow = (heard + span.min(SILENCE)).min(asked + span + SLOW_MAX);
                slow.max(asked + span)
            }
        }
    }
}

/// The client side of an interface.
pub(crate) trait Client: FromClientHook + Clone + 'static {}

impl<C: FromClientHook + Clone + 'static> Client for C {}

type Job<C> = Box<dyn FnOnce(Rc<Local<C>>) + Send>;

/// Makes the object that serves one connection.
pub(crate) type Serve = Arc<dyn Fn() -> capnp::capability::Client + Send + Sync>;

/// One interface, served at an address and called at others. Dropping the last
/// clone ends its thread.
pub(crate) struct RpcNet<C> {
    jobs: mpsc::Sender<Job<C>>,
    address: SocketAddr,
}

impl<C> Clone for RpcNet<C> {
    fn clone(&self) -> Self {
        Self {
            jobs: self.jobs.clone(),
            address: self.address,
        }
    }
}

impl<C> std::fmt::Debug for RpcNet<C> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RpcNet")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl<C: Client> RpcNet<C> {
    /// Binds `address` and serves each connection by an object of `serve`.
    pub(crate) fn bind(
        address: SocketAddr,
        serve: Serve,
        traffic: Arc<Traffic>,
    ) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (jobs, queue) = mpsc::channel(QUEUE);
        std::thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || run(listener, serve, queue, traffic))?;
        Ok(Self { jobs, address })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs `call` on the thread, and gives up on it in time.
    pub(crate) async fn run<T, K, F>(
        &self,
        to: SocketAddr,
        patience: Patience,
        call: K,
    ) -> Result<T, PeerError>
    where
        T: Send + 'static,
        K: FnOnce(C) -> F + Send + 'static,
        F: Future<Output = Result<T, capnp::Error>> + 'static,
    {
        let (answer, answered) = oneshot::channel();
        let job: Job<C> = Box::new(move |local| {
            spawn_local(async move {
                let mut answer = answer;
                tokio::select! {
                    result = one_call(&local, to, patience, call) => {
                        // A caller that has gone away needs no answer.
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

/// A connection to one peer.
struct Line<C> {
    client: C,
    /// When bytes came on it last.
    heard: Rc<Cell<Instant>>,
    open: Cell<bool>,
}

/// Notes when bytes come, and counts what is sent and comes.
struct Heard<S> {
    inner: S,
    heard: Rc<Cell<Instant>>,
    meter: Option<(Arc<Traffic>, Distance)>,
}

impl<S> Heard<S> {
    fn count(&self, flow: Flow, bytes: &Poll<std::io::Result<usize>>) {
        if let (Some((traffic, distance)), Poll::Ready(Ok(bytes))) = (&self.meter, bytes) {
            traffic.add(Purpose::Peers, *distance, flow, *bytes);
        }
    }
}

impl<W: AsyncWrite + Unpin> AsyncWrite for Heard<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, buffer);
        self.count(Flow::Out, &written);
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

impl<R: AsyncRead + Unpin> AsyncRead for Heard<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.count(Flow::In, &read);
        if matches!(read, Poll::Ready(Ok(1..))) {
            self.heard.set(Instant::now());
        }
        read
    }
}

/// What lives on the thread.
struct Local<C> {
    lines: RefCell<BTreeMap<SocketAddr, Rc<Line<C>>>>,
    traffic: Arc<Traffic>,
}

fn run<C: Client>(
    listener: std::net::TcpListener,
    serve: Serve,
    mut queue: mpsc::Receiver<Job<C>>,
    traffic: Arc<Traffic>,
) {
    let local_runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime on one thread can be built");
    LocalSet::new().block_on(&local_runtime, async move {
        let listener = TcpListener::from_std(listener).expect("the socket is non-blocking");
        let accept = spawn_local(accept(listener, serve));
        let local = Rc::new(Local {
            lines: RefCell::default(),
            traffic,
        });
        while let Some(job) = queue.recv().await {
            job(local.clone());
        }
        accept.abort();
    });
}

async fn accept(listener: TcpListener, serve: Serve) {
    /// Rest after a failed accept, which is mostly a lack of descriptors.
    const REST: Duration = Duration::from_millis(50);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(REST).await;
            continue;
        };
        let heard = Rc::new(Cell::new(Instant::now()));
        let network = network(stream, Side::Server, heard, None);
        let system = RpcSystem::new(network, Some(serve()));
        // A broken message ends this connection and nothing else.
        spawn_local(system.map(drop));
    }
}

fn network(
    stream: TcpStream,
    side: Side,
    heard: Rc<Cell<Instant>>,
    meter: Option<(Arc<Traffic>, Distance)>,
) -> Box<twoparty::VatNetwork<impl AsyncRead>> {
    // Without it each small message waits for the one before to be confirmed.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let reader = Heard {
        inner: reader.compat(),
        heard: heard.clone(),
        meter: meter.clone(),
    };
    let writer = Heard {
        inner: writer.compat_write(),
        heard,
        meter,
    };
    Box::new(twoparty::VatNetwork::new(
        reader,
        writer,
        side,
        wire::reader_options(),
    ))
}

async fn one_call<T, C, K, F>(
    local: &Rc<Local<C>>,
    to: SocketAddr,
    patience: Patience,
    call: K,
) -> Result<T, PeerError>
where
    C: Client,
    K: FnOnce(C) -> F,
    F: Future<Output = Result<T, capnp::Error>>,
{
    let line = line_to(local, to, patience.span()).await?;
    let asked = Instant::now();
    let mut answer = pin!(call(line.client.clone()));
    loop {
        let end = patience.end(asked, line.heard.get());
        match timeout_at(end, &mut answer).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => {
                if error.kind == capnp::ErrorKind::Disconnected {
                    drop_line(local, to, &line);
                }
                return Err(PeerError::Lost);
            }
            Err(_) if patience.end(asked, line.heard.get()) > end => {}
            Err(_) => {
                if line.heard.get().elapsed() > SILENT_MAX {
                    drop_line(local, to, &line);
                }
                return Err(PeerError::Lost);
            }
        }
    }
}

async fn line_to<C: Client>(
    local: &Rc<Local<C>>,
    to: SocketAddr,
    wait: Duration,
) -> Result<Rc<Line<C>>, PeerError> {
    if let Some(line) = local.lines.borrow().get(&to)
        && line.open.get()
    {
        return Ok(line.clone());
    }
    let stream = timeout(CONNECT.min(wait), TcpStream::connect(to))
        .await
        .map_err(|_| PeerError::NotSent)?
        .map_err(|_| PeerError::NotSent)?;
    let heard = Rc::new(Cell::new(Instant::now()));
    let meter = (local.traffic.clone(), local.traffic.distance(to));
    let network = network(stream, Side::Client, heard.clone(), Some(meter));
    let mut system = RpcSystem::new(network, None);
    let line = Rc::new(Line {
        client: system.bootstrap(Side::Server),
        heard,
        open: Cell::new(true),
    });
    let (watched, keeper) = (line.clone(), local.clone());
    spawn_local(async move {
        let _ = system.await;
        drop_line(&keeper, to, &watched);
    });
    local.lines.borrow_mut().insert(to, line.clone());
    Ok(line)
}

/// Forgets a connection, unless a newer one has taken its place.
fn drop_line<C>(local: &Rc<Local<C>>, to: SocketAddr, line: &Rc<Line<C>>) {
    line.open.set(false);
    let mut lines = local.lines.borrow_mut();
    if lines.get(&to).is_some_and(|now| Rc::ptr_eq(now, line)) {
        lines.remove(&to);
    }
}
