//! What one entry may use of what all share.

use std::time::Duration;

use chestnut_fleet::{Candidate, carriers};
use chestnut_relay::{Allotment, ExtraCalls, Part, Rate};
use chestnut_unit::Time;
use rstest::rstest;

/// Leafs see more connections or extra calls than all entries together may
/// use. Each entry keeps to its own part without asking, so the parts must add
/// up to no more than the whole, whatever the numbers.
#[rstest]
#[case(6, 0, 40)]
#[case(6, 65, 68)]
#[case(8, 82, 120)]
#[case(4, 0, 3)]
#[case(16, 2884, 4000)]
fn the_parts_stay_within_the_whole(
    #[case] carriers: usize,
    #[case] others: usize,
    #[case] most: usize,
) {
    let extra = ExtraCalls {
        part: 0.2,
        slack: 52.0,
        window: Duration::from_secs(10),
    };
    let of = |part| Allotment {
        carriers,
        others,
        part,
    };
    let (carrier, other) = (of(Part::Carrier), of(Part::Other));
    let slack = carrier.slack(&extra) * carriers as f64
        + if others > 0 {
            other.slack(&extra) * others as f64
        } else {
            0.0
        };
    assert!(slack <= 52.0 + 1e-9, "{slack}");
    // Entries that carry nothing hold a connection only while a stray caller
    // is served: at most half of the leaf's are left to them.
    let connections = carrier.connections(most) * carriers;
    assert!(connections <= most.max(carriers), "{connections}");
    assert!(carrier.connections(most) >= 1);
}

#[test]
fn a_rate_follows_the_last_seconds() {
    let mut rate = Rate::default();
    let mut count = 0;
    for second in 1..=10 {
        count += 100;
        rate.take(count, Time::ZERO + Duration::from_secs(second));
    }
    let told = rate.take(count + 50, Time::ZERO + Duration::from_millis(10_500));
    assert!((98..=101).contains(&told), "{told}");
    let later = rate.take(count + 50, Time::ZERO + Duration::from_secs(20));
    assert!(later <= 2, "{later}");
}

/// One request in five fails, all the time.
/// A hundred entries are alike, so callers are sent to all of them, and each
/// opens a connection to every leaf. Leafs take 40 and reset the rest.
#[test]
fn entries_that_are_alike_stay_within_the_connections() {
    const ENTRIES: u32 = 100;
    const CONNECTIONS: usize = 40;
    let alike = |id| Candidate {
        id,
        weight: 600,
        load: 10,
        near: true,
    };
    let candidates: Vec<Candidate<u32>> = (0..ENTRIES).map(alike).collect();
    let count = carriers(&candidates, 0, 0).len();
    let allotment = Allotment {
        carriers: count,
        others: ENTRIES as usize - count,
        part: Part::Carrier,
    };
    let open = allotment.connections(CONNECTIONS) * count;
    assert!(open <= CONNECTIONS, "{open} connections of carriers alone");
}
