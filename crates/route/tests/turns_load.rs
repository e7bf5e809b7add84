//! Returns of refused callers under a crowd, in virtual time without a network.
//!
//! Load: three entries, each with 10 slots for queries of 50 ms, so 200 queries per second and
//! 600 together. Demand is 0.7 of that for two seconds, 2 to 4 times that for six seconds, falls
//! evenly for two seconds to 0.5, and stays there for two. Queries wait at most 40 ms, returning
//! callers first. Callers have 2,500 ms, return once when told, and reach any entry.

use std::{collections::BTreeMap, time::Duration};

use chestnut_route::{ReturnKind, TurnBook, TurnRequest};
use chestnut_unit::Time;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENTRIES: usize = 3;
const SLOTS: usize = 10;
/// Duration of a query, in milliseconds.
const SERVICE_MS: u64 = 50;
/// Queries per second of all entries.
const RATE: f64 = 600.0;
/// Longest wait of a query, in milliseconds.
const MAX_WAIT_MS: u64 = 40;
const TIMEOUT_MS: u64 = 2500;
/// Time for a caller to connect, in milliseconds.
const CONNECT_MS: u64 = 6;
const CROWD_START: u64 = 2000;
const CROWD_END: u64 = 8000;
/// End of the fall of demand.
const FALL_END: u64 = 10_000;
const END: u64 = 12_000;

/// Number of the list of services, the same for all queries.
const KEY: u32 = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Returning,
    First,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    began: u64,
    returns: bool,
    /// Whether a turn is reserved for its return.
    reserved: bool,
}

#[derive(Default)]
struct Entry {
    book: TurnBook<u32>,
    /// Ends of the running queries.
    running: Vec<u64>,
    /// Waiting callers by rank and arrival.
    waiting: BTreeMap<(Rank, u64), (u64, Caller)>,
}

impl Caller {
    /// A caller on its first attempt.
    fn new(began: u64) -> Self {
        Self {
            began,
            returns: false,
            reserved: false,
        }
    }
}

/// A return to some entry, by when it arrived and whether it was refused again.
#[derive(Clone, Copy, Debug)]
struct Returned {
    at: u64,
    refused: bool,
    reserved: bool,
}

struct World {
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    /// Callers on their way back, by time of arrival.
    coming: BTreeMap<u64, Vec<Caller>>,
    returned: Vec<Returned>,
    first_served: u64,
    arrivals: u64,
}

/// Demand at a time, as a multiple of the service rate.
fn demand(ms: u64, crowd: f64) -> f64 {
    match ms {
        ..CROWD_START => 0.7,
        CROWD_START..CROWD_END => crowd,
        CROWD_END..FALL_END => {
            let left = (FALL_END - ms) as f64 / (FALL_END - CROWD_END) as f64;
            0.5 + (crowd - 0.5) * left
        }
        _ => 0.5,
    }
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            coming: BTreeMap::new(),
            returned: Vec::new(),
            first_served: 0,
            arrivals: 0,
        }
    }

    /// Plays a crowd of `crowd` times the service rate. If `lost` is given, the first entry ends
    /// then with its return times, and the others take its slots.
    fn play(&mut self, crowd: f64, lost: Option<u64>) {
        for ms in 0..END {
            if lost == Some(ms) {
                self.entries.remove(0);
            }
            self.step(demand(ms, crowd), ms);
        }
    }

    /// Plays `count` callers that arrive at once at usual demand.
    fn play_burst(&mut self, count: u32) {
        for ms in 0..CROWD_START {
            self.step(0.7, ms);
        }
        for _ in 0..count {
            self.arrive(Caller::new(CROWD_START), CROWD_START);
        }
        for ms in CROWD_START..2 * CROWD_START {
            self.step(0.7, ms);
        }
    }

    /// Plays a millisecond with first attempts at `demand` times the service rate.
    fn step(&mut self, demand: f64, ms: u64) {
        self.finish(ms);
        for caller in self.coming.remove(&ms).unwrap_or_default() {
            self.arrive(caller, ms);
        }
        let mut expected = demand * RATE / 1000.0;
        while self.rng.random::<f64>() < expected {
            expected -= 1.0;
            self.arrive(Caller::new(ms), ms);
        }
        self.expire(ms);
    }

    /// Slots of each entry.
    fn slots(&self) -> usize {
        SLOTS * ENTRIES / self.entries.len()
    }

    /// Ends queries and starts waiting ones in their place.
    fn finish(&mut self, ms: u64) {
        let slots = self.slots();
        for at in 0..self.entries.len() {
            let entry = &mut self.entries[at];
            let before = entry.running.len();
            entry.running.retain(|end| *end > ms);
            for _ in entry.running.len()..before {
                entry.book.record_completed(KEY, Time::from_millis(ms));
            }
            while self.entries[at].running.len() < slots {
                let Some((_, (_, caller))) = self.entries[at].waiting.pop_first() else {
                    break;
                };
                self.run(at, caller, ms);
            }
        }
    }

    fn run(&mut self, at: usize, caller: Caller, ms: u64) {
        self.entries[at].running.push(ms + SERVICE_MS);
        match caller.returns {
            true => self.returned.push(Returned {
                at: ms,
                refused: false,
                reserved: caller.reserved,
            }),
            false => self.first_served += 1,
        }
    }

    fn arrive(&mut self, caller: Caller, ms: u64) {
        let slots = self.slots();
        let at = self.rng.random_range(0..self.entries.len());
        let entry = &mut self.entries[at];
        let spent =
            Duration::from_millis(ms - caller.began - CONNECT_MS * u64::from(caller.returns));
        let kind = ReturnKind::of(spent, Duration::from_millis(TIMEOUT_MS / 3));
        let now = Time::from_millis(ms);
        let ahead = caller.returns && entry.book.admit_return(KEY, kind, now);
        let rank = if ahead { Rank::Returning } else { Rank::First };
        if entry.running.len() < slots {
            self.run(at, caller, ms);
            return;
        }
        let before = match rank {
            Rank::Returning => entry.waiting.range(..(Rank::First, 0)).count(),
            Rank::First => entry.waiting.len(),
        };
        let wait = (before + 1) as u64 * SERVICE_MS / slots as u64;
        if wait > MAX_WAIT_MS {
            self.refuse(at, caller, ms);
            return;
        }
        self.arrivals += 1;
        entry.waiting.insert((rank, self.arrivals), (ms, caller));
    }

    /// Refuses the callers that have waited too long.
    fn expire(&mut self, ms: u64) {
        for at in 0..self.entries.len() {
            let waiting = &mut self.entries[at].waiting;
            let late = |(_, (since, _)): &(&(Rank, u64), &(u64, Caller))| since + MAX_WAIT_MS <= ms;
            let late: Vec<(Rank, u64)> = waiting.iter().filter(late).map(|(key, _)| *key).collect();
            for key in late {
                if let Some((_, caller)) = self.entries[at].waiting.remove(&key) {
                    self.refuse(at, caller, ms);
                }
            }
        }
    }

    fn refuse(&mut self, at: usize, caller: Caller, ms: u64) {
        if caller.returns {
            self.returned.push(Returned {
                at: ms,
                refused: true,
                reserved: caller.reserved,
            });
            return;
        }
        let left = (caller.began + TIMEOUT_MS).saturating_sub(ms);
        let request = TurnRequest {
            longest: Duration::from_millis(left / 3),
            reserve: true,
            draw: self.rng.next_u64(),
        };
        let turn = self.entries[at]
            .book
            .give_turn(KEY, request, Time::from_millis(ms));
        // Callers wait for a third of their remaining time at most.
        let after = turn.map_or(left / 4, |turn| turn.after.as_millis() as u64);
        let after = after.min(left / 3);
        let back = Caller {
            returns: true,
            reserved: turn.is_some_and(|turn| turn.reserved),
            ..caller
        };
        let arrival = ms + after + CONNECT_MS;
        self.coming.entry(arrival).or_default().push(back);
    }

    /// The greatest number of returns in any 100 ms, of all or of those with a turn only.
    fn most_returns(&self, reserved: bool) -> usize {
        let chosen = self.returned.iter().filter(|r| r.reserved || !reserved);
        let mut times: Vec<u64> = chosen.map(|returned| returned.at).collect();
        times.sort_unstable();
        let within = |(n, start): (usize, &u64)| times.partition_point(|at| *at < start + 100) - n;
        times.iter().enumerate().map(within).max().unwrap_or(0)
    }

    /// Share of the returns in a span of time that were refused again, of all or of those with a
    /// turn only.
    fn refused_again(&self, span: std::ops::Range<u64>, reserved: bool) -> f64 {
        let in_span = |r: &&Returned| span.contains(&r.at) && (r.reserved || !reserved);
        let returned: Vec<&Returned> = self.returned.iter().filter(in_span).collect();
        let refused = returned.iter().filter(|r| r.refused).count();
        refused as f64 / returned.len().max(1) as f64
    }
}

/// Callers of the service rate that return within 100 ms, twice as many as are served.
const TWICE_RATE: usize = (2.0 * RATE / 10.0) as usize;

/// Guards against callers with a turn that are refused again, or that return together, at any
/// load.
#[test]
fn callers_with_a_turn_are_served_in_a_crowd() {
    for (seed, crowd) in [1.3, 2.0, 2.5, 3.0, 4.0].into_iter().enumerate() {
        let mut world = World::new(seed as u64);
        world.play(crowd, None);
        check_turns(&world, crowd);
    }
}

/// Guards against return times that are worth nothing once the entry that gave them is gone:
/// other entries rank the callers as returning.
#[test]
fn turns_hold_when_the_entry_that_gave_them_is_gone() {
    for (seed, crowd) in [2.0, 3.0, 4.0].into_iter().enumerate() {
        let mut world = World::new(seed as u64);
        world.play(crowd, Some(5000));
        check_turns(&world, crowd);
    }
}

/// Checks that under 1 in 10 callers with a turn is refused again, in the crowd and while demand
/// falls, and that they return evenly.
fn check_turns(world: &World, crowd: f64) {
    let given = world.returned.iter().filter(|r| r.reserved).count();
    assert!(given >= 1500, "{given} turns at {crowd}");
    for span in [CROWD_START..CROWD_END, CROWD_END..FALL_END, FALL_END..END] {
        let share = world.refused_again(span.clone(), true);
        assert!(share < 0.1, "{share} refused again in {span:?} at {crowd}");
    }
    let most = world.most_returns(true);
    assert!(most <= TWICE_RATE / 2, "{most} returns at {crowd}");
}

/// Guards against returns that are more concentrated than the refusals they follow. Above twice
/// the service rate, the refused first attempts alone are more than twice the rate, and each
/// returns within a third of its time.
#[test]
fn returns_are_no_more_concentrated_than_demand() {
    for crowd in [2.0, 2.5, 3.0, 4.0] {
        let mut world = World::new(1);
        world.play(crowd, None);
        let demand = (crowd * RATE / 10.0) as usize;
        let most = world.most_returns(false);
        assert!(most <= demand * 5 / 4, "{most} returns, demand {demand}");
    }
}

/// Guards against a herd of callers that were refused together.
#[test]
fn callers_refused_together_do_not_return_together() {
    for seed in 0..5 {
        let mut world = World::new(seed);
        world.play_burst(400);
        assert!(world.returned.len() >= 250);
        let most = world.most_returns(false);
        assert!(most <= TWICE_RATE, "{most} returns, seed {seed}");
    }
}

/// Guards against callers that are refused again once the crowd is over.
#[test]
fn returns_after_a_crowd_are_served() {
    for crowd in [2.0, 2.5, 3.0] {
        let mut world = World::new(1);
        world.play(crowd, None);
        let share = world.refused_again(FALL_END..END, false);
        assert!(share < 0.25, "{share} at {crowd}");
    }
}
