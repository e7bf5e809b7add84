//! How fast, and for how many bytes, thousands of entries hear of a case.

use std::time::Duration;

use chestnut_quarantine::{Fingerprint, LeafMark, Ledger, Report, Stand};
use chestnut_unit::Time;

const ENTRIES: usize = 2900;
/// Entries that one tells at once, and time between two tellings.
const FAN: usize = 6;
const GAP: Duration = Duration::from_millis(100);
/// Messages lost, of a hundred.
const LOST: u64 = 10;
/// Cases in one message.
const CASES: usize = 4;
/// Bytes of a case with its strikes, packed, at most.
const CASE_BYTES: usize = 90;

/// A generator that is good enough to pick peers: xorshift.
struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

/// Rounds of [`GAP`] until `done`, and the most bytes of cases that one entry sent.
fn spread(
    ledgers: &mut [Ledger],
    draw: &mut Draw,
    start: Time,
    done: impl Fn(&Ledger, Time) -> bool,
) -> (u32, usize) {
    let mut sent = vec![0; ledgers.len()];
    let mut told = vec![Time::ZERO; ledgers.len()];
    for round in 1..=100 {
        let now = start + GAP * round;
        let mut mail: Vec<(usize, Vec<Report>)> = Vec::new();
        for (at, ledger) in ledgers.iter_mut().enumerate() {
            if ledger.tell_at(told[at]).is_none_or(|due| due > now) {
                continue;
            }
            told[at] = now;
            let reports = ledger.tell(CASES, ENTRIES, now);
            sent[at] += reports.len() * CASE_BYTES * FAN;
            for _ in 0..FAN {
                if draw.below(100) >= LOST {
                    mail.push((draw.below(ENTRIES as u64) as usize, reports.clone()));
                }
            }
        }
        for (to, reports) in mail {
            for report in &reports {
                ledgers[to].hear(report, now);
            }
        }
        if ledgers.iter().filter(|ledger| done(ledger, now)).count() * 1000 >= ledgers.len() * 998 {
            return (round, sent.into_iter().max().unwrap_or(0));
        }
    }
    panic!("not spread");
}

/// A request goes on ending leafs for as long as entries are left that have not heard of
/// it. 2,900 entries, of whose messages one in ten is lost, hear within two seconds of
/// four; the few that are left hear by the next probes, which carry refused cases in turn.
/// Beside it a rack fails under 200 harmless requests, whose cases are told too.
#[test]
fn all_of_2900_entries_hear_in_time_and_for_few_bytes() {
    let mut ledgers = vec![Ledger::default(); ENTRIES];
    let mut draw = Draw(0x9e37_79b9_7f4a_7c15);
    let asks = Fingerprint(1);
    let start = Time::from_millis(60_000);
    let marks: Vec<LeafMark> = (0..4).map(LeafMark).collect();
    ledgers[17].ended(asks, &marks, start - Duration::from_secs(2));
    ledgers[17].ended(asks, &[LeafMark(9)], start);
    for number in 0..200u64 {
        let at = draw.below(ENTRIES as u64) as usize;
        ledgers[at].ended(Fingerprint(100 + number), &marks[..1], start);
    }
    let refuses = |ledger: &Ledger, now| matches!(ledger.look(asks, now), Stand::Refused(_));
    let (rounds, bytes) = spread(&mut ledgers, &mut draw, start, refuses);
    let span = GAP * rounds;
    assert!(span <= Duration::from_secs(2), "{span:?}");
    // 3 KB a second for all control, over the ten seconds to the next window.
    assert!(bytes <= 30 * 1024, "{bytes} bytes");
    println!("{span:?}, {bytes} bytes at most");
}
