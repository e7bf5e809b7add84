//! Which peer an entry reads a newer book from, and what it is told.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chestnut_book::{BookDelta, BookVersion, CallerLimits, Kind, RouteBook, Rule, Target};
use chestnut_port::unpack;
use chestnut_relay::{Distance, History, Pull, Spread};
use chestnut_unit::{ServiceName, Time};

const NOW: Time = Time::ZERO;

fn peer(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 4))
}

fn told(spread: &mut Spread, n: u8, version: u64, distance: Distance) -> bool {
    spread.told(peer(n), BookVersion(version), distance, NOW)
}

/// Two peers of the own domain have what this entry lacks, and all entries ask the one
/// that comes first in some order. Its link then carries the book of all of them.
#[test]
fn entries_that_hear_together_ask_different_peers() {
    let mut spread = Spread::default();
    assert!(told(&mut spread, 1, 5, Distance::Near));
    assert!(!told(&mut spread, 2, 5, Distance::Near), "no news any more");
    assert_eq!(spread.next(0, NOW), Pull::From(peer(1)));
    assert_eq!(spread.next(1, NOW), Pull::From(peer(2)));
}

/// Bytes between domains are paid for, and a peer of the own domain mostly has the
/// version some milliseconds later. Where none tells of it, another domain's is asked.
#[test]
fn a_peer_of_another_domain_is_asked_if_no_near_one_tells_soon() {
    let mut spread = Spread::default();
    told(&mut spread, 8, 5, Distance::Far);
    let Pull::Rest(until) = spread.next(0, NOW) else {
        panic!("asked at once");
    };
    assert!(until.since(NOW) <= Duration::from_millis(200));
    assert_eq!(spread.next(0, until), Pull::From(peer(8)));
    told(&mut spread, 2, 5, Distance::Near);
    assert_eq!(spread.next(0, until), Pull::From(peer(2)));
}

/// A peer that falls silent in the middle of its answer must not be asked for ever
/// while another one has the version, and is asked again if it is the only one.
#[test]
fn a_peer_that_did_not_pass_on_its_book_is_asked_last() {
    let mut spread = Spread::default();
    told(&mut spread, 1, 5, Distance::Near);
    told(&mut spread, 8, 5, Distance::Far);
    spread.failed(peer(1), NOW);
    let Pull::Rest(until) = spread.next(0, NOW) else {
        panic!("asked at once");
    };
    assert_eq!(spread.next(0, until), Pull::From(peer(8)));
    spread.failed(peer(8), until);
    let Pull::Rest(until) = spread.next(0, until) else {
        panic!("asked at once");
    };
    assert_eq!(spread.next(0, until), Pull::From(peer(1)));
}

/// A version is late at an entry, as the peer that it reads from has a full link.
/// Such a peer is not lost, as bytes come; another one is asked beside it, and no third.
#[test]
fn another_peer_is_asked_beside_a_slow_one() {
    let mut spread = Spread::default();
    told(&mut spread, 1, 5, Distance::Near);
    spread.begun(peer(1), NOW);
    assert_eq!(spread.next(0, NOW), Pull::Nothing);
    told(&mut spread, 2, 5, Distance::Near);
    told(&mut spread, 3, 5, Distance::Near);
    let Pull::Rest(until) = spread.next(0, NOW) else {
        panic!("asked at once");
    };
    assert!(until.since(NOW) <= Duration::from_millis(500));
    assert_eq!(spread.next(0, until), Pull::From(peer(2)));
    spread.begun(peer(2), until);
    let later = until + Duration::from_secs(5);
    assert_eq!(spread.next(0, later), Pull::Nothing);
    spread.ended(peer(2));
    spread.failed(peer(2), later);
    assert_eq!(spread.next(0, later), Pull::From(peer(3)));
}

/// An entry goes on asking for what it has, or believes to be behind for good.
#[test]
fn what_is_in_force_is_not_asked_for() {
    let mut spread = Spread::default();
    told(&mut spread, 1, 5, Distance::Near);
    told(&mut spread, 2, 7, Distance::Near);
    let later = NOW + Duration::from_secs(3);
    assert_eq!(spread.behind(later), Some(Duration::from_secs(3)));
    spread.taken(BookVersion(5), later);
    assert_eq!(spread.next(0, later), Pull::From(peer(2)));
    assert_eq!(
        spread.taken(BookVersion(7), later),
        Some(Duration::from_secs(3))
    );
    assert_eq!((spread.behind(later), spread.newest()), (None, None));
    assert!(!told(&mut spread, 1, 7, Distance::Near));
    assert_eq!(spread.next(0, later), Pull::Nothing);
    // One that has started again lacks what it had told of.
    told(&mut spread, 1, 9, Distance::Near);
    told(&mut spread, 1, 0, Distance::Near);
    assert_eq!(
        (spread.next(0, later), spread.behind(later)),
        (Pull::Nothing, None)
    );
}

/// Members by the thousand tell of a version at once; what is kept of them is bounded.
#[test]
fn what_is_kept_of_peers_is_bounded() {
    let mut spread = Spread::default();
    for n in 0..=u8::MAX {
        told(&mut spread, n, 5, Distance::Far);
    }
    let later = NOW + Duration::from_secs(1);
    let asked: std::collections::BTreeSet<String> = (0..1000)
        .map(|draw| format!("{:?}", spread.next(draw, later)))
        .collect();
    assert!(asked.len() <= 64, "{}", asked.len());
}

fn version(number: u64) -> Arc<RouteBook> {
    let rule = |n: u64| Rule {
        name: format!("rule {n}"),
        host: "league.example".to_owned(),
        prefix: format!("/{n}/"),
        kind: Kind::Idempotent,
        attempts: 2,
        timeout: Duration::from_secs(2),
        goal: Duration::from_millis(200),
        rank: 1,
        target: Target::One(ServiceName::new("archive").unwrap()),
    };
    let limits = CallerLimits::default();
    let rules = (0..number).map(rule).collect();
    Arc::new(RouteBook::build(BookVersion(number), rules, [], limits).unwrap())
}

/// An entry that has one of the last versions gets what has changed since, one that is
/// further behind or has a version that was never here gets all, and one that is ahead
/// gets nothing older.
#[test]
fn what_is_told_makes_the_newest_version_of_any_other() {
    let mut history = History::default();
    assert!(history.since(BookVersion(0)).unwrap().delta.is_empty());
    for number in [2, 4, 6, 8, 10] {
        history.put(version(number));
    }
    for (have, rules) in [(0, 10), (2, 10), (4, 6), (5, 10), (8, 2)] {
        let raw = history.since(BookVersion(have)).unwrap();
        assert_eq!(raw.version, BookVersion(10));
        let delta: BookDelta = unpack(&raw.delta).unwrap();
        assert_eq!(delta.rules(), rules, "since {have}");
        let made = delta.apply(Some(&*version(have))).unwrap();
        assert!(made.rules().eq(version(10).rules()), "since {have}");
    }
    for have in [10, 11] {
        assert!(history.since(BookVersion(have)).unwrap().delta.is_empty());
    }
}
