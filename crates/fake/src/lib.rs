//! Stand-ins for the systems around the tier, for tests, the demo and the
//! experiments. Nothing here is part of a deployment.
//!
//! - [`World`] describes a deployment: domains, services, leafs, entries.
//! - [`PlatformServer`] stands in for the platform, [`TargetServer`] for a leaf;
//!   both can be told to fail in the ways that the real ones do.
//! - [`load`] sends queries in an open loop and reports what came of them.

#![warn(clippy::unwrap_used)]

pub mod bound;
pub mod demo;
pub mod experiment;
mod gate;
pub mod load;
pub mod membership;
mod platform;
mod plot;
mod queue;
mod store;
mod target;
mod world;

pub use gate::Silence;
pub use platform::PlatformServer;
pub use plot::{Series, plot_lines};
pub use store::{Counts, PlatformFault, Store};
pub use target::{TargetConfig, TargetLedger, TargetServer};
pub use world::{EntrySpec, LeafSpec, ServiceSpec, World, WorldError, layout_of};
