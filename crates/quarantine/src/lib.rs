//! Which requests end the back ends that run them, and how they are handled.
//!
//! [`Fingerprint`] tells requests that ask for the same, whoever sends them and under
//! whatever name. A [`Ledger`] keeps under which of them leafs ended, says how the next
//! one is to be handled, and makes the [`Report`]s that entries exchange. It does no I/O:
//! the present time is an argument.
//!
//! It is not for finding out that a leaf has ended.
//!
//! ```
//! use std::time::Duration;
//! use chestnut_quarantine::{Fingerprint, LeafMark, Ledger, Stand};
//! use chestnut_unit::Time;
//!
//! let asks = Fingerprint::of(&[b"GET", b"league.example", b"/ladder/7"]);
//! assert_eq!(asks, Fingerprint::of(&[b"GET", b"league.example", b"/ladder/7"]));
//! assert_ne!(asks, Fingerprint::of(&[b"GET", b"league.example/", b"ladder/7"]));
//!
//! let mut ledger = Ledger::default();
//! ledger.ended(asks, &[LeafMark(1), LeafMark(2)], Time::from_millis(0));
//! assert_eq!(ledger.admit(asks, Time::from_millis(2000)), Stand::Trial);
//! ledger.ended(asks, &[LeafMark(3)], Time::from_millis(2010));
//! let stand = ledger.admit(asks, Time::from_millis(2010));
//! assert_eq!(stand, Stand::Refused(Duration::from_secs(120)));
//! ```
#![warn(clippy::unwrap_used)]

mod case;
mod fingerprint;
mod ledger;

pub use case::{LeafMark, Stand, Strike};
pub use fingerprint::Fingerprint;
pub use ledger::{Ledger, Report};
