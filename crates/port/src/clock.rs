//! The clock that adapters read so that decisions need not.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chestnut_unit::{Time, Wall};
use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Monotonic time since the clock was made, and wall time. Both follow the
/// runtime's clock, so a paused runtime pauses them, and a step of the
/// system's clock while the process runs changes neither.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall: Wall,
    /// Time for which the machine had been suspended.
    slept: Duration,
}

impl Clock {
    /// A clock that starts now, at the system's wall time.
    #[must_use]
    pub fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self::start_at(Wall(since.map_or(0, |span| span.as_millis() as u64)))
    }

    /// A clock that starts now, at a wall time of one's own, for tests.
    #[must_use]
    pub fn start_at(wall: Wall) -> Self {
        Self {
            start: Instant::now(),
            wall,
            slept: suspended(),
        }
    }

    /// For how long the machine has been suspended since the clock was made. The present
    /// time does not count it: what others let lapse meanwhile would look as if it held.
    #[must_use]
    pub fn slept(&self) -> Duration {
        suspended().saturating_sub(self.slept)
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// The present wall time.
    #[must_use]
    pub fn wall(&self) -> Wall {
        self.wall + self.start.elapsed()
    }

    /// The runtime's form of a time.
    #[must_use]
    pub fn instant(&self, time: Time) -> Instant {
        let span = Duration::from_nanos(time.as_nanos().min(FAR_NANOS));
        self.start + span
    }
}

/// For how long the machine has been suspended since it started; zero where it can't say.
fn suspended() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    match (
        read(ClockId::CLOCK_BOOTTIME),
        read(ClockId::CLOCK_MONOTONIC),
    ) {
        (Ok(all), Ok(awake)) => all.saturating_sub(awake),
        _ => Duration::ZERO,
    }
}

/// About a century: later times overflow the runtime's clock.
const FAR_NANOS: u64 = 3_000_000_000_000_000_000;
