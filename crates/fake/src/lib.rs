//! Simulated platform and leafs for tests, the demo and the experiments.
//! Nothing here is part of a deployment.
//!
//! An entry is a process of the tier that callers connect to. A leaf is a
//! back-end process that answers queries for its shards.
//!
//! - [`DeploymentSpec`] describes a deployment: domains, services, leafs, entries.
//! - [`PlatformServer`] simulates the platform, [`TargetServer`] a leaf; both
//!   support fault injection.
//! - [`load`] sends queries in an open loop and reports their outcomes.

#![warn(clippy::unwrap_used)]

pub mod bound;
pub mod demo;
mod deployment;
pub mod experiment;
pub mod load;
pub mod membership;
mod platform;
mod plot;
mod queue;
mod stall;
mod store;
mod target;

pub use deployment::{DeploymentSpec, EntrySpec, LeafSpec, ServiceSpec, SpecError, layout};
pub use platform::PlatformServer;
pub use plot::{Series, plot_lines};
pub use stall::Stall;
pub use store::{CallCounts, PlatformFault, Store};
pub use target::{LeafCounters, TargetConfig, TargetServer};
