//! Simulates how fast reports propagate through thousands of entries, and their bandwidth.

use std::time::Duration;

use chestnut_quarantine::{Fingerprint, Handling, LeafHash, SuspectLedger, SuspectReport};
use chestnut_unit::Time;

const ENTRIES: usize = 2900;
/// Receivers of one push, and time between two pushes.
const FANOUT: usize = 6;
const INTERVAL: Duration = Duration::from_millis(100);
/// Message loss in percent.
const LOSS_PERCENT: u64 = 10;
/// Reports in one message.
const MAX_REPORTS: usize = 4;
/// Upper bound of the encoded size of a report.
const REPORT_BYTES: usize = 90;

/// A xorshift generator to pick peers.
struct XorShift(u64);

impl XorShift {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

/// Gossip among entries, round by round.
struct Fleet {
    ledgers: Vec<SuspectLedger>,
    rng: XorShift,
    now: Time,
    /// Bytes of reports that each entry sent.
    sent: Vec<usize>,
}

impl Fleet {
    fn new(now: Time) -> Self {
        Self {
            ledgers: vec![SuspectLedger::default(); ENTRIES],
            rng: XorShift(0x9e37_79b9_7f4a_7c15),
            now,
            sent: vec![0; ENTRIES],
        }
    }

    fn round(&mut self) {
        self.now = self.now + INTERVAL;
        let mut messages: Vec<(usize, Vec<SuspectReport>)> = Vec::new();
        for (at, ledger) in self.ledgers.iter_mut().enumerate() {
            if ledger.push_due().is_none_or(|due| due > self.now) {
                continue;
            }
            ledger.record_push(self.now);
            let reports = ledger.next_reports(MAX_REPORTS, ENTRIES, self.now);
            self.sent[at] += reports.len() * REPORT_BYTES * FANOUT;
            for _ in 0..FANOUT {
                if self.rng.below(100) >= LOSS_PERCENT {
                    let to = self.rng.below(ENTRIES as u64) as usize;
                    messages.push((to, reports.clone()));
                }
            }
        }
        for (to, reports) in messages {
            for report in &reports {
                self.ledgers[to].merge(report, self.now);
            }
        }
    }

    /// Returns the time until 99.8% of the entries handle the request as `handled` says.
    fn time_until(&mut self, request: Fingerprint, handled: impl Fn(Handling) -> bool) -> Duration {
        let start = self.now;
        for _ in 0..100 {
            self.round();
            let now = self.now;
            let done = |ledger: &&SuspectLedger| handled(ledger.handling(request, now));
            if self.ledgers.iter().filter(done).count() * 1000 >= ENTRIES * 998 {
                return now.since(start);
            }
        }
        panic!("not propagated in 100 rounds");
    }

    /// Records crashes under harmless requests, as when a rack fails.
    fn crash_harmless(&mut self, count: u64) {
        for number in 0..count {
            let at = self.rng.below(ENTRIES as u64) as usize;
            let fingerprint = Fingerprint(1_000 + number);
            self.ledgers[at].record_crashes(fingerprint, &[LeafHash(1), LeafHash(2)], self.now);
        }
    }
}

const REQUEST: Fingerprint = Fingerprint(1);

/// A request must not crash leafs for longer because some of the many entries have no
/// report of it yet: nearly all must refuse it within two seconds, despite lost messages.
#[test]
fn refusals_reach_nearly_all_entries_in_time() {
    let mut fleet = Fleet::new(Time::from_millis(60_000));
    let hashes: Vec<LeafHash> = (0..4).map(LeafHash).collect();
    let before = fleet.now - Duration::from_secs(2);
    fleet.ledgers[17].record_crashes(REQUEST, &hashes, before);
    fleet.ledgers[17].record_crashes(REQUEST, &[LeafHash(9)], fleet.now);
    fleet.crash_harmless(200);
    let span = fleet.time_until(REQUEST, |handling| matches!(handling, Handling::Refused(_)));
    assert!(span <= Duration::from_secs(2), "{span:?}");
}

/// A retry of a request that crashed many leafs must be a trial call at nearly every entry
/// within a second.
#[test]
fn nearly_all_entries_suspect_a_request_that_crashed_many_leafs() {
    let mut fleet = Fleet::new(Time::from_millis(60_000));
    let hashes: Vec<LeafHash> = (0..6).map(LeafHash).collect();
    fleet.ledgers[17].record_crashes(REQUEST, &hashes, fleet.now);
    fleet.crash_harmless(20);
    let span = fleet.time_until(REQUEST, |handling| handling == Handling::Trial);
    assert!(span <= Duration::from_secs(1), "{span:?}");
}

/// A failing region must not make entries spend bandwidth on reports of harmless requests.
#[test]
fn a_failing_region_costs_little_bandwidth() {
    let mut fleet = Fleet::new(Time::from_millis(60_000));
    fleet.crash_harmless(5_000);
    let rounds = 100;
    for _ in 0..rounds {
        fleet.round();
    }
    let most = fleet.sent.iter().max().unwrap();
    let span = (INTERVAL * rounds).as_secs_f64();
    let rate = *most as f64 / span;
    assert!(rate <= 3072.0, "{rate} bytes a second");
    let known = fleet.ledgers.iter().map(SuspectLedger::len).max();
    assert!(known <= Some(1024), "{known:?} records");
}
