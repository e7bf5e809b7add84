//! Token bucket that limits extra calls (hedges and retries).

use std::{ops::Add, time::Duration};

use chestnut_unit::{Share, Time};

use crate::reserve::Reserve;

/// Limits extra calls to a share of first calls.
///
/// Without a limit, retries and hedges grow with the faults that cause them: targets
/// that slow down under load get even more load and stay slow after the cause has gone.
/// A share of first calls bounds the extra load whatever the cause, and the burst lets
/// a service with little traffic react to a sudden loss.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    burst: f64,
    tokens: f64,
    /// Tokens added per second, independent of first calls.
    rate: f64,
    /// Tokens saved from first calls while the quota is below one call.
    reserve: Option<Reserve>,
    updated: Time,
    tally: Tally,
}

/// Totals of a budget, in calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Tokens earned by first calls or by time.
    pub earned: f64,
    /// Earned tokens that were discarded because the bucket was full.
    pub lost: f64,
    /// Tokens spent on extra calls.
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
    /// Creates a budget of `share` of first calls that holds up to `burst` calls. It
    /// starts full; a share of zero allows no extra call at all.
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
            reserve: None,
            updated: Time::ZERO,
            tally: Tally::default(),
        }
    }

    /// Creates a budget that starts empty, for an entry whose quota is part of a budget
    /// shared by several. If they started full, a restart of all of them would spend
    /// the shared budget twice.
    #[must_use]
    pub fn empty(share: Share, burst: u32) -> Self {
        Self {
            tokens: 0.0,
            ..Self::new(share, burst)
        }
    }

    /// Changes the share of first calls; tokens already saved stay.
    pub fn set_share(&mut self, share: Share) {
        self.share = share.as_f64();
    }

    /// Allows `quota` calls in any `window` in addition to the share. Half of the quota
    /// is the bucket's capacity and the other half is refilled over the window; tokens
    /// above the capacity are lost.
    ///
    /// The capacity is at least one call where the quota is: half of a small quota
    /// would be less than a call and could never be spent. For a quota below one call,
    /// a reserve saved from first calls pays instead.
    pub fn set_slack(&mut self, quota: f64, window: Duration) {
        self.burst = match quota >= 1.0 {
            true => (quota / 2.0).max(1.0),
            false => quota / 2.0,
        };
        self.rate = (quota - self.burst) / window.as_secs_f64().max(1e-3);
        self.tokens = self.tokens.min(self.burst);
        self.reserve = match (quota >= 1.0, self.reserve.take()) {
            (true, _) => None,
            (false, reserve) => Some(reserve.unwrap_or_else(|| Reserve::new(window))),
        };
    }

    /// Refills the bucket for the time that has passed.
    pub fn pass(&mut self, now: Time) {
        let earned = self.rate * now.since(self.updated).as_secs_f64();
        self.deposit(earned);
        self.updated = self.updated.max(now);
    }

    /// Adds the tokens earned by `calls` first calls.
    pub fn earn(&mut self, calls: usize) {
        let earned = self.share * calls as f64;
        match &mut self.reserve {
            None => self.deposit(earned),
            Some(reserve) => {
                self.tally.earned += earned;
                self.tally.lost += reserve.earn(calls, self.share, self.updated);
            }
        }
    }

    fn deposit(&mut self, earned: f64) {
        let uncapped = self.tokens + earned;
        self.tokens = uncapped.min(self.burst);
        self.tally.earned += earned;
        self.tally.lost += uncapped - self.tokens;
    }

    fn available(&self) -> f64 {
        let reserve = self.reserve.as_ref();
        self.tokens + reserve.map_or(0.0, |reserve| reserve.available(self.share, self.updated))
    }

    /// Spends one extra call; returns false if the budget doesn't allow it.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        self.spend_part(1.0)
    }

    /// Spends an extra call that costs its target `cost` of a whole call; returns false
    /// if the budget doesn't allow it.
    #[must_use]
    pub fn spend_part(&mut self, cost: f64) -> bool {
        if self.available() < cost {
            return false;
        }
        let reserve = self.reserve.as_mut();
        let paid = reserve.map_or(0.0, |r| r.withdraw(cost, self.share, self.updated));
        self.tokens -= cost - paid;
        self.tally.spent += cost;
        true
    }

    /// The filled part of the capacity, from 0 to 1.
    #[must_use]
    pub fn part_left(&self) -> f64 {
        let reserve = self.reserve.as_ref();
        let capacity =
            self.burst + reserve.map_or(0.0, |reserve| reserve.capacity(self.share, self.updated));
        match capacity > 0.0 {
            true => (self.available() / capacity).clamp(0.0, 1.0),
            false => 0.0,
        }
    }

    /// The totals so far.
    #[must_use]
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Number of whole calls that can be spent now.
    #[must_use]
    pub fn left(&self) -> u32 {
        self.available() as u32
    }
}
