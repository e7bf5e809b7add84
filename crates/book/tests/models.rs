//! Property tests of the merge and of the weighted round-robin.

use chestnut_book::{RECORD_BYTES, RoundRobin, merge_top};
use proptest::{collection::vec, prelude::*};

fn sort_and_truncate(parts: &[Vec<u8>], top: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts
        .iter()
        .flat_map(|p| p.chunks_exact(RECORD_BYTES))
        .collect();
    records.sort_by(|a, b| b.cmp(a));
    records.truncate(top);
    records.concat()
}

proptest! {
    /// The optimised merge must give the same result as sorting all records. Few byte
    /// values make duplicates common.
    #[test]
    fn merge_equals_sorting_all_records(
        parts in vec(vec(prop_oneof![Just(0u8), Just(1), Just(255)], 0..100), 0..6),
        top in 0usize..12,
    ) {
        let merged = merge_top(parts.iter().map(Vec::as_slice), top);
        prop_assert_eq!(merged, sort_and_truncate(&parts, top));
    }

    /// Guards against drift: after any number of turns, each service's count must be
    /// close to its weighted share.
    #[test]
    fn turn_counts_follow_the_weights(weights in vec(0u32..50, 1..5), start in 0u64..200, turns in 1usize..400) {
        let sum: u32 = weights.iter().sum();
        let mut state = RoundRobin::default();
        let mut counts = vec![0usize; weights.len()];
        for _ in 0..turns {
            match state.next(&weights, start) {
                Some(at) => counts[at] += 1,
                None => prop_assert_eq!(sum, 0),
            }
        }
        if sum > 0 {
            for (count, weight) in counts.iter().zip(&weights) {
                let share = f64::from(*weight) / f64::from(sum) * turns as f64;
                prop_assert!((*count as f64 - share).abs() <= 2.0 * weights.len() as f64);
                prop_assert!(*weight > 0 || *count == 0);
            }
        }
    }
}
