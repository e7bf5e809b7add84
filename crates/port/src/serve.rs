//! Serves HTTP/1.1 to callers, with bounds on what they send and how long they
//! take.

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

use crate::{Account, Distance, Purpose, Silence, traffic::Metered};

/// Bounds on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServeLimits {
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Longest time for a head to arrive, from its first byte.
    pub head_time: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_time: Duration,
    /// Open connections.
    pub connections: usize,
}

/// Rest after a failed accept, which is mostly a lack of descriptors.
const ACCEPT_REST: Duration = Duration::from_millis(50);

/// Whether connections are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// New connections are taken, and all are kept.
    Open,
    /// New connections are refused, and each one closes when it is idle.
    Closing,
}

/// An HTTP/1.1 server. Dropping it closes all at once; [`Server::close`] lets
/// each connection finish its request.
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
    /// The address can't be bound.
    pub async fn bind<H, F>(address: SocketAddr, limits: ServeLimits, handle: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
    {
        let account = Account {
            traffic: Arc::default(),
            purpose: Purpose::Callers,
            distance: Distance::Far,
        };
        Self::bind_metered(address, limits, account, handle).await
    }

    /// Binds `address` like [`Server::bind`], and counts what callers send and get.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind_metered<H, F>(
        address: SocketAddr,
        limits: ServeLimits,
        account: Account,
        handle: H,
    ) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let (stage, stages) = watch::channel(Stage::Open);
        let (limits, limited) = watch::channel(limits);
        let open = Arc::new(AtomicUsize::new(0));
        Ok(Self {
            address: listener.local_addr()?,
            stage,
            limits,
            task: tokio::spawn(accept(
                listener,
                limited,
                stages,
                open.clone(),
                account,
                handle,
            )),
            open,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the bounds. The head's size holds for new connections only.
    pub fn set_limits(&self, limits: ServeLimits) {
        self.limits.send_if_modified(|old| {
            let new = *old != limits;
            *old = limits;
            new
        });
    }

    /// Connections that are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Takes no new connections, closes idle ones, and lets the rest finish
    /// what they are at, for at most `wait`.
    pub async fn close(&self, wait: Duration) {
        /// Time between two looks at what is still open.
        const LOOK: Duration = Duration::from_millis(10);
        self.stage.send_replace(Stage::Closing);
        let until = Instant::now() + wait;
        while self.open() > 0 && Instant::now() < until {
            sleep(LOOK).await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<H, F>(
    listener: TcpListener,
    limits: watch::Receiver<ServeLimits>,
    mut stages: watch::Receiver<Stage>,
    open: Arc<AtomicUsize>,
    account: Account,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    // Aborted with the task, so that dropping the server closes all.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            biased;
            () = closing(&mut stages) => break,
            Some(_) = connections.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_REST).await;
            continue;
        };
        // Beyond the limit a connection is closed at once: the caller sees it
        // and goes to another entry, instead of waiting here unserved.
        if open.load(Ordering::Relaxed) >= limits.borrow().connections {
            continue;
        }
        let held = Held::new(&open);
        // A connection that is gone already ends with its first read.
        let _ = Silence::default().apply(&stream);
        let stream = Metered::new(stream, account.clone());
        let served = connection(stream, limits.clone(), stages.clone(), handle.clone());
        connections.spawn(async move {
            let _held = held;
            served.await;
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits until connections are no longer kept.
async fn closing(stages: &mut watch::Receiver<Stage>) {
    // An error means that the server is gone, and its connections with it.
    let _ = stages.wait_for(|stage| *stage >= Stage::Closing).await;
}

/// Counts an open connection.
struct Held(Arc<AtomicUsize>);

impl Held {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open.clone())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn connection<H, F>(
    stream: Metered<TcpStream>,
    limits: watch::Receiver<ServeLimits>,
    mut stages: watch::Receiver<Stage>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let phase = Arc::new(Mutex::new(Phase::Idle(Instant::now())));
    let head = limits.borrow().head;
    let io = Timed::new(stream, phase.clone(), limits);
    let service = service_fn(move |request| {
        set(&phase, Phase::Busy);
        let (reply, phase) = (handle(request), phase.clone());
        async move {
            let reply = reply.await;
            set(&phase, Phase::Idle(Instant::now()));
            Ok::<_, std::convert::Infallible>(reply)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(head.max(MIN_BUFFER))
        .auto_date_header(false);
    let mut served = std::pin::pin!(builder.serve_connection(TokioIo::new(io), service));
    tokio::select! {
        biased;
        () = closing(&mut stages) => {
            served.as_mut().graceful_shutdown();
            // A broken connection is the caller's to notice.
            let _ = served.await;
        }
        _ = served.as_mut() => {}
    }
}

/// Least size of a connection's read buffer that the library accepts.
const MIN_BUFFER: usize = 8192;

/// What a connection is at.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Between requests, since then.
    Idle(Instant),
    /// Reading a head whose first byte came then.
    Head(Instant),
    /// A request is being served.
    Busy,
}

fn set(phase: &Mutex<Phase>, to: Phase) {
    *phase.lock().unwrap_or_else(PoisonError::into_inner) = to;
}

/// A connection that ends when its caller takes too long over a head or stays
/// idle too long. The library's own bound would count idle time as time of the
/// head. The timer is set anew only when it fires, not with every request.
struct Timed {
    stream: Metered<TcpStream>,
    phase: Arc<Mutex<Phase>>,
    limits: watch::Receiver<ServeLimits>,
    timer: Pin<Box<Sleep>>,
}

impl Timed {
    fn new(
        stream: Metered<TcpStream>,
        phase: Arc<Mutex<Phase>>,
        limits: watch::Receiver<ServeLimits>,
    ) -> Self {
        let first = limits.borrow().head_time;
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

    /// Ready once the caller's time is up.
    fn poll_late(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.timer.as_mut().poll(cx).is_ready() {
            let limits = *self.limits.borrow();
            let now = Instant::now();
            let until = match self.phase() {
                Phase::Idle(since) => since + limits.idle_time,
                Phase::Head(since) => since + limits.head_time,
                Phase::Busy => now + limits.head_time,
            };
            if until <= now {
                return Poll::Ready(());
            }
            // A head may begin at any time: look again within its time.
            let look = until.min(now + limits.head_time);
            self.timer.set(sleep_until(look));
        }
        Poll::Pending
    }
}

impl AsyncRead for Timed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(result) => {
                if let Phase::Idle(_) = self.phase() {
                    set(&self.phase, Phase::Head(Instant::now()));
                }
                Poll::Ready(result)
            }
            Poll::Pending => match self.poll_late(cx) {
                Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
                Poll::Pending => Poll::Pending,
            },
        }
    }
}

impl AsyncWrite for Timed {
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

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the limit.
    Large,
    /// The connection broke.
    Broken,
}

/// Reads a whole body of at most `most` bytes.
///
/// # Errors
///
/// It is larger, or broke off.
pub async fn read_body<B>(body: B, most: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > most as u64 {
        return Err(BodyError::Large);
    }
    match Limited::new(body, most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::Large),
        Err(_) => Err(BodyError::Broken),
    }
}
