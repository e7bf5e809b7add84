//! Extra calls that an entry keeps of what its own first calls earn.

use std::time::Duration;

use chestnut_unit::Time;

/// Part of what first calls earn that may be saved up, and that is taken off what
/// they earn for it. More keeps more for a burst and makes fewer calls in all.
const KEPT_PART: f64 = 0.25;
/// Spans that a window of first calls is counted in.
const SPANS: u64 = 4;

/// What is kept of first calls where an entry's part of the slack is too small for one
/// whole call.
///
/// Each first call earns three quarters of the share, and what is saved is at most a
/// quarter of what those of the last window earned. So in any window no more is spent
/// than the share of the first calls in it or in the one before it, whatever other
/// entries do; the sum of all entries keeps to the bound as each does.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    saved: f64,
    /// First calls by span, the present one first.
    calls: [u32; SPANS as usize],
    span: Duration,
    /// Number of the present span.
    number: u64,
}

impl Kept {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            saved: 0.0,
            calls: [0; SPANS as usize],
            span: window / SPANS as u32,
            number: 0,
        }
    }

    /// Takes first calls; returns what of their share is lost.
    pub(crate) fn earn(&mut self, calls: usize, share: f64, now: Time) -> f64 {
        self.turn(now);
        let count = u32::try_from(calls).unwrap_or(u32::MAX);
        self.calls[0] = self.calls[0].saturating_add(count);
        let earned = share * calls as f64;
        let before = self.left(share, now);
        let saved = before + earned * (1.0 - KEPT_PART);
        self.saved = saved.min(self.most(share, now));
        earned - (self.saved - before)
    }

    /// Spends up to `part` of a call; returns how much.
    pub(crate) fn take(&mut self, part: f64, share: f64, now: Time) -> f64 {
        let taken = self.left(share, now).min(part);
        self.saved = self.left(share, now) - taken;
        taken
    }

    /// What is saved.
    pub(crate) fn left(&self, share: f64, now: Time) -> f64 {
        self.saved.min(self.most(share, now))
    }

    /// What may be saved.
    pub(crate) fn most(&self, share: f64, now: Time) -> f64 {
        let passed = usize::try_from(self.at(now).saturating_sub(self.number));
        let passed = passed.unwrap_or(self.calls.len()).min(self.calls.len());
        let recent = &self.calls[..self.calls.len() - passed];
        let calls: u64 = recent.iter().map(|calls| u64::from(*calls)).sum();
        KEPT_PART * share * calls as f64
    }

    fn at(&self, now: Time) -> u64 {
        let span = self.span.as_nanos().max(1);
        u64::try_from(now.since(Time::ZERO).as_nanos() / span).unwrap_or(u64::MAX)
    }

    fn turn(&mut self, now: Time) {
        let number = self.at(now);
        let passed = number.saturating_sub(self.number);
        let passed = usize::try_from(passed).unwrap_or(self.calls.len());
        let passed = passed.min(self.calls.len());
        self.calls.rotate_right(passed);
        self.calls[..passed].fill(0);
        self.number = self.number.max(number);
    }
}
