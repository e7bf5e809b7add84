//! Results of experiments, as tables and plots.

use std::{collections::BTreeMap, path::Path};

use chestnut_unit::{Reason, Urgency};
use hdrhistogram::Histogram;

use super::{Condition, Policy, Topology, simulate};
use crate::{Series, plot_lines};

/// Results of the queries of one urgency.
#[derive(Clone, Debug)]
pub struct UrgencyOutcome {
    /// Queries that arrived.
    pub arrived: u64,
    /// Queries answered by all shards.
    pub completed: u64,
    /// Latency of complete answers, in microseconds.
    pub latency: Histogram<u32>,
}

/// Results of one run: counts of queries, calls and connections, latencies and utility.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Results by urgency.
    pub urgencies: BTreeMap<Urgency, UrgencyOutcome>,
    /// Latency of all complete answers, in microseconds.
    pub latency: Histogram<u32>,
    /// Queries that arrived.
    pub arrived: u64,
    /// Queries answered by all shards.
    pub completed: u64,
    /// Queries that ran and ended without some shards.
    pub partial: u64,
    /// Sum of coverage (share of shards that answered) over queries that ran.
    pub coverage_sum: f64,
    /// Queries that ran.
    pub executed: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Time from arrival to refusal, in microseconds.
    pub refusal_latency: Histogram<u32>,
    /// First calls of shards to leafs.
    pub first: u64,
    /// Hedged calls.
    pub hedges: u64,
    /// Retried calls.
    pub retries: u64,
    /// Shards queried, summed over queries.
    pub shards: u64,
    /// Connections opened after the warm-up.
    pub connections_opened: u64,
    /// Peak number of connections from all entries to one leaf.
    pub peak_connections: usize,
    /// Limit of connections to a leaf.
    pub connection_limit: usize,
    /// Outlier ejections of leafs.
    pub evictions: u64,
    /// Answers with at least the minimum coverage; counted only if the topology has
    /// a latency objective.
    pub served: u64,
    /// Served answers within the latency objective.
    pub in_time: u64,
    /// Utility of all served answers: the square of each answer's coverage,
    /// discounted if it is late.
    pub credit: f64,
    /// Calls made by attempts that were served.
    pub useful_calls: u64,
    /// Calls made by attempts that were not served.
    pub wasted_calls: u64,
    /// Complete answers per second as a share of the capacity.
    pub goodput: f64,
}

impl Outcome {
    /// Returns empty results for leafs that accept `connection_limit` connections.
    pub(super) fn new(connection_limit: usize) -> Self {
        let empty = || Histogram::new_with_max(MAX_LATENCY_US, 3).expect("constant bounds");
        let of = |urgency| {
            let outcome = UrgencyOutcome {
                arrived: 0,
                completed: 0,
                latency: empty(),
            };
            (urgency, outcome)
        };
        Self {
            urgencies: Urgency::ALL.into_iter().map(of).collect(),
            latency: empty(),
            arrived: 0,
            completed: 0,
            partial: 0,
            coverage_sum: 0.0,
            executed: 0,
            refused: BTreeMap::new(),
            refusal_latency: empty(),
            first: 0,
            hedges: 0,
            retries: 0,
            shards: 0,
            connections_opened: 0,
            peak_connections: 0,
            connection_limit,
            evictions: 0,
            served: 0,
            in_time: 0,
            credit: 0.0,
            useful_calls: 0,
            wasted_calls: 0,
            goodput: 0.0,
        }
    }

    /// Returns the latency of complete answers at a quantile, in milliseconds.
    #[must_use]
    pub fn ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the latency at a quantile for one urgency, in milliseconds.
    #[must_use]
    pub fn urgency_ms(&self, urgency: Urgency, quantile: f64) -> f64 {
        self.urgencies[&urgency].latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the share of the queries of one urgency answered by all shards.
    #[must_use]
    pub fn urgency_complete(&self, urgency: Urgency) -> f64 {
        let outcome = &self.urgencies[&urgency];
        outcome.completed as f64 / outcome.arrived.max(1) as f64
    }

    /// Returns the extra calls (hedges and retries) per shard queried.
    #[must_use]
    pub fn extra(&self) -> f64 {
        (self.hedges + self.retries) as f64 / self.shards.max(1) as f64
    }

    /// Returns the share of queries answered by all shards.
    #[must_use]
    pub fn complete(&self) -> f64 {
        self.completed as f64 / self.arrived.max(1) as f64
    }
}

/// Largest latency recorded, in microseconds; longer ones count as this.
pub(super) const MAX_LATENCY_US: u64 = 60_000_000;

/// Formats the results of one run as a row of the table.
fn table_row(policy: &str, condition: &str, o: &Outcome) -> String {
    let refused: u64 = o.refused.values().sum();
    format!(
        "| {condition} | {policy} | {:.1} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {:.2} | {:.2} | \
         {refused} | {} | {}/{} | {} | {:.2} |",
        o.ms(0.5),
        o.ms(0.99),
        o.ms(0.999),
        o.urgency_ms(Urgency::Now, 0.99),
        o.urgency_complete(Urgency::Now) * 100.0,
        o.complete() * 100.0,
        o.coverage_sum / o.executed.max(1) as f64 * 100.0,
        o.extra() * 100.0,
        o.connections_opened,
        o.peak_connections,
        o.connection_limit,
        o.evictions,
        o.goodput,
    )
}

/// Header of the table that [`run_table`] prints.
const HEADER: &str = "| condition | policy | p50 ms | p99 | p99.9 | p99 now | now % | complete % | \
                    coverage % | extra % | refused | opened | peak conns | evicted | goodput |\n\
                    |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Runs every policy under every condition, prints the table, and plots the 99th
/// percentiles if `plot` names a file.
///
/// # Errors
///
/// The plot can't be written.
pub fn run_table(
    topology: &Topology,
    policies: &[Policy],
    conditions: &[Condition],
    seed: u64,
    plot: Option<&Path>,
) -> Result<(), String> {
    println!("{HEADER}");
    let mut series: Vec<Series> = Vec::new();
    for policy in policies {
        let mut points = Vec::new();
        for (number, condition) in conditions.iter().enumerate() {
            let outcome = simulate(topology, policy, condition, seed);
            println!("{}", table_row(policy.name, condition.name, &outcome));
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
