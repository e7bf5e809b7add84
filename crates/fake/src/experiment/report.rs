//! What an experiment found, as tables and plots.

use std::{collections::BTreeMap, path::Path};

use chestnut_unit::{Reason, Urgency};
use hdrhistogram::Histogram;

use super::{Condition, Policy, Shape, simulate};
use crate::{Series, plot_lines};

/// What came of the queries of one urgency.
#[derive(Clone, Debug)]
pub struct UrgencyOutcome {
    /// Queries that arrived.
    pub arrived: u64,
    /// Whole answers.
    pub whole: u64,
    /// Microseconds of whole answers.
    pub latency: Histogram<u32>,
}

/// What came of one run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// By urgency.
    pub urgencies: BTreeMap<Urgency, UrgencyOutcome>,
    /// Microseconds of all whole answers.
    pub latency: Histogram<u32>,
    /// Queries that arrived.
    pub arrived: u64,
    /// Whole answers.
    pub whole: u64,
    /// Answers or refusals of which some shards were missing.
    pub short: u64,
    /// Sum over queries that ran of the share of shards that answered.
    pub covered: f64,
    /// Queries that ran.
    pub ran: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Microseconds from arrival to refusal of refused queries.
    pub refusal: Histogram<u32>,
    /// First calls, and extra ones, to leafs.
    pub first: u64,
    /// Hedges.
    pub hedges: u64,
    /// Retries.
    pub retries: u64,
    /// Shards asked.
    pub shards: u64,
    /// Connections opened after the start.
    pub opened: u64,
    /// Most connections of all entries to one leaf.
    pub peak: usize,
    /// Connections that a leaf accepts.
    pub limit: usize,
    /// Evictions.
    pub evictions: u64,
    /// Answers that cover the least share, where that is asked for.
    pub served: u64,
    /// Those that came within the goal.
    pub in_time: u64,
    /// What all answers are worth together: of each the square of the share of
    /// shards that are in, and a part of that if it is late.
    pub credit: f64,
    /// Calls of requests that were served.
    pub useful: u64,
    /// Calls of attempts that were not served.
    pub wasted: u64,
    /// Queries answered per second, as a share of what the slots can serve.
    pub goodput: f64,
}

impl Outcome {
    pub(super) fn new(limit: usize) -> Self {
        let empty = || Histogram::new_with_max(MAX_US, 3).expect("constant bounds");
        let of = |urgency| {
            let outcome = UrgencyOutcome {
                arrived: 0,
                whole: 0,
                latency: empty(),
            };
            (urgency, outcome)
        };
        Self {
            urgencies: Urgency::ALL.into_iter().map(of).collect(),
            latency: empty(),
            arrived: 0,
            whole: 0,
            short: 0,
            covered: 0.0,
            ran: 0,
            refused: BTreeMap::new(),
            refusal: empty(),
            first: 0,
            hedges: 0,
            retries: 0,
            shards: 0,
            opened: 0,
            peak: 0,
            limit,
            evictions: 0,
            served: 0,
            in_time: 0,
            credit: 0.0,
            useful: 0,
            wasted: 0,
            goodput: 0.0,
        }
    }

    /// Milliseconds of whole answers at a quantile.
    #[must_use]
    pub fn ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Milliseconds of whole answers of one urgency at a quantile.
    #[must_use]
    pub fn urgency_ms(&self, urgency: Urgency, quantile: f64) -> f64 {
        self.urgencies[&urgency].latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Share of the queries of one urgency that got a whole answer.
    #[must_use]
    pub fn urgency_whole(&self, urgency: Urgency) -> f64 {
        let outcome = &self.urgencies[&urgency];
        outcome.whole as f64 / outcome.arrived.max(1) as f64
    }

    /// Extra leaf calls for each shard asked.
    #[must_use]
    pub fn extra(&self) -> f64 {
        (self.hedges + self.retries) as f64 / self.shards.max(1) as f64
    }

    /// Share of queries with a whole answer.
    #[must_use]
    pub fn complete(&self) -> f64 {
        self.whole as f64 / self.arrived.max(1) as f64
    }
}

pub(super) const MAX_US: u64 = 60_000_000;

fn row(policy: &str, condition: &str, o: &Outcome) -> String {
    let refused: u64 = o.refused.values().sum();
    format!(
        "| {condition} | {policy} | {:.1} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {:.2} | {:.2} | \
         {refused} | {} | {}/{} | {} | {:.2} |",
        o.ms(0.5),
        o.ms(0.99),
        o.ms(0.999),
        o.urgency_ms(Urgency::Now, 0.99),
        o.urgency_whole(Urgency::Now) * 100.0,
        o.complete() * 100.0,
        o.covered / o.ran.max(1) as f64 * 100.0,
        o.extra() * 100.0,
        o.opened,
        o.peak,
        o.limit,
        o.evictions,
        o.goodput,
    )
}

const HEAD: &str = "| condition | policy | p50 ms | p99 | p99.9 | p99 now | now % | complete % | \
                    coverage % | extra % | refused | opened | peak conns | evicted | goodput |\n\
                    |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Runs every policy under every condition that `only` names (all if it names
/// none), prints the table, and plots the 99th percentiles.
///
/// # Errors
///
/// The plot can't be written.
pub fn run_table(
    shape: &Shape,
    policies: &[Policy],
    conditions: &[Condition],
    seed: u64,
    plot: Option<&Path>,
) -> Result<(), String> {
    println!("{HEAD}");
    let mut series: Vec<Series> = Vec::new();
    for policy in policies {
        let mut points = Vec::new();
        for (number, condition) in conditions.iter().enumerate() {
            let outcome = simulate(shape, policy, condition, seed);
            println!("{}", row(policy.name, condition.name, &outcome));
            points.push((number as f64, outcome.ms(0.99)));
        }
        series.push(Series {
            name: policy.name.to_owned(),
            points,
        });
    }
    match plot {
        None => Ok(()),
        Some(path) => plot_lines(
            path,
            "99th percentile of whole answers",
            ("condition, in the order of the table", "ms"),
            &series,
        ),
    }
}
