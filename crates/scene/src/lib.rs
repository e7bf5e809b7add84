//! Scripted scenarios: complete entries over simulated ports, in virtual time.
//!
//! An entry is a process that callers connect to; a leaf is a back end that
//! holds replicas of shards. A scenario is a text file with one command per
//! line. It runs real [`Tier`](chestnut_tier::Tier)s in one process on tokio's
//! paused clock, with a simulated platform, simulated leafs and simulated links
//! between entries, so that its result is reproducible. The invariants are
//! checked on every answer; see [`CheckReport`]. `docs/PROOFS.md` lists the
//! scenarios.

#![warn(clippy::unwrap_used)]

mod command;
mod invariants;
mod leafs;
mod links;
mod parse;
mod platform;
mod run;
mod testbed;

pub use command::{Command, Expected, LeafFault, PlatformChange, Scenario, ScenarioError, Setup};
pub use invariants::CheckReport;
pub use run::run_scenario;
pub use testbed::{StartError, Testbed};
