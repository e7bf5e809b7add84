//! Watch cache of one list of objects, from which an entry answers the lists and watches
//! of its peers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use chestnut_port::{Batch, Content, FeedError, Item};
use chestnut_unit::{Epoch, Revision};

/// Number of changes kept of one list. A follower that is further behind reads the whole list.
const HISTORY_LIMIT: usize = 1024;

/// Objects of one list by name, its latest changes by revision, and the revision up to which
/// it is known.
#[derive(Clone, Debug)]
pub struct WatchCache<T> {
    /// Value of each object by name; `None` if it can't be parsed.
    values: BTreeMap<String, Option<T>>,
    /// Revision and object name of each change, oldest first.
    changes: VecDeque<(Revision, String)>,
    /// Revision up to which changes were dropped; all later ones are in `changes`.
    dropped: Revision,
    /// Revision up to which the list is known; `None` before the first list.
    latest: Option<Revision>,
}

impl<T> Default for WatchCache<T> {
    fn default() -> Self {
        Self {
            values: BTreeMap::new(),
            changes: VecDeque::new(),
            dropped: Revision::default(),
            latest: None,
        }
    }
}

impl<T: Clone> WatchCache<T> {
    /// Replaces the content with a whole list. Changes up to its revision are no longer known,
    /// so followers that are behind it have to list again.
    pub fn replace(&mut self, batch: &Batch<T>) {
        self.values.clear();
        for item in &batch.items {
            self.put(item);
        }
        self.changes.clear();
        self.dropped = batch.revision;
        self.latest = Some(batch.revision);
    }

    /// Applies changes, and keeps each for followers.
    pub fn apply(&mut self, batch: &Batch<T>) {
        self.apply_filtered(batch, |_, _| false);
    }

    /// Applies changes. Of an item whose value is the `same` as the one known before it,
    /// only the value is kept, for readers of the whole list; followers are not notified.
    ///
    /// Items are compared in order, as one batch may delete and re-create an object.
    /// Compared with the state before the batch, the re-creation would be suppressed and
    /// followers would see the deletion alone.
    pub fn apply_filtered(&mut self, batch: &Batch<T>, same: impl Fn(&T, &T) -> bool) {
        for item in &batch.items {
            let unchanged = match (self.values.get(&item.name), &item.content) {
                (Some(Some(known)), Content::Value(value)) => same(known, value),
                _ => false,
            };
            self.put(item);
            if !unchanged {
                let change = (batch.revision, item.name.clone());
                self.changes.push_back(change);
            }
        }
        while self.changes.len() > HISTORY_LIMIT {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.dropped = revision;
            }
        }
        self.latest = self.latest.max(Some(batch.revision));
    }

    /// Returns whether `batch` goes up to a later revision than this cache.
    #[must_use]
    pub fn is_behind(&self, batch: &Batch<T>) -> bool {
        self.latest.is_none_or(|latest| latest < batch.revision)
    }

    /// Returns the epoch of the list; none before the first.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        self.latest.map(|latest| latest.epoch)
    }

    /// Returns the whole list.
    ///
    /// # Errors
    ///
    /// Fails with [`FeedError::Unavailable`] before the first list.
    pub fn list(&self) -> Result<Batch<T>, FeedError> {
        let revision = self.revision()?;
        Ok(Batch {
            items: self.values.keys().map(|name| self.item(name)).collect(),
            revision,
        })
    }

    /// Returns the present state of each object that changed after `revision`, once each.
    ///
    /// # Errors
    ///
    /// Fails with [`FeedError::HistoryGone`] if some of them were dropped, and with
    /// [`FeedError::Unavailable`] before the first list.
    pub fn changes_since(&self, revision: Revision) -> Result<Batch<T>, FeedError> {
        let latest = self.revision()?;
        if revision < self.dropped {
            return Err(FeedError::HistoryGone);
        }
        let new = self.changes.iter().filter(|(at, _)| *at > revision);
        let names: BTreeSet<&String> = new.map(|(_, name)| name).collect();
        Ok(Batch {
            items: names.into_iter().map(|name| self.item(name)).collect(),
            // A follower may be ahead, with changes from another entry.
            revision: latest.max(revision),
        })
    }

    /// Sets or removes the value of an object, without recording a change.
    fn put(&mut self, item: &Item<T>) {
        let name = item.name.clone();
        match &item.content {
            Content::Value(value) => self.values.insert(name, Some(value.clone())),
            Content::Malformed => self.values.insert(name, None),
            Content::Deleted => self.values.remove(&name),
        };
    }

    /// Returns the present state of the object `name`; deleted if there is none.
    fn item(&self, name: &str) -> Item<T> {
        let content = match self.values.get(name) {
            Some(Some(value)) => Content::Value(value.clone()),
            Some(None) => Content::Malformed,
            None => Content::Deleted,
        };
        Item {
            name: name.to_owned(),
            content,
        }
    }

    /// Returns the revision up to which the list is known; [`FeedError::Unavailable`] before the
    /// first list.
    fn revision(&self) -> Result<Revision, FeedError> {
        self.latest
            .ok_or_else(|| FeedError::Unavailable("no list received yet".to_owned()))
    }
}
