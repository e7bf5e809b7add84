//! Executes the commands of a scenario.

use std::{collections::BTreeMap, time::Duration};

use chestnut_conf::{ObjectKey, ObjectKind};
use chestnut_tier::EditError;
use chestnut_unit::Execution;
use slog::Logger;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    command::{Command, Expected, Scenario},
    invariants::{CheckReport, Reply},
    testbed::{ORG, Testbed, organisation},
};

/// Time for the entries to discover each other at the start.
const JOIN_TIME: Duration = Duration::from_secs(6);
/// Time within which entries must serve an expected version.
const VERSION_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks of an expectation.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running scenario: its test bed, start time, tickets, background requests, and
/// the numbers of edits and kills so far.
struct Runner {
    testbed: Testbed,
    start: Instant,
    /// Texts of the tickets, by their names in the scenario.
    tickets: BTreeMap<String, String>,
    /// Requests in the background.
    loads: JoinSet<Result<(), String>>,
    edits: u32,
    kills: u32,
}

/// Parses and runs a scenario; tokio's clock must be paused.
///
/// # Errors
///
/// The text is not a valid scenario, an expectation was not met, or an
/// invariant was violated.
pub async fn run_scenario(text: &str, log: Logger) -> Result<CheckReport, String> {
    let scenario = Scenario::parse(text).map_err(|e| e.to_string())?;
    let mut testbed = Testbed::new(scenario.setup.clone(), log);
    for number in 0..scenario.setup.entries {
        testbed.start(number).await.map_err(|e| e.to_string())?;
    }
    sleep(JOIN_TIME).await;
    let mut runner = Runner {
        testbed,
        start: Instant::now(),
        tickets: BTreeMap::new(),
        loads: JoinSet::new(),
        edits: 0,
        kills: 0,
    };
    for (line, command) in scenario.commands {
        let done = runner.run(command).await;
        done.map_err(|problem| format!("line {line}: {problem}"))?;
        runner.check_versions();
    }
    runner.join().await?;
    let report = runner.testbed.finish();
    match report.violations.first() {
        None => Ok(report),
        Some(first) => Err(format!(
            "{} violations, the first: {first}",
            report.violations.len()
        )),
    }
}

impl Runner {
    /// Executes one command. Fails if it is invalid in the current state or if an expectation
    /// is not met.
    async fn run(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::At(at) => sleep_until(self.start + at).await,
            Command::Wait(span) => sleep(span).await,
            Command::Start(number) => {
                self.testbed
                    .start(number)
                    .await
                    .map_err(|e| e.to_string())?;
            }
            Command::Kill(number) => {
                self.kills += 1;
                self.testbed.kill(number);
            }
            Command::Stop(number) => self.testbed.stop(number).await,
            Command::Freeze(number, span) => self.testbed.freeze(number, span),
            Command::Cut(a, b) => self.testbed.cut(a, b, true),
            Command::Heal(a, b) => self.testbed.cut(a, b, false),
            Command::CutPlatform(entry) => self.testbed.cut_platform(entry, true),
            Command::HealPlatform(entry) => self.testbed.cut_platform(entry, false),
            Command::Platform(change) => self.testbed.change_platform(&change),
            Command::Leaf(number, fault) => self.testbed.change_leaf(number, &fault)?,
            Command::Repartition(version, shift) => self.testbed.repartition(version, shift),
            Command::DropVersion(version) => self.testbed.drop_version(version),
            Command::Edit {
                entry,
                rate,
                expected,
                expected_outcome,
            } => self.edit(entry, rate, expected, &expected_outcome).await?,
            Command::Race(a, b) => self.race(a, b).await?,
            Command::Query {
                entry,
                call,
                times,
                expected,
            } => self.query(entry, &call, times, &expected).await?,
            Command::Load {
                entries,
                every,
                span,
                expected,
            } => self.load(entries, every, span, expected),
            Command::Join => self.join().await?,
            Command::Ticket(name, entry) => self.ticket(name, entry)?,
            Command::Submit {
                ticket: name,
                entry,
                body: id,
                expected,
                background,
            } => self.submit(&name, entry, &id, expected, background).await?,
            Command::Applied(body, times, at_most) => self.applied(&body, times, at_most)?,
            Command::Version(version, entries) => self.version(version, &entries).await?,
            Command::Recorded => self.recorded().await?,
            Command::Converged => self.converged().await?,
            Command::Members(entry, count) => self.members(entry, count).await?,
        }
        Ok(())
    }

    /// Adds a violation to the report for each running entry whose version of the
    /// settings has decreased.
    fn check_versions(&self) {
        for number in self.testbed.entries.keys() {
            self.testbed.version_at(*number);
        }
    }

    /// Returns a running entry; fails if it is not running.
    fn entry(&self, number: usize) -> Result<&crate::testbed::RunningEntry, String> {
        let running = self.testbed.entries.get(&number);
        running.ok_or_else(|| format!("entry {number} is not running"))
    }

    /// Sets the rate limit through an entry. Fails if the outcome is not `expected_outcome`;
    /// `expected` is the version that the edit replaces.
    async fn edit(
        &mut self,
        entry: usize,
        rate: u64,
        expected: Option<u64>,
        expected_outcome: &str,
    ) -> Result<(), String> {
        self.edits += 1;
        let id = format!("edit-{}", self.edits);
        let tier = self.entry(entry)?.tier.clone();
        let done = put(&tier, rate, expected, id).await;
        let outcome = match &done {
            Ok(_) => "accepted",
            Err(EditError::Conflict { .. }) => "conflict",
            Err(EditError::Unavailable) => "outage",
            Err(EditError::Unconfirmed { .. }) => "unsettled",
            Err(EditError::Invalid(_)) => "wrong",
        };
        if expected_outcome != "any" && expected_outcome != outcome {
            return Err(format!(
                "the edit: expected {expected_outcome}, got {done:?}"
            ));
        }
        Ok(())
    }

    /// Sends two concurrent edits that replace the version served at entry `a`. Fails unless
    /// exactly one of them succeeds.
    async fn race(&mut self, a: usize, b: usize) -> Result<(), String> {
        let version = self.testbed.version_at(a);
        let (first, second) = (self.entry(a)?.tier.clone(), self.entry(b)?.tier.clone());
        self.edits += 2;
        let (x, y) = (self.edits - 1, self.edits);
        let (one, other) = tokio::join!(
            put(
                &first,
                1000 + u64::from(x),
                Some(version),
                format!("edit-{x}")
            ),
            put(
                &second,
                1000 + u64::from(y),
                Some(version),
                format!("edit-{y}")
            ),
        );
        match (one.is_ok(), other.is_ok()) {
            (true, false) | (false, true) => Ok(()),
            _ => Err(format!(
                "exactly one edit should succeed: {one:?} and {other:?}"
            )),
        }
    }

    /// Sends `times` queries one after the other. Fails at the first outcome that is not
    /// the expected one, or if the entry is not running.
    async fn query(
        &mut self,
        entry: usize,
        call: &str,
        times: u32,
        expected: &Expected,
    ) -> Result<(), String> {
        for _ in 0..times {
            let (number, ask) = self.testbed.query(call);
            let running = self.entry(entry)?;
            let (tier, gate) = (running.tier.clone(), running.gate.clone());
            let report = self.testbed.report.clone();
            let reply = Testbed::ask(tier, gate, report, number, ask).await;
            check_outcome(&reply, expected)?;
        }
        Ok(())
    }

    /// Spawns a query every `every` for `span`, to the entries in turn; those not
    /// running now are skipped. [`Runner::join`] fails if an outcome is not as expected.
    fn load(&mut self, entries: Vec<usize>, every: Duration, span: Duration, expected: Expected) {
        let start = Instant::now();
        let mut due = start;
        let mut turn = 0;
        while due < start + span {
            let entry = entries[turn % entries.len()];
            turn += 1;
            let (number, ask) = self.testbed.query("finals");
            if let Some(running) = self.testbed.entries.get(&entry) {
                let (tier, gate) = (running.tier.clone(), running.gate.clone());
                let (report, expected) = (self.testbed.report.clone(), expected.clone());
                self.loads.spawn(async move {
                    sleep_until(due).await;
                    let reply = Testbed::ask(tier, gate, report, number, ask).await;
                    check_outcome(&reply, &expected)
                });
            }
            due += every;
        }
    }

    /// Waits for all requests in the background. Fails if one failed, or if some don't end
    /// although no entry was killed; at a killed entry they never end and are dropped.
    async fn join(&mut self) -> Result<(), String> {
        /// Time to wait for requests in the background; longer than any deadline in a scenario.
        const LOAD_TIMEOUT: Duration = Duration::from_secs(120);
        let until = Instant::now() + LOAD_TIMEOUT;
        while !self.loads.is_empty() {
            match tokio::time::timeout_at(until, self.loads.join_next()).await {
                Ok(Some(Ok(done))) => done?,
                Ok(Some(Err(error))) => return Err(error.to_string()),
                Ok(None) => break,
                Err(_) if self.kills == 0 => {
                    return Err(format!("{} requests did not end", self.loads.len()));
                }
                Err(_) => {
                    self.loads.abort_all();
                    while self.loads.join_next().await.is_some() {}
                }
            }
        }
        Ok(())
    }

    /// Obtains a ticket from an entry and stores it under `name`. Fails if the entry
    /// is not running or refuses.
    fn ticket(&mut self, name: String, entry: usize) -> Result<(), String> {
        let minted = self.entry(entry)?.tier.ticket();
        let reply = minted.map_err(|refusal| format!("no ticket: {}", refusal.reason))?;
        self.tickets.insert(name, reply.ticket.to_string());
        Ok(())
    }

    /// Submits with a stored ticket, in the background if asked. Fails if the ticket is unknown,
    /// the entry is not running, or the outcome is not `expected`.
    async fn submit(
        &mut self,
        ticket: &str,
        entry: usize,
        body: &str,
        expected: String,
        background: bool,
    ) -> Result<(), String> {
        let text = self.tickets.get(ticket).ok_or("there is no such ticket")?;
        let ask = self.testbed.submission(Some(text), body);
        let running = self.entry(entry)?;
        let (tier, gate) = (running.tier.clone(), running.gate.clone());
        let run = async move {
            gate.wait_running().await;
            let outcome = match tier.submit(ask).await {
                Ok(_) => "done",
                Err(refusal) if refusal.execution == Execution::NotRun => "not_run",
                Err(_) => "unknown",
            };
            gate.wait_running().await;
            if expected != "any" && expected != outcome {
                return Err(format!(
                    "the submission: expected {expected}, got {outcome}"
                ));
            }
            Ok(())
        };
        if background {
            self.loads.spawn(run);
            return Ok(());
        }
        run.await
    }

    /// Fails unless the submission `body` took effect `times` times, or at most that
    /// often with `at_most`.
    fn applied(&self, body: &str, times: u64, at_most: bool) -> Result<(), String> {
        let found = self.testbed.applied(body);
        if found == times || (at_most && found < times) {
            return Ok(());
        }
        Err(format!("{body} took effect {found} times"))
    }

    /// Waits until the entries serve this version of the settings; fails after
    /// [`VERSION_TIMEOUT`].
    async fn version(&self, version: u64, entries: &[usize]) -> Result<(), String> {
        let until = Instant::now() + VERSION_TIMEOUT;
        loop {
            let late: Vec<usize> = entries
                .iter()
                .copied()
                .filter(|entry| self.testbed.version_at(*entry) != version)
                .collect();
            if late.is_empty() {
                return Ok(());
            }
            if Instant::now() >= until {
                let at: Vec<u64> = entries
                    .iter()
                    .map(|e| self.testbed.version_at(*e))
                    .collect();
                return Err(format!(
                    "version {version} is expected, the entries serve {at:?}"
                ));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the platform has a record of every refusal; fails after a timeout.
    async fn recorded(&self) -> Result<(), String> {
        /// Time within which records must reach a working platform.
        const RECORD_TIMEOUT: Duration = Duration::from_secs(10);
        let until = Instant::now() + RECORD_TIMEOUT;
        loop {
            let missing = self.testbed.unrecorded();
            if missing == 0 {
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(format!("{missing} refusals have no record in the platform"));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until all running entries serve the newest version that any of them serves;
    /// fails after [`VERSION_TIMEOUT`].
    async fn converged(&self) -> Result<(), String> {
        let entries: Vec<usize> = self.testbed.entries.keys().copied().collect();
        let newest = entries.iter().map(|e| self.testbed.version_at(*e)).max();
        self.version(newest.unwrap_or(0), &entries).await
    }

    /// Waits until an entry lists `count` entries, itself included. Fails after a
    /// timeout, or if the entry is not running.
    async fn members(&self, entry: usize, count: usize) -> Result<(), String> {
        /// Time within which a crash or a restart must be detected.
        const DETECTION_TIMEOUT: Duration = Duration::from_secs(10);
        let until = Instant::now() + DETECTION_TIMEOUT;
        loop {
            let list = self.entry(entry)?.tier.entries(None).entries;
            if list.len() == count {
                return Ok(());
            }
            if Instant::now() >= until {
                let own = self.testbed.member(entry);
                return Err(format!("{own} lists {} entries, not {count}", list.len()));
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Edits the organisation's settings through an entry: sets the rate limit in requests
/// per second. `expected` is the version to replace, `id` identifies the edit.
async fn put(
    tier: &chestnut_tier::Tier,
    rate: u64,
    expected: Option<u64>,
    id: String,
) -> Result<chestnut_tier::EditReply, EditError> {
    let key = ObjectKey {
        kind: ObjectKind::Organisation,
        name: ORG.to_owned(),
    };
    tier.edit(key, organisation(rate), expected, id).await
}

/// Fails unless the outcome of a query is the expected one; a refusal without an
/// expected reason matches any.
fn check_outcome(reply: &Reply, expected: &Expected) -> Result<(), String> {
    match (reply, expected) {
        (_, Expected::Any) => Ok(()),
        (Reply::Answer(answer), Expected::Complete) if answer.coverage.is_complete() => Ok(()),
        (Reply::Answer(answer), Expected::Partial) if !answer.coverage.is_complete() => Ok(()),
        (Reply::Refused(refusal), Expected::Refused(reason)) => {
            let code = refusal.reason.as_str();
            match reason {
                Some(reason) if reason != code => Err(format!("refused for {code}: {refusal:?}")),
                _ => Ok(()),
            }
        }
        (Reply::Answer(a), _) => Err(format!("{expected:?} was expected: {:?}", a.coverage)),
        (Reply::Refused(refusal), _) => {
            let (reason, detail) = (refusal.reason, &refusal.detail);
            Err(format!(
                "{expected:?} was expected: refused for {reason}, {detail}"
            ))
        }
    }
}
