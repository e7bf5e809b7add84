//! What the HTTP sides towards callers and operators share.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use chestnut_port::read_body as port_body;
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
    time::timeout,
};

pub(crate) type Reply = Response<Full<Bytes>>;

/// Rest after a failed accept, which is mostly a lack of descriptors.
const ACCEPT_REST: Duration = Duration::from_millis(50);
/// Longest wait for connections to end once they were asked to.
const CLOSE_WAIT: Duration = Duration::from_secs(5);

/// Bounds of one HTTP side.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WebLimits {
    /// Largest body.
    pub(crate) body: usize,
    /// Most headers.
    pub(crate) headers: usize,
    /// Longest time for a caller to send its request.
    pub(crate) patience: Duration,
    /// Open connections.
    pub(crate) connections: usize,
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is larger than the limit.
    Large,
    /// It did not come in time.
    Slow,
    /// The connection broke.
    Broken,
}

impl BodyError {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Large => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::Broken => StatusCode::BAD_REQUEST,
        }
    }

    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Large => "the body is larger than the limit of this entry",
            Self::Slow => "the body did not come in time",
            Self::Broken => "the body broke off",
        }
    }
}

/// Most bytes of a body over the limit that are read and thrown away. A caller
/// that is still writing when the connection closes sees a reset instead of
/// the reply that tells it what is wrong.
const DISCARD_MAX: usize = 16 << 20;

/// Reads a whole body within the limits.
pub(crate) async fn read_body(mut body: Incoming, limits: &WebLimits) -> Result<Bytes, BodyError> {
    let read = timeout(limits.patience, port_body(&mut body, limits.body)).await;
    match read {
        Err(_) => Err(BodyError::Slow),
        Ok(Err(chestnut_port::BodyError::Large)) => {
            let _ = timeout(limits.patience, discard(&mut body)).await;
            Err(BodyError::Large)
        }
        Ok(Err(chestnut_port::BodyError::Broken)) => Err(BodyError::Broken),
        Ok(Ok(body)) => Ok(body),
    }
}

async fn discard(body: &mut Incoming) {
    let mut left = DISCARD_MAX;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        left = left.saturating_sub(length);
        if left == 0 {
            return;
        }
    }
}

/// A JSON reply.
pub(crate) fn json(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// A JSON error that is no refusal: a wrong path or method.
pub(crate) fn error(status: StatusCode, text: &str) -> Reply {
    json(status, serde_json::json!({ "error": text }).to_string())
}

/// The values of a query string, undecoded: names and numbers need no escape.
pub(crate) fn param<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Serves HTTP/1.1 and HTTP/2 on `listener` until `closing` turns true, then
/// lets each connection finish what it is at.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    limits: WebLimits,
    mut closing: watch::Receiver<bool>,
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
            _ = closing.wait_for(|closing| *closing) => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_REST).await;
            continue;
        };
        // Beyond the limit a connection is closed at once: the caller sees it
        // and goes to another entry, instead of waiting here unserved.
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            continue;
        };
        let connection = connection(stream, limits, handle.clone());
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let _slot = slot;
            // A broken connection is the caller's to notice.
            let _ = watched.await;
        });
    }
    drop(listener);
    let _ = timeout(CLOSE_WAIT, graceful.shutdown()).await;
}

fn connection<H, F>(
    stream: TcpStream,
    limits: WebLimits,
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
        .header_read_timeout(limits.patience)
        .max_headers(limits.headers);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(limits.patience)
        .max_header_list_size(HEADER_BYTES);
    builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned()
}

/// Most bytes of headers over HTTP/2, where their number has no bound of its
/// own.
const HEADER_BYTES: u32 = 16 << 10;

/// Binds a listener.
pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}
