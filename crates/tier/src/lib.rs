//! The query tier as a library.
//!
//! [`Tier::spawn`] starts one entry over the ports that it is given and
//! returns its handle; [`Front::bind`] puts HTTP for callers and operators
//! before it. The decisions are in the crates below; this one runs them.
//!
//! Shared tables are locked one at a time. Where two are needed the order is:
//! configuration, members, services, one service, organisation limiters,
//! keeper, journal. No lock is held across an await.

#![warn(clippy::unwrap_used)]

mod admin;
mod api;
mod boot;
mod calls;
mod edge;
mod edit;
mod front;
mod gossip;
mod leafs;
mod metrics;
mod peers;
mod place;
mod ports;
mod query;
mod records;
mod refuse;
mod service;
mod shared;
mod spread;
mod status;
mod submit;
mod tier;
mod watch;
mod web;

pub use api::{
    Answer, EditError, EditReply, EntryList, QueryRequest, Refused, SettingsUsed, SubmitOutcome,
    SubmitRequest, TicketReply,
};
pub use front::Front;
pub use ports::{PeerBinder, Ports};
pub use status::{LeafStatus, MemberStatus, Status};
pub use tier::{SpawnError, Tier};
