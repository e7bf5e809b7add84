//! Penalties on a back end's load-balancing score beyond its call durations.

use std::time::Duration;

use chestnut_unit::Time;

use crate::{Ix, Table, backend::Guard};

/// Largest factor by which a health or load hint may raise a score. A small one keeps wrong or
/// outdated hints from outweighing call durations. At 2, an idle replica that reports itself
/// busy is still preferred to a busy one that reports itself idle once their calls differ by as
/// much.
pub(crate) const MAX_HINT_FACTOR: f64 = 2.0;
/// Factor on the score of a leaf in another failure domain. Local leafs are preferred until
/// they are clearly busier. With five slots, a local leaf with two outstanding calls of this
/// entry gives way to an idle remote one.
const REMOTE_FACTOR: f64 = 1.7;
/// Factor on the score of a leaf at the beginning of its slow start.
const SLOW_START_FACTOR: f64 = 3.0;
/// Duration of slow start, over which the factor of a new leaf falls to 1.
const SLOW_START: Duration = Duration::from_secs(10);
/// Exponent of the success rate by which a score is divided. Above 1, since a failed call costs
/// an extra call or part of the answer. A call that waits behind two others costs only some
/// milliseconds. If all replicas refuse alike, the factor cancels out.
const FAILURE_EXPONENT: i32 = 3;
/// Lowest success rate used, so that scores stay finite.
const MIN_SUCCESS_RATE: f64 = 0.1;

impl Table {
    /// Factor, 1 or more, by which hints, slow start, distance and failures
    /// raise a back end's predicted score. It is 1 with the guard off; back
    /// ends added at time zero have no slow start.
    #[must_use]
    pub(crate) fn score_penalty(&self, ix: Ix, now: Time) -> f64 {
        let state = &self.states[ix.index()];
        if self.config.guard == Guard::Off {
            return 1.0;
        }
        let remote = if state.remote { REMOTE_FACTOR } else { 1.0 };
        let age = now.since(state.available_since).as_secs_f64() / SLOW_START.as_secs_f64();
        let slow_start = if state.available_since > Time::ZERO && age < 1.0 {
            SLOW_START_FACTOR - (SLOW_START_FACTOR - 1.0) * age
        } else {
            1.0
        };
        let success = (1.0 - state.failure_rate.share(now)).max(MIN_SUCCESS_RATE);
        let failures = success.powi(-FAILURE_EXPONENT);
        state.hint * slow_start * remote * failures
    }
}
