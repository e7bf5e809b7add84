//! Forwarding: the replies that callers get and the calls that leafs get.

mod world;

use std::time::Duration;

use chestnut_book::{RetrySafety, Target};
use chestnut_relay::{DeclineReason, LeafState, Reply};
use chestnut_unit::Execution;
use futures::future::join_all;
use rstest::rstest;
use tokio::time::{Instant, sleep, timeout};
use world::{
    Behaviour, Cluster, book, gather, leaf_entry, missing, record, request, rule, service_name,
};

/// A book with one rule, for the `archive` service.
fn archive_book(kind: RetrySafety) -> chestnut_book::RouteBook {
    book(
        1,
        vec![rule("/a/", kind, Target::One(service_name("archive")))],
    )
}

/// Guards against a merged answer that lacks a shard or has records out of order.
#[tokio::test(start_paused = true)]
async fn a_gather_merges_every_shard() {
    let cluster = Cluster::default();
    for shard in ["s1", "s2", "s3"] {
        cluster.add_leafs(shard, 3, 10);
    }
    let target = gather(&["s1", "s2", "s3"], 900);
    cluster
        .store
        .put_book(book(1, vec![rule("/q/", RetrySafety::Idempotent, target)]));
    let relay = cluster.serving(1).await;
    let Reply::Merged {
        signatures,
        missing,
        body,
    } = relay.forward(request("r", "/q/x")).await
    else {
        panic!("no merge");
    };
    assert_eq!((signatures.len(), missing), (3, 0));
    let expected: Vec<u8> = ["s3", "s2", "s1"].map(record).concat();
    assert_eq!(body, expected);
}

/// Guards against an answer that misses its latency objective because one shard
/// never answers, although the others reach the minimum coverage.
#[tokio::test(start_paused = true)]
async fn a_silent_shard_is_left_out_near_the_latency_objective() {
    let cluster = Cluster::default();
    let shards = ["s1", "s2", "s3", "s4"];
    for shard in shards {
        cluster.add_leafs(shard, 2, 10);
    }
    for leaf in cluster.add_leafs("s4", 2, 0) {
        cluster.leafs.set_behaviour(&leaf, Behaviour::Unresponsive);
    }
    let target = gather(&shards, 750);
    cluster
        .store
        .put_book(book(1, vec![rule("/q/", RetrySafety::Idempotent, target)]));
    let relay = cluster.serving(1).await;
    let start = Instant::now();
    let reply = relay.forward(request("r", "/q/x")).await;
    assert_eq!(missing(&reply), Some(1));
    let span = start.elapsed();
    assert!(
        span >= Duration::from_millis(150) && span <= Duration::from_millis(200),
        "{span:?}"
    );
}

/// Guards against a late refusal, or one with an unknown outcome, when every leaf
/// refused the call as full.
#[tokio::test(start_paused = true)]
async fn requests_refused_by_full_leafs_are_reported_as_not_run() {
    let cluster = Cluster::default();
    for leaf in cluster.add_leafs("archive", 3, 10) {
        cluster.leafs.set_behaviour(&leaf, Behaviour::Sheds);
    }
    cluster.store.put_book(archive_book(RetrySafety::Once));
    let relay = cluster.serving(1).await;
    let start = Instant::now();
    let Reply::Declined(declined) = relay.forward(request("r", "/a/x")).await else {
        panic!("not declined");
    };
    assert_eq!(declined.run, Execution::NotRun);
    assert!(declined.retry_after.is_some());
    assert!(start.elapsed() < Duration::from_millis(50));
}

/// Guards against a request that runs twice although it must run at most once:
/// only proof that a call did not run allows a retry.
#[rstest]
#[case::lost(Behaviour::DropsConnection)]
#[case::unresponsive(Behaviour::Unresponsive)]
#[case::failed(Behaviour::ServerError)]
#[tokio::test(start_paused = true)]
async fn once_requests_that_may_have_run_are_not_retried(#[case] behaviour: Behaviour) {
    let cluster = Cluster::default();
    for leaf in cluster.add_leafs("archive", 3, 10) {
        cluster.leafs.set_behaviour(&leaf, behaviour.clone());
    }
    cluster.store.put_book(archive_book(RetrySafety::Once));
    let relay = cluster.serving(1).await;
    let reply = relay.forward(request("r", "/a/x")).await;
    assert_eq!(cluster.leafs.received_calls().len(), 1);
    match reply {
        Reply::Declined(declined) => assert_eq!(declined.run, Execution::Unknown),
        Reply::Whole(reply) => assert_eq!(reply.response.status(), 500),
        Reply::Merged { .. } => panic!("not a gather"),
    }
}

/// Guards against a request that fails because one leaf refused it: a refusal
/// proves that it did not run, so even an at-most-once request may be retried.
#[tokio::test(start_paused = true)]
async fn a_refused_call_is_retried_on_another_leaf() {
    let cluster = Cluster::default();
    let leafs = cluster.add_leafs("archive", 3, 10);
    cluster.leafs.set_behaviour(&leafs[0], Behaviour::Sheds);
    cluster.leafs.set_behaviour(&leafs[1], Behaviour::Sheds);
    cluster.store.put_book(archive_book(RetrySafety::Once));
    let relay = cluster.serving(1).await;
    // Retries after refusals count against the budget, which first calls refill.
    let mut answered = 0;
    for _ in 0..60 {
        answered += usize::from(matches!(
            relay.forward(request("r", "/a/x")).await,
            Reply::Whole(_)
        ));
    }
    assert!(answered >= 50, "{answered}");
}

/// Guards against a caller that waits for a silent leaf, and against more calls
/// than the attempts that the rule allows.
#[tokio::test(start_paused = true)]
async fn hedges_for_a_silent_leaf_stay_within_the_attempts() {
    let cluster = Cluster::default();
    let leafs = cluster.add_leafs("archive", 3, 10);
    cluster
        .store
        .put_book(archive_book(RetrySafety::Idempotent));
    let relay = cluster.serving(1).await;
    for _ in 0..60 {
        relay.forward(request("warm", "/a/x")).await;
    }
    cluster
        .leafs
        .set_behaviour(&leafs[0], Behaviour::Unresponsive);
    for n in 0..40 {
        let id = format!("r{n}");
        let reply = timeout(
            Duration::from_millis(500),
            relay.forward(request(&id, "/a/x")),
        )
        .await;
        assert!(matches!(reply, Ok(Reply::Whole(_))), "{id}");
        let received = cluster.leafs.received_calls();
        let calls = received.iter().filter(|call| call.request == id).count();
        assert!(calls <= 2, "{id}: {calls} leafs");
    }
}

/// Guards against calls that go on after their caller has disconnected.
#[tokio::test(start_paused = true)]
async fn calls_are_cancelled_when_the_caller_disconnects() {
    let cluster = Cluster::default();
    for leaf in cluster.add_leafs("archive", 1, 10) {
        cluster.leafs.set_behaviour(&leaf, Behaviour::Unresponsive);
    }
    cluster
        .store
        .put_book(archive_book(RetrySafety::Idempotent));
    let relay = cluster.serving(1).await;
    let reply = timeout(
        Duration::from_millis(30),
        relay.forward(request("r", "/a/x")),
    )
    .await;
    assert!(reply.is_err());
    assert_eq!(cluster.leafs.cancelled(), 1);
    assert_eq!(relay.in_flight(), 0);
}

/// Guards against requests that outlast the timeout of their rule, and against
/// calls with a deadline later than that of the request.
#[tokio::test(start_paused = true)]
async fn requests_end_at_the_timeout_of_the_rule() {
    let cluster = Cluster::default();
    for leaf in cluster.add_leafs("archive", 1, 10) {
        cluster.leafs.set_behaviour(&leaf, Behaviour::Unresponsive);
    }
    let mut rule = rule(
        "/a/",
        RetrySafety::Idempotent,
        Target::One(service_name("archive")),
    );
    rule.timeout = Duration::from_millis(700);
    cluster.store.put_book(book(1, vec![rule]));
    let relay = cluster.serving(1).await;
    let start = Instant::now();
    let Reply::Declined(declined) = relay.forward(request("r", "/a/x")).await else {
        panic!("answered");
    };
    assert_eq!(
        (declined.reason, declined.run),
        (DeclineReason::Timeout, Execution::Unknown)
    );
    assert!(start.elapsed() <= Duration::from_millis(701));
    assert!(cluster.leafs.received_calls()[0].timeout <= Duration::from_millis(700));
}

/// Guards against a retry storm: extra calls stay within a share of the first
/// calls plus this entry's quota of the slack.
#[tokio::test(start_paused = true)]
async fn extra_calls_stay_within_the_budget() {
    let cluster = Cluster::default();
    for leaf in cluster.add_leafs("archive", 3, 10) {
        cluster
            .leafs
            .set_behaviour(&leaf, Behaviour::DropsConnection);
    }
    cluster
        .store
        .put_book(archive_book(RetrySafety::Idempotent));
    let relay = cluster.serving(1).await;
    let requests = 500;
    for n in 0..requests {
        relay.forward(request(&format!("r{n}"), "/a/x")).await;
    }
    let extra = cluster.leafs.received_calls().len() - requests;
    assert!(extra <= requests / 5 + 52, "{extra}");
    assert!(
        extra >= requests / 10,
        "{extra}: too little of the budget was used"
    );
}

/// Guards against a split whose services get requests out of proportion to their
/// weights.
#[tokio::test(start_paused = true)]
async fn a_split_keeps_its_weights() {
    let cluster = Cluster::default();
    cluster.add_leafs("old", 2, 5);
    cluster.add_leafs("new", 2, 5);
    let target = Target::Split(vec![(service_name("old"), 70), (service_name("new"), 30)]);
    cluster
        .store
        .put_book(book(1, vec![rule("/a/", RetrySafety::Idempotent, target)]));
    let relay = cluster.serving(1).await;
    for n in 0..300 {
        relay.forward(request(&format!("r{n}"), "/a/x")).await;
    }
    let new = cluster
        .leafs
        .received_calls()
        .iter()
        .filter(|call| call.leaf.as_str().starts_with("new"))
        .count();
    assert!((87..=93).contains(&new), "{new}");
}

/// Guards against a starting entry that reports a path as unknown, or a serving
/// one that reports it as not ready.
#[tokio::test(start_paused = true)]
async fn an_unknown_path_is_distinguished_from_a_starting_entry() {
    let cluster = Cluster::default();
    let starting = cluster.spawn(2).await;
    let Reply::Declined(declined) = starting.forward(request("r", "/a/x")).await else {
        panic!("answered");
    };
    assert_eq!(
        (declined.reason, declined.run),
        (DeclineReason::NotReady, Execution::NotRun)
    );
    cluster.add_leafs("archive", 1, 10);
    cluster
        .store
        .put_book(archive_book(RetrySafety::Idempotent));
    let relay = cluster.serving(1).await;
    let Reply::Declined(declined) = relay.forward(request("r", "/b/x")).await else {
        panic!("answered");
    };
    assert_eq!(declined.reason, DeclineReason::NoRule);
    sleep(Duration::from_millis(1)).await;
    assert!(
        matches!(relay.forward(request("r", "/a/x")).await, Reply::Whole(r) if r.response.body().whole() == record("archive"))
    );
}

/// Guards against a leaf that attracts calls because it refuses them quickly:
/// load balancing must weigh its failure rate as well as its latency.
#[tokio::test(start_paused = true)]
async fn a_leaf_that_refuses_gets_few_calls() {
    let cluster = Cluster::default();
    let leafs = cluster.add_leafs("archive", 3, 20);
    cluster.leafs.set_behaviour(&leafs[0], Behaviour::Sheds);
    cluster
        .store
        .put_book(archive_book(RetrySafety::Idempotent));
    let relay = cluster.serving(1).await;
    let ids: Vec<String> = (0..300).map(|n| format!("r{n}")).collect();
    for group in ids.chunks(3) {
        join_all(group.iter().map(|id| relay.forward(request(id, "/a/x")))).await;
    }
    let received = cluster.leafs.received_calls();
    let refused = received.iter().filter(|call| call.leaf == leafs[0]).count();
    assert!(refused <= 60, "{refused} of {} calls", received.len());
}

/// Guards against queries that keep waiting for a shard whose leafs are all
/// unresponsive, and against a shard that stays excluded once its leafs answer.
#[tokio::test(start_paused = true)]
async fn an_unresponsive_shard_delays_no_query() {
    let cluster = Cluster::default();
    let shards = ["s1", "s2", "s3", "s4"];
    for shard in shards {
        cluster.add_leafs(shard, 2, 10);
    }
    let target = gather(&shards, 750);
    let book = book(1, vec![rule("/q/", RetrySafety::Idempotent, target)]);
    cluster.store.put_book(book);
    let relay = cluster.serving(1).await;
    for n in 0..40 {
        relay.forward(request(&format!("warm{n}"), "/q/x")).await;
    }
    let unresponsive = cluster.add_leafs("s4", 2, 10);
    for leaf in &unresponsive {
        cluster.leafs.set_behaviour(leaf, Behaviour::Unresponsive);
    }
    for n in 0..10 {
        relay.forward(request(&format!("dark{n}"), "/q/x")).await;
    }
    let start = Instant::now();
    let reply = relay.forward(request("r", "/q/x")).await;
    assert_eq!(missing(&reply), Some(1));
    assert!(
        start.elapsed() <= Duration::from_millis(20),
        "{:?}",
        start.elapsed()
    );
    let answers = Behaviour::Answers(Duration::from_millis(5), record("s4"));
    cluster
        .leafs
        .set_behaviour(&unresponsive[0], answers.clone());
    cluster.leafs.set_behaviour(&unresponsive[1], answers);
    for n in 0..10 {
        relay.forward(request(&format!("back{n}"), "/q/x")).await;
    }
    assert_eq!(
        missing(&relay.forward(request("whole", "/q/x")).await),
        Some(0)
    );
}

/// Guards against a hedge on a slow route that is sent too late for its answer
/// to meet the latency objective.
#[tokio::test(start_paused = true)]
async fn hedges_of_slow_calls_meet_the_latency_objective() {
    let cluster = Cluster::default();
    let leafs = cluster.add_leafs("archive", 2, 220);
    let mut slow = rule(
        "/a/",
        RetrySafety::Idempotent,
        Target::One(service_name("archive")),
    );
    slow.objective = Duration::from_millis(600);
    slow.timeout = Duration::from_secs(8);
    cluster.store.put_book(book(1, vec![slow]));
    let relay = cluster.serving(1).await;
    for n in 0..60 {
        // One call in ten is slow, which raises the hedge delay.
        let span = Duration::from_millis(if n % 10 == 0 { 600 } else { 220 });
        for leaf in &leafs {
            cluster
                .leafs
                .set_behaviour(leaf, Behaviour::Answers(span, record("archive")));
        }
        relay.forward(request(&format!("warm{n}"), "/a/x")).await;
    }
    cluster
        .leafs
        .set_behaviour(&leafs[0], Behaviour::Unresponsive);
    for n in 0..10 {
        let start = Instant::now();
        relay.forward(request(&format!("r{n}"), "/a/x")).await;
        assert!(
            start.elapsed() <= Duration::from_millis(600),
            "{:?}",
            start.elapsed()
        );
    }
}

/// Guards against calls for a query that cannot reach its minimum coverage since
/// too many shards have no leaf: their work would be wasted.
#[tokio::test(start_paused = true)]
async fn queries_that_cannot_reach_minimum_coverage_are_not_started() {
    let cluster = Cluster::default();
    cluster.add_leafs("s1", 2, 10);
    let target = gather(&["s1", "s2", "s3"], 900);
    cluster
        .store
        .put_book(book(1, vec![rule("/q/", RetrySafety::Idempotent, target)]));
    let relay = cluster.serving(1).await;
    let Reply::Declined(declined) = relay.forward(request("r", "/q/x")).await else {
        panic!("answered");
    };
    assert_eq!(declined.run, Execution::NotRun);
    assert!(declined.retry_after.is_some());
    assert_eq!(cluster.leafs.received_calls().len(), 0);
}

/// Guards against refusals while all leafs of a service are draining and can
/// still serve, and against calls to leafs that have left.
#[tokio::test(start_paused = true)]
async fn draining_leafs_serve_when_no_other_leaf_can() {
    let cluster = Cluster::default();
    let leafs = cluster.add_leafs("archive", 2, 10);
    cluster
        .store
        .put_book(archive_book(RetrySafety::Idempotent));
    let relay = cluster.serving(1).await;
    for leaf in &leafs {
        cluster
            .store
            .put_leaf(leaf, leaf_entry("archive", LeafState::Draining));
    }
    sleep(Duration::from_millis(600)).await;
    assert!(matches!(
        relay.forward(request("r", "/a/x")).await,
        Reply::Whole(_)
    ));
    sleep(Duration::from_millis(2000)).await;
    let late = Instant::now();
    assert!(matches!(
        relay.forward(request("r", "/a/x")).await,
        Reply::Declined(_)
    ));
    assert!(
        cluster
            .leafs
            .received_calls()
            .iter()
            .all(|call| call.at < late)
    );
}
