//! Budgets of extra calls.

use std::{ops::Add, time::Duration};

use chestnut_unit::{Share, Time};

use crate::kept::Kept;

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
    /// Saved of first calls, beside the slack.
    kept: Option<Kept>,
    at: Time,
    tally: Tally,
}

/// What became of a budget so far, in calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Allowed, by first calls or by time.
    pub earned: f64,
    /// Of those, lost because no more could be saved up.
    pub lost: f64,
    /// Of those, spent.
    pub spent: f64,
}

impl Add for Tally {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            earned: self.earned + other.earned,
            lost: self.lost + other.lost,
            spent: self.spent + other.spent,
        }
    }
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
            kept: None,
            at: Time::ZERO,
            tally: Tally::default(),
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
    ///
    /// Half of a small part of a slack that many share is less than a call, and no
    /// call could ever be made of it, however much first calls earn. So one whole call
    /// may be saved up where the part is that large. Below, a part of what first calls
    /// earn is kept.
    pub fn set_slack(&mut self, slack: f64, window: Duration) {
        self.burst = match slack >= 1.0 {
            true => (slack / 2.0).max(1.0),
            false => slack / 2.0,
        };
        self.rate = (slack - self.burst) / window.as_secs_f64().max(1e-3);
        self.tokens = self.tokens.min(self.burst);
        self.kept = match (slack >= 1.0, self.kept.take()) {
            (true, _) => None,
            (false, kept) => Some(kept.unwrap_or_else(|| Kept::new(window))),
        };
    }

    /// Takes the passing of time.
    pub fn pass(&mut self, now: Time) {
        let earned = self.rate * now.since(self.at).as_secs_f64();
        self.save(earned);
        self.at = self.at.max(now);
    }

    /// Counts `calls` first calls.
    pub fn earn(&mut self, calls: usize) {
        let earned = self.share * calls as f64;
        match &mut self.kept {
            None => self.save(earned),
            Some(kept) => {
                self.tally.earned += earned;
                self.tally.lost += kept.earn(calls, self.share, self.at);
            }
        }
    }

    fn save(&mut self, earned: f64) {
        let saved = self.tokens + earned;
        self.tokens = saved.min(self.burst);
        self.tally.earned += earned;
        self.tally.lost += saved - self.tokens;
    }

    fn saved(&self) -> f64 {
        let kept = self.kept.as_ref();
        self.tokens + kept.map_or(0.0, |kept| kept.left(self.share, self.at))
    }

    /// Spends one extra call, if the budget allows it.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        self.spend_part(1.0)
    }

    /// Spends an extra call that costs the target `part` of a whole one.
    #[must_use]
    pub fn spend_part(&mut self, part: f64) -> bool {
        if self.saved() < part {
            return false;
        }
        let kept = self.kept.as_mut();
        let kept = kept.map_or(0.0, |kept| kept.take(part, self.share, self.at));
        self.tokens -= part - kept;
        self.tally.spent += part;
        true
    }

    /// The part of what can be saved up that is left, from 0 to 1.
    #[must_use]
    pub fn part_left(&self) -> f64 {
        let kept = self.kept.as_ref();
        let most = self.burst + kept.map_or(0.0, |kept| kept.most(self.share, self.at));
        match most > 0.0 {
            true => (self.saved() / most).clamp(0.0, 1.0),
            false => 0.0,
        }
    }

    /// What became of it so far.
    #[must_use]
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Whole calls left.
    #[must_use]
    pub fn left(&self) -> u32 {
        self.saved() as u32
    }
}
