//! Limits of each organisation, shared out over the entries.

use std::{collections::BTreeMap, time::Duration};

use chestnut_conf::OrgLimits;
use chestnut_unit::{OrgName, Time};

/// Span of its rate that an organisation may save up.
const BURST: Duration = Duration::from_secs(1);
/// Time without a request after which an organisation's gate is dropped.
const IDLE: Duration = Duration::from_secs(60);
/// Gates kept; past it idle ones are dropped before a new one is made.
const GATES_MAX: usize = 10_000;

/// The limits of one organisation at one entry: its limit divided by the
/// number of entries. Callers spread over the entries, so shares add up to
/// the limit without any message; a caller that stays at one entry gets that
/// entry's share only, and is told of the others.
#[derive(Clone, Debug)]
pub struct OrgGate {
    tokens: f64,
    at: Time,
    flight: u32,
}

impl OrgGate {
    fn new(now: Time) -> Self {
        Self {
            tokens: f64::INFINITY,
            at: now,
            flight: 0,
        }
    }

    fn enter(&mut self, limits: &OrgLimits, entries: usize, now: Time) -> Result<(), Duration> {
        let entries = entries.max(1) as f64;
        let rate = limits.rate.0 as f64 / entries;
        let most = (rate * BURST.as_secs_f64()).max(1.0);
        let earned = now.since(self.at).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(most);
        self.at = now;
        if f64::from(self.flight) >= (f64::from(limits.flight) / entries).max(1.0) {
            return Err(BURST);
        }
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / rate));
        }
        self.tokens -= 1.0;
        self.flight += 1;
        Ok(())
    }
}

/// The gates of all organisations at one entry.
#[derive(Clone, Debug, Default)]
pub struct OrgGates {
    gates: BTreeMap<OrgName, OrgGate>,
}

impl OrgGates {
    /// Lets a request in.
    ///
    /// # Errors
    ///
    /// The organisation is over its limit; the span says when to come back.
    pub fn enter(
        &mut self,
        org: &OrgName,
        limits: &OrgLimits,
        entries: usize,
        now: Time,
    ) -> Result<(), Duration> {
        if self.gates.len() >= GATES_MAX && !self.gates.contains_key(org) {
            self.gates
                .retain(|_, gate| gate.flight > 0 || now.since(gate.at) < IDLE);
        }
        let gate = self
            .gates
            .entry(org.clone())
            .or_insert_with(|| OrgGate::new(now));
        gate.enter(limits, entries, now)
    }

    /// Takes the end of a request that was let in.
    pub fn leave(&mut self, org: &OrgName) {
        if let Some(gate) = self.gates.get_mut(org) {
            gate.flight = gate.flight.saturating_sub(1);
        }
    }
}
