//! What callers spend outside of this entry.

use std::time::Duration;

use chestnut_route::Quantiles;
use chestnut_unit::Time;

/// Longest way that is believed, and the one while nothing is known of callers: four
/// round trips of 6 ms, to ask where to connect, to connect and to be served, and
/// the delay of timers.
const WAY_MAX: Duration = Duration::from_millis(26);
/// Delay of timers, here and at the caller.
const TIMERS: Duration = Duration::from_millis(3);
/// Quantile of the time that ending an answer takes which is kept for it.
const OVERRUN_QUANTILE: f64 = 0.75;
/// Longest such time that is believed: answers that lack their least share at the goal
/// go out whenever that is in.
const OVERRUN_MAX: Duration = Duration::from_millis(20);
/// Callers with a new connection that must have come before their way is known.
const SAMPLES_NEEDED: u64 = 8;
/// Quantile of what they spent before that is taken for the way to a caller and back.
/// Those that come after a failure have spent much more, and may be most for a
/// while; those that connect have spent from one round trip to three.
const QUANTILE: f64 = 0.25;

/// Most that the longest time seen may be below a rule's timeout for callers to be
/// taken to begin with the timeout: what they spend before they reach an entry.
const TIMEOUT_NEAR: Duration = WAY_MAX;

/// How long the longest time that callers gave is remembered, at least.
const REMEMBERED: Duration = Duration::from_secs(15);

/// The longest time that callers of one rule gave, lately.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Longest {
    before: Duration,
    now: Duration,
    turned: Time,
}

impl Longest {
    /// Takes the time that a caller of a rule with `timeout` gives; returns what it has
    /// spent already: the first try of a call gives all of its time, and one that has
    /// asked where to connect, or has failed elsewhere, gives what is left.
    ///
    /// An entry that few callers visit may not have seen a first try. Where all have
    /// given a little less than the operator's timeout, they began with that.
    fn spent(&mut self, left: Duration, timeout: Duration, now: Time) -> Duration {
        if now.since(self.turned) >= REMEMBERED {
            self.before = self.now;
            self.now = Duration::ZERO;
            self.turned = now;
        }
        self.now = self.now.max(left);
        let longest = self.before.max(self.now);
        let all = match longest + TIMEOUT_NEAR >= timeout {
            true => longest.max(timeout),
            false => longest,
        };
        all.saturating_sub(left)
    }
}

/// What callers spend between their request and this entry.
///
/// A goal counts from the caller's own start. A fixed allowance for connecting
/// takes too much from callers that keep their connections, most of a goal of 50 ms:
/// answers then went out without shards that were on their way.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    /// What callers had spent that had spent anything.
    spent: Quantiles,
    /// By how much answers that were ended to be in time went out later than meant.
    overrun: Quantiles,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            spent: Quantiles::new(QUANTILE),
            overrun: Quantiles::new(OVERRUN_QUANTILE),
        }
    }
}

impl Callers {
    /// Takes a caller of a rule with `timeout` that gives `left`; returns what is to be
    /// taken off its goal: what it has spent, and the answer's way back.
    pub(crate) fn away(
        &mut self,
        longest: &mut Longest,
        left: Option<Duration>,
        timeout: Duration,
        now: Time,
    ) -> Duration {
        let spent = left.map_or(Duration::ZERO, |left| longest.spent(left, timeout, now));
        if !spent.is_zero() {
            self.spent.record(spent);
        }
        spent + self.way(spent) + self.overrun()
    }

    /// Takes it that an answer which was ended at its goal went out `late` after it.
    pub(crate) fn went_out(&mut self, late: Duration) {
        if late <= OVERRUN_MAX {
            self.overrun.record(late);
        }
    }

    /// What ending an answer takes.
    pub(crate) fn overrun(&self) -> Duration {
        match self.overrun.count() < SAMPLES_NEEDED {
            true => Duration::ZERO,
            false => self.overrun.high(),
        }
    }

    /// Callers that the way was learned from.
    pub(crate) fn samples(&self) -> u64 {
        self.spent.count()
    }

    /// The way to a caller that has spent `spent`, and back. While it is not known, a
    /// caller that has asked and connected has half of it behind it.
    pub(crate) fn way(&self, spent: Duration) -> Duration {
        if self.spent.count() < SAMPLES_NEEDED {
            return WAY_MAX.saturating_sub(spent).max(WAY_MAX / 2);
        }
        (self.spent.high() + TIMERS).min(WAY_MAX)
    }
}
