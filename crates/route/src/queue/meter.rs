//! The measured rate at which queued queries start.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::Time;

use super::rank::Level;

/// Time with a queue after which the rate counts as known; a shorter time holds too few starts.
const KNOWN_AFTER: Duration = Duration::from_millis(50);
/// Starts needed before the rate counts as known.
const KNOWN_STARTS: f64 = 4.0;
/// Time with a queue after which older starts lose half of their weight.
const HALVED_AFTER: Duration = Duration::from_millis(500);
/// Time without a queue after which the measured rate is dropped: load and back ends have changed
/// since.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(250);

/// Counts the starts of queries while others wait, by level. Times without a queue don't count:
/// then the rate follows the demand, not the capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct Meter {
    starts: BTreeMap<Level, f64>,
    busy: Duration,
    since: Option<Time>,
    /// When the queue last became empty.
    paused: Time,
}

impl Meter {
    /// Records that the queue has become non-empty.
    pub(super) fn resume(&mut self, now: Time) {
        if self.since.is_some() {
            return;
        }
        if now.since(self.paused) > FORGOTTEN_AFTER {
            self.starts.clear();
            self.busy = Duration::ZERO;
        }
        self.since = Some(now);
    }

    /// Records that the queue has become empty.
    pub(super) fn pause(&mut self, now: Time) {
        self.advance(now);
        self.since = None;
        self.paused = now;
    }

    /// Counts a query of `level` that starts at `now`, if others wait.
    pub(super) fn record(&mut self, level: Level, now: Time) {
        if self.since.is_some() {
            self.advance(now);
            *self.starts.entry(level).or_default() += 1.0;
        }
    }

    /// Returns the starts per second of queries of `level` and of later levels, and of all
    /// levels; `None` if too little was measured.
    pub(super) fn rates(&self, level: Level, now: Time) -> Option<Rates> {
        let is_forgotten = self.since.is_none() && now.since(self.paused) > FORGOTTEN_AFTER;
        if is_forgotten {
            return None;
        }
        let current = self.since.map_or(Duration::ZERO, |since| now.since(since));
        let busy = self.busy + current;
        let all: f64 = self.starts.values().sum();
        let known = busy >= KNOWN_AFTER && all >= KNOWN_STARTS;
        known.then(|| Rates {
            level: self.starts.range(level..).map(|(_, n)| n).sum::<f64>() / busy.as_secs_f64(),
            all: all / busy.as_secs_f64(),
        })
    }

    /// Adds the time since the last event, and halves what was measured once it covers
    /// [`HALVED_AFTER`].
    fn advance(&mut self, now: Time) {
        let Some(since) = self.since.replace(now) else {
            return;
        };
        self.busy += now.since(since);
        if self.busy > HALVED_AFTER {
            self.busy /= 2;
            self.starts.values_mut().for_each(|starts| *starts /= 2.0);
        }
    }
}

/// Measured starts of queries, per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Rates {
    /// Of one level and those after it: what the levels before it leave.
    pub(super) level: f64,
    /// Of all levels.
    pub(super) all: f64,
}
