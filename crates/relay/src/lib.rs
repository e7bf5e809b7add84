//! Forwards requests by the route book.
//!
//! [`Relay::spawn`] starts one entry over the ports that it is given and
//! returns its handle. [`Relay::forward`] takes a request through the request
//! path that all faces share (`chestnut-flow`): rule, admission, choice of
//! leafs, hedges, retries, merge. The book and the leafs are watched; the other
//! entries are found by their adverts and judged by probes.
//!
//! It is not for speaking to callers: a face decodes requests and encodes
//! replies.
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
