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
    totals: BudgetTotals,
}

/// Totals of a budget, in calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetTotals {
    /// Tokens earned by first calls or by time.
    pub earned: f64,
    /// Earned tokens that were discarded because the bucket was full.
    pub discarded: f64,
    /// Tokens spent on extra calls.
    pub spent: f64,
}

impl Add for BudgetTotals {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            earned: self.earned + other.earned,
            discarded: self.discarded + other.discarded,
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
            totals: BudgetTotals::default(),
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

    /// Allows `quota` calls in any `window` in addition to the share. The bucket's
    /// capacity becomes half of the quota, and at least one call if the quota is one or
    /// more; the rest is refilled over the window. Tokens above the new capacity are
    /// dropped.
    ///
    /// With a quota below one call the bucket never holds a whole call, so a reserve
    /// saved from first calls adds the missing part; an existing reserve is kept. With
    /// a quota of one or more the reserve is dropped.
    pub fn set_quota(&mut self, quota: f64, window: Duration) {
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

    /// Adds the tokens of the quota for the time since the last refill; none without a
    /// quota.
    pub fn refill(&mut self, now: Time) {
        let earned = self.rate * now.since(self.updated).as_secs_f64();
        self.deposit(earned);
        self.updated = self.updated.max(now);
    }

    /// Adds the tokens earned by `calls` first calls, to the reserve if there is one.
    /// Those above the capacity are discarded.
    pub fn earn(&mut self, calls: usize) {
        let earned = self.share * calls as f64;
        match &mut self.reserve {
            None => self.deposit(earned),
            Some(reserve) => {
                self.totals.earned += earned;
                self.totals.discarded += reserve.earn(calls, self.share, self.updated);
            }
        }
    }

    /// Adds `earned` tokens up to the capacity; counts them and the discarded rest in
    /// the totals.
    fn deposit(&mut self, earned: f64) {
        let uncapped = self.tokens + earned;
        self.tokens = uncapped.min(self.burst);
        self.totals.earned += earned;
        self.totals.discarded += uncapped - self.tokens;
    }

    /// Tokens that can be spent now, in calls: those in the bucket and in the reserve.
    fn available(&self) -> f64 {
        let reserve = self.reserve.as_ref();
        self.tokens + reserve.map_or(0.0, |reserve| reserve.available(self.share, self.updated))
    }

    /// Spends one extra call; returns false and spends nothing if the budget doesn't
    /// allow it.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        self.spend_cost(1.0)
    }

    /// Spends an extra call that costs its target `cost` of a whole call, from the
    /// reserve first; returns false and spends nothing if the budget doesn't allow it.
    #[must_use]
    pub fn spend_cost(&mut self, cost: f64) -> bool {
        if self.available() < cost {
            return false;
        }
        let reserve = self.reserve.as_mut();
        let paid = reserve.map_or(0.0, |r| r.withdraw(cost, self.share, self.updated));
        self.tokens -= cost - paid;
        self.totals.spent += cost;
        true
    }

    /// The filled part of the capacity of bucket and reserve, from 0 to 1; 0 without
    /// capacity.
    #[must_use]
    pub fn fill_level(&self) -> f64 {
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
    pub fn totals(&self) -> BudgetTotals {
        self.totals
    }

    /// Number of whole calls that can be spent now.
    #[must_use]
    pub fn available_calls(&self) -> u32 {
        self.available() as u32
    }
}
