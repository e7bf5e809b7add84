//! Recent versions of the route book, from which deltas for other entries are built.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use bytes::Bytes;
use chestnut_book::{BookDelta, BookVersion, RouteBook};
use chestnut_port::{EncodedDelta, PackError, pack};

/// Versions that are kept; they share unchanged rules. An entry that is further behind,
/// or has a version that is not kept, gets the whole book.
const MAX_VERSIONS: usize = 4;
/// Packed answers that are kept: one for each base version, and the whole book.
const MAX_PACKED: usize = MAX_VERSIONS + 1;

/// The most recent versions of the route book, with packed deltas to the newest.
#[derive(Debug, Default)]
pub struct History {
    /// The versions, oldest first.
    books: VecDeque<Arc<RouteBook>>,
    /// Packed deltas to the newest version, by base version; 0 for the whole book. They
    /// are cached because packing is slow and many entries ask for the same delta.
    packed: BTreeMap<BookVersion, Bytes>,
}

impl History {
    /// Adds a version, which must be newer than all others. Drops all packed deltas,
    /// and the oldest version if too many are kept.
    pub fn put(&mut self, book: Arc<RouteBook>) {
        self.packed.clear();
        self.books.push_back(book);
        while self.books.len() > MAX_VERSIONS {
            self.books.pop_front();
        }
    }

    /// Returns the delta from `have` to the newest version, or the whole book if `have`
    /// is not kept. The delta is empty if `have` is not older than the newest, or there is no
    /// version, which counts as version 0.
    ///
    /// # Errors
    ///
    /// The delta can't be packed.
    pub fn since(&mut self, have: BookVersion) -> Result<EncodedDelta, PackError> {
        let Some(newest) = self.books.back() else {
            return Ok(EncodedDelta {
                version: BookVersion(0),
                delta: Bytes::new(),
            });
        };
        let version = newest.version;
        if have >= version {
            let delta = Bytes::new();
            return Ok(EncodedDelta { version, delta });
        }
        let base = self.books.iter().find(|book| book.version == have);
        let key = base.map_or(BookVersion(0), |base| base.version);
        let delta = match self.packed.get(&key) {
            Some(delta) => delta.clone(),
            None => pack(&BookDelta::between(base.map(|base| &**base), newest))?,
        };
        if self.packed.len() < MAX_PACKED {
            self.packed.insert(key, delta.clone());
        }
        Ok(EncodedDelta { version, delta })
    }
}
