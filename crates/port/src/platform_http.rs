//! Client of the platform's object API over HTTP with JSON.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use chestnut_conf::{Object, ObjectKey, ObjectKind, PlatformSettings};
use futures::{FutureExt, future::BoxFuture};
use hyper::{Method, StatusCode};
use serde::{Deserialize, de::DeserializeOwned};

use crate::{Changes, HttpClient, HttpReply, Listing, Platform, PlatformError, Vm, object_path};

/// Added to a watch's wait time to get the timeout of its HTTP call.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// HTTP client of the platform, with its address and the timeout of calls but watches.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpPlatform {
    /// Creates a client with the address and timeout of the settings. Connects
    /// to nothing yet.
    #[must_use]
    pub fn new(settings: &PlatformSettings) -> Self {
        Self {
            client: HttpClient::default(),
            address: settings.address,
            timeout: settings.timeout,
        }
    }

    /// Sends one request and waits up to `wait` for the reply. Fails on a version conflict,
    /// and with [`PlatformError::Unavailable`] on a server error or no reply; any other
    /// status is returned.
    async fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<HttpReply, PlatformError> {
        let reply = self
            .client
            .call(method, self.address, path, body, wait)
            .await
            .map_err(|_| PlatformError::Unavailable)?;
        match reply.status {
            StatusCode::CONFLICT => Err(conflict(&reply)),
            status if status.is_server_error() => Err(PlatformError::Unavailable),
            _ => Ok(reply),
        }
    }

    /// Sends a GET request and decodes the JSON reply; any status but success is an error.
    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<T, PlatformError> {
        parse(&self.request(Method::GET, path, Bytes::new(), wait).await?)
    }
}

impl Platform for HttpPlatform {
    /// Sends `GET /objects/KIND/NAME`.
    fn get(&self, key: ObjectKey) -> BoxFuture<'_, Result<Option<Object>, PlatformError>> {
        async move {
            let path = object_path(key.kind.as_str(), &key.name);
            let reply = self
                .request(Method::GET, &path, Bytes::new(), self.timeout)
                .await?;
            if reply.status == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            parse(&reply).map(Some)
        }
        .boxed()
    }

    /// Sends `GET /objects/KIND`.
    fn list(&self, kind: ObjectKind) -> BoxFuture<'_, Result<Listing, PlatformError>> {
        async move { self.read(&format!("/objects/{kind}"), self.timeout).await }.boxed()
    }

    /// Sends `PUT /objects/KIND/NAME` with the expected version as `if_version`.
    fn put(
        &self,
        key: ObjectKey,
        expected: u64,
        value: serde_json::Value,
    ) -> BoxFuture<'_, Result<u64, PlatformError>> {
        async move {
            let path = object_path(key.kind.as_str(), &key.name);
            let path = format!("{path}?if_version={expected}");
            let body = Bytes::from(value.to_string());
            let reply = self.request(Method::PUT, &path, body, self.timeout).await?;
            let written: PutReply = parse(&reply)?;
            Ok(written.version)
        }
        .boxed()
    }

    /// Sends `GET /watch/KIND`; its timeout is two seconds longer than `wait`.
    fn watch(
        &self,
        kind: ObjectKind,
        revision: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Changes, PlatformError>> {
        async move {
            let wait_ms = wait.as_millis();
            let path = format!("/watch/{kind}?after={revision}&wait_ms={wait_ms}");
            self.read(&path, wait + WATCH_MARGIN).await
        }
        .boxed()
    }

    /// Sends `GET /vms`.
    fn vms(&self) -> BoxFuture<'_, Result<Vec<Vm>, PlatformError>> {
        async move { self.read("/vms", self.timeout).await }.boxed()
    }
}

/// Body of the answer to a write.
#[derive(Deserialize)]
struct PutReply {
    version: u64,
}

/// Decodes a successful reply. Any other status is [`PlatformError::Refused`] with the
/// body as its reason, and so is a body that can't be decoded.
fn parse<T: DeserializeOwned>(reply: &HttpReply) -> Result<T, PlatformError> {
    if !reply.status.is_success() {
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        return Err(PlatformError::Refused(text));
    }
    serde_json::from_slice(&reply.body).map_err(|e| PlatformError::Refused(e.to_string()))
}

/// Returns the error for a conflict reply, with the version in its body; 0 if there is none.
fn conflict(reply: &HttpReply) -> PlatformError {
    let current = reply.json()["version"].as_u64().unwrap_or(0);
    PlatformError::Conflict { current }
}
