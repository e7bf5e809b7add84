//! What travels packed between entries.

use chestnut_port::{pack, unpack};

#[test]
fn what_is_unpacked_is_what_was_packed() {
    let words: Vec<String> = (0..1000).map(|n| format!("route {n} to service")).collect();
    let packed = pack(&words).unwrap();
    assert_eq!(unpack::<Vec<String>>(&packed).unwrap(), words);
    let json = serde_json::to_vec(&words).unwrap();
    assert!(
        packed.len() < json.len() / 4,
        "{} of {}",
        packed.len(),
        json.len()
    );
}

/// An entry puts half a book in force, or ends, by an answer that was cut or changed
/// on its way. Such an answer is refused at any length.
#[test]
fn what_was_cut_or_changed_is_refused() {
    let words: Vec<String> = (0..50).map(|n| format!("route {n}")).collect();
    let packed = pack(&words).unwrap();
    for length in 0..packed.len() {
        assert!(
            unpack::<Vec<String>>(&packed[..length]).is_err(),
            "{length}"
        );
    }
    assert!(unpack::<Vec<u32>>(&packed).is_err());
}
