//! How many calls an entry keeps under way at one back end.

use std::time::Duration;

use chestnut_unit::Time;

/// Factor on the window when a call was late or refused. Seven such cuts in a
/// row bring 40 calls down to the share of the slots; a single pause of a back
/// end, which counts once, costs a fifth.
const CUT: f64 = 0.8;

/// What a window keeps to, whatever calls take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// This entry's part of the back end's slots: fewer calls than that would
    /// leave slots idle while callers wait.
    pub least: u32,
    /// Connections that this entry may have open there.
    pub most: u32,
}

impl Bounds {
    /// The bounds of an entry that may use `connections` of a back end's, beside
    /// `entries` in all that call it.
    #[must_use]
    pub fn share(slots: u32, entries: usize, connections: usize) -> Self {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let most = u32::try_from(connections.max(1)).unwrap_or(u32::MAX);
        Self {
            least: slots.div_ceil(entries).clamp(1, most),
            most,
        }
    }
}

/// The number of calls that one entry keeps under way at one back end: it grows
/// by about one with each round of calls that end in time, and shrinks by a
/// fifth when one is late or refused (additive increase, multiplicative
/// decrease).
///
/// All connections that a back end takes are several times its slots. Under
/// more load than it can serve they would all be in use: every call then waits
/// in its queue until its answer is worth nothing, and the calls that the same
/// requests made elsewhere were for nothing too. With a window the excess waits
/// here, where it can be refused or left out in time.
#[derive(Clone, Debug)]
pub struct Window {
    size: f64,
    bounds: Option<Bounds>,
    /// No cut before this time: what was sent before the last cut tells
    /// nothing of the window after it.
    settled: Time,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            size: f64::INFINITY,
            bounds: None,
            settled: Time::ZERO,
        }
    }
}

impl Window {
    /// Calls that may be under way.
    #[must_use]
    pub fn size(&self) -> u32 {
        self.size as u32
    }

    /// Sets the bounds. The first ones start the window at twice the share of
    /// the slots, so that entries that start together don't fill every queue.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        let size = match self.bounds {
            None => f64::from(bounds.least) * 2.0,
            Some(_) => self.size,
        };
        self.bounds = Some(bounds);
        self.size = self.within(size);
    }

    /// Takes a call that ended in time while `used` were under way. A window of
    /// which less than half is used tells nothing of what the back end can do
    /// with all of it, and stays.
    pub fn grow(&mut self, used: u32) {
        if f64::from(used) * 2.0 < self.size {
            return;
        }
        self.size = self.within(self.size + 1.0 / self.size.max(1.0));
    }

    /// Takes a call that was late or refused. Others sent in the same `round`
    /// mostly are too and count once.
    pub fn cut(&mut self, round: Duration, now: Time) {
        if now < self.settled {
            return;
        }
        self.settled = now + round;
        self.size = self.within(self.size * CUT);
    }

    fn within(&self, size: f64) -> f64 {
        self.bounds.map_or(f64::INFINITY, |bounds| {
            size.clamp(f64::from(bounds.least), f64::from(bounds.most))
        })
    }
}
