//! The commands of the scenario language.

use std::time::Duration;

use displaydoc::Display;

use crate::parse::{Words, words};

/// The deployment that a scenario runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setup {
    /// Entries, spread over three failure domains.
    pub entries: usize,
    /// Shards of the service.
    pub shards: u32,
    /// Replicas of each shard.
    pub replicas: u32,
    /// Connections that a leaf accepts.
    pub connections: u32,
    /// Connections that one entry may keep to a leaf.
    pub share: u32,
    /// Leafs in a group.
    pub group: u32,
    /// How long unconfirmed settings may be served.
    pub unconfirmed: Duration,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            entries: 3,
            shards: 4,
            replicas: 3,
            connections: 40,
            share: 4,
            group: 3,
            unconfirmed: Duration::from_secs(7200),
        }
    }
}

/// A change of the platform's behaviour.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformChange {
    /// Every call fails.
    Down,
    /// It works.
    Up,
    /// Calls take longer.
    Slow(Duration),
    /// That many writes take effect and lose their answer.
    LoseAnswers(u32),
    /// Reads show the state of that many revisions ago.
    Stale(u64),
    /// The list of VMs lags.
    Lag(Duration),
}

/// A change of a leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeafFault {
    /// It dies.
    Kill,
    /// It runs, as at first.
    Revive,
    /// It says that it is leaving.
    Drain,
    /// The platform's list says that it is leaving; it does not.
    List,
    /// It answers nothing for a while.
    Freeze(Duration),
    /// Its calls take a multiple of their time.
    Slow(u32),
    /// Its open connections go silent.
    Silence,
    /// Submissions take effect and their answers are lost.
    LoseAnswers,
    /// It answers each query call twice.
    Repeat,
    /// It answers from another index version than it was asked for.
    Stray,
}

/// What an answer to a query must be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Want {
    /// Whole.
    Complete,
    /// A part, labelled as such.
    Partial,
    /// Refused, for this reason if one is given.
    Refused(Option<String>),
    /// Anything true.
    Any,
}

/// One command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Let time pass up to this point since the start.
    At(Duration),
    /// Let time pass.
    Wait(Duration),
    /// Start an entry.
    Start(usize),
    /// Kill an entry.
    Kill(usize),
    /// Stop an entry in the planned way, in the background.
    Stop(usize),
    /// Freeze an entry for a while, in the background.
    Freeze(usize, Duration),
    /// Cut two entries off from each other.
    Cut(usize, usize),
    /// Undo a cut.
    Heal(usize, usize),
    /// Cut an entry off from the platform.
    CutPlatform(usize),
    /// Undo that.
    HealPlatform(usize),
    /// Change the platform.
    Platform(PlatformChange),
    /// Change a leaf.
    Leaf(u32, LeafFault),
    /// Publish an index version whose shards start at another leaf.
    Repartition(u64, u32),
    /// Leafs drop an index version, and the platform its layout.
    DropVersion(u64),
    /// Edit the organisation at an entry; the number tells edits apart.
    Edit {
        /// The entry.
        entry: usize,
        /// Requests a second, by which edits differ.
        rate: u64,
        /// The version that the operator read.
        expected: Option<u64>,
        /// `accepted`, `conflict`, `outage` or `any`.
        want: String,
    },
    /// Two operators edit at the same moment; one must win.
    Race(usize, usize),
    /// Send queries, one after the other.
    Query {
        /// The entry.
        entry: usize,
        /// Call type.
        call: String,
        /// How many.
        times: u32,
        /// What each answer must be.
        want: Want,
    },
    /// Send queries in the background.
    Load {
        /// The entries, in turn.
        entries: Vec<usize>,
        /// Time between two.
        every: Duration,
        /// How long.
        span: Duration,
        /// What each answer must be.
        want: Want,
    },
    /// Wait for all loads.
    Join,
    /// Mint a ticket under a name.
    Ticket(String, usize),
    /// Submit with a ticket.
    Submit {
        /// The ticket.
        ticket: String,
        /// The entry.
        entry: usize,
        /// Name of the submission.
        body: String,
        /// `done`, `unknown`, `not_run` or `any`.
        want: String,
        /// Whether to go on without waiting for the answer.
        later: bool,
    },
    /// How often a submission took effect: exactly, or at most.
    Applied(String, u64, bool),
    /// The entries must have this version of the organisation in force.
    InForce(u64, Vec<usize>),
    /// All entries that run must have the same version in force.
    Converged,
    /// Every refusal told so far must be on record in the platform.
    Recorded,
    /// An entry must know that many working members, itself included.
    Members(usize, usize),
}

/// A scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// What it runs on.
    pub setup: Setup,
    /// Its commands, with their line numbers.
    pub commands: Vec<(usize, Command)>,
}

/// line {line}: {problem}
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub struct ScenarioError {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong.
    pub problem: String,
}

impl std::error::Error for ScenarioError {}

impl Scenario {
    /// Parses a scenario.
    ///
    /// # Errors
    ///
    /// Names the first line that is wrong.
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
                scenario.setup = setup(&mut words).map_err(fail)?;
            } else {
                let command = command(&mut words).map_err(fail)?;
                scenario.commands.push((line, command));
            }
            words.done().map_err(fail)?;
        }
        Ok(scenario)
    }
}

fn setup(words: &mut Words) -> Result<Setup, String> {
    let default = Setup::default();
    Ok(Setup {
        entries: words.pair_or("entries", default.entries)?,
        shards: words.pair_or("shards", default.shards)?,
        replicas: words.pair_or("replicas", default.replicas)?,
        connections: words.pair_or("connections", default.connections)?,
        share: words.pair_or("share", default.share)?,
        group: words.pair_or("group", default.group)?,
        unconfirmed: words.span_or("unconfirmed", default.unconfirmed)?,
    })
}

fn command(words: &mut Words) -> Result<Command, String> {
    let verb = words.next("a command")?;
    Ok(match verb.as_str() {
        "at" => Command::At(words.span("a time")?),
        "wait" => Command::Wait(words.span("a span")?),
        "start" => Command::Start(words.parse("an entry")?),
        "kill" => Command::Kill(words.parse("an entry")?),
        "stop" => Command::Stop(words.parse("an entry")?),
        "freeze" => Command::Freeze(words.parse("an entry")?, words.span("a span")?),
        "cut" | "heal" => link(&verb, words)?,
        "platform" => Command::Platform(platform(words)?),
        "leaf" => Command::Leaf(words.parse("a leaf")?, leaf(words)?),
        "repartition" => {
            Command::Repartition(words.parse("a version")?, words.pair_or("shift", 1)?)
        }
        "drop" => Command::DropVersion(words.parse("a version")?),
        "edit" => edit(words)?,
        "race" => Command::Race(words.parse("an entry")?, words.parse("an entry")?),
        "query" => query(words)?,
        "load" => load(words)?,
        "join" => Command::Join,
        "ticket" => Command::Ticket(words.next("a name")?, words.parse("an entry")?),
        "submit" => submit(words)?,
        "expect" => expect(words)?,
        other => return Err(format!("{other:?} is no command")),
    })
}

fn link(verb: &str, words: &mut Words) -> Result<Command, String> {
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

fn platform(words: &mut Words) -> Result<PlatformChange, String> {
    let what = words.next("a change")?;
    Ok(match what.as_str() {
        "down" => PlatformChange::Down,
        "up" => PlatformChange::Up,
        "slow" => PlatformChange::Slow(words.span("a span")?),
        "lose-answers" => PlatformChange::LoseAnswers(words.parse("a number")?),
        "stale" => PlatformChange::Stale(words.parse("a number of revisions")?),
        "lag" => PlatformChange::Lag(words.span("a span")?),
        other => return Err(format!("{other:?} is no change of the platform")),
    })
}

fn leaf(words: &mut Words) -> Result<LeafFault, String> {
    let what = words.next("a change")?;
    Ok(match what.as_str() {
        "kill" => LeafFault::Kill,
        "revive" => LeafFault::Revive,
        "drain" => LeafFault::Drain,
        "list" => LeafFault::List,
        "freeze" => LeafFault::Freeze(words.span("a span")?),
        "slow" => LeafFault::Slow(words.parse("a factor")?),
        "silence" => LeafFault::Silence,
        "lose-answers" => LeafFault::LoseAnswers,
        "repeat" => LeafFault::Repeat,
        "stray" => LeafFault::Stray,
        other => return Err(format!("{other:?} is no change of a leaf")),
    })
}

fn edit(words: &mut Words) -> Result<Command, String> {
    let entry = words.parse("an entry")?;
    let rate = words.pair_or("rate", 100)?;
    let expected = words.pair("expected");
    let expected = expected
        .map(|v| v.parse().map_err(|_| format!("{v:?} is not a version")))
        .transpose()?;
    let want = if words.take("expect") {
        words.next("an outcome")?
    } else {
        "accepted".to_owned()
    };
    Ok(Command::Edit {
        entry,
        rate,
        expected,
        want,
    })
}

fn want(words: &mut Words) -> Result<Want, String> {
    if !words.take("expect") {
        return Ok(Want::Complete);
    }
    let what = words.next("an outcome")?;
    Ok(match what.as_str() {
        "complete" => Want::Complete,
        "partial" => Want::Partial,
        "any" => Want::Any,
        "refused" => Want::Refused(words.pair("reason")),
        other => return Err(format!("{other:?} is no outcome of a query")),
    })
}

fn query(words: &mut Words) -> Result<Command, String> {
    Ok(Command::Query {
        entry: words.parse("an entry")?,
        call: words.pair("call").unwrap_or_else(|| "finals".to_owned()),
        times: words.pair_or("times", 1)?,
        want: want(words)?,
    })
}

fn load(words: &mut Words) -> Result<Command, String> {
    let list = words.pair("entries").ok_or("entries= is missing")?;
    let entries: Result<Vec<usize>, _> = list.split(',').map(str::parse).collect();
    Ok(Command::Load {
        entries: entries.map_err(|_| format!("{list:?} is no list of entries"))?,
        every: words.span_or("every", Duration::from_millis(10))?,
        span: words.span_or("for", Duration::from_secs(1))?,
        want: want(words)?,
    })
}

fn submit(words: &mut Words) -> Result<Command, String> {
    let ticket = words.next("a ticket")?;
    let entry = words.parse("an entry")?;
    let body = words.pair("body").unwrap_or_else(|| ticket.clone());
    let later = words.take("later");
    let want = if words.take("expect") {
        words.next("an outcome")?
    } else {
        "any".to_owned()
    };
    Ok(Command::Submit {
        ticket,
        entry,
        body,
        want,
        later,
    })
}

fn expect(words: &mut Words) -> Result<Command, String> {
    let what = words.next("what is expected")?;
    Ok(match what.as_str() {
        "applied" => {
            let body = words.next("a submission")?;
            let most = words.take("at-most");
            Command::Applied(body, words.parse("a number")?, most)
        }
        "version" => {
            let version = words.parse("a version")?;
            let list = words.pair("entries").ok_or("entries= is missing")?;
            let entries: Result<Vec<usize>, _> = list.split(',').map(str::parse).collect();
            Command::InForce(version, entries.map_err(|e| e.to_string())?)
        }
        "converged" => Command::Converged,
        "recorded" => Command::Recorded,
        "members" => Command::Members(words.parse("an entry")?, words.parse("a number")?),
        other => return Err(format!("{other:?} can't be expected")),
    })
}
