//! HTTP client for the operators' interface of an entry.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use bytes::Bytes;
use chestnut_port::HttpClient;
use displaydoc::Display;
use hyper::{Method, StatusCode};
use serde_json::Value;

/// Timeout of one call; an edit during an outage may take several seconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout of a read of metrics, which an entry answers from memory. Entries that are down must
/// not hold up what the others report.
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a command failed: refused by the entry, conflict with another edit, no reply from
/// the entry, platform outage, edit with unknown outcome, unreadable file, or no metrics.
#[derive(Debug, Display)]
pub(crate) enum CliError {
    /// {0}
    Refused(String),
    /// {0}
    Conflict(String),
    /// can't reach the entry at {0}; give another with --entry
    Unreachable(SocketAddr),
    /// {0}
    Outage(String),
    /// {text}; run the same command again with --edit {edit}
    Unsettled {
        /// The entry's error text.
        text: String,
        /// The id of the edit, with which to repeat it.
        edit: String,
    },
    /// can't read {0}: {1}
    File(PathBuf, String),
    /// no key on standard input; write one line
    NoKey,
    /// no entry could be asked: {0}
    NoMetrics(String),
}

impl CliError {
    /// Returns the exit status of the command, from 1 to 5.
    pub(crate) fn status(&self) -> u8 {
        match self {
            Self::Refused(_) => 1,
            Self::File(..) | Self::NoKey => 2,
            Self::Conflict(_) => 3,
            Self::Unreachable(_) | Self::Outage(_) | Self::NoMetrics(_) => 4,
            Self::Unsettled { .. } => 5,
        }
    }
}

/// A client of one entry (a process of the query tier that callers connect to).
pub(crate) struct Client {
    http: HttpClient,
    /// Operators' address of the entry.
    address: SocketAddr,
}

impl Client {
    /// Creates a client of the entry with the operators' address `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            http: HttpClient::default(),
            address,
        }
    }

    /// Returns a client of the entry with the operators' address `address`, with the same
    /// HTTP client.
    pub(crate) fn for_entry(&self, address: SocketAddr) -> Self {
        Self {
            http: self.http.clone(),
            address,
        }
    }

    /// Sends a GET request; returns the JSON body of the reply. Fails as
    /// [`Client::call`] does.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, CliError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Returns the text of the metrics; `address` is that of the metrics. Fails with
    /// `Unreachable` without a reply in [`METRICS_TIMEOUT`], and with `Refused` if its status is
    /// no success.
    pub(crate) async fn metrics(&self) -> Result<String, CliError> {
        let reply = self
            .http
            .call(
                Method::GET,
                self.address,
                "/metrics",
                Bytes::new(),
                METRICS_TIMEOUT,
            )
            .await
            .map_err(|_| CliError::Unreachable(self.address))?;
        if !reply.status.is_success() {
            return Err(CliError::Refused(format!("status {}", reply.status)));
        }
        Ok(String::from_utf8_lossy(&reply.body).into_owned())
    }

    /// Sends a request; returns the body of the reply as JSON, or null if it is not JSON.
    /// Fails with `Unreachable` if the HTTP call fails, else by status: 409 `Conflict`, 503
    /// `Outage`, 504 `Unsettled`, any other that is not a success `Refused`.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Value, CliError> {
        let reply = self
            .http
            .call(method, self.address, path, body, CALL_TIMEOUT)
            .await
            .map_err(|_| CliError::Unreachable(self.address))?;
        let value = reply.json();
        if reply.status.is_success() {
            return Ok(value);
        }
        let text = value["error"]
            .as_str()
            .unwrap_or("no reason given")
            .to_owned();
        Err(match reply.status {
            StatusCode::CONFLICT => CliError::Conflict(text),
            StatusCode::SERVICE_UNAVAILABLE => CliError::Outage(text),
            StatusCode::GATEWAY_TIMEOUT => CliError::Unsettled {
                text,
                edit: value["edit"].as_str().unwrap_or_default().to_owned(),
            },
            _ => CliError::Refused(text),
        })
    }
}
