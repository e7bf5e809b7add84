//! Membership over a lossy network, in virtual time.

use chestnut_fake::membership::{MembershipConfig, measure};
use rstest::rstest;

const CALM: MembershipConfig = MembershipConfig {
    members: 50,
    loss: 0.0,
    death: false,
    freeze: false,
    seed: 1,
};

/// Control traffic of a member, in bytes a second, that must not be passed.
const BYTES_MAX: f64 = 3000.0;

/// Suspicions raised by lost datagrams filled all messages, and refutations
/// came too late: hundreds of members were taken for gone.
#[rstest]
fn loss_makes_no_false_deaths(#[values(7, 50, 150)] members: usize) {
    let report = measure(MembershipConfig {
        members,
        loss: 0.1,
        ..CALM
    });
    assert_eq!(report.false_deaths, 0);
    assert!(report.bytes < BYTES_MAX, "{report:?}");
}

#[rstest]
fn a_death_is_known_everywhere(#[values(7, 50, 150)] members: usize) {
    let report = measure(MembershipConfig {
        members,
        death: true,
        ..CALM
    });
    let known = report.known.expect("every member knows");
    assert!(known <= 5.0, "{report:?}");
    assert_eq!(report.false_deaths, 0);
}

/// A member that stops for five seconds may be given up meanwhile, but is a
/// member again everywhere when it is back.
#[rstest]
fn a_freeze_is_forgiven(#[values(7, 50, 150)] members: usize) {
    let report = measure(MembershipConfig {
        members,
        freeze: true,
        ..CALM
    });
    assert_eq!(report.lasting, 0, "{report:?}");
}

#[test]
fn traffic_does_not_grow_with_the_fleet() {
    let small = measure(CALM);
    let large = measure(MembershipConfig {
        members: 200,
        ..CALM
    });
    assert!(large.bytes < small.bytes * 1.1, "{small:?} {large:?}");
}
