//! Whether the store is there, and whether a watch has missed something.

use std::time::Duration;

use chestnut_unit::Time;

/// How long a change may be known without the watch that should tell of it
/// having answered. Watches answer within milliseconds, or within half a second
/// while the store is sixty times as slow.
const OVERDUE: Duration = Duration::from_millis(800);

/// What the pulses of a store tell.
///
/// A watch whose answer was lost looks like one that waits: the connection is
/// sound and nothing ever comes on it. Short watches would find that, but each
/// call is paid for. The store's revision, asked for every second at a tenth of
/// the price, shows that something changed. A watch that says nothing about a
/// change for a while is checked by a call that doesn't wait: it tells whether
/// the change was of another kind, or the watch is lost and is started again. A
/// watch that is started while changes are waiting may be lost as well, so that
/// it was started after them proves nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pulse {
    lost: Option<Time>,
    revision: u64,
    /// When the revision was first seen.
    since: Time,
}

impl Pulse {
    /// Takes an answer; tells for how long the store had been lost, if it had.
    pub fn answered(&mut self, revision: u64, now: Time) -> Option<Duration> {
        if revision > self.revision {
            self.revision = revision;
            self.since = now;
        }
        self.lost.take().map(|since| now.since(since))
    }

    /// Takes a failure; tells whether the store was there before.
    pub fn failed(&mut self, now: Time) -> bool {
        let new = self.lost.is_none();
        self.lost.get_or_insert(now);
        new
    }

    /// Whether the store did not answer the last pulse.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// The greatest revision seen.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// When a watch that was asked at `asked`, and has told all up to `told`, is
    /// to be checked.
    #[must_use]
    pub fn overdue(&self, told: u64, asked: Time) -> Option<Time> {
        let since = self.since.max(asked);
        (self.revision > told).then(|| since + OVERDUE)
    }
}
