//! Return times for refused callers, spaced by the rate at which queries are completed.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::Time;

/// Window over which completed queries are counted. The rate must follow a crowd that lasts
/// some seconds.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Time after the first completed query before which the rate counts as unknown. A shorter
/// time would take a burst of answers for a rate.
const MIN_RATE_AGE: Duration = Duration::from_millis(250);
/// Share of the service rate at which returning callers go before first attempts.
const RETURN_SHARE: f64 = 0.5;
/// Share of the service rate for which turns are given. It is below [`RETURN_SHARE`], as callers
/// with turns of several entries don't return evenly to each.
const TURN_SHARE: f64 = 0.4;
/// Least delay before a return, in which a slot of a back end usually becomes free.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// Least delay with a turn: [`MIN_DELAY`] and the greatest network delay that entries allow for.
/// Entries take only callers that have spent that much for returning ones.
const FIRST_TURN: Duration = Duration::from_millis(80);
/// Greatest delay before a return, as few callers wait longer.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// Greatest jitter of a reserved return time. It separates the turns that several entries give
/// at the same rate.
const MAX_JITTER: Duration = Duration::from_millis(10);
/// Part of the latest return time within which turns are reserved.
const RESERVED_PART: f64 = 0.4;
/// Distance from the last turn to the first return without one, as a part of the latest return
/// time. It allows for the wait before the refusal, which also counts as time spent.
const UNRESERVED_GAP: f64 = 0.05;
/// Least delay that is longer than a caller accepts, as a multiple of the longest that it does.
const BEYOND_FACTOR: f64 = 1.05;
/// Time without a refusal after which the next one begins a new overload.
const OVERLOAD_GAP: Duration = Duration::from_secs(1);
/// How far returning callers may run ahead of their share of the service rate: one burst of
/// turns that several entries gave for the same time.
const RETURN_BURST: Duration = Duration::from_millis(100);
/// Number of keys that are kept. Beyond that, the key that was used least recently is dropped.
const MAX_KEYS: usize = 256;

/// A refused caller that needs a return time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnRequest {
    /// Longest delay that the caller accepts.
    pub longest: Duration,
    /// Whether a turn is reserved. A caller that doesn't return again needs none.
    pub reserve: bool,
    /// A random number, for the jitter.
    pub draw: u64,
}

/// A return time given to a refused caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Delay after which the caller may return.
    pub after: Duration,
    /// Whether a part of the service rate is reserved for the return.
    pub reserved: bool,
}

/// Whether a returning caller has a reserved turn, as the time that it has spent tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnKind {
    /// It returns at a time that was reserved for it.
    WithTurn,
    /// It returns after the last turn that it could have been given.
    WithoutTurn,
}

impl ReturnKind {
    /// Returns the kind of a caller that has spent `spent`, network delay excluded, and accepted
    /// a delay of `longest` at first.
    #[must_use]
    pub fn of(spent: Duration, longest: Duration) -> Self {
        match longest >= FIRST_TURN && spent < first_unreserved(longest) {
            true => Self::WithTurn,
            false => Self::WithoutTurn,
        }
    }
}

/// The rate of completed queries over the last [`RATE_WINDOW`], as a count in the current
/// window and a weighted one in the window before.
#[derive(Clone, Copy, Debug)]
struct ServiceRate {
    /// First completed query since the rate was last zero.
    since: Time,
    /// Start of the current window.
    start: Time,
    /// Queries completed in the current window.
    current: u32,
    /// Queries completed in the window before.
    previous: u32,
}

impl ServiceRate {
    /// Creates a rate without completed queries.
    fn new(now: Time) -> Self {
        Self {
            since: now,
            start: now,
            current: 0,
            previous: 0,
        }
    }

    /// Starts a new window if the current one is over.
    fn roll(&mut self, now: Time) {
        let age = now.since(self.start);
        if age < RATE_WINDOW {
            return;
        }
        if age >= RATE_WINDOW * 2 {
            *self = Self::new(now);
            return;
        }
        self.previous = self.current;
        self.current = 0;
        self.start = self.start + RATE_WINDOW;
    }

    /// Counts a completed query.
    fn record(&mut self, now: Time) {
        self.roll(now);
        if self.current == 0 && self.previous == 0 {
            *self = Self::new(now);
        }
        self.current = self.current.saturating_add(1);
    }

    /// Returns the completed queries per second; `None` if there are none or too few to tell.
    fn per_second(&mut self, now: Time) -> Option<f64> {
        self.roll(now);
        let age = now.since(self.since);
        if age < MIN_RATE_AGE {
            return None;
        }
        let passed = now.since(self.start).as_secs_f64() / RATE_WINDOW.as_secs_f64();
        let count = f64::from(self.current) + f64::from(self.previous) * (1.0 - passed);
        (count > 0.0).then(|| count / age.min(RATE_WINDOW).as_secs_f64())
    }
}

/// What is kept of one key.
#[derive(Clone, Copy, Debug)]
struct Turns {
    rate: ServiceRate,
    /// The next return time that is free.
    next_turn: Time,
    /// Time at which returning callers have used no more than their share of the rate.
    next_return: Time,
    /// First and last refusal of the present overload.
    refused: Option<(Time, Time)>,
    /// When the key was used last.
    used: Time,
}

impl Turns {
    fn new(now: Time) -> Self {
        Self {
            rate: ServiceRate::new(now),
            next_turn: now,
            next_return: now,
            refused: None,
            used: now,
        }
    }

    /// Counts a refusal, and returns how long callers have been refused.
    fn record_refusal(&mut self, now: Time) -> Duration {
        let first = match self.refused {
            Some((first, last)) if now.since(last) < OVERLOAD_GAP => first,
            _ => now,
        };
        self.refused = Some((first, now));
        now.since(first)
    }

    /// Returns the time between two returns at `share` of the rate, if a rate is known. It is
    /// at most [`MAX_DELAY`], so a rate near zero doesn't take the turns of a long time.
    fn interval(&mut self, share: f64, now: Time) -> Option<Duration> {
        let rate = self.rate.per_second(now)? * share;
        Some(Duration::from_secs_f64(
            (1.0 / rate).min(MAX_DELAY.as_secs_f64()),
        ))
    }
}

/// The service rates and the return times of refused callers, by key: the list of services that
/// a query calls.
///
/// Callers that are refused one after the other get successive return times at less than half
/// of the service rate. A caller that can't wait that long gets a later time without a turn.
///
/// An entry that ends loses the times that it gave. Its callers return when told all the same,
/// and [`ReturnKind`] tells other entries which of them have a turn.
#[derive(Clone, Debug)]
pub struct TurnBook<K> {
    keys: BTreeMap<K, Turns>,
}

impl<K> Default for TurnBook<K> {
    fn default() -> Self {
        Self {
            keys: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Copy> TurnBook<K> {
    /// Counts a query of `key` that was completed at `now`.
    pub fn record_completed(&mut self, key: K, now: Time) {
        self.turns(key, now).rate.record(now);
    }

    /// Returns the queries of `key` completed per second, over the last second; `None` if no
    /// rate is known.
    pub fn rate(&mut self, key: K, now: Time) -> Option<f64> {
        self.keys.get_mut(&key)?.rate.per_second(now)
    }

    /// Gives a return time to a caller that was refused at `now`; `None` if no service rate is
    /// known.
    pub fn give_turn(&mut self, key: K, request: TurnRequest, now: Time) -> Option<Turn> {
        let turns = self.keys.get_mut(&key)?;
        let overload = turns.record_refusal(now);
        let interval = turns.interval(TURN_SHARE, now)?;
        turns.used = now;
        let last = last_turn(request.longest);
        let at = turns.next_turn.max(now + FIRST_TURN);
        let waits = request.reserve && request.longest >= FIRST_TURN;
        if !waits || at > now + last {
            return Some(without_turn(request, overload));
        }
        turns.next_turn = at + interval;
        let jitter = interval.min(MAX_JITTER).mul_f64(fraction(request.draw));
        Some(Turn {
            after: (at.since(now) + jitter).min(last),
            reserved: true,
        })
    }

    /// Counts a returning caller that arrived at `now`, and returns whether it may go before
    /// first attempts: those that exceed their share of the service rate may not. A caller
    /// without a turn gets only what those with one have left of the share. Where no rate is
    /// known, there is nothing to exceed.
    pub fn admit_return(&mut self, key: K, kind: ReturnKind, now: Time) -> bool {
        let Some(turns) = self.keys.get_mut(&key) else {
            return true;
        };
        let Some(interval) = turns.interval(RETURN_SHARE, now) else {
            return true;
        };
        turns.used = now;
        let burst = match kind {
            ReturnKind::WithTurn => RETURN_BURST,
            ReturnKind::WithoutTurn => Duration::ZERO,
        };
        if turns.next_return > now + burst {
            return false;
        }
        turns.next_return = turns.next_return.max(now) + interval;
        true
    }

    /// Returns the number of keys that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns what is kept of `key`, and marks it as used. A new key may take the place of the
    /// one that was used least recently.
    fn turns(&mut self, key: K, now: Time) -> &mut Turns {
        if !self.keys.contains_key(&key) && self.keys.len() >= MAX_KEYS {
            let oldest = self.keys.iter().min_by_key(|(_, turns)| turns.used);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.keys.remove(&oldest);
            }
        }
        let turns = self.keys.entry(key).or_insert_with(|| Turns::new(now));
        turns.used = now;
        turns
    }
}

/// Returns the latest delay for a caller that waits for `longest`.
fn latest(longest: Duration) -> Duration {
    longest.clamp(MIN_DELAY, MAX_DELAY)
}

/// Returns the greatest delay with a turn for a caller that accepts `longest`.
fn last_turn(longest: Duration) -> Duration {
    latest(longest).mul_f64(RESERVED_PART).max(FIRST_TURN)
}

/// Returns the least delay without a turn for a caller that accepts `longest`. Callers without a
/// turn are spread from there to the latest time, so that those refused together don't return
/// together. When a caller returns thus tells whether it has a turn, at any entry.
fn first_unreserved(longest: Duration) -> Duration {
    let latest = latest(longest);
    (last_turn(longest) + latest.mul_f64(UNRESERVED_GAP)).min(latest)
}

/// Returns a time without a turn for a caller that is refused in an overload that has lasted for
/// `overload`: between the first such time and the latest one if callers of a burst may be served
/// by then. If the overload has lasted longer than the caller waits, it is rather refused again,
/// and is told a longer time than it accepts.
fn without_turn(request: TurnRequest, overload: Duration) -> Turn {
    let longest = request.longest.max(MIN_DELAY);
    let (first, spread) = match overload > longest {
        true => (longest.mul_f64(BEYOND_FACTOR), longest),
        false => {
            let first = first_unreserved(request.longest);
            (first, latest(request.longest).saturating_sub(first))
        }
    };
    Turn {
        after: first + spread.mul_f64(fraction(request.draw)),
        reserved: false,
    }
}

/// Maps a random number to the range from 0 to 1.
fn fraction(draw: u64) -> f64 {
    draw as f64 / u64::MAX as f64
}
