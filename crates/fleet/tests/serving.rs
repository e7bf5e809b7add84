//! Tests for the selection of serving entries.

use std::time::Duration;

use chestnut_fleet::{Candidate, DelayedDecrease, serving_entries};
use chestnut_unit::Time;
use rstest::rstest;

fn identical(count: usize, weight: u32, load: u32) -> impl Iterator<Item = (u32, u32)> {
    std::iter::repeat_n((weight, load), count)
}

fn candidates(members: impl Iterator<Item = (u32, u32)>) -> Vec<Candidate<usize>> {
    let candidate = |(id, (weight, load))| Candidate {
        id,
        weight,
        load,
        local: true,
    };
    members.enumerate().map(candidate).collect()
}

fn serving_count(members: impl Iterator<Item = (u32, u32)>) -> usize {
    serving_entries(&candidates(members), 0, 0).len()
}

/// Guards against weak members serving callers, which makes requests over many shards
/// slow, while strong ones have capacity for twice the load.
#[rstest]
#[case::calm(3_000, 6)]
#[case::half_full(12_000, 6)]
#[case::more_than_half(18_000, 71)]
fn strong_members_serve_up_to_half_of_their_capacity(#[case] load: u32, #[case] expected: usize) {
    let strong = identical(6, 4_000, load / 6);
    assert_eq!(serving_count(strong.chain(identical(65, 660, 0))), expected);
}

/// Guards against leaving out members that are as strong as the others.
#[test]
fn equal_members_all_serve() {
    assert_eq!(serving_count(identical(7, 2_900, 40)), 7);
    assert_eq!(serving_count(identical(1, 2_900, 40)), 1);
    assert_eq!(serving_count(identical(0, 0, 0)), 0);
}

/// Guards against a single strong member serving all callers, so that its loss
/// disconnects them all.
#[test]
fn several_members_serve_even_if_one_has_capacity_for_all() {
    let members = identical(1, 40_000, 100)
        .chain(identical(2, 3_000, 0))
        .chain(identical(9, 700, 0));
    assert_eq!(serving_count(members), 12);
}

/// Guards against spreading a small load over so many members that none makes enough
/// calls to estimate the latency of the leafs.
#[rstest]
#[case::few_requests(27, 270, 5)]
#[case::some(50, 270, 10)]
#[case::many(200, 270, 17)]
fn equal_members_serve_while_each_has_enough_samples(
    #[case] load: u32,
    #[case] leafs: usize,
    #[case] expected: usize,
) {
    let candidates = candidates(identical(17, 750, load));
    assert_eq!(serving_entries(&candidates, leafs, 0).len(), expected);
}

/// Guards against taking idle traffic, such as health checks, for the expected load and
/// choosing too few serving entries.
#[rstest]
#[case::few(17, 6)]
#[case::some(80, 10)]
#[case::hundreds(280, 16)]
fn idle_traffic_keeps_a_baseline_of_serving_entries(
    #[case] members: usize,
    #[case] expected: usize,
) {
    let mut candidates = candidates(identical(members, 750, 0));
    candidates[0].load = 30;
    assert_eq!(serving_entries(&candidates, 270, 0).len(), expected);
}

/// Guards against members without local leafs serving callers, and sending every call to
/// another failure domain, while others have capacity.
#[rstest]
#[case::calm(400, 6)]
#[case::loaded(1_300, 7)]
fn members_without_local_leafs_serve_only_what_others_cannot(
    #[case] load: u32,
    #[case] expected: usize,
) {
    let mut candidates = candidates(identical(10, 4_000, load));
    for candidate in &mut candidates[..4] {
        candidate.local = false;
    }
    let serving = serving_entries(&candidates, 0, 0);
    assert_eq!(serving.len(), expected);
    assert!((4..10).all(|id| serving.contains(&id)));
}

/// Guards against dropping serving entries while a load rises and callers still hold
/// their address.
#[test]
fn serving_entries_stay_for_a_while_when_fewer_are_wanted() {
    let mut delayed = DelayedDecrease::default();
    let at = |seconds| Time::ZERO + Duration::from_secs(seconds);
    assert_eq!(delayed.update(15, at(1)), 15);
    assert_eq!(delayed.update(4, at(3)), 15);
    assert_eq!(delayed.update(15, at(8)), 15);
    assert_eq!(delayed.update(4, at(9)), 15);
    assert_eq!(delayed.update(4, at(18)), 4);
    assert_eq!(delayed.update(6, at(19)), 6);
    let few = candidates(identical(17, 750, 27));
    assert_eq!(serving_entries(&few, 270, delayed.count()).len(), 6);
}
