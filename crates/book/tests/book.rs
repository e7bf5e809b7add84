//! Rule lookup and validation of the route book.

use std::time::Duration;

use chestnut_book::{BookError, BookVersion, CallerLimits, RetrySafety, RouteBook, Rule, Target};
use chestnut_unit::{ServiceName, Share};
use rstest::rstest;

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).unwrap()
}

fn rule(name: &str, prefix: &str) -> Rule {
    Rule {
        name: name.to_owned(),
        host: "League.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RetrySafety::Idempotent,
        attempts: 2,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        rank: 1,
        public: false,
        target: Target::One(service("ladder")),
    }
}

fn book(rules: Vec<Rule>) -> Result<RouteBook, BookError> {
    RouteBook::build(BookVersion(1), rules, [], CallerLimits::default())
}

#[rstest]
#[case("league.example", "/a/b/c", Some("long"))]
#[case("league.example:8080", "/a/b/", Some("long"))]
#[case("LEAGUE.EXAMPLE", "/a/x", Some("short"))]
#[case("league.example", "/a/bc", Some("short"))]
#[case("league.example", "/a", None)]
#[case("league.example", "a/b/", None)]
#[case("league.example", "/", None)]
#[case("other.example", "/a/b/c", None)]
fn longest_prefix_of_the_host_is_selected(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let book = book(vec![rule("short", "/a/"), rule("long", "/a/b/")]).unwrap();
    let found = book.find(host, path).map(|rule| rule.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn root_prefix_matches_when_no_longer_one_does() {
    let book = book(vec![rule("root", "/"), rule("a", "/a/")]).unwrap();
    assert_eq!(book.find("league.example", "/b").unwrap().name, "root");
    assert_eq!(book.find("league.example", "/a/").unwrap().name, "a");
}

#[rstest]
#[case(Rule { prefix: "/a".to_owned(), ..rule("r", "/a/") })]
#[case(Rule { timeout: Duration::ZERO, ..rule("r", "/a/") })]
#[case(Rule { attempts: 0, ..rule("r", "/a/") })]
#[case(Rule { target: Target::Split(vec![(service("x"), 0)]), ..rule("r", "/a/") })]
#[case(Rule { target: Target::Split(vec![]), ..rule("r", "/a/") })]
#[case(Rule {
    target: Target::Gather {
        shards: vec![service("s"), service("s")],
        least: Share::FULL,
        top: 1,
    },
    ..rule("r", "/a/")
})]
fn error_of_an_invalid_rule_names_the_rule(#[case] invalid: Rule) {
    let error = book(vec![invalid]).unwrap_err().to_string();
    assert!(error.starts_with("route r: "), "{error}");
}

#[test]
fn two_rules_with_the_same_prefix_are_rejected() {
    let error = book(vec![rule("one", "/a/"), rule("two", "/a/")]).unwrap_err();
    assert!(matches!(error, BookError::DuplicateRoute(..)), "{error}");
}

/// Guards against losing parts of a book when entries send it to each other.
#[test]
fn book_is_unchanged_by_serialization() {
    let gather = Target::Gather {
        shards: vec![service("s1"), service("s2")],
        least: Share::from_permille(890),
        top: 50,
    };
    let split = Target::Split(vec![(service("old"), 70), (service("new"), 30)]);
    let rules = vec![
        rule("one", "/a/"),
        Rule {
            target: gather,
            ..rule("two", "/b/")
        },
        Rule {
            target: split,
            kind: RetrySafety::Once,
            ..rule("three", "/c/")
        },
    ];
    let sent = book(rules).unwrap();
    let json = serde_json::to_string(&sent).unwrap();
    let read: RouteBook = serde_json::from_str(&json).unwrap();
    assert_eq!(read.version, sent.version);
    assert!(read.rules().eq(sent.rules()));
    assert_eq!(read.limits, sent.limits);
}
