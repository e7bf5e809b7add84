//! What an entry has heard of one list of objects, to pass it on.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use chestnut_port::{Batch, Content, FeedError, Item};

/// Changes that are remembered. A follower that is further behind reads
/// everything; the ones that keep up are within a few changes.
const REMEMBERED: usize = 1024;

/// The objects of one list, and its last changes.
#[derive(Clone, Debug)]
pub struct Mirror<T> {
    /// What each object holds; `None` if that can't be read.
    values: BTreeMap<String, Option<T>>,
    /// Revision and name, oldest first.
    changes: VecDeque<(u64, String)>,
    /// Changes after this revision are all remembered.
    from: u64,
    /// Up to where the list has been heard; `None` before the first list.
    heard: Option<u64>,
}

impl<T> Default for Mirror<T> {
    fn default() -> Self {
        Self {
            values: BTreeMap::new(),
            changes: VecDeque::new(),
            from: 0,
            heard: None,
        }
    }
}

impl<T: Clone> Mirror<T> {
    /// Takes the whole list.
    pub fn listed(&mut self, batch: &Batch<T>) {
        self.values.clear();
        for item in &batch.items {
            self.put(item);
        }
        self.changes.clear();
        self.from = batch.revision;
        self.heard = Some(batch.revision);
    }

    /// Takes changes.
    pub fn changed(&mut self, batch: &Batch<T>) {
        self.changed_from(batch, |_, _| false);
    }

    /// Takes changes. Of an item that says the `same` as what is known by then only the
    /// value is kept, for those that read the whole list; followers are not told.
    ///
    /// One after the other: an entry that lapsed and came back is in one answer twice. Judged
    /// by what was known before it, coming back was no news, and followers heard of the
    /// deletion alone.
    pub fn changed_from(&mut self, batch: &Batch<T>, same: impl Fn(&T, &T) -> bool) {
        for item in &batch.items {
            let known = match (self.values.get(&item.name), &item.content) {
                (Some(Some(known)), Content::Is(value)) => same(known, value),
                _ => false,
            };
            self.put(item);
            if !known {
                let change = (batch.revision, item.name.clone());
                self.changes.push_back(change);
            }
        }
        while self.changes.len() > REMEMBERED {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.from = revision;
            }
        }
        self.heard = self.heard.max(Some(batch.revision));
    }

    /// Whether `batch` tells of a later point than what has been heard.
    #[must_use]
    pub fn is_behind(&self, batch: &Batch<T>) -> bool {
        self.heard.is_none_or(|heard| heard < batch.revision)
    }

    /// The whole list.
    ///
    /// # Errors
    ///
    /// Nothing has been heard yet.
    pub fn all(&self) -> Result<Batch<T>, FeedError> {
        let revision = self.revision()?;
        Ok(Batch {
            items: self.values.keys().map(|name| self.item(name)).collect(),
            revision,
        })
    }

    /// What changed after `revision`.
    ///
    /// # Errors
    ///
    /// That is longer ago than what is remembered, or nothing has been heard.
    pub fn since(&self, revision: u64) -> Result<Batch<T>, FeedError> {
        let heard = self.revision()?;
        if revision < self.from {
            return Err(FeedError::HistoryGone);
        }
        let new = self.changes.iter().filter(|(at, _)| *at > revision);
        let names: BTreeSet<&String> = new.map(|(_, name)| name).collect();
        Ok(Batch {
            items: names.into_iter().map(|name| self.item(name)).collect(),
            // A follower may have heard more, from another entry.
            revision: heard.max(revision),
        })
    }

    fn put(&mut self, item: &Item<T>) {
        let name = item.name.clone();
        match &item.content {
            Content::Is(value) => self.values.insert(name, Some(value.clone())),
            Content::Malformed => self.values.insert(name, None),
            Content::Deleted => self.values.remove(&name),
        };
    }

    fn item(&self, name: &str) -> Item<T> {
        let content = match self.values.get(name) {
            Some(Some(value)) => Content::Is(value.clone()),
            Some(None) => Content::Malformed,
            None => Content::Deleted,
        };
        Item {
            name: name.to_owned(),
            content,
        }
    }

    fn revision(&self) -> Result<u64, FeedError> {
        self.heard
            .ok_or_else(|| FeedError::Unavailable("nothing heard yet".to_owned()))
    }
}
