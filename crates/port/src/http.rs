//! A small HTTP client for the platform, the command line and the tests.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// Longest wait for a connection to open.
const CONNECT: Duration = Duration::from_secs(1);
/// Largest answer that is read.
const ANSWER_MAX: usize = 64 << 20;

use crate::Silence;

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
        }
    }
}

impl HttpClient {
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
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|_| HttpError::Connect)?;
        tokio::time::timeout(wait, self.send(request))
            .await
            .unwrap_or(Err(HttpError::Lost))
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<HttpReply, HttpError> {
        let answer = self.client.request(request).await.map_err(|e| {
            if e.is_connect() {
                HttpError::Connect
            } else {
                HttpError::Lost
            }
        })?;
        let (parts, body) = answer.into_parts();
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
}
