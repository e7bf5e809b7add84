//! A small HTTP client for the platform, the command line and tests.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use chestnut_unit::lock;
use displaydoc::Display;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request, StatusCode, body::Body};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::time::{Instant, timeout, timeout_at};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time without bytes from a server during [`HttpClient::call_extending`].
const STALL_MAX: Duration = Duration::from_secs(1);
/// Maximum time by which [`HttpClient::call_extending`] exceeds its `wait`.
const EXTENSION_MAX: Duration = Duration::from_secs(5);
/// Maximum number of servers whose time of last receipt is stored.
const SERVERS_MAX: usize = 16;
/// Maximum size of a response body, in bytes.
const BODY_MAX: usize = 64 << 20;

use crate::{Direction, Distance, Purpose, TcpLiveness, Traffic};

/// Why a call returned no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum HttpError {
    /// the server can't be reached
    Connect,
    /// the server gave no whole answer in time
    Lost,
}

impl std::error::Error for HttpError {}

/// A complete response.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl HttpReply {
    /// Parses the body as JSON; null if it is invalid.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// An HTTP client that reuses connections, counts the bytes of bodies, and records when
/// each server last sent some.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    /// When bytes last arrived from a server, on any connection.
    received: Arc<Mutex<BTreeMap<SocketAddr, Instant>>>,
    traffic: Arc<Traffic>,
}

impl Default for HttpClient {
    /// Creates a client with a connect timeout of 1 s and TCP keep-alive. Its byte counts
    /// go to counters of its own.
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let liveness = TcpLiveness::default();
        connector.set_keepalive(Some(liveness.probe_interval));
        connector.set_keepalive_interval(Some(liveness.probe_interval));
        connector.set_keepalive_retries(Some(liveness.max_probes));
        connector.set_tcp_user_timeout(Some(liveness.user_timeout));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            received: Arc::default(),
            traffic: Arc::default(),
        }
    }
}

impl HttpClient {
    /// Creates a client that counts its request and response bodies in `traffic`, as
    /// traffic with the store.
    #[must_use]
    pub fn with_traffic(traffic: Arc<Traffic>) -> Self {
        Self {
            traffic,
            ..Self::default()
        }
    }

    /// Makes one call with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails if no connection opens or no complete response arrives within `wait`.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<HttpReply, HttpError> {
        let request = request(method, address, path, body)?;
        timeout(wait, self.send(request, address))
            .await
            .unwrap_or(Err(HttpError::Lost))
    }

    /// Makes one call like [`HttpClient::call`], but continues beyond `wait` while bytes
    /// arrive from the server on any connection.
    ///
    /// With a fixed timeout, a large response on a slow link, or a call queued behind
    /// one, would fail although the server is healthy, and what was read would be lost.
    ///
    /// # Errors
    ///
    /// Fails if no connection opens, if no byte arrives within `wait`, if the server then
    /// stalls for `wait` or one second (whichever is shorter), or if the response is still
    /// incomplete five seconds after `wait`.
    pub async fn call_extending(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<HttpReply, HttpError> {
        let request = request(method, address, path, body)?;
        let start = Instant::now();
        let mut answer = pin!(self.send(request, address));
        let mut end = start + wait;
        loop {
            if let Ok(answer) = timeout_at(end, &mut answer).await {
                return answer;
            }
            let received = lock(&self.received).get(&address).copied().unwrap_or(start);
            let extended = (received + wait.min(STALL_MAX)).min(start + wait + EXTENSION_MAX);
            if extended <= end {
                return Err(HttpError::Lost);
            }
            end = extended;
        }
    }

    /// Sends a request and reads the whole response, without a timeout. Counts the bytes of
    /// both bodies and records each receipt. Fails with [`HttpError::Connect`] if no
    /// connection opens, and else with [`HttpError::Lost`].
    async fn send(
        &self,
        request: Request<Full<Bytes>>,
        server: SocketAddr,
    ) -> Result<HttpReply, HttpError> {
        let sent = request.body().size_hint().exact().unwrap_or(0);
        self.count(Direction::Out, sent as usize);
        let answer = self.client.request(request).await.map_err(|e| {
            if e.is_connect() {
                HttpError::Connect
            } else {
                HttpError::Lost
            }
        })?;
        self.record_receipt(server);
        let (parts, body) = answer.into_parts();
        let body = body.map_frame(|frame| {
            self.record_receipt(server);
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.count(Direction::In, bytes);
            frame
        });
        let collected = Limited::new(body, BODY_MAX)
            .collect()
            .await
            .map_err(|_| HttpError::Lost)?;
        Ok(HttpReply {
            status: parts.status,
            headers: parts.headers,
            body: collected.to_bytes(),
        })
    }

    /// Counts body bytes as traffic with the store.
    fn count(&self, direction: Direction, bytes: usize) {
        self.traffic
            .add(Purpose::Store, Distance::Remote, direction, bytes);
    }

    /// Records that bytes from `server` arrived now. At [`SERVERS_MAX`] a new server replaces
    /// the one with the lowest address.
    fn record_receipt(&self, server: SocketAddr) {
        let mut received = lock(&self.received);
        if received.len() >= SERVERS_MAX && !received.contains_key(&server) {
            received.pop_first();
        }
        received.insert(server, Instant::now());
    }
}

/// Builds a request with a JSON body; [`HttpError::Connect`] if the path is invalid.
fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, HttpError> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(body))
        .map_err(|_| HttpError::Connect)
}
