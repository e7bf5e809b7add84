//! One rule of a book.

use std::time::Duration;

use chestnut_unit::{CallRate, ServiceName, Share};
use serde::{Deserialize, Serialize};

/// Whether a request may be sent to a second back end after one that may have
/// run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Running it twice changes nothing.
    Idempotent,
    /// It runs at most once for each attempt of the caller.
    Once,
}

/// Where requests of a rule go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// To one service.
    One(ServiceName),
    /// To one of several, in proportion to their weights.
    Split(Vec<(ServiceName, u32)>),
    /// To every shard of a set. Each shard is a service of its own.
    Gather {
        /// The shards.
        shards: Vec<ServiceName>,
        /// Least share of them that an answer must cover.
        least: Share,
        /// Records that an answer holds at most.
        top: usize,
    },
}

impl Target {
    /// Every service that it names.
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

/// What becomes of requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// Its name, for logs.
    pub name: String,
    /// The host that requests name, without a port.
    pub host: String,
    /// What their paths begin with. It begins and ends with a slash.
    pub prefix: String,
    /// Whether they may be repeated.
    pub kind: Kind,
    /// Back ends that may run one request, for each shard.
    pub attempts: u32,
    /// Longest time that a caller may be kept waiting.
    pub timeout: Duration,
    /// Time within which callers want the answer.
    pub goal: Duration,
    /// Its urgency; 0 is the highest.
    pub rank: u32,
    /// Where they go.
    pub target: Target,
}

/// What the book says of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Connections that one back end of it accepts from all entries together.
    pub connections: usize,
    /// What its back ends take while they are cold, if that is bounded.
    #[serde(default)]
    pub cold: Option<ColdRule>,
}

/// What a back end takes while it is cold. It crashes when it gets more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdRule {
    /// Calls of all entries together.
    pub rate: CallRate,
    /// How long it is cold after its start.
    pub span: Duration,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// Longest time for a head to arrive, from its first byte.
    pub head_time: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// In force until a book is known: the sizes that common servers take.
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 256 << 10,
            head_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(30),
        }
    }
}
