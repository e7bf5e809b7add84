//! Books that take long to read, on links of limited rate.

mod world;

use std::time::Duration;

use chestnut_book::{Kind, RouteBook, Rule, Target};
use chestnut_relay::{Relay, Reply};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::sleep;
use world::{Answers, Stage, ask, book, name, peers_address, rule};

const ENTRIES: u16 = 24;
const DOMAINS: u16 = 3;
/// A book of so many rules is read in 0.5 s over a weak link, as one of 4,251 is at
/// 14 Mbit/s.
const RULES: usize = 1000;
/// Bytes a second of a weak link.
const WEAK: u32 = 400_000;
/// Bytes a second of the link of the first entry of each domain.
const STRONG: u32 = 4_000_000;
/// Time within which a change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);

fn one(prefix: &str) -> Rule {
    rule(prefix, Kind::Idempotent, Target::One(name("archive")))
}

/// A version with many rules, and one that is found by the version's number.
fn large(number: u64) -> RouteBook {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut prefix = || format!("/{:010x}/", rng.random_range(0..1_u64 << 40));
    let mut rules: Vec<Rule> = (0..RULES).map(|_| one(&prefix())).collect();
    rules.push(one(&format!("/v{number}/")));
    book(number, rules)
}

async fn has(relay: &Relay, number: u64) -> bool {
    let path: &'static str = format!("/v{number}/x").leak();
    matches!(relay.forward(ask("r", path)).await, Reply::Whole(_))
}

async fn entries_with(relays: &[Relay], number: u64) -> usize {
    let mut count = 0;
    for relay in relays {
        count += usize::from(has(relay, number).await);
    }
    count
}

async fn start() -> (Stage, Vec<Relay>) {
    let stage = Stage {
        domains: DOMAINS,
        seeds: (1..=DOMAINS).collect(),
        ..Stage::default()
    };
    for n in 1..=ENTRIES {
        let rate = if n <= DOMAINS { STRONG } else { WEAK };
        stage.feeds.1.limit(peers_address(n), rate);
    }
    stage.add_leafs("archive", 2, 5);
    stage.store.put_book(book(1, vec![one("/v1/")]));
    let mut relays = Vec::new();
    for n in 1..=ENTRIES {
        relays.push(stage.serving(n).await);
    }
    sleep(Duration::from_secs(8)).await;
    (stage, relays)
}

/// A caller is refused with "no rule" for a route that was confirmed seconds before,
/// or is served by the service that the route was moved from.
/// The book grows by a thousand rules, and a small change follows a second later.
/// All followers read at once. A reading takes half a second on a weak link, and was
/// given up after 0.4 s: the peer counted as lost, another one sent all of it again.
/// Links filled with books that nobody took, pulses waited behind them and failed
/// too. On a deployment of 71 entries, with nothing else wrong, 833 KB a reading, the
/// last entry had the book 12 s after its peers and 1,549 changes of upstream.
#[tokio::test(start_paused = true)]
async fn a_large_book_is_in_force_everywhere_within_two_seconds() {
    let (stage, relays) = start().await;
    stage.store.put_book(large(2));
    sleep(IN_FORCE).await;
    assert_eq!(entries_with(&relays, 2).await, relays.len());
    stage.store.put_book(large(3));
    sleep(IN_FORCE).await;
    assert_eq!(entries_with(&relays, 3).await, relays.len());
}

/// What becomes of the store once the first entry has the version.
#[derive(Clone, Copy, Debug)]
enum Store {
    /// It falls silent.
    Gone,
    /// It turns away every entry but one.
    TurnsAway,
    /// Calls of every entry but one vanish.
    Parted,
}

/// Most entries refuse a route that one of them serves, and one that starts refuses all.
/// Only one entry could read the version before the store was lost to the others, and it
/// passed nothing on as it had lost the store too, or followed another one.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_version_that_one_entry_has_reaches_all_without_the_store(
    #[values(Store::Gone, Store::TurnsAway, Store::Parted)] store: Store,
) {
    let (stage, mut relays) = start().await;
    let others = (2..=ENTRIES + 1).collect();
    match store {
        Store::Gone => {}
        Store::TurnsAway => stage.store.bar(others),
        Store::Parted => stage.store.part(others),
    }
    stage.store.put_book(large(2));
    sleep(Duration::from_millis(100)).await;
    if matches!(store, Store::Gone) {
        stage.store.answers(Answers::Never);
    }
    sleep(Duration::from_millis(400)).await;
    relays.push(stage.spawn(ENTRIES + 1).await);
    sleep(IN_FORCE).await;
    assert_eq!(entries_with(&relays, 2).await, relays.len());
}

/// The operator changes one route, and the links between entries carry a book for each
/// of them, which is paid for.
/// 24 entries, 23 of which don't watch the store or read it as one of three: 5 MB before
/// for one route of a thousand.
#[tokio::test(start_paused = true)]
async fn a_small_change_of_a_large_book_weighs_little() {
    let (stage, relays) = start().await;
    stage.store.put_book(large(2));
    sleep(IN_FORCE).await;
    let carried = stage.feeds.1.carried();
    stage.store.put_book(large(3));
    sleep(Duration::from_millis(500)).await;
    assert_eq!(entries_with(&relays, 3).await, relays.len());
    let each = (stage.feeds.1.carried() - carried) / relays.len();
    assert!(each < 2_000, "{each} bytes an entry");
}

/// Time within which a change is due at all entries though the store turns some away. The
/// deployment where it was missed allows five seconds.
const DUE_DISTURBED: Duration = Duration::from_secs(5);

/// Callers are refused a route that was confirmed five seconds before.
/// The store takes a version, turns all its watchers away in the same moment, and serves
/// one other entry. The others wait for the watchers, and each asked the store for itself
/// for the first time four to eight seconds after it had noticed.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_version_that_came_as_all_watchers_were_turned_away_is_in_force_in_time(
    #[values(7, 11, 16, 20, 24)] served: u16,
) {
    let (stage, relays) = start().await;
    for number in 2..6 {
        stage
            .store
            .bar((1..=ENTRIES).filter(|n| *n != served).collect());
        stage
            .store
            .put_book(book(number, vec![one(&format!("/v{number}/"))]));
        sleep(DUE_DISTURBED).await;
        let with = entries_with(&relays, number).await;
        assert_eq!(with, relays.len(), "version {number}");
        stage.store.bar(Default::default());
        // A part of a second more each time, so that pulses are found elsewhere.
        sleep(Duration::from_millis(20_000 + 130 * number)).await;
    }
}
