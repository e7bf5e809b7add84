//! Queries whose request may end the back ends that run it.

use std::sync::Arc;

use chestnut_route::{
    Action, Backend, CallId, Context, End, Failure, Ix, PurseId, Query, QueryConfig, Refusal,
    Route, Routes, Table, TableConfig, Trust,
};
use chestnut_unit::{IndexVersion, LeafId, ServiceName, ShardName, Share, Snapshot, Time};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use rstest::rstest;

const VERSION: IndexVersion = IndexVersion(1);
const SHARDS: usize = 10;
const REPLICAS: usize = 3;

/// A search over ten shards of three leafs each, whose calls are answered by hand.
struct Search {
    table: Table,
    rng: ChaCha8Rng,
    query: Query<()>,
    /// Calls under way: what they ask, and whom.
    live: Vec<(CallId, Vec<usize>, Ix)>,
    /// Calls made so far.
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
            purse: PurseId::default(),
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
        let mut out = Vec::new();
        let mut cx = Context {
            table: &mut table,
            now: at(0),
            rng: &mut rng,
            out: &mut out,
        };
        let query = Query::start(Arc::new(routes), None, config, &mut cx);
        let mut search = Self {
            table,
            rng,
            query,
            live: Vec::new(),
            made: 0,
        };
        search.take(out);
        search
    }

    fn take(&mut self, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Call {
                    call, to, shards, ..
                } => {
                    self.made += 1;
                    self.live.push((call, shards, to));
                }
                Action::Cancel(call) => self.live.retain(|(id, ..)| *id != call),
            }
        }
    }

    fn event(&mut self, ms: u64, event: impl FnOnce(&mut Query<()>, &mut Context<'_>)) {
        let mut out = Vec::new();
        let mut cx = Context {
            table: &mut self.table,
            now: at(ms),
            rng: &mut self.rng,
            out: &mut out,
        };
        event(&mut self.query, &mut cx);
        self.take(out);
    }

    fn fail(&mut self, ms: u64, failure: Failure) {
        let (call, ..) = self.live.remove(0);
        self.event(ms, |query, cx| query.fail(call, failure, cx));
    }

    fn answer(&mut self, ms: u64) {
        let (call, shards, _) = self.live.remove(0);
        let parts = shards.into_iter().map(|shard| (shard, ())).collect();
        self.event(ms, |query, cx| query.answer(call, VERSION, parts, cx));
    }

    /// Lets time pass until `ms`, with a look each five milliseconds.
    fn pass(&mut self, from: u64, ms: u64) {
        for now in (from..ms).step_by(5) {
            self.event(now, |query, cx| query.tick(cx));
        }
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Leafs of every shard would end under a request that is known to end them.
/// It gets one call, however late that is, and no other when that is lost.
#[test]
fn a_trial_costs_one_leaf() {
    let mut search = Search::start(Trust::Trial);
    assert_eq!(search.made, 1);
    search.pass(0, 500);
    assert_eq!(search.made, 1);
    search.fail(500, Failure::Lost);
    assert_eq!(search.made, 1);
    assert!(matches!(search.query.end(), Some(End::Partial(_))));
    assert!(search.query.not_run().is_none(), "it may have run");
}

/// The caller of a harmless request, under which leafs ended for another reason, gets a
/// whole answer all the same, one call later.
#[test]
fn a_trial_that_is_answered_goes_on() {
    let mut search = Search::start(Trust::Trial);
    search.answer(10);
    assert_eq!(search.made, SHARDS);
    while !search.live.is_empty() {
        search.answer(20);
    }
    assert_eq!(search.query.end(), Some(End::Whole));
}

/// The caller would be refused though other shards could run the trial.
/// The leafs of the first shard are gone or full: nothing ran, so the next shard is
/// asked, and the shard that came first may still answer at the end.
#[rstest]
#[case::gone(Failure::NotSent)]
#[case::full(Failure::Refused(Refusal::Shed))]
fn a_trial_moves_on_from_leafs_that_run_nothing(#[case] failure: Failure) {
    let mut search = Search::start(Trust::Trial);
    let mut now = 1;
    let tried = |search: &Search| search.live.first().map(|(_, shards, _)| shards[0]);
    while tried(&search).is_none_or(|shard| shard == 0) {
        assert!(search.query.end().is_none(), "ended at {now} ms");
        match search.live.is_empty() {
            true => search.event(now, |query, cx| query.tick(cx)),
            false => search.fail(now, failure),
        }
        now += 5;
        assert!(now < 500, "stuck with the first shard");
    }
    search.answer(now);
    while !search.live.is_empty() && search.query.end().is_none() {
        search.answer(now + 10);
    }
    assert!(search.query.coverage().answered >= SHARDS - 1);
}

/// The caller would hear "unknown" of what no leaf ran.
#[test]
fn a_trial_that_no_leaf_took_did_not_run() {
    let mut search = Search::start(Trust::Trial);
    let mut now = 1;
    while search.query.end().is_none() {
        match search.live.is_empty() {
            true => search.event(now, |query, cx| query.tick(cx)),
            false => search.fail(now, Failure::NotSent),
        }
        now += 5;
    }
    assert!(search.query.not_run().is_some());
    assert!(now < 1000, "held until {now} ms");
}

/// Thirty leafs end under one try of a request of which nothing is known yet, as each call
/// that is lost is made good at the next leaf of its shard.
/// Once three calls are lost and none is answered, the others wait for an answer.
#[test]
fn what_no_leaf_has_answered_gets_no_further_leafs() {
    let mut search = Search::start(Trust::Full);
    while !search.live.is_empty() {
        search.fail(10, Failure::Lost);
    }
    assert!(matches!(search.query.end(), Some(End::Partial(_))));
    assert!(search.made <= SHARDS + 2, "{} calls", search.made);
}

/// The caller's answer lacks shards when leafs end for another reason.
/// Three calls are lost before the first is answered; they are made good as soon as it is.
#[test]
fn lost_calls_are_made_good_after_the_first_answer() {
    let mut search = Search::start(Trust::Full);
    for _ in 0..5 {
        search.fail(10, Failure::Lost);
    }
    assert_eq!(search.made, SHARDS + 2);
    search.answer(11);
    assert_eq!(search.made, SHARDS + 5);
    while !search.live.is_empty() {
        search.answer(20);
    }
    assert_eq!(search.query.end(), Some(End::Whole));
}
