//! The part of the members that this entry reaches, and how much of what all share follows
//! from it.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::{MemberId, Time};

/// Time after which a smaller part without the store grants nothing. It is shorter than
/// [`ABSENT_TIME`], with room for the time in which each part notices.
const YIELD_TIME: Duration = Duration::from_secs(2);
/// Time after which the larger part takes over the share of absent members.
const ABSENT_TIME: Duration = Duration::from_secs(5);
/// Time after which a member that has not come back is taken to have ended.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// Which members are absent: known, neither alive nor stopped by plan.
///
/// Absent members may have ended, or be cut off and go on serving their callers. Entries on both
/// sides of a partition have to share out what all may use together without hearing each other:
/// each side takes the part of the members that it reaches. The larger part, if it reaches the
/// store, takes all after a while; a smaller one that does not has yielded by then.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    alive: usize,
    /// Since when each absent member is known to be so.
    absent: BTreeMap<MemberId, Time>,
}

impl Reach {
    /// Updates the view to all members, this one included, and whether each is alive.
    pub fn update<'a>(&mut self, members: impl Iterator<Item = (&'a MemberId, bool)>, now: Time) {
        let mut absent = BTreeMap::new();
        self.alive = 0;
        for (id, alive) in members {
            match alive {
                true => self.alive += 1,
                false => {
                    let since = self.absent.get(id).copied().unwrap_or(now);
                    absent.insert(id.clone(), since);
                }
            }
        }
        self.absent = absent;
    }

    /// Returns the part of a shared bound that the entries of this side may use, from 0 to 1.
    /// The store has been lost for `store_lost`, if it is.
    #[must_use]
    pub fn share(&self, store_lost: Option<Duration>, now: Time) -> f64 {
        let all = self.part(FORGET_TIME, now);
        let is_larger = all > 0.5;
        match store_lost {
            None if is_larger => self.part(ABSENT_TIME, now),
            Some(lost) if !is_larger && lost >= YIELD_TIME => 0.0,
            _ => all,
        }
    }

    /// The part of the members that is alive; those that have been absent for `span` don't count.
    fn part(&self, span: Duration, now: Time) -> f64 {
        let absent = self
            .absent
            .values()
            .filter(|since| now.since(**since) < span);
        // This entry is alive, also before the first update.
        let alive = self.alive.max(1);
        alive as f64 / (alive + absent.count()) as f64
    }
}
