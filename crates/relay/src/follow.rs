//! What to ask a store next, to follow a list of objects.

use std::time::Duration;

use chestnut_port::FeedError;
use rand::Rng;

/// The next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Read everything.
    List,
    /// Wait for changes after this revision.
    Watch(u64),
}

/// First rest after a failed call.
const REST_FIRST: Duration = Duration::from_millis(200);
/// Longest rest. Well below the four seconds in which an entry is to be in
/// touch again after an outage; each refused call is paid for.
const REST_MAX: Duration = Duration::from_millis(1600);

/// Follows one list of objects: reads it once, then watches, and reads it
/// again only when the history that it would watch from is gone.
///
/// Calls that fail are repeated after a rest that doubles and is drawn from
/// half to the whole of it, so that entries which lost the store together don't
/// come back together.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    revision: Option<u64>,
    /// The greatest revision that was heard.
    known: u64,
    failures: u32,
}

impl Follower {
    /// The next call.
    #[must_use]
    pub fn next(&self) -> Next {
        self.revision.map_or(Next::List, Next::Watch)
    }

    /// Whether an answer that goes up to `revision` is older than what is
    /// known. Taken as a whole list it would bring back what has gone since.
    #[must_use]
    pub fn is_old(&self, revision: u64) -> bool {
        revision < self.known
    }

    /// Takes an answer that goes up to `revision`.
    pub fn answered(&mut self, revision: u64) {
        self.revision = Some(revision);
        self.known = self.known.max(revision);
        self.failures = 0;
    }

    /// The greatest revision that was heard.
    #[must_use]
    pub fn known(&self) -> u64 {
        self.known
    }

    /// Takes a failure; returns how long to rest.
    pub fn failed(&mut self, error: &FeedError, rng: &mut dyn Rng) -> Duration {
        if *error == FeedError::HistoryGone {
            self.revision = None;
            return Duration::ZERO;
        }
        let rest = (REST_FIRST * 2u32.pow(self.failures.min(8))).min(REST_MAX);
        self.failures += 1;
        let draw = rng.next_u64() as f64 / u64::MAX as f64;
        rest.mul_f64(0.5 + 0.5 * draw)
    }
}
