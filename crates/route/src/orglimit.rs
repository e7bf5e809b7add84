//! Rate and concurrency limits of each organisation, divided over the entries.

use std::{collections::BTreeMap, time::Duration};

use chestnut_conf::OrgLimits;
use chestnut_unit::{OrgName, Time};

/// Span of the rate limit that may be saved up as a burst; also the retry delay
/// at the concurrency limit.
const BURST_SPAN: Duration = Duration::from_secs(1);
/// Time without requests after which an organisation's limiter may be dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of limiters above which idle ones are dropped before one is added.
const MAX_LIMITERS: usize = 10_000;

/// Token bucket and concurrency limit of one organisation at one entry.
///
/// Each entry enforces the organisation's limits divided by the number of
/// entries, so no coordination is needed. A caller that uses a single entry
/// gets only that entry's share.
#[derive(Clone, Debug)]
pub struct OrgLimiter {
    tokens: f64,
    updated: Time,
    in_flight: u32,
}

impl OrgLimiter {
    /// Creates a limiter with a full bucket and no request in flight.
    fn new(now: Time) -> Self {
        Self {
            tokens: f64::INFINITY,
            updated: now,
            in_flight: 0,
        }
    }

    /// Takes a token and counts a request in flight, under `limits` divided by
    /// `entries` but at least one request each. At a limit it takes neither and
    /// returns the retry delay.
    fn admit(&mut self, limits: &OrgLimits, entries: usize, now: Time) -> Result<(), Duration> {
        let entries = entries.max(1) as f64;
        let rate = limits.rate.0 as f64 / entries;
        let capacity = (rate * BURST_SPAN.as_secs_f64()).max(1.0);
        let earned = now.since(self.updated).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(capacity);
        self.updated = now;
        if f64::from(self.in_flight) >= (f64::from(limits.flight) / entries).max(1.0) {
            return Err(BURST_SPAN);
        }
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / rate));
        }
        self.tokens -= 1.0;
        self.in_flight += 1;
        Ok(())
    }
}

/// The limits of all organisations at one entry.
#[derive(Clone, Debug, Default)]
pub struct OrgLimiters {
    limiters: BTreeMap<OrgName, OrgLimiter>,
}

impl OrgLimiters {
    /// Admits a request of an organisation under its limits divided by
    /// `entries`, and counts it until [`OrgLimiters::release`]. With many
    /// limiters it drops idle ones first.
    ///
    /// # Errors
    ///
    /// The organisation has reached its limit; the duration is the retry delay.
    pub fn admit(
        &mut self,
        org: &OrgName,
        limits: &OrgLimits,
        entries: usize,
        now: Time,
    ) -> Result<(), Duration> {
        if self.limiters.len() >= MAX_LIMITERS && !self.limiters.contains_key(org) {
            self.limiters
                .retain(|_, limit| limit.in_flight > 0 || now.since(limit.updated) < IDLE_TIMEOUT);
        }
        let limiter = self
            .limiters
            .entry(org.clone())
            .or_insert_with(|| OrgLimiter::new(now));
        limiter.admit(limits, entries, now)
    }

    /// Records the end of a request that was admitted; does nothing for an
    /// unknown organisation.
    pub fn release(&mut self, org: &OrgName) {
        if let Some(limiter) = self.limiters.get_mut(org) {
            limiter.in_flight = limiter.in_flight.saturating_sub(1);
        }
    }
}
