//! Feeds of the store and of other entries.

use std::{net::SocketAddr, sync::Arc};

use chestnut_book::{BookVersion, RouteBook};
use chestnut_port::{EncodedDelta, Feed, FeedError, FeedRpc, Heartbeat};
use chestnut_route::{Ask, TokenReply};
use chestnut_unit::{DomainName, LeafId, OrgName};
use futures::{FutureExt, future::BoxFuture};

use crate::{HeldEvacuation, LeafRegistration, Upstream};

/// Name of the feed of leafs between entries.
pub(crate) const LEAFS: &str = "leafs";
/// Name of the feed of evacuated failure domains between entries.
pub(crate) const EVACUATIONS: &str = "evacuations";

/// Name of the list of evacuations to which an entry holds although the restored store lacks
/// them.
pub(crate) const HELD: &str = "held evacuations";

/// Port to the heartbeat, route book, leafs, evacuations and tokens of other entries.
pub trait PeerFeeds: Send + Sync {
    /// Returns the heartbeat of the entry at `to`: the revision of the store, or why the entry
    /// knows none, and the version of its route book.
    fn heartbeat(&self, to: SocketAddr) -> BoxFuture<'_, Result<Heartbeat, FeedError>>;

    /// Returns the delta that turns version `have` (0 for none) into the route book of
    /// the entry at `to`; empty if that is not newer.
    fn book(
        &self,
        to: SocketAddr,
        have: BookVersion,
    ) -> BoxFuture<'_, Result<EncodedDelta, FeedError>>;

    /// Returns the feed of leafs of the entry at `to`.
    fn leafs(&self, to: SocketAddr) -> Arc<dyn Feed<(LeafId, LeafRegistration)>>;

    /// Returns the feed of evacuated failure domains of the entry at `to`.
    fn evacuations(&self, to: SocketAddr) -> Arc<dyn Feed<DomainName>>;

    /// Returns the list of evacuations to which the entry at `to` holds although the restored
    /// store lacks them. It can't be watched.
    fn held(&self, to: SocketAddr) -> Arc<dyn Feed<HeldEvacuation>>;

    /// Asks the entry at `to` for tokens under the limit of an organisation.
    fn tokens<'a>(
        &'a self,
        to: SocketAddr,
        org: &'a OrgName,
        ask: Ask,
    ) -> BoxFuture<'a, Result<TokenReply, FeedError>>;
}

impl PeerFeeds for FeedRpc {
    fn heartbeat(&self, to: SocketAddr) -> BoxFuture<'_, Result<Heartbeat, FeedError>> {
        Self::heartbeat(self, to).boxed()
    }

    fn book(
        &self,
        to: SocketAddr,
        have: BookVersion,
    ) -> BoxFuture<'_, Result<EncodedDelta, FeedError>> {
        Self::book_delta(self, to, have).boxed()
    }

    fn leafs(&self, to: SocketAddr) -> Arc<dyn Feed<(LeafId, LeafRegistration)>> {
        Arc::new(self.feed(to, LEAFS))
    }

    fn evacuations(&self, to: SocketAddr) -> Arc<dyn Feed<DomainName>> {
        Arc::new(self.feed(to, EVACUATIONS))
    }

    fn held(&self, to: SocketAddr) -> Arc<dyn Feed<HeldEvacuation>> {
        Arc::new(self.feed(to, HELD))
    }

    fn tokens<'a>(
        &'a self,
        to: SocketAddr,
        org: &'a OrgName,
        ask: Ask,
    ) -> BoxFuture<'a, Result<TokenReply, FeedError>> {
        Self::tokens(self, to, org, ask).boxed()
    }
}

/// Feeds of the store, and the port to those of other entries.
pub(crate) struct Feeds {
    /// Route books in the store.
    pub(crate) book: Arc<dyn Feed<RouteBook>>,
    /// Leafs in the store.
    pub(crate) leafs: Arc<dyn Feed<(LeafId, LeafRegistration)>>,
    /// Evacuated failure domains in the store.
    pub(crate) evacuations: Arc<dyn Feed<DomainName>>,
    /// Feeds of other entries.
    pub(crate) peers: Arc<dyn PeerFeeds>,
}

impl Feeds {
    /// Returns the feed of leafs at an upstream: the store's, or that of a peer.
    pub(crate) fn leafs(&self, from: Upstream) -> Arc<dyn Feed<(LeafId, LeafRegistration)>> {
        match from {
            Upstream::Store => self.leafs.clone(),
            Upstream::Peer(peer) => self.peers.leafs(peer),
        }
    }

    /// Returns the feed of evacuated failure domains at an upstream: the store's, or that of a
    /// peer.
    pub(crate) fn evacuations(&self, from: Upstream) -> Arc<dyn Feed<DomainName>> {
        match from {
            Upstream::Store => self.evacuations.clone(),
            Upstream::Peer(peer) => self.peers.evacuations(peer),
        }
    }
}
