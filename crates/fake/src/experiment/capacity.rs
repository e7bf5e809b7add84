//! Comparison of concurrency limits where some shards have little capacity.

use std::path::Path;

use super::{Topology, capacity_conditions, capacity_policies, simulate};
use crate::{Series, plot_lines};

/// Results of one policy under one condition, over several seeds.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityRow {
    /// Name of the condition.
    pub condition: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Utility per arrived request, from 0 to 1: minimum, mean and maximum over
    /// the seeds.
    pub credit: (f64, f64, f64),
    /// Share of the requests answered within the latency objective.
    pub in_time: f64,
    /// Share of the requests answered with the minimum coverage.
    pub served: f64,
    /// Share of the calls made by attempts that were not served.
    pub wasted: f64,
}

/// Simulates every policy under every condition, with seeds 1 to `seeds`.
#[must_use]
pub fn run_capacity(topology: &Topology, seeds: u64) -> Vec<CapacityRow> {
    let mut rows = Vec::new();
    for condition in capacity_conditions() {
        for policy in capacity_policies() {
            let runs = (1..=seeds).map(|seed| simulate(topology, &policy, &condition, seed));
            let runs: Vec<_> = runs.collect();
            let sum = |of: fn(&super::Outcome) -> u64| runs.iter().map(of).sum::<u64>() as f64;
            let arrived = sum(|o| o.arrived).max(1.0);
            let credits = runs.iter().map(|o| o.credit / o.arrived.max(1) as f64);
            let calls = sum(|o| o.useful_calls + o.wasted_calls).max(1.0);
            rows.push(CapacityRow {
                condition: condition.name,
                policy: policy.name,
                credit: (
                    credits.clone().fold(f64::INFINITY, f64::min),
                    credits.clone().sum::<f64>() / seeds.max(1) as f64,
                    credits.fold(0.0, f64::max),
                ),
                in_time: sum(|o| o.in_time) / arrived,
                served: sum(|o| o.served) / arrived,
                wasted: sum(|o| o.wasted_calls) / calls,
            });
        }
    }
    rows
}

/// Plots the mean credit of each policy over the conditions, in their order.
///
/// # Errors
///
/// The file can't be written, or there are no rows.
pub fn plot_capacity(path: &Path, rows: &[CapacityRow]) -> Result<(), String> {
    let conditions: Vec<&str> = capacity_conditions().iter().map(|c| c.name).collect();
    let number = |name: &str| conditions.iter().position(|c| *c == name).unwrap_or(0);
    let series: Vec<Series> = capacity_policies()
        .iter()
        .map(|policy| Series {
            name: policy.name.to_owned(),
            points: rows
                .iter()
                .filter(|row| row.policy == policy.name)
                .map(|row| (number(row.condition) as f64 + 1.0, row.credit.1))
                .collect(),
        })
        .collect();
    let title = format!("Credit by condition: {}", conditions.join("; "));
    plot_lines(path, &title, ("condition", "credit"), &series)
}
