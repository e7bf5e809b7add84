//! A small HTTP client for the platform, the command line and the tests.

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

/// Longest wait for a connection to open.
const CONNECT: Duration = Duration::from_secs(1);
/// Longest silence of a server in the middle of an answer that is read by
/// [`HttpClient::read`].
const SILENCE: Duration = Duration::from_secs(1);
/// Longest that such an answer is read beyond its wait.
const SLOW_MAX: Duration = Duration::from_secs(5);
/// Servers of which it is kept when bytes came last. A process speaks to a few.
const SERVERS: usize = 16;
/// Largest answer that is read.
const ANSWER_MAX: usize = 64 << 20;

use crate::{Distance, Flow, Purpose, Silence, Traffic};

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum HttpError {
    /// the server can't be reached
    Connect,
    /// the server gave no whole answer in time
    Lost,
}

impl std::error::Error for HttpError {}

/// An answer.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl HttpReply {
    /// The body as JSON, null if it is none.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// A client that keeps connections open between calls.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    /// When bytes came last from a server, on any connection.
    heard: Arc<Mutex<BTreeMap<SocketAddr, Instant>>>,
    traffic: Arc<Traffic>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT));
        let silence = Silence::default();
        connector.set_keepalive(Some(silence.probe));
        connector.set_keepalive_interval(Some(silence.probe));
        connector.set_keepalive_retries(Some(silence.probes));
        connector.set_tcp_user_timeout(Some(silence.unacked));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            heard: Arc::default(),
            traffic: Arc::default(),
        }
    }
}

impl HttpClient {
    /// A client whose bodies, both ways, are counted as the store's in `traffic`.
    #[must_use]
    pub fn metered(traffic: Arc<Traffic>) -> Self {
        Self {
            traffic,
            ..Self::default()
        }
    }

    /// Makes one call with a JSON body.
    ///
    /// # Errors
    ///
    /// No connection, or no whole answer within `wait`.
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

    /// Makes one call like [`HttpClient::call`], and goes on beyond `wait` for as long
    /// as bytes come from the server.
    ///
    /// An answer of a megabyte takes 0.7 s on a link of 14 Mbit/s, and what is asked
    /// meanwhile waits behind it. By a wait alone the server would count as lost, and
    /// what has come would be thrown away.
    ///
    /// # Errors
    ///
    /// No connection, no answer within `wait`, or a server that falls silent for a
    /// second in the middle of it.
    pub async fn read(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<HttpReply, HttpError> {
        let request = request(method, address, path, body)?;
        let asked = Instant::now();
        let mut answer = pin!(self.send(request, address));
        let mut end = asked + wait;
        loop {
            if let Ok(answer) = timeout_at(end, &mut answer).await {
                return answer;
            }
            let heard = lock(&self.heard).get(&address).copied().unwrap_or(asked);
            let slow = (heard + wait.min(SILENCE)).min(asked + wait + SLOW_MAX);
            if slow <= end {
                return Err(HttpError::Lost);
            }
            end = slow;
        }
    }

    async fn send(
        &self,
        request: Request<Full<Bytes>>,
        server: SocketAddr,
    ) -> Result<HttpReply, HttpError> {
        let sent = request.body().size_hint().exact().unwrap_or(0);
        self.count(Flow::Out, sent as usize);
        let answer = self.client.request(request).await.map_err(|e| {
            if e.is_connect() {
                HttpError::Connect
            } else {
                HttpError::Lost
            }
        })?;
        self.hear(server);
        let (parts, body) = answer.into_parts();
        let body = body.map_frame(|frame| {
            self.hear(server);
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.count(Flow::In, bytes);
            frame
        });
        let collected = Limited::new(body, ANSWER_MAX)
            .collect()
            .await
            .map_err(|_| HttpError::Lost)?;
        Ok(HttpReply {
            status: parts.status,
            headers: parts.headers,
            body: collected.to_bytes(),
        })
    }

    fn count(&self, flow: Flow, bytes: usize) {
        self.traffic.add(Purpose::Store, Distance::Far, flow, bytes);
    }

    fn hear(&self, server: SocketAddr) {
        let mut heard = lock(&self.heard);
        if heard.len() >= SERVERS && !heard.contains_key(&server) {
            heard.pop_first();
        }
        heard.insert(server, Instant::now());
    }
}

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
