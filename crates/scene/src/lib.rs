//! Scripted scenarios: complete entries over simulated ports, in virtual time.
//!
//! An entry is a process that callers connect to; a leaf is a back end that
//! holds replicas of shards. A scenario is a text file with one command per
//! line. It runs real [`Tier`](chestnut_tier::Tier)s in one process on tokio's
//! paused clock, with a simulated platform, simulated leafs and simulated links
//! between entries, so that its result is reproducible. The invariants are
//! checked on every answer; see [`Verdict`]. `docs/PROOFS.md` lists the
//! scenarios.

#![warn(clippy::unwrap_used)]

mod command;
mod judge;
mod leafs;
mod links;
mod parse;
mod platform;
mod run;
mod stage;

pub use command::{Command, LeafFault, PlatformChange, Scenario, ScenarioError, Setup, Want};
pub use judge::Verdict;
pub use run::run_text;
pub use stage::{Stage, StageError};
