//! The memory that the clients of a process make it hold: request bodies that arrive, and
//! answers until they are read.
//!
//! Any one request is small, but clients that stop before the end of a body, or don't read their
//! answers, add up until the process is over the memory of its VM and is killed with the requests
//! of all others. [`Account`] bounds the sum. What no longer fits makes the slowest and largest
//! clients go first, so that a new request of legal size is served beside any number of them.
#![warn(clippy::unwrap_used)]

mod account;

pub use account::{Account, ClientId, Room};
