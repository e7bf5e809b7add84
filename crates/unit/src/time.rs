//! Points in time, always passed as arguments to the functions that decide.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A point in monotonic time, in nanoseconds since the process (or the
/// experiment) started. It is never compared between processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Time = Time(0);
    /// Later than any other time.
    pub const MAX: Time = Time(u64::MAX);

    /// A time `ns` nanoseconds after the start.
    #[must_use]
    pub fn from_nanos(ns: u64) -> Self {
        Self(ns)
    }

    /// A time `ms` milliseconds after the start.
    #[must_use]
    pub fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000_000)
    }

    /// Nanoseconds since the start.
    #[must_use]
    pub fn as_nanos(self) -> u64 {
        self.0
    }

    /// The span since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        let ns = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(ns))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, span: Duration) -> Time {
        let ns = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(ns))
    }
}

/// A wall-clock time in milliseconds since 1970. Used where processes or
/// people compare times (receipts, tickets), with the skew that implies.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Wall(pub u64);

impl Wall {
    /// The span since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Wall) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Wall {
    type Output = Wall;

    fn add(self, span: Duration) -> Wall {
        let ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Wall(self.0.saturating_add(ms))
    }
}

impl fmt::Display for Wall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
