//! Budgets of extra calls.

use std::time::Duration;

use chestnut_unit::{Share, Time};

/// Extra calls allowed as a share of first calls.
///
/// Without a budget, retries and hedges grow with the faults that cause them:
/// targets that slow down under load get more load, and stay slow after the
/// cause has gone. A share of first calls bounds the extra load whatever the
/// cause; the burst lets a quiet service answer a sudden loss.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    burst: f64,
    tokens: f64,
    /// Calls a second that come whatever is called.
    rate: f64,
    at: Time,
}

impl Budget {
    /// A budget of `share` of first calls that saves up to `burst` calls. It
    /// starts full, but for a share of nothing, which allows none at all.
    #[must_use]
    pub fn new(share: Share, burst: u32) -> Self {
        let burst = if share.as_f64() > 0.0 {
            f64::from(burst)
        } else {
            0.0
        };
        Self {
            share: share.as_f64(),
            burst,
            tokens: burst,
            rate: 0.0,
            at: Time::ZERO,
        }
    }

    /// A budget that starts empty. A member of a group whose shares together
    /// make one budget must not start with saved calls: a group that restarts
    /// at once would spend them all again.
    #[must_use]
    pub fn empty(share: Share, burst: u32) -> Self {
        Self {
            tokens: 0.0,
            ..Self::new(share, burst)
        }
    }

    /// Changes the share of first calls; what is saved up stays.
    pub fn set_share(&mut self, share: Share) {
        self.share = share.as_f64();
    }

    /// Allows `slack` calls on top of the share in any `window`: half of them
    /// may be saved up, and the other half comes over the window. What is saved
    /// above that is lost.
    pub fn set_slack(&mut self, slack: f64, window: Duration) {
        self.burst = slack / 2.0;
        self.rate = slack / 2.0 / window.as_secs_f64().max(1e-3);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Takes the passing of time.
    pub fn pass(&mut self, now: Time) {
        let earned = self.rate * now.since(self.at).as_secs_f64();
        self.tokens = (self.tokens + earned).min(self.burst);
        self.at = self.at.max(now);
    }

    /// Counts `calls` first calls.
    pub fn earn(&mut self, calls: usize) {
        let earned = self.share * calls as f64;
        self.tokens = (self.tokens + earned).min(self.burst);
    }

    /// Spends one extra call, if the budget allows it.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        self.spend_part(1.0)
    }

    /// Spends an extra call that costs the target `part` of a whole one.
    #[must_use]
    pub fn spend_part(&mut self, part: f64) -> bool {
        if self.tokens < part {
            return false;
        }
        self.tokens -= part;
        true
    }

    /// The part of what can be saved up that is left, from 0 to 1.
    #[must_use]
    pub fn part_left(&self) -> f64 {
        match self.burst > 0.0 {
            true => (self.tokens / self.burst).clamp(0.0, 1.0),
            false => 0.0,
        }
    }

    /// Whole calls left.
    #[must_use]
    pub fn left(&self) -> u32 {
        self.tokens as u32
    }
}
