//! HTTP server code shared by the listeners for callers and operators.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use chestnut_port::{Memory, ReceiveError};
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::{Instant, timeout, timeout_at},
};

/// An HTTP response with a complete body.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Backoff after a failed accept, usually for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Limits of one HTTP listener.
#[derive(Clone, Debug)]
pub(crate) struct WebLimits {
    /// Memory for the request bodies of all listeners.
    pub(crate) memory: Memory,
    /// Maximum size of a request body in bytes.
    pub(crate) body: usize,
    /// Maximum number of headers over HTTP/1.1.
    pub(crate) headers: usize,
    /// Timeout for the headers and for the body of a request, and keep-alive
    /// interval over HTTP/2.
    pub(crate) request_timeout: Duration,
    /// Maximum number of open connections.
    pub(crate) connections: usize,
}

/// Why a request body could not be read: too large, too slow, broken off or without room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body exceeds the limit.
    Large,
    /// The body did not arrive in time.
    Slow,
    /// The connection failed.
    Broken,
    /// The process can't hold it beside those of others.
    NoRoom,
}

impl BodyError {
    /// The HTTP status for this error.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Large => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::Broken => StatusCode::BAD_REQUEST,
            Self::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The message for the caller.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Large => "the body is larger than the limit of this entry",
            Self::Slow => "the body did not come in time",
            Self::Broken => "the body broke off",
            Self::NoRoom => "this entry can't hold the body beside those of others",
        }
    }
}

/// Maximum number of bytes of an oversized body that are read and dropped,
/// since a caller that still writes would get a reset instead of the reply.
const MAX_DISCARD: usize = 16 << 20;

/// Reads a request body within the limits of size and time. Much of a body that
/// is too large is read on and dropped, so that the caller gets the error
/// reply.
pub(crate) async fn read_body(mut body: Incoming, limits: &WebLimits) -> Result<Bytes, BodyError> {
    let client = limits.memory.client();
    let received = client.receive(&mut body, limits.body, limits.request_timeout);
    let read = timeout(limits.request_timeout, received).await;
    match read {
        Err(_) => Err(BodyError::Slow),
        Ok(Err(ReceiveError::TooLarge)) => {
            let _ = timeout(limits.request_timeout, discard(&mut body)).await;
            Err(BodyError::Large)
        }
        Ok(Err(ReceiveError::Evicted)) => Err(BodyError::NoRoom),
        Ok(Err(ReceiveError::Stalled)) => Err(BodyError::Slow),
        Ok(Err(ReceiveError::Incomplete)) => Err(BodyError::Broken),
        Ok(Ok(body)) => Ok(body),
    }
}

/// Reads and drops the rest of a body, up to [`MAX_DISCARD`] bytes.
async fn discard(body: &mut Incoming) {
    let mut left = MAX_DISCARD;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        left = left.saturating_sub(length);
        if left == 0 {
            return;
        }
    }
}

/// Builds a JSON reply; `body` must be JSON already.
pub(crate) fn json(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Builds a JSON error reply with `text` as its message, for errors that are
/// not refusals.
pub(crate) fn error(status: StatusCode, text: &str) -> Reply {
    json(status, serde_json::json!({ "error": text }).to_string())
}

/// The first value of a query parameter; `None` if it is absent. Values are not
/// percent-decoded: the names and numbers that are expected need no escapes.
pub(crate) fn param<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Serves HTTP/1.1 and HTTP/2 on `listener` until `closing` holds a time, then shuts
/// the connections down gracefully, until that time at most. Connections beyond the
/// limit are closed at once.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    limits: WebLimits,
    mut closing: watch::Receiver<Option<Instant>>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let slots = Arc::new(Semaphore::new(limits.connections));
    loop {
        let accepted = tokio::select! {
            biased;
            _ = closing.wait_for(Option::is_some) => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        // A connection beyond the limit is closed at once, so that the caller
        // tries another entry instead of waiting here.
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            continue;
        };
        let connection = connection(
            stream,
            limits.headers,
            limits.request_timeout,
            handle.clone(),
        );
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let _slot = slot;
            // The caller also sees that the connection failed, and may retry.
            let _ = watched.await;
        });
    }
    drop(listener);
    let until = closing.borrow().unwrap_or_else(Instant::now);
    let _ = timeout_at(until, graceful.shutdown()).await;
}

/// Sets up the HTTP service of one connection with the limits of its listener;
/// the connection is served when the result is polled.
fn connection<H, F>(
    stream: TcpStream,
    headers: usize,
    request_timeout: Duration,
    handle: H,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = impl Send> + Send
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let reply = handle(request);
        async move { Ok::<_, std::convert::Infallible>(reply.await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_buf_size(READ_BUFFER_MAX)
        .header_read_timeout(request_timeout)
        .max_headers(headers);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(request_timeout)
        .max_header_list_size(MAX_HEADER_BYTES);
    builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned()
}

/// Largest read buffer of an HTTP/1.1 connection, and largest head of a request, in bytes. Each
/// open connection keeps its buffer.
const READ_BUFFER_MAX: usize = 64 << 10;

/// Maximum size of headers over HTTP/2 in bytes, where their number is not
/// limited.
const MAX_HEADER_BYTES: u32 = 16 << 10;

/// Binds a TCP listener to `address`.
pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}
