//! The daemon's log, to standard error.

use std::{io, sync::Mutex};

use chestnut_conf::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Lines that wait for standard error; more are dropped and counted in the
/// log, so that a slow reader of it never holds up a request.
const WAITING: usize = 4096;

/// Opens the log as the settings say.
pub(crate) fn open(settings: &LogSettings) -> Logger {
    let level = match settings.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    match settings.format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(io::stderr());
            root(slog_term::FullFormat::new(decorator).build(), level)
        }
        LogFormat::Json => root(slog_json::Json::default(io::stderr()), level),
    }
}

fn root<D>(drain: D, level: Level) -> Logger
where
    D: Drain + Send + 'static,
    D::Err: std::fmt::Debug,
{
    let drain = LevelFilter::new(Mutex::new(drain).ignore_res(), level).ignore_res();
    let drain = slog_async::Async::new(drain)
        .chan_size(WAITING)
        .build()
        .fuse();
    Logger::root(drain, o!())
}
