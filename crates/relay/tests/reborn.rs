//! Leafs that restart under the same id, and leaf entries that can't be parsed.

mod world;

use std::time::Duration;

use chestnut_book::{RetrySafety, RouteBook, Target};
use chestnut_relay::{LeafEntry, LeafState, Relay, Reply};
use chestnut_unit::{Incarnation, LeafId};
use futures::future::join_all;
use tokio::time::sleep;
use world::{Manner, Stage, ask, book, entry, name, record, rule};

/// A book with one rule, for the `archive` service.
fn archive_book(kind: RetrySafety) -> RouteBook {
    book(1, vec![rule("/a/", kind, Target::One(name("archive")))])
}

/// The entry of an `archive` leaf in the given incarnation.
fn incarnation_entry(incarnation: u64, state: LeafState) -> LeafEntry {
    LeafEntry {
        life: Some(Incarnation(incarnation)),
        ..entry("archive", state)
    }
}

/// A stage with leafs in their first incarnation.
async fn stage(leafs: usize, kind: RetrySafety) -> (Stage, Vec<LeafId>, Relay) {
    let stage = Stage::default();
    let ids = stage.add_leafs("archive", leafs, 10);
    for id in &ids {
        stage
            .store
            .put_leaf(id, incarnation_entry(1, LeafState::Ready));
    }
    stage.store.put_book(archive_book(kind));
    let relay = stage.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    (stage, ids, relay)
}

/// Sends `count` requests at once, enough that every eligible leaf is called, and
/// counts the calls to `leaf`.
async fn calls_to(stage: &Stage, relay: &Relay, leaf: &LeafId, count: usize) -> usize {
    let before = stage.leafs.got().len();
    let asks: Vec<_> = (0..count).map(|n| ask(&format!("n{n}"), "/a/x")).collect();
    join_all(asks.into_iter().map(|ask| relay.forward(ask))).await;
    let got = stage.leafs.got();
    got[before..].iter().filter(|got| got.leaf == *leaf).count()
}

/// A leaf that answers every call.
fn healthy() -> Manner {
    Manner::Answers(Duration::from_millis(10), record("archive"))
}

/// Guards against a restarted leaf that gets no calls because its previous
/// incarnation was evicted.
#[tokio::test(start_paused = true)]
async fn an_evicted_leaf_is_called_again_after_a_restart() {
    let (stage, leafs, relay) = stage(3, RetrySafety::Idempotent).await;
    stage.leafs.set(&leafs[0], Manner::Loses);
    for _ in 0..8 {
        calls_to(&stage, &relay, &leafs[0], 40).await;
        sleep(Duration::from_millis(700)).await;
    }
    calls_to(&stage, &relay, &leafs[0], 40).await;
    assert_eq!(calls_to(&stage, &relay, &leafs[0], 40).await, 0);
    stage.leafs.set(&leafs[0], healthy());
    stage
        .store
        .put_leaf(&leafs[0], incarnation_entry(2, LeafState::Ready));
    sleep(Duration::from_millis(500)).await;
    let calls = calls_to(&stage, &relay, &leafs[0], 30).await;
    assert!(calls > 0, "no call in 30 requests");
}

/// Guards against a restarted leaf that gets no calls because its previous
/// incarnation was draining.
#[tokio::test(start_paused = true)]
async fn a_draining_leaf_takes_requests_after_a_restart() {
    let (stage, leafs, relay) = stage(1, RetrySafety::Idempotent).await;
    stage
        .store
        .put_leaf(&leafs[0], incarnation_entry(1, LeafState::Draining));
    sleep(Duration::from_secs(3)).await;
    assert!(matches!(
        relay.forward(ask("r", "/a/x")).await,
        Reply::Declined(_)
    ));
    stage
        .store
        .put_leaf(&leafs[0], incarnation_entry(2, LeafState::Ready));
    sleep(Duration::from_secs(1)).await;
    assert!(matches!(
        relay.forward(ask("s", "/a/x")).await,
        Reply::Whole(_)
    ));
}

/// Guards against calls to a leaf's old address after a stale update reports its
/// previous incarnation.
#[tokio::test(start_paused = true)]
async fn an_earlier_incarnation_is_not_called_again() {
    let (stage, leafs, relay) = stage(1, RetrySafety::Idempotent).await;
    let new_address = "10.1.0.2:1".parse().unwrap();
    let restarted = LeafEntry {
        address: new_address,
        ..incarnation_entry(2, LeafState::Ready)
    };
    stage.store.put_leaf(&leafs[0], restarted);
    sleep(Duration::from_secs(1)).await;
    stage
        .store
        .put_leaf(&leafs[0], incarnation_entry(1, LeafState::Ready));
    sleep(Duration::from_secs(1)).await;
    relay.forward(ask("r", "/a/x")).await;
    assert_eq!(
        stage.leafs.got().last().map(|got| got.address),
        Some(new_address)
    );
}

/// Guards against an at-most-once request that runs twice because its leaf
/// restarted, under the same id, during the call.
#[tokio::test(start_paused = true)]
async fn a_once_request_is_not_retried_on_a_restarted_leaf() {
    let (stage, leafs, relay) = stage(1, RetrySafety::Once).await;
    stage
        .leafs
        .set(&leafs[0], Manner::LosesAfter(Duration::from_millis(900)));
    let restart = async {
        sleep(Duration::from_millis(100)).await;
        stage.leafs.set(&leafs[0], healthy());
        stage
            .store
            .put_leaf(&leafs[0], incarnation_entry(2, LeafState::Ready));
    };
    let (reply, ()) = tokio::join!(relay.forward(ask("once", "/a/x")), restart);
    assert!(matches!(reply, Reply::Declined(_)), "{reply:?}");
    let runs = stage
        .leafs
        .got()
        .iter()
        .filter(|got| got.request == "once")
        .count();
    assert_eq!(runs, 1);
}

/// Guards against a restarted leaf that gets no calls because calls to its
/// previous incarnation, still in flight at the restart, were lost.
#[tokio::test(start_paused = true)]
async fn lost_calls_to_an_earlier_incarnation_do_not_affect_the_new_one() {
    let (stage, leafs, relay) = stage(2, RetrySafety::Idempotent).await;
    stage
        .leafs
        .set(&leafs[0], Manner::LosesAfter(Duration::from_millis(900)));
    let in_flight = (0..40).map(|n| {
        let relay = relay.clone();
        async move { relay.forward(ask(&format!("r{n}"), "/a/x")).await }
    });
    let restart = async {
        sleep(Duration::from_millis(100)).await;
        stage.leafs.set(&leafs[0], healthy());
        stage
            .store
            .put_leaf(&leafs[0], incarnation_entry(2, LeafState::Ready));
    };
    tokio::join!(join_all(in_flight), restart);
    let calls = calls_to(&stage, &relay, &leafs[0], 40).await;
    assert!(calls > 0, "no call in 40 requests");
}

/// Guards against calls to a leaf whose entry was overwritten with an unreadable
/// one, also at entries that receive the change from a peer.
#[tokio::test(start_paused = true)]
async fn a_leaf_with_an_unreadable_entry_is_not_called() {
    let stage = Stage::default();
    let leafs = stage.add_leafs("archive", 1, 10);
    stage.store.put_book(archive_book(RetrySafety::Idempotent));
    let entries = [stage.serving(1).await, stage.serving(2).await];
    sleep(Duration::from_secs(8)).await;
    stage.store.spoil_leaf(&leafs[0]);
    sleep(Duration::from_millis(800)).await;
    for relay in &entries {
        let reply = relay.forward(ask("r", "/a/x")).await;
        assert!(matches!(reply, Reply::Declined(_)), "{reply:?}");
    }
    stage
        .store
        .put_leaf(&leafs[0], entry("archive", LeafState::Ready));
    sleep(Duration::from_millis(800)).await;
    for relay in &entries {
        let reply = relay.forward(ask("s", "/a/x")).await;
        assert!(matches!(reply, Reply::Whole(_)), "{reply:?}");
    }
}
