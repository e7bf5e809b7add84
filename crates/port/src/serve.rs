//! HTTP/1.1 server for callers, with limits on header size, connection count
//! and the time that a connection may be slow or idle.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
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
    time::{Instant, Sleep, sleep, sleep_until, timeout},
};

use crate::{
    Client, ClientLoss, Distance, Memory, Purpose, ReceiveError, TcpLiveness, TrafficMeter,
    connections::{Conn, Connections, OpenGuard, Phase},
    traffic::Metered,
};

/// Limits of a server on its clients: head size, timeouts and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServeLimits {
    /// Largest request head (request line and headers), in bytes.
    pub max_head: usize,
    /// Timeout for receiving a request head, from its first byte.
    pub head_timeout: Duration,
    /// Timeout of an idle keep-alive connection.
    pub idle_timeout: Duration,
    /// Maximum number of open connections. For a further one the quietest is closed, if it has
    /// been quiet for a second, or else the new one.
    pub max_connections: usize,
}

/// Delay after a failed accept, which is mostly caused by a lack of
/// descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Time in which a caller that has to go can take the refusal of what it was sending.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a server is open or closing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// New connections are accepted and kept alive between requests.
    Open,
    /// New connections are refused, and open ones close once idle.
    Closing,
}

/// The body of an answer, which is there as a whole.
pub trait AnswerBody: Body<Data = Bytes, Error = Infallible> + Send + 'static {}

impl<B: Body<Data = Bytes, Error = Infallible> + Send + 'static> AnswerBody for B {}

/// An HTTP/1.1 server. Dropping it aborts all connections; [`Server::close`]
/// shuts down gracefully.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stage: watch::Sender<Stage>,
    limits: watch::Sender<ServeLimits>,
    open: Arc<Connections>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `address` and answers every request with `handle`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind<H, F, B>(
        address: SocketAddr,
        limits: ServeLimits,
        handle: H,
    ) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: AnswerBody,
    {
        let meter = TrafficMeter {
            traffic: Arc::default(),
            purpose: Purpose::Callers,
            distance: Distance::Remote,
        };
        Self::bind_metered(address, limits, meter, Memory::unlimited(), handle).await
    }

    /// Like [`Server::bind`], and adds the bytes of all connections to `meter`. Each is a client
    /// of `memory`, which is an extension of its requests, and ends when that has to go.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind_metered<H, F, B>(
        address: SocketAddr,
        limits: ServeLimits,
        meter: TrafficMeter,
        memory: Memory,
        handle: H,
    ) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: AnswerBody,
    {
        let listener = TcpListener::bind(address).await?;
        let (stage, stage_rx) = watch::channel(Stage::Open);
        let (limits, limits_rx) = watch::channel(limits);
        let open = Arc::new(Connections::default());
        Ok(Self {
            address: listener.local_addr()?,
            stage,
            limits,
            task: tokio::spawn(accept(
                listener,
                limits_rx,
                stage_rx,
                open.clone(),
                (meter, memory),
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
        self.open.count()
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
async fn accept<H, F, B>(
    listener: TcpListener,
    limits: watch::Receiver<ServeLimits>,
    mut stage_rx: watch::Receiver<Stage>,
    open: Arc<Connections>,
    (meter, memory): (TrafficMeter, Memory),
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: AnswerBody,
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
        // Closed at once if there is no room, so that the caller tries another entry
        // instead of waiting here.
        let max_connections = limits.borrow().max_connections;
        if !open.make_room(max_connections, Instant::now()) {
            memory.count_loss(ClientLoss::Full);
            continue;
        }
        let conn = OpenGuard::new(&open, memory.client());
        // Fails if the connection is closed already; its first read then ends
        // it.
        let _ = TcpLiveness::default().apply(&stream);
        let stream = Metered::new(stream, meter.clone());
        let (limits, stage_rx, handle) = (limits.clone(), stage_rx.clone(), handle.clone());
        connections.spawn(async move {
            connection(stream, &conn, limits, stage_rx, handle).await;
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

/// Serves the requests of one connection with `handle` until it ends, or until its client has to
/// go. Once the server closes, it ends after the request in flight.
async fn connection<H, F, B>(
    stream: Metered<TcpStream>,
    guard: &OpenGuard,
    limits: watch::Receiver<ServeLimits>,
    mut stage_rx: watch::Receiver<Stage>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: AnswerBody,
{
    let conn = guard.conn.clone();
    let client = conn.client.clone();
    let max_head = limits.borrow().max_head;
    let io = TimeoutStream::new(stream, conn.clone(), limits);
    let service = service_fn(move |mut request: Request<Incoming>| {
        conn.begin_request();
        if !request.body().is_end_stream() {
            conn.charge_buffer(max_head);
        }
        request.extensions_mut().insert(conn.client.clone());
        let (reply, conn) = (handle(request), conn.clone());
        async move {
            let reply = reply.await;
            conn.set_phase(Phase::Idle(Instant::now()));
            conn.charge_buffer(0);
            Ok::<_, Infallible>(reply)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(max_head.max(MIN_BUFFER))
        .auto_date_header(false);
    let mut served = std::pin::pin!(builder.serve_connection(TokioIo::new(io), service));
    let mut evicted = std::pin::pin!(client.evicted());
    tokio::select! {
        biased;
        () = &mut evicted => {}
        () = wait_closing(&mut stage_rx) => {
            served.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                () = &mut evicted => {}
                // On an error the caller sees its connection break.
                _ = served.as_mut() => return,
            }
        }
        _ = served.as_mut() => return,
    }
    // What it was sending is refused; an answer that it doesn't read is broken off.
    if client.is_receiving() {
        served.as_mut().graceful_shutdown();
        let _ = timeout(REFUSAL_TIMEOUT, served).await;
    }
}

/// Smallest read buffer that hyper accepts, in bytes. It grows for heads and bodies that are
/// larger.
const MIN_BUFFER: usize = 8192;

/// A stream whose reads fail once the timeout for a request head or for an idle
/// connection has passed. hyper's header timeout would include the idle time.
/// The timer is reset only when it fires, which is cheaper than at each
/// request.
struct TimeoutStream {
    stream: Metered<TcpStream>,
    conn: Arc<Conn>,
    limits: watch::Receiver<ServeLimits>,
    timer: Pin<Box<Sleep>>,
    /// Bytes of the head so far.
    head: usize,
}

impl TimeoutStream {
    /// Wraps `stream`; the timer first fires after the timeout for a head.
    fn new(
        stream: Metered<TcpStream>,
        conn: Arc<Conn>,
        limits: watch::Receiver<ServeLimits>,
    ) -> Self {
        let first = limits.borrow().head_timeout;
        Self {
            stream,
            conn,
            limits,
            timer: Box::pin(sleep(first)),
            head: 0,
        }
    }

    /// Records that bytes have come, which may be part of a large head.
    fn record_read(&mut self, bytes: usize) {
        match self.conn.phase() {
            Phase::Idle(_) => {
                self.conn.set_phase(Phase::Head(Instant::now()));
                self.head = bytes;
            }
            Phase::Head(_) => {
                self.head += bytes;
                if self.head >= MIN_BUFFER {
                    self.conn.charge_buffer(self.limits.borrow().max_head);
                }
            }
            Phase::Busy(_) => {}
        }
    }

    /// Ready once the timeout of the current phase has passed; never in [`Phase::Busy`].
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.timer.as_mut().poll(cx).is_ready() {
            let limits = *self.limits.borrow();
            let now = Instant::now();
            let deadline = match self.conn.phase() {
                Phase::Idle(since) => since + limits.idle_timeout,
                Phase::Head(since) => since + limits.head_timeout,
                Phase::Busy(_) => now + limits.head_timeout,
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
        let before = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(result) => {
                self.record_read(buf.filled().len() - before);
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

/// Reads a whole body of at most `limit` bytes, without a limit on the time.
///
/// # Errors
///
/// Fails if the body is larger than the limit or incomplete.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, ReceiveError>
where
    B: Body<Data = Bytes> + Unpin,
{
    Client::default().receive(body, limit, Duration::MAX).await
}
