//! One test for each failure found, named after it.

mod world;

use std::time::Duration;

use chestnut_book::{Kind, Target};
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
    book(version, vec![rule("/a/", Kind::Idempotent, target)])
}

/// Calls that a leaf gets of many requests at once, enough that no leaf that
/// may be called is left out.
async fn calls_now(stage: &Stage, relay: &Relay, leaf: &LeafId) -> usize {
    let since = Instant::now();
    let ids: Vec<String> = (0..40).map(|n| format!("r{n}")).collect();
    join_all(ids.iter().map(|id| relay.forward(ask(id, "/a/x")))).await;
    let got = stage.leafs.got();
    let here = |got: &&Got| got.at >= since && got.leaf == *leaf;
    got.iter().filter(here).count()
}

/// Callers' connections break while an entry stops.
/// The last of the entries that know each other leaves; nobody is left among
/// those that take work, and the connections to a leaf were divided by their
/// number. An entry that leaves still serves and counts.
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

/// A leaf that left gets calls for half a minute.
/// The store is silent for three seconds and takes the answer of a waiting
/// watch with it. The connection is sound afterwards, so the watch waits on for
/// an answer that never comes, and its leaf drains unseen. The store's pulse
/// shows the change, and the watch is started again.
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

/// As above, but the silence falls between two pulses, so that nothing but the
/// missing change tells of it.
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

/// A leaf that left gets calls until something else changes in the store.
/// It leaves while the store is silent; when the store is back the entry asks
/// for changes, and that call is lost on a connection that stays silent. The
/// change is older than the call, so the call alone proves nothing: it is
/// checked like any other.
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

/// A service has no leaf for this entry although all of them are listed.
/// Their entries lapsed with the store; the entry could not see them come back
/// in time and took them for gone. When it does see them, under the same ids,
/// they take work again.
#[tokio::test(start_paused = true)]
async fn a_leaf_that_was_taken_for_gone_may_come_back() {
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

/// Callers of an entry that is cut off from the store find no leafs.
/// All entries lapsed in an outage, and the entry lost the store again before
/// it could see them come back. While it can't see, it takes none for gone.
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

/// An entry's memory grows with every edit, and hedges stop fitting their
/// routes after some days.
/// Operators add and remove routes; each has a class of calls of its own, and
/// those of routes that are gone must be used again.
#[tokio::test(start_paused = true)]
async fn classes_of_removed_rules_are_used_again() {
    let stage = Stage::default();
    stage.add_leafs("archive", 1, 1);
    stage.store.put_book(one(1));
    let relay = stage.serving(1).await;
    for version in 2..202 {
        let target = Target::One(name("archive"));
        let mut added = rule("/a/", Kind::Idempotent, target);
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

/// The caller gets a whole answer that lacks the records of one shard.
/// A leaf of that shard answers that it knows no such path; the answer is signed
/// and whole, and was merged as the part of its shard. It is a failure, and
/// another leaf is asked.
#[tokio::test(start_paused = true)]
async fn a_rejection_is_no_part_of_a_merge() {
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
        .put_book(book(1, vec![rule("/q/", Kind::Idempotent, target)]));
    let relay = stage.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    let reply = relay.forward(ask("r", "/q/x")).await;
    assert_eq!(missing(&reply), Some(1));
}

/// A route that was moved goes back to its old service.
/// An entry hears an older book after a newer one, from a peer that has heard
/// less or from a copy of the store that lags. It keeps the newer one.
#[tokio::test(start_paused = true)]
async fn an_older_book_is_not_taken() {
    let stage = Stage::default();
    stage.add_leafs("archive", 2, 10);
    let version = |number, prefix: &str| {
        let target = Target::One(name("archive"));
        book(number, vec![rule(prefix, Kind::Idempotent, target)])
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

/// A route is still served by its old service, seconds after it was moved.
/// An entry that is cut off from the store lost the peer it followed, and asks
/// the store again in vain. While it waited for the answer it told others that it
/// hears of the store, and an entry that the store serves followed it.
#[tokio::test(start_paused = true)]
async fn an_entry_that_is_cut_off_passes_nothing_on() {
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
    let passes_on = || {
        let service = lock(&stage.feeds.0).get(&peers_address(2)).cloned();
        service.is_some_and(|service| service.pulse().is_ok())
    };
    assert!(passes_on());
    stage.store.part([2].into());
    sleep(Duration::from_secs(4)).await;
    drop(first);
    stage.feeds.cut(peers_address(1));
    stage.net.cut(peers_address(1));
    for _ in 0..400 {
        assert!(!passes_on());
        sleep(Duration::from_millis(25)).await;
    }
    stage.store.part([].into());
    sleep(Duration::from_secs(10)).await;
    assert!(passes_on());
}

/// Callers of an entry that was started again are refused for as long as the store
/// is away, while the entries beside it serve.
/// It knows no book and no leafs. Those beside it do, and pass on what they heard
/// last, to one that asks them and to one that asks the store first.
#[rstest]
#[case::no_seed(vec![1])]
#[case::a_seed(vec![1, 2])]
#[tokio::test(start_paused = true)]
async fn an_entry_that_starts_without_the_store_serves_by_what_others_know(
    #[case] seeds: Vec<u16>,
) {
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
    // And it hears of what changes once the store is back.
    stage.store.put_book(one(2));
    stage.store.answers(Answers::Yes);
    sleep(Duration::from_secs(5)).await;
    assert!(second.metrics().contains("chestnut_relay_book_version 2\n"));
}
