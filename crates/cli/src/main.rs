//! `chestnut`: the operators' command line, a client of the entries' HTTP interface.

#![warn(clippy::unwrap_used)]

mod client;
mod evacuate;
mod key_digest;
mod metrics_text;
mod objects;
mod room;
mod show;
mod status;

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use chestnut_conf::ObjectKind;
use chestnut_unit::DomainName;
use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

use client::{CliError, Client};

/// The operators' command line of chestnutpost.
///
/// It connects to the operators' address of any entry. Results go to standard
/// output, errors to standard error.
///
/// Exit status: 0 success; 1 the entry refused the command (a check failed, no
/// such object); 2 wrong usage or an unreadable file; 3 conflict with another
/// edit; 4 the entry or the platform can't be reached; 5 the outcome of an edit
/// is unknown, repeat it with its id.
#[derive(Parser)]
#[command(name = "chestnut", version, max_term_width = 90)]
struct Args {
    /// Operators' address of the entry to connect to.
    #[arg(
        long,
        global = true,
        env = "CHESTNUT_ENTRY",
        default_value = "127.0.0.1:7201"
    )]
    entry: SocketAddr,
    /// Print JSON, for scripts. The reference describes its fields.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// List, read, check and write templates, and show their history.
    Template {
        #[command(subcommand)]
        action: Action,
    },
    /// List, read, check and write organisations, and show their history; or show the
    /// limit and the requests of one at forwarding entries.
    ///
    /// `organisation NAME ADDRESS...` reads the metrics of each entry. Write
    /// `organisation -- NAME ADDRESS...` if the name is one of the commands below.
    #[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
    Organisation {
        #[command(subcommand)]
        action: Option<Action>,
        /// Name of the organisation.
        #[arg(required = true)]
        name: Option<String>,
        /// Addresses of the metrics of the entries.
        #[arg(required = true, value_name = "ADDRESS")]
        addresses: Vec<SocketAddr>,
    },
    /// Show the places, calls, queue and refusals of each service at forwarding entries,
    /// and which services have no free place.
    Room {
        /// Addresses of the metrics of the entries.
        #[arg(required = true, value_name = "ADDRESS")]
        addresses: Vec<SocketAddr>,
    },
    /// Evacuate a failure domain: its leafs (back ends) get no calls until it is
    /// refilled.
    ///
    /// Entries of the domain continue to serve callers. Answers report a shard as
    /// missing if all its leafs are in the domain.
    Evacuate {
        /// The failure domain.
        domain: DomainName,
        /// Name of the operator, for the history.
        #[arg(long, default_value = "")]
        by: String,
    },
    /// End the evacuation of a failure domain: its leafs get calls again.
    Refill {
        /// The failure domain.
        domain: DomainName,
        /// Name of the operator, for the history.
        #[arg(long, default_value = "")]
        by: String,
    },
    /// List evacuated failure domains, and the number of calls in progress from
    /// this entry to leafs there. A domain is empty when every entry shows none.
    Evacuations,
    /// Show the members of the fleet, and which versions are in force at which
    /// entry.
    ///
    /// Every member is queried directly. One that can't be reached is listed as
    /// such, and its versions are not shown.
    Status,
    /// Show the list of addresses that callers receive.
    Entries,
    /// Show every back end of this entry: its state, and why it gets no calls.
    Targets,
    /// Explain a refusal from the receipt that the caller received.
    Why {
        /// The receipt.
        receipt: String,
    },
    /// Start a planned stop of the entry. It removes itself from the list of
    /// addresses and exits when no caller or request depends on it.
    Drain,
    /// Read an organisation's key from standard input and print the first digits of
    /// its digest, by which the logs of entries name it.
    ///
    /// The key itself is printed nowhere, and no entry is contacted.
    KeyDigest,
    /// Print shell completions.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// An action on templates or organisations.
#[derive(Subcommand)]
pub(crate) enum Action {
    /// List names and versions.
    List,
    /// Print an object in the form that `put` accepts.
    Get {
        /// Name of the object.
        name: String,
    },
    /// Check a file without writing it.
    Check {
        /// Name of the object.
        name: String,
        /// File with the object (JSON).
        file: PathBuf,
    },
    /// Write an object. Once accepted, it has taken effect and won't be reverted.
    Put {
        /// Name of the object.
        name: String,
        /// File with the object (JSON).
        file: PathBuf,
        /// Version that the file is based on; 0 for a new object. If another
        /// edit has been made since, the command fails instead of overwriting it.
        #[arg(long)]
        expected: Option<u64>,
        /// Id of the edit. Repeat the id of an edit whose outcome is unknown to
        /// learn the outcome; an edit takes effect at most once.
        #[arg(long)]
        edit: Option<String>,
        /// Name of the operator, for the history.
        #[arg(long, default_value = "")]
        by: String,
    },
    /// Show who changed an object and when.
    History {
        /// Name of the object.
        name: String,
    },
}

/// Runs the command of the arguments. Prints an error to standard error and exits with
/// its status.
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

/// Runs one command against the entry of the arguments and prints its result; `completions`
/// calls no entry.
async fn run(args: Args) -> Result<(), CliError> {
    let client = Client::new(args.entry);
    let json = args.json;
    match args.command {
        Command::Template { action } => {
            objects::run(&client, ObjectKind::Template, action, json).await
        }
        Command::Organisation {
            action: Some(action),
            ..
        } => objects::run(&client, ObjectKind::Organisation, action, json).await,
        Command::Organisation {
            name, addresses, ..
        } => {
            let name = name.unwrap_or_default();
            room::organisation(&client, &name, &addresses, json).await
        }
        Command::Room { addresses } => room::services(&client, &addresses, json).await,
        Command::Evacuate { domain, by } => evacuate::set(&client, &domain, true, &by, json).await,
        Command::Refill { domain, by } => evacuate::set(&client, &domain, false, &by, json).await,
        Command::Evacuations => evacuate::list(&client, json).await,
        Command::Status => status::run(&client, json).await,
        Command::Entries => show::entries(&client, json).await,
        Command::Targets => show::targets(&client, json).await,
        Command::Why { receipt } => show::why(&client, &receipt, json).await,
        Command::Drain => show::drain(&client, json).await,
        Command::KeyDigest => key_digest::print(json),
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(shell, &mut command, "chestnut", &mut std::io::stdout());
            Ok(())
        }
    }
}
