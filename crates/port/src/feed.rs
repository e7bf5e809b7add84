//! The port to lists of objects that change and are watched.

use std::{net::SocketAddr, time::Duration};

use displaydoc::Display;
use futures::future::BoxFuture;

/// Why a call for objects failed.
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
    Lost,
    /// the peer hears of the store from {0}
    Elsewhere(SocketAddr),
}

impl std::error::Error for FeedError {}

/// One object of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item<T> {
    /// Its name.
    pub name: String,
    /// What it holds now.
    pub content: Content<T>,
}

/// What an object holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content<T> {
    /// A value.
    Is(T),
    /// It was deleted.
    Deleted,
    /// Something that can't be read. Unlike a deletion, which an outage of the
    /// store may cause too, it says for sure that the value before it is over.
    Malformed,
}

impl<T> Content<T> {
    /// The value, if there is one.
    #[must_use]
    pub fn value(self) -> Option<T> {
        match self {
            Self::Is(value) => Some(value),
            Self::Deleted | Self::Malformed => None,
        }
    }

    /// The content with its value changed by `f`.
    pub fn map<U>(self, f: impl FnOnce(T) -> U) -> Content<U> {
        match self {
            Self::Is(value) => Content::Is(f(value)),
            Self::Deleted => Content::Deleted,
            Self::Malformed => Content::Malformed,
        }
    }

    /// The content with its value changed by `f`, which may fail.
    ///
    /// # Errors
    ///
    /// That of `f`.
    pub fn try_map<U, E>(self, f: impl FnOnce(T) -> Result<U, E>) -> Result<Content<U>, E> {
        Ok(match self {
            Self::Is(value) => Content::Is(f(value)?),
            Self::Deleted => Content::Deleted,
            Self::Malformed => Content::Malformed,
        })
    }
}

/// All objects, or those that changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch<T> {
    /// The objects, in the order of their changes.
    pub items: Vec<Item<T>>,
    /// Point in the store's history from which a watch may follow.
    pub revision: u64,
}

/// How old a list may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// As the store is now.
    Now,
    /// Some seconds old at most, which costs the store less.
    Stale,
}

/// A list of objects of one kind that can be watched.
pub trait Feed<T>: Send + Sync {
    /// Reads all objects.
    fn list(&self, freshness: Freshness) -> BoxFuture<'_, Result<Batch<T>, FeedError>>;

    /// The store's revision, at little cost. It may be some seconds old.
    fn pulse(&self) -> BoxFuture<'_, Result<u64, FeedError>>;

    /// Waits up to `wait` for objects to change after `revision`.
    fn watch(&self, revision: u64, wait: Duration) -> BoxFuture<'_, Result<Batch<T>, FeedError>>;

    /// What has changed after `revision` until now. The call is given up as soon as a
    /// source is known not to answer it, which differs between stores and peers.
    fn check(&self, revision: u64) -> BoxFuture<'_, Result<Batch<T>, FeedError>>;
}
