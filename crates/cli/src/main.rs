//! `chestnut`: the operators' command line.

#![warn(clippy::unwrap_used)]

mod client;
mod evacuate;
mod objects;
mod show;
mod status;

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use chestnut_conf::Kind;
use chestnut_unit::DomainName;
use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

use client::{CliError, Client};

/// The operators' command line of chestnutpost.
///
/// It talks to the operators' address of any entry. Human-readable output goes
/// to standard output, errors to standard error.
///
/// Exit status: 0 done; 1 the entry refused (a check failed, no such object);
/// 2 wrong usage; 3 a conflicting edit came first; 4 the entry or the platform
/// can't be reached; 5 the fate of an edit is unknown, repeat it with its id.
#[derive(Parser)]
#[command(name = "chestnut", version, max_term_width = 90)]
struct Args {
    /// Operators' address of an entry.
    #[arg(
        long,
        global = true,
        env = "CHESTNUT_ENTRY",
        default_value = "127.0.0.1:7201"
    )]
    entry: SocketAddr,
    /// Print JSON for scripts, in the forms of the reference.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// List, read, check, write templates and show their history.
    Template {
        #[command(subcommand)]
        action: Action,
    },
    /// List, read, check, write organisations and show their history.
    Organisation {
        #[command(subcommand)]
        action: Action,
    },
    /// Empty a failure domain: its leafs get no calls until it is refilled.
    ///
    /// Entries of the domain go on serving callers. A shard all of whose leafs
    /// lie there is missing from answers, which say so.
    Evacuate {
        /// The failure domain.
        domain: DomainName,
        /// Who asks for it, for the history.
        #[arg(long, default_value = "")]
        by: String,
    },
    /// Have the leafs of an evacuated failure domain called again.
    Refill {
        /// The failure domain.
        domain: DomainName,
        /// Who asks for it, for the history.
        #[arg(long, default_value = "")]
        by: String,
    },
    /// List evacuated failure domains, and the calls that are under way from the
    /// asked entry to leafs there. A domain is empty when each entry shows none.
    Evacuations,
    /// Show the members, and which versions are in force at which entry.
    ///
    /// Every member is asked directly. One that can't be asked is listed as
    /// such: its versions are then not known, rather than assumed.
    Status,
    /// Show the addresses that callers are given.
    Entries,
    /// Show every back end of this entry: its state, and why it is not used.
    Targets,
    /// Explain a refusal by the receipt that the caller got.
    Why {
        /// The receipt.
        receipt: String,
    },
    /// Ask the entry for a planned stop. It leaves the list of addresses and
    /// ends when nothing needs it any more.
    Drain,
    /// Print shell completions.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// What to do with templates or organisations.
#[derive(Subcommand)]
pub(crate) enum Action {
    /// List names and versions.
    List,
    /// Print one, as `put` takes it.
    Get {
        /// Its name.
        name: String,
    },
    /// Check a file without writing it.
    Check {
        /// Its name.
        name: String,
        /// The file, JSON.
        file: PathBuf,
    },
    /// Write one. Accepted means that it took effect and won't revert.
    Put {
        /// Its name.
        name: String,
        /// The file, JSON.
        file: PathBuf,
        /// The version that the file was made from; 0 for a new one. Another
        /// operator's edit in between is then a conflict, not overwritten.
        #[arg(long)]
        expected: Option<u64>,
        /// Id of the edit. Give the id of an edit whose fate is unknown to
        /// learn it; the edit is never made twice.
        #[arg(long)]
        edit: Option<String>,
        /// Who makes the edit, for the history.
        #[arg(long, default_value = "")]
        by: String,
    },
    /// Show who changed one and when.
    History {
        /// Its name.
        name: String,
    },
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = Args::parse();
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chestnut: {error}");
            ExitCode::from(error.status())
        }
    }
}

async fn run(args: Args) -> Result<(), CliError> {
    let client = Client::new(args.entry);
    let json = args.json;
    match args.command {
        Command::Template { action } => objects::run(&client, Kind::Template, action, json).await,
        Command::Organisation { action } => {
            objects::run(&client, Kind::Organisation, action, json).await
        }
        Command::Evacuate { domain, by } => evacuate::set(&client, &domain, true, &by, json).await,
        Command::Refill { domain, by } => evacuate::set(&client, &domain, false, &by, json).await,
        Command::Evacuations => evacuate::list(&client, json).await,
        Command::Status => status::run(&client, json).await,
        Command::Entries => show::entries(&client, json).await,
        Command::Targets => show::targets(&client, json).await,
        Command::Why { receipt } => show::why(&client, &receipt, json).await,
        Command::Drain => show::drain(&client, json).await,
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(shell, &mut command, "chestnut", &mut std::io::stdout());
            Ok(())
        }
    }
}
