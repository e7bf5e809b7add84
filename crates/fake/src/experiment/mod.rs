//! Experiments: the routing decisions over modelled leafs and connections, in
//! virtual time with fixed seeds.
//!
//! An event queue drives the code that the daemon runs: admission control,
//! replica choice, hedges, retries and connection pools. Only the network, the
//! leafs (servers that each hold replicas of some shards) and the connections
//! are modelled. The same seed gives the same figures.

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
