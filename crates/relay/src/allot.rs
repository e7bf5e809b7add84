//! What one entry may use of what all share.

use std::time::Duration;

use chestnut_unit::Time;

use crate::ExtraCalls;

/// Whether callers are sent to this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// They are.
    Carrier,
    /// They are not; some still come.
    Other,
}

/// Part of the slack of extra calls that is divided among the carriers when
/// there are other entries too. The rest is for those: they see few requests.
const CARRIERS_SLACK: f64 = 0.8;
/// Most of a leaf's connections that are left to entries that carry nothing,
/// one each, as a part of all.
const OTHERS_CONNECTIONS: usize = 2;

/// How many entries share the extra calls and the leafs' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allotment {
    /// Entries that callers are sent to.
    pub carriers: usize,
    /// All other entries.
    pub others: usize,
    /// Which of them this one is.
    pub part: Part,
}

impl Allotment {
    /// While the others are not known yet. Too many only leaves some unused for
    /// the first moments; too few would let a group that starts together go
    /// beyond its bounds.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            carriers: 16,
            others: 0,
            part: Part::Carrier,
        }
    }

    /// Extra calls that may be saved up here, so that all entries together stay
    /// within the slack.
    #[must_use]
    pub fn slack(&self, extra: &ExtraCalls) -> f64 {
        let carriers = self.carriers.max(1) as f64;
        if self.others == 0 {
            return extra.slack / carriers;
        }
        match self.part {
            Part::Carrier => extra.slack * CARRIERS_SLACK / carriers,
            Part::Other => extra.slack * (1.0 - CARRIERS_SLACK) / self.others as f64,
        }
    }

    /// Connections that may be open from here to a leaf that takes `most` from
    /// all entries together.
    #[must_use]
    pub fn connections(&self, most: usize) -> usize {
        let others = self.others.min(most / OTHERS_CONNECTIONS);
        match self.part {
            Part::Carrier => ((most - others) / self.carriers.max(1)).max(1),
            Part::Other => 1,
        }
    }
}

/// A rate of events, over the last seconds.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    span: Duration,
    rate: f64,
    count: u64,
    at: Time,
}

/// Time over which the rate is taken.
const RATE_SPAN: Duration = Duration::from_secs(2);

impl Default for Rate {
    fn default() -> Self {
        Self::over(RATE_SPAN)
    }
}

impl Rate {
    /// A rate over about `span`.
    #[must_use]
    pub fn over(span: Duration) -> Self {
        Self {
            span,
            rate: 0.0,
            count: 0,
            at: Time::ZERO,
        }
    }

    /// Takes the count of events so far; returns events a second.
    pub fn take(&mut self, count: u64, now: Time) -> u32 {
        let span = now.since(self.at).as_secs_f64();
        if span > 0.0 {
            let seen = count.saturating_sub(self.count) as f64 / span;
            let weight = 1.0 - (-span / self.span.as_secs_f64()).exp();
            self.rate += weight * (seen - self.rate);
            self.count = count;
            self.at = now;
        }
        self.rate as u32
    }
}
