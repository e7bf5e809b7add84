//! Adaptive concurrency limit of a service at one entry.

use std::time::Duration;

use chestnut_unit::Time;

/// Lowest concurrency limit outside of probes, in requests. With a single slot,
/// one straggler would stop the service.
const MIN_LIMIT: f64 = 2.0;
/// Highest concurrency limit, in requests, which bounds memory use.
const MAX_LIMIT: f64 = 4096.0;
/// Minimum length of a window whose mean run time is compared with the
/// baseline.
const WINDOW: Duration = Duration::from_millis(100);
/// Number of requests that a window needs before it is evaluated.
const MIN_WINDOW_SAMPLES: u32 = 16;
/// Share of the limit that may be queued at the targets. More adds latency
/// without throughput.
const QUEUE_SHARE: f64 = 0.15;
/// Part of the distance to the desired limit that one window covers.
const STEP_SHARE: f64 = 0.3;
/// Multiple of the baseline at which run times are clipped, so that a few
/// requests that wait for stragglers don't look like overload.
const CLIP_FACTOR: f64 = 2.0;
/// Share of shed calls above which the limit shrinks. Fewer are expected, since
/// the choice of replicas is imperfect.
const SHED_SHARE: f64 = 0.3;
/// Factor on the limit after a window in which [`SHED_SHARE`] was exceeded.
const SHED_FACTOR: f64 = 0.9;
/// Time between two probes of the baseline.
const PROBE_INTERVAL: Duration = Duration::from_secs(4);
/// Duration of a probe.
const PROBE_SPAN: Duration = Duration::from_millis(120);
/// Time at the start of a probe whose requests are ignored, as they began
/// before it.
const PROBE_WARMUP: Duration = Duration::from_millis(40);
/// Factor on the limit during a probe, which keeps the targets unsaturated.
const PROBE_FACTOR: f64 = 0.4;
/// Weight of a measured baseline above the current one. Probes under sustained
/// overload measure too much, so the baseline rises slowly.
const BASELINE_RISE_WEIGHT: f64 = 0.2;

/// Whether the limit adapts or the baseline is probed.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Adapting the limit; the next probe starts at this time.
    Steady(Time),
    /// Probing the baseline since this time.
    Probe(Time),
}

/// Mean of run times in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    sum: f64,
    count: u32,
}

impl Average {
    /// Adds one run time in seconds.
    fn add(&mut self, seconds: f64) {
        self.sum += seconds;
        self.count += 1;
    }

    /// The mean in seconds; 0 without samples.
    fn mean(&self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }
}

/// Concurrency limit that adapts to the service's run times.
///
/// It grows while run times stay near the baseline and shrinks when they rise,
/// so that only a small share of the requests is queued at the targets.
/// Requests then queue at the entry, where urgency decides their order.
///
/// The baseline is the run time while the targets aren't saturated. It is
/// probed periodically by lowering the limit for a short time: an entry that
/// has only ever seen overload would otherwise treat it as normal.
#[derive(Clone, Debug)]
pub struct Limit {
    limit: f64,
    baseline: Option<f64>,
    phase: Phase,
    window: Average,
    /// Start of the current window.
    start: Time,
    probe: Average,
    /// Largest number of requests running at once in the window.
    peak: u32,
    calls: u32,
    shed_calls: u32,
}

/// Statistics of a request that has ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestStats {
    /// Time from its admission to its end.
    pub span: Duration,
    /// Number of calls it made.
    pub calls: u32,
    /// Number of its calls that targets shed.
    pub shed_calls: u32,
}

impl Limit {
    /// Creates a limit that starts at `initial` requests, moved into the fixed
    /// bounds.
    #[must_use]
    pub fn new(initial: u32) -> Self {
        Self {
            limit: f64::from(initial).clamp(MIN_LIMIT, MAX_LIMIT),
            baseline: None,
            phase: Phase::Steady(Time::ZERO + WINDOW),
            window: Average::default(),
            start: Time::ZERO,
            probe: Average::default(),
            peak: 0,
            calls: 0,
            shed_calls: 0,
        }
    }

    /// Number of requests that may run at once; lower during a probe.
    #[must_use]
    pub fn get(&self) -> u32 {
        match self.phase {
            Phase::Steady(_) => self.limit as u32,
            Phase::Probe(_) => (self.limit * PROBE_FACTOR).max(1.0) as u32,
        }
    }

    /// Records a request that ended while `running` requests, itself included,
    /// were running. Adapts the limit when a window ends, and starts or ends
    /// probes.
    pub fn record(&mut self, stats: RequestStats, running: u32, now: Time) {
        self.calls += stats.calls;
        self.shed_calls += stats.shed_calls;
        match self.phase {
            Phase::Probe(since) => self.record_probe(stats.span, since, now),
            Phase::Steady(next) => {
                let clip = self
                    .baseline
                    .map_or(f64::INFINITY, |baseline| baseline * CLIP_FACTOR);
                self.window.add(stats.span.as_secs_f64().min(clip));
                self.peak = self.peak.max(running);
                if self.window.count >= MIN_WINDOW_SAMPLES && now.since(self.start) >= WINDOW {
                    self.close_window(now);
                }
                if now >= next {
                    self.phase = Phase::Probe(now);
                    self.probe = Average::default();
                }
            }
        }
    }

    /// Adds a run time to the probe that began at `since`, unless it falls into
    /// the warm-up. Once the probe has lasted long enough, sets the baseline
    /// and ends it.
    fn record_probe(&mut self, span: Duration, since: Time, now: Time) {
        let age = now.since(since);
        if age >= PROBE_WARMUP {
            self.probe.add(span.as_secs_f64());
        }
        if age < PROBE_SPAN || self.probe.count == 0 {
            return;
        }
        let measured = self.probe.mean();
        self.baseline = Some(match self.baseline {
            Some(old) if measured > old => old + BASELINE_RISE_WEIGHT * (measured - old),
            Some(_) | None => measured,
        });
        self.phase = Phase::Steady(now + PROBE_INTERVAL);
        self.window = Average::default();
        self.start = now;
    }

    /// Adapts the limit to the mean run time and the shed calls of the window,
    /// and starts the next one.
    fn close_window(&mut self, now: Time) {
        let mean = self.window.mean();
        let baseline = self.baseline.unwrap_or(mean);
        let queued = self.limit * (1.0 - baseline / mean).max(0.0);
        let allowed = (self.limit * QUEUE_SHARE).max(1.0);
        let mut desired = self.limit + allowed - queued;
        let underused = f64::from(self.peak) < self.limit.floor();
        if underused {
            desired = desired.min(self.limit);
        }
        let mut next = self.limit + STEP_SHARE * (desired - self.limit);
        if f64::from(self.shed_calls) > SHED_SHARE * f64::from(self.calls) {
            next = next.min(self.limit * SHED_FACTOR);
        }
        self.limit = next.clamp(MIN_LIMIT, MAX_LIMIT);
        self.start = now;
        self.window = Average::default();
        self.peak = 0;
        self.calls = 0;
        self.shed_calls = 0;
    }
}
