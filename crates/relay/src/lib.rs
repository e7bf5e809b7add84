//! The entry: a process that callers connect to and that forwards their requests
//! to leafs by the route book.
//!
//! [`Relay::spawn`] starts one entry over the ports that it is given and returns
//! its handle. [`Relay::forward`] runs a request through the path that all
//! protocol front ends share (`chestnut-flow`): rule lookup, admission, choice of
//! leafs, hedges, retries, merge. The entry watches the route book and the leafs
//! through the store or through another entry. It discovers other entries by the
//! adverts in the store and tracks their liveness by gossip probes.
//!
//! This crate does not speak to callers: a front end decodes requests and encodes
//! replies.
//!
//! Terms: a *leaf* is a back-end process that runs one service. A *shard* is one
//! part of an index, which one service holds, and a *replica* is a leaf of that
//! service. A *gather* sends a request to several shards and merges the answers
//! (scatter-gather). The *route book* is the versioned set of rules that map requests
//! to services.
#![warn(clippy::unwrap_used)]

mod adverts;
mod allot;
mod callers;
mod calls;
mod cold;
mod evacuations;
mod follow;
mod forward;
mod ground;
mod history;
mod leafs;
mod members;
mod metrics;
mod mirror;
mod moves;
mod pass;
mod plan;
mod pull;
mod pulse;
mod quarantine;
mod ranked;
mod records;
mod relay;
mod report;
mod settings;
mod shared;
mod source;
mod sources;
mod spread;
mod take;
mod upstream;
mod watch;

pub use chestnut_port::Distance;

pub use adverts::{Advert, Adverts};
pub use allot::{Allotment, Part, Rate};
pub use cold::{ColdCalls, LeaseStore};
pub use evacuations::{Evacuations, Shift};
pub use follow::{Follower, Next};
pub use forward::{Ask, Declined, Reply, Why};
pub use history::History;
pub use leafs::{LeafEntry, LeafState, Leafs, Moved};
pub use mirror::Mirror;
pub use pulse::Pulse;
pub use records::{Record, Records};
pub use relay::{FeedBinder, Relay, RelayPorts};
pub use settings::{ExtraCalls, RelayEntry, RelayListen, RelaySettings, StoreSettings, Times};
pub use shared::Phase;
pub use sources::FeedPeers;
pub use spread::{Pull, Spread};
pub use upstream::{Cause, Upstream, UpstreamChoice};
