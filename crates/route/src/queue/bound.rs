//! Whether the wait of a query would exceed its bound.

use std::collections::BTreeSet;

use chestnut_unit::Time;

use super::{Demand, Request, meter::Rates};
use crate::Table;

/// Margin on the number of starts that a query waits for, in square roots of that number. Starts
/// vary about as much as random events; without a margin far more refusals come after a wait
/// than may.
const MARGIN: f64 = 1.0;
/// Minimum share of the measured rate that counts for any level, so that the rate of a level
/// that got nothing is measured again.
const LEVEL_SHARE_MIN: f64 = 0.1;

/// Factor on the expected wait, by which refusals after a wait stay rare when starts are more
/// irregular than [`MARGIN`] allows for, for example while back ends are in backoff.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitMargin(f64);

/// Largest factor on the expected wait. A smaller one is not enough where only two or three
/// queries start within the bound.
const FACTOR_MAX: f64 = 4.0;
/// Rise of the factor with a refusal after a wait.
const FACTOR_RISE: f64 = 0.1;
/// Fall of the factor with a refusal on arrival: the factor is steady at one refusal after a wait
/// in 40, half of what is allowed, since starts vary.
const FACTOR_FALL: f64 = FACTOR_RISE / 40.0;

impl Default for WaitMargin {
    fn default() -> Self {
        Self(1.0)
    }
}

impl WaitMargin {
    /// Returns the factor.
    fn factor(self) -> f64 {
        self.0
    }

    /// Records a refusal after a wait.
    pub(super) fn refused_after_wait(&mut self) {
        self.0 = (self.0 + FACTOR_RISE).min(FACTOR_MAX);
    }

    /// Records a refusal on arrival.
    pub(super) fn refused_on_arrival(&mut self) {
        self.0 = (self.0 - FACTOR_FALL).max(1.0);
    }
}

impl Table {
    /// Returns whether a query would wait longer than until its bound, judging by the queries
    /// ahead of it at the shards that it lacks and the rate at which queries have started there.
    pub(super) fn exceeds_wait(
        &self,
        request: &Request,
        lacking: &BTreeSet<usize>,
        now: Time,
    ) -> bool {
        let rank = self.queue.rank(request);
        let services = request.demand.services_at(lacking);
        let (mut before, mut ahead) = (0, 0);
        let mut rates = Rates::default();
        for shape in self.queue.shapes.values() {
            if !shape
                .demand
                .services()
                .any(|service| services.contains(&service))
            {
                continue;
            }
            before += shape.ahead_of_level(rank.level);
            ahead += shape.ahead_at_level(&rank, request.cost);
            let measured = shape.meter.rates(rank.level, now).unwrap_or_default();
            rates.level += measured.level;
            rates.all += measured.all;
        }
        if rates.all <= 0.0 {
            let expected = self.expected_rate(&request.demand, lacking, now);
            rates = Rates {
                level: expected,
                all: expected,
            };
        }
        let bound = request.until.since(now).as_secs_f64();
        expected_wait(before, ahead, rates) * self.queue.margin.factor() > bound
    }

    /// Returns the rate at which queries are expected to start, from windows and expected
    /// durations: that of the shard, among those without capacity, that is needed last.
    fn expected_rate(&self, demand: &Demand, lacking: &BTreeSet<usize>, now: Time) -> f64 {
        let rate = |position: &usize| {
            let replicas = demand.replicas(*position);
            self.drain_rate(demand.class, replicas, demand.version(), now)
        };
        let mut rates: Vec<f64> = lacking.iter().map(rate).collect();
        rates.sort_by(|a, b| b.total_cmp(a));
        let available = demand.shards.len() - lacking.len();
        let last = (demand.needed - available).max(1) - 1;
        rates.get(last).copied().unwrap_or(0.0)
    }
}

/// Returns the expected wait in seconds, with the margin, behind `before` queries of earlier
/// levels and `ahead` of the same level.
fn expected_wait(before: u64, ahead: u64, rates: Rates) -> f64 {
    let own = (ahead + 1) as f64;
    let own = own + MARGIN * (own - 1.0).sqrt();
    before as f64 / rates.all + own / rates.level.max(rates.all * LEVEL_SHARE_MIN)
}
