//! The ports of an entry and their adapters (ports-and-adapters architecture).
//!
//! An *entry* is a process that callers connect to, and its *peers* are the other
//! entries. A *target* is a back end, and a *leaf* is a target that serves shards.
//!
//! A port is a trait that an entry calls ([`Targets`], [`Platform`], [`Peers`]) or
//! implements ([`PeerService`]). The adapters speak HTTP/2 to targets, HTTP to the
//! platform and Cap'n Proto to peers. Tests substitute fakes for them.
//!
//! Entries that forward requests unchanged use [`Forward`] to call leafs, [`Feed`]
//! to list and watch objects, [`HttpPool`] for HTTP/1.1 to back ends and
//! [`Server`] for HTTP/1.1 from callers.

#![warn(clippy::unwrap_used)]

mod clock;
mod connections;
mod feed;
mod http_pool;
#[expect(
    clippy::unwrap_used,
    reason = "generated from schema/feed.capnp"
)]
#[rustfmt::skip]
mod feed_capnp;
mod decode;
mod feed_rpc;
mod feed_serve;
mod forward;
mod head_limit;
mod hop_by_hop;
mod http;
mod json;
mod malformed;
mod memory;
mod message;
mod pack;
mod pages;
mod path;
mod peer;
#[expect(
    clippy::unwrap_used,
    reason = "generated from schema/peer.capnp"
)]
#[rustfmt::skip]
mod peer_capnp;
mod peer_rpc;
mod peer_serve;
mod platform;
mod platform_http;
mod probe;
mod rpc;
mod serve;
mod signals;
mod sockets;
mod target;
mod target_http;
mod traffic;
mod wire;

pub use clock::Clock;
pub use decode::{decode, decode_secret};
pub use feed::{Batch, Content, Feed, FeedError, Freshness, Item};
pub use feed_rpc::{EncodedBatch, EncodedDelta, FeedRpc, FeedService, Heartbeat, PeerFeed};
pub use forward::{Forward, ForwardedRequest, LeafCall, LeafFailure, LeafReply, Listening};
pub use hop_by_hop::strip_hop_by_hop;
pub use http::{HttpClient, HttpError, HttpReply};
pub use http_pool::{
    Exchange, ExchangeError, HttpPool, HttpPoolConfig, Responses, check_listening,
};
pub use json::LeafAnswer;
pub use malformed::{LoggedObjects, MalformedObject};
pub use memory::{Client, ClientLoss, Memory};
pub use message::{Message, ReceiveError};
pub use pack::{PackError, pack, unpack};
pub use pages::{NAME_MAX, Pages};
pub use path::{decode_segments, object_path, path_segment, query_value};
pub use peer::{
    Dispatch, PeerError, PeerService, Peers, SubAnswer, SubQuery, Submission, SubmitReply,
};
pub use peer_rpc::PeerRpc;
pub use platform::{Changes, Listing, Platform, PlatformError, Vm, VmRole};
pub use platform_http::HttpPlatform;
pub use probe::{ProbeSocket, ProbeTransport, probe_size};
pub use serve::{AnswerBody, ServeLimits, Server, read_body};
pub use signals::Signals;
pub use sockets::TcpLiveness;
pub use target::{LeafQuery, LeafState, LeafSubmit, Targets};
pub use target_http::{HttpTargets, TargetsConfig};
pub use traffic::{Direction, Distance, Purpose, Traffic, TrafficMeter};
