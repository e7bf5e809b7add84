//! Experiments: the routing decisions over modelled leafs and connections, in
//! virtual time with fixed seeds.
//!
//! A plain event queue drives the very code that the daemon runs: admission,
//! choice, hedges, retries, pools. Networks, leafs and connections are small
//! models of the brief's deployments. The same seed gives the same figures.

mod condition;
mod entry;
mod leaf;
mod policy;
mod report;
mod sim;

pub use condition::{Condition, Fault, conditions};
pub use policy::{Policy, policies};
pub use report::{Outcome, UrgencyOutcome, run_table};
pub use sim::{Shape, simulate};
