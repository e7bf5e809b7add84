//! Reserve of extra calls that an entry saves from its own first calls.

use std::time::Duration;

use chestnut_unit::Time;

/// Part of the tokens earned that may be saved up, and that is deducted from the
/// earnings. A larger part allows larger bursts and fewer extra calls overall.
const RESERVE_SHARE: f64 = 0.25;
/// Number of buckets in which the first calls of a window are counted.
const BUCKETS: u64 = 4;

/// Tokens for extra calls, saved from first calls, for an entry whose quota is below one
/// call.
///
/// Each first call earns three quarters of the share, and at most a quarter of the
/// earnings of the last window is saved. So in any window an entry spends at most the
/// share of its first calls in that window or the one before it, whatever other entries
/// do, and the entries together stay within the shared budget.
#[derive(Clone, Debug)]
pub(crate) struct Reserve {
    /// Saved tokens, in calls.
    saved: f64,
    /// First calls per bucket, the current one first.
    calls: [u32; BUCKETS as usize],
    /// Length of a bucket.
    bucket: Duration,
    /// Number of the current bucket since time zero.
    current: u64,
}

impl Reserve {
    /// Creates an empty reserve for a budget with this window.
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            saved: 0.0,
            calls: [0; BUCKETS as usize],
            bucket: window / BUCKETS as u32,
            current: 0,
        }
    }

    /// Counts `calls` first calls that each earn `share`, and saves three quarters of the
    /// tokens up to the capacity; returns the tokens that are discarded.
    pub(crate) fn earn(&mut self, calls: usize, share: f64, now: Time) -> f64 {
        self.advance(now);
        let count = u32::try_from(calls).unwrap_or(u32::MAX);
        self.calls[0] = self.calls[0].saturating_add(count);
        let earned = share * calls as f64;
        let before = self.available(share, now);
        let uncapped = before + earned * (1.0 - RESERVE_SHARE);
        self.saved = uncapped.min(self.capacity(share, now));
        earned - (self.saved - before)
    }

    /// Withdraws up to `cost` tokens; returns how many were available.
    pub(crate) fn withdraw(&mut self, cost: f64, share: f64, now: Time) -> f64 {
        let withdrawn = self.available(share, now).min(cost);
        self.saved = self.available(share, now) - withdrawn;
        withdrawn
    }

    /// Tokens that can be withdrawn now: those saved, up to the present capacity.
    pub(crate) fn available(&self, share: f64, now: Time) -> f64 {
        self.saved.min(self.capacity(share, now))
    }

    /// Largest number of tokens that can be saved now: a quarter of what the first calls
    /// of the last window earned.
    pub(crate) fn capacity(&self, share: f64, now: Time) -> f64 {
        let elapsed = usize::try_from(self.bucket_at(now).saturating_sub(self.current));
        let elapsed = elapsed.unwrap_or(self.calls.len()).min(self.calls.len());
        let counted = &self.calls[..self.calls.len() - elapsed];
        let calls: u64 = counted.iter().map(|calls| u64::from(*calls)).sum();
        RESERVE_SHARE * share * calls as f64
    }

    /// Number of the bucket that contains `now`, counted from time zero.
    fn bucket_at(&self, now: Time) -> u64 {
        let bucket = self.bucket.as_nanos().max(1);
        u64::try_from(now.since(Time::ZERO).as_nanos() / bucket).unwrap_or(u64::MAX)
    }

    /// Starts the bucket that contains `now` if it is a later one, and drops the calls of
    /// buckets that left the window.
    fn advance(&mut self, now: Time) {
        let current = self.bucket_at(now);
        let elapsed = current.saturating_sub(self.current);
        let elapsed = usize::try_from(elapsed).unwrap_or(self.calls.len());
        let elapsed = elapsed.min(self.calls.len());
        self.calls.rotate_right(elapsed);
        self.calls[..elapsed].fill(0);
        self.current = self.current.max(current);
    }
}
