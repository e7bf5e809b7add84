//! Leafs that start again under their ids, and entries that can't be read.

mod world;

use std::time::Duration;

use chestnut_book::{Kind, RouteBook, Target};
use chestnut_relay::{LeafEntry, LeafState, Relay, Reply};
use chestnut_unit::{Incarnation, LeafId};
use futures::future::join_all;
use tokio::time::sleep;
use world::{Manner, Stage, ask, book, entry, name, record, rule};

fn to_archive(kind: Kind) -> RouteBook {
    book(1, vec![rule("/a/", kind, Target::One(name("archive")))])
}

fn of_life(life: u64, state: LeafState) -> LeafEntry {
    LeafEntry {
        life: Some(Incarnation(life)),
        ..entry("archive", state)
    }
}

/// A stage with leafs in their first life.
async fn stage(leafs: usize, kind: Kind) -> (Stage, Vec<LeafId>, Relay) {
    let stage = Stage::default();
    let ids = stage.add_leafs("archive", leafs, 10);
    for id in &ids {
        stage.store.put_leaf(id, of_life(1, LeafState::Ready));
    }
    stage.store.put_book(to_archive(kind));
    let relay = stage.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    (stage, ids, relay)
}

/// Sends `count` requests at once, so that no leaf that may be called is left out
/// for being cold; tells how many of their calls went to `leaf`.
async fn calls_to(stage: &Stage, relay: &Relay, leaf: &LeafId, count: usize) -> usize {
    let before = stage.leafs.got().len();
    let asks: Vec<_> = (0..count).map(|n| ask(&format!("n{n}"), "/a/x")).collect();
    join_all(asks.into_iter().map(|ask| relay.forward(ask))).await;
    let got = stage.leafs.got();
    got[before..].iter().filter(|got| got.leaf == *leaf).count()
}

fn good() -> Manner {
    Manner::Answers(Duration::from_millis(10), record("archive"))
}

/// A shard has a leaf less for half a minute.
/// A leaf loses call after call and is evicted, for longer each time. It starts
/// again under its id; the eviction belongs to the life before.
#[tokio::test(start_paused = true)]
async fn an_evicted_leaf_that_starts_again_is_called() {
    let (stage, leafs, relay) = stage(3, Kind::Idempotent).await;
    stage.leafs.set(&leafs[0], Manner::Loses);
    for _ in 0..8 {
        calls_to(&stage, &relay, &leafs[0], 40).await;
        sleep(Duration::from_millis(700)).await;
    }
    calls_to(&stage, &relay, &leafs[0], 40).await;
    assert_eq!(calls_to(&stage, &relay, &leafs[0], 40).await, 0);
    stage.leafs.set(&leafs[0], good());
    stage
        .store
        .put_leaf(&leafs[0], of_life(2, LeafState::Ready));
    sleep(Duration::from_millis(500)).await;
    let calls = calls_to(&stage, &relay, &leafs[0], 30).await;
    assert!(calls > 0, "no call in 30 requests");
}

/// A leaf gets no calls though its entry says that it is ready.
/// It was leaving, ended, and has started again under its id. The mark of
/// leaving belongs to the life before.
#[tokio::test(start_paused = true)]
async fn a_leaf_that_was_leaving_takes_work_in_its_next_life() {
    let (stage, leafs, relay) = stage(1, Kind::Idempotent).await;
    stage
        .store
        .put_leaf(&leafs[0], of_life(1, LeafState::Draining));
    sleep(Duration::from_secs(3)).await;
    assert!(matches!(
        relay.forward(ask("r", "/a/x")).await,
        Reply::Declined(_)
    ));
    stage
        .store
        .put_leaf(&leafs[0], of_life(2, LeafState::Ready));
    sleep(Duration::from_secs(1)).await;
    assert!(matches!(
        relay.forward(ask("s", "/a/x")).await,
        Reply::Whole(_)
    ));
}

/// Calls go to an address that the leaf has left.
/// After it started again elsewhere, the entry hears its former life: from the
/// store's stale copy, or from a peer that is behind.
#[tokio::test(start_paused = true)]
async fn the_former_life_is_not_called_again() {
    let (stage, leafs, relay) = stage(1, Kind::Idempotent).await;
    let elsewhere = "10.1.0.2:1".parse().unwrap();
    let reborn = LeafEntry {
        address: elsewhere,
        ..of_life(2, LeafState::Ready)
    };
    stage.store.put_leaf(&leafs[0], reborn);
    sleep(Duration::from_secs(1)).await;
    stage
        .store
        .put_leaf(&leafs[0], of_life(1, LeafState::Ready));
    sleep(Duration::from_secs(1)).await;
    relay.forward(ask("r", "/a/x")).await;
    assert_eq!(
        stage.leafs.got().last().map(|got| got.address),
        Some(elsewhere)
    );
}

/// The caller of a request that may run once is not told what became of it, and
/// it ran twice.
/// Its leaf ends while it runs and starts again under its id, so it looks like
/// the leaf that has the call; the request may have run, and isn't sent again.
#[tokio::test(start_paused = true)]
async fn a_request_that_may_run_once_is_not_sent_to_the_next_life() {
    let (stage, leafs, relay) = stage(1, Kind::Once).await;
    stage
        .leafs
        .set(&leafs[0], Manner::LosesAfter(Duration::from_millis(900)));
    let restart = async {
        sleep(Duration::from_millis(100)).await;
        stage.leafs.set(&leafs[0], good());
        stage
            .store
            .put_leaf(&leafs[0], of_life(2, LeafState::Ready));
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

/// A new life is shunned for what the one before did.
/// Calls to the life before are still under way when the leaf starts again, and
/// all are lost. They count for that life only.
#[tokio::test(start_paused = true)]
async fn calls_to_the_former_life_say_nothing_of_the_new_one() {
    let (stage, leafs, relay) = stage(2, Kind::Idempotent).await;
    stage
        .leafs
        .set(&leafs[0], Manner::LosesAfter(Duration::from_millis(900)));
    let under_way = (0..40).map(|n| {
        let relay = relay.clone();
        async move { relay.forward(ask(&format!("r{n}"), "/a/x")).await }
    });
    let restart = async {
        sleep(Duration::from_millis(100)).await;
        stage.leafs.set(&leafs[0], good());
        stage
            .store
            .put_leaf(&leafs[0], of_life(2, LeafState::Ready));
    };
    tokio::join!(join_all(under_way), restart);
    let calls = calls_to(&stage, &relay, &leafs[0], 40).await;
    assert!(calls > 0, "no call in 40 requests");
}

/// All calls go on to a leaf whose entry another writer has overwritten.
/// What it holds now can't be read and names no leaf, also where no other is
/// there, and also to entries that hear of it from a peer.
#[tokio::test(start_paused = true)]
async fn a_leaf_whose_entry_was_spoilt_is_not_called() {
    let stage = Stage::default();
    let leafs = stage.add_leafs("archive", 1, 10);
    stage.store.put_book(to_archive(Kind::Idempotent));
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
