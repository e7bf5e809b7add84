//! The request path that every face of the tier shares.
//!
//! The decisions are in `chestnut-route`; this crate runs them. A request
//! enters [`admit`], holds a [`Running`] while it is served, and is driven by
//! [`run`] from its first call to its end. What a call is and what a shard
//! contributes is up to the face, which implements [`Calls`].
//!
//! It is not for talking to anybody by itself: it has no socket.
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
