//! Admission control: which requests of a service run, are queued or are
//! refused.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::{Reason, RequestId, Time, Urgency};
use rand::Rng;

use crate::{Limit, RequestStats};

/// Parameters of the admission control of one service.
#[derive(Clone, Copy, Debug)]
pub struct AdmitConfig {
    /// Concurrency limit before any run time was recorded.
    pub initial_limit: u32,
    /// Capacity of the queue, in requests.
    pub queue_capacity: usize,
    /// Whether the concurrency limit adapts to run times.
    pub limit_mode: LimitMode,
}

/// Whether a concurrency limit adapts to the service's run times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitMode {
    /// The limit adapts.
    Adaptive,
    /// The limit stays at its initial value.
    Fixed,
}

impl Default for AdmitConfig {
    /// A limit that starts at 16 requests and adapts to run times, and a queue
    /// of 256 requests.
    fn default() -> Self {
        Self {
            initial_limit: 16,
            queue_capacity: 256,
            limit_mode: LimitMode::Adaptive,
        }
    }
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmitRequest {
    /// Identifies the request.
    pub id: RequestId,
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Time by which the answer must be ready.
    pub deadline: Time,
    /// Whether the request may be refused for overload, as its template says.
    pub sheddable: Sheddable,
}

/// Whether a request may be refused for overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sheddable {
    /// It may be refused for overload.
    Yes,
    /// It is refused only when its deadline can't be met.
    No,
}

/// The answer to a request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request runs now.
    Run,
    /// The request is queued; a [`Release`] follows.
    Wait,
    /// The request is refused.
    Refuse {
        /// Why it is refused.
        reason: Reason,
        /// Delay after which the caller may try again.
        after: Duration,
    },
}

/// The outcome of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release {
    /// Identifies the request.
    pub id: RequestId,
    /// [`Decision::Run`] or [`Decision::Refuse`].
    pub decision: Decision,
}

/// Order of the queue: by urgency, then by deadline, then by request number.
type Key = (Urgency, Time, RequestId);

/// Largest expected wait in the queue of a sheddable request, as a share of the
/// time to its deadline. Beyond it the request is refused on arrival.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Consecutive releases that may bypass less urgent requests before one of the
/// least urgent runs. Requests of urgency `now` aren't subject to it.
const MAX_BYPASSES: u32 = 15;
/// Requests of urgency `now` may exceed the concurrency limit by one part in
/// this many, rounded up.
const NOW_EXTRA_DIVISOR: u32 = 2;
/// Weight of a new run time in the moving average that predicts waits and retry
/// delays.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// Shortest retry delay given with a refusal, before jitter.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest retry delay given with a refusal, before jitter.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Admission control of one service at one entry.
///
/// Requests run up to an adaptive concurrency limit. The others are queued by
/// urgency and deadline. A request that can't meet its deadline, or would spend
/// too much of it in the queue, is refused at once with a retry delay, so that
/// its caller doesn't wait in vain.
#[derive(Clone, Debug)]
pub struct Admission {
    limit: Limit,
    limit_mode: LimitMode,
    queue_capacity: usize,
    running: u32,
    queue: BTreeMap<Key, Sheddable>,
    /// Consecutive releases that bypassed less urgent requests.
    bypasses: u32,
    /// Moving average of run times, in seconds.
    run_mean: f64,
}

impl Admission {
    /// Creates admission control at the configured initial limit, with nothing
    /// running or queued.
    #[must_use]
    pub fn new(config: AdmitConfig) -> Self {
        Self {
            limit: Limit::new(config.initial_limit),
            limit_mode: config.limit_mode,
            queue_capacity: config.queue_capacity,
            running: 0,
            queue: BTreeMap::new(),
            bypasses: 0,
            run_mean: 0.0,
        }
    }

    /// Number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The current concurrency limit.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Decides whether a new request runs, is queued or is refused.
    ///
    /// It runs if the limit allows it and no request of at least its urgency is
    /// queued. Otherwise it is refused if the expected wait and run time exceed
    /// its deadline, if it is sheddable and the wait takes more than half of
    /// the time left, or if the queue is full and holds no sheddable request
    /// after it. One that gives way to it in a full queue is refused and
    /// appended to `out`. `rng` draws the jitter of retry delays.
    pub fn offer(
        &mut self,
        request: AdmitRequest,
        now: Time,
        rng: &mut dyn Rng,
        out: &mut Vec<Release>,
    ) -> Decision {
        if self.has_capacity(request.urgency) && !self.has_queued_ahead(request.urgency) {
            self.running += 1;
            return Decision::Run;
        }
        let key = (request.urgency, request.deadline, request.id);
        let wait = self.expected_wait(key);
        let left = request.deadline.since(now).as_secs_f64();
        if wait + self.run_mean > left {
            return self.refuse(Reason::Deadline, rng);
        }
        if request.sheddable == Sheddable::Yes && wait > left * MAX_WAIT_SHARE {
            return self.refuse(Reason::Overload, rng);
        }
        if self.queue.len() >= self.queue_capacity && !self.displace_after(key, rng, out) {
            return self.refuse(Reason::Overload, rng);
        }
        self.queue.insert(key, request.sheddable);
        Decision::Wait
    }

    /// Records the end of a request that ran: updates the mean run time and an
    /// adaptive limit, and frees its slot. Appends queued requests that now run
    /// or expire to `out`; `rng` draws the jitter of retry delays.
    pub fn record_end(
        &mut self,
        stats: RequestStats,
        now: Time,
        rng: &mut dyn Rng,
        out: &mut Vec<Release>,
    ) {
        if self.limit_mode == LimitMode::Adaptive {
            self.limit.record(stats, self.running, now);
        }
        let sample = stats.span.as_secs_f64();
        self.run_mean = match self.run_mean {
            0.0 => sample,
            mean => mean + RUN_TIME_WEIGHT * (sample - mean),
        };
        self.running = self.running.saturating_sub(1);
        self.release(now, rng, out);
    }

    /// Frees the slot of a running request whose caller has disconnected,
    /// without recording a run time. Appends queued requests that now run or
    /// expire to `out`.
    pub fn release_slot(&mut self, now: Time, rng: &mut dyn Rng, out: &mut Vec<Release>) {
        self.running = self.running.saturating_sub(1);
        self.release(now, rng, out);
    }

    /// Removes a queued request whose caller has disconnected; does nothing if
    /// it isn't queued.
    pub fn remove_queued(&mut self, id: RequestId) {
        self.queue.retain(|(_, _, queued), _| *queued != id);
    }

    /// Refuses queued requests whose deadline is less than the mean run time
    /// away, and appends them to `out`.
    pub fn expire(&mut self, now: Time, rng: &mut dyn Rng, out: &mut Vec<Release>) {
        let run_time = Duration::from_secs_f64(self.run_mean);
        let expired: Vec<Key> = self
            .queue
            .keys()
            .filter(|(_, deadline, _)| now + run_time > *deadline)
            .copied()
            .collect();
        for key in expired {
            self.queue.remove(&key);
            let decision = self.refuse(Reason::Deadline, rng);
            out.push(Release {
                id: key.2,
                decision,
            });
        }
    }

    /// Time at which [`Admission::expire`] has to be called next: the mean run
    /// time before the earliest deadline in the queue. `None` if the queue is
    /// empty.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        let run_time = Duration::from_secs_f64(self.run_mean);
        let earliest = self.queue.keys().map(|(_, deadline, _)| *deadline).min()?;
        Some(earliest - run_time)
    }

    /// Expires queued requests, then starts the next ones while the limit
    /// allows it. Appends both to `out`.
    fn release(&mut self, now: Time, rng: &mut dyn Rng, out: &mut Vec<Release>) {
        self.expire(now, rng, out);
        while let Some(key) = self.next_to_run() {
            if !self.has_capacity(key.0) {
                return;
            }
            self.count_bypass(key);
            self.queue.remove(&key);
            self.running += 1;
            out.push(Release {
                id: key.2,
                decision: Decision::Run,
            });
        }
    }

    /// Whether a request of this urgency may run beside those already running.
    /// Urgency `now` may exceed the limit, so that it needn't wait while less
    /// urgent requests fill it.
    fn has_capacity(&self, urgency: Urgency) -> bool {
        let limit = self.limit.get();
        let max = match urgency {
            Urgency::Now => limit + limit.div_ceil(NOW_EXTRA_DIVISOR),
            Urgency::Normal | Urgency::Archive => limit,
        };
        self.running < max
    }

    /// Whether a request of at least this urgency is already queued.
    fn has_queued_ahead(&self, urgency: Urgency) -> bool {
        self.queue
            .keys()
            .next()
            .is_some_and(|first| first.0 <= urgency)
    }

    /// The queued request that runs next, or `None` if the queue is empty.
    /// After [`MAX_BYPASSES`] it is one of the least urgent, unless a request
    /// of urgency `now` is queued.
    fn next_to_run(&self) -> Option<Key> {
        let first = *self.queue.keys().next()?;
        if first.0 == Urgency::Now || self.bypasses < MAX_BYPASSES {
            return Some(first);
        }
        let lowest = self.queue.keys().next_back()?.0;
        let from = (lowest, Time::ZERO, RequestId(0));
        self.queue.range(from..).next().map(|(key, _)| *key)
    }

    /// Counts a release that bypasses less urgent requests, or resets the count
    /// if it bypasses none. It is called only when the request really runs:
    /// counting every check would use up the turn of the least urgent requests.
    fn count_bypass(&mut self, key: Key) {
        let bypassing = self
            .queue
            .keys()
            .next_back()
            .is_some_and(|last| last.0 > key.0);
        self.bypasses = if bypassing { self.bypasses + 1 } else { 0 };
    }

    /// Seconds that a request with `key` is expected to be queued, from the
    /// requests ahead of it, the mean run time and the limit.
    fn expected_wait(&self, key: Key) -> f64 {
        let ahead = self.queue.range(..key).count() + 1;
        ahead as f64 * self.run_mean / f64::from(self.limit.get().max(1))
    }

    /// Refuses the last sheddable request in the queue for overload, if it
    /// comes after `key`, and appends it to `out`. Returns whether there was
    /// one.
    fn displace_after(&mut self, key: Key, rng: &mut dyn Rng, out: &mut Vec<Release>) -> bool {
        let last = self
            .queue
            .iter()
            .rev()
            .find(|(_, sheddable)| **sheddable == Sheddable::Yes)
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

    /// Returns a refusal with a retry delay; the queue isn't changed.
    fn refuse(&self, reason: Reason, rng: &mut dyn Rng) -> Decision {
        Decision::Refuse {
            reason,
            after: self.retry_delay(rng),
        }
    }

    /// Retry delay for a refused caller: the time in which the queue drains,
    /// within [`MIN_RETRY_DELAY`] and [`MAX_RETRY_DELAY`], times a random
    /// factor from 0.5 to 1.5 so that callers refused together don't return
    /// together.
    fn retry_delay(&self, rng: &mut dyn Rng) -> Duration {
        let pending = self.queue.len() as f64 + f64::from(self.running);
        let drain = pending * self.run_mean / f64::from(self.limit.get().max(1));
        let base = Duration::from_secs_f64(drain).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let jitter = 0.5 + rng.next_u64() as f64 / u64::MAX as f64;
        base.mul_f64(jitter)
    }
}
