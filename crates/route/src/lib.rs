//! Routing decisions of an entry: admission, replica choice, hedges, retries
//! and extra-call budgets.
//!
//! Every type takes its events and the current time as arguments and returns a
//! decision. Nothing here opens a socket, reads a clock or owns a random
//! source, so the daemon and the simulations run the same code.
//!
//! Terms used in this crate:
//!
//! - An entry is a process that callers connect to. It sends calls to back
//!   ends, also called targets: leafs, or peers that forward to their leafs.
//! - A leaf serves one shard of a service's index; the leafs of the same shard
//!   are its replicas. A snapshot is one version of the whole index.
//! - A query calls one replica of each shard and merges the answers. An extra
//!   call is a hedge or a retry: any call after the first for a shard.
//!
//! The main types:
//!
//! - [`Admission`] decides which requests run, are queued or are refused.
//! - [`Table`] holds the state of each back end; [`Choice`] selects the policy
//!   by which a replica is picked.
//! - The table's queue orders the queries that wait for capacity before their
//!   first call; [`QueueStats`] reports on it.
//! - [`Query`] drives one scatter-gather query from its first calls to its end.
//! - [`Attempt`] and [`NotRun`] allow a request to be reported as not run only
//!   with proof for each of its attempts.
//!
//! ```
//! use chestnut_route::{Attempt, Backend, NotRun, Table, TableConfig};
//! use chestnut_unit::{LeafId, Time};
//!
//! let mut table = Table::new(TableConfig::default());
//! let leaf = Backend::Leaf(LeafId::new("ladder-l000").unwrap());
//! let ix = table.add(leaf, 5, Time::ZERO);
//! let refused = Attempt::plan(ix).queue().send(Time::ZERO).refuse();
//! let lost = Attempt::plan(ix).queue().send(Time::ZERO).end_unknown();
//! assert!(NotRun::prove(&[refused]).is_some());
//! assert!(NotRun::prove(&[refused, lost]).is_none());
//! ```

#![warn(clippy::unwrap_used)]

mod admit;
mod attempt;
mod backend;
mod budget;
mod call_counts;
mod capacity;
mod choose;
mod cold;
mod damped;
mod estimate;
mod evict;
mod extra_budget;
mod failure;
mod failure_rate;
mod hedge;
mod limit;
mod orglimit;
mod penalty;
mod pool;
mod profile;
mod query;
mod queue;
mod rate;
mod reserve;
mod table;
mod turns;
mod versions;
mod window;

pub use admit::{Admission, AdmitConfig, AdmitRequest, Decision, LimitMode, Release, Sheddable};
pub use attempt::{Attempt, AttemptOutcome, Ended, NotRun, Planned, Queued, Sent};
pub use backend::{Backend, Guard, Ix, TableConfig};
pub use budget::{Budget, BudgetTotals};
pub use call_counts::CallCounts;
pub use choose::{Choice, choose_replica};
pub use cold::{COLD_WINDOW, ColdPermit};
pub use damped::DampedSplit;
pub use estimate::{Estimate, Quantiles};
pub use extra_budget::{BudgetId, ExtraBudget, SpendResult};
pub use failure::{Failure, Refusal};
pub use hedge::Hedge;
pub use limit::{Limit, RequestStats};
pub use orglimit::{OrgLimiter, OrgLimiters};
pub use pool::{ConnId, Pick, Pool, QUIET_TIMEOUT};
pub use profile::{Class, Profile};
pub use query::{
    Action, BoundedWait, CallId, CallKind, Context, End, OwnerId, PartialReason, Query,
    QueryConfig, QueueConfig, QueueRank, Repeat, Timeliness, Trust, can_end_by,
};
pub use queue::{QueueStats, WaiterId};
pub use rate::{
    Allowances, Ask, Grant, Granters, OrgUse, RateHome, RateMargins, Take, Token, TokenReply,
};
pub use table::{Eviction, Table};
pub use turns::{ReturnKind, Turn, TurnBook, TurnRequest};
pub use versions::{Route, Routes, Versions};
pub use window::{Bounds, Window};
