//! Points in time. Decision logic takes them as arguments and reads no clock.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A point in monotonic time, in nanoseconds since the start of the process or
/// simulation. Not comparable between processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

impl Time {
    /// The start of the process or simulation.
    pub const ZERO: Time = Time(0);
    /// The latest time that can be represented.
    pub const MAX: Time = Time(u64::MAX);

    /// Makes a time `ns` nanoseconds after the start.
    #[must_use]
    pub fn from_nanos(ns: u64) -> Self {
        Self(ns)
    }

    /// Makes a time `ms` milliseconds after the start.
    #[must_use]
    pub fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000_000)
    }

    /// Returns the nanoseconds since the start.
    #[must_use]
    pub fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        let ns = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(ns))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        let ns = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(ns))
    }
}

/// A wall-clock time in milliseconds since the Unix epoch, for times that cross
/// processes (receipts, tickets). Subject to clock skew.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: WallTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for WallTime {
    type Output = WallTime;

    fn add(self, duration: Duration) -> WallTime {
        let ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        WallTime(self.0.saturating_add(ms))
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
