//! The log of a daemon: non-blocking and limited in rate.
//!
//! A separate thread writes the lines. When its queue is full, lines are dropped
//! and their number is logged, so that a slow reader of the log never blocks a
//! request. [`open`] also limits the lines per second: many refusals at once
//! would otherwise take processor time from the requests that are served.
#![warn(clippy::unwrap_used)]

mod rate_limit;

use std::{io, sync::Mutex};

use chestnut_conf::{LogFormat, LogLevel, LogSettings};
pub use rate_limit::{Decision, TokenBucket};
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Capacity of the queue to the writer thread, in log lines.
const QUEUE_LINES: usize = 4096;

/// Where the log is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Opens a log to `output` with the format and level of `settings`, and starts the thread
/// that writes it.
pub fn open(settings: &LogSettings, output: Output) -> Logger {
    let level = match settings.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    match output {
        Output::Stdout => with_format(settings.format, io::stdout(), level),
        Output::Stderr => with_format(settings.format, io::stderr(), level),
    }
}

/// Builds a logger that writes lines of at least `level` to `to` in the given format.
fn with_format<W: io::Write + Send + 'static>(format: LogFormat, to: W, level: Level) -> Logger {
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(to);
            with_drain(slog_term::FullFormat::new(decorator).build(), level)
        }
        LogFormat::Json => with_drain(slog_json::Json::default(to), level),
    }
}

/// Builds a logger that passes lines of at least `level`, within the rate limit, to `drain`
/// on a separate thread. Errors of `drain` are ignored.
fn with_drain<D>(drain: D, level: Level) -> Logger
where
    D: Drain + Send + 'static,
    D::Err: std::fmt::Debug,
{
    let drain = Mutex::new(drain).ignore_res();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE_LINES)
        .build()
        .fuse();
    let drain = rate_limit::RateLimited::new(drain);
    Logger::root(LevelFilter::new(drain, level).ignore_res(), o!())
}
