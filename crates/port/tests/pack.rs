//! The packed encoding of values between entries.

use chestnut_port::{pack, unpack};

/// Guards against an encoding that alters values or does not compress them.
#[test]
fn packed_values_are_small_and_round_trip() {
    let routes: Vec<String> = (0..1000).map(|n| format!("route {n} to service")).collect();
    let packed = pack(&routes).unwrap();
    assert_eq!(unpack::<Vec<String>>(&packed).unwrap(), routes);
    let json = serde_json::to_vec(&routes).unwrap();
    assert!(
        packed.len() < json.len() / 4,
        "{} of {}",
        packed.len(),
        json.len()
    );
}

/// Guards against an entry that applies part of a route book or panics when an answer
/// was truncated or holds another type.
#[test]
fn truncated_or_mistyped_values_are_rejected() {
    let routes: Vec<String> = (0..50).map(|n| format!("route {n}")).collect();
    let packed = pack(&routes).unwrap();
    for length in 0..packed.len() {
        assert!(
            unpack::<Vec<String>>(&packed[..length]).is_err(),
            "{length}"
        );
    }
    assert!(unpack::<Vec<u32>>(&packed).is_err());
}
