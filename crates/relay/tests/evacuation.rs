//! Evacuation: an operator stops all calls to the leafs of a failure domain.

mod world;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use chestnut_book::{RetrySafety, RouteBook, Target};
use chestnut_port::{Content, Item};
use chestnut_relay::{Declined, Evacuations, LeafEntry, LeafState, Phase, Relay, Reply, Shift};
use chestnut_unit::{DomainName, Execution, LeafId};
use futures::future::join_all;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::{Instant, sleep};
use world::{
    Answers, Manner, Stage, ask, book, entry, gather, missing, name, peers_address, record, rule,
};

/// Time in which a request of the operator takes effect at entries that reach the store or an
/// entry that has received it.
const PROPAGATION: Duration = Duration::from_secs(2);
/// Time after the last fault in which every entry must receive changes again.
const RECOVERY: Duration = Duration::from_secs(14);
const DOMAINS: [&str; 3] = ["dub-a", "dub-b", "kdr-c"];

/// The entry of a ready leaf in `domain`.
fn entry_in(service: &str, domain: &str) -> LeafEntry {
    LeafEntry {
        domain: domain.parse().unwrap(),
        ..entry(service, LeafState::Ready)
    }
}

/// Adds a leaf of `service` in `domain` that answers.
fn add_leaf(stage: &Stage, service: &str, domain: &str) -> LeafId {
    let id = LeafId::new(format!("{service}-{domain}")).unwrap();
    stage.store.put_leaf(&id, entry_in(service, domain));
    let answer = Manner::Answers(Duration::from_millis(5), record(service));
    stage.leafs.set(&id, answer);
    id
}

/// A book with one rule, for the `archive` service.
fn archive_book(version: u64) -> RouteBook {
    let target = Target::One(name("archive"));
    book(version, vec![rule("/a/", RetrySafety::Idempotent, target)])
}

/// A stage with one `archive` leaf in each domain.
fn stage() -> Stage {
    let stage = Stage {
        domains: 3,
        seeds: vec![1, 2, 3],
        ..Stage::default()
    };
    for domain in DOMAINS {
        add_leaf(&stage, "archive", domain);
    }
    stage.store.put_book(archive_book(1));
    stage
}

/// Sends requests to all entries at once and counts the calls to leafs in `domain`.
async fn calls_to(stage: &Stage, relays: &[&Relay], domain: &str) -> usize {
    const REQUESTS: usize = 12;
    let before = stage.leafs.got().len();
    let asks = relays
        .iter()
        .flat_map(|relay| (0..REQUESTS).map(move |n| relay.forward(ask(&format!("r{n}"), "/a/x"))));
    join_all(asks).await;
    let got = stage.leafs.got();
    let in_domain = got[before..]
        .iter()
        .filter(|got| got.leaf.as_str().ends_with(domain));
    in_domain.count()
}

/// Guards against calls to an evacuated domain, and against a domain that gets no calls after
/// its evacuation.
#[tokio::test(start_paused = true)]
async fn an_evacuated_domain_gets_no_calls_until_it_is_refilled() {
    let stage = stage();
    let relays = stage.serving_all(3).await;
    let relays: Vec<&Relay> = relays.iter().collect();
    assert!(calls_to(&stage, &relays, "dub-a").await > 0);
    stage.store.evacuate("dub-a");
    sleep(PROPAGATION).await;
    assert_eq!(calls_to(&stage, &relays, "dub-a").await, 0);
    assert!(calls_to(&stage, &relays, "dub-b").await > 0);
    stage.store.refill("dub-a");
    sleep(PROPAGATION).await;
    assert!(calls_to(&stage, &relays, "dub-a").await > 0);
}

/// Guards against entries that miss an evacuation because the store rejects them.
#[tokio::test(start_paused = true)]
async fn entries_rejected_by_the_store_learn_of_evacuations() {
    let stage = stage();
    let relays = stage.serving_all(9).await;
    let all: Vec<&Relay> = relays.iter().collect();
    stage.store.bar([1, 4, 5, 7, 8].into());
    sleep(Duration::from_secs(5)).await;
    stage.store.evacuate("dub-b");
    sleep(PROPAGATION).await;
    assert_eq!(calls_to(&stage, &all, "dub-b").await, 0);
    stage.store.refill("dub-b");
    sleep(PROPAGATION).await;
    assert!(calls_to(&stage, &all, "dub-b").await > 0);
}

/// Guards against an entry that starts while the store is unresponsive and calls leafs of an
/// evacuated domain.
#[tokio::test(start_paused = true)]
async fn an_entry_started_without_the_store_knows_the_evacuations() {
    let stage = stage();
    let _others = stage.serving_all(3).await;
    stage.store.evacuate("kdr-c");
    sleep(PROPAGATION).await;
    stage.store.answers(Answers::Never);
    sleep(Duration::from_secs(3)).await;
    let new = stage.serving(4).await;
    assert_eq!(calls_to(&stage, &[&new], "kdr-c").await, 0);
    assert!(calls_to(&stage, &[&new], "dub-a").await > 0);
}

/// Guards against an entry that serves before it knows which domains are evacuated.
#[tokio::test(start_paused = true)]
async fn evacuations_survive_a_restart_of_all_entries() {
    let stage = stage();
    let relays = stage.serving_all(6).await;
    stage.store.evacuate("dub-a");
    sleep(PROPAGATION).await;
    for n in 1..=6 {
        stage.net.cut(peers_address(n));
        stage.feeds.cut(peers_address(n));
    }
    drop(relays);
    let mut relays = Vec::new();
    for n in 1..=6 {
        relays.push(stage.spawn(n).await);
    }
    for _ in 0..40 {
        let all: Vec<&Relay> = relays.iter().collect();
        assert_eq!(calls_to(&stage, &all, "dub-a").await, 0);
        sleep(Duration::from_millis(50)).await;
    }
    assert!(relays.iter().all(|relay| relay.phase() == Phase::Serving));
}

/// Guards against an answer that hides a missing shard, and against a query that waits for
/// leafs which may not be called.
#[tokio::test(start_paused = true)]
async fn a_shard_only_in_an_evacuated_domain_is_missing() {
    let stage = Stage::default();
    for (shard, domain) in [
        ("s1", "dub-a"),
        ("s2", "dub-b"),
        ("s3", "dub-b"),
        ("s4", "kdr-c"),
    ] {
        add_leaf(&stage, shard, domain);
    }
    let shards = ["s1", "s2", "s3", "s4"];
    let rules = vec![
        rule("/most/", RetrySafety::Idempotent, gather(&shards, 750)),
        rule("/all/", RetrySafety::Idempotent, gather(&shards, 1000)),
    ];
    stage.store.put_book(book(1, rules));
    let relay = stage.serving(1).await;
    stage.store.evacuate("dub-a");
    sleep(PROPAGATION).await;
    assert_eq!(missing(&relay.forward(ask("m", "/most/x")).await), Some(1));
    let calls = stage.leafs.got().len();
    let (start, reply) = (Instant::now(), relay.forward(ask("a", "/all/x")).await);
    assert_refused(&reply, start);
    stage.store.evacuate("dub-b");
    stage.store.evacuate("kdr-c");
    sleep(PROPAGATION).await;
    let (start, reply) = (Instant::now(), relay.forward(ask("n", "/most/x")).await);
    assert_refused(&reply, start);
    assert_eq!(
        stage.leafs.got().len(),
        calls,
        "a refused query called a leaf"
    );
}

/// Checks that a request was refused immediately, as not run and with a time to retry.
fn assert_refused(reply: &Reply, start: Instant) {
    let Reply::Declined(Declined { run, after, .. }) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!((*run, after.is_some()), (Execution::NotRun, true));
    assert_eq!(Instant::now(), start, "the refusal was delayed");
}

/// Guards against evacuations and refills in quick succession that leave an outdated state.
#[tokio::test(start_paused = true)]
async fn the_last_of_many_rapid_requests_takes_effect() {
    let stage = stage();
    let relays = stage.serving_all(6).await;
    let all: Vec<&Relay> = relays.iter().collect();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for round in 0..12 {
        for _ in 0..rng.random_range(1..6) {
            stage.store.evacuate("dub-a");
            sleep(Duration::from_millis(rng.random_range(0..60))).await;
            stage.store.refill("dub-a");
            sleep(Duration::from_millis(rng.random_range(0..60))).await;
        }
        let evacuated = round % 2 == 0;
        if evacuated {
            stage.store.evacuate("dub-a");
        }
        sleep(PROPAGATION).await;
        let calls = calls_to(&stage, &all, "dub-a").await;
        assert_eq!(calls == 0, evacuated, "round {round}: {calls} calls");
    }
}

/// Guards against an entry that never serves, or calls an evacuated domain, because its
/// upstreams run a version without evacuations.
#[tokio::test(start_paused = true)]
async fn an_entry_whose_peers_run_an_earlier_version_asks_the_store() {
    let stage = stage();
    let _others = stage.serving_all(3).await;
    (1..=3).for_each(|n| stage.feeds.set_earlier(peers_address(n)));
    stage.store.evacuate("dub-a");
    let new = stage.spawn(4).await;
    sleep(PROPAGATION).await;
    assert_eq!(new.phase(), Phase::Serving);
    assert_eq!(calls_to(&stage, &[&new], "dub-a").await, 0);
    assert!(calls_to(&stage, &[&new], "dub-b").await > 0);
}

fn item(name: &str, content: Content<DomainName>) -> Item<DomainName> {
    Item {
        name: name.to_owned(),
        content,
    }
}

/// Guards against an object with unreadable content that evacuates nothing, or more than its
/// own domain.
#[test]
fn the_object_name_identifies_the_evacuated_domain() {
    let (mut evacuations, mut out) = (Evacuations::default(), Vec::new());
    let dub: DomainName = "dub-a".parse().unwrap();
    assert!(!evacuations.is_known());
    evacuations.listed(
        vec![
            item("dub-a", Content::Malformed),
            item("", Content::Malformed),
        ],
        &mut out,
    );
    assert_eq!(out, [Shift::Emptied(dub.clone())]);
    out.clear();
    evacuations.changed(item("dub-a", Content::Is(dub.clone())), &mut out);
    evacuations.changed(item("nowhere", Content::Deleted), &mut out);
    assert_eq!(out, []);
    evacuations.changed(item("dub-a", Content::Deleted), &mut out);
    assert_eq!(out, [Shift::Refilled(dub)]);
}

/// Number of entries in the randomised test.
const ENTRIES: u16 = 9;
/// Number of faults injected per seed.
const FAULTS: usize = 8;

/// Entries under random faults while domains are evacuated and refilled.
struct Scenario {
    stage: Stage,
    rng: ChaCha8Rng,
    relays: BTreeMap<u16, Relay>,
    evacuated: BTreeSet<&'static str>,
}

impl Scenario {
    /// Starts all entries and waits until they know each other.
    async fn start(seed: u64) -> Self {
        let stage = stage();
        let mut scenario = Self {
            stage,
            rng: ChaCha8Rng::seed_from_u64(seed),
            relays: BTreeMap::new(),
            evacuated: BTreeSet::new(),
        };
        for n in 1..=ENTRIES {
            scenario.spawn(n).await;
        }
        sleep(Duration::from_secs(8)).await;
        scenario
    }

    /// Starts entry number `n`.
    async fn spawn(&mut self, n: u16) {
        let relay = self.stage.spawn(n).await;
        self.relays.insert(n, relay);
    }

    /// Stops entry number `n` and cuts its connections.
    fn kill(&mut self, n: u16) {
        self.stage.net.cut(peers_address(n));
        self.stage.feeds.cut(peers_address(n));
        self.relays.remove(&n);
    }

    /// Draws a duration below `max` seconds.
    fn random_span(&mut self, max: f64) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(0.0..max))
    }

    /// Evacuates a random domain, or refills it if it is evacuated.
    fn toggle_domain(&mut self) {
        let domain = DOMAINS[self.rng.random_range(0..DOMAINS.len())];
        match self.evacuated.remove(domain) {
            true => self.stage.store.refill(domain),
            false => {
                self.evacuated.insert(domain);
                self.stage.store.evacuate(domain);
            }
        }
    }

    /// Injects one random fault, then changes a domain.
    async fn inject_fault(&mut self) {
        match self.rng.random_range(0..6) {
            0 => {
                self.stage.store.answers(Answers::Never);
                sleep(self.random_span(5.0)).await;
                self.stage.store.answers(Answers::Yes);
            }
            1 => {
                let rejected = (1..=ENTRIES).filter(|_| self.rng.random_bool(0.4));
                self.stage.store.bar(rejected.collect());
            }
            2 => {
                let n = self.rng.random_range(1..=ENTRIES);
                self.kill(n);
                sleep(self.random_span(2.0)).await;
                self.spawn(n).await;
            }
            3 => {
                (1..=ENTRIES).for_each(|n| self.kill(n));
                for n in 1..=ENTRIES {
                    sleep(self.random_span(0.05)).await;
                    self.spawn(n).await;
                }
            }
            4 => self.stage.store.lose_watches(1),
            _ => {}
        }
        self.toggle_domain();
        sleep(self.random_span(3.0)).await;
    }

    /// Ends all faults and checks that every entry follows the operator's last requests.
    async fn recover(&mut self) {
        self.stage.store.bar(BTreeSet::new());
        sleep(RECOVERY).await;
        self.toggle_domain();
        sleep(PROPAGATION).await;
        let relays: Vec<&Relay> = self.relays.values().collect();
        for domain in &self.evacuated {
            assert_eq!(calls_to(&self.stage, &relays, domain).await, 0, "{domain}");
        }
        for domain in DOMAINS.iter().filter(|d| !self.evacuated.contains(**d)) {
            assert!(calls_to(&self.stage, &relays, domain).await > 0, "{domain}");
        }
    }
}

/// Guards against an evacuation that an entry misses, forgets or reinstates after faults of
/// the store and of entries.
#[rstest]
#[tokio::test(start_paused = true)]
async fn evacuations_reach_every_entry_after_any_faults(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)] seed: u64,
) {
    let mut scenario = Scenario::start(seed).await;
    for _ in 0..FAULTS {
        scenario.inject_fault().await;
    }
    scenario.recover().await;
}
