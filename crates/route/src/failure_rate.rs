//! Failure rate of a back end.

use std::time::Duration;

use chestnut_unit::Time;

/// Weight of a new call in the moving average. It is small enough that one
/// lost call changes the rate little, and large enough that the rate of a back
/// end that often fails rises within a few calls.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time constant with which the failure rate decays while no call is made, so
/// that an avoided back end is called again.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// Outcome of a call, as far as its back end's failure rate is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It was answered.
    Success,
    /// It failed through a fault of the back end, or was shed.
    Failure,
}

/// Exponentially weighted moving average of failed calls. It exposes a back end
/// that fails quickly, which its latency alone would make look fast.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureRate {
    share: f64,
    updated: Time,
}

impl FailureRate {
    /// Records the outcome of a call.
    pub(crate) fn record(&mut self, outcome: Outcome, now: Time) {
        let sample = match outcome {
            Outcome::Success => 0.0,
            Outcome::Failure => 1.0,
        };
        let share = self.share(now);
        self.share = share + SAMPLE_WEIGHT * (sample - share);
        self.updated = now;
    }

    /// The failure rate at `now`, from 0 to 1.
    pub(crate) fn share(&self, now: Time) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.share * (-age).exp()
    }
}
