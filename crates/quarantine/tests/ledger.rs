//! Tests of the decisions that a ledger makes when leafs crash.

use std::time::Duration;

use chestnut_quarantine::{Fingerprint, Handling, LeafHash, SuspectLedger, SuspectReport};
use chestnut_unit::Time;
use rstest::rstest;

const REQUEST: Fingerprint = Fingerprint(7);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn hashes(numbers: std::ops::Range<u32>) -> Vec<LeafHash> {
    numbers.map(LeafHash).collect()
}

/// A ledger that refuses [`REQUEST`], with the last crash at 2 s.
fn refusing() -> SuspectLedger {
    let mut ledger = SuspectLedger::default();
    ledger.record_crashes(REQUEST, &hashes(0..10), at(0));
    assert_eq!(ledger.admit(REQUEST, at(2000)), Handling::Trial);
    ledger.record_crashes(REQUEST, &hashes(10..11), at(2000));
    ledger
}

fn is_refused(ledger: &SuspectLedger, now: Time) -> bool {
    matches!(ledger.handling(REQUEST, now), Handling::Refused(_))
}

/// A rack failure that takes many leafs within a second must not get a harmless request
/// refused.
#[test]
fn crashes_within_a_second_are_one_episode() {
    let mut ledger = SuspectLedger::default();
    for ms in [0, 100, 300, 800] {
        let first = ms as u32;
        ledger.record_crashes(REQUEST, &hashes(first..first + 10), at(ms));
    }
    assert_eq!(ledger.admit(REQUEST, at(900)), Handling::Trial);
    assert!(ledger.record_answer(REQUEST, at(930)));
    assert_eq!(ledger.admit(REQUEST, at(931)), Handling::Free);
}

/// A request must not be refused because leafs crash for other reasons while it runs.
#[test]
fn an_answer_supersedes_earlier_crashes() {
    let mut ledger = SuspectLedger::default();
    for round in 0..50u32 {
        let start = u64::from(round) * 5000;
        ledger.record_crashes(REQUEST, &hashes(round * 9..round * 9 + 9), at(start));
        assert!(!is_refused(&ledger, at(start)), "round {round}");
        ledger.record_answer(REQUEST, at(start + 2000));
    }
}

/// Retries that arrive together must not each crash a leaf before the first is answered.
#[test]
fn only_one_trial_call_at_a_time() {
    let mut ledger = SuspectLedger::default();
    ledger.record_crashes(REQUEST, &hashes(0..2), at(0));
    assert_eq!(ledger.admit(REQUEST, at(50)), Handling::Trial);
    let Handling::Refused(after) = ledger.admit(REQUEST, at(60)) else {
        panic!("a second trial call beside the first");
    };
    assert!(after <= Duration::from_millis(100), "{after:?}");
    ledger.record_answer(REQUEST, at(80));
    assert_eq!(ledger.admit(REQUEST, at(81)), Handling::Free);
}

/// Retries in quick succession must not each crash a leaf within one episode.
#[test]
fn a_failed_trial_call_waits_for_the_next_episode() {
    let mut ledger = SuspectLedger::default();
    ledger.record_crashes(REQUEST, &hashes(0..2), at(0));
    assert_eq!(ledger.admit(REQUEST, at(100)), Handling::Trial);
    ledger.record_crashes(REQUEST, &hashes(2..3), at(120));
    for ms in (200..1100).step_by(100) {
        let Handling::Refused(after) = ledger.admit(REQUEST, at(ms)) else {
            panic!("another trial call after {ms} ms");
        };
        assert!(after <= Duration::from_secs(1), "{after:?}");
    }
    assert_eq!(ledger.admit(REQUEST, at(1120)), Handling::Trial);
}

/// A trial call to a leaf that hangs must not get the request refused until it returns.
#[test]
fn a_hanging_trial_call_does_not_block_the_next() {
    let mut ledger = SuspectLedger::default();
    ledger.record_crashes(REQUEST, &hashes(0..2), at(0));
    assert_eq!(ledger.admit(REQUEST, at(50)), Handling::Trial);
    assert_eq!(ledger.admit(REQUEST, at(200)), Handling::Trial);
}

/// A request that was fixed, or blamed by mistake, must be served again.
#[test]
fn a_refusal_expires_and_a_trial_call_decides() {
    let mut ledger = refusing();
    let Handling::Refused(after) = ledger.admit(REQUEST, at(2100)) else {
        panic!("not refused");
    };
    let end = at(2100) + after;
    assert_eq!(ledger.admit(REQUEST, end), Handling::Trial);
    ledger.record_answer(REQUEST, end + Duration::from_millis(20));
    let later = end + Duration::from_millis(30);
    assert_eq!(ledger.admit(REQUEST, later), Handling::Free);
    ledger.expire(later + Duration::from_secs(3600));
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
            Handling::Refused(after) => now = now + after,
            _ => {
                trials += 1;
                ledger.record_crashes(REQUEST, &hashes(100 + trials..101 + trials), now);
            }
        }
        ledger.expire(now);
    }
    assert!(trials <= 14, "{trials} trial calls in a day");
}

/// Crashes of a leaf that restarts under the same id must count separately.
#[test]
fn repeated_crashes_of_a_leaf_count_again() {
    let mut ledger = SuspectLedger::default();
    for second in 0..3 {
        ledger.record_crashes(REQUEST, &hashes(1..2), at(second * 3000));
    }
    assert!(is_refused(&ledger, at(6000)));
}

/// A new entry must apply reported crashes that are older than itself.
#[test]
fn crashes_before_the_start_of_an_entry_count() {
    let mut old = refusing();
    let mut new = SuspectLedger::default();
    let reports = old.next_reports(4, 6, at(60_000));
    assert!(new.merge(&reports[0], at(10)));
    let (Handling::Refused(here), Handling::Refused(there)) = (
        new.handling(REQUEST, at(10)),
        old.handling(REQUEST, at(60_000)),
    ) else {
        panic!("not refused by both entries");
    };
    assert_eq!(here, there);
}

/// Reports must not circulate for ever, and an answer that one entry saw must reach all.
#[test]
fn reports_converge() {
    let mut one = refusing();
    let mut two = SuspectLedger::default();
    let report = one.next_reports(4, 6, at(3000)).remove(0);
    assert!(two.merge(&report, at(3000)));
    assert!(!two.merge(&report, at(3010)));
    let back = two.next_reports(4, 6, at(3100)).remove(0);
    assert!(!one.merge(&back, at(3110)));
    assert!(two.record_answer(REQUEST, at(5000)));
    let answered = two.next_reports(4, 6, at(5000)).remove(0);
    assert!(one.merge(&answered, at(5005)));
    assert_eq!(one.handling(REQUEST, at(5010)), Handling::Free);
    // A late report of a third entry is older than the answer.
    let late = SuspectReport {
        crashes: report
            .crashes
            .iter()
            .map(|(leaf, age)| (*leaf, *age + Duration::from_millis(3000)))
            .collect(),
        ..report
    };
    assert!(!one.merge(&late, at(6000)));
    assert_eq!(one.handling(REQUEST, at(6010)), Handling::Free);
}

/// Records must not grow with every request that ran when a region failed, nor push out
/// refused ones.
#[rstest]
#[case::reported(true)]
#[case::observed(false)]
fn records_are_bounded_and_refused_ones_stay(#[case] reported: bool) {
    let mut ledger = refusing();
    for number in 100..5000u64 {
        let fingerprint = Fingerprint(number);
        let now = at(3000 + number);
        if reported {
            let report = SuspectReport {
                fingerprint,
                answered: None,
                crashes: vec![(LeafHash(number as u32), Duration::ZERO)],
                episodes: 1,
            };
            ledger.merge(&report, now);
        } else {
            ledger.record_crashes(fingerprint, &hashes(0..3), now);
        }
    }
    assert!(ledger.len() <= 1024, "{}", ledger.len());
    assert!(is_refused(&ledger, at(9000)));
    ledger.expire(at(24 * 3600 * 1000));
    assert!(ledger.is_empty());
}

/// Many harmless records must not keep a refused one from being reported.
#[test]
fn most_crashes_are_reported_first_and_refusals_repeatedly() {
    let mut ledger = refusing();
    for number in 100..200u64 {
        ledger.record_crashes(Fingerprint(number), &hashes(0..1), at(2100));
    }
    let first = ledger.next_reports(4, 6, at(2200));
    assert_eq!(first[0].fingerprint, REQUEST);
    for _ in 0..1000 {
        ledger.next_reports(4, 6, at(2400));
    }
    let reported = ledger.next_reports(4, 6, at(2500));
    assert!(reported.iter().any(|report| report.fingerprint == REQUEST));
}

/// Expired records must not circulate for ever between entries that expire them at
/// different times.
#[test]
fn expired_reports_are_ignored() {
    let mut old = refusing();
    let report = old.next_reports(4, 6, at(3000)).remove(0);
    let mut new = SuspectLedger::default();
    assert!(!new.merge(&report.aged(Duration::from_secs(3600)), at(3000)));
    assert!(new.is_empty());
}

/// An entry that received the crashes late, but not the answer, must receive the answer
/// from its peers.
#[test]
fn a_superseded_crash_is_answered_with_the_answer() {
    let mut one = refusing();
    let report = one.next_reports(4, 6, at(3000)).remove(0);
    one.record_answer(REQUEST, at(4000));
    for _ in 0..100 {
        one.next_reports(4, 6, at(4100));
    }
    let mut late = SuspectLedger::default();
    let report = report.aged(Duration::from_secs(2));
    assert!(late.merge(&report, at(5000)));
    let reported = late.next_reports(4, 6, at(5100)).remove(0);
    one.merge(&reported, at(5100));
    let answer = one.next_reports(4, 6, at(5200)).remove(0);
    assert!(late.merge(&answer, at(5200)));
    assert_eq!(late.handling(REQUEST, at(5200)), Handling::Free);
}

/// Refusals must be pushed at once, and many other changes must not exceed the push rate.
#[test]
fn pushes_of_changes_are_rate_limited() {
    let mut ledger = SuspectLedger::default();
    assert_eq!(ledger.push_due(), None);
    let mut now = at(20_000);
    for number in 0..100 {
        ledger.record_crashes(Fingerprint(number), &hashes(0..1), now);
    }
    let end = now + Duration::from_secs(10);
    let mut pushes = 0;
    while let Some(due) = ledger.push_due().filter(|due| *due < end) {
        now = now.max(due);
        ledger.record_push(now);
        ledger.next_reports(4, 6, now);
        pushes += 1;
    }
    assert_eq!(pushes, 8);
    ledger.record_crashes(REQUEST, &hashes(0..9), now - Duration::from_secs(2));
    ledger.record_crashes(REQUEST, &hashes(9..10), now);
    assert_eq!(ledger.push_due(), Some(now + Duration::from_millis(100)));
    ledger.record_push(now + Duration::from_millis(100));
    assert_eq!(ledger.next_reports(1, 6, now)[0].fingerprint, REQUEST);
}
