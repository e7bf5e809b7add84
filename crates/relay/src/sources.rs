//! The feeds of the store and of other entries.

use std::{net::SocketAddr, sync::Arc};

use chestnut_book::RouteBook;
use chestnut_port::{Feed, FeedNet};
use chestnut_unit::LeafId;

use crate::{LeafEntry, Upstream};

/// The feed of books, among entries.
pub(crate) const BOOK: &str = "book";
/// The feed of leafs, among entries.
pub(crate) const LEAFS: &str = "leafs";

/// The port to the feeds of other entries.
pub trait FeedPeers: Send + Sync {
    /// The book, as the entry at `to` hears it.
    fn book(&self, to: SocketAddr) -> Arc<dyn Feed<RouteBook>>;

    /// The leafs, as the entry at `to` hears them.
    fn leafs(&self, to: SocketAddr) -> Arc<dyn Feed<(LeafId, LeafEntry)>>;
}

impl FeedPeers for FeedNet {
    fn book(&self, to: SocketAddr) -> Arc<dyn Feed<RouteBook>> {
        Arc::new(self.feed(to, BOOK))
    }

    fn leafs(&self, to: SocketAddr) -> Arc<dyn Feed<(LeafId, LeafEntry)>> {
        Arc::new(self.feed(to, LEAFS))
    }
}

/// The feeds of the store and of other entries.
pub(crate) struct Sources {
    pub(crate) book: Arc<dyn Feed<RouteBook>>,
    pub(crate) leafs: Arc<dyn Feed<(LeafId, LeafEntry)>>,
    pub(crate) peers: Arc<dyn FeedPeers>,
}

impl Sources {
    pub(crate) fn book(&self, from: Upstream) -> Arc<dyn Feed<RouteBook>> {
        match from {
            Upstream::Store => self.book.clone(),
            Upstream::Peer(peer) => self.peers.book(peer),
        }
    }

    pub(crate) fn leafs(&self, from: Upstream) -> Arc<dyn Feed<(LeafId, LeafEntry)>> {
        match from {
            Upstream::Store => self.leafs.clone(),
            Upstream::Peer(peer) => self.peers.leafs(peer),
        }
    }
}
