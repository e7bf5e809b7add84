//! The request path shared by all protocol front ends.
//!
//! This crate executes the decisions of `chestnut-route`. [`admit`] admits a
//! request and returns an [`AdmittedRequest`], which is held while the request is
//! served; [`run`] drives it from its first call to its end. A front end
//! implements [`CallTransport`], which defines what a call is and what a shard
//! contributes.
//!
//! The crate opens no sockets: all network I/O is in the front end's calls.
#![warn(clippy::unwrap_used)]

mod admission;
mod cell;
mod fanout;
mod lifetime;
mod runtime;
mod time_left;

pub use admission::{AdmittedRequest, admit};
pub use cell::{Cell, CellState, QueueId};
pub use chestnut_unit::lock;
pub use fanout::{CallFuture, CallReply, CallRequest, CallTransport, run};
pub use lifetime::Lifetime;
pub use runtime::{InFlightGuard, Runtime, TraceLevel};
pub use time_left::TimeLeft;
