//! Rate limits on calls to cold leafs: those that have just started and crash under load.

mod world;

use std::{collections::BTreeMap, path::Path, time::Duration};

use chestnut_book::{ColdRule, RetrySafety, RouteBook};
use chestnut_relay::{
    ColdLimits, Declined, LeafRegistration, LeafState, Phase, Relay, RelaySettings, Reply,
};
use chestnut_unit::{CallRate, Execution, LeafId};
use rstest::rstest;
use tokio::time::{Instant, sleep};
use world::{
    Availability, Behaviour, Cluster, book_with_cold, gather, leaf_entry, peer_address, record,
    request, rule,
};

const DOMAINS: [&str; 3] = ["dub-a", "dub-b", "kdr-c"];
const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];
/// How long a leaf stays cold after it started.
const WARMUP: Duration = Duration::from_secs(3);
/// Interval over which calls to a leaf are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Highest number of calls per second that a cold leaf may get: the rate in the book, times
/// `over`, plus `slack` of the settings.
const MAX_RATE: usize = 14;
/// Time in which a change in the store reaches every entry.
const PROPAGATION: Duration = Duration::from_millis(1500);

/// A book that limits the call rate of cold leafs.
fn limited_book(version: u64) -> RouteBook {
    let cold = ColdRule {
        rate: CallRate::per_second(6.0),
        span: WARMUP,
    };
    let rules = vec![rule(
        "/all/",
        RetrySafety::Idempotent,
        gather(&SHARDS, 1000),
    )];
    book_with_cold(version, rules, Some(cold))
}

fn leaf_id(shard: &str, domain: &str) -> LeafId {
    LeafId::new(format!("{shard}-{domain}")).unwrap()
}

/// Adds or replaces a leaf that has just started and is cold for `warmup`.
fn register(cluster: &Cluster, shard: &str, domain: &str, warmup: Duration) {
    let entry = LeafRegistration {
        domain: domain.parse().unwrap(),
        warmup,
        ..leaf_entry(shard, LeafState::Ready)
    };
    let id = leaf_id(shard, domain);
    cluster.store.put_leaf(&id, entry);
    let answer = Behaviour::Answers(Duration::from_millis(5), record(shard));
    cluster.leafs.set_behaviour(&id, answer);
}

/// Does the same for a leaf of each shard in `domain`.
fn register_all(cluster: &Cluster, domain: &str, warmup: Duration) {
    for shard in SHARDS {
        register(cluster, shard, domain, warmup);
    }
}

/// A cluster with a warm leaf of each shard in each domain.
fn cluster() -> Cluster {
    let cluster = Cluster {
        domains: 3,
        seeds: vec![1, 2, 3],
        ..Cluster::default()
    };
    for domain in DOMAINS {
        register_all(&cluster, domain, Duration::ZERO);
    }
    cluster.store.put_book(limited_book(1));
    cluster
}

/// Sends `rate` requests per second for `span`, to the entries in turn.
async fn send_load(relays: &[Relay], rate: u32, span: Duration) -> Vec<Reply> {
    let mut sent = Vec::new();
    for n in 0..(span.as_secs_f64() * f64::from(rate)) as usize {
        let relay = relays[n % relays.len()].clone();
        sent.push(tokio::spawn(async move {
            relay.forward(request(&format!("r{n}"), "/all/x")).await
        }));
        sleep(Duration::from_secs(1) / rate).await;
    }
    let mut replies = Vec::new();
    for task in sent {
        replies.push(task.await.unwrap());
    }
    replies
}

/// The highest number of calls that one leaf of `domain` got within `WINDOW`, between `from`
/// and `from + span`.
fn peak_rate(cluster: &Cluster, domain: &str, from: Instant, span: Duration) -> usize {
    let mut calls: BTreeMap<LeafId, Vec<Instant>> = BTreeMap::new();
    for call in cluster.leafs.received_calls() {
        let in_span = call.at >= from && call.at < from + span;
        if in_span && call.leaf.as_str().ends_with(domain) {
            calls.entry(call.leaf).or_default().push(call.at);
        }
    }
    let count_from = |times: &[Instant], at: Instant| {
        let in_window = |time: &&Instant| **time >= at && **time < at + WINDOW;
        times.iter().filter(in_window).count()
    };
    let peak = |times: &Vec<Instant>| times.iter().map(|at| count_from(times, *at)).max();
    calls.values().filter_map(peak).max().unwrap_or(0)
}

/// Counts the requests that were answered.
fn served(replies: &[Reply]) -> usize {
    let merged = |reply: &&Reply| matches!(reply, Reply::Merged { .. });
    replies.iter().filter(merged).count()
}

/// Guards against cold leafs that crash because the calls of many entries add up, and against
/// cold leafs that get too few calls.
#[rstest]
#[case(9)]
#[case(73)]
#[tokio::test(start_paused = true)]
async fn cold_leafs_are_used_up_to_their_rate_limit(#[case] entries: u16) {
    let cluster = cluster();
    let relays = cluster.serving_all(entries).await;
    // Without the other domains, all calls go to the cold one.
    for domain in &DOMAINS[1..] {
        for shard in SHARDS {
            cluster.store.delete_leaf(&leaf_id(shard, domain));
        }
    }
    register_all(&cluster, DOMAINS[0], WARMUP);
    sleep(PROPAGATION).await;
    let start = Instant::now();
    register_all(&cluster, DOMAINS[0], WARMUP);
    let replies = send_load(&relays, 200, WARMUP).await;
    let peak = peak_rate(&cluster, DOMAINS[0], start, WARMUP);
    assert!(peak <= MAX_RATE, "{peak} calls in a second");
    assert!(peak * 2 >= MAX_RATE, "{peak} calls in a second");
    assert!(served(&replies) >= 12, "{} served", served(&replies));
}

/// Guards against queries that are queued for leafs which may not be called, and against a
/// refusal as "not run" after a leaf was called.
#[tokio::test(start_paused = true)]
async fn requests_beyond_the_cold_rate_limit_are_refused_at_once() {
    let cluster = cluster();
    let relays = cluster.serving_all(1).await;
    for domain in DOMAINS {
        register_all(&cluster, domain, WARMUP);
    }
    sleep(PROPAGATION).await;
    let calls = cluster.leafs.received_calls().len();
    let mut refused = 0;
    for n in 0..200 {
        let (start, reply) = (
            Instant::now(),
            relays[0].forward(request(&format!("n{n}"), "/all/x")).await,
        );
        if let Reply::Declined(Declined {
            run, retry_after, ..
        }) = reply
        {
            assert_eq!((run, retry_after.is_some()), (Execution::NotRun, true));
            assert_eq!(Instant::now(), start, "the refusal was delayed");
            refused += 1;
        }
    }
    // A single entry holds one of four leases; each shard has three leafs.
    let max_queries = 3 * MAX_RATE.div_ceil(4);
    assert!(refused >= 200 - max_queries, "{refused}");
    let calls = cluster.leafs.received_calls().len() - calls;
    assert!(calls <= max_queries * SHARDS.len(), "{calls}");
}

/// Guards against a leaf that is called at the full rate because only the warm-up time in its
/// entry changed.
#[tokio::test(start_paused = true)]
async fn a_leaf_that_becomes_cold_again_is_rate_limited_again() {
    let cluster = cluster();
    let relays = cluster.serving_all(9).await;
    let before = Instant::now();
    send_load(&relays, 200, Duration::from_secs(1)).await;
    let domain = DOMAINS
        .iter()
        .find(|d| peak_rate(&cluster, d, before, WINDOW) > MAX_RATE);
    let domain = domain.expect("no domain is called above the limit");
    for round in 0..2 {
        register_all(&cluster, domain, WARMUP);
        sleep(PROPAGATION).await;
        let start = Instant::now();
        send_load(&relays, 200, WARMUP - PROPAGATION).await;
        let peak = peak_rate(&cluster, domain, start, WARMUP);
        assert!(peak <= MAX_RATE, "round {round}: {peak} calls in a second");
        register_all(&cluster, domain, Duration::ZERO);
        sleep(WARMUP).await;
        let start = Instant::now();
        send_load(&relays, 200, Duration::from_secs(1)).await;
        let peaks = DOMAINS.map(|d| peak_rate(&cluster, d, start, WINDOW));
        assert!(
            peaks.iter().any(|peak| *peak > MAX_RATE),
            "round {round}: {peaks:?}"
        );
    }
}

/// Guards against a domain that is called at the full rate as soon as its evacuation ends: its
/// leafs may have become cold, which their entries report only later.
#[tokio::test(start_paused = true)]
async fn leafs_count_as_cold_after_an_evacuation() {
    let cluster = cluster();
    let relays = cluster.serving_all(9).await;
    for domain in DOMAINS {
        cluster.store.evacuate(domain);
    }
    sleep(PROPAGATION).await;
    cluster.store.end_evacuation(DOMAINS[1]);
    let start = Instant::now();
    let replies = send_load(&relays, 200, WARMUP).await;
    let peak = peak_rate(&cluster, DOMAINS[1], start, WARMUP);
    assert!((1..=MAX_RATE).contains(&peak), "{peak} calls in a second");
    assert!(served(&replies) > 0);
    let replies = send_load(&relays, 100, Duration::from_secs(2)).await;
    let unserved = replies.len() - served(&replies);
    assert!(
        unserved * 2 < replies.len(),
        "{unserved} of {} not served",
        replies.len()
    );
}

/// Guards against entries that each use the whole rate limit because they have just started
/// and don't know each other.
#[rstest]
#[case(false)]
#[case(true)]
#[tokio::test(start_paused = true)]
async fn cold_leafs_are_rate_limited_after_all_entries_restart(#[case] store_lost: bool) {
    let cluster = cluster();
    let relays = cluster.serving_all(9).await;
    for n in 1..=9 {
        cluster.net.remove(peer_address(n));
        cluster.feeds.disconnect(peer_address(n));
    }
    drop(relays);
    for domain in DOMAINS {
        register_all(&cluster, domain, WARMUP);
    }
    let start = Instant::now();
    let mut relays = Vec::new();
    for n in 1..=9 {
        relays.push(cluster.spawn(n).await);
    }
    if store_lost {
        sleep(Duration::from_millis(300)).await;
        cluster.store.set_answers(Availability::Unresponsive);
    }
    send_load(&relays, 300, WARMUP).await;
    for domain in DOMAINS {
        let peak = peak_rate(&cluster, domain, start, WARMUP);
        assert!(peak <= MAX_RATE, "{domain}: {peak} calls in a second");
    }
    assert!(relays.iter().any(|relay| relay.phase() == Phase::Serving));
}

/// Guards against an entry that fails to start when the `[cold]` settings are missing or
/// incomplete.
#[rstest]
#[case("", 1.0, 0.0)]
#[case("[cold]\n", 1.0, 0.0)]
#[case("[cold]\nslack = 5\n", 1.0, 5.0)]
#[case("[cold]\nover = 1.5\nslack = 5\n", 1.5, 5.0)]
fn settings_for_cold_leafs_are_optional(#[case] cold: &str, #[case] over: f64, #[case] slack: f64) {
    let text = format!(
        "[entry]\nmember = \"e\"\ndomain = \"d\"\ncores = 1\nlink = 1\nfiles = 1024\n\
         [listen]\ncallers = \"10.0.0.1:1\"\nreadiness = \"10.0.0.1:2\"\n\
         directory = \"10.0.0.1:3\"\npeers = \"10.0.0.1:4\"\nmetrics = \"10.0.0.1:5\"\n\
         [store]\naddress = \"10.0.9.9:1\"\n[extra]\npart = 0.2\nslack = 52\nwindow = \"10s\"\n\
         {cold}[times]\ngrace = \"6s\"\ndrain = \"3s\"\n"
    );
    let settings = RelaySettings::parse(&text, Path::new("entry.toml")).unwrap();
    assert_eq!(settings.cold, ColdLimits { over, slack });
}

/// Guards against leases that are taken, and calls that are limited, although the book has no
/// rule for cold leafs.
#[tokio::test(start_paused = true)]
async fn cold_leafs_without_a_rule_are_not_rate_limited() {
    let cluster = cluster();
    let rules = vec![rule(
        "/all/",
        RetrySafety::Idempotent,
        gather(&SHARDS, 1000),
    )];
    cluster.store.put_book(book_with_cold(2, rules, None));
    let relays = cluster.serving_all(3).await;
    for domain in DOMAINS {
        register_all(&cluster, domain, WARMUP);
    }
    sleep(PROPAGATION).await;
    let replies = send_load(&relays, 100, Duration::from_secs(1)).await;
    assert_eq!(served(&replies), replies.len());
    assert_eq!(cluster.store.leases(), 0);
}
