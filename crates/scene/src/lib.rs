//! Scripted scenarios: whole entries over fakes at the ports, in virtual time.
//!
//! A scenario is a text file of one command a line. It runs real
//! [`Tier`](chestnut_tier::Tier)s in one process on tokio's paused clock, with
//! a fake platform, fake leafs and fake links between entries, so that it
//! gives the same verdict every time. What must always hold is checked on
//! every answer; see [`Stage`]. `docs/PROOFS.md` lists the scenarios.

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
