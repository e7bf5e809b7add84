//! Which leafs are called, as their entries come, change, lapse and go.

use std::time::Duration;

use chestnut_relay::{LeafEntry, LeafState, Leafs, Moved};
use chestnut_unit::{Incarnation, LeafId, ServiceName, Time};
use rstest::rstest;

const LINGER: Duration = Duration::from_millis(1200);
const LAPSE: Duration = Duration::from_millis(2200);

fn id(name: &str) -> LeafId {
    LeafId::new(name).unwrap()
}

fn entry(state: LeafState) -> LeafEntry {
    LeafEntry {
        service: ServiceName::new("archive").unwrap(),
        address: "10.1.0.1:1".parse().unwrap(),
        domain: "dub-a".parse().unwrap(),
        slots: 5,
        state,
        warmup: Duration::ZERO,
        life: None,
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn ready(names: &[&str]) -> Vec<(LeafId, LeafEntry)> {
    names
        .iter()
        .map(|name| (id(name), entry(LeafState::Ready)))
        .collect()
}

/// Callers find no leaf after an outage of the store, though all leafs live.
/// The store dropped their entries while it was away and lists none at its
/// return; they come back within two seconds. Until then they stay callable.
#[test]
fn leafs_that_lapsed_stay_until_they_are_back() {
    let (mut leafs, mut out) = (Leafs::new(LAPSE, LINGER), Vec::new());
    leafs.listed(ready(&["a", "b"]), at(0), &mut out);
    out.clear();
    leafs.listed(Vec::new(), at(10_000), &mut out);
    assert_eq!(out, [Moved::Missing(id("a")), Moved::Missing(id("b"))]);
    out.clear();
    leafs.changed(id("a"), entry(LeafState::Ready), at(11_500), &mut out);
    assert_eq!(out, [Moved::Came(id("a"), entry(LeafState::Ready))]);
    out.clear();
    leafs.tick(at(12_199), &mut out);
    assert_eq!(out, []);
    leafs.tick(at(12_200), &mut out);
    assert_eq!(out, [Moved::Gone(id("b"))]);
    assert_eq!(leafs.len(), 1);
}

/// A leaf that said that it leaves is gone with its entry, at once.
#[test]
fn a_draining_leaf_does_not_linger() {
    let (mut leafs, mut out) = (Leafs::new(LAPSE, LINGER), Vec::new());
    leafs.changed(id("a"), entry(LeafState::Draining), at(0), &mut out);
    leafs.deleted(&id("a"), at(1), &mut out);
    assert_eq!(out, [Moved::Leaves(id("a")), Moved::Gone(id("a"))]);
    assert!(leafs.is_empty());
}

/// The wait starts anew when the store comes back: until then no entry can.
#[test]
fn the_wait_for_lapsed_entries_counts_from_the_return() {
    let (mut leafs, mut out) = (Leafs::new(LAPSE, LINGER), Vec::new());
    leafs.listed(ready(&["a"]), at(0), &mut out);
    leafs.deleted(&id("a"), at(1_000), &mut out);
    leafs.returned(at(3_000));
    out.clear();
    leafs.tick(at(5_199), &mut out);
    assert_eq!(out, []);
    assert_eq!(leafs.wake(), at(5_200));
}

/// A leaf warms up: its entry changes with every heartbeat, and nothing that
/// the request path acts upon does.
#[test]
fn a_leaf_that_warms_up_is_no_news() {
    let (mut leafs, mut out) = (Leafs::new(LAPSE, LINGER), Vec::new());
    let warming = |ms| LeafEntry {
        warmup: Duration::from_millis(ms),
        ..entry(LeafState::Ready)
    };
    leafs.changed(id("a"), warming(3000), at(0), &mut out);
    out.clear();
    leafs.changed(id("a"), warming(1800), at(0), &mut out);
    leafs.changed(id("a"), warming(0), at(0), &mut out);
    assert_eq!(out, []);
}

/// Callers miss a shard though its leafs serve.
/// All leafs of a shard say that they leave, and the ones that replace them come
/// seconds later. For a while a leaf that leaves is the last choice, and closed
/// well before the time in which it must be left alone.
#[test]
fn a_leaf_that_leaves_is_the_last_choice_for_a_while() {
    let (mut leafs, mut out) = (Leafs::new(LAPSE, LINGER), Vec::new());
    leafs.changed(id("a"), entry(LeafState::Draining), at(500), &mut out);
    assert_eq!(out, [Moved::Leaves(id("a"))]);
    assert_eq!(leafs.wake(), at(1_700));
    out.clear();
    leafs.tick(at(1_699), &mut out);
    assert_eq!(out, []);
    leafs.tick(at(1_700), &mut out);
    leafs.tick(at(1_800), &mut out);
    assert_eq!(out, [Moved::Closed(id("a"))]);
}

fn of_life(life: u64) -> LeafEntry {
    LeafEntry {
        life: Some(Incarnation(life)),
        ..entry(LeafState::Ready)
    }
}

/// Calls go to a process that has ended.
/// A leaf starts again under its id; then a stale list, an event out of order or
/// a peer that is behind shows the life before. Lives are ordered by their
/// start, so the older entry is passed over, also after the leaf has gone.
#[test]
fn an_earlier_life_is_not_brought_back() {
    let (mut leafs, mut out) = (Leafs::new(LAPSE, LINGER), Vec::new());
    leafs.changed(id("a"), of_life(5), at(0), &mut out);
    leafs.changed(id("a"), of_life(9), at(10), &mut out);
    assert_eq!(out[1], Moved::Reborn(id("a"), of_life(9)));
    out.clear();
    leafs.listed(vec![(id("a"), of_life(5))], at(20), &mut out);
    assert_eq!(out, [Moved::Outdated(id("a"))]);
    leafs.deleted(&id("a"), at(30), &mut out);
    leafs.tick(at(30) + LAPSE, &mut out);
    out.clear();
    leafs.changed(id("a"), of_life(5), at(3_000), &mut out);
    assert_eq!(out, [Moved::Outdated(id("a"))]);
    assert!(leafs.is_empty());
}

/// A leaf that said that it leaves gets no calls after it started again.
/// Its mark belongs to the life before.
#[test]
fn a_leaf_that_left_and_starts_again_takes_work() {
    let (mut leafs, mut out) = (Leafs::new(LAPSE, LINGER), Vec::new());
    let leaves = LeafEntry {
        state: LeafState::Draining,
        ..of_life(5)
    };
    leafs.changed(id("a"), leaves, at(0), &mut out);
    leafs.changed(id("a"), of_life(9), at(10), &mut out);
    out.clear();
    leafs.tick(at(10) + LINGER, &mut out);
    assert_eq!(out, []);
}

/// A life that starts by leaving is both: new, and called only as the last one.
#[test]
fn a_new_life_that_leaves_is_told_as_both() {
    let (mut leafs, mut out) = (Leafs::new(LAPSE, LINGER), Vec::new());
    leafs.changed(id("a"), of_life(5), at(0), &mut out);
    out.clear();
    let leaves = LeafEntry {
        state: LeafState::Draining,
        ..of_life(9)
    };
    leafs.changed(id("a"), leaves.clone(), at(10), &mut out);
    assert_eq!(
        out,
        [Moved::Reborn(id("a"), leaves), Moved::Leaves(id("a"))]
    );
}

/// Not every leaf says which life it is in: without that, one at the address
/// that is known is the one that is known, and one elsewhere is not.
#[rstest]
#[case::unknown_before(None, Some(9))]
#[case::unknown_after(Some(5), None)]
#[case::unknown(None, None)]
fn a_life_that_is_not_told_is_known_by_its_address(
    #[case] before: Option<u64>,
    #[case] after: Option<u64>,
) {
    let of = |life: Option<u64>, address: &str| LeafEntry {
        life: life.map(Incarnation),
        address: address.parse().unwrap(),
        ..entry(LeafState::Ready)
    };
    let (mut leafs, mut out) = (Leafs::new(LAPSE, LINGER), Vec::new());
    leafs.changed(id("a"), of(before, "10.1.0.1:1"), at(0), &mut out);
    out.clear();
    leafs.changed(id("a"), of(after, "10.1.0.1:1"), at(1), &mut out);
    let reborn = |moved: &Moved| matches!(moved, Moved::Reborn(..));
    assert!(!out.iter().any(reborn), "{out:?}");
    leafs.changed(id("a"), of(after, "10.1.0.2:1"), at(2), &mut out);
    assert!(out.iter().any(reborn), "{out:?}");
}

/// A life that did not say which it is hides no later one, and no earlier one.
#[test]
fn the_latest_life_is_kept_while_entries_do_not_tell_it() {
    let (mut leafs, mut out) = (Leafs::new(LAPSE, LINGER), Vec::new());
    leafs.changed(id("a"), of_life(5), at(0), &mut out);
    leafs.changed(id("a"), entry(LeafState::Ready), at(1), &mut out);
    out.clear();
    leafs.changed(id("a"), of_life(4), at(2), &mut out);
    leafs.changed(id("a"), of_life(6), at(3), &mut out);
    let expected = [Moved::Outdated(id("a")), Moved::Reborn(id("a"), of_life(6))];
    assert_eq!(out, expected);
}

/// An entry that can't be read names no leaf, at once: it is no lapse.
#[test]
fn a_malformed_entry_names_no_leaf() {
    let (mut leafs, mut out) = (Leafs::new(LAPSE, LINGER), Vec::new());
    leafs.listed(ready(&["a", "b"]), at(0), &mut out);
    out.clear();
    leafs.malformed(&id("a"), &mut out);
    leafs.malformed(&id("never-seen"), &mut out);
    assert_eq!(out, [Moved::Gone(id("a"))]);
    assert_eq!(leafs.len(), 1);
}
