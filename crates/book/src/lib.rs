//! The route book: routing rules for forwarded requests.
//!
//! A [`RouteBook`] is one version of the operator's routes. [`RouteBook::find`] selects
//! the rule of a request by host and longest path prefix. The rule says whether
//! the request may be retried, how long it may take and where it goes: to one
//! service, to one of several by weight ([`RoundRobin`]), or to every shard of a set
//! (a gather), whose records [`merge_top`] merges.
//!
//! The crate does no I/O: adapters decode the rules and pass them to
//! [`RouteBook::build`], which validates them.
//!
//! ```
//! use std::time::Duration;
//! use chestnut_book::{RouteBook, BookVersion, RetrySafety, Rule, Target};
//! use chestnut_unit::ServiceName;
//!
//! let rule = Rule {
//!     name: "archive".to_owned(),
//!     host: "league.example".to_owned(),
//!     prefix: "/archive/".to_owned(),
//!     kind: RetrySafety::Idempotent,
//!     attempts: 2,
//!     timeout: Duration::from_secs(8),
//!     objective: Duration::from_millis(800),
//!     rank: 2,
//!     public: false,
//!     target: Target::One(ServiceName::new("archive").unwrap()),
//! };
//! let book = RouteBook::build(BookVersion(1), vec![rule], [], Default::default()).unwrap();
//! assert!(book.find("league.example", "/archive/1994").is_some());
//! assert!(book.find("league.example", "/ladder/").is_none());
//! ```
#![warn(clippy::unwrap_used)]

mod book;
mod delta;
mod merge;
mod organisation;
mod round_robin;
mod rule;
mod weights;

pub use book::{BookError, BookVersion, RouteBook};
pub use delta::{BookDelta, DeltaError};
pub use merge::{RECORD_BYTES, merge_top};
pub use organisation::{KeyDigest, Organisation, Organisations, ParseDigestError};
pub use round_robin::RoundRobin;
pub use rule::{CallerLimits, ColdRule, RetrySafety, Rule, ServiceRule, Target};
pub use weights::whole_weights;
