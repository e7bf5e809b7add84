//! Runs each scenario in `tests/scenarios`, in virtual time.

use std::path::PathBuf;

use chestnut_fake::demo::discard_logger;
use chestnut_scene::run_scenario;
use rstest::rstest;
use slog::{Drain, Logger, o};

/// Logs to standard error when `CHESTNUT_LOG` is set, to debug a failure.
fn log() -> Logger {
    if std::env::var_os("CHESTNUT_LOG").is_none() {
        return discard_logger();
    }
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = std::sync::Mutex::new(slog_term::CompactFormat::new(decorator).build());
    let drain = drain.fuse();
    Logger::root(drain, o!())
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn scenario(#[files("../../tests/scenarios/*.scn")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).unwrap();
    let report = run_scenario(&text, log()).await;
    let report = report.unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    assert!(report.answers + report.refusals > 0 || text.contains("submit"));
}
