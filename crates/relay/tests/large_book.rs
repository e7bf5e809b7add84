//! Propagation of large route books over links of limited rate.

mod world;

use std::time::Duration;

use chestnut_book::{RetrySafety, RouteBook, Rule, Target};
use chestnut_relay::{Relay, Reply};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::sleep;
use world::{Availability, Cluster, book, peer_address, request, rule, service_name};

const ENTRIES: u16 = 24;
const DOMAINS: u16 = 3;
/// Number of rules in a large book, which takes half a second to read over a slow link.
const RULES: usize = 1000;
/// Rate of a slow link in bytes a second.
const SLOW_LINK: u32 = 400_000;
/// Rate of the link of the first entry of each domain in bytes a second.
const FAST_LINK: u32 = 4_000_000;
/// Time within which a change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);

fn one_rule(prefix: &str) -> Rule {
    rule(
        prefix,
        RetrySafety::Idempotent,
        Target::One(service_name("archive")),
    )
}

/// A version with many rules, and one that is found by the version's number.
fn large_book(number: u64) -> RouteBook {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut prefix = || format!("/{:010x}/", rng.random_range(0..1_u64 << 40));
    let mut rules: Vec<Rule> = (0..RULES).map(|_| one_rule(&prefix())).collect();
    rules.push(one_rule(&format!("/v{number}/")));
    book(number, rules)
}

async fn serves_version(relay: &Relay, number: u64) -> bool {
    let path: &'static str = format!("/v{number}/x").leak();
    matches!(relay.forward(request("r", path)).await, Reply::Whole(_))
}

async fn entries_with(relays: &[Relay], number: u64) -> usize {
    let mut count = 0;
    for relay in relays {
        count += usize::from(serves_version(relay, number).await);
    }
    count
}

async fn start() -> (Cluster, Vec<Relay>) {
    let cluster = Cluster {
        domains: DOMAINS,
        seeds: (1..=DOMAINS).collect(),
        ..Cluster::default()
    };
    for n in 1..=ENTRIES {
        let rate = if n <= DOMAINS { FAST_LINK } else { SLOW_LINK };
        cluster.feeds.1.set_bandwidth(peer_address(n), rate);
    }
    cluster.add_leafs("archive", 2, 5);
    cluster.store.put_book(book(1, vec![one_rule("/v1/")]));
    let mut relays = Vec::new();
    for n in 1..=ENTRIES {
        relays.push(cluster.serving(n).await);
    }
    sleep(Duration::from_secs(8)).await;
    (cluster, relays)
}

/// Reads of a large book are cancelled and started over on another peer, so that links
/// fill with copies that nobody applies and a confirmed route is refused for seconds.
#[tokio::test(start_paused = true)]
async fn a_large_book_is_in_force_everywhere_within_two_seconds() {
    let (cluster, relays) = start().await;
    cluster.store.put_book(large_book(2));
    sleep(IN_FORCE).await;
    assert_eq!(entries_with(&relays, 2).await, relays.len());
    cluster.store.put_book(large_book(3));
    sleep(IN_FORCE).await;
    assert_eq!(entries_with(&relays, 3).await, relays.len());
}

/// Outage of the store once the first entry has the version.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// The store answers nobody.
    Silent,
    /// The store rejects every entry but one.
    Rejects,
    /// Calls of every entry but one are lost.
    Partitioned,
}

/// A version that only one entry read before the store was lost stays at that entry, as
/// it relays nothing without the store or follows another one.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_version_that_one_entry_has_reaches_all_without_the_store(
    #[values(Outage::Silent, Outage::Rejects, Outage::Partitioned)] outage: Outage,
) {
    let (cluster, mut relays) = start().await;
    let others = (2..=ENTRIES + 1).collect();
    match outage {
        Outage::Silent => {}
        Outage::Rejects => cluster.store.reject(others),
        Outage::Partitioned => cluster.store.isolate(others),
    }
    cluster.store.put_book(large_book(2));
    sleep(Duration::from_millis(100)).await;
    if matches!(outage, Outage::Silent) {
        cluster.store.set_answers(Availability::Unresponsive);
    }
    sleep(Duration::from_millis(400)).await;
    relays.push(cluster.spawn(ENTRIES + 1).await);
    sleep(IN_FORCE).await;
    assert_eq!(entries_with(&relays, 2).await, relays.len());
}

/// A change of one rule sends the whole book to every entry.
#[tokio::test(start_paused = true)]
async fn a_small_change_of_a_large_book_sends_few_bytes() {
    let (cluster, relays) = start().await;
    cluster.store.put_book(large_book(2));
    sleep(IN_FORCE).await;
    let bytes_sent = cluster.feeds.1.bytes_sent();
    cluster.store.put_book(large_book(3));
    sleep(Duration::from_millis(500)).await;
    assert_eq!(entries_with(&relays, 3).await, relays.len());
    let each = (cluster.feeds.1.bytes_sent() - bytes_sent) / relays.len();
    assert!(each < 2_000, "{each} bytes an entry");
}

/// Time within which a change is due at all entries though the store rejects some.
const IN_FORCE_DEGRADED: Duration = Duration::from_secs(5);

/// The store takes a version as it rejects all watchers, and the one entry that it
/// still serves polls it too late.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_version_that_came_as_all_watchers_were_turned_away_is_in_force_in_time(
    #[values(7, 11, 16, 20, 24)] served: u16,
) {
    let (cluster, relays) = start().await;
    for number in 2..6 {
        cluster
            .store
            .reject((1..=ENTRIES).filter(|n| *n != served).collect());
        cluster
            .store
            .put_book(book(number, vec![one_rule(&format!("/v{number}/"))]));
        sleep(IN_FORCE_DEGRADED).await;
        let with = entries_with(&relays, number).await;
        assert_eq!(with, relays.len(), "version {number}");
        cluster.store.reject(Default::default());
        // A different phase each time, so that it falls elsewhere between polls.
        sleep(Duration::from_millis(20_000 + 130 * number)).await;
    }
}
