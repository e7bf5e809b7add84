//! Detects requests that crash the back ends that run them, and refuses them for a time.
//!
//! A [`Fingerprint`] is the same for requests that ask for the same, whoever sends them
//! and under whatever name. A [`SuspectLedger`] records which leafs (back ends that hold
//! shards) crashed under which of them, decides how the next such request is handled, and
//! makes the [`SuspectReport`]s that entries exchange. It does no I/O: the present time is
//! an argument.
//!
//! Detecting that a leaf has crashed is left to the caller.
//!
//! ```
//! use std::time::Duration;
//! use chestnut_quarantine::{Fingerprint, Handling, LeafHash, SuspectLedger};
//! use chestnut_unit::Time;
//!
//! let request = Fingerprint::of(&[b"GET", b"league.example", b"/ladder/7"]);
//! assert_eq!(request, Fingerprint::of(&[b"GET", b"league.example", b"/ladder/7"]));
//! assert_ne!(request, Fingerprint::of(&[b"GET", b"league.example/", b"ladder/7"]));
//!
//! let mut ledger = SuspectLedger::default();
//! ledger.record_crashes(request, &[LeafHash(1), LeafHash(2)], Time::from_millis(0));
//! assert_eq!(ledger.admit(request, Time::from_millis(2000)), Handling::Trial);
//! ledger.record_crashes(request, &[LeafHash(3)], Time::from_millis(2010));
//! let decision = ledger.admit(request, Time::from_millis(2010));
//! assert_eq!(decision, Handling::Refused(Duration::from_secs(120)));
//! ```
#![warn(clippy::unwrap_used)]

mod fingerprint;
mod ledger;
mod record;

pub use fingerprint::Fingerprint;
pub use ledger::{SuspectLedger, SuspectReport};
pub use record::{Crash, Handling, LeafHash};
