//! Reachability of the store, and detection of watches whose answer was lost.

use std::time::Duration;

use chestnut_unit::Time;

/// How long a watch may leave a known change unreported before it is checked.
/// Longer than a slow store takes to answer a watch.
const CHECK_DELAY: Duration = Duration::from_millis(800);

/// Since when the store is lost, and its greatest revision, according to its revision polls.
///
/// A watch whose answer was lost looks like one that waits: the connection is
/// healthy and nothing arrives on it. Short watches would detect that, but each
/// call is paid for. Revision polls, which are cheaper, show that something
/// changed; a watch that doesn't report a change for a while is then checked by
/// a call that doesn't wait. Either the change was of another kind, or the
/// watch is lost and is started again. A watch that was started after the
/// change may be lost as well, so its start proves nothing and it is checked
/// like any other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreStatus {
    /// When the store was lost: the first failed poll since the last answer. None while the
    /// store answers, and before the first poll.
    lost_since: Option<Time>,
    /// Greatest revision seen.
    revision: u64,
    /// When `revision` was first seen.
    changed_at: Time,
}

impl StoreStatus {
    /// Records a poll answered with `revision`; returns for how long the store had
    /// been lost, `None` if it had not.
    pub fn record_answer(&mut self, revision: u64, now: Time) -> Option<Duration> {
        if revision > self.revision {
            self.revision = revision;
            self.changed_at = now;
        }
        self.lost_since.take().map(|since| now.since(since))
    }

    /// Records a failed poll; returns whether it is the first since the last answer.
    pub fn record_failure(&mut self, now: Time) -> bool {
        let new = self.lost_since.is_none();
        self.lost_since.get_or_insert(now);
        new
    }

    /// Returns whether the last recorded poll failed; false before the first.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Returns the greatest revision seen; 0 before the first answer.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns when a watch that was started or last checked at `started`, and has
    /// reported all changes up to `reported`, is to be checked; `None` if no later
    /// change is known.
    #[must_use]
    pub fn check_due(&self, reported: u64, started: Time) -> Option<Time> {
        let since = self.changed_at.max(started);
        (self.revision > reported).then(|| since + CHECK_DELAY)
    }
}
