//! A token bucket.

use chestnut_unit::Time;

/// Tokens that fill at a rate up to a capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    updated: Time,
}

impl Bucket {
    /// Creates a bucket with `tokens` in it.
    pub(crate) fn new(tokens: f64, now: Time) -> Self {
        Self {
            tokens,
            updated: now,
        }
    }

    /// Adds what has come since the last call, at `rate` per second, up to `capacity`.
    pub(crate) fn fill(&mut self, rate: f64, capacity: f64, now: Time) {
        let earned = now.since(self.updated).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(capacity);
        self.updated = self.updated.max(now);
    }

    /// Takes up to `want` whole tokens of those that are left if the bucket has drained at `rate`
    /// per second since it was last filled; returns how many.
    pub(crate) fn take_draining(&mut self, want: u32, rate: f64, now: Time) -> u32 {
        let drained = now.since(self.updated).as_secs_f64() * rate;
        // The cast saturates, also for a negative number.
        let taken = want.min((self.tokens - drained).floor() as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Removes what has drained at `rate` per second since the bucket was last filled; debt stays.
    pub(crate) fn drain(&mut self, rate: f64, now: Time) {
        let drained = now.since(self.updated).as_secs_f64() * rate;
        self.tokens = (self.tokens - drained).max(self.tokens.min(0.0));
        self.updated = self.updated.max(now);
    }

    /// Takes up to `want` whole tokens; returns how many.
    pub(crate) fn take(&mut self, want: u32) -> u32 {
        // The cast saturates, also for a negative number.
        let taken = want.min(self.tokens.floor() as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Takes `count` tokens that were used already, at most down to a debt of `most`.
    pub(crate) fn charge(&mut self, count: u32, most: f64) {
        self.tokens = (self.tokens - f64::from(count)).max(self.tokens.min(-most));
    }

    /// Returns a token that was not used.
    pub(crate) fn put_back(&mut self) {
        self.tokens += 1.0;
    }

    /// Whether it holds fewer than `tokens`.
    pub(crate) fn is_below(&self, tokens: f64) -> bool {
        self.tokens < tokens
    }

    /// Seconds until a whole token is there, at `rate` per second.
    pub(crate) fn wait(&self, rate: f64) -> f64 {
        (1.0 - self.tokens).max(0.0) / rate
    }
}
