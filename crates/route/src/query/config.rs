//! What a query is asked to do, what it asks for, and how it ends.

use chestnut_unit::{Share, Time};

use crate::{Class, Ix};

/// Number of a call within its query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u32);

/// Why a call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// The first call for its shards.
    First,
    /// A second call for shards that are late.
    Hedge,
    /// A call after an earlier one was lost.
    Retry,
    /// A call after an earlier one was shed. The refusal cost its target
    /// little, so the budget allows more of these.
    Reshed,
    /// A call after an earlier one that cost its target nothing: it never
    /// left this entry, or the target is leaving or lacks the snapshot, or its
    /// connection was silent. It adds no load, so no budget limits it; the
    /// number of replicas does.
    Reroute,
}

impl CallKind {
    /// The word in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
            Self::Reshed => "retry after shed",
            Self::Reroute => "reroute",
        }
    }
}

/// What the caller of the decision has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call a back end.
    Call {
        /// Number of the call.
        call: CallId,
        /// The back end.
        to: Ix,
        /// Shards asked, as positions in the query.
        shards: Vec<usize>,
        /// Why.
        kind: CallKind,
        /// Deadline for the back end, earlier than the query's.
        deadline: Time,
    },
    /// Cancel a call: nothing waits for it any more.
    Cancel(CallId),
}

/// Why a query ended without all its shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Give {
    /// The deadline came.
    Deadline,
    /// A shard has no replica left to try, or no budget to try it.
    NoReplica,
    /// Too many shards have only back ends without room, and no call was made.
    Full,
    /// A shard's replicas no longer have the snapshot.
    SnapshotLost,
    /// The answer covers the least share, and the time within which callers
    /// want it is up: what is missing would come too late to be worth it.
    Enough,
}

/// How a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All shards answered.
    Whole,
    /// Some did not.
    Partial(Give),
}

/// Whether a call may be made again when an earlier one may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may: running twice changes nothing.
    Free,
    /// Only after proof that none of the earlier calls ran.
    Unrun,
}

/// Whether an answer can still come when its caller wants it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prospect {
    /// It can.
    InTime,
    /// The caller has waited too long already, at other entries or for a
    /// connection. What is done for it must not be at the cost of others.
    Late,
}

/// Whether a query's request is known to end the back ends that run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// Nothing is known against it.
    Full,
    /// Back ends ended under it, and none has answered it since: it gets a single call
    /// until one has.
    Trial,
}

/// Parameters of one query.
#[derive(Clone, Copy, Debug)]
pub struct QueryConfig {
    /// When the answer must be ready.
    pub deadline: Time,
    /// Least share of shards that the answer must cover; once it is out of
    /// reach the query ends.
    pub least: Share,
    /// When the caller wants the answer. From then on the least share is
    /// enough.
    pub goal: Time,
    /// Whether the answer can still come by the goal.
    pub prospect: Prospect,
    /// Back ends that may run a shard's call, the first included.
    pub attempts: u32,
    /// Whether a call may be repeated.
    pub repeat: Repeat,
    /// Whether its request may end those that run it.
    pub trust: Trust,
    /// The class of its calls.
    pub class: Class,
}

impl QueryConfig {
    /// A query that waits for whole answers until its deadline and repeats
    /// calls freely.
    #[must_use]
    pub fn new(deadline: Time, least: Share) -> Self {
        Self {
            deadline,
            least,
            goal: deadline,
            prospect: Prospect::InTime,
            attempts: u32::MAX,
            repeat: Repeat::Free,
            trust: Trust::Full,
            class: Class::default(),
        }
    }
}
