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
//! assert_eq!(chestnut_fleet::holder_count(40, 4), 9);
//! ```

#![warn(clippy::unwrap_used)]

mod confirm;
mod contact;
mod entries;
mod gossip;
mod homes;
mod lease;
mod member;
mod placement;
mod reach;
mod serving;
mod swim;
mod view;

pub use confirm::{Confirmation, LastConfirmed};
pub use contact::Contact;
pub use entries::{Entry, order_entries};
pub use gossip::GossipQueue;
pub use homes::Homes;
pub use lease::{
    LEASE_COUNT, LeaseCall, LeaseId, LeaseList, LeaseRecord, LeaseReply, LeaseTimes, LeaseWrite,
    Leases, Owner,
};
pub use member::{Addresses, Liveness, Member, Successor};
pub use placement::{HashedMembers, HolderPlan, choose_watchers, holder_count};
pub use reach::Reach;
pub use serving::{Candidate, DelayedDecrease, serving_entries};
pub use swim::{IncarnationPolicy, Message, MessageKind, Outgoing, Status, Swim, SwimConfig};
pub use view::{Change, View};
