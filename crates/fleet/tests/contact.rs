//! The part of the members that answers, by probes of each failure domain.

use std::time::Duration;

use chestnut_fleet::Contact;
use chestnut_unit::{DomainName, Time};

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn domain(name: &str) -> DomainName {
    DomainName::new(name).unwrap()
}

/// Two others in the own domain and three in each of two further ones.
fn contact() -> Contact {
    let mut contact = Contact::default();
    contact.update([(domain("a"), 2), (domain("b"), 3), (domain("c"), 3)]);
    contact
}

/// Guards against a home that counts members as its own that no longer answer.
#[test]
fn silent_domains_are_taken_off() {
    let mut contact = contact();
    assert!((contact.fraction(at(0)) - 1.0).abs() < 1e-9);
    for _ in 0..8 {
        contact.probed(&domain("a"), true, at(100));
        contact.probed(&domain("b"), false, at(100));
    }
    contact.probed(&domain("c"), true, at(100));
    contact.probed(&domain("c"), false, at(100));
    assert!((contact.fraction(at(200)) - (1.0 + 2.0 + 0.0 + 1.5) / 9.0).abs() < 1e-9);
}

/// Guards against a part that stays small after a partition, and against members that were not
/// probed lately and count as lost.
#[test]
fn old_probes_don_t_count() {
    let mut contact = contact();
    contact.probed(&domain("b"), false, at(100));
    assert!(contact.fraction(at(200)) < 0.7);
    assert!((contact.fraction(at(2100)) - 1.0).abs() < 1e-9);
    contact.probed(&domain("b"), false, at(3000));
    for _ in 0..8 {
        contact.probed(&domain("b"), true, at(3100));
    }
    assert!((contact.fraction(at(3200)) - 1.0).abs() < 1e-9);
}

/// Guards against a probe of a member that has left.
#[test]
fn domains_without_members_don_t_count() {
    let mut contact = contact();
    contact.probed(&domain("b"), false, at(100));
    contact.update([(domain("a"), 2), (domain("c"), 3)]);
    contact.probed(&domain("b"), false, at(100));
    assert!((contact.fraction(at(200)) - 1.0).abs() < 1e-9);
}
