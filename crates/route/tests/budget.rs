//! Budgets whose slack many entries share, by the load that they answer.

use std::time::Duration;

use chestnut_route::{Budget, CallKind, Paid, Purse};
use chestnut_unit::{Share, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const WINDOW: Duration = Duration::from_secs(10);

fn budget(slack: f64) -> Budget {
    let mut budget = Budget::empty(Share::from_permille(200), 1);
    budget.set_slack(slack, WINDOW);
    budget
}

fn at(seconds: f64) -> Time {
    Time::ZERO + Duration::from_secs_f64(seconds)
}

/// Nearly every answer over 90 shards lacks some, on a calm day.
/// Each of 17 entries serves a search every three and a half seconds. A leaf in 24 of
/// those that it calls pauses, so four calls of a search are worth making again. The
/// part of the slack that each entry has for each shard is 1.9 calls in ten seconds, of
/// which half could be saved up: less than one call, so none was ever made.
#[test]
fn entries_with_a_search_every_few_seconds_make_their_extra_calls() {
    const SHARDS: usize = 90;
    const GAP: f64 = 3.4;
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut purses: Vec<Purse> = (0..SHARDS)
        .map(|_| Purse::Joint(budget(33.0 / 17.0)))
        .collect();
    let (mut wanted, mut made) = (0, 0);
    for search in 1..=30 {
        let now = at(GAP * f64::from(search));
        for purse in &mut purses {
            purse.pass(now);
            purse.earn(1);
            if rng.random_range(0..24) > 0 {
                continue;
            }
            wanted += 1;
            made += usize::from(purse.spend(CallKind::Hedge, 0.02) == Paid::Yes);
        }
    }
    assert!(wanted > 100, "{wanted}");
    assert!(made * 10 >= wanted * 8, "{made} of {wanted}");
}

/// What an entry may spend in any window, whatever was saved before it, is its part of the
/// slack and the share of its first calls in that window or the one before.
#[rstest]
#[case::many(8.7)]
#[case::two(2.0)]
#[case::one_and_a_bit(1.2)]
#[case::one(1.0)]
#[case::less_than_one(0.22)]
fn no_entry_spends_beyond_its_part(#[case] slack: f64) {
    const STEP: f64 = 0.1;
    const STEPS: usize = 100;
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut budget = budget(slack);
        let mut spent = Vec::new();
        let mut first = Vec::new();
        let mut rate = 3;
        for step in 0..3000 {
            if step % 70 == 0 {
                rate = [0, 1, 4, 20][rng.random_range(0..4)];
            }
            budget.pass(at(STEP * f64::from(step)));
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
            let of = |from: usize| first[from..from + STEPS].iter().sum::<usize>() as f64;
            let calls = of(end - STEPS).max(of(end - STEPS * 2));
            let most = slack + 0.2 * calls + 1e-6;
            assert!(f64::from(extra) <= most, "{extra} of {most}, seed {seed}");
        }
    }
}

/// An entry among thousands makes no extra call, however many requests it serves.
/// Its part of the slack is a fifth of a call; what its own first calls earn has to be
/// enough for one.
#[test]
fn an_entry_with_a_tiny_part_spends_what_its_requests_earn() {
    let mut budget = budget(0.22);
    let mut made = 0;
    for second in 0..60 {
        budget.pass(at(f64::from(second)));
        budget.earn(8);
        made += u32::from(budget.spend());
    }
    // 480 first calls earn 96, three quarters of it while a whole one must be saved.
    assert!(made >= 50, "{made}");
}
