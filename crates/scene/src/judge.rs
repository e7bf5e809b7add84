//! What must always hold, judged on every answer.

use std::collections::{BTreeMap, BTreeSet};

use chestnut_tier::{Answer, Refusal};
use chestnut_unit::Execution;
use serde_json::Value;

/// What a caller was told.
#[derive(Clone, Debug)]
pub(crate) enum Told {
    /// An answer to query `number`.
    Answer(Box<Answer>),
    /// A refusal.
    Refused(Box<Refusal>),
}

/// Violations found so far.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// What did not hold, in words.
    pub wrong: Vec<String>,
    /// Answers judged.
    pub answers: u64,
    /// Refusals judged.
    pub refusals: u64,
    not_run: BTreeSet<u64>,
    pub(crate) receipts: BTreeSet<String>,
    versions: BTreeMap<usize, u64>,
}

impl Verdict {
    /// Judges what the caller of query `number` was told.
    pub(crate) fn judge(&mut self, number: u64, told: &Told) {
        match told {
            Told::Answer(answer) => {
                self.answers += 1;
                self.judge_answer(number, answer);
            }
            Told::Refused(refusal) => {
                self.refusals += 1;
                if refusal.execution == Execution::NotRun {
                    self.not_run.insert(number);
                }
                if refusal.receipt.is_empty() {
                    self.wrong.push(format!("query {number}: no receipt"));
                }
                self.receipts.insert(refusal.receipt.clone());
            }
        }
    }

    /// One snapshot, exact coverage, and the caller's own rows.
    fn judge_answer(&mut self, number: u64, answer: &Answer) {
        let rows: Vec<Value> = serde_json::from_slice(&answer.rows).unwrap_or_default();
        let version = answer.snapshot.version.0;
        let mut shards = BTreeSet::new();
        for row in &rows {
            if row["version"] != version {
                let text = format!("query {number}: a row of another snapshot: {row}");
                self.wrong.push(text);
            }
            if row["number"] != number {
                let text = format!("query {number}: a row of another request: {row}");
                self.wrong.push(text);
            }
            let shard = row["shard"].as_str().unwrap_or_default().to_owned();
            if !shards.insert(shard) {
                let text = format!("query {number}: a shard counted twice: {row}");
                self.wrong.push(text);
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
            self.wrong.push(text);
        }
    }

    /// Notes the version that an entry has in force; it must not go back.
    pub(crate) fn in_force(&mut self, entry: usize, version: u64) {
        let seen = self.versions.entry(entry).or_default();
        if version < *seen {
            let text = format!("entry {entry} went back from version {seen} to {version}");
            self.wrong.push(text);
        }
        *seen = version.max(*seen);
    }

    /// A new life of an entry may start with nothing, but not serve old
    /// settings once it has had newer ones.
    pub(crate) fn new_life(&mut self, entry: usize) {
        self.versions.remove(&entry);
    }

    /// Judges at the end which queries that were told "not run" a leaf ran.
    pub(crate) fn judge_ledger(&mut self, ran: &BTreeSet<u64>) {
        for number in self.not_run.intersection(ran) {
            let text = format!("query {number} was told not run, and a leaf ran it");
            self.wrong.push(text);
        }
    }
}
