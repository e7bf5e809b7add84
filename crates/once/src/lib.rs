//! At-most-once submissions without shared storage.
//!
//! A submission is dispatched by one process only: the issuer that its
//! [`Ticket`] (a one-time permit) names, or the successor that took over the
//! issuer's tickets. Repeats at any entry are routed to that process, whose
//! [`TicketRegistry`] answers them with the first outcome. See `docs/design/submissions.md`.
//!
//! ```
//! use chestnut_once::{Claim, RegistryConfig, TicketRegistry};
//! use chestnut_unit::{Incarnation, MemberId, WallTime};
//!
//! let member = MemberId::new("dub-a-1").unwrap();
//! let mut registry = TicketRegistry::new(member, Incarnation(7), RegistryConfig::default());
//! let ticket = registry.mint([1; 16], WallTime(0)).unwrap();
//! assert_eq!(registry.claim(&ticket, 99, WallTime(1)), Claim::Run);
//! assert_eq!(registry.claim(&ticket, 99, WallTime(2)), Claim::Join);
//! ```

#![warn(clippy::unwrap_used)]

mod registry;
mod ticket;

pub use registry::{Claim, HandedTicket, Outcome, RegistryConfig, TicketRegistry};
pub use ticket::{Ticket, TicketError};
