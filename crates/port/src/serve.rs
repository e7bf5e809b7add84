//! HTTP/1.1 server for callers, with limits on header size, connection count
//! and the time that a connection may be slow or idle.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
    time::{Instant, Sleep, sleep, sleep_until},
};

use crate::{Distance, Purpose, TcpLiveness, TrafficMeter, traffic::Metered};

/// Limits of a server on its clients: head size, timeouts and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServeLimits {
    /// Largest request head (request line and headers), in bytes.
    pub max_head: usize,
    /// Timeout for receiving a request head, from its first byte.
    pub head_timeout: Duration,
    /// Timeout of an idle keep-alive connection.
    pub idle_timeout: Duration,
    /// Maximum number of open connections; further ones are closed at once.
    pub max_connections: usize,
}

/// Delay after a failed accept, which is mostly caused by a lack of
/// descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Whether a server is open or closing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// New connections are accepted and kept alive between requests.
    Open,
    /// New connections are refused, and open ones close once idle.
    Closing,
}

/// An HTTP/1.1 server. Dropping it aborts all connections; [`Server::close`]
/// shuts down gracefully.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stage: watch::Sender<Stage>,
    limits: watch::Sender<ServeLimits>,
    open: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `address` and answers every request with `handle`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind<H, F>(address: SocketAddr, limits: ServeLimits, handle: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
    {
        let meter = TrafficMeter {
            traffic: Arc::default(),
            purpose: Purpose::Callers,
            distance: Distance::Remote,
        };
        Self::bind_metered(address, limits, meter, handle).await
    }

    /// Like [`Server::bind`], and adds the bytes of all connections to
    /// `meter`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind_metered<H, F>(
        address: SocketAddr,
        limits: ServeLimits,
        meter: TrafficMeter,
        handle: H,
    ) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let (stage, stage_rx) = watch::channel(Stage::Open);
        let (limits, limits_rx) = watch::channel(limits);
        let open = Arc::new(AtomicUsize::new(0));
        Ok(Self {
            address: listener.local_addr()?,
            stage,
            limits,
            task: tokio::spawn(accept(
                listener,
                limits_rx,
                stage_rx,
                open.clone(),
                meter,
                handle,
            )),
            open,
        })
    }

    /// Returns the local address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the limits. The size of the head applies to new connections
    /// only.
    pub fn set_limits(&self, limits: ServeLimits) {
        self.limits.send_if_modified(|current| {
            let changed = *current != limits;
            *current = limits;
            changed
        });
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Shuts down gracefully: stops accepting, closes idle connections, and waits until
    /// `until` at most for those with a request. Returns the connections that are still open;
    /// dropping the server aborts them.
    pub async fn close(&self, until: Instant) -> usize {
        /// Interval between checks for open connections.
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        self.stage.send_replace(Stage::Closing);
        while self.open() > 0 && Instant::now() < until {
            sleep(POLL_INTERVAL).await;
        }
        self.open()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections until the server closes, then waits for the open ones.
async fn accept<H, F>(
    listener: TcpListener,
    limits: watch::Receiver<ServeLimits>,
    mut stage_rx: watch::Receiver<Stage>,
    open: Arc<AtomicUsize>,
    meter: TrafficMeter,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    // Aborted together with this task, so that dropping the server closes them.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            biased;
            () = wait_closing(&mut stage_rx) => break,
            Some(_) = connections.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        // Closed at once at the limit, so that the caller tries another entry
        // instead of waiting here.
        if open.load(Ordering::Relaxed) >= limits.borrow().max_connections {
            continue;
        }
        let guard = OpenGuard::new(&open);
        // Fails if the connection is closed already; its first read then ends
        // it.
        let _ = TcpLiveness::default().apply(&stream);
        let stream = Metered::new(stream, meter.clone());
        let served = connection(stream, limits.clone(), stage_rx.clone(), handle.clone());
        connections.spawn(async move {
            let _guard = guard;
            served.await;
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits until the server begins to close or is dropped.
async fn wait_closing(stage_rx: &mut watch::Receiver<Stage>) {
    // Fails only if the server is dropped, which aborts the caller too.
    let _ = stage_rx.wait_for(|stage| *stage >= Stage::Closing).await;
}

/// Counts a connection as open until dropped.
struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    /// Adds one to the count `open`.
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves the requests of one connection with `handle` until it ends. Once the server
/// closes, it ends after the request in flight.
async fn connection<H, F>(
    stream: Metered<TcpStream>,
    limits: watch::Receiver<ServeLimits>,
    mut stage_rx: watch::Receiver<Stage>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let phase = Arc::new(Mutex::new(Phase::Idle(Instant::now())));
    let max_head = limits.borrow().max_head;
    let io = TimeoutStream::new(stream, phase.clone(), limits);
    let service = service_fn(move |request| {
        set_phase(&phase, Phase::Busy);
        let (reply, phase) = (handle(request), phase.clone());
        async move {
            let reply = reply.await;
            set_phase(&phase, Phase::Idle(Instant::now()));
            Ok::<_, std::convert::Infallible>(reply)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(max_head.max(MIN_BUFFER))
        .auto_date_header(false);
    let mut served = std::pin::pin!(builder.serve_connection(TokioIo::new(io), service));
    tokio::select! {
        biased;
        () = wait_closing(&mut stage_rx) => {
            served.as_mut().graceful_shutdown();
            // On an error the caller sees its connection break.
            let _ = served.await;
        }
        _ = served.as_mut() => {}
    }
}

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER: usize = 8192;

/// What a connection is doing, which selects its timeout: idle, receiving a head or busy.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Between requests, since this time.
    Idle(Instant),
    /// Receiving a request head, since this time.
    Head(Instant),
    /// Serving a request, including reading its body; reads have no timeout.
    Busy,
}

/// Sets what a connection is doing.
fn set_phase(phase: &Mutex<Phase>, to: Phase) {
    *phase.lock().unwrap_or_else(PoisonError::into_inner) = to;
}

/// A stream whose reads fail once the timeout for a request head or for an idle
/// connection has passed. hyper's header timeout would include the idle time.
/// The timer is reset only when it fires, which is cheaper than at each
/// request.
struct TimeoutStream {
    stream: Metered<TcpStream>,
    phase: Arc<Mutex<Phase>>,
    limits: watch::Receiver<ServeLimits>,
    timer: Pin<Box<Sleep>>,
}

impl TimeoutStream {
    /// Wraps `stream`; the timer first fires after the timeout for a head.
    fn new(
        stream: Metered<TcpStream>,
        phase: Arc<Mutex<Phase>>,
        limits: watch::Receiver<ServeLimits>,
    ) -> Self {
        let first = limits.borrow().head_timeout;
        Self {
            stream,
            phase,
            limits,
            timer: Box::pin(sleep(first)),
        }
    }

    fn phase(&self) -> Phase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ready once the timeout of the current phase has passed; never in [`Phase::Busy`].
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.timer.as_mut().poll(cx).is_ready() {
            let limits = *self.limits.borrow();
            let now = Instant::now();
            let deadline = match self.phase() {
                Phase::Idle(since) => since + limits.idle_timeout,
                Phase::Head(since) => since + limits.head_timeout,
                Phase::Busy => now + limits.head_timeout,
            };
            if deadline <= now {
                return Poll::Ready(());
            }
            // A head may begin meanwhile, so check again within its timeout.
            let recheck = deadline.min(now + limits.head_timeout);
            self.timer.set(sleep_until(recheck));
        }
        Poll::Pending
    }
}

impl AsyncRead for TimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(result) => {
                if let Phase::Idle(_) = self.phase() {
                    set_phase(&self.phase, Phase::Head(Instant::now()));
                }
                Poll::Ready(result)
            }
            Poll::Pending => match self.poll_timeout(cx) {
                Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
                Poll::Pending => Poll::Pending,
            },
        }
    }
}

impl AsyncWrite for TimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Why a request or response body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection failed before the end of the body.
    Incomplete,
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body is larger than the limit or incomplete.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge);
    }
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Incomplete),
    }
}
