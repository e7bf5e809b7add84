//! The log of a daemon: one line for each decision, bounded, never blocking.
//!
//! Lines are written by a thread of their own. When more wait than the queue
//! holds they are dropped and counted in the log, so that a slow reader never
//! holds up a request. [`open`] also bounds the lines a second: a storm of
//! refusals would otherwise spend the processor that serves the rest.
#![warn(clippy::unwrap_used)]

mod bounded;

use std::{io, sync::Mutex};

pub use bounded::{Bounded, Verdict};
use chestnut_conf::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Lines that wait to be written; at 300 bytes each about a megabyte.
const WAITING: usize = 4096;

/// Where lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Opens the log as the settings say.
pub fn open(settings: &LogSettings, output: Output) -> Logger {
    let level = match settings.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    match output {
        Output::Stdout => format(settings.format, io::stdout(), level),
        Output::Stderr => format(settings.format, io::stderr(), level),
    }
}

fn format<W: io::Write + Send + 'static>(format: LogFormat, to: W, level: Level) -> Logger {
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(to);
            root(slog_term::FullFormat::new(decorator).build(), level)
        }
        LogFormat::Json => root(slog_json::Json::default(to), level),
    }
}

fn root<D>(drain: D, level: Level) -> Logger
where
    D: Drain + Send + 'static,
    D::Err: std::fmt::Debug,
{
    let drain = Mutex::new(drain).ignore_res();
    let drain = slog_async::Async::new(drain)
        .chan_size(WAITING)
        .build()
        .fuse();
    let drain = bounded::Rated::new(drain);
    Logger::root(LevelFilter::new(drain, level).ignore_res(), o!())
}
