//! Weights of a split as whole numbers.

use chestnut_book::{RoundRobin, whole_weights};
use chestnut_unit::Number;
use proptest::prelude::*;
use rstest::rstest;

fn whole(weights: &[f64]) -> Vec<u32> {
    let weights = weights.iter().map(|weight| Number::new(*weight).unwrap());
    whole_weights(&weights.collect::<Vec<_>>())
}

/// Guards against a split that is refused, or divides otherwise, because its weights are not whole
/// or are large.
#[rstest]
#[case(&[7.0, 3.0], &[7, 3])]
#[case(&[0.7, 0.3], &[7, 3])]
#[case(&[0.5, 0.5], &[5, 5])]
#[case(&[0.07, 0.03], &[7, 3])]
#[case(&[1.0, 0.0], &[1, 0])]
#[case(&[0.0, 0.0], &[0, 0])]
#[case(&[1e9, 1.0], &[1_000_000_000, 1])]
#[case(&[1e10, 1.0], &[1_000_000_000, 1])]
#[case(&[1e-300, 3e-300], &[333_333_333, 1_000_000_000])]
#[case(&[1e300, 1e-300, 0.0], &[1_000_000_000, 1, 0])]
fn weights_become_whole(#[case] weights: &[f64], #[case] expected: &[u32]) {
    assert_eq!(whole(weights), expected);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against a part whose share is not that of its weight, or that loses all.
    #[test]
    fn shares_are_kept(weights in prop::collection::vec(0.0f64..1.0, 1..6), power in -12i32..12) {
        let weights: Vec<f64> = weights.iter().map(|weight| weight * 10f64.powi(power)).collect();
        let counts = whole(&weights);
        let (sum, total) = (weights.iter().sum::<f64>(), counts.iter().map(|n| f64::from(*n)).sum::<f64>());
        for (weight, count) in weights.iter().zip(&counts) {
            prop_assert_eq!(*weight > 0.0, *count > 0);
            if sum > 0.0 {
                prop_assert!((weight / sum - f64::from(*count) / total).abs() < 1e-6);
            }
        }
    }
}

/// Guards against large weights that starve a part or overflow.
#[test]
fn requests_follow_fractions() {
    for weights in [
        whole(&[0.7, 0.3]),
        whole(&[0.7001, 0.2999]),
        whole(&[0.7e12, 0.3e12]),
    ] {
        let mut turns = RoundRobin::default();
        let first = (0..1000)
            .filter(|_| turns.next(&weights, 7) == Some(0))
            .count();
        assert!(
            (699..=702).contains(&first),
            "{first} of 1000 with {weights:?}"
        );
    }
}
