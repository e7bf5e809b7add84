//! The home of organisations: the entry that grants tokens under their limits.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnut_unit::{OrgName, RateLimit, Time};

use super::{BURST_SHARE, MAX_STARTS, RateMargins, START_SHARE, bucket::Bucket};

/// A request for tokens to an organisation's home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Tokens wanted.
    pub want: u32,
    /// Requests that the entry admitted without the home since it last asked.
    pub used: u32,
}

impl Ask {
    /// Asks for nothing but an answer.
    pub const PROBE: Self = Self { want: 0, used: 0 };
}

/// Answer of an organisation's home to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Tokens granted; 0 if the limit is reached.
    pub tokens: u32,
    /// When to ask again after a refusal; zero if tokens were granted.
    pub after: Duration,
}

/// What an entry answers to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenReply {
    /// It is the organisation's home.
    Granted(Grant),
    /// It takes the entry at this address for the home.
    Elsewhere(SocketAddr),
    /// It knows of no such limit.
    Unknown,
}

/// Longest delay told after a refusal. Callers that come back later than they need are worse
/// off than those that come too early and are told again.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// How long a former home keeps what it has left, which has mostly drained by then.
pub(super) const HOLD_TIME: Duration = Duration::from_secs(5);
/// Part of its capacity below which a bucket is low.
const LOW_SHARE: f64 = 0.5;
/// How long an organisation counts as asking for most of its limit.
const PRESSED_TIME: Duration = Duration::from_secs(1);
/// Buckets above which those that are full again are dropped before one is added.
const MAX_BUCKETS: usize = 10_000;

/// The bucket of one organisation, and when the next refused caller is to come back.
#[derive(Clone, Copy, Debug)]
struct OrgBucket {
    bucket: Bucket,
    next_return: Time,
    /// Rate and capacity at the last grant.
    rate: f64,
    /// The whole rate of the limit, at which the bucket of a successor fills.
    drain_rate: f64,
    capacity: f64,
    /// Whether another entry is the home now. What is left may still be granted, but drains at
    /// the rate at which the bucket of the new home fills: both together never hold more than
    /// one bucket does.
    is_former: bool,
    /// When it was last the home.
    stopped: Time,
}

/// The token buckets of the organisations of which this entry is the home.
#[derive(Clone, Debug)]
pub struct RateHome {
    margins: RateMargins,
    buckets: BTreeMap<OrgName, OrgBucket>,
    /// Since when this entry has been the home of organisations without a bucket, at the
    /// earliest: another entry may have granted tokens until then.
    since: Time,
    /// Whether such buckets have tokens at their start: the slack covers those of few changes
    /// of the home in a window.
    has_start: bool,
    /// The organisation whose bucket was last found low, and when.
    low: Option<(OrgName, Time)>,
    /// The part of the members that takes this entry for the home, from 0 to 1.
    followers: f64,
}

impl RateHome {
    /// Creates the buckets of an entry that starts at `now`.
    #[must_use]
    pub fn new(margins: RateMargins, now: Time) -> Self {
        Self {
            margins,
            buckets: BTreeMap::new(),
            since: now,
            // The process before may have granted start tokens just now.
            has_start: false,
            low: None,
            followers: 1.0,
        }
    }

    /// Replaces the part of the members that takes this entry for the home, from 0 to 1. The
    /// others are granted tokens elsewhere, or go on with what they were granted before.
    pub fn set_followers(&mut self, part: f64) {
        self.followers = part;
    }

    /// Returns an organisation that has asked for most of its limit just now, if one has: then it
    /// matters which part of the members this entry grants for.
    #[must_use]
    pub fn pressed(&self, now: Time) -> Option<&OrgName> {
        let (org, at) = self.low.as_ref()?;
        (now.since(*at) < PRESSED_TIME).then_some(org)
    }

    /// Replaces the margins, after a change of the settings.
    pub fn set_margins(&mut self, margins: RateMargins) {
        self.margins = margins;
    }

    /// Lets the buckets of organisations that now have another home drain. Those without a bucket
    /// may have had one.
    pub fn members_changed(&mut self, is_home: impl Fn(&OrgName) -> bool, now: Time) {
        self.buckets
            .retain(|_, entry| !entry.is_former || now.since(entry.stopped) < HOLD_TIME);
        for (org, entry) in &mut self.buckets {
            entry.set_former(!is_home(org), now);
        }
        let span = self.margins.window / MAX_STARTS;
        self.has_start = now.since(self.since).as_secs_f64() >= span;
        self.since = now;
    }

    /// Grants up to the tokens wanted of an organisation with `limit`, after those that were used
    /// without this entry: if it is slow, entries believe it lost, and their requests and those
    /// that it grants would together exceed the limit. `share` is the part of the
    /// rate that this entry may grant, below 1 while others may believe to be the home too.
    pub fn grant(
        &mut self,
        org: &OrgName,
        limit: RateLimit,
        share: f64,
        ask: Ask,
        now: Time,
    ) -> Grant {
        let whole = limit.rate * share.clamp(f64::EPSILON, 1.0);
        let capacity = (limit.burst + self.margins.slack * BURST_SHARE).max(1.0);
        if !self.buckets.contains_key(org) {
            let start = match self.has_start {
                true => (self.margins.slack * START_SHARE * share).min(capacity),
                false => 0.0,
            };
            self.add(org, start, whole, capacity, now);
        }
        let entry = self.buckets.get_mut(org).expect("it was added");
        entry.set_former(false, now);
        // An organisation that leaves most of its bucket stays below its limit on all sides.
        let rate = match entry.bucket.is_below(capacity * LOW_SHARE) {
            true => whole * self.followers.clamp(f64::EPSILON, 1.0),
            false => whole,
        };
        (entry.rate, entry.capacity) = (rate, capacity);
        entry.drain_rate = limit.rate;
        entry.bucket.fill(rate, capacity, now);
        let most = limit.over(Duration::from_secs_f64(self.margins.window));
        entry.bucket.charge(ask.used, most);
        let tokens = entry.bucket.take(ask.want);
        if entry.bucket.is_below(capacity * LOW_SHARE) {
            self.low = Some((org.clone(), now));
        }
        let after = match tokens {
            0 => entry.delay(rate, now),
            _ => Duration::ZERO,
        };
        Grant { tokens, after }
    }

    /// Grants up to the tokens wanted of what is left of an organisation of which this entry was
    /// the home until shortly before; `None` if nothing is.
    pub fn grant_former(&mut self, org: &OrgName, want: u32, now: Time) -> Option<Grant> {
        let entry = self.buckets.get_mut(org)?;
        if !entry.is_former || now.since(entry.stopped) >= HOLD_TIME {
            return None;
        }
        let tokens = entry.bucket.take_draining(want, entry.drain_rate, now);
        let after = Duration::ZERO;
        (tokens > 0).then_some(Grant { tokens, after })
    }

    /// Adds a bucket with `start` tokens, and what has come since this entry became the home;
    /// drops those that are full again if there are many.
    fn add(&mut self, org: &OrgName, start: f64, rate: f64, capacity: f64, now: Time) {
        if self.buckets.len() >= MAX_BUCKETS {
            let full = capacity / rate;
            let idle = Duration::try_from_secs_f64(full).unwrap_or(Duration::MAX);
            self.buckets
                .retain(|_, entry| now.since(entry.next_return) < idle.max(MAX_DELAY));
        }
        let bucket = Bucket::new(start, self.since);
        let next_return = now;
        let entry = OrgBucket {
            bucket,
            next_return,
            rate,
            drain_rate: rate,
            capacity,
            is_former: false,
            stopped: now,
        };
        self.buckets.insert(org.clone(), entry);
    }
}

impl OrgBucket {
    /// Records whether another entry is the home from `now` on.
    fn set_former(&mut self, is_former: bool, now: Time) {
        match (self.is_former, is_former) {
            (false, true) => {
                self.bucket.fill(self.rate, self.capacity, now);
                self.stopped = now;
            }
            (true, false) => self.bucket.drain(self.drain_rate, now),
            _ => {}
        }
        self.is_former = is_former;
    }

    /// When a refused caller is to come back: callers that are refused one after the other
    /// return one after the other, at the rate at which they can be served.
    fn delay(&mut self, rate: f64, now: Time) -> Duration {
        let token =
            now + Duration::from_secs_f64(self.bucket.wait(rate).min(MAX_DELAY.as_secs_f64()));
        let turn = token.max(self.next_return);
        if turn.since(now) >= MAX_DELAY {
            return MAX_DELAY;
        }
        self.next_return =
            turn + Duration::from_secs_f64((1.0 / rate).min(MAX_DELAY.as_secs_f64()));
        turn.since(now)
    }
}
