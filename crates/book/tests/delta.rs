//! Differences between versions of the route book.

use std::time::Duration;

use chestnut_book::{
    BookDelta, BookVersion, CallerLimits, DeltaError, RetrySafety, RouteBook, Rule, ServiceRule,
    Target,
};
use chestnut_unit::ServiceName;
use proptest::{collection::btree_map, prelude::*};

const HOSTS: [&str; 2] = ["league.example", "Clubs.example"];

fn service(n: u8) -> ServiceName {
    ServiceName::new(format!("service-{n}")).unwrap()
}

fn rule(host: &str, prefix: u8, to: u8) -> Rule {
    Rule {
        name: format!("route {prefix}"),
        host: host.to_owned(),
        prefix: format!("/{prefix}/"),
        kind: RetrySafety::Idempotent,
        attempts: 2,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(200),
        rank: 1,
        public: false,
        target: Target::One(service(to)),
    }
}

/// Builds a book from rules by host and prefix, and services with a connection limit.
fn book(version: u64, rules: &[((usize, u8), u8)], services: &[(u8, usize)]) -> RouteBook {
    let rules = rules.iter();
    let rules = rules.map(|((host, prefix), to)| rule(HOSTS[*host], *prefix, *to));
    let services = services.iter();
    let services = services.map(|(n, connections)| {
        let connections = *connections;
        (
            service(*n),
            ServiceRule {
                connections,
                cold: None,
            },
        )
    });
    let limits = CallerLimits::default();
    RouteBook::build(BookVersion(version), rules.collect(), services, limits).unwrap()
}

fn text(book: &RouteBook) -> String {
    serde_json::to_string(book).unwrap()
}

fn generated_book(
    rules: std::collections::BTreeMap<(usize, u8), u8>,
    services: std::collections::BTreeMap<u8, usize>,
    version: u64,
) -> RouteBook {
    let rules: Vec<_> = rules.into_iter().collect();
    let services: Vec<_> = services.into_iter().collect();
    book(version, &rules, &services)
}

proptest! {
    /// A serialized delta must turn its base into the newer book and be rejected for
    /// any other base, whether or not the two books share rules.
    #[test]
    fn delta_turns_its_base_into_the_newer_book(
        old in btree_map((0usize..2, 0u8..6), 0u8..3, 0..12),
        new in btree_map((0usize..2, 0u8..6), 0u8..3, 0..12),
        open in btree_map(0u8..4, 1usize..3, 0..4),
        close in btree_map(0u8..4, 1usize..3, 0..4),
        shared in any::<bool>(),
    ) {
        let old = generated_book(old, open, 4);
        let mut new = generated_book(new, close, 7);
        let before = text(&new);
        if shared {
            new.share_rules(&old);
        }
        let delta = serde_json::to_vec(&BookDelta::between(Some(&old), &new)).unwrap();
        let read = || serde_json::from_slice::<BookDelta>(&delta).unwrap();
        let made = read().apply(Some(&old)).unwrap();
        prop_assert_eq!(text(&made), &before[..]);
        let other = generated_book(Default::default(), Default::default(), 5);
        let base = DeltaError::BaseMismatch(BookVersion(4), BookVersion(5));
        prop_assert_eq!(read().apply(Some(&other)).unwrap_err(), base);
        prop_assert!(read().apply(None).is_err());
        let all = BookDelta::between(None, &new).apply(Some(&other)).unwrap();
        prop_assert_eq!(text(&all), before);
    }
}

/// Guards against sending the whole book to every entry when one route changes.
#[test]
fn delta_of_one_rule_is_about_as_large_as_the_rule() {
    let rules: Vec<_> = (0..200).map(|n| ((0, n), 1)).collect();
    let old = book(1, &rules, &[(1, 40), (2, 40)]);
    let mut moved = rules.clone();
    moved[99].1 = 2;
    let mut new = book(2, &moved, &[(1, 40), (2, 40)]);
    new.share_rules(&old);
    let delta = BookDelta::between(Some(&old), &new);
    assert_eq!(delta.changed_rules(), 1);
    let bytes = serde_json::to_vec(&delta).unwrap().len();
    let one = serde_json::to_vec(&rule(HOSTS[0], 99, 2)).unwrap().len();
    assert!(bytes < one + 300, "{bytes} bytes for a rule of {one}");
}
