//! What a ledger makes of leafs that end.

use std::time::Duration;

use chestnut_quarantine::{Fingerprint, LeafMark, Ledger, Report, Stand};
use chestnut_unit::Time;
use rstest::rstest;

const ASKS: Fingerprint = Fingerprint(7);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn marks(numbers: std::ops::Range<u32>) -> Vec<LeafMark> {
    numbers.map(LeafMark).collect()
}

/// A ledger that refuses [`ASKS`], whose last strike was at 2 s.
fn refusing() -> Ledger {
    let mut ledger = Ledger::default();
    ledger.ended(ASKS, &marks(0..10), at(0));
    assert_eq!(ledger.admit(ASKS, at(2000)), Stand::Trial);
    ledger.ended(ASKS, &marks(10..11), at(2000));
    ledger
}

fn is_refused(ledger: &Ledger, now: Time) -> bool {
    matches!(ledger.look(ASKS, now), Stand::Refused(_))
}

/// Callers of a popular request would be refused for minutes.
/// A rack fails and takes many leafs under the same request at many entries, within a
/// second. That is one episode, however many leafs it took: the next try tells.
#[test]
fn leafs_that_end_together_are_one_episode() {
    let mut ledger = Ledger::default();
    for ms in [0, 100, 300, 800] {
        let first = ms as u32;
        ledger.ended(ASKS, &marks(first..first + 10), at(ms));
    }
    assert_eq!(ledger.admit(ASKS, at(900)), Stand::Trial);
    assert!(ledger.answered(ASKS, at(930)));
    assert_eq!(ledger.admit(ASKS, at(931)), Stand::Free);
}

/// Callers of a request that leafs answer would be refused.
/// Leafs end for other reasons again and again, each time with a call of the same request
/// under way. What was answered in between starts anew.
#[test]
fn an_answer_voids_what_was_before() {
    let mut ledger = Ledger::default();
    for round in 0..50u32 {
        let start = u64::from(round) * 5000;
        ledger.ended(ASKS, &marks(round * 9..round * 9 + 9), at(start));
        assert!(!is_refused(&ledger, at(start)), "round {round}");
        ledger.answered(ASKS, at(start + 2000));
    }
}

/// Leafs would end by the dozen while it is found out that a request ends them.
/// Tries of it arrive together. One is let through, the others come back when it has
/// been answered or not.
#[test]
fn one_trial_at_a_time() {
    let mut ledger = Ledger::default();
    ledger.ended(ASKS, &marks(0..2), at(0));
    assert_eq!(ledger.admit(ASKS, at(50)), Stand::Trial);
    let Stand::Refused(after) = ledger.admit(ASKS, at(60)) else {
        panic!("a second trial beside the first");
    };
    assert!(after <= Duration::from_millis(100), "{after:?}");
    ledger.answered(ASKS, at(80));
    assert_eq!(ledger.admit(ASKS, at(81)), Stand::Free);
}

/// One leaf after the other ends under tries that come ten a second.
/// A trial that ended its leaf within the first second tells no more than the try before
/// it; the next one waits until the second is over.
#[test]
fn a_trial_that_ended_its_leaf_rests() {
    let mut ledger = Ledger::default();
    ledger.ended(ASKS, &marks(0..2), at(0));
    assert_eq!(ledger.admit(ASKS, at(100)), Stand::Trial);
    ledger.ended(ASKS, &marks(2..3), at(120));
    for ms in (200..1100).step_by(100) {
        let Stand::Refused(after) = ledger.admit(ASKS, at(ms)) else {
            panic!("another trial after {ms} ms");
        };
        assert!(after <= Duration::from_secs(1), "{after:?}");
    }
    assert_eq!(ledger.admit(ASKS, at(1120)), Stand::Trial);
}

/// Callers of a request whose trial went to a leaf that hangs would be refused for as long
/// as it does.
#[test]
fn a_trial_that_hangs_holds_up_no_other() {
    let mut ledger = Ledger::default();
    ledger.ended(ASKS, &marks(0..2), at(0));
    assert_eq!(ledger.admit(ASKS, at(50)), Stand::Trial);
    assert_eq!(ledger.admit(ASKS, at(200)), Stand::Trial);
}

/// A request that was mended, or taken for the cause by mistake, would never be served.
#[test]
fn a_refusal_ends_and_a_trial_decides() {
    let mut ledger = refusing();
    let Stand::Refused(after) = ledger.admit(ASKS, at(2100)) else {
        panic!("not refused");
    };
    let end = at(2100) + after;
    assert_eq!(ledger.admit(ASKS, end), Stand::Trial);
    ledger.answered(ASKS, end + Duration::from_millis(20));
    let later = end + Duration::from_millis(30);
    assert_eq!(ledger.admit(ASKS, later), Stand::Free);
    ledger.forget(later + Duration::from_secs(3600));
    assert!(ledger.is_empty());
}

/// Leafs would end every two minutes for as long as the caller goes on.
#[test]
fn each_trial_that_ends_a_leaf_makes_the_rest_longer() {
    let mut ledger = refusing();
    let (mut now, mut trials) = (at(2000), 0);
    let day = at(24 * 3600 * 1000);
    while now < day {
        match ledger.admit(ASKS, now) {
            Stand::Refused(after) => now = now + after,
            _ => {
                trials += 1;
                ledger.ended(ASKS, &marks(100 + trials..101 + trials), now);
            }
        }
        ledger.forget(now);
    }
    assert!(trials <= 14, "{trials} trials in a day");
}

/// Leafs that start again under their ids would count once, however often they end.
#[test]
fn a_leaf_that_ends_again_counts_again() {
    let mut ledger = Ledger::default();
    for second in 0..3 {
        ledger.ended(ASKS, &marks(1..2), at(second * 3000));
    }
    assert!(is_refused(&ledger, at(6000)));
}

/// An entry that has just started would send on what the others refuse.
/// It hears of strikes that are older than itself.
#[test]
fn what_was_before_an_entry_started_counts() {
    let mut old = refusing();
    let mut new = Ledger::default();
    let reports = old.tell(4, 6, at(60_000));
    assert!(new.hear(&reports[0], at(10)));
    let (Stand::Refused(here), Stand::Refused(there)) =
        (new.look(ASKS, at(10)), old.look(ASKS, at(60_000)))
    else {
        panic!("not refused by both");
    };
    assert_eq!(here, there);
}

/// The news of a case would be passed on for ever, or be lost on a few entries.
/// A report that was heard is no news the second time, nor the other way round; and an
/// answer that one entry saw holds for all.
#[test]
fn reports_settle() {
    let mut one = refusing();
    let mut two = Ledger::default();
    let report = one.tell(4, 6, at(3000)).remove(0);
    assert!(two.hear(&report, at(3000)));
    assert!(!two.hear(&report, at(3010)));
    let back = two.tell(4, 6, at(3100)).remove(0);
    assert!(!one.hear(&back, at(3110)));
    assert!(two.answered(ASKS, at(5000)));
    let cleared = two.tell(4, 6, at(5000)).remove(0);
    assert!(one.hear(&cleared, at(5005)));
    assert_eq!(one.look(ASKS, at(5010)), Stand::Free);
    // What is told late by a third one is older than the answer.
    let late = Report {
        strikes: report
            .strikes
            .iter()
            .map(|(leaf, age)| (*leaf, *age + Duration::from_millis(3000)))
            .collect(),
        ..report
    };
    assert!(!one.hear(&late, at(6000)));
    assert_eq!(one.look(ASKS, at(6010)), Stand::Free);
}

/// An entry's memory would grow with every request that was under way when a region
/// failed, or the one that matters would be dropped for those.
#[rstest]
#[case::told(true)]
#[case::seen(false)]
fn cases_are_bounded_and_the_refused_stay(#[case] told: bool) {
    let mut ledger = refusing();
    for number in 100..5000u64 {
        let what = Fingerprint(number);
        let now = at(3000 + number);
        if told {
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

/// A crowd of harmless cases would keep the one that is refused from being told.
#[test]
fn what_ended_most_is_told_first_and_what_is_refused_goes_on_being_told() {
    let mut ledger = refusing();
    for number in 100..200u64 {
        ledger.ended(Fingerprint(number), &marks(0..1), at(2100));
    }
    let first = ledger.tell(4, 6, at(2200));
    assert_eq!(first[0].what, ASKS);
    for _ in 0..1000 {
        ledger.tell(4, 6, at(2400));
    }
    let told = ledger.tell(4, 6, at(2500));
    assert!(told.iter().any(|report| report.what == ASKS));
}

/// A case that is over would be told from entry to entry, and read from the store, for
/// ever: each that forgets it hears it anew from one that has not yet.
#[test]
fn what_is_over_is_no_news() {
    let mut old = refusing();
    let report = old.tell(4, 6, at(3000)).remove(0);
    let mut new = Ledger::default();
    assert!(!new.hear(&report.aged(Duration::from_secs(3600)), at(3000)));
    assert!(new.is_empty());
}

/// Callers of a request that was answered again are refused by an entry that heard of the
/// strikes late, and of the answer not at all.
/// Whoever hears from it tells of the answer once more.
#[test]
fn an_old_strike_is_answered_with_the_answer() {
    let mut one = refusing();
    let strikes = one.tell(4, 6, at(3000)).remove(0);
    one.answered(ASKS, at(4000));
    for _ in 0..100 {
        one.tell(4, 6, at(4100));
    }
    let mut late = Ledger::default();
    let strikes = strikes.aged(Duration::from_secs(2));
    assert!(late.hear(&strikes, at(5000)));
    let told = late.tell(4, 6, at(5100)).remove(0);
    one.hear(&told, at(5100));
    let answer = one.tell(4, 6, at(5200)).remove(0);
    assert!(late.hear(&answer, at(5200)));
    assert_eq!(late.look(ASKS, at(5200)), Stand::Free);
}

/// What ended many leafs is told at once, a crowd of other news only now and then.
#[test]
fn news_are_paced() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.tell_at(), None);
    let mut now = at(20_000);
    for number in 0..100 {
        ledger.ended(Fingerprint(number), &marks(0..1), now);
    }
    let end = now + Duration::from_secs(10);
    let mut tellings = 0;
    while let Some(due) = ledger.tell_at().filter(|due| *due < end) {
        now = now.max(due);
        ledger.telling(now);
        ledger.tell(4, 6, now);
        tellings += 1;
    }
    assert_eq!(tellings, 8);
    ledger.ended(ASKS, &marks(0..9), now - Duration::from_secs(2));
    ledger.ended(ASKS, &marks(9..10), now);
    assert_eq!(ledger.tell_at(), Some(now + Duration::from_millis(100)));
    ledger.telling(now + Duration::from_millis(100));
    assert_eq!(ledger.tell(1, 6, now)[0].what, ASKS);
}
