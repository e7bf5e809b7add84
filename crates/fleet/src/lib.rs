//! What entries decide about each other: who is a member, who holds which
//! leafs, which addresses callers use, who watches the platform, and whether
//! settings are confirmed.
//!
//! All of it is state plus event plus `now` in, typed messages out. The
//! failure detector follows SWIM (Das, Gupta, Motivala, 2002) with the
//! self-doubt of Lifeguard (Dadgar, Phillips, Currey, 2017), so that the cost
//! for one member does not grow with their number.
//!
//! ```
//! // Forty connections, four for each holder, one share spared.
//! assert_eq!(chestnut_fleet::holders_wanted(40, 4), 9);
//! ```

#![warn(clippy::unwrap_used)]

mod carriers;
mod confirm;
mod entries;
mod holder;
mod lease;
mod member;
mod news;
mod swim;
mod view;

pub use carriers::{Candidate, Held, carriers};
pub use confirm::{Confirm, Confirmed};
pub use entries::{Entry, order_entries};
pub use holder::{HolderPlan, Ranked, holders_wanted, watchers_of};
pub use lease::{LEASES, LeaseCall, LeaseId, LeaseRecord, LeaseReply, LeaseTimes, Leases, Owner};
pub use member::{Addresses, Heir, Liveness, Member};
pub use news::News;
pub use swim::{Lives, Probe, ProbeKind, Send, Status, Swim, SwimConfig};
pub use view::{Change, View};
