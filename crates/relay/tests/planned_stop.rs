//! Requests around the planned stop of an entry, whose process is killed at the end of its grace.

mod world;

use std::time::Duration;

use chestnut_book::{RetrySafety, Rule, Target};
use chestnut_relay::{DeclineReason, Declined, Relay, RelayRequest, Reply};
use chestnut_unit::{Execution, LeafId};
use futures::future::join_all;
use rstest::rstest;
use tokio::time::{Instant, sleep, sleep_until};
use world::{Behaviour, Cluster, book, gather, missing, record, request, rule, service_name};

/// `times.grace` of the entries, unless a test sets another.
const GRACE: Duration = Duration::from_secs(6);
/// Timeout of the rules and of their callers, longer than the grace.
const TIMEOUT: Duration = Duration::from_secs(8);
/// Requests of each rule that the entry has answered before the stop.
const OBSERVED: usize = 40;

/// A rule of one service under `/a/`, and a gather of two under `/q/`.
fn rules(kind: RetrySafety) -> Vec<Rule> {
    let one = rule("/a/", kind, Target::One(service_name("archive")));
    let all = rule("/q/", RetrySafety::Idempotent, gather(&["s1", "s2"], 500));
    [one, all]
        .into_iter()
        .map(|rule| Rule {
            timeout: TIMEOUT,
            ..rule
        })
        .collect()
}

/// Starts an entry whose leafs work for `work` on each request, and that has
/// answered [`OBSERVED`] requests of each rule.
async fn entry(kind: RetrySafety, work: Duration, grace: Duration) -> (Cluster, Relay) {
    let cluster = Cluster {
        grace: Some(grace),
        ..Cluster::default()
    };
    for service in ["archive", "s1", "s2"] {
        cluster.add_leafs(service, 6, work.as_millis() as u64);
    }
    cluster.store.put_book(book(1, rules(kind)));
    let relay = cluster.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    for path in ["/a/x", "/q/x"] {
        for _ in 0..OBSERVED / 8 {
            let ids: Vec<String> = (0..8).map(|n| format!("before-{n}")).collect();
            join_all(ids.iter().map(|id| send(&relay, id, path))).await;
        }
    }
    (cluster, relay)
}

/// Sends a request whose caller waits for the whole timeout; returns the reply and its time.
async fn send(relay: &Relay, id: &str, path: &'static str) -> (Reply, Duration) {
    let request = RelayRequest {
        remaining: Some(TIMEOUT),
        ..request(id, path)
    };
    let start = Instant::now();
    let reply = relay.forward(request).await;
    (reply, start.elapsed())
}

/// The refusal of a reply, if it is one.
fn declined(reply: &Reply) -> Option<Declined> {
    match reply {
        Reply::Declined(declined) => Some(*declined),
        _ => None,
    }
}

/// Whether the reply is a refusal by a stop that says "not run" and when to come back.
fn is_refused(reply: &Reply) -> bool {
    declined(reply).is_some_and(|declined| {
        declined.reason == DeclineReason::Stopping
            && declined.run == Execution::NotRun
            && declined.retry_after.is_some()
    })
}

/// Leafs that work on `id`, or have.
fn called(cluster: &Cluster, id: &str) -> usize {
    let calls = cluster.leafs.received_calls();
    calls.iter().filter(|call| call.request == id).count()
}

/// Guards against requests that are passed on and then cut off without an answer when the process
/// ends: each is answered within the grace, and one that can't be is refused at once, not run.
#[rstest]
#[case::short(220, GRACE)]
#[case::quarter(1300, GRACE)]
#[case::claimed(2500, GRACE)]
#[case::most(4000, GRACE)]
#[case::longer_than_the_grace(7000, GRACE)]
#[case::short_grace(700, Duration::from_secs(1))]
#[case::long_grace(3000, Duration::from_secs(30))]
#[tokio::test(start_paused = true)]
async fn each_request_of_a_stop_is_answered_or_refused(
    #[case] work_ms: u64,
    #[case] grace: Duration,
) {
    let work = Duration::from_millis(work_ms);
    let (cluster, relay) = entry(RetrySafety::Idempotent, work, grace).await;
    let stop = Instant::now();
    relay.leave().await;
    let sends = (0..60).map(|n| {
        let (relay, at) = (relay.clone(), stop + grace * n / 60);
        async move {
            sleep_until(at).await;
            let id = format!("r{n}");
            let (reply, took) = send(&relay, &id, "/a/x").await;
            (id, at, reply, took)
        }
    });
    for (id, at, reply, took) in join_all(sends).await {
        let since = at - stop;
        assert!(
            since + took < grace,
            "sent at {since:?}, {took:?}: {reply:?}"
        );
        if is_refused(&reply) {
            assert!(took < Duration::from_millis(20), "held for {took:?}");
            assert_eq!(called(&cluster, &id), 0);
            assert!(
                since + work + Duration::from_millis(500) > grace,
                "refused at {since:?}, with time left"
            );
        } else {
            assert!(matches!(reply, Reply::Whole(_)), "{since:?}: {reply:?}");
        }
    }
}

/// Guards against a request that lasts longer than any before it and is cut off without an answer:
/// its caller hears before the process ends that it may have run.
#[rstest]
#[case(RetrySafety::Idempotent)]
#[case(RetrySafety::Once)]
#[tokio::test(start_paused = true)]
async fn a_request_of_unusual_length_is_answered_before_the_end(#[case] kind: RetrySafety) {
    let work = Duration::from_millis(20);
    let (cluster, relay) = entry(kind, work, GRACE).await;
    for n in 0..6 {
        let leaf = LeafId::new(format!("archive-{n}")).unwrap();
        cluster.leafs.set_behaviour(&leaf, Behaviour::Unresponsive);
    }
    let stop = Instant::now();
    let running = send(&relay, "r1", "/a/x");
    let stopping = async {
        sleep(Duration::from_millis(100)).await;
        relay.leave().await;
        sleep(Duration::from_secs(3)).await;
        send(&relay, "r2", "/a/x").await
    };
    let replies = tokio::join!(running, stopping);
    for (reply, _) in [replies.0, replies.1] {
        let declined = declined(&reply).unwrap();
        assert_eq!(declined.reason, DeclineReason::Stopping);
        assert_eq!(declined.run, Execution::Unknown);
        assert_eq!(declined.retry_after, None);
    }
    assert!(stop.elapsed() < GRACE, "{:?}", stop.elapsed());
}

/// Guards against a gather that is cut off for one silent shard when the process ends: the shards
/// that are there make an answer.
#[tokio::test(start_paused = true)]
async fn a_gather_is_answered_with_what_is_there_at_the_end() {
    let work = Duration::from_millis(20);
    let (cluster, relay) = entry(RetrySafety::Idempotent, work, GRACE).await;
    let mut late = book(2, rules(RetrySafety::Idempotent));
    late = {
        let rules = late.rules().map(|rule| Rule {
            objective: TIMEOUT,
            ..(**rule).clone()
        });
        book(2, rules.collect())
    };
    cluster.store.put_book(late);
    sleep(Duration::from_secs(1)).await;
    for n in 0..6 {
        let leaf = LeafId::new(format!("s2-{n}")).unwrap();
        cluster.leafs.set_behaviour(&leaf, Behaviour::Unresponsive);
    }
    let stop = Instant::now();
    relay.leave().await;
    let (reply, _) = send(&relay, "r", "/q/x").await;
    assert_eq!(missing(&reply), Some(1), "{reply:?}");
    assert!(stop.elapsed() < GRACE, "{:?}", stop.elapsed());
}

/// Guards against a request that waits for capacity until its call can't end any more, and is then
/// called, or held until the end: it is refused, not run, while there is time to go elsewhere.
#[tokio::test(start_paused = true)]
async fn a_waiting_request_is_refused_when_it_would_outlast_the_entry() {
    let work = Duration::from_secs(2);
    let (cluster, relay) = entry(RetrySafety::Idempotent, work, GRACE).await;
    let rules = rules(RetrySafety::Idempotent).into_iter().map(|rule| Rule {
        objective: TIMEOUT,
        ..rule
    });
    cluster.store.put_book(book(2, rules.collect()));
    sleep(Duration::from_secs(1)).await;
    let stop = Instant::now();
    relay.leave().await;
    sleep(Duration::from_millis(3300)).await;
    let ids: Vec<String> = (0..400).map(|n| format!("r{n}")).collect();
    let sender = &relay;
    let sends = ids
        .iter()
        .map(|id| async move { (id, send(sender, id, "/a/x").await) });
    let replies = join_all(sends).await;
    let served = replies
        .iter()
        .filter(|(_, (reply, _))| matches!(reply, Reply::Whole(_)));
    let refused = replies.iter().filter(|(_, (reply, _))| is_refused(reply));
    assert!(served.count() > 0);
    assert!(refused.clone().count() > 0);
    for (id, (_, took)) in refused {
        assert_eq!(called(&cluster, id), 0);
        assert!(*took < Duration::from_millis(500), "held for {took:?}");
    }
    assert!(replies.iter().all(|(_, (reply, _))| {
        declined(reply).is_none_or(|declined| declined.run == Execution::NotRun)
    }));
    assert!(stop.elapsed() < GRACE, "{:?}", stop.elapsed());
}

/// Guards against a second try that outlasts the process: after a lost call its caller hears at
/// once that there is no answer.
#[tokio::test(start_paused = true)]
async fn a_second_try_that_would_outlast_the_entry_is_not_made() {
    let work = Duration::from_secs(2);
    let (cluster, relay) = entry(RetrySafety::Idempotent, work, GRACE).await;
    for n in 0..6 {
        let leaf = LeafId::new(format!("archive-{n}")).unwrap();
        let lost = Behaviour::DropsConnectionAfter(Duration::from_secs(1));
        cluster.leafs.set_behaviour(&leaf, lost);
    }
    relay.leave().await;
    sleep(Duration::from_secs(3)).await;
    let (reply, took) = send(&relay, "r", "/a/x").await;
    assert_eq!(declined(&reply).map(|d| d.run), Some(Execution::Unknown));
    assert!(took < Duration::from_millis(1200), "held for {took:?}");
    assert_eq!(called(&cluster, "r"), 1);
}

/// Guards against a request that runs at most once and is passed on although some took longer than
/// what is left: its caller could not repeat it.
#[tokio::test(start_paused = true)]
async fn a_request_that_runs_once_is_passed_on_only_if_the_longest_would_end() {
    let work = Duration::from_millis(20);
    let (cluster, relay) = entry(RetrySafety::Once, work, GRACE).await;
    let slow = Behaviour::Answers(Duration::from_secs(2), record("archive"));
    let usual = Behaviour::Answers(work, record("archive"));
    for behaviour in [slow, usual] {
        for n in 0..6 {
            let leaf = LeafId::new(format!("archive-{n}")).unwrap();
            cluster.leafs.set_behaviour(&leaf, behaviour.clone());
        }
        send(&relay, "slow", "/a/x").await;
    }
    relay.leave().await;
    sleep(Duration::from_millis(3400)).await;
    assert!(matches!(
        send(&relay, "r1", "/a/x").await.0,
        Reply::Whole(_)
    ));
    sleep(Duration::from_millis(300)).await;
    assert!(is_refused(&send(&relay, "r2", "/a/x").await.0));
}

/// Guards against an entry that keeps taking connections when no request could be answered any
/// more, and against one that turns callers away while it could.
#[rstest]
#[case(20)]
#[case(2500)]
#[tokio::test(start_paused = true)]
async fn an_entry_serves_as_long_as_requests_can_end(#[case] work_ms: u64) {
    let work = Duration::from_millis(work_ms);
    let (_cluster, relay) = entry(RetrySafety::Idempotent, work, GRACE).await;
    let start = Instant::now();
    let stop = relay.leave().await;
    stop.serve(std::future::pending()).await;
    let served = start.elapsed();
    let last = GRACE.checked_sub(work).unwrap();
    assert!(served < last, "{served:?}");
    assert!(served + Duration::from_millis(600) > last, "{served:?}");
}
