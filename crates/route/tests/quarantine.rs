//! Queries whose request may crash the back ends that run it (quarantine).

use std::sync::Arc;

use chestnut_route::{
    Action, Backend, BudgetId, CallId, Context, End, Failure, Ix, Query, QueryConfig, Refusal,
    Route, Routes, Table, TableConfig, Trust,
};
use chestnut_unit::{IndexVersion, LeafId, ServiceName, ShardName, Share, Snapshot, Time};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use rstest::rstest;

const VERSION: IndexVersion = IndexVersion(1);
const SHARDS: usize = 10;
const REPLICAS: usize = 3;

/// A query over ten shards of three leafs each; the test answers its calls.
struct Search {
    table: Table,
    rng: ChaCha8Rng,
    query: Query<()>,
    /// Outstanding calls: id, shards asked and back end.
    outstanding: Vec<(CallId, Vec<usize>, Ix)>,
    /// Number of calls made.
    made: usize,
}

impl Search {
    fn start(trust: Trust) -> Self {
        let mut table = Table::new(TableConfig::default());
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let shards = (0..SHARDS).map(|shard| Route {
            name: ShardName::new(format!("s{shard}")).unwrap(),
            replicas: (0..REPLICAS)
                .map(|n| {
                    let leaf = LeafId::new(format!("s{shard}-{n}")).unwrap();
                    table.add(Backend::Leaf(leaf), 5, Time::ZERO)
                })
                .collect(),
            budget: BudgetId::default(),
        });
        let routes = Routes {
            snapshot: Snapshot {
                service: ServiceName::new("ladder").unwrap(),
                version: VERSION,
            },
            shards: shards.collect(),
        };
        let config = QueryConfig {
            trust,
            ..QueryConfig::new(at(2000), Share::from_permille(800))
        };
        let mut actions = Vec::new();
        let mut cx = Context {
            table: &mut table,
            now: at(0),
            rng: &mut rng,
            actions: &mut actions,
        };
        let query = Query::start(Arc::new(routes), None, config, &mut cx);
        let mut search = Self {
            table,
            rng,
            query,
            outstanding: Vec::new(),
            made: 0,
        };
        search.apply(actions);
        search
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call {
                    call, to, shards, ..
                } => {
                    self.made += 1;
                    self.outstanding.push((call, shards, to));
                }
                Action::Cancel(call) => self.outstanding.retain(|(id, ..)| *id != call),
            }
        }
    }

    fn event(&mut self, ms: u64, event: impl FnOnce(&mut Query<()>, &mut Context<'_>)) {
        let mut actions = Vec::new();
        let mut cx = Context {
            table: &mut self.table,
            now: at(ms),
            rng: &mut self.rng,
            actions: &mut actions,
        };
        event(&mut self.query, &mut cx);
        self.apply(actions);
    }

    fn fail(&mut self, ms: u64, failure: Failure) {
        let (call, ..) = self.outstanding.remove(0);
        self.event(ms, |query, cx| query.fail(call, failure, cx));
    }

    fn answer(&mut self, ms: u64) {
        let (call, shards, _) = self.outstanding.remove(0);
        let parts = shards.into_iter().map(|shard| (shard, ())).collect();
        self.event(ms, |query, cx| query.answer(call, VERSION, parts, cx));
    }

    /// Advances time to `ms`, ticking the query every five milliseconds.
    fn advance(&mut self, from: u64, ms: u64) {
        for now in (from..ms).step_by(5) {
            self.event(now, |query, cx| query.tick(cx));
        }
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A request known to crash leafs must not crash one of every shard: it makes a single
/// call, without hedge or retry.
#[test]
fn a_trial_makes_a_single_call() {
    let mut search = Search::start(Trust::Suspected);
    assert_eq!(search.made, 1);
    search.advance(0, 500);
    assert_eq!(search.made, 1);
    search.fail(500, Failure::Lost);
    assert_eq!(search.made, 1);
    assert!(matches!(search.query.end(), Some(End::Partial(_))));
    assert!(search.query.not_run().is_none(), "it may have run");
}

/// A harmless request under suspicion must still get a whole answer once its trial call
/// is answered.
#[test]
fn an_answered_trial_continues_with_all_shards() {
    let mut search = Search::start(Trust::Suspected);
    search.answer(10);
    assert_eq!(search.made, SHARDS);
    while !search.outstanding.is_empty() {
        search.answer(20);
    }
    assert_eq!(search.query.end(), Some(End::Complete));
}

/// A trial call that nothing ran must move to another shard instead of failing the query;
/// the first shard may still answer later.
#[rstest]
#[case::not_sent(Failure::NotSent)]
#[case::shed(Failure::Refused(Refusal::Shed))]
fn a_trial_that_ran_nowhere_moves_to_the_next_shard(#[case] failure: Failure) {
    let mut search = Search::start(Trust::Suspected);
    let mut now = 1;
    let first_shard = |search: &Search| search.outstanding.first().map(|(_, shards, _)| shards[0]);
    while first_shard(&search).is_none_or(|shard| shard == 0) {
        assert!(search.query.end().is_none(), "ended at {now} ms");
        match search.outstanding.is_empty() {
            true => search.event(now, |query, cx| query.tick(cx)),
            false => search.fail(now, failure),
        }
        now += 5;
        assert!(now < 500, "stuck with the first shard");
    }
    search.answer(now);
    while !search.outstanding.is_empty() && search.query.end().is_none() {
        search.answer(now + 10);
    }
    assert!(search.query.coverage().answered >= SHARDS - 1);
}

/// A request that no leaf accepted must be reported as not run, not as unknown.
#[test]
fn a_trial_that_no_leaf_accepted_is_not_run() {
    let mut search = Search::start(Trust::Suspected);
    let mut now = 1;
    while search.query.end().is_none() {
        match search.outstanding.is_empty() {
            true => search.event(now, |query, cx| query.tick(cx)),
            false => search.fail(now, Failure::NotSent),
        }
        now += 5;
    }
    assert!(search.query.not_run().is_some());
    assert!(now < 1000, "not ended until {now} ms");
}

/// An unknown request that crashes leafs must not crash every replica: after three lost
/// calls, retries wait for a first answer.
#[test]
fn lost_calls_are_not_retried_before_a_first_answer() {
    let mut search = Search::start(Trust::Trusted);
    while !search.outstanding.is_empty() {
        search.fail(10, Failure::Lost);
    }
    assert!(matches!(search.query.end(), Some(End::Partial(_))));
    assert!(search.made <= SHARDS + 2, "{} calls", search.made);
}

/// When leafs fail for another reason, calls lost before the first answer must be retried
/// after it.
#[test]
fn lost_calls_are_retried_after_the_first_answer() {
    let mut search = Search::start(Trust::Trusted);
    for _ in 0..5 {
        search.fail(10, Failure::Lost);
    }
    assert_eq!(search.made, SHARDS + 2);
    search.answer(11);
    assert_eq!(search.made, SHARDS + 5);
    while !search.outstanding.is_empty() {
        search.answer(20);
    }
    assert_eq!(search.query.end(), Some(End::Complete));
}
