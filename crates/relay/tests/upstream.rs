//! From whom an entry hears of changes, and what is passed on.

mod world;

use std::{net::SocketAddr, time::Duration};

use chestnut_book::{Kind, Target};
use chestnut_fleet::{Addresses, Liveness, Member};
use chestnut_port::{Batch, FeedError, Item};
use chestnut_relay::{LeafState, Mirror, Reply, Upstream, UpstreamChoice};
use chestnut_unit::{Incarnation, Time};
use tokio::time::sleep;
use world::{Stage, ask, book, entry, name, peers_address, rule};

const OLD: Duration = Duration::from_secs(60);

fn member(n: u16, domain: &str, weight: u32) -> Member {
    let address = |port| SocketAddr::from(([10, 0, 0, n as u8], port));
    let addresses = Addresses {
        callers: address(1),
        operators: address(5),
        peers: address(4),
    };
    let id = format!("entry-{n:02}").parse().unwrap();
    let mut member = Member::starting(id, domain.parse().unwrap(), addresses, Incarnation(1));
    member.weight = weight;
    member
}

fn choose(own: u16, members: &[Member]) -> Upstream {
    let find = |member: &&Member| member.addresses.peers == peers_address(own);
    let own = members.iter().find(find).unwrap();
    let others = members.iter().filter(|member| member.id != own.id);
    UpstreamChoice::default().choose(own, others, &[], OLD, Time::ZERO)
}

/// The store's calls grow with the failure domains and not with the entries:
/// the strongest of each watches it, and all others follow that one.
#[test]
fn one_entry_of_a_domain_watches_the_store() {
    let mut members: Vec<Member> = (1..=40).map(|n| member(n, "dub-a", 600)).collect();
    members[17].weight = 4000;
    members[30].weight = 4000;
    members.extend((41..=42).map(|n| member(n, "dub-b", 600)));
    let watching: Vec<u16> = (1..=42)
        .filter(|n| choose(*n, &members) == Upstream::Store)
        .collect();
    assert_eq!(watching, [18, 41]);
    for n in 1..=40 {
        if let Upstream::Peer(peer) = choose(n, &members) {
            assert_eq!(peer, peers_address(18));
        }
    }
}

/// An entry hears of no change while its watcher is gone and it still follows
/// it. One that leaves, is suspected or does not answer is no upstream.
#[test]
fn a_watcher_that_leaves_is_replaced() {
    let mut members: Vec<Member> = (1..=4).map(|n| member(n, "dub-a", 600)).collect();
    assert_eq!(choose(3, &members), Upstream::Peer(peers_address(1)));
    members[0].leaving = true;
    assert_eq!(choose(3, &members), Upstream::Peer(peers_address(2)));
    assert_eq!(choose(2, &members), Upstream::Store);
    members[0].leaving = false;
    members[0].liveness = Liveness::Suspect;
    assert_eq!(choose(3, &members), Upstream::Peer(peers_address(2)));
}

#[test]
fn a_peer_that_failed_is_not_asked_for_a_while() {
    let members: Vec<Member> = (1..=3).map(|n| member(n, "dub-a", 600)).collect();
    let (own, others) = (&members[2], &members[..2]);
    let mut choice = UpstreamChoice::default();
    let ask = |choice: &mut UpstreamChoice, now| choice.choose(own, others.iter(), &[], OLD, now);
    let Upstream::Peer(first) = ask(&mut choice, Time::ZERO) else {
        panic!("nobody to follow");
    };
    choice.failed(first, OLD, Time::ZERO);
    let Upstream::Peer(second) = ask(&mut choice, Time::ZERO) else {
        panic!("nobody to follow");
    };
    assert_ne!(first, second);
    choice.failed(second, OLD, Time::ZERO);
    assert_eq!(ask(&mut choice, Time::ZERO), Upstream::Store);
    let later = Time::ZERO + Duration::from_secs(10);
    assert_eq!(ask(&mut choice, later), Upstream::Peer(first));
}

/// Entries that all start at once would all ask the store. Those that are no
/// seeds wait for the seeds first, but not for long.
#[test]
fn entries_that_start_ask_the_seeds_first() {
    let seeds = [peers_address(1), peers_address(2)];
    let (seed, other) = (member(1, "dub-a", 600), member(9, "dub-a", 600));
    let mut choice = UpstreamChoice::default();
    let start = Duration::from_millis(10);
    let none = std::iter::empty;
    let of_seed = choice.choose(&seed, none(), &seeds, start, Time::ZERO);
    assert_eq!(of_seed, Upstream::Store);
    let of_other = choice.choose(&other, none(), &seeds, start, Time::ZERO);
    assert!(matches!(of_other, Upstream::Peer(peer) if seeds.contains(&peer)));
    for seed in seeds {
        choice.failed(seed, start, Time::ZERO);
    }
    let waiting = choice.choose(&other, none(), &seeds, start, Time::ZERO);
    assert!(matches!(waiting, Upstream::Peer(_)));
    let after = choice.choose(
        &other,
        none(),
        &seeds,
        Duration::from_millis(400),
        Time::ZERO,
    );
    assert_eq!(after, Upstream::Store);
}

fn batch(revision: u64, items: &[(&str, Option<u32>)]) -> Batch<u32> {
    let item = |(name, value): &(&str, Option<u32>)| Item {
        name: (*name).to_owned(),
        value: *value,
    };
    Batch {
        items: items.iter().map(item).collect(),
        revision,
    }
}

#[test]
fn a_mirror_tells_what_changed_since_any_revision_it_remembers() {
    let mut mirror = Mirror::default();
    assert!(matches!(mirror.all(), Err(FeedError::Unavailable(_))));
    mirror.listed(&batch(10, &[("a", Some(1)), ("b", Some(2))]));
    mirror.changed(&batch(12, &[("a", Some(3))]));
    mirror.changed(&batch(15, &[("b", None), ("c", Some(4))]));
    assert_eq!(
        mirror.all().unwrap(),
        batch(15, &[("a", Some(3)), ("c", Some(4))])
    );
    let since = |revision| mirror.since(revision);
    assert_eq!(
        since(10).unwrap(),
        batch(15, &[("a", Some(3)), ("b", None), ("c", Some(4))])
    );
    assert_eq!(
        since(12).unwrap(),
        batch(15, &[("b", None), ("c", Some(4))])
    );
    assert_eq!(since(15).unwrap(), batch(15, &[]));
    assert_eq!(since(20).unwrap(), batch(20, &[]));
    assert_eq!(since(9), Err(FeedError::HistoryGone));
}

fn one(version: u64, prefix: &str) -> chestnut_book::RouteBook {
    let target = Target::One(name("archive"));
    book(version, vec![rule(prefix, Kind::Idempotent, target)])
}

async fn serves(relay: &chestnut_relay::Relay, path: &'static str) -> bool {
    matches!(relay.forward(ask("r", path)).await, Reply::Whole(_))
}

/// A change is in force at entries that don't watch the store, as soon as at
/// those that do.
#[tokio::test(start_paused = true)]
async fn changes_reach_entries_that_follow() {
    let stage = Stage::default();
    stage.add_leafs("archive", 2, 10);
    stage.store.put_book(one(1, "/a/"));
    let mut relays = Vec::new();
    for n in 1..=6 {
        relays.push(stage.serving(n).await);
    }
    sleep(Duration::from_secs(6)).await;
    let calls = stage.store.calls();
    stage.store.put_book(one(2, "/b/"));
    sleep(Duration::from_millis(50)).await;
    for relay in &relays {
        assert!(serves(relay, "/b/x").await);
        assert!(!serves(relay, "/a/x").await);
    }
    // Two watchers, each a watch and perhaps a pulse.
    assert!(
        stage.store.calls() - calls <= 8,
        "{}",
        stage.store.calls() - calls
    );
}

/// A change is in force within two seconds at an entry whose watcher fell
/// silent just before it.
/// The watcher's machine loses power: nothing is reset, and the follower waits
/// on a feed that will never tell. Its pulse finds that out.
#[tokio::test(start_paused = true)]
async fn a_silent_watcher_costs_no_change() {
    let stage = Stage::default();
    stage.add_leafs("archive", 2, 10);
    stage.store.put_book(one(1, "/a/"));
    let mut relays = Vec::new();
    for n in 1..=4 {
        relays.push(stage.serving(n).await);
    }
    sleep(Duration::from_secs(6)).await;
    for n in 1..=2 {
        stage.net.cut(peers_address(n));
        stage.feeds.cut(peers_address(n));
    }
    stage.store.put_book(one(2, "/b/"));
    stage.store.put_leaf(
        &"archive-0".parse().unwrap(),
        entry("archive", LeafState::Draining),
    );
    sleep(Duration::from_secs(2)).await;
    for relay in &relays[2..] {
        assert!(serves(relay, "/b/x").await);
    }
}
