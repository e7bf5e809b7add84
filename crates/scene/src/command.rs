//! Syntax of the scenario language: the commands and their parser.

use std::time::Duration;

use displaydoc::Display;

use crate::parse::{Words, words};

/// Deployment that a scenario runs on, as its `world` line states it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setup {
    /// Number of entries, distributed over three failure domains.
    pub entries: usize,
    /// Number of shards of the service.
    pub shards: u32,
    /// Number of replicas of each shard.
    pub replicas: u32,
    /// Maximum number of connections that a leaf accepts from all entries.
    pub connections: u32,
    /// Maximum number of connections that one entry keeps to a leaf.
    pub share: u32,
    /// Number of leafs in a group.
    pub group: u32,
    /// How long an entry may serve settings that it can't confirm as current.
    pub max_unconfirmed: Duration,
}

impl Default for Setup {
    /// Three entries, four shards with three replicas each, groups of three leafs, 40
    /// connections per leaf with four for each entry, and two hours without confirmation.
    fn default() -> Self {
        Self {
            entries: 3,
            shards: 4,
            replicas: 3,
            connections: 40,
            share: 4,
            group: 3,
            max_unconfirmed: Duration::from_secs(7200),
        }
    }
}

/// Fault of the platform (outage, delay, lost answers, stale reads), or the end of all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformChange {
    /// Every call fails.
    Down,
    /// All faults of the platform end.
    Up,
    /// Each call takes this much longer.
    Slow(Duration),
    /// This many of the next writes take effect but lose their answers.
    LoseAnswers(u32),
    /// Reads return the state of this many revisions ago.
    Stale(u64),
    /// Reads of the list of VMs return the state of this long ago.
    Lag(Duration),
    /// The platform is restored from a copy without this many of the last writes.
    Restore(u64),
}

/// Fault of a leaf, or `Revive`, which ends most of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeafFault {
    /// The leaf crashes.
    Kill,
    /// The leaf runs again; ends its faults, except `ListLeaving`, `Freeze`, `Silence`
    /// and `Repeat`.
    Revive,
    /// The leaf itself reports that it is draining.
    Drain,
    /// The platform's list of VMs marks the leaf as leaving; the leaf itself
    /// doesn't report it.
    ListLeaving,
    /// The leaf answers no call for this long.
    Freeze(Duration),
    /// Its calls take this multiple of their usual time.
    Slow(u32),
    /// Its open connections become unresponsive without being closed.
    Silence,
    /// Submissions take effect but their answers are lost.
    LoseAnswers,
    /// Each answer to a query call contains its rows twice.
    Repeat,
    /// Query calls are answered from another index version than requested.
    WrongVersion,
}

/// Expected outcome of a query: complete, partial, refused or any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expected {
    /// An answer from all shards.
    Complete,
    /// An answer whose coverage says that shards are missing.
    Partial,
    /// A refusal, with this reason code if one is given.
    Refused(Option<String>),
    /// Any outcome that violates no invariant.
    Any,
}

/// A command of a scenario: an action, a fault, a request or an expectation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Sleep until this time since the start of the scenario.
    At(Duration),
    /// Sleep.
    Wait(Duration),
    /// Start an entry.
    Start(usize),
    /// Kill an entry.
    Kill(usize),
    /// Shut an entry down gracefully and wait until it has stopped.
    Stop(usize),
    /// Suspend an entry's process for a while, without waiting for its end.
    Freeze(usize, Duration),
    /// Block the network between two entries.
    Cut(usize, usize),
    /// Restore the network between two entries.
    Heal(usize, usize),
    /// Block the network between an entry and the platform.
    CutPlatform(usize),
    /// Restore the network between an entry and the platform.
    HealPlatform(usize),
    /// Set or end a fault of the platform.
    Platform(PlatformChange),
    /// Set or end a fault of a leaf.
    Leaf(u32, LeafFault),
    /// Publish an index version whose shards are shifted by a number of leafs.
    Repartition(u64, u32),
    /// Remove an index version from the leafs and from the service's versions.
    DropVersion(u64),
    /// Edit the organisation's settings through an entry.
    Edit {
        /// The entry.
        entry: usize,
        /// Rate limit to set, in requests per second; distinguishes edits.
        rate: u64,
        /// Version that the edit replaces, for optimistic concurrency control.
        expected: Option<u64>,
        /// `accepted`, `conflict`, `outage`, `unsettled`, `wrong` or `any`.
        expected_outcome: String,
    },
    /// Two concurrent edits through two entries; exactly one must succeed.
    Race(usize, usize),
    /// Send queries sequentially.
    Query {
        /// The entry.
        entry: usize,
        /// Call type of the organisation's template.
        call: String,
        /// Number of queries.
        times: u32,
        /// What each answer must be.
        expected: Expected,
    },
    /// Send queries in the background.
    Load {
        /// Entries that receive the queries, round-robin.
        entries: Vec<usize>,
        /// Interval between queries.
        every: Duration,
        /// Duration of the load.
        span: Duration,
        /// What each answer must be.
        expected: Expected,
    },
    /// Wait for all loads and submissions in the background.
    Join,
    /// Obtain a ticket, a permit for one submission, and store it under a name.
    Ticket(String, usize),
    /// Send a submission, a call that must take effect at most once.
    Submit {
        /// Name of the ticket.
        ticket: String,
        /// The entry.
        entry: usize,
        /// Identifier of the submission, counted by the leafs.
        body: String,
        /// `done`, `unknown`, `not_run` or `any`.
        expected: String,
        /// Whether to run the submission in the background.
        background: bool,
    },
    /// A submission must have taken effect this many times, or at most this
    /// many if the flag is set.
    Applied(String, u64, bool),
    /// The entries must serve this version of the organisation's settings.
    Version(u64, Vec<usize>),
    /// All running entries must serve the newest version of the settings.
    Converged,
    /// The platform must have a record of every refusal returned so far.
    Recorded,
    /// An entry must list this many healthy members, itself included.
    Members(usize, usize),
}

/// A parsed scenario: its deployment and its commands in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// Deployment that it runs on.
    pub setup: Setup,
    /// Commands, with their line numbers from 1.
    pub commands: Vec<(usize, Command)>,
}

/// line {line}: {problem}
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub struct ScenarioError {
    /// Number of the line, from 1.
    pub line: usize,
    /// Description of the error.
    pub problem: String,
}

impl std::error::Error for ScenarioError {}

impl Scenario {
    /// Parses a scenario.
    ///
    /// # Errors
    ///
    /// Returns the first line that is not valid.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let mut scenario = Scenario {
            setup: Setup::default(),
            commands: Vec::new(),
        };
        for (line, text) in (1..).zip(text.lines()) {
            let fail = |problem| ScenarioError { line, problem };
            let mut words = words(text).map_err(fail)?;
            if words.is_empty() {
                continue;
            }
            if words.take("world") {
                scenario.setup = parse_setup(&mut words).map_err(fail)?;
            } else {
                let command = parse_command(&mut words).map_err(fail)?;
                scenario.commands.push((line, command));
            }
            words.done().map_err(fail)?;
        }
        Ok(scenario)
    }
}

/// Takes the settings of a `world` line, such as `entries=5` or `unconfirmed=1h`, out of
/// `words`; those not given have the values of [`Setup::default`]. Fails on an invalid value;
/// other words and keys are left to the caller.
fn parse_setup(words: &mut Words) -> Result<Setup, String> {
    let default = Setup::default();
    Ok(Setup {
        entries: words.pair_or("entries", default.entries)?,
        shards: words.pair_or("shards", default.shards)?,
        replicas: words.pair_or("replicas", default.replicas)?,
        connections: words.pair_or("connections", default.connections)?,
        share: words.pair_or("share", default.share)?,
        group: words.pair_or("group", default.group)?,
        max_unconfirmed: words.span_or("unconfirmed", default.max_unconfirmed)?,
    })
}

/// Parses a command by its first word. Fails on an unknown one or invalid arguments.
fn parse_command(words: &mut Words) -> Result<Command, String> {
    let verb = words.next("a command")?;
    Ok(match verb.as_str() {
        "at" => Command::At(words.span("a time")?),
        "wait" => Command::Wait(words.span("a span")?),
        "start" => Command::Start(words.parse("an entry")?),
        "kill" => Command::Kill(words.parse("an entry")?),
        "stop" => Command::Stop(words.parse("an entry")?),
        "freeze" => Command::Freeze(words.parse("an entry")?, words.span("a span")?),
        "cut" | "heal" => parse_link(&verb, words)?,
        "platform" => Command::Platform(parse_platform(words)?),
        "leaf" => Command::Leaf(words.parse("a leaf")?, parse_leaf(words)?),
        "repartition" => {
            Command::Repartition(words.parse("a version")?, words.pair_or("shift", 1)?)
        }
        "drop" => Command::DropVersion(words.parse("a version")?),
        "edit" => parse_edit(words)?,
        "race" => Command::Race(words.parse("an entry")?, words.parse("an entry")?),
        "query" => parse_query(words)?,
        "load" => parse_load(words)?,
        "join" => Command::Join,
        "ticket" => Command::Ticket(words.next("a name")?, words.parse("an entry")?),
        "submit" => parse_submit(words)?,
        "expect" => parse_expect(words)?,
        other => return Err(format!("unknown command {other:?}")),
    })
}

/// Parses the arguments of `cut` or `heal`: an entry, then another or `platform`.
fn parse_link(verb: &str, words: &mut Words) -> Result<Command, String> {
    let entry = words.parse("an entry")?;
    let cut = verb == "cut";
    if words.take("platform") {
        return Ok(if cut {
            Command::CutPlatform(entry)
        } else {
            Command::HealPlatform(entry)
        });
    }
    let other = words.parse("an entry or platform")?;
    Ok(if cut {
        Command::Cut(entry, other)
    } else {
        Command::Heal(entry, other)
    })
}

/// Parses a fault of the platform and its argument, or `up`, which ends all faults.
fn parse_platform(words: &mut Words) -> Result<PlatformChange, String> {
    let what = words.next("a change")?;
    Ok(match what.as_str() {
        "down" => PlatformChange::Down,
        "up" => PlatformChange::Up,
        "slow" => PlatformChange::Slow(words.span("a span")?),
        "lose-answers" => PlatformChange::LoseAnswers(words.parse("a number")?),
        "stale" => PlatformChange::Stale(words.parse("a number of revisions")?),
        "lag" => PlatformChange::Lag(words.span("a span")?),
        "restore" => PlatformChange::Restore(words.parse("a number of writes")?),
        other => return Err(format!("unknown change of the platform {other:?}")),
    })
}

/// Parses a fault of a leaf and its argument, or `revive`.
fn parse_leaf(words: &mut Words) -> Result<LeafFault, String> {
    let what = words.next("a change")?;
    Ok(match what.as_str() {
        "kill" => LeafFault::Kill,
        "revive" => LeafFault::Revive,
        "drain" => LeafFault::Drain,
        "list" => LeafFault::ListLeaving,
        "freeze" => LeafFault::Freeze(words.span("a span")?),
        "slow" => LeafFault::Slow(words.parse("a factor")?),
        "silence" => LeafFault::Silence,
        "lose-answers" => LeafFault::LoseAnswers,
        "repeat" => LeafFault::Repeat,
        "stray" => LeafFault::WrongVersion,
        other => return Err(format!("unknown change of a leaf {other:?}")),
    })
}

/// Parses an `edit`; by default it sets 100 requests per second, requires no
/// version and must be accepted.
fn parse_edit(words: &mut Words) -> Result<Command, String> {
    let entry = words.parse("an entry")?;
    let rate = words.pair_or("rate", 100)?;
    let expected = words.pair("expected");
    let expected = expected
        .map(|v| v.parse().map_err(|_| format!("{v:?} is not a version")))
        .transpose()?;
    let expected_outcome = if words.take("expect") {
        words.next("an outcome")?
    } else {
        "accepted".to_owned()
    };
    Ok(Command::Edit {
        entry,
        rate,
        expected,
        expected_outcome,
    })
}

/// Parses `expect OUTCOME`, with an optional `reason=` after `refused`; a complete
/// answer is expected if it is absent.
fn parse_outcome(words: &mut Words) -> Result<Expected, String> {
    if !words.take("expect") {
        return Ok(Expected::Complete);
    }
    let what = words.next("an outcome")?;
    Ok(match what.as_str() {
        "complete" => Expected::Complete,
        "partial" => Expected::Partial,
        "any" => Expected::Any,
        "refused" => Expected::Refused(words.pair("reason")),
        other => return Err(format!("unknown outcome of a query {other:?}")),
    })
}

/// Parses a `query`; by default one query of the call type `finals`.
fn parse_query(words: &mut Words) -> Result<Command, String> {
    Ok(Command::Query {
        entry: words.parse("an entry")?,
        call: words.pair("call").unwrap_or_else(|| "finals".to_owned()),
        times: words.pair_or("times", 1)?,
        expected: parse_outcome(words)?,
    })
}

/// Parses a `load`; by default a query every 10 ms for one second. Fails without
/// `entries=`.
fn parse_load(words: &mut Words) -> Result<Command, String> {
    let list = words.pair("entries").ok_or("entries= is missing")?;
    let entries: Result<Vec<usize>, _> = list.split(',').map(str::parse).collect();
    Ok(Command::Load {
        entries: entries.map_err(|_| format!("{list:?} is not a list of entries"))?,
        every: words.span_or("every", Duration::from_millis(10))?,
        span: words.span_or("for", Duration::from_secs(1))?,
        expected: parse_outcome(words)?,
    })
}

/// Parses a `submit`; the identifier defaults to the name of the ticket, and any
/// outcome is accepted without `expect`. `later` runs it in the background.
fn parse_submit(words: &mut Words) -> Result<Command, String> {
    let ticket = words.next("a ticket")?;
    let entry = words.parse("an entry")?;
    let body = words.pair("body").unwrap_or_else(|| ticket.clone());
    let background = words.take("later");
    let expected = if words.take("expect") {
        words.next("an outcome")?
    } else {
        "any".to_owned()
    };
    Ok(Command::Submit {
        ticket,
        entry,
        body,
        expected,
        background,
    })
}

/// Parses an expectation: `applied`, `version`, `converged`, `recorded` or `members`.
fn parse_expect(words: &mut Words) -> Result<Command, String> {
    let what = words.next("what is expected")?;
    Ok(match what.as_str() {
        "applied" => {
            let body = words.next("a submission")?;
            let at_most = words.take("at-most");
            Command::Applied(body, words.parse("a number")?, at_most)
        }
        "version" => {
            let version = words.parse("a version")?;
            let list = words.pair("entries").ok_or("entries= is missing")?;
            let entries: Result<Vec<usize>, _> = list.split(',').map(str::parse).collect();
            Command::Version(version, entries.map_err(|e| e.to_string())?)
        }
        "converged" => Command::Converged,
        "recorded" => Command::Recorded,
        "members" => Command::Members(words.parse("an entry")?, words.parse("a number")?),
        other => return Err(format!("unknown expectation {other:?}")),
    })
}
