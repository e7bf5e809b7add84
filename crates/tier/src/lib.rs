//! The query tier as a library.
//!
//! [`Tier::spawn`] starts one entry on the given ports and returns its handle;
//! [`HttpServers::bind`] serves HTTP for callers and operators on top of it. This
//! crate runs the tasks and does the I/O; the algorithms are in the crates that
//! it depends on.
//!
//! Terms:
//!
//! - An *entry* is a process of this tier that callers connect to; the entries
//!   are each other's peers.
//! - A *leaf* is a back end (target) that stores shards of a service's data.
//! - A *snapshot* is one version of a service's data; all rows of an answer
//!   come from the same snapshot.
//! - A *ticket* identifies a submission, so that a repeat does not run twice.
//!   The entry that stores the outcome of a ticket is its *keeper*.
//! - A *receipt* is the text that a refused caller gets; it encodes the reason.
//!
//! Shared tables are usually locked one at a time. Code that needs several at
//! once locks them in this order: configuration, members, services, one
//! service, organisation limiters, tickets, refusal log. No lock is held across
//! an await.

#![warn(clippy::unwrap_used)]

mod api;
mod callers;
mod calls;
mod edit;
mod gossip;
mod leafs;
mod metrics;
mod operators;
mod peers;
mod place;
mod ports;
mod propagation;
mod query;
mod records;
mod refuse;
mod rewrite;
mod server;
mod service;
mod shared;
mod startup;
mod status;
mod submit;
mod tier;
mod watch;
mod web;

pub use api::{
    Answer, EditError, EditReply, EntryList, QueryRequest, Refusal, SettingsUsed, SubmitOutcome,
    SubmitRequest, TicketReply,
};
pub use ports::{PeerBinder, Ports};
pub use server::HttpServers;
pub use status::{LeafStatus, MemberStatus, Status};
pub use tier::{SpawnError, Tier};
