//! Regression tests of routing, budgets, limits and connection pools.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use chestnut_conf::OrgLimits;
use chestnut_route::{
    Action, Backend, Budget, BudgetId, Choice, Context, End, Failure, Ix, Limit, OrgLimiters,
    PartialReason, Pick, Pool, Query, QueryConfig, Refusal, RequestStats, Route, Routes, Table,
    TableConfig, Versions, choose_replica,
};
use chestnut_unit::{
    IndexVersion, LeafId, OrgName, Rate, ServiceName, ShardName, Share, Snapshot, Time,
};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use rstest::rstest;

const V1: IndexVersion = IndexVersion(1);

fn leafs(table: &mut Table, count: usize) -> Vec<Ix> {
    let add = |n| {
        table.add(
            Backend::Leaf(LeafId::new(format!("l{n}")).unwrap()),
            5,
            Time::ZERO,
        )
    };
    (0..count).map(add).collect()
}

fn one_shard(replicas: Vec<Ix>, version: IndexVersion) -> Routes {
    Routes {
        snapshot: Snapshot {
            service: ServiceName::new("ladder").unwrap(),
            version,
        },
        shards: vec![Route {
            name: ShardName::new("s0").unwrap(),
            replicas,
            budget: BudgetId::default(),
        }],
    }
}

/// A query over one shard whose calls the test answers.
struct OneShard {
    table: Table,
    rng: ChaCha8Rng,
    actions: Vec<Action>,
    query: Query<()>,
}

impl OneShard {
    fn start(table: Table, replicas: Vec<Ix>, now: Time) -> Self {
        Self::start_over(table, one_shard(replicas, V1), now)
    }

    fn start_over(mut table: Table, routes: Routes, now: Time) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut actions = Vec::new();
        let config = QueryConfig::new(now + Duration::from_secs(1), Share::FULL);
        let mut cx = Context {
            table: &mut table,
            now,
            rng: &mut rng,
            actions: &mut actions,
        };
        let query = Query::start(Arc::new(routes), None, config, &mut cx);
        Self {
            table,
            rng,
            actions,
            query,
        }
    }

    /// Passes an event to the query; returns the resulting actions.
    fn event(
        &mut self,
        now: Time,
        event: impl FnOnce(&mut Query<()>, &mut Context<'_>),
    ) -> Vec<Action> {
        let mut cx = Context {
            table: &mut self.table,
            now,
            rng: &mut self.rng,
            actions: &mut self.actions,
        };
        event(&mut self.query, &mut cx);
        std::mem::take(&mut self.actions)
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Guards against postponing a hedge by a whole delay when the service's delay
/// rises after the call was sent.
#[test]
fn a_rising_delay_does_not_postpone_a_hedge() {
    let mut table = Table::new(TableConfig::default());
    let replicas = leafs(&mut table, 3);
    for n in 0..200 {
        table.answered(replicas[n % 3], Duration::from_millis(4), at(n as u64));
    }
    let mut one = OneShard::start(table, replicas.clone(), at(1000));
    one.actions.clear();
    let due = one.query.next_tick();
    for _ in 0..64 {
        let span = Duration::from_millis(9);
        one.table.answered(replicas[0], span, at(1001));
    }
    let asked = one.event(due, |query, cx| query.tick(cx));
    assert!(matches!(asked[..], [Action::Call { .. }]), "{asked:?}");
}

/// Guards against a shard waiting for its deadline when all its replicas were
/// called over silent connections: it is retried once over new ones.
#[test]
fn a_shard_with_only_silent_connections_is_retried() {
    let mut table = Table::new(TableConfig::default());
    let replicas = leafs(&mut table, 1);
    let mut one = OneShard::start(table, replicas, at(1));
    let Action::Call { call, .. } = one.actions.remove(0) else {
        panic!("no call");
    };
    let asked = one.event(at(2), |q, cx| q.fail(call, Failure::ConnectionSilent, cx));
    assert_eq!(one.query.end(), None);
    assert!(matches!(asked[..], [Action::Call { .. }]), "{asked:?}");
}

/// Guards against a query that can't be completed waiting for its deadline.
#[test]
fn a_query_that_cannot_complete_ends_at_once() {
    let mut table = Table::new(TableConfig::default());
    let replicas = leafs(&mut table, 3);
    let mut one = OneShard::start(table, replicas, at(1));
    let mut asked = std::mem::take(&mut one.actions);
    while one.query.end().is_none() {
        let Some(Action::Call { call, .. }) = asked.pop() else {
            panic!("neither a call nor the end");
        };
        let refusal = Failure::Refused(Refusal::NoSnapshot);
        asked = one.event(at(2), |query, cx| query.fail(call, refusal, cx));
    }
    assert_eq!(
        one.query.end(),
        Some(End::Partial(PartialReason::SnapshotLost))
    );
    assert!(one.query.not_run().is_some());
}

/// Guards against pinning a new version while one of its shards has no open
/// back end.
#[test]
fn a_version_without_a_live_replica_is_not_pinned() {
    let mut table = Table::new(TableConfig::default());
    let replicas = leafs(&mut table, 2);
    let mut versions = Versions::default();
    versions.insert(one_shard(vec![replicas[0]], V1));
    versions.insert(one_shard(vec![replicas[1]], IndexVersion(2)));
    let pinned = |table: &Table| versions.pin(table, at(5)).unwrap().snapshot.version;
    assert_eq!(pinned(&table), IndexVersion(2));
    table.mark_missing(replicas[1], IndexVersion(2), at(1));
    assert_eq!(pinned(&table), V1);
}

/// Guards against evicting all replicas of a shard.
#[test]
fn eviction_never_empties_a_shard() {
    let mut table = Table::new(TableConfig::default());
    let replicas = leafs(&mut table, 3);
    for ix in &replicas {
        for _ in 0..5 {
            table.sent(*ix, Time::ZERO);
            table.failed(*ix, Failure::Lost, at(10));
        }
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut chosen = BTreeSet::new();
    for _ in 0..50 {
        chosen.insert(choose_replica(
            &mut table,
            &replicas,
            &[],
            V1,
            at(11),
            &mut rng,
        ));
    }
    assert!(!chosen.contains(&None));
    assert!(!table.take_evictions().is_empty());
}

/// Guards against choosing a replica that is leaving, lacks the snapshot or was
/// already tried.
#[rstest]
fn closed_replicas_are_never_chosen(
    #[values(
        Choice::RoundRobin,
        Choice::LeastOutstanding,
        Choice::PowerOfTwo,
        Choice::PeakEwma,
        Choice::Predicted,
        Choice::Damped
    )]
    choice: Choice,
) {
    let mut table = Table::new(TableConfig {
        choice,
        ..TableConfig::default()
    });
    let replicas = leafs(&mut table, 4);
    table.set_leaving(replicas[0], true, at(1));
    table.mark_missing(replicas[1], V1, at(1));
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..100 {
        let tried = [replicas[2]];
        let chosen = choose_replica(&mut table, &replicas, &tried, V1, at(2), &mut rng);
        assert_eq!(chosen, Some(replicas[3]));
    }
}

/// Guards against more extra calls than the share of first calls plus the
/// burst.
#[test]
fn a_budget_bounds_extra_calls() {
    let mut budget = Budget::new(Share::from_permille(30), 10);
    let mut spent = 0;
    for _ in 0..1000 {
        budget.earn(1);
        while budget.spend() {
            spent += 1;
        }
    }
    assert!((30..=40).contains(&spent), "{spent}");
}

/// Guards against refusing callers while slots are idle: stragglers raise the
/// mean duration, which must not be taken for saturation.
#[test]
fn stragglers_do_not_lower_the_concurrency_limit() {
    let mut limit = Limit::new(16);
    let mut seen = 0;
    for number in 0..4000u64 {
        let now = at(5 * number);
        let straggles = number > 400 && number.is_multiple_of(10);
        let stats = RequestStats {
            span: Duration::from_millis(if straggles { 120 } else { 8 }),
            ..RequestStats::default()
        };
        limit.record(stats, limit.get(), now);
        if number > 3000 {
            seen = seen.max(limit.get());
        }
    }
    assert!(seen >= 8, "{seen}");
}

/// Guards against a budget of 0% still allowing the burst.
#[test]
fn a_zero_budget_allows_no_extra_calls() {
    let mut budget = Budget::new(Share::from_permille(0), 64);
    budget.earn(1000);
    assert!(!budget.spend());
}

/// Guards against further use of a connection that answers no calls, and
/// against closing it when it answers a probe.
#[test]
fn a_quiet_connection_is_avoided_but_kept_open() {
    let mut pool = Pool::new(1, 1);
    let Pick::Open(first) = pool.pick(at(0)) else {
        panic!("expected to open a connection");
    };
    pool.opened(first);
    pool.sent(first, at(0));
    assert_eq!(pool.check(at(10)), None);
    let second = pool.check(at(100)).expect("a second connection");
    pool.opened(second);
    assert_eq!(pool.quiet(at(100)), vec![first]);
    assert_eq!(pool.pick(at(100)), Pick::Use(second));
    pool.probe_answered(first, at(101));
    assert!(pool.quiet(at(102)).is_empty());
    assert_eq!(pool.len(), 2);
}

/// Guards against entries together admitting more or less than an
/// organisation's limit.
#[test]
fn an_organisation_gets_its_limit_across_entries() {
    let limits = OrgLimits {
        rate: Rate(70),
        flight: 700,
    };
    let org = OrgName::new("galway").unwrap();
    let mut passed = 0;
    for _ in 0..7 {
        let mut limiters = OrgLimiters::default();
        for ms in 0..10_000 {
            if limiters.admit(&org, &limits, 7, at(ms)).is_ok() {
                passed += 1;
                limiters.release(&org);
            }
        }
    }
    assert!((700..=800).contains(&passed), "{passed}");
}

/// Guards against avoiding a healthy back end after a single straggler. Only a
/// table configured for back ends that pause avoids one after a late call.
#[test]
fn one_late_call_does_not_exclude_its_back_end() {
    let chosen = |stall_backoff| {
        let config = TableConfig {
            stall_backoff,
            choice: Choice::LeastOutstanding,
            ..TableConfig::default()
        };
        let mut table = Table::new(config);
        let replicas = leafs(&mut table, 2);
        table.sent(replicas[1], Time::ZERO);
        table.stalled(replicas[0], at(10));
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        choose_replica(&mut table, &replicas, &[], V1, at(11), &mut rng) == Some(replicas[0])
    };
    assert!(chosen(Duration::ZERO));
    assert!(!chosen(Duration::from_millis(250)));
}

/// Guards against calling a suspected back end while others are merely in
/// backoff after a refused or late call.
#[test]
fn a_back_end_in_backoff_is_preferred_to_a_suspected_one() {
    let config = TableConfig {
        stall_backoff: Duration::from_millis(250),
        ..TableConfig::default()
    };
    let mut table = Table::new(config);
    let replicas = leafs(&mut table, 3);
    table.set_suspected(replicas[0], true);
    table.sent(replicas[1], Time::ZERO);
    table.failed(replicas[1], Failure::Refused(Refusal::Shed), at(10));
    table.stalled(replicas[2], at(10));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..50 {
        let chosen = choose_replica(&mut table, &replicas, &[], V1, at(11), &mut rng);
        assert_ne!(chosen, Some(replicas[0]));
    }
    let others = &replicas[1..];
    let chosen = choose_replica(&mut table, &replicas, others, V1, at(11), &mut rng);
    assert_eq!(chosen, Some(replicas[0]));
}

/// Guards against traffic between failure domains without need, and against
/// overloading the local domain to avoid it.
#[rstest]
#[case::idle(0, true)]
#[case::one_call(1, true)]
#[case::two_calls(2, false)]
fn a_local_back_end_is_preferred_until_two_calls_are_in_flight(
    #[case] calls: u32,
    #[case] local: bool,
) {
    let config = TableConfig {
        choice: Choice::Predicted,
        ..TableConfig::default()
    };
    let mut table = Table::new(config);
    table.add_class();
    let replicas = leafs(&mut table, 2);
    table.set_remote(replicas[1], true);
    for _ in 0..calls {
        table.sent(replicas[0], Time::ZERO);
    }
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let chosen = choose_replica(&mut table, &replicas, &[], V1, at(1), &mut rng);
        assert_eq!(chosen == Some(replicas[0]), local);
    }
}

/// Guards against one shed call for several shards being retried as many calls.
#[test]
fn shards_that_were_shed_together_are_called_together() {
    let mut table = Table::new(TableConfig::default());
    let replicas = leafs(&mut table, 1);
    let mut routes = one_shard(replicas.clone(), V1);
    let second = ShardName::new("s1").unwrap();
    routes.shards.push(Route {
        name: second,
        ..routes.shards[0].clone()
    });
    let mut one = OneShard::start_over(table, routes, at(1));
    let calls = std::mem::take(&mut one.actions);
    let [Action::Call { call, shards, .. }] = &calls[..] else {
        panic!("{calls:?}");
    };
    assert_eq!(shards.len(), 2);
    let shed = Failure::Refused(Refusal::Shed);
    let call = *call;
    let mut again = one.event(at(2), |query, cx| query.fail(call, shed, cx));
    again.extend(one.event(at(10), |query, cx| query.tick(cx)));
    let [Action::Call { shards, .. }] = &again[..] else {
        panic!("{again:?}");
    };
    assert_eq!(shards.len(), 2);
}

/// Guards against preferring a local leaf that refuses most calls to a busy
/// healthy one in another failure domain.
#[test]
fn a_leaf_that_refuses_most_calls_is_worse_than_a_busy_one() {
    let config = TableConfig {
        choice: Choice::Predicted,
        ..TableConfig::default()
    };
    let mut table = Table::new(config);
    let mut add = |name: &str| {
        let leaf = LeafId::new(name).unwrap();
        table.add(Backend::Leaf(leaf), 2, Time::ZERO)
    };
    let (local, remote) = (add("local"), add("remote"));
    table.set_remote(remote, true);
    let call = Duration::from_millis(11);
    let mut now = Time::ZERO;
    for n in 0..100 {
        now = now + Duration::from_millis(30);
        table.sent(local, now);
        match n % 5 {
            0..=2 => table.failed(local, Failure::Refused(Refusal::Shed), now),
            _ => table.answered(local, call, now),
        }
        table.sent(remote, now);
        table.answered(remote, call, now);
    }
    now = now + Duration::from_millis(30);
    table.sent(remote, now);
    table.sent(remote, now);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let chosen = choose_replica(&mut table, &[local, remote], &[], V1, now, &mut rng);
    assert_eq!(chosen, Some(remote));
}
