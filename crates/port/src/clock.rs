//! The clock that adapters read, so that the logic gets times as arguments.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chestnut_unit::{Time, WallTime};
use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// A monotonic clock that starts at zero, and a wall clock derived from it. Both
/// follow the runtime's clock: a paused runtime pauses them, and neither is
/// affected when the system clock is stepped.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall: WallTime,
    /// Total suspend time of the VM when this clock started.
    suspended: Duration,
}

impl Clock {
    /// Starts a clock at the system's wall time.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self::start_at(WallTime(
            since_epoch.map_or(0, |span| span.as_millis() as u64),
        ))
    }

    /// Starts a clock at the given wall time, for tests.
    #[must_use]
    pub fn start_at(wall: WallTime) -> Self {
        Self {
            start: Instant::now(),
            wall,
            suspended: suspended(),
        }
    }

    /// Returns how long the VM has been suspended since the clock started. [`Clock::now`]
    /// excludes this time, so a lease that expired during it would still look valid.
    #[must_use]
    pub fn suspended(&self) -> Duration {
        suspended().saturating_sub(self.suspended)
    }

    /// Returns the time since the clock started, without suspended time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Returns the wall time: that at the start plus the monotonic time since.
    #[must_use]
    pub fn wall(&self) -> WallTime {
        self.wall + self.start.elapsed()
    }

    /// Converts a time of this clock to an instant of the runtime, such as for a timer.
    /// Times beyond about a century are reduced to that.
    #[must_use]
    pub fn instant(&self, time: Time) -> Instant {
        let span = Duration::from_nanos(time.as_nanos().min(MAX_NANOS));
        self.start + span
    }
}

/// Returns how long the VM has been suspended since boot, or zero if the system can't
/// report it.
fn suspended() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    match (
        read(ClockId::CLOCK_BOOTTIME),
        read(ClockId::CLOCK_MONOTONIC),
    ) {
        (Ok(boot), Ok(monotonic)) => boot.saturating_sub(monotonic),
        _ => Duration::ZERO,
    }
}

/// Upper bound for conversion, about a century: larger spans overflow [`Instant`].
const MAX_NANOS: u64 = 3_000_000_000_000_000_000;
