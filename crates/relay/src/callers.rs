//! Estimates of the time that requests spend outside this entry, before they arrive and
//! after the answer is sent.

use std::time::Duration;

use chestnut_route::{Quantiles, ReturnKind};
use chestnut_unit::Time;

use crate::forward::RETRY_AFTER_MIN;

/// Upper limit of the estimated network delay to the caller and back, and the default before
/// there are samples: lookup, connection and request, with timer delay. Four round trips of 6
/// ms, and the delay of timers.
const MAX_NETWORK_DELAY: Duration = Duration::from_millis(26);
/// Timer delay, here and at the caller, that is added to the network delay estimated from
/// samples.
const TIMER_DELAY: Duration = Duration::from_millis(3);
/// Quantile of the overruns that is reserved for completing an answer.
const OVERRUN_QUANTILE: f64 = 0.75;
/// Time by which the time that a caller has spent must exceed the network delay for it to count
/// as returning after a refusal. Equal to the least retry delay that callers are given.
const RETURN_MIN: Duration = RETRY_AFTER_MIN;
/// Divisor of a caller's remaining time that gives the longest retry delay that it honours.
pub(crate) const HONOURED_DIVISOR: u32 = 3;
/// Longest overrun that is recorded. An answer below its minimum coverage at the objective
/// is sent only once it reaches it, so longer ones say nothing about completing an answer.
const MAX_OVERRUN: Duration = Duration::from_millis(20);
/// Samples that the estimate of the network delay or of the overrun needs before it replaces
/// its default.
const MIN_SAMPLES: u64 = 8;
/// Quantile of the elapsed times that estimates the network delay to a caller and back.
/// It is low because callers that retry after a failure have spent much longer.
const ELAPSED_QUANTILE: f64 = 0.25;

/// If the greatest remaining time seen is within this of the rule's timeout, callers
/// are assumed to start with the full timeout.
const TIMEOUT_TOLERANCE: Duration = MAX_NETWORK_DELAY;

/// Multiple of a rule's timeout above which the remaining time of a caller is ignored.
const MAX_REMAINING_FACTOR: u32 = 2;

/// Interval at which [`MaxRemaining`] rotates; each value is kept for at least this long.
const ROTATION_INTERVAL: Duration = Duration::from_secs(15);

/// The greatest remaining time that callers of one rule sent recently.
///
/// It is the maximum over the current and the previous rotation interval. An interval ends
/// with the first request after [`ROTATION_INTERVAL`], so it may last longer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MaxRemaining {
    /// Maximum of the previous rotation interval.
    previous: Duration,
    /// Maximum of the current rotation interval so far.
    current: Duration,
    /// Start of the current rotation interval.
    rotated: Time,
}

impl MaxRemaining {
    /// Records the remaining time that a caller of a rule with `timeout` sent and returns
    /// the time that it has already spent.
    ///
    /// A first attempt sends the caller's whole timeout; one after a directory lookup or
    /// a failure elsewhere sends less. An entry with few callers may see no first attempt,
    /// so a maximum slightly below `timeout` counts as `timeout`.
    fn elapsed(&mut self, remaining: Duration, timeout: Duration, now: Time) -> Duration {
        if now.since(self.rotated) >= ROTATION_INTERVAL {
            self.previous = self.current;
            self.current = Duration::ZERO;
            self.rotated = now;
        }
        self.current = self.current.max(remaining);
        let max_remaining = self.previous.max(self.current);
        let initial = match max_remaining + TIMEOUT_TOLERANCE >= timeout {
            true => max_remaining.max(timeout),
            false => max_remaining,
        };
        initial.saturating_sub(remaining)
    }
}

/// What a request's remaining time tells of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Arrival {
    /// Time that the caller has spent before the request arrived.
    pub(crate) elapsed: Duration,
    /// Whether the caller returns after a refusal, and if so, with or without a turn.
    pub(crate) returning: Option<ReturnKind>,
}

/// Whether callers that return after a refusal are told from those that begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReturnDetection {
    /// Every request counts as a first attempt.
    Off,
    /// A caller that has spent much more than the network delay counts as returning.
    On,
}

/// Quantile estimates of the time to subtract from a latency objective, which counts from
/// the caller's own start: of the time elapsed before a request arrives, and of the overrun
/// of answers after their cut-off.
///
/// The estimates are learned: a fixed allowance for connecting would be too large for
/// callers that keep their connections, and drop shards that would answer in time.
#[derive(Clone, Debug)]
pub(crate) struct CallerDelays {
    /// Time that callers had spent before their request arrived, without zeros; the basis of
    /// the network delay.
    elapsed: Quantiles,
    /// Delay from the time at which a cut-off answer was due to when it was sent.
    overrun: Quantiles,
}

impl Default for CallerDelays {
    fn default() -> Self {
        Self {
            elapsed: Quantiles::new(ELAPSED_QUANTILE),
            overrun: Quantiles::new(OVERRUN_QUANTILE),
        }
    }
}

impl CallerDelays {
    /// Records a caller of a rule with `timeout` that sent the time `remaining`, and returns
    /// what that tells of it. Updates `max`, the maximum of the rule. A caller that sent no
    /// remaining time counts as one that has spent none.
    ///
    /// The time that a returning caller has spent isn't recorded: it is mostly its wait, and
    /// would raise the estimate of the network delay.
    pub(crate) fn arrive(
        &mut self,
        max: &mut MaxRemaining,
        remaining: Option<Duration>,
        timeout: Duration,
        detection: ReturnDetection,
        now: Time,
    ) -> Arrival {
        // A single caller that sends far more than the timeout would otherwise make all others
        // look as if they returned. Callers may send somewhat more where the timeout was lowered.
        let remaining = match detection {
            ReturnDetection::Off => remaining,
            ReturnDetection::On => remaining.filter(|time| *time <= timeout * MAX_REMAINING_FACTOR),
        };
        let elapsed = remaining.map_or(Duration::ZERO, |time| max.elapsed(time, timeout, now));
        let returning = match detection {
            ReturnDetection::Off => None,
            ReturnDetection::On => self.return_kind(elapsed, remaining),
        };
        if !elapsed.is_zero() && returning.is_none() {
            self.elapsed.record(elapsed);
        }
        Arrival { elapsed, returning }
    }

    /// Returns how a caller that has spent `elapsed` and waits for `remaining` returns; `None` if
    /// it is on its first attempt.
    fn return_kind(&self, elapsed: Duration, remaining: Option<Duration>) -> Option<ReturnKind> {
        let network_delay = self.network_delay(Duration::ZERO);
        let initial = remaining? + elapsed;
        let spent = elapsed.saturating_sub(network_delay);
        (elapsed >= network_delay + RETURN_MIN)
            .then(|| ReturnKind::of(spent, initial / HONOURED_DIVISOR))
    }

    /// Returns the time to subtract from the objective of a caller: the time it has spent, the
    /// network delay and the overrun. The objective of a returning caller counts from its
    /// return, so the time that it spent before doesn't matter.
    pub(crate) fn overhead(&self, arrival: Arrival) -> Duration {
        let elapsed = match arrival.returning {
            Some(_) => Duration::ZERO,
            None => arrival.elapsed,
        };
        elapsed + self.network_delay(elapsed) + self.overrun()
    }

    /// Records that an answer cut off to meet the objective was sent `late` after it was due;
    /// ignored above [`MAX_OVERRUN`].
    pub(crate) fn record_overrun(&mut self, late: Duration) {
        if late <= MAX_OVERRUN {
            self.overrun.record(late);
        }
    }

    /// Returns the expected time to complete an answer after its cut-off; zero before there
    /// are enough samples.
    pub(crate) fn overrun(&self) -> Duration {
        match self.overrun.count() < MIN_SAMPLES {
            true => Duration::ZERO,
            false => self.overrun.high(),
        }
    }

    /// Returns the number of samples of elapsed time, from which the network delay is
    /// estimated.
    pub(crate) fn samples(&self) -> u64 {
        self.elapsed.count()
    }

    /// Returns the network delay to a caller that has spent `elapsed`, and back, at most
    /// [`MAX_NETWORK_DELAY`]. Before there are enough samples it is that maximum less
    /// `elapsed`, and at least half of the maximum; after that `elapsed` doesn't matter.
    pub(crate) fn network_delay(&self, elapsed: Duration) -> Duration {
        if self.elapsed.count() < MIN_SAMPLES {
            return MAX_NETWORK_DELAY
                .saturating_sub(elapsed)
                .max(MAX_NETWORK_DELAY / 2);
        }
        (self.elapsed.high() + TIMER_DELAY).min(MAX_NETWORK_DELAY)
    }
}
