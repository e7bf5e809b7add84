//! Organisations of a route book: lookup by key, checks, and how edits travel.

use std::collections::BTreeSet;

use chestnut_book::{
    BookDelta, BookError, BookVersion, CallerLimits, KeyDigest, Organisation, ParseDigestError,
    RouteBook,
};
use chestnut_unit::{OrgName, RateLimit};
use rstest::rstest;

fn org(name: &str, keys: &[&str]) -> Organisation {
    Organisation {
        name: OrgName::new(name).unwrap(),
        rank: Some(1),
        limit: RateLimit::new(39.0, 40.0),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
    }
}

/// A book without rules, with these organisations.
fn book(version: u64, organisations: Option<Vec<Organisation>>) -> RouteBook {
    let book = RouteBook::build(
        BookVersion(version),
        Vec::new(),
        [],
        CallerLimits::default(),
    )
    .unwrap();
    match organisations {
        Some(list) => book.with_organisations(list).unwrap(),
        None => book,
    }
}

/// The names of the organisations that hold these keys.
fn holders(book: &RouteBook, keys: &[&str]) -> Vec<Option<String>> {
    let organisations = book.organisations().unwrap();
    let find = |key: &&str| organisations.find(&KeyDigest::of(key.as_bytes()));
    let found = keys.iter().map(find);
    found
        .map(|org| org.map(|org| org.name.to_string()))
        .collect()
}

/// Guards against a difference between versions that loses a new key, brings back one that was
/// taken away, or leaves a key with its former organisation.
#[rstest]
#[case::first(None, Some(vec![org("a", &["k1", "k2"]), org("b", &["k3"])]))]
#[case::key_added(Some(vec![org("a", &["k1"])]), Some(vec![org("a", &["k1", "k2"])]))]
#[case::key_taken(Some(vec![org("a", &["k1", "k2"])]), Some(vec![org("a", &["k2"])]))]
#[case::last_key_taken(Some(vec![org("a", &["k1"])]), Some(vec![org("a", &[])]))]
#[case::all_gone(Some(vec![org("a", &["k1"]), org("b", &["k2"])]), Some(vec![]))]
#[case::moved(
    Some(vec![org("a", &["k1"]), org("b", &["k2"])]),
    Some(vec![org("a", &["k2"]), org("b", &["k1"])])
)]
#[case::renamed(Some(vec![org("a", &["k1"])]), Some(vec![org("b", &["k1"])]))]
#[case::unchanged(Some(vec![org("a", &["k1"])]), Some(vec![org("a", &["k1"])]))]
#[case::no_keys_needed_any_more(Some(vec![org("a", &["k1"])]), None)]
fn edits_of_keys_travel_as_differences(
    #[case] before: Option<Vec<Organisation>>,
    #[case] after: Option<Vec<Organisation>>,
) {
    let (from, to) = (book(1, before), book(2, after));
    let sent = serde_json::to_string(&BookDelta::between(Some(&from), &to)).unwrap();
    let delta: BookDelta = serde_json::from_str(&sent).unwrap();
    let applied = delta.apply(Some(&from)).unwrap();
    assert_eq!(applied.organisations(), to.organisations());
    let whole: RouteBook = serde_json::from_str(&serde_json::to_string(&to).unwrap()).unwrap();
    assert_eq!(whole.organisations(), to.organisations());
    if to.organisations().is_some() {
        let keys = ["k1", "k2", "k3", "unknown"];
        assert_eq!(holders(&applied, &keys), holders(&to, &keys));
    }
}

/// Guards against a difference that holds all organisations when one key has changed.
#[test]
fn a_difference_follows_the_changes() {
    let list = |keys: &[&str]| {
        let mut list: Vec<_> = (0..200).map(|n| org(&format!("o{n}"), &[])).collect();
        list.push(org("changed", keys));
        list
    };
    let (from, to) = (book(1, Some(list(&["k1"]))), book(2, Some(list(&["k2"]))));
    let sent = serde_json::to_string(&BookDelta::between(Some(&from), &to)).unwrap();
    assert!(sent.len() < 500, "{}", sent.len());
}

/// Guards against a key that lets its caller act for one of two organisations by chance.
#[test]
fn names_and_keys_are_unique() {
    let build = |list| {
        let empty = book(1, None);
        empty.with_organisations(list).map(|_| ())
    };
    let name = |name| OrgName::new(name).unwrap();
    let twice = build(vec![org("a", &["k1"]), org("a", &["k2"])]);
    assert_eq!(twice, Err(BookError::DuplicateOrganisation(name("a"))));
    let shared = build(vec![org("a", &["k1"]), org("b", &["k2", "k1"])]);
    assert_eq!(shared, Err(BookError::SharedKey(name("b"), name("a"))));
}

/// Guards against a digest that can't be read back, and one that shows more than its start
/// where it is printed for debugging.
#[test]
fn a_digest_reads_back_and_debug_shows_its_start() {
    let digest = KeyDigest::of(b"a key of an organisation");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert_eq!(digest.prefix().len(), 8);
    assert!(!format!("{digest:?}").contains(&digest.to_string()));
    let different: BTreeSet<KeyDigest> = [&b"a"[..], b"b", b"", b"a "].map(KeyDigest::of).into();
    assert_eq!(different.len(), 4);
}

#[rstest]
#[case::empty("")]
#[case::short("00112233")]
#[case::no_digits("zz112233445566778899aabbccddeeff")]
#[case::signs("+0112233445566778899aabbccddeeff")]
#[case::long("00112233445566778899aabbccddeeff00")]
#[case::not_ascii("é0112233445566778899aabbccddeef")]
fn text_that_is_no_digest_is_rejected(#[case] text: &str) {
    assert_eq!(
        text.parse::<KeyDigest>(),
        Err(ParseDigestError::InvalidDigest)
    );
}
