//! Leafs that restart under the same id, and leaf entries that can't be parsed.

mod world;

use std::time::Duration;

use chestnut_book::{RetrySafety, RouteBook, Target};
use chestnut_relay::{LeafRegistration, LeafState, Relay, Reply};
use chestnut_unit::{Incarnation, LeafId};
use futures::future::join_all;
use tokio::time::sleep;
use world::{Behaviour, Cluster, book, leaf_entry, record, request, rule, service_name};

/// A book with one rule, for the `archive` service.
fn archive_book(kind: RetrySafety) -> RouteBook {
    book(
        1,
        vec![rule("/a/", kind, Target::One(service_name("archive")))],
    )
}

/// The entry of an `archive` leaf in the given incarnation.
fn incarnation_entry(incarnation: u64, state: LeafState) -> LeafRegistration {
    LeafRegistration {
        incarnation: Some(Incarnation(incarnation)),
        ..leaf_entry("archive", state)
    }
}

/// A cluster with leafs in their first incarnation.
async fn cluster(leafs: usize, kind: RetrySafety) -> (Cluster, Vec<LeafId>, Relay) {
    let cluster = Cluster::default();
    let ids = cluster.add_leafs("archive", leafs, 10);
    for id in &ids {
        cluster
            .store
            .put_leaf(id, incarnation_entry(1, LeafState::Ready));
    }
    cluster.store.put_book(archive_book(kind));
    let relay = cluster.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    (cluster, ids, relay)
}

/// Sends `count` requests at once, enough that every eligible leaf is called, and
/// counts the calls to `leaf`.
async fn calls_to(cluster: &Cluster, relay: &Relay, leaf: &LeafId, count: usize) -> usize {
    let before = cluster.leafs.received_calls().len();
    let requests: Vec<_> = (0..count)
        .map(|n| request(&format!("n{n}"), "/a/x"))
        .collect();
    join_all(requests.into_iter().map(|request| relay.forward(request))).await;
    let received = cluster.leafs.received_calls();
    received[before..]
        .iter()
        .filter(|call| call.leaf == *leaf)
        .count()
}

/// A leaf that answers every call.
fn healthy() -> Behaviour {
    Behaviour::Answers(Duration::from_millis(10), record("archive"))
}

/// Guards against a restarted leaf that gets no calls because its previous
/// incarnation was evicted.
#[tokio::test(start_paused = true)]
async fn an_evicted_leaf_is_called_again_after_a_restart() {
    let (cluster, leafs, relay) = cluster(3, RetrySafety::Idempotent).await;
    cluster
        .leafs
        .set_behaviour(&leafs[0], Behaviour::DropsConnection);
    for _ in 0..8 {
        calls_to(&cluster, &relay, &leafs[0], 40).await;
        sleep(Duration::from_millis(700)).await;
    }
    calls_to(&cluster, &relay, &leafs[0], 40).await;
    assert_eq!(calls_to(&cluster, &relay, &leafs[0], 40).await, 0);
    cluster.leafs.set_behaviour(&leafs[0], healthy());
    cluster
        .store
        .put_leaf(&leafs[0], incarnation_entry(2, LeafState::Ready));
    sleep(Duration::from_millis(500)).await;
    let calls = calls_to(&cluster, &relay, &leafs[0], 30).await;
    assert!(calls > 0, "no call in 30 requests");
}

/// Guards against a restarted leaf that gets no calls because its previous
/// incarnation was draining.
#[tokio::test(start_paused = true)]
async fn a_draining_leaf_takes_requests_after_a_restart() {
    let (cluster, leafs, relay) = cluster(1, RetrySafety::Idempotent).await;
    cluster
        .store
        .put_leaf(&leafs[0], incarnation_entry(1, LeafState::Draining));
    sleep(Duration::from_secs(3)).await;
    assert!(matches!(
        relay.forward(request("r", "/a/x")).await,
        Reply::Declined(_)
    ));
    cluster
        .store
        .put_leaf(&leafs[0], incarnation_entry(2, LeafState::Ready));
    sleep(Duration::from_secs(1)).await;
    assert!(matches!(
        relay.forward(request("s", "/a/x")).await,
        Reply::Whole(_)
    ));
}

/// Guards against calls to a leaf's old address after a stale update reports its
/// previous incarnation.
#[tokio::test(start_paused = true)]
async fn an_earlier_incarnation_is_not_called_again() {
    let (cluster, leafs, relay) = cluster(1, RetrySafety::Idempotent).await;
    let new_address = "10.1.0.2:1".parse().unwrap();
    let restarted = LeafRegistration {
        address: new_address,
        ..incarnation_entry(2, LeafState::Ready)
    };
    cluster.store.put_leaf(&leafs[0], restarted);
    sleep(Duration::from_secs(1)).await;
    cluster
        .store
        .put_leaf(&leafs[0], incarnation_entry(1, LeafState::Ready));
    sleep(Duration::from_secs(1)).await;
    relay.forward(request("r", "/a/x")).await;
    assert_eq!(
        cluster
            .leafs
            .received_calls()
            .last()
            .map(|call| call.address),
        Some(new_address)
    );
}

/// Guards against an at-most-once request that runs twice because its leaf
/// restarted, under the same id, during the call.
#[tokio::test(start_paused = true)]
async fn a_once_request_is_not_retried_on_a_restarted_leaf() {
    let (cluster, leafs, relay) = cluster(1, RetrySafety::Once).await;
    cluster.leafs.set_behaviour(
        &leafs[0],
        Behaviour::DropsConnectionAfter(Duration::from_millis(900)),
    );
    let restart = async {
        sleep(Duration::from_millis(100)).await;
        cluster.leafs.set_behaviour(&leafs[0], healthy());
        cluster
            .store
            .put_leaf(&leafs[0], incarnation_entry(2, LeafState::Ready));
    };
    let (reply, ()) = tokio::join!(relay.forward(request("once", "/a/x")), restart);
    assert!(matches!(reply, Reply::Declined(_)), "{reply:?}");
    let runs = cluster
        .leafs
        .received_calls()
        .iter()
        .filter(|call| call.request == "once")
        .count();
    assert_eq!(runs, 1);
}

/// Guards against a restarted leaf that gets no calls because calls to its
/// previous incarnation, still in flight at the restart, were lost.
#[tokio::test(start_paused = true)]
async fn lost_calls_to_an_earlier_incarnation_do_not_affect_the_new_one() {
    let (cluster, leafs, relay) = cluster(2, RetrySafety::Idempotent).await;
    cluster.leafs.set_behaviour(
        &leafs[0],
        Behaviour::DropsConnectionAfter(Duration::from_millis(900)),
    );
    let in_flight = (0..40).map(|n| {
        let relay = relay.clone();
        async move { relay.forward(request(&format!("r{n}"), "/a/x")).await }
    });
    let restart = async {
        sleep(Duration::from_millis(100)).await;
        cluster.leafs.set_behaviour(&leafs[0], healthy());
        cluster
            .store
            .put_leaf(&leafs[0], incarnation_entry(2, LeafState::Ready));
    };
    tokio::join!(join_all(in_flight), restart);
    let calls = calls_to(&cluster, &relay, &leafs[0], 40).await;
    assert!(calls > 0, "no call in 40 requests");
}

/// Guards against calls to a leaf whose entry was overwritten with an unreadable
/// one, also at entries that receive the change from a peer.
#[tokio::test(start_paused = true)]
async fn a_leaf_with_an_unreadable_entry_is_not_called() {
    let cluster = Cluster::default();
    let leafs = cluster.add_leafs("archive", 1, 10);
    cluster
        .store
        .put_book(archive_book(RetrySafety::Idempotent));
    let entries = [cluster.serving(1).await, cluster.serving(2).await];
    sleep(Duration::from_secs(8)).await;
    cluster.store.corrupt_leaf(&leafs[0]);
    sleep(Duration::from_millis(800)).await;
    for relay in &entries {
        let reply = relay.forward(request("r", "/a/x")).await;
        assert!(matches!(reply, Reply::Declined(_)), "{reply:?}");
    }
    cluster
        .store
        .put_leaf(&leafs[0], leaf_entry("archive", LeafState::Ready));
    sleep(Duration::from_millis(800)).await;
    for relay in &entries {
        let reply = relay.forward(request("s", "/a/x")).await;
        assert!(matches!(reply, Reply::Whole(_)), "{reply:?}");
    }
}
