//! By how much a back end's score is worsened beyond what its calls take.

use std::time::Duration;

use chestnut_unit::Time;

use crate::{Ix, Table, backend::Guard};

/// Largest factor that a hint may worsen a score by. At 2 an idle replica that
/// calls itself busy is still preferred to a busy one that calls itself idle
/// once their calls differ by as much.
pub(crate) const HINT_MAX: f64 = 2.0;
/// Factor on the score of a leaf in another failure domain. With five slots a leaf a
/// near one with two calls of our own under way gives way to an idle far one.
const FAR_HANDICAP: f64 = 1.7;
/// Factor on the score of a leaf that has just appeared.
const COLD_HANDICAP: f64 = 3.0;
/// Time in which a cold leaf's share grows to a full one.
const RAMP: Duration = Duration::from_secs(10);
/// Power of the share of calls that a back end does not fail or refuse by which its
/// score is divided. A call that fails costs an extra one, of which there are few,
/// or its part of the answer; one that waits behind two others costs some
/// milliseconds. When all refuse alike it cancels out.
const FAULT_POWER: i32 = 3;
/// Least such share, so that scores stay finite.
const SOUND_LEAST: f64 = 0.1;

impl Table {
    /// Factor by which a hint and the ramp of a cold leaf worsen a score.
    #[must_use]
    pub(crate) fn handicap(&self, ix: Ix, now: Time) -> f64 {
        let state = &self.states[ix.index()];
        if self.config.guard == Guard::Off {
            return 1.0;
        }
        let far = if state.far { FAR_HANDICAP } else { 1.0 };
        let age = now.since(state.since).as_secs_f64() / RAMP.as_secs_f64();
        let ramp = if state.since > Time::ZERO && age < 1.0 {
            COLD_HANDICAP - (COLD_HANDICAP - 1.0) * age
        } else {
            1.0
        };
        let sound = (1.0 - state.faults.share(now)).max(SOUND_LEAST);
        let faults = sound.powi(-FAULT_POWER);
        state.hint * ramp * far * faults
    }
}
