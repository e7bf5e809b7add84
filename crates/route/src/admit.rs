//! Which requests of a service run, wait or are refused.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::{Reason, RequestId, Time, Urgency};
use rand::Rng;

use crate::{Limit, Ran};

/// Parameters of the admission to one service.
#[derive(Clone, Copy, Debug)]
pub struct AdmitConfig {
    /// Requests that run at once before anything has been learnt.
    pub initial: u32,
    /// Requests that may wait.
    pub queue: usize,
    /// Whether the limit follows the service.
    pub adapt: Adapt,
}

/// Whether a limit follows the service's run times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adapt {
    /// It does.
    Yes,
    /// It stays what it was at first, for the baselines without limits.
    No,
}

impl Default for AdmitConfig {
    fn default() -> Self {
        Self {
            initial: 16,
            queue: 256,
            adapt: Adapt::Yes,
        }
    }
}

/// A request that asks to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// The request.
    pub id: RequestId,
    /// Its urgency.
    pub urgency: Urgency,
    /// Its deadline.
    pub deadline: Time,
    /// Whether its template lets it be refused for overload.
    pub yields: Yields,
}

/// Whether a request may be refused for overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Yields {
    /// It may.
    Yes,
    /// It waits until its deadline can't be met.
    No,
}

/// The answer to a request that asks to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs now.
    Run,
    /// It waits; a [`Release`] follows.
    Wait,
    /// It is refused.
    Refuse {
        /// Why.
        reason: Reason,
        /// When to come back.
        after: Duration,
    },
}

/// What became of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release {
    /// The request.
    pub id: RequestId,
    /// [`Decision::Run`] or [`Decision::Refuse`].
    pub decision: Decision,
}

/// Order of the queue: by urgency, then by deadline, then by arrival.
type Key = (Urgency, Time, RequestId);

/// Share of the deadline that a request which may be refused for overload is
/// let wait. Past it the answer would come so late that coming back is better.
const WAIT_SHARE: f64 = 0.5;
/// After so many releases in a row that passed over less urgent requests, one
/// of the least urgent runs, unless calls of urgency `now` wait.
const PASSES_MAX: u32 = 15;
/// Part of the limit by which calls of urgency `now` may go beyond it.
const NOW_PART: u32 = 2;
/// Weight of a new run time in the mean.
const RUN_WEIGHT: f64 = 0.05;
/// Shortest time after which a refused caller is asked to come back.
const AFTER_MIN: Duration = Duration::from_millis(100);
/// Longest time after which a refused caller is asked to come back.
const AFTER_MAX: Duration = Duration::from_secs(10);

/// Admission to one service at one entry.
///
/// Requests run up to a limit that follows the service. The rest wait in
/// order of urgency and deadline, and a request that can't make its deadline,
/// or would wait too long of it, is refused at once and told when to come
/// back: an answer held until the deadline would cost the caller that time.
#[derive(Clone, Debug)]
pub struct Admission {
    limit: Limit,
    adapt: Adapt,
    queue_max: usize,
    running: u32,
    queue: BTreeMap<Key, Yields>,
    passes: u32,
    run_mean: f64,
}

impl Admission {
    /// Admission with nothing running.
    #[must_use]
    pub fn new(config: AdmitConfig) -> Self {
        Self {
            limit: Limit::new(config.initial),
            adapt: config.adapt,
            queue_max: config.queue,
            running: 0,
            queue: BTreeMap::new(),
            passes: 0,
            run_mean: 0.0,
        }
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests that may run at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Decides on a new request. Requests that must make room for it are
    /// added to `out`.
    pub fn offer(
        &mut self,
        order: Order,
        now: Time,
        rng: &mut dyn Rng,
        out: &mut Vec<Release>,
    ) -> Decision {
        if self.may_run(order.urgency) && !self.held_up(order.urgency) {
            self.running += 1;
            return Decision::Run;
        }
        let key = (order.urgency, order.deadline, order.id);
        let wait = self.wait_of(key);
        let left = order.deadline.since(now).as_secs_f64();
        if wait + self.run_mean > left {
            return self.refuse(Reason::Deadline, rng);
        }
        if order.yields == Yields::Yes && wait > left * WAIT_SHARE {
            return self.refuse(Reason::Overload, rng);
        }
        if self.queue.len() >= self.queue_max && !self.make_room(key, rng, out) {
            return self.refuse(Reason::Overload, rng);
        }
        self.queue.insert(key, order.yields);
        Decision::Wait
    }

    /// Takes the end of a request that ran, and releases what may run now.
    pub fn done(&mut self, ran: Ran, now: Time, rng: &mut dyn Rng, out: &mut Vec<Release>) {
        if self.adapt == Adapt::Yes {
            self.limit.record(ran, self.running, now);
        }
        let sample = ran.span.as_secs_f64();
        self.run_mean = match self.run_mean {
            0.0 => sample,
            mean => mean + RUN_WEIGHT * (sample - mean),
        };
        self.running = self.running.saturating_sub(1);
        self.release(now, rng, out);
    }

    /// Takes back a place that was given to a request whose caller has gone.
    pub fn give_back(&mut self, now: Time, rng: &mut dyn Rng, out: &mut Vec<Release>) {
        self.running = self.running.saturating_sub(1);
        self.release(now, rng, out);
    }

    /// Takes back a request that waited and whose caller has gone.
    pub fn forget(&mut self, id: RequestId) {
        self.queue.retain(|(_, _, waiting), _| *waiting != id);
    }

    /// Refuses waiting requests whose deadline can't be met any more.
    pub fn expire(&mut self, now: Time, rng: &mut dyn Rng, out: &mut Vec<Release>) {
        let need = Duration::from_secs_f64(self.run_mean);
        let late: Vec<Key> = self
            .queue
            .keys()
            .filter(|(_, deadline, _)| now + need > *deadline)
            .copied()
            .collect();
        for key in late {
            self.queue.remove(&key);
            let decision = self.refuse(Reason::Deadline, rng);
            out.push(Release {
                id: key.2,
                decision,
            });
        }
    }

    /// When [`Admission::expire`] has something to do next.
    #[must_use]
    pub fn wake(&self) -> Option<Time> {
        let need = Duration::from_secs_f64(self.run_mean);
        let nearest = self.queue.keys().map(|(_, deadline, _)| *deadline).min()?;
        Some(nearest - need)
    }

    fn release(&mut self, now: Time, rng: &mut dyn Rng, out: &mut Vec<Release>) {
        self.expire(now, rng, out);
        while let Some(key) = self.next() {
            if !self.may_run(key.0) {
                return;
            }
            self.count_pass(key);
            self.queue.remove(&key);
            self.running += 1;
            out.push(Release {
                id: key.2,
                decision: Decision::Run,
            });
        }
    }

    /// Whether a request of this urgency may run beside those that do. Calls
    /// of urgency `now` may go beyond the limit by a half of it: they would
    /// otherwise wait for a place while the rest keeps the limit full.
    fn may_run(&self, urgency: Urgency) -> bool {
        let limit = self.limit.get();
        let most = match urgency {
            Urgency::Now => limit + limit.div_ceil(NOW_PART),
            Urgency::Normal | Urgency::Archive => limit,
        };
        self.running < most
    }

    /// Whether a request as urgent as this one waits already.
    fn held_up(&self, urgency: Urgency) -> bool {
        self.queue
            .keys()
            .next()
            .is_some_and(|first| first.0 <= urgency)
    }

    /// The request that runs next. Only calls of urgency `now` can hold back
    /// the least urgent for good: those let nothing pass.
    fn next(&self) -> Option<Key> {
        let first = *self.queue.keys().next()?;
        if first.0 == Urgency::Now || self.passes < PASSES_MAX {
            return Some(first);
        }
        let lowest = self.queue.keys().next_back()?.0;
        let from = (lowest, Time::ZERO, RequestId(0));
        self.queue.range(from..).next().map(|(key, _)| *key)
    }

    /// Counts a release that passes over less urgent requests. It is counted
    /// when the request runs and not when it is looked at: a look that finds
    /// no place would use up the turn of the least urgent.
    fn count_pass(&mut self, key: Key) {
        let passed_over = self
            .queue
            .keys()
            .next_back()
            .is_some_and(|last| last.0 > key.0);
        self.passes = if passed_over { self.passes + 1 } else { 0 };
    }

    /// Seconds that a request with `key` would wait.
    fn wait_of(&self, key: Key) -> f64 {
        let ahead = self.queue.range(..key).count() + 1;
        ahead as f64 * self.run_mean / f64::from(self.limit.get().max(1))
    }

    /// Drops the least urgent waiting request if it comes after `key` and may
    /// be refused.
    fn make_room(&mut self, key: Key, rng: &mut dyn Rng, out: &mut Vec<Release>) -> bool {
        let last = self
            .queue
            .iter()
            .rev()
            .find(|(_, yields)| **yields == Yields::Yes)
            .map(|(last, _)| *last);
        let Some(last) = last.filter(|last| *last > key) else {
            return false;
        };
        self.queue.remove(&last);
        let decision = self.refuse(Reason::Overload, rng);
        out.push(Release {
            id: last.2,
            decision,
        });
        true
    }

    fn refuse(&self, reason: Reason, rng: &mut dyn Rng) -> Decision {
        Decision::Refuse {
            reason,
            after: self.come_back(rng),
        }
    }

    /// When a refused caller should come back: the time in which the queue
    /// empties, at random from half of it to one and a half times it, so that
    /// callers refused together don't return together.
    fn come_back(&self, rng: &mut dyn Rng) -> Duration {
        let ahead = self.queue.len() as f64 + f64::from(self.running);
        let drain = ahead * self.run_mean / f64::from(self.limit.get().max(1));
        let base = Duration::from_secs_f64(drain).clamp(AFTER_MIN, AFTER_MAX);
        let spread = 0.5 + rng.next_u64() as f64 / u64::MAX as f64;
        base.mul_f64(spread)
    }
}
