//! Tests of the decisions that a ledger makes when leafs crash.

use std::time::Duration;

use chestnut_quarantine::{Fingerprint, LeafMark, Ledger, Report, Stand};
use chestnut_unit::Time;
use rstest::rstest;

const REQUEST: Fingerprint = Fingerprint(7);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn marks(numbers: std::ops::Range<u32>) -> Vec<LeafMark> {
    numbers.map(LeafMark).collect()
}

/// A ledger that refuses [`REQUEST`], with the last crash at 2 s.
fn refusing() -> Ledger {
    let mut ledger = Ledger::default();
    ledger.ended(REQUEST, &marks(0..10), at(0));
    assert_eq!(ledger.admit(REQUEST, at(2000)), Stand::Trial);
    ledger.ended(REQUEST, &marks(10..11), at(2000));
    ledger
}

fn is_refused(ledger: &Ledger, now: Time) -> bool {
    matches!(ledger.look(REQUEST, now), Stand::Refused(_))
}

/// A rack failure that takes many leafs within a second must not get a harmless request
/// refused.
#[test]
fn crashes_within_a_second_are_one_episode() {
    let mut ledger = Ledger::default();
    for ms in [0, 100, 300, 800] {
        let first = ms as u32;
        ledger.ended(REQUEST, &marks(first..first + 10), at(ms));
    }
    assert_eq!(ledger.admit(REQUEST, at(900)), Stand::Trial);
    assert!(ledger.answered(REQUEST, at(930)));
    assert_eq!(ledger.admit(REQUEST, at(931)), Stand::Free);
}

/// A request must not be refused because leafs crash for other reasons while it runs.
#[test]
fn an_answer_supersedes_earlier_crashes() {
    let mut ledger = Ledger::default();
    for round in 0..50u32 {
        let start = u64::from(round) * 5000;
        ledger.ended(REQUEST, &marks(round * 9..round * 9 + 9), at(start));
        assert!(!is_refused(&ledger, at(start)), "round {round}");
        ledger.answered(REQUEST, at(start + 2000));
    }
}

/// Retries that arrive together must not each crash a leaf before the first is answered.
#[test]
fn only_one_trial_call_at_a_time() {
    let mut ledger = Ledger::default();
    ledger.ended(REQUEST, &marks(0..2), at(0));
    assert_eq!(ledger.admit(REQUEST, at(50)), Stand::Trial);
    let Stand::Refused(after) = ledger.admit(REQUEST, at(60)) else {
        panic!("a second trial call beside the first");
    };
    assert!(after <= Duration::from_millis(100), "{after:?}");
    ledger.answered(REQUEST, at(80));
    assert_eq!(ledger.admit(REQUEST, at(81)), Stand::Free);
}

/// Retries in quick succession must not each crash a leaf within one episode.
#[test]
fn a_failed_trial_call_waits_for_the_next_episode() {
    let mut ledger = Ledger::default();
    ledger.ended(REQUEST, &marks(0..2), at(0));
    assert_eq!(ledger.admit(REQUEST, at(100)), Stand::Trial);
    ledger.ended(REQUEST, &marks(2..3), at(120));
    for ms in (200..1100).step_by(100) {
        let Stand::Refused(after) = ledger.admit(REQUEST, at(ms)) else {
            panic!("another trial call after {ms} ms");
        };
        assert!(after <= Duration::from_secs(1), "{after:?}");
    }
    assert_eq!(ledger.admit(REQUEST, at(1120)), Stand::Trial);
}

/// A trial call to a leaf that hangs must not get the request refused until it returns.
#[test]
fn a_hanging_trial_call_does_not_block_the_next() {
    let mut ledger = Ledger::default();
    ledger.ended(REQUEST, &marks(0..2), at(0));
    assert_eq!(ledger.admit(REQUEST, at(50)), Stand::Trial);
    assert_eq!(ledger.admit(REQUEST, at(200)), Stand::Trial);
}

/// A request that was fixed, or blamed by mistake, must be served again.
#[test]
fn a_refusal_expires_and_a_trial_call_decides() {
    let mut ledger = refusing();
    let Stand::Refused(after) = ledger.admit(REQUEST, at(2100)) else {
        panic!("not refused");
    };
    let end = at(2100) + after;
    assert_eq!(ledger.admit(REQUEST, end), Stand::Trial);
    ledger.answered(REQUEST, end + Duration::from_millis(20));
    let later = end + Duration::from_millis(30);
    assert_eq!(ledger.admit(REQUEST, later), Stand::Free);
    ledger.forget(later + Duration::from_secs(3600));
    assert!(ledger.is_empty());
}

/// A caller that retries for ever must not crash a leaf every two minutes.
#[test]
fn each_failed_trial_call_lengthens_the_refusal() {
    let mut ledger = refusing();
    let (mut now, mut trials) = (at(2000), 0);
    let day = at(24 * 3600 * 1000);
    while now < day {
        match ledger.admit(REQUEST, now) {
            Stand::Refused(after) => now = now + after,
            _ => {
                trials += 1;
                ledger.ended(REQUEST, &marks(100 + trials..101 + trials), now);
            }
        }
        ledger.forget(now);
    }
    assert!(trials <= 14, "{trials} trial calls in a day");
}

/// Crashes of a leaf that restarts under the same id must count separately.
#[test]
fn repeated_crashes_of_a_leaf_count_again() {
    let mut ledger = Ledger::default();
    for second in 0..3 {
        ledger.ended(REQUEST, &marks(1..2), at(second * 3000));
    }
    assert!(is_refused(&ledger, at(6000)));
}

/// A new entry must apply reported crashes that are older than itself.
#[test]
fn crashes_before_the_start_of_an_entry_count() {
    let mut old = refusing();
    let mut new = Ledger::default();
    let reports = old.tell(4, 6, at(60_000));
    assert!(new.hear(&reports[0], at(10)));
    let (Stand::Refused(here), Stand::Refused(there)) =
        (new.look(REQUEST, at(10)), old.look(REQUEST, at(60_000)))
    else {
        panic!("not refused by both entries");
    };
    assert_eq!(here, there);
}

/// Reports must not circulate for ever, and an answer that one entry saw must reach all.
#[test]
fn reports_converge() {
    let mut one = refusing();
    let mut two = Ledger::default();
    let report = one.tell(4, 6, at(3000)).remove(0);
    assert!(two.hear(&report, at(3000)));
    assert!(!two.hear(&report, at(3010)));
    let back = two.tell(4, 6, at(3100)).remove(0);
    assert!(!one.hear(&back, at(3110)));
    assert!(two.answered(REQUEST, at(5000)));
    let cleared = two.tell(4, 6, at(5000)).remove(0);
    assert!(one.hear(&cleared, at(5005)));
    assert_eq!(one.look(REQUEST, at(5010)), Stand::Free);
    // A late report of a third entry is older than the answer.
    let late = Report {
        strikes: report
            .strikes
            .iter()
            .map(|(leaf, age)| (*leaf, *age + Duration::from_millis(3000)))
            .collect(),
        ..report
    };
    assert!(!one.hear(&late, at(6000)));
    assert_eq!(one.look(REQUEST, at(6010)), Stand::Free);
}

/// Records must not grow with every request that ran when a region failed, nor push out
/// refused ones.
#[rstest]
#[case::reported(true)]
#[case::observed(false)]
fn records_are_bounded_and_refused_ones_stay(#[case] reported: bool) {
    let mut ledger = refusing();
    for number in 100..5000u64 {
        let what = Fingerprint(number);
        let now = at(3000 + number);
        if reported {
            let report = Report {
                what,
                cleared: None,
                strikes: vec![(LeafMark(number as u32), Duration::ZERO)],
                episodes: 1,
            };
            ledger.hear(&report, now);
        } else {
            ledger.ended(what, &marks(0..3), now);
        }
    }
    assert!(ledger.len() <= 1024, "{}", ledger.len());
    assert!(is_refused(&ledger, at(9000)));
    ledger.forget(at(24 * 3600 * 1000));
    assert!(ledger.is_empty());
}

/// Many harmless records must not keep a refused one from being reported.
#[test]
fn most_crashes_are_reported_first_and_refusals_repeatedly() {
    let mut ledger = refusing();
    for number in 100..200u64 {
        ledger.ended(Fingerprint(number), &marks(0..1), at(2100));
    }
    let first = ledger.tell(4, 6, at(2200));
    assert_eq!(first[0].what, REQUEST);
    for _ in 0..1000 {
        ledger.tell(4, 6, at(2400));
    }
    let reported = ledger.tell(4, 6, at(2500));
    assert!(reported.iter().any(|report| report.what == REQUEST));
}

/// Expired records must not circulate for ever between entries that expire them at
/// different times.
#[test]
fn expired_reports_are_ignored() {
    let mut old = refusing();
    let report = old.tell(4, 6, at(3000)).remove(0);
    let mut new = Ledger::default();
    assert!(!new.hear(&report.aged(Duration::from_secs(3600)), at(3000)));
    assert!(new.is_empty());
}

/// An entry that received the crashes late, but not the answer, must receive the answer
/// from its peers.
#[test]
fn a_superseded_crash_is_answered_with_the_answer() {
    let mut one = refusing();
    let report = one.tell(4, 6, at(3000)).remove(0);
    one.answered(REQUEST, at(4000));
    for _ in 0..100 {
        one.tell(4, 6, at(4100));
    }
    let mut late = Ledger::default();
    let report = report.aged(Duration::from_secs(2));
    assert!(late.hear(&report, at(5000)));
    let reported = late.tell(4, 6, at(5100)).remove(0);
    one.hear(&reported, at(5100));
    let answer = one.tell(4, 6, at(5200)).remove(0);
    assert!(late.hear(&answer, at(5200)));
    assert_eq!(late.look(REQUEST, at(5200)), Stand::Free);
}

/// Refusals must be pushed at once, and many other changes must not exceed the push rate.
#[test]
fn pushes_of_changes_are_rate_limited() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.tell_at(), None);
    let mut now = at(20_000);
    for number in 0..100 {
        ledger.ended(Fingerprint(number), &marks(0..1), now);
    }
    let end = now + Duration::from_secs(10);
    let mut pushes = 0;
    while let Some(due) = ledger.tell_at().filter(|due| *due < end) {
        now = now.max(due);
        ledger.telling(now);
        ledger.tell(4, 6, now);
        pushes += 1;
    }
    assert_eq!(pushes, 8);
    ledger.ended(REQUEST, &marks(0..9), now - Duration::from_secs(2));
    ledger.ended(REQUEST, &marks(9..10), now);
    assert_eq!(ledger.tell_at(), Some(now + Duration::from_millis(100)));
    ledger.telling(now + Duration::from_millis(100));
    assert_eq!(ledger.tell(1, 6, now)[0].what, REQUEST);
}
