//! Failure domains whose leafs get no calls, at an operator's request.

mod world;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use chestnut_book::{Kind, RouteBook, Target};
use chestnut_port::{Content, Item};
use chestnut_relay::{Declined, Evacuations, LeafEntry, LeafState, Phase, Relay, Reply, Shift};
use chestnut_unit::{DomainName, LeafId, Run};
use futures::future::join_all;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::{Instant, sleep};
use world::{
    Answers, Manner, Stage, ask, book, entry, gather, missing, name, peers_address, record, rule,
};

/// Time within which a request of the operator is in force where the store, or an entry
/// that has it, answers.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time after the last fault in which every entry has to hear of changes again.
const HEALED: Duration = Duration::from_secs(14);
const DOMAINS: [&str; 3] = ["dub-a", "dub-b", "kdr-c"];

fn within(service: &str, domain: &str) -> LeafEntry {
    LeafEntry {
        domain: domain.parse().unwrap(),
        ..entry(service, LeafState::Ready)
    }
}

/// Adds a leaf of `service` in `domain` that answers.
fn add_leaf(stage: &Stage, service: &str, domain: &str) -> LeafId {
    let id = LeafId::new(format!("{service}-{domain}")).unwrap();
    stage.store.put_leaf(&id, within(service, domain));
    let answer = Manner::Answers(Duration::from_millis(5), record(service));
    stage.leafs.set(&id, answer);
    id
}

fn to_archive(version: u64) -> RouteBook {
    let target = Target::One(name("archive"));
    book(version, vec![rule("/a/", Kind::Idempotent, target)])
}

/// A stage with one leaf of a service in each domain.
fn stage() -> Stage {
    let stage = Stage {
        domains: 3,
        seeds: vec![1, 2, 3],
        ..Stage::default()
    };
    for domain in DOMAINS {
        add_leaf(&stage, "archive", domain);
    }
    stage.store.put_book(to_archive(1));
    stage
}

/// Sends some requests to each entry at once; tells how many calls went to leafs in
/// `domain`.
async fn calls_to(stage: &Stage, relays: &[&Relay], domain: &str) -> usize {
    const EACH: usize = 12;
    let before = stage.leafs.got().len();
    let asks = relays
        .iter()
        .flat_map(|relay| (0..EACH).map(move |n| relay.forward(ask(&format!("r{n}"), "/a/x"))));
    join_all(asks).await;
    let got = stage.leafs.got();
    let there = got[before..]
        .iter()
        .filter(|got| got.leaf.as_str().ends_with(domain));
    there.count()
}

/// Guards against leafs of an evacuated domain that are called, or never called again.
#[tokio::test(start_paused = true)]
async fn an_evacuated_domain_gets_no_calls_until_it_is_back() {
    let stage = stage();
    let relays = stage.serving_all(3).await;
    let relays: Vec<&Relay> = relays.iter().collect();
    assert!(calls_to(&stage, &relays, "dub-a").await > 0);
    stage.store.evacuate("dub-a");
    sleep(IN_FORCE).await;
    assert_eq!(calls_to(&stage, &relays, "dub-a").await, 0);
    assert!(calls_to(&stage, &relays, "dub-b").await > 0);
    stage.store.refill("dub-a");
    sleep(IN_FORCE).await;
    assert!(calls_to(&stage, &relays, "dub-a").await > 0);
}

/// Guards against entries that miss an evacuation since the store turns them away.
#[tokio::test(start_paused = true)]
async fn entries_that_the_store_turns_away_hear_of_an_evacuation() {
    let stage = stage();
    let relays = stage.serving_all(9).await;
    let all: Vec<&Relay> = relays.iter().collect();
    stage.store.bar([1, 4, 5, 7, 8].into());
    sleep(Duration::from_secs(5)).await;
    stage.store.evacuate("dub-b");
    sleep(IN_FORCE).await;
    assert_eq!(calls_to(&stage, &all, "dub-b").await, 0);
    stage.store.refill("dub-b");
    sleep(IN_FORCE).await;
    assert!(calls_to(&stage, &all, "dub-b").await > 0);
}

/// Guards against an entry that starts while the store is silent and serves by leafs it
/// must not call.
#[tokio::test(start_paused = true)]
async fn an_entry_that_starts_without_the_store_knows_what_is_evacuated() {
    let stage = stage();
    let _others = stage.serving_all(3).await;
    stage.store.evacuate("kdr-c");
    sleep(IN_FORCE).await;
    stage.store.answers(Answers::Never);
    sleep(Duration::from_secs(3)).await;
    let new = stage.serving(4).await;
    assert_eq!(calls_to(&stage, &[&new], "kdr-c").await, 0);
    assert!(calls_to(&stage, &[&new], "dub-a").await > 0);
}

/// Guards against an entry that serves before it knows what is evacuated.
#[tokio::test(start_paused = true)]
async fn after_all_lost_power_nobody_calls_what_was_evacuated_before() {
    let stage = stage();
    let relays = stage.serving_all(6).await;
    stage.store.evacuate("dub-a");
    sleep(IN_FORCE).await;
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

/// Guards against an answer that hides a missing shard, and against a wait for leafs
/// that may not be called.
#[tokio::test(start_paused = true)]
async fn a_shard_that_lies_in_the_evacuated_domain_alone_is_missing() {
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
        rule("/most/", Kind::Idempotent, gather(&shards, 750)),
        rule("/all/", Kind::Idempotent, gather(&shards, 1000)),
    ];
    stage.store.put_book(book(1, rules));
    let relay = stage.serving(1).await;
    stage.store.evacuate("dub-a");
    sleep(IN_FORCE).await;
    assert_eq!(missing(&relay.forward(ask("m", "/most/x")).await), Some(1));
    let calls = stage.leafs.got().len();
    let (start, reply) = (Instant::now(), relay.forward(ask("a", "/all/x")).await);
    assert_refused(&reply, start);
    stage.store.evacuate("dub-b");
    stage.store.evacuate("kdr-c");
    sleep(IN_FORCE).await;
    let (start, reply) = (Instant::now(), relay.forward(ask("n", "/most/x")).await);
    assert_refused(&reply, start);
    assert_eq!(
        stage.leafs.got().len(),
        calls,
        "a refused query called a leaf"
    );
}

fn assert_refused(reply: &Reply, start: Instant) {
    let Reply::Declined(Declined { run, after, .. }) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!((*run, after.is_some()), (Run::NotRun, true));
    assert_eq!(Instant::now(), start, "it was held");
}

/// Guards against an evacuation that a request in quick succession leaves half taken
/// back.
#[tokio::test(start_paused = true)]
async fn the_last_of_many_requests_in_series_is_in_force() {
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
        sleep(IN_FORCE).await;
        let calls = calls_to(&stage, &all, "dub-a").await;
        assert_eq!(calls == 0, evacuated, "round {round}: {calls} calls");
    }
}

/// Guards against an entry that never serves, or serves by leafs it must not call, since
/// those that it follows are of a version that knows no evacuations.
#[tokio::test(start_paused = true)]
async fn among_entries_of_an_earlier_version_the_store_is_asked() {
    let stage = stage();
    let _others = stage.serving_all(3).await;
    (1..=3).for_each(|n| stage.feeds.set_earlier(peers_address(n)));
    stage.store.evacuate("dub-a");
    let new = stage.spawn(4).await;
    sleep(IN_FORCE).await;
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

/// Guards against an object whose content can't be read and that evacuates nothing, and
/// against one that evacuates more than its own domain.
#[test]
fn the_name_of_an_object_says_what_is_evacuated() {
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

const ENTRIES: u16 = 9;
const FAULTS: usize = 8;

/// Entries under drawn faults, while domains are evacuated and come back.
struct World {
    stage: Stage,
    rng: ChaCha8Rng,
    relays: BTreeMap<u16, Relay>,
    evacuated: BTreeSet<&'static str>,
}

impl World {
    async fn start(seed: u64) -> Self {
        let stage = stage();
        let mut world = Self {
            stage,
            rng: ChaCha8Rng::seed_from_u64(seed),
            relays: BTreeMap::new(),
            evacuated: BTreeSet::new(),
        };
        for n in 1..=ENTRIES {
            world.spawn(n).await;
        }
        sleep(Duration::from_secs(8)).await;
        world
    }

    async fn spawn(&mut self, n: u16) {
        let relay = self.stage.spawn(n).await;
        self.relays.insert(n, relay);
    }

    fn kill(&mut self, n: u16) {
        self.stage.net.cut(peers_address(n));
        self.stage.feeds.cut(peers_address(n));
        self.relays.remove(&n);
    }

    fn span(&mut self, most: f64) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(0.0..most))
    }

    fn change(&mut self) {
        let domain = DOMAINS[self.rng.random_range(0..DOMAINS.len())];
        match self.evacuated.remove(domain) {
            true => self.stage.store.refill(domain),
            false => {
                self.evacuated.insert(domain);
                self.stage.store.evacuate(domain);
            }
        }
    }

    async fn fault(&mut self) {
        match self.rng.random_range(0..6) {
            0 => {
                self.stage.store.answers(Answers::Never);
                sleep(self.span(5.0)).await;
                self.stage.store.answers(Answers::Yes);
            }
            1 => {
                let barred = (1..=ENTRIES).filter(|_| self.rng.random_bool(0.4));
                self.stage.store.bar(barred.collect());
            }
            2 => {
                let n = self.rng.random_range(1..=ENTRIES);
                self.kill(n);
                sleep(self.span(2.0)).await;
                self.spawn(n).await;
            }
            3 => {
                (1..=ENTRIES).for_each(|n| self.kill(n));
                for n in 1..=ENTRIES {
                    sleep(self.span(0.05)).await;
                    self.spawn(n).await;
                }
            }
            4 => self.stage.store.lose_watches(1),
            _ => {}
        }
        self.change();
        sleep(self.span(3.0)).await;
    }

    /// All is well again: what the operator asked for last is in force everywhere.
    async fn heal(&mut self) {
        self.stage.store.bar(BTreeSet::new());
        sleep(HEALED).await;
        self.change();
        sleep(IN_FORCE).await;
        let relays: Vec<&Relay> = self.relays.values().collect();
        for domain in &self.evacuated {
            assert_eq!(calls_to(&self.stage, &relays, domain).await, 0, "{domain}");
        }
        for domain in DOMAINS.iter().filter(|d| !self.evacuated.contains(**d)) {
            assert!(calls_to(&self.stage, &relays, domain).await > 0, "{domain}");
        }
    }
}

/// Guards against an evacuation that an entry misses, forgets or brings back after any
/// faults of the store and the entries.
#[rstest]
#[tokio::test(start_paused = true)]
async fn evacuations_reach_every_entry_after_any_faults(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)] seed: u64,
) {
    let mut world = World::start(seed).await;
    for _ in 0..FAULTS {
        world.fault().await;
    }
    world.heal().await;
}
