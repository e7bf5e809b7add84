//! Membership protocol over a lossy network, in virtual time.

use chestnut_fake::membership::{MembershipConfig, simulate};
use rstest::rstest;

const NO_FAULTS: MembershipConfig = MembershipConfig {
    members: 50,
    loss: 0.0,
    crash: false,
    freeze: false,
    seed: 1,
};

/// Maximum control traffic per member, in bytes per second.
const BYTES_MAX: f64 = 3000.0;

/// Guards against suspicions from lost datagrams crowding out refutations, which
/// declared live members dead.
#[rstest]
fn packet_loss_causes_no_false_removals(#[values(7, 50, 150)] members: usize) {
    let report = simulate(MembershipConfig {
        members,
        loss: 0.1,
        ..NO_FAULTS
    });
    assert_eq!(report.false_removals, 0);
    assert!(report.bytes < BYTES_MAX, "{report:?}");
}

/// Guards against slow or incomplete failure detection.
#[rstest]
fn a_crash_is_detected_by_every_member(#[values(7, 50, 150)] members: usize) {
    let report = simulate(MembershipConfig {
        members,
        crash: true,
        ..NO_FAULTS
    });
    let detection_time = report.detection_time.expect("every member knows");
    assert!(detection_time <= 5.0, "{report:?}");
    assert_eq!(report.false_removals, 0);
}

/// Guards against a member that freezes for five seconds staying excluded by
/// others after it resumes.
#[rstest]
fn a_frozen_member_is_readmitted_everywhere(#[values(7, 50, 150)] members: usize) {
    let report = simulate(MembershipConfig {
        members,
        freeze: true,
        ..NO_FAULTS
    });
    assert_eq!(report.unresolved, 0, "{report:?}");
}

/// Guards against control traffic per member that grows with the cluster.
#[test]
fn traffic_per_member_does_not_grow_with_cluster_size() {
    let small = simulate(NO_FAULTS);
    let large = simulate(MembershipConfig {
        members: 200,
        ..NO_FAULTS
    });
    assert!(large.bytes < small.bytes * 1.1, "{small:?} {large:?}");
}
