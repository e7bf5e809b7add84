//! Shared services of an entry's tasks: log, clock, random numbers and planned end.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use chestnut_port::Clock;
use chestnut_unit::Time;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use slog::Logger;

use crate::Lifetime;

/// Which calls of requests are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TraceLevel {
    /// No calls.
    None,
    /// Extra calls and failed calls. An extra call is any call after the
    /// first of a shard.
    Extra,
    /// All calls.
    All,
}

/// The log, trace level, clock, random seed and planned end that the tasks of one
/// entry share.
#[derive(Debug)]
pub struct Runtime {
    /// The log.
    pub log: Logger,
    /// Which calls are logged.
    pub trace: TraceLevel,
    /// The clock.
    pub clock: Clock,
    /// When the process ends by plan.
    pub lifetime: Lifetime,
    draws: AtomicU64,
    seed: u64,
}

impl Runtime {
    /// Creates a runtime; the generators of [`Runtime::rng`] are derived from
    /// `seed`.
    #[must_use]
    pub fn new(log: Logger, trace: TraceLevel, clock: Clock, seed: u64) -> Self {
        Self {
            log,
            trace,
            clock,
            lifetime: Lifetime::default(),
            draws: AtomicU64::new(0),
            seed,
        }
    }

    /// Returns the present time by the entry's clock.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns a new generator for one decision or request, seeded from the
    /// entry's seed and the number of earlier generators.
    #[must_use]
    pub fn rng(&self) -> ChaCha8Rng {
        let draw = self.draws.fetch_add(1, Ordering::Relaxed);
        ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(draw))
    }
}

/// Counts a request in a shared counter until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard<'a>(&'a AtomicU32);

impl<'a> InFlightGuard<'a> {
    /// Increments `count`; dropping the guard decrements it.
    pub fn enter(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
