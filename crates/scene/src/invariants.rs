//! Invariants of the service, checked on every answer and refusal.

use std::collections::{BTreeMap, BTreeSet};

use chestnut_tier::{Answer, Refusal};
use chestnut_unit::Execution;
use serde_json::Value;

/// Outcome of a query as its caller sees it: an answer, complete or partial, or a
/// refusal.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// The query was answered.
    Answer(Box<Answer>),
    /// The query was refused.
    Refused(Box<Refusal>),
}

/// Violations of invariants, counts of the checked outcomes, and the queries,
/// receipts and versions seen so far, which later checks need.
#[derive(Clone, Debug, Default)]
pub struct CheckReport {
    /// Descriptions of the violations found so far.
    pub violations: Vec<String>,
    /// Number of answers checked.
    pub answers: u64,
    /// Number of refusals checked.
    pub refusals: u64,
    /// Numbers of the queries whose refusal says that they did not run.
    not_run: BTreeSet<u64>,
    /// Receipts of all refusals; a receipt identifies the record of a refusal.
    pub(crate) receipts: BTreeSet<String>,
    /// Newest version of the settings seen at each entry.
    versions: BTreeMap<usize, u64>,
}

impl CheckReport {
    /// Counts and checks the outcome of query `number`: the rows and coverage of an
    /// answer, the receipt of a refusal. Violations are added to the report.
    pub(crate) fn check(&mut self, number: u64, reply: &Reply) {
        match reply {
            Reply::Answer(answer) => {
                self.answers += 1;
                self.check_answer(number, answer);
            }
            Reply::Refused(refusal) => {
                self.refusals += 1;
                if refusal.execution == Execution::NotRun {
                    self.not_run.insert(number);
                }
                if refusal.receipt.is_empty() {
                    self.violations.push(format!("query {number}: no receipt"));
                }
                self.receipts.insert(refusal.receipt.clone());
            }
        }
    }

    /// Checks that all rows are of one snapshot (index version) and of this
    /// query, and that the stated coverage matches them.
    fn check_answer(&mut self, number: u64, answer: &Answer) {
        let rows: Vec<Value> = serde_json::from_slice(&answer.rows).unwrap_or_default();
        let version = answer.snapshot.version.0;
        let mut shards = BTreeSet::new();
        for row in &rows {
            if row["version"] != version {
                let text = format!("query {number}: a row of another snapshot: {row}");
                self.violations.push(text);
            }
            if row["number"] != number {
                let text = format!("query {number}: a row of another query: {row}");
                self.violations.push(text);
            }
            let shard = row["shard"].as_str().unwrap_or_default().to_owned();
            if !shards.insert(shard) {
                let text = format!("query {number}: two rows of the same shard: {row}");
                self.violations.push(text);
            }
        }
        let coverage = &answer.coverage;
        let exact = coverage.answered == shards.len()
            && coverage.missing.len() + shards.len() == coverage.asked
            && !coverage
                .missing
                .iter()
                .any(|name| shards.contains(name.as_str()));
        if !exact {
            let text = format!("query {number}: coverage {coverage:?} for rows of {shards:?}");
            self.violations.push(text);
        }
    }

    /// Records the version that an entry serves; it must not decrease.
    pub(crate) fn check_version(&mut self, entry: usize, version: u64) {
        let seen = self.versions.entry(entry).or_default();
        if version < *seen {
            let text = format!("entry {entry} reverted from version {seen} to {version}");
            self.violations.push(text);
        }
        *seen = version.max(*seen);
    }

    /// Clears the version recorded for an entry: a new incarnation may start
    /// without settings.
    pub(crate) fn forget_version(&mut self, entry: usize) {
        self.versions.remove(&entry);
    }

    /// Checks at the end that no leaf ran a query whose refusal says "not run".
    pub(crate) fn check_not_run(&mut self, ran: &BTreeSet<u64>) {
        for number in self.not_run.intersection(ran) {
            let text =
                format!("query {number} ran at a leaf, but its refusal says that it did not run");
            self.violations.push(text);
        }
    }
}
