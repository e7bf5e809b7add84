//! Spending of a small extra-call budget while targets refuse most calls.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use chestnut_route::{
    Action, Backend, Budget, CallId, Context, ExtraBudget, Failure, Query, QueryConfig, Refusal,
    Route, Routes, Table, TableConfig, Timeliness,
};
use chestnut_unit::{IndexVersion, LeafId, ServiceName, ShardName, Share, Snapshot, Time};
use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use rstest::rstest;

const VERSION: IndexVersion = IndexVersion(0);
const SHARDS: usize = 10;
const REPLICAS: usize = 3;
const OBJECTIVE: Duration = Duration::from_millis(90);
const DEADLINE: Duration = Duration::from_millis(600);
/// Durations of an executed call and of a refused one.
const RUN_TIME: Duration = Duration::from_millis(11);
const REFUSAL_TIME: Duration = Duration::from_millis(2);
const WINDOW: Duration = Duration::from_secs(10);
/// Time between two queries: one entry's share of the load.
const INTERVAL: Duration = Duration::from_millis(33);
const QUERIES: usize = 600;

/// Budget of one shard's service: a share of the first calls plus one entry's share of
/// the quota.
fn shard_budget() -> ExtraBudget {
    let mut budget = Budget::empty(Share::from_permille(200), 1);
    budget.set_quota(52.0 / 6.0, WINDOW);
    ExtraBudget::Joint(budget)
}

/// Creates a table and shards with a budget each.
fn shards() -> (Table, Arc<Routes>) {
    let mut table = Table::new(TableConfig::default());
    let shards = (0..SHARDS).map(|shard| Route {
        name: ShardName::new(format!("s{shard}")).unwrap(),
        replicas: (0..REPLICAS)
            .map(|n| {
                let leaf = LeafId::new(format!("s{shard}-{n}")).unwrap();
                table.add(Backend::Leaf(leaf), 2, Time::ZERO)
            })
            .collect(),
        budget: table.add_budget(shard_budget()),
    });
    let shards = shards.collect();
    let snapshot = Snapshot {
        service: ServiceName::new("ladder").unwrap(),
        version: VERSION,
    };
    (table, Arc::new(Routes { snapshot, shards }))
}

/// The end of a call.
struct CallEnd {
    query: usize,
    call: CallId,
    shard: usize,
    refused: bool,
}

struct Simulation {
    table: Table,
    routes: Arc<Routes>,
    rng: ChaCha8Rng,
    /// Probability that a leaf refuses a call.
    refuse: f64,
    queries: BTreeMap<usize, (Query<()>, Time)>,
    call_ends: BTreeMap<(Time, u64), CallEnd>,
    calls: u64,
    credit: f64,
}

impl Simulation {
    fn new(seed: u64, refuse: f64) -> Self {
        let (table, routes) = shards();
        Self {
            table,
            routes,
            rng: ChaCha8Rng::seed_from_u64(seed),
            refuse,
            queries: BTreeMap::new(),
            call_ends: BTreeMap::new(),
            calls: 0,
            credit: 0.0,
        }
    }

    fn start_query(&mut self, number: usize, min_coverage: Share, now: Time) {
        let config = QueryConfig {
            objective: now + OBJECTIVE,
            ..QueryConfig::new(now + DEADLINE, min_coverage)
        };
        let mut actions = Vec::new();
        let mut cx = Context {
            table: &mut self.table,
            now,
            rng: &mut self.rng,
            actions: &mut actions,
        };
        let query = Query::start(self.routes.clone(), None, config, &mut cx);
        self.queries.insert(number, (query, now));
        self.apply(number, actions, now);
    }

    fn event(
        &mut self,
        number: usize,
        now: Time,
        event: impl FnOnce(&mut Query<()>, &mut Context<'_>),
    ) {
        let Some((query, _)) = self.queries.get_mut(&number) else {
            return;
        };
        let mut actions = Vec::new();
        let mut cx = Context {
            table: &mut self.table,
            now,
            rng: &mut self.rng,
            actions: &mut actions,
        };
        event(query, &mut cx);
        self.apply(number, actions, now);
    }

    /// Schedules the calls that a query requests, and removes the query if it has
    /// ended.
    fn apply(&mut self, number: usize, actions: Vec<Action>, now: Time) {
        for action in actions {
            let Action::Call { call, shards, .. } = action else {
                continue;
            };
            let refused = self.rng.random_bool(self.refuse);
            let at = now + if refused { REFUSAL_TIME } else { RUN_TIME };
            let call_end = CallEnd {
                query: number,
                call,
                shard: shards[0],
                refused,
            };
            self.calls += 1;
            self.call_ends.insert((at, self.calls), call_end);
        }
        let query = self.queries.get(&number);
        if query.is_some_and(|(query, _)| query.end().is_some()) {
            let (query, start) = self.queries.remove(&number).expect("just seen");
            self.add_credit(&query, now.since(start));
        }
    }

    /// Adds the square of the coverage for an answer in time that has the minimum
    /// coverage.
    fn add_credit(&mut self, query: &Query<()>, span: Duration) {
        let answered = query.coverage().answered;
        if answered * 10 >= SHARDS * 9 && span <= OBJECTIVE {
            self.credit += (answered as f64 / SHARDS as f64).powi(2);
        }
    }

    /// Processes all events up to `until`.
    fn run_until(&mut self, until: Time) {
        loop {
            let call_end = self.call_ends.keys().next().map(|(at, _)| *at);
            let next_tick = self
                .queries
                .values()
                .map(|(query, _)| query.next_tick())
                .min();
            let next = call_end
                .unwrap_or(Time::MAX)
                .min(next_tick.unwrap_or(Time::MAX));
            if next > until {
                return;
            }
            if call_end == Some(next) {
                let (_, call_end) = self.call_ends.pop_first().expect("just seen");
                self.end(call_end, next);
                continue;
            }
            let due: VecDeque<usize> = self.queries.keys().copied().collect();
            for number in due {
                let is_due = self
                    .queries
                    .get(&number)
                    .is_some_and(|(q, _)| q.next_tick() <= next);
                if is_due {
                    self.event(number, next, Query::tick);
                }
            }
        }
    }

    fn end(&mut self, call_end: CallEnd, now: Time) {
        let CallEnd { query, call, .. } = call_end;
        match call_end.refused {
            true => self.event(query, now, |query, cx| {
                query.fail(call, Failure::Refused(Refusal::Shed), cx);
            }),
            false => self.event(query, now, |query, cx| {
                query.answer(call, VERSION, vec![(call_end.shard, ())], cx);
            }),
        }
    }
}

/// Returns the mean credit of queries over ten shards with a minimum coverage of nine.
fn credit(seed: u64, refuse: f64) -> f64 {
    let mut simulation = Simulation::new(seed, refuse);
    for number in 0..QUERIES {
        let now = Time::ZERO + INTERVAL * number as u32;
        simulation.run_until(now);
        simulation.start_query(number, Share::from_permille(890), now);
    }
    simulation.run_until(Time::ZERO + INTERVAL * QUERIES as u32 + DEADLINE);
    simulation.credit / QUERIES as f64
}

/// Guards against spending a scarce budget on queries that stay below their minimum
/// coverage anyway.
#[rstest]
#[case::none(0.0, 0.99)]
#[case::a_third(0.3, 0.54)]
#[case::nearly_half(0.45, 0.17)]
fn extra_calls_prefer_answers_they_complete(#[case] refuse: f64, #[case] least: f64) {
    let mean = (1..=5).map(|seed| credit(seed, refuse)).sum::<f64>() / 5.0;
    assert!(mean >= least, "{mean:.3} at {refuse}");
}

/// Guards against a query that is late anyway taking the last extra calls from those
/// still in time.
#[test]
fn a_late_query_gets_no_extra_call_from_a_low_budget() {
    let (mut table, routes) = shards();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut actions = Vec::new();
    let mut retried = |timeliness| {
        let now = Time::ZERO + Duration::from_secs(1);
        let mut cx = Context {
            table: &mut table,
            now,
            rng: &mut rng,
            actions: &mut actions,
        };
        let config = QueryConfig {
            objective: now + OBJECTIVE,
            timeliness,
            ..QueryConfig::new(now + DEADLINE, Share::from_permille(890))
        };
        // Budget of the first shard: not quite three of the four calls that it can
        // save.
        *cx.table.budget_mut(routes.shards[0].budget) = {
            let mut budget = shard_budget();
            budget.earn(11);
            budget
        };
        let mut query: Query<()> = Query::start(routes.clone(), None, config, &mut cx);
        let calls: Vec<CallId> = cx
            .actions
            .iter()
            .filter_map(|action| match action {
                Action::Call { call, shards, .. } if shards[0] == 0 => Some(*call),
                _ => None,
            })
            .collect();
        cx.actions.clear();
        query.fail(calls[0], Failure::Refused(Refusal::Shed), &mut cx);
        let retried = !cx.actions.is_empty();
        cx.actions.clear();
        query.cancel_all(&mut cx);
        cx.actions.clear();
        retried
    };
    assert!(retried(Timeliness::InTime));
    assert!(!retried(Timeliness::Late));
}

/// Guards against a query waiting for several shards without budget until its caller's
/// retry is late too. For one such shard it waits, to keep the other shards' work.
#[rstest]
#[case::one(1, false)]
#[case::two(2, true)]
#[case::three(3, true)]
fn a_query_lacking_several_shards_ends_while_the_caller_can_retry(
    #[case] refused: usize,
    #[case] ends: bool,
) {
    let (mut table, routes) = shards();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut actions = Vec::new();
    let start = Time::ZERO + Duration::from_secs(1);
    let mut cx = Context {
        table: &mut table,
        now: start,
        rng: &mut rng,
        actions: &mut actions,
    };
    let config = QueryConfig {
        objective: start + OBJECTIVE,
        ..QueryConfig::new(start + DEADLINE, Share::FULL)
    };
    let mut query: Query<()> = Query::start(routes, None, config, &mut cx);
    let calls: Vec<CallId> = cx
        .actions
        .iter()
        .filter_map(|action| match action {
            Action::Call { call, .. } => Some(*call),
            Action::Cancel(_) => None,
        })
        .collect();
    cx.now = start + REFUSAL_TIME;
    for call in &calls[..refused] {
        query.fail(*call, Failure::Refused(Refusal::Shed), &mut cx);
    }
    // After a backoff, in which a slot may be freed, they are checked once more.
    cx.now = query.next_tick();
    query.tick(&mut cx);
    assert_eq!(query.end().is_some(), ends, "{:?}", query.end());
    assert!(cx.now < start + OBJECTIVE / 4);
}
