//! `chestnutd`: the daemon of an entry VM. It reads the settings, opens the log
//! and handles signals; the `chestnut-tier` library does the rest.

#![warn(clippy::unwrap_used)]

use std::{path::PathBuf, process::ExitCode};

use chestnut_conf::Settings;
use chestnut_log::Output;
use chestnut_port::Signals;
use chestnut_tier::{HttpServers, Ports, Tier};
use clap::Parser;
use slog::{Logger, info};
use tokio::time::Instant;

/// The daemon of an entry VM of chestnutpost.
///
/// It answers callers' queries by gathering rows from many shards, keeps
/// connections to the leafs (back ends) that it calls, and reads nothing from
/// disk but its settings. SIGTERM and SIGINT start a planned stop: the entry
/// removes itself from the list of addresses, hands its tickets to a successor,
/// serves callers until their copies of the list have expired, and exits without
/// aborting a request. After a further SIGTERM it exits as soon as nothing runs.
#[derive(Parser)]
#[command(name = "chestnutd", version, max_term_width = 90)]
struct Args {
    /// Settings file (TOML). The operating guide describes every key.
    #[arg(long)]
    config: PathBuf,
    /// Check the settings file and exit. Exit status 0 means that the settings are
    /// valid, 2 that they are not; the error names the file, the key and the fix.
    #[arg(long)]
    check: bool,
}

/// Exit status for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit status for any other failure, such as an address that can't be bound.
const EXIT_FAILURE: u8 = 1;

/// Runs the entry, or with `--check` only validates the settings. Exits with 0 for valid
/// settings or after a stop, 2 for wrong usage or settings and 1 for any other failure.
fn main() -> ExitCode {
    let args = Args::parse();
    let settings = match Settings::open(&args.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("chestnutd: {error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if args.check {
        println!("{}: good", args.config.display());
        return ExitCode::SUCCESS;
    }
    let log = chestnut_log::open(&settings.log, Output::Stderr);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(serve(settings, log)),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chestnutd: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Runs an entry until a planned stop has ended. Fails if an address can't be bound, the entry can't start or signals can't be handled.
async fn serve(settings: Settings, log: Logger) -> Result<(), Box<dyn std::error::Error>> {
    let peers = settings.listen.peers;
    let ports = Ports::open(&settings)
        .await
        .map_err(|e| format!("listen.peers: can't bind {peers}: {e}"))?;
    let seed = rand::random();
    let tier = Tier::spawn(settings, log.clone(), ports, seed).await?;
    let http = HttpServers::bind(&tier)
        .await
        .map_err(|e| format!("listen.callers or listen.operators: can't bind: {e}"))?;
    let (callers, operators) = (http.callers(), http.operators());
    info!(log, "fleet: {} listens", tier.member();
        "callers" => %callers, "operators" => %operators);
    let mut signals = Signals::open()?;
    tokio::select! {
        () = signals.stop() => {}
        () = tier.drain_requested() => {}
    }
    tier.leave(signals.stop()).await;
    http.close(tier.end().unwrap_or_else(Instant::now)).await;
    tier.stop().await;
    Ok(())
}
