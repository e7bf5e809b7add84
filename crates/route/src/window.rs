//! Concurrency window: the calls that an entry keeps in flight at one back end.

use std::time::Duration;

use chestnut_unit::Time;

/// Factor on the window's size for a late or refused call, at most once per round. Seven
/// decreases in a row bring 40 calls down to the share of the slots; a single pause of a back
/// end, which counts once, costs a fifth.
const DECREASE_FACTOR: f64 = 0.8;

/// Bounds on a window's size, in calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// This entry's share of the back end's slots: fewer calls would leave slots
    /// idle while callers wait.
    pub min: u32,
    /// Connections that this entry may open to the back end.
    pub max: u32,
}

impl Bounds {
    /// Returns the bounds for one of `entries` entries that call a back end with
    /// `slots` slots, where this entry may open `connections` connections: the
    /// minimum is its part of the slots, rounded up, and both are at least 1.
    #[must_use]
    pub fn share(slots: u32, entries: usize, connections: usize) -> Self {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let max = u32::try_from(connections.max(1)).unwrap_or(u32::MAX);
        Self {
            min: slots.div_ceil(entries).clamp(1, max),
            max,
        }
    }
}

/// A concurrency window with additive increase and multiplicative decrease: it
/// grows by about one call per round of calls that end in time, and shrinks by a
/// fifth when a call is late or refused.
///
/// A back end accepts several times more connections than it has slots. Without
/// a window, overload would fill its queue until all answers come too late, and
/// the calls of the same requests to other back ends would be wasted. With a
/// window the excess waits at the entry, where it can be refused or left out in
/// time.
#[derive(Clone, Debug)]
pub struct Window {
    size: f64,
    bounds: Option<Bounds>,
    /// No decrease before this time: calls sent before the last decrease say
    /// nothing about the new size.
    next_decrease: Time,
}

impl Default for Window {
    /// No limit until the first bounds are set.
    fn default() -> Self {
        Self {
            size: f64::INFINITY,
            bounds: None,
            next_decrease: Time::ZERO,
        }
    }
}

impl Window {
    /// Returns the number of calls that may be in flight, `u32::MAX` without
    /// bounds.
    #[must_use]
    pub fn size(&self) -> u32 {
        self.size as u32
    }

    /// Sets the bounds and moves the size into them. The first bounds start the
    /// window at twice the share of the slots, so that entries that start
    /// together don't fill every queue.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        let size = match self.bounds {
            None => f64::from(bounds.min) * 2.0,
            Some(_) => self.size,
        };
        self.bounds = Some(bounds);
        self.size = self.bounded(size);
    }

    /// Grows the window after a call that ended in time while `used` calls were
    /// in flight. A window that is less than half used stays: its calls say
    /// nothing about the back end's capacity at full use.
    pub fn grow(&mut self, used: u32) {
        if f64::from(used) * 2.0 < self.size {
            return;
        }
        self.size = self.bounded(self.size + 1.0 / self.size.max(1.0));
    }

    /// Shrinks the window after a late or refused call, at most once per
    /// `round`: calls sent in the same round are mostly affected together.
    pub fn shrink(&mut self, round: Duration, now: Time) {
        if now < self.next_decrease {
            return;
        }
        self.next_decrease = now + round;
        self.size = self.bounded(self.size * DECREASE_FACTOR);
    }

    /// Returns `size` moved into the bounds; infinite without bounds.
    fn bounded(&self, size: f64) -> f64 {
        self.bounds.map_or(f64::INFINITY, |bounds| {
            size.clamp(f64::from(bounds.min), f64::from(bounds.max))
        })
    }
}
