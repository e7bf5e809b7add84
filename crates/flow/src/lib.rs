//! The request path shared by all protocol front ends of the tier.
//!
//! This crate executes the decisions of `chestnut-route`. [`admit`] admits a
//! request and returns a [`Running`], which is held while the request is
//! served; [`run`] drives it from its first call to its end. A front end
//! implements [`Calls`], which defines what a call is and what a shard
//! contributes.
//!
//! The crate opens no sockets: all network I/O is in the front end's calls.
#![warn(clippy::unwrap_used)]

mod cell;
mod fanout;
mod gate;
mod host;

pub use cell::{Cell, GateId, State};
pub use chestnut_unit::lock;
pub use fanout::{Calls, Flying, Parts, Start, run};
pub use gate::{Running, admit};
pub use host::{Host, InFlight, Trace};
