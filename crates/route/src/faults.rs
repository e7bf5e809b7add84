//! Which share of its calls a back end fails.

use std::time::Duration;

use chestnut_unit::Time;

/// Weight of a new call. A tenth remembers about ten calls: one loss in a
/// hundred hardly shows, a back end that fails every second call does within
/// five.
const WEIGHT: f64 = 0.1;
/// Time in which the share falls to a third while no call is made. A back end
/// that is avoided is tried again some seconds later.
const FORGET: Duration = Duration::from_secs(5);

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It was answered.
    Good,
    /// It failed or was refused.
    Bad,
}

/// The share of recent calls that failed. Latency alone doesn't show a back
/// end that fails at once: its failures are its fastest answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    share: f64,
    at: Time,
}

impl Faults {
    /// Takes the end of a call.
    pub(crate) fn record(&mut self, verdict: Verdict, now: Time) {
        let sample = match verdict {
            Verdict::Good => 0.0,
            Verdict::Bad => 1.0,
        };
        let share = self.share(now);
        self.share = share + WEIGHT * (sample - share);
        self.at = now;
    }

    /// The share, from 0 to 1.
    pub(crate) fn share(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64() / FORGET.as_secs_f64();
        self.share * (-age).exp()
    }
}
