//! Replies to callers when shards have less capacity than requests need.

mod world;

use std::time::Duration;

use chestnut_book::RetrySafety;
use chestnut_relay::{Declined, Relay, Reply};
use chestnut_unit::Execution;
use futures::future::join_all;
use tokio::time::{Instant, sleep};
use world::{Behaviour, Cluster, book, gather, missing, request, rule};

const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];
/// Latency objective of the rules.
const OBJECTIVE: Duration = Duration::from_millis(200);
/// Network delay to the caller: the round trips for lookup, connection and request.
const CALLER_DELAY: Duration = Duration::from_millis(24);

/// Four shards, of which the last has a single leaf with five slots that takes `ms`
/// per call; the others have capacity for every request.
fn one_limited_shard(coverage: u16, ms: u64) -> Cluster {
    let cluster = Cluster::default();
    for shard in &SHARDS[..3] {
        cluster.add_leafs(shard, 3, 10);
    }
    let limited = cluster.add_leafs("s4", 1, ms);
    cluster.leafs.set_slots(&limited[0], 5);
    let target = gather(&SHARDS, coverage);
    cluster
        .store
        .put_book(book(1, vec![rule("/q/", RetrySafety::Idempotent, target)]));
    cluster
}

/// A reply and its latency.
type Timed = (Reply, Duration);

/// Sends `count` requests, one every `gap`.
async fn send(relay: &Relay, count: u32, gap: Duration) -> Vec<Timed> {
    let ids: Vec<String> = (0..count).map(|n| format!("r{n}")).collect();
    let requests = (0..count).zip(&ids).map(|(n, id)| async move {
        sleep(gap * n).await;
        let start = Instant::now();
        let reply = relay.forward(request(id, "/q/x")).await;
        (reply, start.elapsed())
    });
    join_all(requests).await
}

fn as_declined(reply: &Reply) -> Option<Declined> {
    match reply {
        Reply::Declined(declined) => Some(*declined),
        _ => None,
    }
}

/// Guards against calls to other shards for a request that one shard has no capacity
/// for: it is queued before its first call, or declined as not run.
#[tokio::test(start_paused = true)]
async fn request_without_capacity_makes_no_call() {
    let cluster = one_limited_shard(1000, 40);
    let relay = cluster.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    // Twice the rate that the limited leaf can serve.
    let replies = send(&relay, 250, Duration::from_millis(4)).await;
    let served = replies.iter().filter(|(reply, _)| missing(reply).is_some());
    let served = served.count();
    for (reply, elapsed) in &replies {
        match as_declined(reply) {
            Some(declined) => {
                assert_eq!(declined.run, Execution::NotRun);
                assert!(declined.retry_after.is_some());
                assert!(*elapsed <= OBJECTIVE / 2, "queued for {elapsed:?}");
            }
            None => assert!(*elapsed <= OBJECTIVE, "late by {elapsed:?}"),
        }
    }
    assert!(served >= 110, "{served} of the 125 that the leaf can serve");
    let received = cluster.leafs.received_calls();
    let to_others = received
        .iter()
        .filter(|call| !call.leaf.as_str().starts_with("s4"));
    assert_eq!(to_others.count(), served * 3);
}

/// Guards against requests that queue in vain and are declined too late for a retry:
/// those that can't be served within the wait limit are declined at once.
#[tokio::test(start_paused = true)]
async fn request_beyond_the_wait_limit_is_declined_at_once() {
    let cluster = one_limited_shard(1000, 40);
    let relay = cluster.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    // Lets the entry learn the latency of calls.
    send(&relay, 40, Duration::from_millis(20)).await;
    let replies = send(&relay, 200, Duration::ZERO).await;
    let at_once = replies.iter().filter(|(reply, elapsed)| {
        let not_run = as_declined(reply).is_some_and(|declined| declined.run == Execution::NotRun);
        not_run && *elapsed < Duration::from_millis(5)
    });
    assert!(at_once.count() >= 150);
}

/// Guards against late or missing answers when a shard without capacity is not needed
/// for the minimum coverage.
#[tokio::test(start_paused = true)]
async fn optional_shard_without_capacity_is_left_out() {
    let cluster = one_limited_shard(750, 40);
    let relay = cluster.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    let replies = send(&relay, 250, Duration::from_millis(4)).await;
    assert!(
        replies
            .iter()
            .all(|(_, elapsed)| *elapsed <= OBJECTIVE - CALLER_DELAY)
    );
    let with_missing = |n| replies.iter().filter(move |(r, _)| missing(r) == Some(n));
    assert_eq!(with_missing(0).count() + with_missing(1).count(), 250);
    assert!(
        with_missing(0).count() >= 110,
        "{} complete",
        with_missing(0).count()
    );
}

/// Guards against failing a request at once when a shard sheds its call and the extra
/// call budget is empty: the retry waits for budget until the objective.
#[tokio::test(start_paused = true)]
async fn shed_call_waits_for_the_budget() {
    let cluster = Cluster::default();
    for shard in SHARDS {
        cluster.add_leafs(shard, 1, 10);
    }
    let shedding = cluster.add_leafs("s4", 1, 10);
    let target = gather(&SHARDS, 1000);
    cluster
        .store
        .put_book(book(1, vec![rule("/q/", RetrySafety::Idempotent, target)]));
    let relay = cluster.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    cluster.leafs.set_behaviour(&shedding[0], Behaviour::Sheds);
    // Exhausts the budget.
    send(&relay, 60, Duration::from_millis(2)).await;
    let last = send(&relay, 1, Duration::ZERO);
    let recovery = async {
        sleep(Duration::from_millis(60)).await;
        cluster.add_leafs("s4", 1, 10);
    };
    let (replies, ()) = tokio::join!(last, recovery);
    assert_eq!(missing(&replies[0].0), Some(0));
    assert!(replies[0].1 <= OBJECTIVE, "{:?}", replies[0].1);
}

/// Guards against declined requests when two shards are short of capacity, each request
/// needs only one of them, and earlier requests take both.
#[tokio::test(start_paused = true)]
async fn optional_capacity_is_left_to_requests_that_need_it() {
    let cluster = Cluster::default();
    for shard in &SHARDS[..2] {
        cluster.add_leafs(shard, 3, 10);
    }
    for shard in &SHARDS[2..] {
        let limited = cluster.add_leafs(shard, 1, 40);
        cluster.leafs.set_slots(&limited[0], 5);
    }
    let target = gather(&SHARDS, 750);
    cluster
        .store
        .put_book(book(1, vec![rule("/q/", RetrySafety::Idempotent, target)]));
    let relay = cluster.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    // 167 requests per second; each of the two shards serves 125.
    let replies = send(&relay, 500, Duration::from_millis(6)).await;
    let in_time =
        |(r, elapsed): &&Timed| missing(r).is_some() && *elapsed <= OBJECTIVE - CALLER_DELAY;
    let served = replies.iter().filter(in_time).count();
    assert!(served >= 490, "{served} of 500");
}
