//! Coordination between entries, the processes that callers connect to:
//! membership, holders of leafs, serving entries, watchers of the platform,
//! leases, and confirmation of settings.
//!
//! A leaf is a back-end process that entries send calls to; a holder is an
//! entry that keeps connections to it. All types are state machines without
//! I/O: an event and the current time go in, messages come out. The failure
//! detector follows SWIM (Das, Gupta, Motivala, 2002) with the local health
//! multiplier of Lifeguard (Dadgar, Phillips, Currey, 2017), so that the cost
//! per member does not grow with the number of members.
//!
//! ```
//! // 40 connections in shares of 4, with one share kept spare.
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
