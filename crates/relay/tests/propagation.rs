//! Choice of the peer from which an entry reads a newer book, and the deltas that it
//! gets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chestnut_book::{BookDelta, BookVersion, CallerLimits, RetrySafety, RouteBook, Rule, Target};
use chestnut_port::unpack;
use chestnut_relay::{BookPropagation, Distance, History, NextRead};
use chestnut_unit::{ServiceName, Time};

const NOW: Time = Time::ZERO;

fn peer(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 4))
}

fn report(propagation: &mut BookPropagation, n: u8, version: u64, distance: Distance) -> bool {
    propagation.reported(peer(n), BookVersion(version), distance, NOW)
}

/// All entries read a new version from the same peer, whose link then carries the book
/// for each of them.
#[test]
fn entries_updated_together_ask_different_peers() {
    let mut propagation = BookPropagation::default();
    assert!(report(&mut propagation, 1, 5, Distance::Local));
    assert!(
        !report(&mut propagation, 2, 5, Distance::Local),
        "already reported"
    );
    assert_eq!(propagation.next(0, NOW), NextRead::From(peer(1)));
    assert_eq!(propagation.next(1, NOW), NextRead::From(peer(2)));
}

/// Bytes between domains are paid for, and a peer of the own domain mostly has the
/// version soon; without one, the version must not wait.
#[test]
fn a_remote_peer_is_asked_if_no_local_one_reports_soon() {
    let mut propagation = BookPropagation::default();
    report(&mut propagation, 8, 5, Distance::Remote);
    let NextRead::WaitUntil(until) = propagation.next(0, NOW) else {
        panic!("asked at once");
    };
    assert!(until.since(NOW) <= Duration::from_millis(200));
    assert_eq!(propagation.next(0, until), NextRead::From(peer(8)));
    report(&mut propagation, 2, 5, Distance::Local);
    assert_eq!(propagation.next(0, until), NextRead::From(peer(2)));
}

/// A silent peer is asked for ever while another one has the version, or is never asked
/// again though it is the only one.
#[test]
fn a_peer_that_failed_is_asked_last() {
    let mut propagation = BookPropagation::default();
    report(&mut propagation, 1, 5, Distance::Local);
    report(&mut propagation, 8, 5, Distance::Remote);
    propagation.failed(peer(1), NOW);
    let NextRead::WaitUntil(until) = propagation.next(0, NOW) else {
        panic!("asked at once");
    };
    assert_eq!(propagation.next(0, until), NextRead::From(peer(8)));
    propagation.failed(peer(8), until);
    let NextRead::WaitUntil(until) = propagation.next(0, until) else {
        panic!("asked at once");
    };
    assert_eq!(propagation.next(0, until), NextRead::From(peer(1)));
}

/// A version is late as the peer that it is read from has a slow link, or too many
/// peers are read from at once.
#[test]
fn a_slow_fetch_is_hedged_once() {
    let mut propagation = BookPropagation::default();
    report(&mut propagation, 1, 5, Distance::Local);
    propagation.read_started(peer(1), NOW);
    assert_eq!(propagation.next(0, NOW), NextRead::Nothing);
    report(&mut propagation, 2, 5, Distance::Local);
    report(&mut propagation, 3, 5, Distance::Local);
    let NextRead::WaitUntil(until) = propagation.next(0, NOW) else {
        panic!("asked at once");
    };
    assert!(until.since(NOW) <= Duration::from_millis(500));
    assert_eq!(propagation.next(0, until), NextRead::From(peer(2)));
    propagation.read_started(peer(2), until);
    let later = until + Duration::from_secs(5);
    assert_eq!(propagation.next(0, later), NextRead::Nothing);
    propagation.read_ended(peer(2));
    propagation.failed(peer(2), later);
    assert_eq!(propagation.next(0, later), NextRead::From(peer(3)));
}

/// An entry keeps fetching what it has, or counts as behind for good.
#[test]
fn versions_in_force_are_not_fetched() {
    let mut propagation = BookPropagation::default();
    report(&mut propagation, 1, 5, Distance::Local);
    report(&mut propagation, 2, 7, Distance::Local);
    let later = NOW + Duration::from_secs(3);
    assert_eq!(propagation.lag(later), Some(Duration::from_secs(3)));
    propagation.installed(BookVersion(5), later);
    assert_eq!(propagation.next(0, later), NextRead::From(peer(2)));
    assert_eq!(
        propagation.installed(BookVersion(7), later),
        Some(Duration::from_secs(3))
    );
    assert_eq!((propagation.lag(later), propagation.newest()), (None, None));
    assert!(!report(&mut propagation, 1, 7, Distance::Local));
    assert_eq!(propagation.next(0, later), NextRead::Nothing);
    // One that has restarted lacks what it had reported.
    report(&mut propagation, 1, 9, Distance::Local);
    report(&mut propagation, 1, 0, Distance::Local);
    assert_eq!(
        (propagation.next(0, later), propagation.lag(later)),
        (NextRead::Nothing, None)
    );
}

/// The state kept of peers grows with the members that report a version.
#[test]
fn state_of_peers_is_bounded() {
    let mut propagation = BookPropagation::default();
    for n in 0..=u8::MAX {
        report(&mut propagation, n, 5, Distance::Remote);
    }
    let later = NOW + Duration::from_secs(1);
    let asked: std::collections::BTreeSet<String> = (0..1000)
        .map(|draw| format!("{:?}", propagation.next(draw, later)))
        .collect();
    assert!(asked.len() <= 64, "{}", asked.len());
}

fn version(number: u64) -> Arc<RouteBook> {
    let rule = |n: u64| Rule {
        name: format!("rule {n}"),
        host: "league.example".to_owned(),
        prefix: format!("/{n}/"),
        kind: RetrySafety::Idempotent,
        attempts: 2,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(200),
        rank: 1,
        public: false,
        target: Target::One(ServiceName::new("archive").unwrap()),
    };
    let limits = CallerLimits::default();
    let rules = (0..number).map(rule).collect();
    Arc::new(RouteBook::build(BookVersion(number), rules, [], limits).unwrap())
}

/// An entry gets a delta that doesn't fit its version, or an older version than its
/// own; one that is too far behind gets the whole book.
#[test]
fn deltas_update_any_version_to_the_newest() {
    let mut history = History::default();
    assert!(history.since(BookVersion(0)).unwrap().delta.is_empty());
    for number in [2, 4, 6, 8, 10] {
        history.put(version(number));
    }
    for (have, rules) in [(0, 10), (2, 10), (4, 6), (5, 10), (8, 2)] {
        let raw = history.since(BookVersion(have)).unwrap();
        assert_eq!(raw.version, BookVersion(10));
        let delta: BookDelta = unpack(&raw.delta).unwrap();
        assert_eq!(delta.changed_rules(), rules, "since {have}");
        let made = delta.apply(Some(&*version(have))).unwrap();
        assert!(made.rules().eq(version(10).rules()), "since {have}");
    }
    for have in [10, 11] {
        assert!(history.since(BookVersion(have)).unwrap().delta.is_empty());
    }
}
