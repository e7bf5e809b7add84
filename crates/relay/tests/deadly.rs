//! Requests that end the leafs which run them.

mod world;

use std::{collections::BTreeSet, time::Duration};

use chestnut_book::{Kind, Target};
use chestnut_relay::Relay;
use futures::future::join_all;
use rstest::rstest;
use tokio::time::{Instant, sleep};
use world::{Ended, Stage, ask, book, gather, name, rule};

const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];
/// What ends its leafs.
const DEADLY: &str = "/q/deadly";
/// Leafs that a request may end before the bound on its tries holds.
const ENDED: usize = 3;
/// Time in which entries that are in touch know what they must.
const CONTACT: Duration = Duration::from_secs(4);
/// Tries that may reach leafs after that.
const TRIES: usize = 3;

/// Entries that know each other, before leafs that answer after 10 ms.
async fn entries(stage: &Stage, count: u16) -> Vec<Relay> {
    let relays = join_all((1..=count).map(|n| stage.serving(n))).await;
    sleep(Duration::from_secs(5)).await;
    relays
}

fn stage(kind: Kind, target: Target) -> Stage {
    let stage = Stage {
        domains: 3,
        seeds: vec![1, 2, 3],
        ..Stage::default()
    };
    for service in SHARDS.iter().chain(&["archive"]) {
        stage.add_leafs(service, 3, 10);
    }
    stage
        .store
        .put_book(book(1, vec![rule("/q/", kind, target)]));
    stage.leafs.set_deadly(DEADLY);
    stage
}

fn search() -> Target {
    gather(&SHARDS, 750)
}

/// Tries of `path` that reached leafs later than `from`.
fn tries(stage: &Stage, path: &str, from: Instant) -> usize {
    let got = stage.leafs.got();
    let late = got.iter().filter(|got| got.path == path && got.at > from);
    late.map(|got| got.request.clone())
        .collect::<BTreeSet<_>>()
        .len()
}

/// From when on the bound holds.
fn bound(ended: &[Ended]) -> Instant {
    ended[ENDED - 1].at + CONTACT
}

/// A caller tries the same again and again, and leafs end under each try: callers of
/// other requests get nothing for seconds, over and over.
/// Each try goes to another entry, a second or two after the one before, while the leafs
/// that ended start again. Nothing was kept of a request beyond its try, so each was
/// planned as if it were new.
#[rstest]
#[case::search(Kind::Idempotent, search())]
#[case::one_leaf(Kind::Idempotent, Target::One(name("archive")))]
#[case::once(Kind::Once, Target::One(name("archive")))]
#[tokio::test(start_paused = true)]
async fn what_ends_its_leafs_is_sent_no_more(#[case] kind: Kind, #[case] target: Target) {
    let stage = stage(kind, target);
    let relays = entries(&stage, 6).await;
    for n in 0..40 {
        let relay = &relays[n * 5 % relays.len()];
        relay.forward(ask(&format!("r{n}"), DEADLY)).await;
        sleep(Duration::from_millis(1300)).await;
    }
    let ended = stage.leafs.ended();
    let late = tries(&stage, DEADLY, bound(&ended));
    assert!(late <= TRIES, "{late} tries, {} leafs ended", ended.len());
}
