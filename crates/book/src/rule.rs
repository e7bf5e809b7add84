//! Routing rules and the limits that a route book sets.

use std::time::Duration;

use chestnut_unit::{CallRate, Number, ServiceName, Share};
use serde::{Deserialize, Serialize};

use crate::whole_weights;

/// Whether a request may be sent to another target after a first one may have
/// run it: yes if `Idempotent`, no if `Once`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetrySafety {
    /// Safe to run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    Once,
}

/// The services that requests of a rule are sent to: one, one of several by weight,
/// or every shard of a set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// A single service.
    One(ServiceName),
    /// One of several services, in proportion to their weights.
    Split(Vec<(ServiceName, u32)>),
    /// Every shard of a set (scatter-gather), each shard being a service.
    Gather {
        /// The shards.
        shards: Vec<ServiceName>,
        /// Minimum coverage: the share of shards that an answer must include.
        least: Share,
        /// Maximum number of records in an answer.
        top: usize,
    },
}

impl Target {
    /// Makes a split of services, each with its weight.
    pub fn split(parts: impl IntoIterator<Item = (ServiceName, Number)>) -> Self {
        let (services, weights): (Vec<_>, Vec<_>) = parts.into_iter().unzip();
        Self::Split(services.into_iter().zip(whole_weights(&weights)).collect())
    }

    /// Iterates over all services named by the target.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (one, split, shards) = match self {
            Self::One(service) => (Some(service), None, None),
            Self::Split(parts) => (None, Some(parts), None),
            Self::Gather { shards, .. } => (None, None, Some(shards)),
        };
        let split = split.into_iter().flatten().map(|(service, _)| service);
        one.into_iter()
            .chain(split)
            .chain(shards.into_iter().flatten())
    }
}

/// How requests to one host and path prefix are routed: their target, and their
/// retries, timeout, latency objective and priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// Name, for logs.
    pub name: String,
    /// Host of the request, without a port.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried after they may have run.
    pub kind: RetrySafety,
    /// Maximum number of targets that may run one request, for each shard.
    pub attempts: u32,
    /// Time limit for the whole request.
    pub timeout: Duration,
    /// Latency objective.
    #[serde(rename = "goal")]
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub rank: u32,
    /// Whether callers need no key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
    /// Where requests are sent.
    pub target: Target,
}

/// Limits of a service's targets: connections to each, and the call rate while one is
/// cold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Maximum connections to one target, over all entries.
    pub connections: usize,
    /// Limit for cold targets, if there is one.
    #[serde(default)]
    pub cold: Option<ColdRule>,
}

/// Call limit of a cold target, that is, a recently started one. A target that
/// gets more calls while it is cold crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdRule {
    /// Maximum rate of calls to one cold target, over all entries.
    pub rate: CallRate,
    /// How long a target is cold after its start.
    pub span: Duration,
}

impl ColdRule {
    /// Makes a limit of so many calls per second; `None` for a rate of 0, which is no limit.
    #[must_use]
    pub fn new(per_second: Number, span: Duration) -> Option<Self> {
        let rate = CallRate::at_most(per_second.as_f64());
        (rate > CallRate::default()).then_some(Self { rate, span })
    }
}

/// Limits on callers: size and receiving time of a request head, size of a body, and
/// idle time of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Time limit for receiving a head, counted from its first byte.
    pub head_time: Duration,
    /// Time after which an idle connection is closed.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Limits until a route book is loaded: 16 KiB and 5 s for a head, 256 KiB for a body,
    /// 30 s for an idle connection.
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 256 << 10,
            head_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(30),
        }
    }
}
