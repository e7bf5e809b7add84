//! The port to watchable lists of objects.

use std::{net::SocketAddr, time::Duration};

use chestnut_unit::Revision;
use displaydoc::Display;
use futures::future::BoxFuture;

/// Why a call to a feed failed.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum FeedError {
    /// the history since that revision is gone
    HistoryGone,
    /// the store is over its rate or turns this entry away: {0}
    Busy(String),
    /// the store can't be reached or gave no answer in time: {0}
    Unavailable(String),
    /// the store refused the call: {0}
    Refused(String),
    /// the peer answers, and has lost the store
    StoreLost,
    /// the peer hears of the store from {0}
    Redirect(SocketAddr),
}

impl std::error::Error for FeedError {}

/// One object of a list, by its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item<T> {
    /// Its name.
    pub name: String,
    /// Its current content.
    pub content: Content<T>,
}

/// The content of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content<T> {
    /// A value.
    Value(T),
    /// The object was deleted.
    Deleted,
    /// The object can't be parsed. An outage of the store can make an object look
    /// deleted, but a malformed object proves that its earlier value is obsolete.
    Malformed,
}

impl<T> Content<T> {
    /// Returns the value, or `None` if it is deleted or malformed.
    #[must_use]
    pub fn value(self) -> Option<T> {
        match self {
            Self::Value(value) => Some(value),
            Self::Deleted | Self::Malformed => None,
        }
    }

    /// Applies `f` to the value, if any.
    pub fn map<U>(self, f: impl FnOnce(T) -> U) -> Content<U> {
        match self {
            Self::Value(value) => Content::Value(f(value)),
            Self::Deleted => Content::Deleted,
            Self::Malformed => Content::Malformed,
        }
    }

    /// Applies the fallible `f` to the value, if any.
    ///
    /// # Errors
    ///
    /// Returns the error of `f`.
    pub fn try_map<U, E>(self, f: impl FnOnce(T) -> Result<U, E>) -> Result<Content<U>, E> {
        Ok(match self {
            Self::Value(value) => Content::Value(f(value)?),
            Self::Deleted => Content::Deleted,
            Self::Malformed => Content::Malformed,
        })
    }
}

/// All objects of a list, or only those that changed, with the store's revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch<T> {
    /// The objects, in the order of their changes.
    pub items: Vec<Item<T>>,
    /// The store's revision from which a watch can continue.
    pub revision: Revision,
}

/// How stale a list may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The current state of the store.
    Now,
    /// Up to a few seconds old, which is cheaper for the store.
    Stale,
}

/// A watchable list of objects of one kind.
pub trait Feed<T>: Send + Sync {
    /// Reads all objects.
    fn list(&self, freshness: Freshness) -> BoxFuture<'_, Result<Batch<T>, FeedError>>;

    /// Returns the store's revision cheaply. It may be a few seconds old.
    fn poll_revision(&self) -> BoxFuture<'_, Result<Revision, FeedError>>;

    /// Returns the objects that changed after `revision`, waiting up to `wait` for one. If the
    /// store was restored since, the answer is of a later epoch and may lack changes.
    fn watch(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Batch<T>, FeedError>>;

    /// Returns the objects that changed after `revision`, without waiting for changes.
    /// The timeout differs between stores and peers.
    fn poll(&self, revision: Revision) -> BoxFuture<'_, Result<Batch<T>, FeedError>>;
}
