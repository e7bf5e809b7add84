//! Regression tests, each named after the property that a failure broke.

mod world;

use std::time::Duration;

use chestnut_book::{RetrySafety, Target};
use chestnut_flow::lock;
use chestnut_relay::{LeafState, Phase, Relay, Reply};
use chestnut_unit::LeafId;
use futures::future::join_all;
use rstest::rstest;
use tokio::time::{Instant, sleep};
use world::{
    Answers, Got, Manner, Stage, ask, book, entry, gather, missing, name, peers_address, rule,
};

fn one(version: u64) -> chestnut_book::RouteBook {
    let target = Target::One(name("archive"));
    book(version, vec![rule("/a/", RetrySafety::Idempotent, target)])
}

/// Returns the calls that a leaf gets of many requests at once, enough that no leaf
/// that may be called is left out.
async fn calls_now(stage: &Stage, relay: &Relay, leaf: &LeafId) -> usize {
    let since = Instant::now();
    let ids: Vec<String> = (0..40).map(|n| format!("r{n}")).collect();
    join_all(ids.iter().map(|id| relay.forward(ask(id, "/a/x")))).await;
    let got = stage.leafs.got();
    let here = |got: &&Got| got.at >= since && got.leaf == *leaf;
    got.iter().filter(here).count()
}

/// The last entry to leave divides the connections to a leaf by the number of members
/// that take work, which is zero. An entry that leaves still counts.
#[tokio::test(start_paused = true)]
async fn the_last_entry_to_leave_still_serves() {
    let stage = Stage::default();
    stage.add_leafs("archive", 2, 10);
    stage.store.put_book(one(1));
    let (a, b) = (stage.serving(1).await, stage.serving(2).await);
    sleep(Duration::from_secs(2)).await;
    b.leave().await;
    a.leave().await;
    sleep(Duration::from_secs(2)).await;
    b.finish(Duration::ZERO).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(a.phase(), Phase::Leaving);
    assert!(matches!(a.forward(ask("r", "/a/x")).await, Reply::Whole(_)));
}

/// The answer of a watch is lost in a silence of the store while the connection stays
/// healthy, and a draining leaf goes on getting calls.
#[tokio::test(start_paused = true)]
async fn a_watch_whose_answer_was_lost_is_started_again() {
    let stage = Stage::default();
    let leafs = stage.add_leafs("archive", 2, 10);
    stage.store.put_book(one(1));
    let relay = stage.serving(1).await;
    sleep(Duration::from_secs(2)).await;
    stage.store.answers(Answers::Never);
    sleep(Duration::from_millis(2900)).await;
    stage.store.answers(Answers::Yes);
    sleep(Duration::from_secs(4)).await;
    stage
        .store
        .put_leaf(&leafs[0], entry("archive", LeafState::Draining));
    sleep(Duration::from_millis(2900)).await;
    assert_eq!(calls_now(&stage, &relay, &leafs[0]).await, 0);
}

/// As above, but the silence falls between two revision polls, so that only the missing
/// change shows it.
#[tokio::test(start_paused = true)]
async fn a_watch_lost_in_a_short_silence_is_started_again() {
    let stage = Stage::default();
    let leafs = stage.add_leafs("archive", 2, 10);
    stage.store.put_book(one(1));
    let relay = stage.serving(1).await;
    sleep(Duration::from_secs(2)).await;
    stage.store.answers(Answers::Never);
    stage.store.answers(Answers::Yes);
    stage
        .store
        .put_leaf(&leafs[0], entry("archive", LeafState::Draining));
    sleep(Duration::from_millis(2500)).await;
    assert_eq!(calls_now(&stage, &relay, &leafs[0]).await, 0);
}

/// A watch that is started after a change is lost too, and a draining leaf gets calls
/// until something else changes.
#[tokio::test(start_paused = true)]
async fn a_watch_that_is_lost_after_the_change_is_started_again() {
    let stage = Stage::default();
    let leafs = stage.add_leafs("archive", 2, 10);
    stage.store.put_book(one(1));
    let relay = stage.serving(1).await;
    sleep(Duration::from_secs(2)).await;
    stage.store.answers(Answers::Never);
    let draining = entry("archive", LeafState::Draining);
    stage.store.put_leaf(&leafs[0], draining);
    sleep(Duration::from_millis(2900)).await;
    stage.store.answers(Answers::Yes);
    stage.store.lose_watches(2);
    sleep(Duration::from_secs(6)).await;
    assert_eq!(calls_now(&stage, &relay, &leafs[0]).await, 0);
}

/// A leaf whose entry expired with the store is ignored after it registers again under
/// the same id.
#[tokio::test(start_paused = true)]
async fn a_leaf_that_was_removed_may_return() {
    let stage = Stage::default();
    let leafs = stage.add_leafs("archive", 1, 10);
    stage.store.put_book(one(1));
    let relay = stage.serving(1).await;
    stage.store.drop_leaf(&leafs[0]);
    sleep(Duration::from_secs(5)).await;
    assert!(matches!(
        relay.forward(ask("r", "/a/x")).await,
        Reply::Declined(_)
    ));
    stage.add_leafs("archive", 1, 10);
    sleep(Duration::from_secs(1)).await;
    assert!(matches!(
        relay.forward(ask("r", "/a/x")).await,
        Reply::Whole(_)
    ));
}

/// An entry that lost the store while all leaf entries were expired removes the leafs,
/// though it can't see them come back.
#[tokio::test(start_paused = true)]
async fn missing_leafs_are_kept_while_the_store_is_lost() {
    let stage = Stage::default();
    let leafs = stage.add_leafs("archive", 2, 10);
    stage.store.put_book(one(1));
    let relay = stage.serving(1).await;
    sleep(Duration::from_secs(2)).await;
    for leaf in &leafs {
        stage.store.drop_leaf(leaf);
    }
    sleep(Duration::from_millis(900)).await;
    stage.store.answers(Answers::Never);
    stage.add_leafs("archive", 2, 10);
    sleep(Duration::from_secs(10)).await;
    assert!(matches!(
        relay.forward(ask("r", "/a/x")).await,
        Reply::Whole(_)
    ));
    stage.store.answers(Answers::Yes);
    sleep(Duration::from_secs(4)).await;
    assert!(matches!(
        relay.forward(ask("s", "/a/x")).await,
        Reply::Whole(_)
    ));
}

/// Classes of calls of removed routes are not reused, so that memory grows with every
/// edit and hedges no longer fit their routes.
#[tokio::test(start_paused = true)]
async fn classes_of_removed_rules_are_reused() {
    let stage = Stage::default();
    stage.add_leafs("archive", 1, 1);
    stage.store.put_book(one(1));
    let relay = stage.serving(1).await;
    for version in 2..202 {
        let target = Target::One(name("archive"));
        let mut added = rule("/a/", RetrySafety::Idempotent, target);
        added.name = format!("added {version}");
        stage.store.put_book(book(version, vec![added]));
        sleep(Duration::from_secs(1)).await;
        assert!(matches!(
            relay.forward(ask("r", "/a/x")).await,
            Reply::Whole(_)
        ));
    }
    let metrics = relay.metrics();
    assert!(metrics.contains("chestnut_relay_classes 2\n"), "{metrics}");
}

/// The signed rejection of a leaf is merged as the part of its shard, and the caller
/// gets an answer that lacks records without notice.
#[tokio::test(start_paused = true)]
async fn a_rejection_is_not_merged() {
    let stage = Stage::default();
    for shard in ["s1", "s2"] {
        stage.add_leafs(shard, 2, 10);
    }
    for leaf in ["s2-0", "s2-1"] {
        stage.leafs.set(&leaf.parse().unwrap(), Manner::Rejects);
    }
    let target = gather(&["s1", "s2"], 500);
    stage
        .store
        .put_book(book(1, vec![rule("/q/", RetrySafety::Idempotent, target)]));
    let relay = stage.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    let reply = relay.forward(ask("r", "/q/x")).await;
    assert_eq!(missing(&reply), Some(1));
}

/// A moved route returns to its old service, as an older book arrives after a newer one
/// from a lagging source.
#[tokio::test(start_paused = true)]
async fn an_older_book_is_not_applied() {
    let stage = Stage::default();
    stage.add_leafs("archive", 2, 10);
    let version = |number, prefix: &str| {
        let target = Target::One(name("archive"));
        book(number, vec![rule(prefix, RetrySafety::Idempotent, target)])
    };
    stage.store.put_book(version(2, "/new/"));
    let relay = stage.serving(1).await;
    stage.store.put_book(version(1, "/old/"));
    sleep(Duration::from_secs(3)).await;
    assert!(matches!(
        relay.forward(ask("r1", "/new/x")).await,
        Reply::Whole(_)
    ));
    assert!(matches!(
        relay.forward(ask("r2", "/old/x")).await,
        Reply::Declined(_)
    ));
}

/// An entry that is cut off reports the store as reachable while it waits for an
/// answer, and its followers miss changes.
#[tokio::test(start_paused = true)]
async fn an_entry_that_is_cut_off_relays_nothing() {
    let stage = Stage {
        domains: 2,
        seeds: vec![1, 2],
        ..Stage::default()
    };
    stage.add_leafs("archive", 2, 10);
    stage.store.put_book(one(1));
    let first = stage.serving(1).await;
    let _cut_off = stage.serving(2).await;
    sleep(Duration::from_secs(8)).await;
    let relays = || {
        let service = lock(&stage.feeds.0).get(&peers_address(2)).cloned();
        service.is_some_and(|service| service.pulse().is_ok())
    };
    assert!(relays());
    stage.store.part([2].into());
    sleep(Duration::from_secs(4)).await;
    drop(first);
    stage.feeds.cut(peers_address(1));
    stage.net.cut(peers_address(1));
    for _ in 0..400 {
        assert!(!relays());
        sleep(Duration::from_millis(25)).await;
    }
    stage.store.part([].into());
    sleep(Duration::from_secs(10)).await;
    assert!(relays());
}

/// An entry that starts while the store is lost refuses all callers, although its peers
/// know the book and the leafs.
#[rstest]
#[case::no_seed(vec![1])]
#[case::a_seed(vec![1, 2])]
#[tokio::test(start_paused = true)]
async fn an_entry_started_without_the_store_serves_from_its_peers(#[case] seeds: Vec<u16>) {
    let stage = Stage {
        domains: 2,
        seeds,
        ..Stage::default()
    };
    stage.add_leafs("archive", 2, 10);
    stage.store.put_book(one(1));
    let _first = stage.serving(1).await;
    sleep(Duration::from_secs(8)).await;
    stage.store.answers(Answers::Never);
    sleep(Duration::from_secs(3)).await;
    let second = stage.spawn(2).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(second.phase(), Phase::Serving);
    let reply = second.forward(ask("r", "/a/x")).await;
    assert!(matches!(reply, Reply::Whole(_)), "{reply:?}");
    // It also receives changes once the store is back.
    stage.store.put_book(one(2));
    stage.store.answers(Answers::Yes);
    sleep(Duration::from_secs(5)).await;
    assert!(second.metrics().contains("chestnut_relay_book_version 2\n"));
}
