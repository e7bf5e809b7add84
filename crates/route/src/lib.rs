//! Routing decisions of chestnutpost.
//!
//! Everything here is state plus event plus `now` in, decision out: no socket,
//! no clock and no random source of its own. The daemon and the experiments
//! run the same code; see `docs/design/` for the ways that were weighed.
//!
//! - [`Admission`] decides which requests run, wait or are refused.
//! - [`Table`] holds what is known of each back end; [`Choice`] picks one.
//! - [`Query`] drives one fan-out: calls, hedges, retries, merge, end.
//! - [`Attempt`] and [`NotRun`] make "not run" true by construction.
//!
//! It is not for talking to anybody: `chestnut-tier` runs it over the ports.
//!
//! ```
//! use chestnut_route::{Attempt, Backend, NotRun, Table, TableConfig};
//! use chestnut_unit::{LeafId, Time};
//!
//! let mut table = Table::new(TableConfig::default());
//! let leaf = Backend::Leaf(LeafId::new("ladder-l000").unwrap());
//! let ix = table.add(leaf, 5, Time::ZERO);
//! let refused = Attempt::plan(ix).queue().send(Time::ZERO).refuse_unrun();
//! let lost = Attempt::plan(ix).queue().send(Time::ZERO).lose();
//! assert!(NotRun::prove(&[refused]).is_some());
//! assert!(NotRun::prove(&[refused, lost]).is_none());
//! ```

#![warn(clippy::unwrap_used)]

mod admit;
mod attempt;
mod backend;
mod budget;
mod choose;
mod cold;
mod damped;
mod estimate;
mod evict;
mod failure;
mod faults;
mod gauge;
mod handicap;
mod hedge;
mod kept;
mod limit;
mod orglimit;
mod pool;
mod profile;
mod purse;
mod query;
mod room;
mod table;
mod versions;
mod window;

pub use admit::{Adapt, Admission, AdmitConfig, Decision, Order, Release, Yields};
pub use attempt::{Attempt, Ended, Fate, NotRun, Planned, Queued, Sent};
pub use backend::{Backend, Guard, Ix, TableConfig};
pub use budget::{Budget, Tally};
pub use choose::{Choice, choose_replica};
pub use cold::{COLD_WINDOW, Permit};
pub use damped::Damped;
pub use estimate::{Estimate, Quantiles};
pub use failure::{Failure, Refusal};
pub use gauge::Gauge;
pub use hedge::Hedge;
pub use limit::{Limit, Ran};
pub use orglimit::{OrgGate, OrgGates};
pub use pool::{ConnId, PATIENCE, Pick, Pool};
pub use profile::{Class, Profile};
pub use purse::{Paid, Purse, PurseId};
pub use query::{
    Action, CallId, CallKind, Context, End, Give, Prospect, Query, QueryConfig, Repeat, Trust,
};
pub use table::{Eviction, Table};
pub use versions::{Route, Routes, Versions};
pub use window::{Bounds, Window};
