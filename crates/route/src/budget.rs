//! Budgets of extra calls.

use chestnut_unit::Share;

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

    /// Changes how many calls may be saved up; what is above is lost.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
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

    /// Whole calls left.
    #[must_use]
    pub fn left(&self) -> u32 {
        self.tokens as u32
    }
}
