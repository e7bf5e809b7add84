//! Detects requests that crash the back ends that run them, and refuses them for a time.
//!
//! A [`Fingerprint`] is the same for requests that ask for the same, whoever sends them
//! and under whatever name. A [`Ledger`] records which leafs (back ends that hold shards)
//! crashed under which of them, decides how the next such request is handled, and makes
//! the [`Report`]s that entries exchange. It does no I/O: the present time is an argument.
//!
//! Detecting that a leaf has crashed is left to the caller.
//!
//! ```
//! use std::time::Duration;
//! use chestnut_quarantine::{Fingerprint, LeafMark, Ledger, Stand};
//! use chestnut_unit::Time;
//!
//! let request = Fingerprint::of(&[b"GET", b"league.example", b"/ladder/7"]);
//! assert_eq!(request, Fingerprint::of(&[b"GET", b"league.example", b"/ladder/7"]));
//! assert_ne!(request, Fingerprint::of(&[b"GET", b"league.example/", b"ladder/7"]));
//!
//! let mut ledger = Ledger::default();
//! ledger.ended(request, &[LeafMark(1), LeafMark(2)], Time::from_millis(0));
//! assert_eq!(ledger.admit(request, Time::from_millis(2000)), Stand::Trial);
//! ledger.ended(request, &[LeafMark(3)], Time::from_millis(2010));
//! let decision = ledger.admit(request, Time::from_millis(2010));
//! assert_eq!(decision, Stand::Refused(Duration::from_secs(120)));
//! ```
#![warn(clippy::unwrap_used)]

mod case;
mod fingerprint;
mod ledger;

pub use case::{LeafMark, Stand, Strike};
pub use fingerprint::Fingerprint;
pub use ledger::{Ledger, Report};
