//! A token bucket that limits the rate of log lines.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use slog::{Drain, OwnedKVList, Record, b, record};

/// Log lines per second on average; bounds the processor time that logging takes.
const LINES_PER_SECOND: f64 = 200.0;
/// Size of the bucket, in log lines; covers the lines logged during startup.
const BURST_LINES: f64 = 600.0;

/// Whether a log line is written, also after a report of dropped lines, or dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The line is written.
    Write,
    /// The line is written, after a line that reports how many were dropped before it.
    WriteAfter(u64),
    /// The line is dropped and counted.
    Drop,
}

/// A token bucket in which a log line costs one token; counts the dropped lines.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Lines that may be written now.
    tokens: f64,
    /// Time of the last refill, from the callers' fixed point.
    refilled: Duration,
    /// Lines dropped since the last one written.
    dropped: u64,
}

impl Default for TokenBucket {
    /// A full bucket with no dropped lines.
    fn default() -> Self {
        Self {
            tokens: BURST_LINES,
            refilled: Duration::ZERO,
            dropped: 0,
        }
    }
}

impl TokenBucket {
    /// Refills the bucket and decides whether a line at `now` is written: takes a token if
    /// there is one, else counts the line as dropped. `now` is the time since any fixed
    /// point, the same in every call.
    pub fn take(&mut self, now: Duration) -> Decision {
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens = (self.tokens + elapsed * LINES_PER_SECOND).min(BURST_LINES);
        if self.tokens < 1.0 {
            self.dropped += 1;
            return Decision::Drop;
        }
        self.tokens -= 1.0;
        match std::mem::take(&mut self.dropped) {
            0 => Decision::Write,
            dropped => Decision::WriteAfter(dropped),
        }
    }
}

/// A drain that passes on the lines within the rate limit and drops the others. The
/// number dropped is logged as a warning before the next line passed on.
pub(crate) struct RateLimited<D> {
    drain: D,
    start: Instant,
    limit: Mutex<TokenBucket>,
}

impl<D> RateLimited<D> {
    /// Wraps `drain` with a full bucket.
    pub(crate) fn new(drain: D) -> Self {
        Self {
            drain,
            start: Instant::now(),
            limit: Mutex::new(TokenBucket::default()),
        }
    }
}

impl<D: Drain<Ok = ()>> Drain for RateLimited<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let now = self.start.elapsed();
        let decision = {
            let limit = self.limit.lock();
            limit.unwrap_or_else(PoisonError::into_inner).take(now)
        };
        match decision {
            Decision::Drop => Ok(()),
            Decision::Write => self.drain.log(line, values),
            Decision::WriteAfter(dropped) => {
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
