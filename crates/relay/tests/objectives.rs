//! Time at which answers are sent, given the time that callers spent before the request.

mod world;

use std::time::Duration;

use chestnut_book::RetrySafety;
use chestnut_relay::{Relay, RelayRequest, Reply};
use tokio::time::{Instant, sleep};
use world::{Cluster, book, gather, missing, request, rule};

/// Latency objective of the rule.
const OBJECTIVE: Duration = Duration::from_millis(50);
/// Timeout of its callers.
const CALLER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time to look up an entry and connect to it: three round trips.
const CONNECT_TIME: Duration = Duration::from_millis(6);
/// Response time of leafs.
const FAST_MS: u64 = 5;
/// Response time of the fourth shard's leafs once they are slow.
const SLOW_MS: u64 = 32;

/// Starts an entry whose rule queries four shards with a minimum coverage of three.
async fn relay() -> (Cluster, Relay) {
    relay_with_timeout(Duration::from_secs(2)).await
}

/// Like [`relay`], with the rule's timeout set.
async fn relay_with_timeout(timeout: Duration) -> (Cluster, Relay) {
    let cluster = Cluster::default();
    let shards = ["s1", "s2", "s3", "s4"];
    for shard in &shards[..3] {
        cluster.add_leafs(shard, 3, FAST_MS);
    }
    cluster.add_leafs(shards[3], 3, FAST_MS);
    let mut rule = rule("/q/", RetrySafety::Idempotent, gather(&shards, 750));
    rule.objective = OBJECTIVE;
    rule.timeout = timeout;
    cluster.store.put_book(book(1, vec![rule]));
    let relay = cluster.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    (cluster, relay)
}

/// Sends a request `spent` after its caller began; returns the reply and the time
/// that it took.
async fn send(relay: &Relay, spent: Duration) -> (Reply, Duration) {
    let request = RelayRequest {
        remaining: Some(CALLER_TIMEOUT - spent),
        ..request("r", "/q/x")
    };
    let start = Instant::now();
    let reply = relay.forward(request).await;
    (reply, start.elapsed())
}

/// Makes the fourth shard slow from now on.
fn slow_fourth_shard(cluster: &Cluster) {
    cluster.add_leafs("s4", 3, SLOW_MS);
}

/// Sends requests over kept connections, and every fourth over a new one.
async fn send_typical_requests(relay: &Relay) {
    for n in 0..60 {
        let spent = if n % 4 == 0 {
            CONNECT_TIME
        } else {
            Duration::ZERO
        };
        send(relay, spent).await;
    }
}

/// Guards against answers without a slow shard because connection time is reserved
/// also for callers that reuse a connection.
#[tokio::test(start_paused = true)]
async fn caller_with_an_open_connection_gets_the_slow_shard_too() {
    let (cluster, relay) = relay().await;
    send_typical_requests(&relay).await;
    slow_fourth_shard(&cluster);
    let (reply, elapsed) = send(&relay, Duration::ZERO).await;
    assert_eq!(missing(&reply), Some(0));
    assert!(elapsed + CONNECT_TIME / 3 <= OBJECTIVE, "{elapsed:?}");
}

/// Guards against late answers to callers that have used part of the objective to
/// connect.
#[tokio::test(start_paused = true)]
async fn caller_that_has_spent_time_is_answered_within_the_objective() {
    let (cluster, relay) = relay().await;
    send_typical_requests(&relay).await;
    slow_fourth_shard(&cluster);
    let spent = Duration::from_millis(20);
    let (reply, elapsed) = send(&relay, spent).await;
    assert_eq!(missing(&reply), Some(1));
    assert!(
        spent + elapsed + CONNECT_TIME / 3 <= OBJECTIVE,
        "{elapsed:?}"
    );
}

/// Guards against late answers from a new entry, which has seen no callers yet and
/// reserves four round trips of 6 ms for them.
#[tokio::test(start_paused = true)]
async fn new_entry_reserves_time_for_unknown_callers() {
    let (cluster, relay) = relay().await;
    slow_fourth_shard(&cluster);
    let (reply, elapsed) = send(&relay, Duration::ZERO).await;
    assert_eq!(missing(&reply), Some(1));
    assert!(
        elapsed + Duration::from_millis(24) <= OBJECTIVE,
        "{elapsed:?}"
    );
}

/// Guards against partial answers to callers that are past the objective, where
/// leaving out a shard can't make them on time.
#[tokio::test(start_paused = true)]
async fn caller_past_the_objective_gets_a_complete_answer() {
    let (cluster, relay) = relay().await;
    send_typical_requests(&relay).await;
    slow_fourth_shard(&cluster);
    let (reply, _) = send(&relay, Duration::from_millis(120)).await;
    assert_eq!(missing(&reply), Some(0));
}

/// Guards against late answers from an entry that has seen no caller with its whole
/// timeout left: it takes the rule's timeout as the time with which callers begin.
#[tokio::test(start_paused = true)]
async fn rule_timeout_is_the_starting_time_of_rare_callers() {
    let (cluster, relay) = relay_with_timeout(CALLER_TIMEOUT).await;
    let spent = Duration::from_millis(22);
    send(&relay, spent).await;
    slow_fourth_shard(&cluster);
    let (reply, elapsed) = send(&relay, spent).await;
    assert_eq!(missing(&reply), Some(1));
    assert!(
        spent + elapsed + Duration::from_millis(10) <= OBJECTIVE,
        "{elapsed:?}"
    );
}
