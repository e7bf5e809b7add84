//! Which requests end the back ends that run them.
//!
//! [`Fingerprint`] tells requests that ask for the same, whoever sends them and under
//! whatever name.
//!
//! ```
//! use chestnut_quarantine::Fingerprint;
//!
//! let first = Fingerprint::of(&[b"GET", b"league.example", b"/ladder/7"]);
//! assert_eq!(first, Fingerprint::of(&[b"GET", b"league.example", b"/ladder/7"]));
//! assert_ne!(first, Fingerprint::of(&[b"GET", b"league.example/", b"ladder/7"]));
//! assert_eq!(first.to_string().parse(), Ok(first));
//! ```
#![warn(clippy::unwrap_used)]

mod fingerprint;

pub use fingerprint::Fingerprint;
