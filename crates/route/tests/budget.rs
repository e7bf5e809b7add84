//! Budgets of extra calls whose quota is shared among many entries.

use std::time::Duration;

use chestnut_route::{Budget, CallKind, ExtraBudget, SpendResult};
use chestnut_unit::{Share, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const WINDOW: Duration = Duration::from_secs(10);

fn budget(quota: f64) -> Budget {
    let mut budget = Budget::empty(Share::from_permille(200), 1);
    budget.set_quota(quota, WINDOW);
    budget
}

fn at(seconds: f64) -> Time {
    Time::ZERO + Duration::from_secs_f64(seconds)
}

/// An entry whose quota per shard saves up less than one call could never hedge its
/// infrequent searches.
#[test]
fn infrequent_searches_can_spend_their_quota() {
    const SHARDS: usize = 90;
    const INTERVAL: f64 = 3.4;
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut budgets: Vec<ExtraBudget> = (0..SHARDS)
        .map(|_| ExtraBudget::Joint(budget(33.0 / 17.0)))
        .collect();
    let (mut requested, mut granted) = (0, 0);
    for search in 1..=30 {
        let now = at(INTERVAL * f64::from(search));
        for budget in &mut budgets {
            budget.refill(now);
            budget.earn(1);
            if rng.random_range(0..24) > 0 {
                continue;
            }
            requested += 1;
            granted += usize::from(budget.spend(CallKind::Hedge, 0.02) == SpendResult::Paid);
        }
    }
    assert!(requested > 100, "{requested}");
    assert!(granted * 10 >= requested * 8, "{granted} of {requested}");
}

/// Extra calls in any window stay within the quota plus the share of first calls in that
/// window or the one before it, whatever was saved earlier.
#[rstest]
#[case::many(8.7)]
#[case::two(2.0)]
#[case::just_above_one(1.2)]
#[case::one(1.0)]
#[case::below_one(0.22)]
fn extra_calls_stay_within_quota_and_share_in_any_window(#[case] quota: f64) {
    const STEP: f64 = 0.1;
    const STEPS: usize = 100;
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut budget = budget(quota);
        let mut spent = Vec::new();
        let mut first = Vec::new();
        let mut rate = 3;
        for step in 0..3000 {
            if step % 70 == 0 {
                rate = [0, 1, 4, 20][rng.random_range(0..4)];
            }
            budget.refill(at(STEP * f64::from(step)));
            let calls = rng.random_range(0..=rate);
            budget.earn(calls);
            let spends = rng.random_range(0..100) < 40;
            let mut count = 0;
            while spends && budget.spend() {
                count += 1;
            }
            spent.push(count);
            first.push(calls);
        }
        for end in STEPS * 2..spent.len() {
            let extra: u32 = spent[end - STEPS..end].iter().sum();
            let first_calls = |from: usize| first[from..from + STEPS].iter().sum::<usize>() as f64;
            let calls = first_calls(end - STEPS).max(first_calls(end - STEPS * 2));
            let max = quota + 0.2 * calls + 1e-6;
            assert!(f64::from(extra) <= max, "{extra} of {max}, seed {seed}");
        }
    }
}

/// An entry with a tiny quota could never save a whole call. The earnings of its own
/// first calls must suffice.
#[test]
fn a_quota_below_one_call_allows_what_first_calls_earn() {
    let mut budget = budget(0.22);
    let mut granted = 0;
    for second in 0..60 {
        budget.refill(at(f64::from(second)));
        budget.earn(8);
        granted += u32::from(budget.spend());
    }
    // 480 first calls earn 96 tokens, of which the reserve passes on three quarters.
    assert!(granted >= 50, "{granted}");
}
