//! How many requests of a service run at once at this entry.

use std::time::Duration;

use chestnut_unit::Time;

/// Fewest requests at once: below one nothing would be learnt.
const LIMIT_MIN: f64 = 1.0;
/// Most requests at once, to bound memory whatever the service does.
const LIMIT_MAX: f64 = 4096.0;
/// Length of a window whose run times are compared with the base.
const WINDOW: Duration = Duration::from_millis(100);
/// Requests that a window needs before it counts.
const WINDOW_MIN: u32 = 8;
/// Run time, as a multiple of the base, up to which the limit still grows.
/// A full target takes longer than an idle one without being overloaded.
const TOLERANCE: f64 = 1.6;
/// Share of the distance to the new limit that is gone in one window.
const STEP: f64 = 0.3;
/// Factor on the limit for a window in which targets shed work.
const SHED_FACTOR: f64 = 0.9;
/// Windows after which the base may rise to the least seen since, so that a
/// service that has become slower for good finds a new base.
const BASE_WINDOWS: u32 = 300;

/// A limit on concurrency that follows the service's own run times: while
/// they stay near the base the limit grows, and when they rise it shrinks in
/// proportion. Queues then stand at the entry, where urgency decides, and not
/// at the targets, where nothing does.
#[derive(Clone, Debug)]
pub struct Limit {
    limit: f64,
    base: f64,
    rising: f64,
    windows: u32,
    start: Time,
    sum: f64,
    count: u32,
    peak: u32,
    shed: bool,
}

impl Limit {
    /// A limit that starts at `initial` requests.
    #[must_use]
    pub fn new(initial: u32) -> Self {
        Self {
            limit: f64::from(initial).clamp(LIMIT_MIN, LIMIT_MAX),
            base: f64::INFINITY,
            rising: f64::INFINITY,
            windows: 0,
            start: Time::ZERO,
            sum: 0.0,
            count: 0,
            peak: 0,
            shed: false,
        }
    }

    /// Requests that may run at once.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Takes the run time of a request that ended while `running` ran.
    pub fn record(&mut self, span: Duration, running: u32, shed: bool, now: Time) {
        self.sum += span.as_secs_f64();
        self.count += 1;
        self.peak = self.peak.max(running);
        self.shed |= shed;
        if self.count >= WINDOW_MIN && now.since(self.start) >= WINDOW {
            self.close_window(now);
        }
    }

    fn close_window(&mut self, now: Time) {
        let mean = self.sum / f64::from(self.count);
        self.learn_base(mean);
        let gradient = (TOLERANCE * self.base / mean).clamp(0.5, 1.0);
        let headroom = self.limit.sqrt();
        let mut target = self.limit * gradient;
        if f64::from(self.peak) >= self.limit.floor() * 0.5 && !self.shed {
            target += headroom;
        }
        let mut next = self.limit + STEP * (target - self.limit);
        if self.shed {
            next = next.min(self.limit * SHED_FACTOR);
        }
        self.limit = next.clamp(LIMIT_MIN, LIMIT_MAX);
        self.start = now;
        self.sum = 0.0;
        self.count = 0;
        self.peak = 0;
        self.shed = false;
    }

    fn learn_base(&mut self, mean: f64) {
        self.base = self.base.min(mean);
        self.rising = self.rising.min(mean);
        self.windows += 1;
        if self.windows >= BASE_WINDOWS {
            self.base = self.rising;
            self.rising = f64::INFINITY;
            self.windows = 0;
        }
    }
}
