//! A bound on the lines of a second.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use slog::{Drain, OwnedKVList, Record, b, record};

/// Lines a second, on average. A line costs about 20 us of processor time, so
/// that logging stays below half a hundredth of a core.
const RATE: f64 = 200.0;
/// Lines that may come at once, such as those of a start.
const BURST: f64 = 600.0;

/// What becomes of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is written.
    Write,
    /// It is written, after word that so many before it were not.
    WriteAfter(u64),
    /// It is dropped and counted.
    Drop,
}

/// A bucket of lines that fills with time.
#[derive(Clone, Debug)]
pub struct Bounded {
    tokens: f64,
    at: Duration,
    dropped: u64,
}

impl Default for Bounded {
    fn default() -> Self {
        Self {
            tokens: BURST,
            at: Duration::ZERO,
            dropped: 0,
        }
    }
}

impl Bounded {
    /// Decides on a line at `now`, a time since any fixed point.
    pub fn take(&mut self, now: Duration) -> Verdict {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        self.tokens = (self.tokens + passed * RATE).min(BURST);
        if self.tokens < 1.0 {
            self.dropped += 1;
            return Verdict::Drop;
        }
        self.tokens -= 1.0;
        match std::mem::take(&mut self.dropped) {
            0 => Verdict::Write,
            dropped => Verdict::WriteAfter(dropped),
        }
    }
}

/// Passes on the lines that the bound allows.
pub(crate) struct Rated<D> {
    drain: D,
    start: Instant,
    bounded: Mutex<Bounded>,
}

impl<D> Rated<D> {
    pub(crate) fn new(drain: D) -> Self {
        Self {
            drain,
            start: Instant::now(),
            bounded: Mutex::new(Bounded::default()),
        }
    }
}

impl<D: Drain<Ok = ()>> Drain for Rated<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let now = self.start.elapsed();
        let verdict = {
            let bounded = self.bounded.lock();
            bounded.unwrap_or_else(PoisonError::into_inner).take(now)
        };
        match verdict {
            Verdict::Drop => Ok(()),
            Verdict::Write => self.drain.log(line, values),
            Verdict::WriteAfter(dropped) => {
                self.drain.log(
                    &record!(
                        slog::Level::Warning,
                        "",
                        &format_args!("log: {dropped} lines were dropped"),
                        b!()
                    ),
                    values,
                )?;
                self.drain.log(line, values)
            }
        }
    }
}
