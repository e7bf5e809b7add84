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

/// What is told among entries, round by round.
struct Fleet {
    ledgers: Vec<Ledger>,
    draw: Draw,
    now: Time,
    /// Bytes of cases that each entry sent.
    sent: Vec<usize>,
}

impl Fleet {
    fn new(now: Time) -> Self {
        Self {
            ledgers: vec![Ledger::default(); ENTRIES],
            draw: Draw(0x9e37_79b9_7f4a_7c15),
            now,
            sent: vec![0; ENTRIES],
        }
    }

    fn round(&mut self) {
        self.now = self.now + GAP;
        let mut mail: Vec<(usize, Vec<Report>)> = Vec::new();
        for (at, ledger) in self.ledgers.iter_mut().enumerate() {
            if ledger.tell_at().is_none_or(|due| due > self.now) {
                continue;
            }
            ledger.telling(self.now);
            let reports = ledger.tell(CASES, ENTRIES, self.now);
            self.sent[at] += reports.len() * CASE_BYTES * FAN;
            for _ in 0..FAN {
                if self.draw.below(100) >= LOST {
                    let to = self.draw.below(ENTRIES as u64) as usize;
                    mail.push((to, reports.clone()));
                }
            }
        }
        for (to, reports) in mail {
            for report in &reports {
                self.ledgers[to].hear(report, self.now);
            }
        }
    }

    /// Time until all but two in a thousand entries handle `asks` so.
    fn until(&mut self, asks: Fingerprint, handled: impl Fn(Stand) -> bool) -> Duration {
        let start = self.now;
        for _ in 0..100 {
            self.round();
            let now = self.now;
            let done = |ledger: &&Ledger| handled(ledger.look(asks, now));
            if self.ledgers.iter().filter(done).count() * 1000 >= ENTRIES * 998 {
                return now.since(start);
            }
        }
        panic!("not spread");
    }

    /// Harmless requests are struck: a rack fails under them.
    fn strike_harmless(&mut self, count: u64) {
        for number in 0..count {
            let at = self.draw.below(ENTRIES as u64) as usize;
            let what = Fingerprint(1_000 + number);
            self.ledgers[at].ended(what, &[LeafMark(1), LeafMark(2)], self.now);
        }
    }
}

const ASKS: Fingerprint = Fingerprint(1);

/// A request goes on ending leafs for as long as entries are left that have not heard of
/// it. 2,900 entries, of whose messages one in ten is lost, hear within two seconds of
/// four; the few that are left hear by the next probes, which carry refused cases in turn.
/// Beside it a rack fails under 200 harmless requests, whose cases are told too.
#[test]
fn all_of_2900_entries_refuse_in_time() {
    let mut fleet = Fleet::new(Time::from_millis(60_000));
    let marks: Vec<LeafMark> = (0..4).map(LeafMark).collect();
    let before = fleet.now - Duration::from_secs(2);
    fleet.ledgers[17].ended(ASKS, &marks, before);
    fleet.ledgers[17].ended(ASKS, &[LeafMark(9)], fleet.now);
    fleet.strike_harmless(200);
    let span = fleet.until(ASKS, |stand| matches!(stand, Stand::Refused(_)));
    assert!(span <= Duration::from_secs(2), "{span:?}");
}

/// The second try of a search that ended the leafs of 90 shards ends them once more, at
/// an entry that has not heard of the first. All hear within a second, so that it is a
/// trial.
#[test]
fn all_of_2900_entries_doubt_what_ended_many_leafs() {
    let mut fleet = Fleet::new(Time::from_millis(60_000));
    let marks: Vec<LeafMark> = (0..6).map(LeafMark).collect();
    fleet.ledgers[17].ended(ASKS, &marks, fleet.now);
    fleet.strike_harmless(20);
    let span = fleet.until(ASKS, |stand| stand == Stand::Trial);
    assert!(span <= Duration::from_secs(1), "{span:?}");
}

/// Entries would spend their links on requests that are not at fault.
/// A region fails under 5,000 harmless requests. Control may take 3 KB a second.
#[test]
fn a_region_that_fails_costs_few_bytes() {
    let mut fleet = Fleet::new(Time::from_millis(60_000));
    fleet.strike_harmless(5_000);
    let rounds = 100;
    for _ in 0..rounds {
        fleet.round();
    }
    let most = fleet.sent.iter().max().unwrap();
    let span = (GAP * rounds).as_secs_f64();
    let rate = *most as f64 / span;
    assert!(rate <= 3072.0, "{rate} bytes a second");
    let known = fleet.ledgers.iter().map(Ledger::len).max();
    assert!(known <= Some(1024), "{known:?} cases");
}
