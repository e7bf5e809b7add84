//! By how much a back end's score is worsened beyond what its calls take.

use std::time::Duration;

use chestnut_unit::Time;

use crate::{Ix, Table, backend::Guard};

/// Largest factor that a hint may worsen a score by. At 2 an idle replica that
/// calls itself busy is still preferred to a busy one that calls itself idle
/// once their calls differ by as much.
pub(crate) const HINT_MAX: f64 = 2.0;
/// Factor on the score of a leaf in another failure domain. With five slots a
/// leaf, one call of our own raises a score by 0.6: at 1.7 a near leaf with two
/// calls under way gives way to an idle far one. On a day of 71 entries 1.4, 1.7
/// and 2.0 sent 110, 84 and 67 MB between domains, with 4,518, 4,529 and 4,510 of
/// 4,663 requests in time; at 2.0 the heaviest days lose in time what they save.
const FAR_HANDICAP: f64 = 1.7;
/// Factor on the score of a leaf that has just appeared.
const COLD_HANDICAP: f64 = 3.0;
/// Time in which a cold leaf's share grows to a full one.
const RAMP: Duration = Duration::from_secs(10);
/// Power of the share of calls that a back end does not fail or refuse by which its
/// score is divided. A call that fails costs an extra one, of which there are few,
/// or its part of the answer; one that waits behind two others costs some
/// milliseconds. At 3 a back end that refuses three calls of five looks sixteen
/// times as slow, one that refuses one of ten 1.4 times; when all refuse alike it
/// cancels out. Where four in five leafs of ten shards refused three calls of five,
/// 9 s long, a mean credit of 0.68 became 0.70.
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
