//! This entry's quota of the extra calls and leaf connections that all entries share.

use std::time::Duration;

use chestnut_unit::Time;

use crate::ExtraCalls;

/// Whether the directory sends callers to this entry. The variant names are log values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A serving entry: callers are sent to it.
    Carrier,
    /// Not a serving entry; callers that connected earlier may still use it.
    Other,
}

/// Share of the extra-call slack that the serving entries divide when there are
/// others too. The others see few requests and divide the remainder.
const SERVING_SLACK_SHARE: f64 = 0.8;
/// Other entries get one connection each, in all at most a leaf's connections divided by
/// this.
const NON_SERVING_DIVISOR: usize = 2;

/// The numbers of serving and other entries that share the extra-call budget and the leafs'
/// connections, and this entry's role, from which its part of both follows.
///
/// An extra call is a hedge or a retry: any call after the first of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Number of serving entries.
    pub serving: usize,
    /// Number of all other entries.
    pub others: usize,
    /// The group that this entry belongs to.
    pub role: Role,
}

impl Quota {
    /// Returns the quota to use until the other entries are known: that of one of 16 serving
    /// entries. If it assumed fewer, entries that start together could exceed the shared bounds.
    #[must_use]
    pub fn initial() -> Self {
        Self {
            serving: 16,
            others: 0,
            role: Role::Carrier,
        }
    }

    /// Returns this entry's part of `extra.slack`, the extra calls in a window beyond the
    /// ratio, so that all entries together stay within it.
    #[must_use]
    pub fn slack(&self, extra: &ExtraCalls) -> f64 {
        let serving = self.serving.max(1) as f64;
        if self.others == 0 {
            return extra.slack / serving;
        }
        match self.role {
            Role::Carrier => extra.slack * SERVING_SLACK_SHARE / serving,
            Role::Other => extra.slack * (1.0 - SERVING_SLACK_SHARE) / self.others as f64,
        }
    }

    /// Returns how many connections this entry may open to a leaf that accepts `most`
    /// from all entries together; at least one, so many entries may exceed `most`.
    #[must_use]
    pub fn connections(&self, most: usize) -> usize {
        let others = self.others.min(most / NON_SERVING_DIVISOR);
        match self.role {
            Role::Carrier => ((most - others) / self.serving.max(1)).max(1),
            Role::Other => 1,
        }
    }
}

/// An event rate in events per second, smoothed by an exponentially weighted moving average
/// over samples of a total count.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    time_constant: Duration,
    /// The average, in events per second.
    rate: f64,
    /// The total count at the last sample.
    count: u64,
    /// Time of the last sample.
    updated: Time,
}

/// Default time constant of the average of a [`Rate`].
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);

impl Default for Rate {
    /// A smoothed rate that starts at zero, with a time constant of 2 s.
    fn default() -> Self {
        Self::with_time_constant(RATE_TIME_CONSTANT)
    }
}

impl Rate {
    /// Returns a rate that starts at zero and is averaged with `time_constant`: a longer one
    /// smooths more and follows changes more slowly.
    #[must_use]
    pub fn with_time_constant(time_constant: Duration) -> Self {
        Self {
            time_constant,
            rate: 0.0,
            count: 0,
            updated: Time::ZERO,
        }
    }

    /// Records the total count of events so far and returns the average in events per
    /// second, rounded down. A second sample at the same `now` changes nothing.
    pub fn record(&mut self, count: u64, now: Time) -> u32 {
        let elapsed = now.since(self.updated).as_secs_f64();
        if elapsed > 0.0 {
            let sample = count.saturating_sub(self.count) as f64 / elapsed;
            let weight = 1.0 - (-elapsed / self.time_constant.as_secs_f64()).exp();
            self.rate += weight * (sample - self.rate);
            self.count = count;
            self.updated = now;
        }
        self.rate as u32
    }
}
