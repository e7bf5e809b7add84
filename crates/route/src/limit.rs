//! How many requests of a service run at once at this entry.

use std::time::Duration;

use chestnut_unit::Time;

/// Fewest requests at once: below two, one straggler would stop the service.
const LIMIT_MIN: f64 = 2.0;
/// Most requests at once, to bound memory whatever the service does.
const LIMIT_MAX: f64 = 4096.0;
/// Length of a window whose run times are compared with the base.
const WINDOW: Duration = Duration::from_millis(100);
/// Requests that a window needs before it counts.
const WINDOW_MIN: u32 = 16;
/// Requests that may stand in the targets' queues on account of this entry,
/// as a share of the limit. At this share the slots are as good as full: more
/// adds time and no answers (docs/MEASUREMENTS.md, round 4).
const QUEUE_SHARE: f64 = 0.15;
/// Share of the distance to the new limit that is gone in one window.
const STEP: f64 = 0.3;
/// A run time counts as at most this multiple of the base. A few requests that
/// wait for one straggler each would otherwise look like a full service, and
/// the limit would fall to its least while the slots are idle.
const CLIP: f64 = 2.0;
/// Share of calls shed from which the limit shrinks. Fewer only show that the
/// choice of replicas is imperfect.
const SHED_SHARE: f64 = 0.3;
/// Factor on the limit for a window in which that share was shed.
const SHED_FACTOR: f64 = 0.9;
/// Time between two measurements of the base.
const PROBE_EVERY: Duration = Duration::from_secs(4);
/// Length of a measurement.
const PROBE: Duration = Duration::from_millis(120);
/// Part of it at its start that does not count: requests that began before.
const PROBE_SKIP: Duration = Duration::from_millis(40);
/// Part of the limit in force while the base is measured.
const PROBE_PART: f64 = 0.4;
/// Weight of a new base that is higher than the old one. Measurements under a
/// load that leaves no room are too high, and the next one is closer.
const BASE_RISE: f64 = 0.2;

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Serving; the next measurement starts then.
    Cruise(Time),
    /// Measuring since then.
    Probe(Time),
}

#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    sum: f64,
    count: u32,
}

impl Sample {
    fn add(&mut self, seconds: f64) {
        self.sum += seconds;
        self.count += 1;
    }

    fn mean(&self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }
}

/// A limit on concurrency that follows the service's own run times: while
/// they stay near the base the limit grows, and when they rise it shrinks, so
/// that no more than a seventh of the requests at once stand in the targets'
/// queues. Queues then stand at the entry, where urgency decides, and not at
/// the targets, where nothing does.
///
/// The base is what a request takes while the targets are not full. It is
/// measured every few seconds by holding back for a tenth of a second; without
/// that an entry that has only ever seen overload takes it for normal.
#[derive(Clone, Debug)]
pub struct Limit {
    limit: f64,
    base: Option<f64>,
    phase: Phase,
    window: Sample,
    start: Time,
    probe: Sample,
    peak: u32,
    calls: u32,
    sheds: u32,
}

/// What is known of a request that has ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ran {
    /// Time from its admission to its end.
    pub span: Duration,
    /// Calls that it made.
    pub calls: u32,
    /// Calls of it that targets shed.
    pub sheds: u32,
}

impl Limit {
    /// A limit that starts at `initial` requests.
    #[must_use]
    pub fn new(initial: u32) -> Self {
        Self {
            limit: f64::from(initial).clamp(LIMIT_MIN, LIMIT_MAX),
            base: None,
            phase: Phase::Cruise(Time::ZERO + WINDOW),
            window: Sample::default(),
            start: Time::ZERO,
            probe: Sample::default(),
            peak: 0,
            calls: 0,
            sheds: 0,
        }
    }

    /// Requests that may run at once.
    #[must_use]
    pub fn get(&self) -> u32 {
        match self.phase {
            Phase::Cruise(_) => self.limit as u32,
            Phase::Probe(_) => (self.limit * PROBE_PART).max(1.0) as u32,
        }
    }

    /// Takes a request that ended while `running` ran.
    pub fn record(&mut self, ran: Ran, running: u32, now: Time) {
        self.calls += ran.calls;
        self.sheds += ran.sheds;
        match self.phase {
            Phase::Probe(since) => self.measure(ran.span, since, now),
            Phase::Cruise(next) => {
                let most = self.base.map_or(f64::INFINITY, |base| base * CLIP);
                self.window.add(ran.span.as_secs_f64().min(most));
                self.peak = self.peak.max(running);
                if self.window.count >= WINDOW_MIN && now.since(self.start) >= WINDOW {
                    self.close_window(now);
                }
                if now >= next {
                    self.phase = Phase::Probe(now);
                    self.probe = Sample::default();
                }
            }
        }
    }

    fn measure(&mut self, span: Duration, since: Time, now: Time) {
        let age = now.since(since);
        if age >= PROBE_SKIP {
            self.probe.add(span.as_secs_f64());
        }
        if age < PROBE || self.probe.count == 0 {
            return;
        }
        let found = self.probe.mean();
        self.base = Some(match self.base {
            Some(base) if found > base => base + BASE_RISE * (found - base),
            Some(_) | None => found,
        });
        self.phase = Phase::Cruise(now + PROBE_EVERY);
        self.window = Sample::default();
        self.start = now;
    }

    fn close_window(&mut self, now: Time) {
        let mean = self.window.mean();
        let base = self.base.unwrap_or(mean);
        let queued = self.limit * (1.0 - base / mean).max(0.0);
        let allowed = (self.limit * QUEUE_SHARE).max(1.0);
        let mut target = self.limit + allowed - queued;
        let idle = f64::from(self.peak) < self.limit.floor();
        if idle {
            target = target.min(self.limit);
        }
        let mut next = self.limit + STEP * (target - self.limit);
        if f64::from(self.sheds) > SHED_SHARE * f64::from(self.calls) {
            next = next.min(self.limit * SHED_FACTOR);
        }
        self.limit = next.clamp(LIMIT_MIN, LIMIT_MAX);
        self.start = now;
        self.window = Sample::default();
        self.peak = 0;
        self.calls = 0;
        self.sheds = 0;
    }
}
