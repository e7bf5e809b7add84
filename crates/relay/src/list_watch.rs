//! A list-and-watch client's choice of the next call, and its backoff after a
//! failed one.

use std::time::Duration;

use chestnut_port::FeedError;
use chestnut_unit::Revision;
use rand::Rng;

/// The next call that a [`ListWatch`] makes to its feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextCall {
    /// Reads the whole list.
    List,
    /// Waits for changes after this revision.
    Watch(Revision),
}

/// Backoff after the first failed call, before jitter.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest backoff, before jitter. It bounds the time until the entry reconnects after an
/// outage, and the calls that are refused meanwhile.
const BACKOFF_MAX: Duration = Duration::from_millis(1600);

/// Position of a client that lists a feed once and then watches it, and lists
/// it again only when the history that it would watch from is gone.
///
/// Failed calls are repeated after an exponential backoff, of which half is
/// jitter, so that entries that lost the store together don't reconnect
/// together.
#[derive(Clone, Debug, Default)]
pub struct ListWatch {
    /// Revision to watch from; none if the list has to be read.
    revision: Option<Revision>,
    /// Greatest revision received; kept while the list is read again.
    newest: Revision,
    /// Failed calls since the last answer.
    failures: u32,
}

impl ListWatch {
    /// Returns the next call to make: a list at first and after lost history, else
    /// a watch from the revision of the last answer.
    #[must_use]
    pub fn next_call(&self) -> NextCall {
        self.revision.map_or(NextCall::List, NextCall::Watch)
    }

    /// Returns whether an answer that goes up to `revision` is older than what
    /// is known. Taken as a whole list it would restore deleted objects.
    #[must_use]
    pub fn is_stale(&self, revision: Revision) -> bool {
        revision < self.newest
    }

    /// Returns whether an answer of the next call that goes up to `revision` leaves a gap: the
    /// store was restored since the watch began, so changes before that are not reported.
    #[must_use]
    pub fn has_gap(&self, revision: Revision) -> bool {
        self.revision
            .is_some_and(|watched| watched.epoch < revision.epoch)
    }

    /// Records an answer that goes up to `revision`, from which the next watch
    /// starts, and resets the backoff.
    pub fn record_answer(&mut self, revision: Revision) {
        self.revision = Some(revision);
        self.newest = self.newest.max(revision);
        self.failures = 0;
    }

    /// Returns the greatest revision received so far; the lowest before the first answer.
    #[must_use]
    pub fn latest_revision(&self) -> Revision {
        self.newest
    }

    /// Records a failed call and returns the backoff before the next one, with
    /// jitter from `rng`. After [`FeedError::HistoryGone`] it is zero and the list
    /// is read again.
    pub fn record_failure(&mut self, error: &FeedError, rng: &mut dyn Rng) -> Duration {
        if *error == FeedError::HistoryGone {
            self.revision = None;
            return Duration::ZERO;
        }
        let backoff = (BACKOFF_MIN * 2u32.pow(self.failures.min(8))).min(BACKOFF_MAX);
        self.failures += 1;
        let fraction = rng.next_u64() as f64 / u64::MAX as f64;
        backoff.mul_f64(0.5 + 0.5 * fraction)
    }
}
