//! Leafs that may be called as their entries appear, change, expire and are deleted.

use std::time::Duration;

use chestnut_relay::{LeafChange, LeafRegistration, LeafState, Leafs};
use chestnut_unit::{Incarnation, LeafId, ServiceName, Time};
use rstest::rstest;

/// Time for which a draining leaf may still be called.
const DRAIN_WAIT: Duration = Duration::from_millis(1200);
/// Time for which a leaf without an entry may still be called.
const EXPIRY_WAIT: Duration = Duration::from_millis(2200);

fn id(name: &str) -> LeafId {
    LeafId::new(name).unwrap()
}

fn entry(state: LeafState) -> LeafRegistration {
    LeafRegistration {
        service: ServiceName::new("archive").unwrap(),
        address: "10.1.0.1:1".parse().unwrap(),
        domain: "dub-a".parse().unwrap(),
        slots: 5,
        state,
        warmup: Duration::ZERO,
        incarnation: None,
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn ready(names: &[&str]) -> Vec<(LeafId, LeafRegistration)> {
    names
        .iter()
        .map(|name| (id(name), entry(LeafState::Ready)))
        .collect()
}

/// Guards against having no leaf to call after an outage in which the store expired the
/// entries of leafs that are still running.
#[test]
fn expired_leafs_stay_callable_until_they_return() {
    let (mut leafs, mut out) = (Leafs::new(EXPIRY_WAIT, DRAIN_WAIT), Vec::new());
    leafs.listed(ready(&["a", "b"]), at(0), &mut out);
    out.clear();
    leafs.listed(Vec::new(), at(10_000), &mut out);
    assert_eq!(
        out,
        [LeafChange::Missing(id("a")), LeafChange::Missing(id("b"))]
    );
    out.clear();
    leafs.changed(id("a"), entry(LeafState::Ready), at(11_500), &mut out);
    assert_eq!(out, [LeafChange::Updated(id("a"), entry(LeafState::Ready))]);
    out.clear();
    leafs.tick(at(12_199), &mut out);
    assert_eq!(out, []);
    leafs.tick(at(12_200), &mut out);
    assert_eq!(out, [LeafChange::Removed(id("b"))]);
    assert_eq!(leafs.len(), 1);
}

/// Guards against calls to a draining leaf after it has deleted its entry.
#[test]
fn draining_leaf_is_gone_with_its_entry() {
    let (mut leafs, mut out) = (Leafs::new(EXPIRY_WAIT, DRAIN_WAIT), Vec::new());
    leafs.changed(id("a"), entry(LeafState::Draining), at(0), &mut out);
    leafs.deleted(&id("a"), at(1), &mut out);
    assert_eq!(
        out,
        [LeafChange::Draining(id("a")), LeafChange::Removed(id("a"))]
    );
    assert!(leafs.is_empty());
}

/// Guards against dropping leafs before they could renew their entries after an outage.
#[test]
fn expiry_wait_restarts_when_the_store_returns() {
    let (mut leafs, mut out) = (Leafs::new(EXPIRY_WAIT, DRAIN_WAIT), Vec::new());
    leafs.listed(ready(&["a"]), at(0), &mut out);
    leafs.deleted(&id("a"), at(1_000), &mut out);
    leafs.restart_timeouts(at(3_000));
    out.clear();
    leafs.tick(at(5_199), &mut out);
    assert_eq!(out, []);
    assert_eq!(leafs.wake(), at(5_200));
}

/// Guards against reporting a change on every heartbeat while a leaf warms up.
#[test]
fn warmup_progress_is_not_a_change() {
    let (mut leafs, mut out) = (Leafs::new(EXPIRY_WAIT, DRAIN_WAIT), Vec::new());
    let warming = |ms| LeafRegistration {
        warmup: Duration::from_millis(ms),
        ..entry(LeafState::Ready)
    };
    leafs.changed(id("a"), warming(3000), at(0), &mut out);
    out.clear();
    leafs.changed(id("a"), warming(1800), at(0), &mut out);
    leafs.changed(id("a"), warming(0), at(0), &mut out);
    assert_eq!(out, []);
}

/// Guards against an unserved shard when all of its leafs drain before their
/// replacements start: a draining leaf stays a last resort for a while.
#[test]
fn draining_leaf_is_the_last_choice_then_closed() {
    let (mut leafs, mut out) = (Leafs::new(EXPIRY_WAIT, DRAIN_WAIT), Vec::new());
    leafs.changed(id("a"), entry(LeafState::Draining), at(500), &mut out);
    assert_eq!(out, [LeafChange::Draining(id("a"))]);
    assert_eq!(leafs.wake(), at(1_700));
    out.clear();
    leafs.tick(at(1_699), &mut out);
    assert_eq!(out, []);
    leafs.tick(at(1_700), &mut out);
    leafs.tick(at(1_800), &mut out);
    assert_eq!(out, [LeafChange::Closed(id("a"))]);
}

/// Returns the entry of a ready leaf that reports its incarnation.
fn with_incarnation(incarnation: u64) -> LeafRegistration {
    LeafRegistration {
        incarnation: Some(Incarnation(incarnation)),
        ..entry(LeafState::Ready)
    }
}

/// Guards against calls to an ended process when a stale list, a reordered event or a
/// lagging peer shows an earlier incarnation, also after the leaf is gone.
#[test]
fn earlier_incarnation_is_ignored() {
    let (mut leafs, mut out) = (Leafs::new(EXPIRY_WAIT, DRAIN_WAIT), Vec::new());
    leafs.changed(id("a"), with_incarnation(5), at(0), &mut out);
    leafs.changed(id("a"), with_incarnation(9), at(10), &mut out);
    assert_eq!(out[1], LeafChange::Restarted(id("a"), with_incarnation(9)));
    out.clear();
    leafs.listed(vec![(id("a"), with_incarnation(5))], at(20), &mut out);
    assert_eq!(out, [LeafChange::Stale(id("a"))]);
    leafs.deleted(&id("a"), at(30), &mut out);
    leafs.tick(at(30) + EXPIRY_WAIT, &mut out);
    out.clear();
    leafs.changed(id("a"), with_incarnation(5), at(3_000), &mut out);
    assert_eq!(out, [LeafChange::Stale(id("a"))]);
    assert!(leafs.is_empty());
}

/// Guards against a restarted leaf that gets no calls because its previous incarnation
/// was draining.
#[test]
fn restarted_leaf_is_no_longer_draining() {
    let (mut leafs, mut out) = (Leafs::new(EXPIRY_WAIT, DRAIN_WAIT), Vec::new());
    let draining = LeafRegistration {
        state: LeafState::Draining,
        ..with_incarnation(5)
    };
    leafs.changed(id("a"), draining, at(0), &mut out);
    leafs.changed(id("a"), with_incarnation(9), at(10), &mut out);
    out.clear();
    leafs.tick(at(10) + DRAIN_WAIT, &mut out);
    assert_eq!(out, []);
}

/// Guards against losing one of the two changes when a new incarnation starts draining.
#[test]
fn draining_incarnation_is_reported_as_restarted_and_leaving() {
    let (mut leafs, mut out) = (Leafs::new(EXPIRY_WAIT, DRAIN_WAIT), Vec::new());
    leafs.changed(id("a"), with_incarnation(5), at(0), &mut out);
    out.clear();
    let draining = LeafRegistration {
        state: LeafState::Draining,
        ..with_incarnation(9)
    };
    leafs.changed(id("a"), draining.clone(), at(10), &mut out);
    assert_eq!(
        out,
        [
            LeafChange::Restarted(id("a"), draining),
            LeafChange::Draining(id("a"))
        ]
    );
}

/// Guards against missed or false restarts of leafs that report no incarnation, which
/// the address tells apart.
#[rstest]
#[case::unknown_before(None, Some(9))]
#[case::unknown_after(Some(5), None)]
#[case::unknown(None, None)]
fn unreported_incarnation_is_identified_by_address(
    #[case] before: Option<u64>,
    #[case] after: Option<u64>,
) {
    let entry_of = |incarnation: Option<u64>, address: &str| LeafRegistration {
        incarnation: incarnation.map(Incarnation),
        address: address.parse().unwrap(),
        ..entry(LeafState::Ready)
    };
    let (mut leafs, mut out) = (Leafs::new(EXPIRY_WAIT, DRAIN_WAIT), Vec::new());
    leafs.changed(id("a"), entry_of(before, "10.1.0.1:1"), at(0), &mut out);
    out.clear();
    leafs.changed(id("a"), entry_of(after, "10.1.0.1:1"), at(1), &mut out);
    let restarted = |change: &LeafChange| matches!(change, LeafChange::Restarted(..));
    assert!(!out.iter().any(restarted), "{out:?}");
    leafs.changed(id("a"), entry_of(after, "10.1.0.2:1"), at(2), &mut out);
    assert!(out.iter().any(restarted), "{out:?}");
}

/// Guards against forgetting the latest incarnation when an entry reports none.
#[test]
fn latest_incarnation_is_kept_while_entries_omit_it() {
    let (mut leafs, mut out) = (Leafs::new(EXPIRY_WAIT, DRAIN_WAIT), Vec::new());
    leafs.changed(id("a"), with_incarnation(5), at(0), &mut out);
    leafs.changed(id("a"), entry(LeafState::Ready), at(1), &mut out);
    out.clear();
    leafs.changed(id("a"), with_incarnation(4), at(2), &mut out);
    leafs.changed(id("a"), with_incarnation(6), at(3), &mut out);
    let expected = [
        LeafChange::Stale(id("a")),
        LeafChange::Restarted(id("a"), with_incarnation(6)),
    ];
    assert_eq!(out, expected);
}

/// Guards against keeping a leaf with a malformed entry as if the entry had expired.
#[test]
fn malformed_entry_removes_its_leaf_at_once() {
    let (mut leafs, mut out) = (Leafs::new(EXPIRY_WAIT, DRAIN_WAIT), Vec::new());
    leafs.listed(ready(&["a", "b"]), at(0), &mut out);
    out.clear();
    leafs.malformed(&id("a"), &mut out);
    leafs.malformed(&id("never-seen"), &mut out);
    assert_eq!(out, [LeafChange::Removed(id("a"))]);
    assert_eq!(leafs.len(), 1);
}
