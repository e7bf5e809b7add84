//! Return times that a [`TurnBook`] gives to refused callers.

use std::time::Duration;

use chestnut_route::{ReturnKind, Turn, TurnBook, TurnRequest};
use chestnut_unit::Time;
use proptest::{prelude::*, test_runner::RngSeed};

/// The least delay before a return.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// The least delay with a turn, in milliseconds.
const FIRST_TURN_MS: u64 = 80;
/// The greatest delay before a return.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// A request for a reserved turn without jitter.
fn request(longest_ms: u64) -> TurnRequest {
    TurnRequest {
        longest: Duration::from_millis(longest_ms),
        reserve: true,
        draw: 0,
    }
}

/// A book whose key 0 has completed a query every `gap_ms` milliseconds for two seconds, and
/// the time after that.
fn book(gap_ms: u64) -> (TurnBook<u32>, Time) {
    let mut book = TurnBook::default();
    for ms in (0..=2000).step_by(gap_ms as usize) {
        book.record_completed(0, Time::from_millis(ms));
    }
    (book, Time::from_millis(2000))
}

fn millis(turn: Option<Turn>) -> u64 {
    turn.map_or(0, |turn| turn.after.as_millis() as u64)
}

/// Guards against a rate that differs from that of completed queries.
#[test]
fn rate_is_that_of_the_last_second() {
    let (mut book, now) = book(10);
    let rate = book.rate(0, now).unwrap();
    assert!((95.0..=105.0).contains(&rate), "{rate}");
    let half = book.rate(0, now + Duration::from_millis(500)).unwrap();
    assert!((45.0..=55.0).contains(&half), "{half}");
}

/// Guards against callers that return together after they were refused together.
#[test]
fn successive_callers_get_successive_times() {
    let (mut book, now) = book(10);
    let turns: Vec<u64> = (0..11)
        .map(|_| millis(book.give_turn(0, request(900), now)))
        .collect();
    assert_eq!(turns[0], FIRST_TURN_MS);
    // Four tenths of 100 per second, so 25 ms; the rate is counted to within a twentieth.
    let gaps: Vec<u64> = turns.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.iter().all(|gap| (23..=26).contains(gap)), "{gaps:?}");
}

/// Guards against return times that callers don't wait for, and against a turn reserved for a
/// caller that gets none.
#[test]
fn caller_beyond_the_last_turn_gets_the_latest_time() {
    let (mut book, now) = book(10);
    // Four tenths of 300 ms: at 80 and 105 ms.
    for _ in 0..2 {
        assert!(book.give_turn(0, request(300), now).unwrap().reserved);
    }
    let late = TurnRequest {
        draw: u64::MAX,
        ..request(300)
    };
    for (request, after) in [(request(300), 135), (late, 300)] {
        let beyond = book.give_turn(0, request, now).unwrap();
        assert!(!beyond.reserved);
        assert_eq!(beyond.after, Duration::from_millis(after));
    }
    let next = book.give_turn(0, request(900), now).unwrap();
    assert!(next.reserved);
    assert!(next.after < Duration::from_millis(135), "{next:?}");
}

/// Guards against callers without a turn that take the place of those with one: they get what is
/// left of the share.
#[test]
fn callers_without_a_turn_get_what_is_left() {
    let (mut book, mut now) = book(10);
    let longest = Duration::from_millis(800);
    let kind = |spent| ReturnKind::of(Duration::from_millis(spent), longest);
    assert_eq!(
        [kind(359), kind(360)],
        [ReturnKind::WithTurn, ReturnKind::WithoutTurn]
    );
    let (mut with, mut without) = (0, 0);
    for n in 0..400 {
        if n % 2 == 0 {
            book.record_completed(0, now);
        }
        if n % 5 == 0 {
            with += u32::from(book.admit_return(0, kind(300), now));
        }
        without += u32::from(book.admit_return(0, kind(700), now));
        now = now + Duration::from_millis(5);
    }
    assert_eq!(with, 80);
    // Half of 100 per second for 2 s, less 80.
    assert!((15..=25).contains(&without), "{without}");
}

/// Guards against a time that a caller accepts and is refused again at, while an overload lasts
/// longer than callers wait: one without a turn is told more than that. The first time after a
/// second without refusals is as in a burst.
#[test]
fn caller_without_a_turn_is_told_more_than_it_accepts_in_a_long_overload() {
    let (mut book, mut now) = book(10);
    let mut told = Vec::new();
    for _ in 0..100 {
        book.record_completed(0, now);
        for _ in 0..3 {
            let turn = book.give_turn(0, request(300), now).unwrap();
            told.push((now, turn));
        }
        now = now + Duration::from_millis(10);
    }
    let unreserved = told.iter().filter(|(_, turn)| !turn.reserved);
    let (early, late): (Vec<_>, Vec<_>) =
        unreserved.partition(|(at, _)| *at <= Time::from_millis(2300));
    assert!(early.len() > 50 && late.len() > 100);
    assert!(early.iter().all(|(_, turn)| millis(Some(*turn)) == 135));
    assert!(late.iter().all(|(_, turn)| millis(Some(*turn)) == 315));
    assert!(told.iter().filter(|(_, turn)| turn.reserved).count() >= 35);
    for _ in 0..120 {
        book.record_completed(0, now);
        now = now + Duration::from_millis(10);
    }
    let last = TurnRequest {
        reserve: false,
        ..request(300)
    };
    assert_eq!(millis(book.give_turn(0, last, now)), 135);
}

/// Guards against turns that are lost to callers that don't return a second time.
#[test]
fn caller_that_does_not_return_again_takes_no_turn() {
    let (mut book, now) = book(10);
    let last = TurnRequest {
        reserve: false,
        ..request(900)
    };
    assert!(!book.give_turn(0, last, now).unwrap().reserved);
    assert_eq!(millis(book.give_turn(0, request(900), now)), FIRST_TURN_MS);
}

/// Guards against turns that are lost to callers that leave before the least delay.
#[test]
fn caller_with_too_little_time_takes_no_turn() {
    let (mut book, now) = book(10);
    for (longest_ms, after) in [(0, 50), (49, 50), (79, 79)] {
        let turn = book.give_turn(0, request(longest_ms), now).unwrap();
        assert!(!turn.reserved);
        assert_eq!(turn.after, Duration::from_millis(after));
    }
    assert_eq!(millis(book.give_turn(0, request(900), now)), FIRST_TURN_MS);
}

/// Guards against return times from a rate that isn't known: before any query was completed,
/// after a burst too short to tell, and after two seconds without one.
#[test]
fn no_turn_without_a_known_rate() {
    let mut fresh: TurnBook<u32> = TurnBook::default();
    assert_eq!(fresh.give_turn(0, request(900), Time::ZERO), None);
    for _ in 0..50 {
        fresh.record_completed(0, Time::ZERO);
    }
    let early = Time::from_millis(100);
    assert_eq!(fresh.give_turn(0, request(900), early), None);
    let (mut book, now) = book(10);
    let idle = now + Duration::from_secs(3);
    assert_eq!(book.give_turn(0, request(900), idle), None);
}

/// Guards against a rate near zero that takes all turns of the time after it has risen.
#[test]
fn turns_are_free_again_after_a_low_rate() {
    let mut book = TurnBook::default();
    book.record_completed(0, Time::ZERO);
    let low = Time::from_millis(1999);
    assert!(book.give_turn(0, request(900), low).is_some());
    for ms in (2100..4000).step_by(10) {
        book.record_completed(0, Time::from_millis(ms));
    }
    let turn = book.give_turn(0, request(900), Time::from_millis(4000));
    assert_eq!(millis(turn), FIRST_TURN_MS);
}

/// Guards against first attempts that are crowded out by returning callers.
#[test]
fn returns_beyond_half_the_rate_count_as_first_attempts() {
    let (mut book, mut now) = book(10);
    let mut ahead = 0;
    for n in 0..400 {
        if n % 2 == 0 {
            book.record_completed(0, now);
        }
        ahead += u32::from(book.admit_return(0, ReturnKind::WithTurn, now));
        now = now + Duration::from_millis(5);
    }
    // Half of 100 per second for 2 s, and a burst of 100 ms.
    assert!((95..=110).contains(&ahead), "{ahead} of 400");
}

/// Guards against returns that are slowed where nothing is known that they could exceed.
#[test]
fn returns_go_first_where_no_rate_is_known() {
    let mut book: TurnBook<u32> = TurnBook::default();
    assert!((0..10).all(|_| book.admit_return(0, ReturnKind::WithTurn, Time::ZERO)));
    assert!(book.is_empty());
}

/// Guards against memory that grows with the number of keys, and against the loss of one in use.
#[test]
fn least_recently_used_key_is_dropped() {
    let (mut book, now) = book(10);
    for key in 1..1000 {
        let at = now + Duration::from_micros(u64::from(key));
        book.record_completed(key, at);
        book.record_completed(0, at);
    }
    assert_eq!(book.len(), 256);
    assert!(book.rate(0, now + Duration::from_millis(1)).is_some());
}

/// A refusal, or a completed query, some time after the step before.
#[derive(Clone, Copy, Debug)]
enum Step {
    Complete,
    Refuse { longest_ms: u64, draw: u64 },
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let refuse =
        (0u64..3000, any::<u64>()).prop_map(|(longest_ms, draw)| Step::Refuse { longest_ms, draw });
    let step = prop_oneof![Just(Step::Complete), refuse];
    prop::collection::vec((0u64..30, step), 1..400)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against return times outside of the bounds, whatever the load was: callers accept
    /// them, unless they get no turn and have been refused for longer than they wait.
    #[test]
    fn return_times_are_within_bounds(steps in steps()) {
        let mut book = TurnBook::default();
        let mut now = Time::ZERO;
        let mut first_refusal = None;
        for (gap, step) in steps {
            now = now + Duration::from_millis(gap);
            match step {
                Step::Complete => book.record_completed(0, now),
                Step::Refuse { longest_ms, draw } => {
                    let request = TurnRequest { draw, ..request(longest_ms) };
                    let refusing = now.since(*first_refusal.get_or_insert(now));
                    if let Some(turn) = book.give_turn(0, request, now) {
                        let latest = request.longest.clamp(MIN_DELAY, MAX_DELAY);
                        let longest = request.longest.max(MIN_DELAY);
                        if turn.reserved || refusing <= longest {
                            prop_assert!(turn.after >= MIN_DELAY && turn.after <= latest);
                        } else if turn.after > latest {
                            prop_assert!(turn.after > longest && turn.after <= longest * 21 / 10);
                        }
                    }
                }
            }
        }
    }
}
