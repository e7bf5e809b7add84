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
mod apply;
mod authorise;
mod book_fetch;
mod callers;
mod cold;
mod contact;
mod evacuations;
mod feed_server;
mod feed_watch;
mod feeds;
mod forward;
mod history;
mod leaf_calls;
mod leaf_changes;
mod leafs;
mod limits;
mod list_watch;
mod members;
mod metrics;
mod plan;
mod propagation;
mod quarantine;
mod quota;
mod ranking;
mod records;
mod relay;
mod report;
mod restore;
mod returns;
mod settings;
mod settings_file;
mod shared;
mod state;
mod stop;
mod store_status;
mod stored_record;
mod upstream;
mod upstream_poll;
mod watch_cache;

pub use chestnut_port::Distance;

pub use adverts::{Advert, Adverts};
pub use authorise::{Credential, KeyFault};
pub use cold::{ColdLimits, LeaseStore};
pub use evacuations::{EvacuationChange, Evacuations, HeldEvacuation};
pub use feeds::PeerFeeds;
pub use forward::{DeclineReason, Declined, RelayRequest, Reply};
pub use history::History;
pub use leafs::{LeafChange, LeafRegistration, LeafState, Leafs};
pub use list_watch::{ListWatch, NextCall};
pub use propagation::{BookPropagation, NextRead};
pub use quota::{Quota, Rate, Role};
pub use records::{QuarantineRecord, RecordStore};
pub use relay::{FeedBinder, Relay, RelayPorts};
pub use settings::{
    ExtraCalls, KeyChecks, OverloadSettings, QueueOrder, RelayEntry, RelayListen, RelaySettings,
    StoreSettings, Times,
};
pub use settings_file::{Reload, SettingsFile};
pub use shared::Phase;
pub use stop::{Closing, Serving, Stop};
pub use store_status::{PollNews, StoreStatus};
pub use upstream::{Cause, Upstream, UpstreamSelector};
pub use watch_cache::WatchCache;
