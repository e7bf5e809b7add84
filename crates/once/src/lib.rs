//! At-most-once submissions without shared storage.
//!
//! A submission is dispatched by one process only: the keeper that its
//! [`Ticket`] (a one-time permit) names. Repeats at any entry are routed to
//! the same keeper, which answers them with the first outcome. See
//! `docs/design/submissions.md`.
//!
//! ```
//! use chestnut_once::{Claim, Keeper, KeeperConfig};
//! use chestnut_unit::{Incarnation, MemberId, WallTime};
//!
//! let member = MemberId::new("dub-a-1").unwrap();
//! let mut keeper = Keeper::new(member, Incarnation(7), KeeperConfig::default());
//! let ticket = keeper.mint([1; 16], WallTime(0)).unwrap();
//! assert_eq!(keeper.claim(&ticket, 99, WallTime(1)), Claim::Run);
//! assert_eq!(keeper.claim(&ticket, 99, WallTime(2)), Claim::Join);
//! ```

#![warn(clippy::unwrap_used)]

mod keeper;
mod ticket;

pub use keeper::{Claim, Handed, Keeper, KeeperConfig, Outcome};
pub use ticket::{Ticket, TicketError};
