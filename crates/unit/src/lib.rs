//! Identifiers, times, sizes, rates, snapshots and coverage.
//!
//! Basic types shared by all crates of chestnutpost. The crate does no I/O,
//! reads no clock and depends on no async runtime.
//!
//! ```
//! use chestnut_unit::{Coverage, ShardName};
//!
//! let asked = [ShardName::new("s0").unwrap(), ShardName::new("s1").unwrap()];
//! let coverage = Coverage::from_merged(&asked, &[true, false]);
//! assert_eq!(coverage.answered, 1);
//! assert!(!coverage.is_complete());
//! ```

#![warn(clippy::unwrap_used)]

mod coverage;
mod id;
mod lock;
pub mod number;
mod rate_limit;
mod reason;
mod revision;
mod share;
mod size;
mod snapshot;
mod time;
mod urgency;

pub use coverage::Coverage;
pub use id::{
    CallType, DomainName, Incarnation, LeafId, MemberId, NameError, OrgName, RequestId,
    ServiceName, ShardName, TemplateName,
};
pub use lock::lock;
pub use number::{Ceil, Floor, LeastShare, Millis, Number, NumberError, Seconds, Whole};
pub use rate_limit::RateLimit;
pub use reason::{Execution, Reason};
pub use revision::{Epoch, ParseRevisionError, Revision};
pub use share::{ParseShareError, Share};
pub use size::{ByteSize, CallRate, ParseUnitError, Rate, parse_duration};
pub use snapshot::{IndexVersion, Layout, LayoutShard, Snapshot};
pub use time::{Time, WallTime};
pub use urgency::Urgency;
