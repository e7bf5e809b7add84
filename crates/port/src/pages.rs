//! The way through a list that comes in pages, each of which begins behind the last name of the
//! one before.

use std::{borrow::Cow, collections::BTreeSet};

use chestnut_unit::Revision;

use crate::FeedError;

/// Longest name, in bytes, that a value can have. Longer ones are only passed over.
pub const NAME_MAX: usize = 256;

/// How far a list has been read.
#[derive(Debug, Default)]
pub struct Pages {
    /// The revision of the first page.
    revision: Option<Revision>,
    /// What the pages so far began behind.
    starts: BTreeSet<String>,
}

impl Pages {
    /// Records a page at `revision`, and returns that of the first page. A watch from there misses
    /// no change.
    ///
    /// # Errors
    ///
    /// The store was restored since the first page, which is obsolete.
    pub fn record(&mut self, revision: Revision) -> Result<Revision, FeedError> {
        let first = *self.revision.get_or_insert(revision);
        match first.epoch == revision.epoch {
            true => Ok(first),
            false => Err(FeedError::HistoryGone),
        }
    }

    /// Returns behind which text the next page begins; `last` is the last name of this one.
    ///
    /// # Errors
    ///
    /// The pages don't move on. A list that ended here would lack what comes behind, and one that
    /// repeats itself has no end.
    pub fn next(&mut self, last: Option<&str>) -> Result<String, FeedError> {
        let start = last.map(|name| next_start(name).into_owned());
        match start.filter(|start| self.starts.insert(start.clone())) {
            Some(start) => Ok(start),
            None => {
                let problem = "a page of the list does not move on";
                Err(FeedError::Refused(problem.to_owned()))
            }
        }
    }
}

/// Returns the text behind which the page after the name `last` begins.
///
/// A name that is longer than any value's may not fit into a request. All that sort between it
/// and the text returned begin alike, so they are as long and name nothing either.
fn next_start(last: &str) -> Cow<'_, str> {
    if last.len() <= NAME_MAX {
        return Cow::Borrowed(last);
    }
    let end = last.floor_char_boundary(NAME_MAX + 1);
    Cow::Owned(format!("{}{}", &last[..end], char::MAX))
}
