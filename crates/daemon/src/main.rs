//! `chestnutd`: the daemon of an entry VM. Settings, logs and signals; the
//! tier itself is a library.

#![warn(clippy::unwrap_used)]

use std::{path::PathBuf, process::ExitCode};

use chestnut_conf::Settings;
use chestnut_log::Output;
use chestnut_tier::{Front, Ports, Tier};
use clap::Parser;
use slog::{Logger, info};
use tokio::signal::unix::{SignalKind, signal};

/// The daemon of an entry VM of chestnutpost.
///
/// It answers callers' queries from many shards, keeps connections to the
/// leafs that it holds, and needs nothing on disk but its settings. SIGTERM and
/// SIGINT are a planned stop: the entry leaves the list of addresses, hands its
/// tickets over, serves callers until their lists have run out, and ends with
/// nothing cut off. A second signal ends it at once.
#[derive(Parser)]
#[command(name = "chestnutd", version, max_term_width = 90)]
struct Args {
    /// Settings file, TOML. Every key is described in the operating guide.
    #[arg(long)]
    config: PathBuf,
    /// Check the settings file and stop. Exit status 0 means that the daemon
    /// would start with it, 2 that it would not; the error names the file, the
    /// key and the mend.
    #[arg(long)]
    check: bool,
}

/// Exit status for settings that can't be used.
const BAD_SETTINGS: u8 = 2;
/// Exit status for an address that can't be bound.
const NO_START: u8 = 1;

fn main() -> ExitCode {
    let args = Args::parse();
    let settings = match Settings::open(&args.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("chestnutd: {error}");
            return ExitCode::from(BAD_SETTINGS);
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
            ExitCode::from(NO_START)
        }
    }
}

async fn serve(settings: Settings, log: Logger) -> Result<(), Box<dyn std::error::Error>> {
    let peers = settings.listen.peers;
    let ports = Ports::open(&settings)
        .await
        .map_err(|e| format!("listen.peers: can't bind {peers}: {e}"))?;
    let seed = rand::random();
    let tier = Tier::spawn(settings, log.clone(), ports, seed).await?;
    let front = Front::bind(&tier)
        .await
        .map_err(|e| format!("listen.callers or listen.operators: can't bind: {e}"))?;
    let (callers, operators) = (front.callers(), front.operators());
    info!(log, "fleet: {} listens", tier.member();
        "callers" => %callers, "operators" => %operators);
    wait_for_stop(&tier).await?;
    let mut again = signal(SignalKind::terminate())?;
    tokio::select! {
        () = tier.leave() => {}
        _ = again.recv() => info!(log, "fleet: a second signal ends the stop"),
    }
    front.close().await;
    tier.stop().await;
    Ok(())
}

async fn wait_for_stop(tier: &Tier) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = tier.drain_asked() => {}
    }
    Ok(())
}
