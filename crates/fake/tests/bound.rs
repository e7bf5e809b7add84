//! Upper bound on what any routing policy could serve.

use chestnut_fake::bound::{FlowModel, RequestClass, ShardGroup, Span};
use rstest::rstest;

fn model(least: f64, span: Span) -> FlowModel {
    let class = RequestClass {
        rate: 100.0,
        work: 10.0,
        goal: 100.0,
        least,
        worth: 1.0,
    };
    FlowModel {
        part: 0.2,
        slack: 0.0,
        classes: vec![class],
        spans: vec![span],
    }
}

const HEALTHY: ShardGroup = ShardGroup {
    count: 10,
    slots: 2.0,
    sound: 3.0,
    faulty: 0.0,
    fails: 0.0,
    slow: 0.0,
    times: 1.0,
};

fn span(shards: Vec<ShardGroup>) -> Span {
    Span {
        name: "s".to_owned(),
        length: 2.0,
        dark: 0.0,
        load: 1.0,
        shards,
    }
}

fn group(count: u32, sound: f64, faulty: f64, fails: f64) -> ShardGroup {
    ShardGroup {
        count,
        sound,
        faulty,
        fails,
        ..HEALTHY
    }
}

/// Guards against a bound that ignores leaf capacity, minimum coverage or the budget
/// for extra calls: with 0.6 of calls refused, 1.2 calls per request answer 0.48.
#[rstest]
#[case::healthy(0.9, vec![HEALTHY], 1.0)]
#[case::one_shard_lost(0.9, vec![group(9, 3.0, 0.0, 0.0), group(1, 0.0, 0.0, 0.0)], 0.81)]
#[case::lost_shard_needed(1.0, vec![group(9, 3.0, 0.0, 0.0), group(1, 0.0, 0.0, 0.0)], 0.0)]
#[case::one_healthy_leaf_each(0.9, vec![group(10, 1.0, 2.0, 0.6)], 1.0)]
#[case::all_refuse(1.0, vec![group(10, 0.0, 3.0, 0.6)], 0.48)]
#[case::half_the_capacity(1.0, vec![group(10, 0.25, 0.0, 0.0)], 0.5)]
fn the_bound_follows_from_the_capacity_of_the_leafs(
    #[case] least: f64,
    #[case] shards: Vec<ShardGroup>,
    #[case] expected: f64,
) {
    let rows = model(least, span(shards)).bounds();
    assert!((rows[0].bound - expected).abs() < 0.01, "{rows:?}");
}

/// Guards against counting requests that arrive while no entry runs.
#[test]
fn requests_arriving_while_no_entry_runs_are_lost() {
    let outage = Span {
        dark: 1.5,
        ..span(vec![HEALTHY])
    };
    let rows = model(0.9, outage).bounds();
    assert!((rows[0].bound - 0.25).abs() < 1e-9, "{rows:?}");
}

/// Guards against counting answers that come after the latency objective.
#[test]
fn leafs_slower_than_the_objective_add_nothing() {
    let slow = |times| ShardGroup {
        sound: 0.0,
        slow: 3.0,
        times,
        ..HEALTHY
    };
    let bound = |times| model(1.0, span(vec![slow(times)])).bounds()[0].bound;
    assert!((bound(5.0) - 1.0).abs() < 1e-9);
    assert!(bound(11.0).abs() < 1e-9);
}
