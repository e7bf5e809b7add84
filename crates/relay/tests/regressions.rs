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
    Availability, Behaviour, Cluster, ReceivedCall, book, gather, leaf_entry, missing,
    peer_address, request, rule, service_name,
};

fn one(version: u64) -> chestnut_book::RouteBook {
    let target = Target::One(service_name("archive"));
    book(version, vec![rule("/a/", RetrySafety::Idempotent, target)])
}

/// Returns the calls that a leaf gets of many requests at once, enough that no leaf
/// that may be called is left out.
async fn calls_now(cluster: &Cluster, relay: &Relay, leaf: &LeafId) -> usize {
    let since = Instant::now();
    let ids: Vec<String> = (0..40).map(|n| format!("r{n}")).collect();
    join_all(ids.iter().map(|id| relay.forward(request(id, "/a/x")))).await;
    let received = cluster.leafs.received_calls();
    let here = |call: &&ReceivedCall| call.at >= since && call.leaf == *leaf;
    received.iter().filter(here).count()
}

/// The last entry to leave divides the connections to a leaf by the number of members
/// that take work, which is zero. An entry that leaves still counts.
#[tokio::test(start_paused = true)]
async fn the_last_entry_to_leave_still_serves() {
    let cluster = Cluster::default();
    cluster.add_leafs("archive", 2, 10);
    cluster.store.put_book(one(1));
    let (a, b) = (cluster.serving(1).await, cluster.serving(2).await);
    sleep(Duration::from_secs(2)).await;
    b.leave().await;
    a.leave().await;
    sleep(Duration::from_secs(2)).await;
    b.finish(Duration::ZERO).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(a.phase(), Phase::Leaving);
    assert!(matches!(
        a.forward(request("r", "/a/x")).await,
        Reply::Whole(_)
    ));
}

/// The answer of a watch is lost in a silence of the store while the connection stays
/// healthy, and a draining leaf goes on getting calls.
#[tokio::test(start_paused = true)]
async fn a_watch_whose_answer_was_lost_is_started_again() {
    let cluster = Cluster::default();
    let leafs = cluster.add_leafs("archive", 2, 10);
    cluster.store.put_book(one(1));
    let relay = cluster.serving(1).await;
    sleep(Duration::from_secs(2)).await;
    cluster.store.set_answers(Availability::Unresponsive);
    sleep(Duration::from_millis(2900)).await;
    cluster.store.set_answers(Availability::Up);
    sleep(Duration::from_secs(4)).await;
    cluster
        .store
        .put_leaf(&leafs[0], leaf_entry("archive", LeafState::Draining));
    sleep(Duration::from_millis(2900)).await;
    assert_eq!(calls_now(&cluster, &relay, &leafs[0]).await, 0);
}

/// As above, but the silence falls between two revision polls, so that only the missing
/// change shows it.
#[tokio::test(start_paused = true)]
async fn a_watch_lost_in_a_short_silence_is_started_again() {
    let cluster = Cluster::default();
    let leafs = cluster.add_leafs("archive", 2, 10);
    cluster.store.put_book(one(1));
    let relay = cluster.serving(1).await;
    sleep(Duration::from_secs(2)).await;
    cluster.store.set_answers(Availability::Unresponsive);
    cluster.store.set_answers(Availability::Up);
    cluster
        .store
        .put_leaf(&leafs[0], leaf_entry("archive", LeafState::Draining));
    sleep(Duration::from_millis(2500)).await;
    assert_eq!(calls_now(&cluster, &relay, &leafs[0]).await, 0);
}

/// A watch that is started after a change is lost too, and a draining leaf gets calls
/// until something else changes.
#[tokio::test(start_paused = true)]
async fn a_watch_that_is_lost_after_the_change_is_started_again() {
    let cluster = Cluster::default();
    let leafs = cluster.add_leafs("archive", 2, 10);
    cluster.store.put_book(one(1));
    let relay = cluster.serving(1).await;
    sleep(Duration::from_secs(2)).await;
    cluster.store.set_answers(Availability::Unresponsive);
    let draining = leaf_entry("archive", LeafState::Draining);
    cluster.store.put_leaf(&leafs[0], draining);
    sleep(Duration::from_millis(2900)).await;
    cluster.store.set_answers(Availability::Up);
    cluster.store.drop_watches(2);
    sleep(Duration::from_secs(6)).await;
    assert_eq!(calls_now(&cluster, &relay, &leafs[0]).await, 0);
}

/// A leaf whose entry expired with the store is ignored after it registers again under
/// the same id.
#[tokio::test(start_paused = true)]
async fn a_leaf_that_was_removed_may_return() {
    let cluster = Cluster::default();
    let leafs = cluster.add_leafs("archive", 1, 10);
    cluster.store.put_book(one(1));
    let relay = cluster.serving(1).await;
    cluster.store.delete_leaf(&leafs[0]);
    sleep(Duration::from_secs(5)).await;
    assert!(matches!(
        relay.forward(request("r", "/a/x")).await,
        Reply::Declined(_)
    ));
    cluster.add_leafs("archive", 1, 10);
    sleep(Duration::from_secs(1)).await;
    assert!(matches!(
        relay.forward(request("r", "/a/x")).await,
        Reply::Whole(_)
    ));
}

/// An entry that lost the store while all leaf entries were expired removes the leafs,
/// though it can't see them come back.
#[tokio::test(start_paused = true)]
async fn missing_leafs_are_kept_while_the_store_is_lost() {
    let cluster = Cluster::default();
    let leafs = cluster.add_leafs("archive", 2, 10);
    cluster.store.put_book(one(1));
    let relay = cluster.serving(1).await;
    sleep(Duration::from_secs(2)).await;
    for leaf in &leafs {
        cluster.store.delete_leaf(leaf);
    }
    sleep(Duration::from_millis(900)).await;
    cluster.store.set_answers(Availability::Unresponsive);
    cluster.add_leafs("archive", 2, 10);
    sleep(Duration::from_secs(10)).await;
    assert!(matches!(
        relay.forward(request("r", "/a/x")).await,
        Reply::Whole(_)
    ));
    cluster.store.set_answers(Availability::Up);
    sleep(Duration::from_secs(4)).await;
    assert!(matches!(
        relay.forward(request("s", "/a/x")).await,
        Reply::Whole(_)
    ));
}

/// Classes of calls of removed routes are not reused, so that memory grows with every
/// edit and hedges no longer fit their routes.
#[tokio::test(start_paused = true)]
async fn classes_of_removed_rules_are_reused() {
    let cluster = Cluster::default();
    cluster.add_leafs("archive", 1, 1);
    cluster.store.put_book(one(1));
    let relay = cluster.serving(1).await;
    for version in 2..202 {
        let target = Target::One(service_name("archive"));
        let mut added = rule("/a/", RetrySafety::Idempotent, target);
        added.name = format!("added {version}");
        cluster.store.put_book(book(version, vec![added]));
        sleep(Duration::from_secs(1)).await;
        assert!(matches!(
            relay.forward(request("r", "/a/x")).await,
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
    let cluster = Cluster::default();
    for shard in ["s1", "s2"] {
        cluster.add_leafs(shard, 2, 10);
    }
    for leaf in ["s2-0", "s2-1"] {
        cluster
            .leafs
            .set_behaviour(&leaf.parse().unwrap(), Behaviour::NotFound);
    }
    let target = gather(&["s1", "s2"], 500);
    cluster
        .store
        .put_book(book(1, vec![rule("/q/", RetrySafety::Idempotent, target)]));
    let relay = cluster.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    let reply = relay.forward(request("r", "/q/x")).await;
    assert_eq!(missing(&reply), Some(1));
}

/// A moved route returns to its old service, as an older book arrives after a newer one
/// from a lagging source.
#[tokio::test(start_paused = true)]
async fn an_older_book_is_not_applied() {
    let cluster = Cluster::default();
    cluster.add_leafs("archive", 2, 10);
    let version = |number, prefix: &str| {
        let target = Target::One(service_name("archive"));
        book(number, vec![rule(prefix, RetrySafety::Idempotent, target)])
    };
    cluster.store.put_book(version(2, "/new/"));
    let relay = cluster.serving(1).await;
    cluster.store.put_book(version(1, "/old/"));
    sleep(Duration::from_secs(3)).await;
    assert!(matches!(
        relay.forward(request("r1", "/new/x")).await,
        Reply::Whole(_)
    ));
    assert!(matches!(
        relay.forward(request("r2", "/old/x")).await,
        Reply::Declined(_)
    ));
}

/// An entry that is cut off reports the store as reachable while it waits for an
/// answer, and its followers miss changes.
#[tokio::test(start_paused = true)]
async fn an_entry_that_is_cut_off_relays_nothing() {
    let cluster = Cluster {
        domains: 2,
        seeds: vec![1, 2],
        ..Cluster::default()
    };
    cluster.add_leafs("archive", 2, 10);
    cluster.store.put_book(one(1));
    let first = cluster.serving(1).await;
    let _cut_off = cluster.serving(2).await;
    sleep(Duration::from_secs(8)).await;
    let relays = || {
        let service = lock(&cluster.feeds.0).get(&peer_address(2)).cloned();
        service.is_some_and(|service| service.poll_revision().is_ok())
    };
    assert!(relays());
    cluster.store.isolate([2].into());
    sleep(Duration::from_secs(4)).await;
    drop(first);
    cluster.feeds.disconnect(peer_address(1));
    cluster.net.remove(peer_address(1));
    for _ in 0..400 {
        assert!(!relays());
        sleep(Duration::from_millis(25)).await;
    }
    cluster.store.isolate([].into());
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
    let cluster = Cluster {
        domains: 2,
        seeds,
        ..Cluster::default()
    };
    cluster.add_leafs("archive", 2, 10);
    cluster.store.put_book(one(1));
    let _first = cluster.serving(1).await;
    sleep(Duration::from_secs(8)).await;
    cluster.store.set_answers(Availability::Unresponsive);
    sleep(Duration::from_secs(3)).await;
    let second = cluster.spawn(2).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(second.phase(), Phase::Serving);
    let reply = second.forward(request("r", "/a/x")).await;
    assert!(matches!(reply, Reply::Whole(_)), "{reply:?}");
    // It also receives changes once the store is back.
    cluster.store.put_book(one(2));
    cluster.store.set_answers(Availability::Up);
    sleep(Duration::from_secs(5)).await;
    assert!(second.metrics().contains("chestnut_relay_book_version 2\n"));
}
