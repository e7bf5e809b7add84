//! Shares of extra calls and of leaf connections that each entry may use.

use std::time::Duration;

use chestnut_fleet::{Candidate, serving_entries};
use chestnut_relay::{ExtraCalls, Quota, Rate, Role};
use chestnut_unit::Time;
use rstest::rstest;

/// Guards against entries that exceed the limits of connections and extra calls
/// together although each keeps to its own share.
#[rstest]
#[case(6, 0, 40)]
#[case(6, 65, 68)]
#[case(8, 82, 120)]
#[case(4, 0, 3)]
#[case(16, 2884, 4000)]
fn shares_of_all_entries_stay_within_the_limits(
    #[case] count: usize,
    #[case] others: usize,
    #[case] limit: usize,
) {
    let extra = ExtraCalls {
        part: 0.2,
        slack: 52.0,
        window: Duration::from_secs(10),
    };
    let share_of = |role| Quota {
        serving: count,
        others,
        role,
    };
    let (serving, other) = (share_of(Role::Carrier), share_of(Role::Other));
    let slack = serving.slack(&extra) * count as f64
        + if others > 0 {
            other.slack(&extra) * others as f64
        } else {
            0.0
        };
    assert!(slack <= 52.0 + 1e-9, "{slack}");
    // Other entries connect to a leaf only while they serve a stray caller, and
    // at most half of its connections are reserved for them.
    let connections = serving.connections(limit) * count;
    assert!(connections <= limit.max(count), "{connections}");
    assert!(serving.connections(limit) >= 1);
}

/// Guards against a rate that still counts events of long ago.
#[test]
fn rate_covers_only_the_last_seconds() {
    let mut rate = Rate::default();
    let mut count = 0;
    for second in 1..=10 {
        count += 100;
        rate.record(count, Time::ZERO + Duration::from_secs(second));
    }
    let recent = rate.record(count + 50, Time::ZERO + Duration::from_millis(10_500));
    assert!((98..=101).contains(&recent), "{recent}");
    let later = rate.record(count + 50, Time::ZERO + Duration::from_secs(20));
    assert!(later <= 2, "{later}");
}

/// Guards against leafs that reset connections because all of many identical
/// entries serve callers and each connects to every leaf.
#[test]
fn identical_entries_stay_within_the_connection_limit() {
    const ENTRIES: u32 = 100;
    const CONNECTIONS: usize = 40;
    let candidate = |id| Candidate {
        id,
        weight: 600,
        load: 10,
        local: true,
    };
    let candidates: Vec<Candidate<u32>> = (0..ENTRIES).map(candidate).collect();
    let count = serving_entries(&candidates, 0, 0).len();
    let quota = Quota {
        serving: count,
        others: ENTRIES as usize - count,
        role: Role::Carrier,
    };
    let open = quota.connections(CONNECTIONS) * count;
    assert!(
        open <= CONNECTIONS,
        "{open} connections of serving entries alone"
    );
}
