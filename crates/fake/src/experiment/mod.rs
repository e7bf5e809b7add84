//! Experiments: the routing decisions over modelled leafs and connections, in
//! virtual time with fixed seeds.
//!
//! An event queue drives the code that the daemon runs: admission control,
//! replica choice, hedges, retries and connection pools. Only the network, the
//! leafs (servers that each hold replicas of some shards) and the connections
//! are modelled. The same seed gives the same figures.

mod capacity;
mod condition;
mod connections;
mod entry;
mod faults;
mod leaf;
mod policy;
mod report;
mod requests;
mod sim;
mod topology;

pub use capacity::{CapacityRow, plot_capacity, run_capacity};
pub use condition::{Condition, Fault, capacity_conditions, conditions};
pub use policy::{CallLimit, Policy, capacity_policies, policies};
pub use report::{Outcome, UrgencyOutcome, run_table};
pub use sim::simulate;
pub use topology::Topology;
