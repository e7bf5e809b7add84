//! The feeds of the store and of other entries.

use std::{net::SocketAddr, sync::Arc};

use chestnut_book::{BookVersion, RouteBook};
use chestnut_port::{Feed, FeedError, FeedNet, PeerPulse, RawBook};
use chestnut_unit::{DomainName, LeafId};
use futures::{FutureExt, future::BoxFuture};

use crate::{LeafEntry, Upstream};

/// The feed of leafs, among entries.
pub(crate) const LEAFS: &str = "leafs";
/// The feed of evacuated failure domains, among entries.
pub(crate) const EVACUATIONS: &str = "evacuations";

/// The port to what other entries pass on.
pub trait FeedPeers: Send + Sync {
    /// The pulse of the entry at `to`.
    fn pulse(&self, to: SocketAddr) -> BoxFuture<'_, Result<PeerPulse, FeedError>>;

    /// What makes the book of the entry at `to` of version `have`, or of nothing.
    fn book(&self, to: SocketAddr, have: BookVersion) -> BoxFuture<'_, Result<RawBook, FeedError>>;

    /// The leafs, as the entry at `to` hears them.
    fn leafs(&self, to: SocketAddr) -> Arc<dyn Feed<(LeafId, LeafEntry)>>;

    /// The failure domains that are evacuated, as the entry at `to` hears of them.
    fn evacuations(&self, to: SocketAddr) -> Arc<dyn Feed<DomainName>>;
}

impl FeedPeers for FeedNet {
    fn pulse(&self, to: SocketAddr) -> BoxFuture<'_, Result<PeerPulse, FeedError>> {
        Self::pulse(self, to).boxed()
    }

    fn book(&self, to: SocketAddr, have: BookVersion) -> BoxFuture<'_, Result<RawBook, FeedError>> {
        Self::book(self, to, have).boxed()
    }

    fn leafs(&self, to: SocketAddr) -> Arc<dyn Feed<(LeafId, LeafEntry)>> {
        Arc::new(self.feed(to, LEAFS))
    }

    fn evacuations(&self, to: SocketAddr) -> Arc<dyn Feed<DomainName>> {
        Arc::new(self.feed(to, EVACUATIONS))
    }
}

/// The feeds of the store and of other entries.
pub(crate) struct Sources {
    pub(crate) book: Arc<dyn Feed<RouteBook>>,
    pub(crate) leafs: Arc<dyn Feed<(LeafId, LeafEntry)>>,
    pub(crate) evacuations: Arc<dyn Feed<DomainName>>,
    pub(crate) peers: Arc<dyn FeedPeers>,
}

impl Sources {
    pub(crate) fn leafs(&self, from: Upstream) -> Arc<dyn Feed<(LeafId, LeafEntry)>> {
        match from {
            Upstream::Store => self.leafs.clone(),
            Upstream::Peer(peer) => self.peers.leafs(peer),
        }
    }

    pub(crate) fn evacuations(&self, from: Upstream) -> Arc<dyn Feed<DomainName>> {
        match from {
            Upstream::Store => self.evacuations.clone(),
            Upstream::Peer(peer) => self.peers.evacuations(peer),
        }
    }
}
