//! Configuration, actions and outcomes of a query.

use chestnut_unit::{Share, Time, Urgency};

use crate::{Class, Ix};

/// Index of a call within its query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u32);

/// Reason for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// The first call for its shards.
    First,
    /// A second call for shards that are late.
    Hedge,
    /// A call after an earlier one was lost.
    Retry,
    /// A call after an earlier one was shed. Shedding costs a target little, so the
    /// budget allows more of these.
    RetryAfterShed,
    /// A call after an earlier one that cost its target nothing: it was never sent,
    /// the target is leaving or lacks the snapshot, or the connection was silent. It
    /// adds no load and is limited by the number of replicas, not by a budget.
    Reroute,
}

impl CallKind {
    /// Returns the kind's name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
            Self::RetryAfterShed => "retry after shed",
            Self::Reroute => "reroute",
        }
    }
}

/// An action that the caller of the query must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call a back end.
    Call {
        /// Index of the call.
        call: CallId,
        /// The back end.
        to: Ix,
        /// Requested shards, as positions in the query.
        shards: Vec<usize>,
        /// Reason for the call.
        kind: CallKind,
        /// Deadline for the back end, earlier than the query's.
        deadline: Time,
    },
    /// Cancel a call whose answer is no longer needed.
    Cancel(CallId),
}

/// Why a query ended with some shards missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartialReason {
    /// The deadline passed.
    Deadline,
    /// A shard has no replica left to try, or no budget to try it.
    NoReplica,
    /// The back ends of too many shards are at capacity, and no call was made.
    NoCapacity,
    /// A shard's replicas no longer have the snapshot.
    SnapshotLost,
    /// The answer has the minimum coverage and the latency objective has passed, or
    /// all missing shards have only unresponsive back ends.
    Sufficient,
    /// The process ends before the calls can.
    Stopping,
}

/// How a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All shards answered.
    Complete,
    /// Some shards are missing.
    Partial(PartialReason),
}

/// Whether a call may be repeated when an earlier one may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Yes: the call is idempotent.
    Idempotent,
    /// Only after proof that none of the earlier calls ran.
    OnlyIfNotRun,
}

/// Whether an answer can still meet the caller's latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeliness {
    /// It can.
    InTime,
    /// The caller has already waited too long, at other entries or for a connection.
    /// Its calls must not take capacity or budget from other queries.
    Late,
}

/// Whether a query's request is suspected to crash the back ends that run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// It is not suspected.
    Trusted,
    /// Back ends crashed under it and none has answered it since. It gets a single
    /// call until one has answered.
    Suspected,
}

/// How a query waits for capacity before its first call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueueConfig {
    /// It checks for capacity at intervals, in no order among queries.
    Polling,
    /// As [`QueueConfig::Polling`], with another bound on the wait, and returning callers first.
    Bounded(BoundedWait),
    /// It waits in the table's queue.
    Ordered(QueueRank),
}

/// How a query waits that checks for capacity at intervals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundedWait {
    /// Longest wait for the first call, as a share of the time to the latency objective, from
    /// 0 to 1.
    pub max_wait: f64,
    /// Whether the caller comes back after a refusal. First attempts leave it the capacity that it
    /// waits for.
    pub returning: bool,
}

/// Identifies the organisation or rule whose share of the capacity a query uses: a hash of the
/// name, computed by the front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerId(pub u64);

/// The rank of a query among those that wait for capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueRank {
    /// Urgency; a less urgent query never goes first.
    pub urgency: Urgency,
    /// The organisation or rule whose share the query uses.
    pub owner: OwnerId,
    /// Weight of the owner's share; 1 by default.
    pub weight: f64,
    /// Whether the caller comes back after a refusal.
    pub returning: bool,
    /// Longest wait for the first call, as a share of the time to the latency objective, from
    /// 0 to 1.
    pub max_wait: f64,
}

/// Parameters of one query.
#[derive(Clone, Copy, Debug)]
pub struct QueryConfig {
    /// Time by which the answer must be ready.
    pub deadline: Time,
    /// When the process ends, if a planned stop has begun.
    pub process_end: Option<Time>,
    /// Minimum coverage: the share of shards that the answer must include. The query
    /// ends once it is out of reach.
    pub min_coverage: Share,
    /// Time at which the latency objective passes. From then on minimum coverage
    /// suffices.
    pub objective: Time,
    /// Whether the answer can still meet the latency objective.
    pub timeliness: Timeliness,
    /// Maximum number of back ends that may run a shard's call, the first included.
    pub max_attempts: u32,
    /// Whether a call may be repeated.
    pub repeat: Repeat,
    /// Whether the request is suspected to crash back ends.
    pub trust: Trust,
    /// The class of the calls.
    pub class: Class,
    /// How the query waits for capacity before its first call.
    pub queue: QueueConfig,
}

impl QueryConfig {
    /// Creates the parameters of a query that waits for a complete answer until its
    /// deadline and repeats calls freely.
    #[must_use]
    pub fn new(deadline: Time, min_coverage: Share) -> Self {
        Self {
            deadline,
            process_end: None,
            min_coverage,
            objective: deadline,
            timeliness: Timeliness::InTime,
            max_attempts: u32::MAX,
            repeat: Repeat::Idempotent,
            trust: Trust::Trusted,
            class: Class::default(),
            queue: QueueConfig::Polling,
        }
    }
}
