//! The last versions of the book, to tell others what has changed.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use bytes::Bytes;
use chestnut_book::{BookDelta, BookVersion, RouteBook};
use chestnut_port::{PackError, RawBook, pack};

/// Versions that are kept. An entry that is further behind, or has one that this entry
/// never had, gets the whole book. Versions share their rules: one more costs the map and
/// not the routes.
const KEPT: usize = 4;
/// Answers that are kept packed, by what the asker has: one for each kept version, and
/// the whole book.
const PACKED: usize = KEPT + 1;

/// The last versions of the book.
#[derive(Debug, Default)]
pub struct History {
    /// Oldest first.
    books: VecDeque<Arc<RouteBook>>,
    /// Deltas to the newest one, by the version that they change; 0 for nothing. Packing
    /// takes milliseconds, and many ask for the same one.
    packed: BTreeMap<BookVersion, Bytes>,
}

impl History {
    /// Takes a version that is newer than the others.
    pub fn put(&mut self, book: Arc<RouteBook>) {
        self.packed.clear();
        self.books.push_back(book);
        while self.books.len() > KEPT {
            self.books.pop_front();
        }
    }

    /// What makes the newest version of `have`, or of nothing.
    ///
    /// # Errors
    ///
    /// It can't be packed.
    pub fn since(&mut self, have: BookVersion) -> Result<RawBook, PackError> {
        let Some(newest) = self.books.back() else {
            return Ok(RawBook {
                version: BookVersion(0),
                delta: Bytes::new(),
            });
        };
        let version = newest.version;
        if have >= version {
            let delta = Bytes::new();
            return Ok(RawBook { version, delta });
        }
        let base = self.books.iter().find(|book| book.version == have);
        let key = base.map_or(BookVersion(0), |base| base.version);
        let delta = match self.packed.get(&key) {
            Some(delta) => delta.clone(),
            None => pack(&BookDelta::between(base.map(|base| &**base), newest))?,
        };
        if self.packed.len() < PACKED {
            self.packed.insert(key, delta.clone());
        }
        Ok(RawBook { version, delta })
    }
}
