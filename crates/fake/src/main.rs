//! `chestnut-fake`: simulated platform and leafs, load generator and demo.

#![warn(clippy::unwrap_used)]

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use chestnut_fake::{
    DeploymentSpec, PlatformServer, TargetServer,
    bound::FlowModel,
    demo::{Demo, read_objects},
    experiment::{Topology, conditions, plot_capacity, policies, run_capacity, run_table},
    load::{self, LoadConfig},
    membership,
};
use chestnut_unit::parse_duration;
use clap::{Parser, Subcommand};
use slog::{Drain, Logger, o};
use tokio::signal::ctrl_c;

/// Simulated platform and leafs for chestnutpost, a load generator, experiments
/// and a demo in one process.
///
/// Nothing here is part of a deployment.
#[derive(Parser)]
#[command(name = "chestnut-fake", version, max_term_width = 90)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a whole deployment in this process until Ctrl-C.
    ///
    /// Prints the entries' addresses and a command to try.
    Demo {
        /// Folder with world.toml, templates/ and organisations/.
        #[arg(long, default_value = "examples/flipperhouse")]
        folder: PathBuf,
        /// Print the entries' log lines, except routing decisions.
        #[arg(long)]
        log: bool,
    },
    /// Run the simulated platform of a deployment until Ctrl-C.
    Platform {
        /// Folder with world.toml, templates/ and organisations/.
        #[arg(long)]
        folder: PathBuf,
    },
    /// Run the simulated leafs of a deployment in this process until Ctrl-C.
    Targets {
        /// Folder with world.toml.
        #[arg(long)]
        folder: PathBuf,
        /// Only the leafs whose name starts with this.
        #[arg(long, default_value = "")]
        only: String,
    },
    /// Write the settings of each entry of a deployment to a folder.
    Settings {
        /// Folder with world.toml.
        #[arg(long)]
        folder: PathBuf,
        /// Folder to write to; one file for each entry.
        #[arg(long)]
        out: PathBuf,
    },
    /// Compare the routing policies under faults, in virtual time.
    ///
    /// Prints one row for each policy under each condition. The same seed gives
    /// the same output.
    Experiment(ExperimentArgs),
    /// Compare limits on concurrent calls to shards with little capacity, in
    /// virtual time.
    ///
    /// Prints the results for callers by condition and policy.
    Rooms {
        /// Number of seeds of arrivals and service times, starting at 1.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Plot the credit to this file, as SVG.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Print an upper bound on what any policy could serve in each time span of a
    /// deployment, from a flow model.
    ///
    /// The file gives the classes of requests, and for each span the load, the time
    /// without any entry and the state of the leafs; docs/policy/bounds has one.
    Bound {
        /// Description of the deployment, in TOML.
        file: PathBuf,
    },
    /// Measure the membership protocol in virtual time: traffic per member, time
    /// until all members detect a death, false deaths.
    Membership {
        /// Cluster sizes to measure, separated by commas.
        #[arg(long, default_value = "7,50,200", value_delimiter = ',')]
        members: Vec<usize>,
        /// Seed of packet losses and probe choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Send queries in an open loop and report latency, coverage and refusals.
    Load(LoadArgs),
}

#[derive(clap::Args)]
struct ExperimentArgs {
    /// Deployment: ladder (Flipperhouse), archive (Hangin Pollen), or wide (300
    /// shards; use a short span).
    #[arg(long, default_value = "ladder")]
    shape: String,
    /// Only the policies whose name starts with this.
    #[arg(long, default_value = "")]
    policy: String,
    /// Only the conditions whose name starts with this.
    #[arg(long, default_value = "")]
    condition: String,
    /// Seed of arrivals and service times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of a run, in virtual time.
    #[arg(long, default_value = "20s", value_parser = span)]
    span: Duration,
    /// Plot the 99th percentiles to this file, as SVG.
    #[arg(long)]
    plot: Option<PathBuf>,
}

#[derive(clap::Args)]
struct LoadArgs {
    /// Entry that is asked for the list of entries at first.
    #[arg(long, default_value = "127.0.0.1:7101")]
    entry: SocketAddr,
    /// Failure domain of the caller.
    #[arg(long)]
    domain: Option<String>,
    /// Mean request rate, per second.
    #[arg(long, default_value_t = 50.0)]
    rate: f64,
    /// Duration of the load, such as 10s or 2m.
    #[arg(long, default_value = "10s", value_parser = span)]
    span: Duration,
    /// Organisation of the requests.
    #[arg(long, default_value = "galway-flippers")]
    organisation: String,
    /// Service to query.
    #[arg(long, default_value = "ladder")]
    service: String,
    /// Call types, separated by commas and chosen uniformly.
    #[arg(long, default_value = "standings", value_delimiter = ',')]
    calls: Vec<String>,
    /// Deadline of each request.
    #[arg(long, default_value = "500ms", value_parser = span)]
    deadline: Duration,
    /// Seed of the arrival times and call types.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Operator addresses of the entries, separated by commas, to report the
    /// extra calls (hedges and retries) per shard asked.
    #[arg(long, value_delimiter = ',')]
    operators: Vec<SocketAddr>,
    /// Plot the latency distribution to this file, as SVG.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// Parses a duration for clap.
fn span(text: &str) -> Result<Duration, String> {
    parse_duration(text).map_err(|e| e.to_string())
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Args::parse().command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chestnut-fake: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Any error; its text is printed before the process exits.
type BoxError = Box<dyn std::error::Error>;

/// Runs a subcommand.
async fn run(command: Command) -> Result<(), BoxError> {
    match command {
        Command::Demo { folder, log } => demo(&folder, log).await,
        Command::Platform { folder } => platform(&folder).await,
        Command::Targets { folder, only } => targets(&folder, &only).await,
        Command::Settings { folder, out } => settings(&folder, &out),
        Command::Experiment(args) => experiment(&args),
        Command::Rooms { seeds, plot } => compare_limits(seeds, plot.as_deref()),
        Command::Bound { file } => print_bounds(&file),
        Command::Membership { members, seed } => {
            membership::run_table(&members, seed);
            Ok(())
        }
        Command::Load(args) => send_load(args).await,
    }
}

/// Runs the demo until Ctrl-C and prints its addresses and commands to try.
async fn demo(folder: &std::path::Path, log: bool) -> Result<(), BoxError> {
    let demo = Demo::spawn(folder, &logger(log)).await?;
    demo.ready().await;
    println!("platform   {}", demo.platform.address());
    println!("targets    {} leafs", demo.targets.len());
    for (entry, spec) in demo.entries.iter().zip(&demo.spec.entry) {
        let (callers, operators) = (entry.http.callers(), entry.http.operators());
        println!(
            "entry      {} callers {callers} operators {operators}",
            spec.member
        );
    }
    let first = demo.entries.first().ok_or("the world has no entry")?;
    let (callers, operators) = (first.http.callers(), first.http.operators());
    println!("\nTry:\n  curl -s http://{callers}/v1/entries");
    if let Some((org, service, call)) = sample_query(folder) {
        println!(
            "  curl -s http://{callers}/v1/query -d \
             '{{\"organisation\":\"{org}\",\"service\":\"{service}\",\"call\":\"{call}\"}}'"
        );
    }
    println!("  cargo run --release -p chestnut-cli -- --entry {operators} status");
    println!("\nCtrl-C ends it.");
    ctrl_c().await?;
    Ok(())
}

/// Returns an organisation, a service and a query call that it may send there; `None`
/// if the folder is unreadable or the first organisation has no such call.
fn sample_query(folder: &std::path::Path) -> Option<(String, String, String)> {
    let objects = read_objects(folder).ok()?;
    let spec_of = |kind: chestnut_conf::ObjectKind, name: &str| {
        let matches = |(key, _): &&(chestnut_conf::ObjectKey, serde_json::Value)| {
            key.kind == kind && (name.is_empty() || key.name == name)
        };
        let (key, value) = objects.iter().find(matches)?;
        Some((key.name.clone(), value["spec"].clone()))
    };
    let (org, spec) = spec_of(chestnut_conf::ObjectKind::Organisation, "")?;
    let template = spec["template"].as_str()?;
    let (_, template) = spec_of(chestnut_conf::ObjectKind::Template, template)?;
    let services = spec["services"].as_array()?;
    let calls = template["calls"].as_object()?;
    let allowed = |body: &serde_json::Value| services.contains(&body["services"][0]);
    let (call, body) = calls
        .iter()
        .find(|(_, body)| body["kind"] == "query" && allowed(body))?;
    let service = body["services"][0].as_str()?;
    Some((org, service.to_owned(), call.clone()))
}

/// Runs the simulated platform of a deployment until Ctrl-C.
async fn platform(folder: &std::path::Path) -> Result<(), BoxError> {
    let spec = DeploymentSpec::open(&folder.join("world.toml"))?;
    let server = PlatformServer::bind_deployment(&spec).await?;
    for (key, value) in read_objects(folder)? {
        server.store().put(key, 0, value)?;
    }
    println!("platform {}", server.address());
    ctrl_c().await?;
    Ok(())
}

/// Runs the simulated leafs whose names start with `only` until Ctrl-C.
async fn targets(folder: &std::path::Path, only: &str) -> Result<(), BoxError> {
    let spec = DeploymentSpec::open(&folder.join("world.toml"))?;
    let mut servers = Vec::new();
    for leaf in spec.leafs() {
        if leaf.id.as_str().starts_with(only) {
            servers.push(TargetServer::bind_leaf(&leaf).await?);
        }
    }
    println!("targets {}", servers.len());
    ctrl_c().await?;
    Ok(())
}

/// Writes the settings of each entry to a file in `out`, and prints the paths.
fn settings(folder: &std::path::Path, out: &std::path::Path) -> Result<(), BoxError> {
    let spec = DeploymentSpec::open(&folder.join("world.toml"))?;
    std::fs::create_dir_all(out)?;
    for entry in &spec.entry {
        let path = out.join(format!("{}.toml", entry.member));
        std::fs::write(&path, spec.settings_of(entry))?;
        println!("{}", path.display());
    }
    Ok(())
}

/// Prints the bound of each span in the file as a table; fails if the file is not a valid
/// flow model.
fn print_bounds(file: &std::path::Path) -> Result<(), BoxError> {
    let rows = FlowModel::open(file)?.bounds();
    println!("| span | bound |");
    println!("|---|---|");
    rows.iter().for_each(|row| println!("{row}"));
    Ok(())
}

/// Prints the comparison of call limits as a table, and plots it if `plot` is given.
fn compare_limits(seeds: u64, plot: Option<&std::path::Path>) -> Result<(), BoxError> {
    let rows = run_capacity(&Topology::search(), seeds);
    println!(
        "| condition | policy | credit (least to most) | in time % | served % | wasted calls % |"
    );
    println!("|---|---|---|---|---|---|");
    for row in &rows {
        let (least, mean, most) = row.credit;
        println!(
            "| {} | {} | {mean:.3} ({least:.3} to {most:.3}) | {:.1} | {:.1} | {:.1} |",
            row.condition,
            row.policy,
            row.in_time * 100.0,
            row.served * 100.0,
            row.wasted * 100.0,
        );
    }
    if let Some(path) = plot {
        plot_capacity(path, &rows)?;
    }
    Ok(())
}

/// Runs the selected policies and conditions and prints the table. Fails on an unknown
/// deployment.
fn experiment(args: &ExperimentArgs) -> Result<(), BoxError> {
    let mut topology = match args.shape.as_str() {
        "ladder" => Topology::ladder(),
        "archive" => Topology::archive(),
        "wide" => Topology::wide(),
        other => return Err(format!("--shape: {other:?} is not ladder, archive or wide").into()),
    };
    topology.span = args.span;
    let mut policies = policies();
    policies.retain(|policy| policy.name.starts_with(&args.policy));
    let mut conditions = conditions();
    conditions.retain(|condition| condition.name.starts_with(&args.condition));
    run_table(
        &topology,
        &policies,
        &conditions,
        args.seed,
        args.plot.as_deref(),
    )?;
    Ok(())
}

/// Sends the load and prints its report as JSON.
async fn send_load(args: LoadArgs) -> Result<(), BoxError> {
    let config = LoadConfig {
        seed_entry: args.entry,
        domain: args.domain,
        rate: args.rate,
        span: args.span,
        organisation: args.organisation,
        service: args.service,
        call_types: args.calls,
        deadline: args.deadline,
        seed: args.seed,
        operators: args.operators,
    };
    let report = load::run(config, args.plot.as_deref()).await?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}

/// Returns a logger to standard error from the level `info`, or one that discards all
/// records if it is not enabled.
fn logger(enabled: bool) -> Logger {
    if !enabled {
        return chestnut_fake::demo::discard_logger();
    }
    let decorator = slog_term::TermDecorator::new().stderr().build();
    let drain = slog_term::CompactFormat::new(decorator).build();
    let drain = std::sync::Mutex::new(drain);
    let drain = slog::LevelFilter::new(drain, slog::Level::Info).fuse();
    Logger::root(drain, o!())
}
