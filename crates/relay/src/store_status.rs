//! Reachability of the store, and detection of watches whose answer was lost.

use std::time::Duration;

use chestnut_unit::{Epoch, Revision, Time};

/// How long a watch may leave a known change unreported before it is checked. Longer than a
/// slow store takes to answer a watch. Watches answer within milliseconds, or within half a
/// second while the store is sixty times as slow.
const CHECK_DELAY: Duration = Duration::from_millis(800);

/// Time in which a peer that reaches the store notices that it was restored: two polls.
const NOTICE_TIME: Duration = Duration::from_secs(2);

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
    revision: Revision,
    /// When `revision` was first seen.
    changed_at: Time,
    /// Whether the store was restored from an older copy since this entry started.
    restored: bool,
    /// When the epoch of `revision` was first seen.
    epoch_seen: Time,
}

/// What an answer to a poll shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollNews {
    /// For how long the store had been lost; none if it had not.
    pub outage: Option<Duration>,
    /// Whether the store was restored from an older copy since the answer before.
    pub restored: bool,
}

impl StoreStatus {
    /// Records a poll answered with `revision`; returns what it shows.
    pub fn record_answer(&mut self, revision: Revision, now: Time) -> PollNews {
        let restored = self.hear_epoch(revision.epoch, now);
        if revision > self.revision {
            self.revision = revision;
            self.changed_at = now;
        }
        PollNews {
            outage: self.lost_since.take().map(|since| now.since(since)),
            restored,
        }
    }

    /// Records an epoch that the store told this entry or another; returns whether it shows that
    /// the store was restored.
    pub fn hear_epoch(&mut self, epoch: Epoch, now: Time) -> bool {
        let known = self.revision.epoch;
        if epoch <= known {
            return false;
        }
        self.revision = Revision::new(epoch, 0);
        (self.changed_at, self.epoch_seen) = (now, now);
        self.restored |= known.is_told();
        known.is_told()
    }

    /// Returns whether a peer that reported `revision` is behind a restore, though it had time to
    /// notice it.
    #[must_use]
    pub fn is_left_behind(&self, revision: Revision, now: Time) -> bool {
        revision.epoch < self.revision.epoch && now.since(self.epoch_seen) >= NOTICE_TIME
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

    /// Returns for how long all polls have failed; `None` while the store answers.
    #[must_use]
    pub fn lost_for(&self, now: Time) -> Option<Duration> {
        self.lost_since.map(|since| now.since(since))
    }

    /// Returns the greatest revision seen; the lowest before the first answer.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns a revision that a peer reported, with the known epoch if the peer tells none, as
    /// it runs an earlier version of the program. Such a peer does not notice a restore and
    /// goes on from what it knew, so `None` if the store was restored.
    #[must_use]
    pub fn dated(&self, revision: Revision) -> Option<Revision> {
        match (revision.epoch.is_told(), self.restored) {
            (true, _) => Some(revision),
            (false, false) => Some(Revision::new(self.revision.epoch, revision.number)),
            (false, true) => None,
        }
    }

    /// Returns when a watch that was started or last checked at `started`, and has
    /// reported all changes up to `reported`, is to be checked; `None` if no later
    /// change is known. A watch from before a restore is checked at once: it may wait for a
    /// revision that the store does not have.
    #[must_use]
    pub fn check_due(&self, reported: Revision, started: Time) -> Option<Time> {
        let restored = self.revision.epoch > reported.epoch && started < self.changed_at;
        match self.revision > reported {
            true if restored => Some(self.changed_at),
            true => Some(self.changed_at.max(started) + CHECK_DELAY),
            false => None,
        }
    }
}
