//! Experiments: the routing decisions over modelled leafs and connections, in
//! virtual time with fixed seeds.
//!
//! A plain event queue drives the very code that the daemon runs: admission,
//! choice, hedges, retries, pools. Networks, leafs and connections are small
//! models of the brief's deployments. The same seed gives the same figures.

mod condition;
mod entry;
mod faults;
mod leaf;
mod policy;
mod report;
mod requests;
mod rooms;
mod shape;
mod sim;
mod wires;

pub use condition::{Condition, Fault, conditions, room_conditions};
pub use policy::{Policy, Rooms, policies, room_policies};
pub use report::{Outcome, UrgencyOutcome, run_table};
pub use rooms::{RoomRow, plot_rooms, run_rooms};
pub use shape::Shape;
pub use sim::simulate;
