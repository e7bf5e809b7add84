//! How a version spreads among many entries, by their decisions alone: a queue of
//! messages and readings in virtual time. Each seed repeats its run.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnut_book::BookVersion;
use chestnut_relay::{Distance, Pull, Spread};
use chestnut_unit::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Members that are told of a new version, as the entries do it.
const TOLD_NEAR: usize = 5;
const TOLD_FAR: usize = 1;
/// Time of a message on its way, and of a reading.
const WAY: Duration = Duration::from_millis(2);
const READING: Duration = Duration::from_millis(20);
/// Time between two pulses of the entry that is followed, and between two probes.
const PULSE: Duration = Duration::from_secs(1);
const PROBE: Duration = Duration::from_millis(500);
const NEW: BookVersion = BookVersion(7);

#[derive(Clone, Copy, Debug)]
enum Event {
    /// One entry hears from another which version it has.
    Hears(usize, usize),
    /// A reading from an entry ends.
    Read(usize, usize),
    /// The entry looks again what to do.
    Looks(usize),
    /// The entry asks the one that it follows, or any member.
    Pulses(usize),
    Probes(usize),
}

struct World {
    domains: usize,
    spreads: Vec<Spread>,
    has: Vec<Option<Time>>,
    /// Messages and readings that each entry was asked for.
    messages: usize,
    asked: Vec<usize>,
    queue: BTreeMap<(Time, u64), Event>,
    next: u64,
    rng: ChaCha8Rng,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 4))
}

fn number(peer: SocketAddr) -> usize {
    match peer {
        SocketAddr::V4(peer) => {
            let [_, _, high, low] = peer.ip().octets();
            usize::from(high) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => unreachable!("no such entries here"),
    }
}

impl World {
    fn new(entries: usize, domains: usize, seed: u64) -> Self {
        let mut world = Self {
            domains,
            spreads: vec![Spread::default(); entries],
            has: vec![None; entries],
            messages: 0,
            asked: vec![0; entries],
            queue: BTreeMap::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for n in 0..entries {
            let pulse = PULSE.mul_f64(world.rng.random_range(0.0..1.0));
            let probe = PROBE.mul_f64(world.rng.random_range(0.0..1.0));
            world.add(Time::ZERO + pulse, Event::Pulses(n));
            world.add(Time::ZERO + probe, Event::Probes(n));
        }
        world
    }

    fn add(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.queue.insert((at, self.next), event);
    }

    fn say(&mut self, from: usize, to: usize, now: Time) {
        self.messages += 1;
        self.add(now + WAY, Event::Hears(to, from));
    }

    fn takes(&mut self, n: usize, now: Time) {
        if self.has[n].is_some() {
            return;
        }
        self.has[n] = Some(now);
        self.spreads[n].taken(NEW, now);
        let entries = self.spreads.len();
        for _ in 0..TOLD_NEAR {
            let near = self.rng.random_range(0..entries / self.domains) * self.domains;
            self.say(n, near + n % self.domains, now);
        }
        for _ in 0..TOLD_FAR {
            let far = self.rng.random_range(0..entries);
            self.say(n, far, now);
        }
    }

    fn act(&mut self, event: Event, now: Time) {
        let entries = self.spreads.len();
        match event {
            Event::Hears(n, from) => {
                let version = self.has[from].map_or(BookVersion(0), |_| NEW);
                let distance = match n % self.domains == from % self.domains {
                    true => Distance::Near,
                    false => Distance::Far,
                };
                self.spreads[n].told(address(from), version, distance, now);
                self.act(Event::Looks(n), now);
            }
            Event::Read(n, from) => {
                self.spreads[n].ended(address(from));
                self.takes(n, now);
            }
            Event::Looks(n) => match self.spreads[n].next(self.rng.random(), now) {
                Pull::From(peer) => {
                    self.spreads[n].begun(peer, now);
                    self.asked[number(peer)] += 1;
                    self.add(now + READING, Event::Read(n, number(peer)));
                }
                Pull::Rest(until) => self.add(until, Event::Looks(n)),
                Pull::Nothing => {}
            },
            Event::Pulses(n) => {
                // The first of each domain watches the store; the others follow it.
                let watcher = n % self.domains;
                self.add(now + WAY, Event::Hears(n, watcher));
                self.add(now + PULSE, Event::Pulses(n));
            }
            Event::Probes(n) => {
                let any = self.rng.random_range(0..entries);
                self.add(now + WAY, Event::Hears(any, n));
                self.add(now + WAY * 2, Event::Hears(n, any));
                self.add(now + PROBE, Event::Probes(n));
            }
        }
    }

    /// Runs until all have the version; returns when that is.
    fn run(&mut self) -> Time {
        while let Some(((now, _), event)) = self.queue.pop_first() {
            self.act(event, now);
            if self.has.iter().all(Option::is_some) {
                return now;
            }
            assert!(now < Time::from_millis(60_000), "some never get it");
        }
        unreachable!("pulses go on")
    }
}

/// A change has to be in force at 90 entries within two seconds, and at 2,900 within 18,
/// though a single one can read it from the store. No entry may have to serve the
/// readings of all others, or their books fill its link.
#[rstest]
#[case::ninety(90, 4, 1_000, 12)]
#[case::three_hundred(300, 6, 1_000, 12)]
#[case::all(2_904, 24, 1_500, 16)]
fn a_version_that_one_entry_has_spreads_to_all(
    #[case] entries: usize,
    #[case] domains: usize,
    #[case] most_ms: u64,
    #[case] most_asked: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = World::new(entries, domains, seed);
    world.takes(entries / 2, Time::ZERO);
    let end = world.run();
    let ms = end.since(Time::ZERO).as_millis() as u64;
    let asked = world.asked.iter().max().copied().unwrap_or(0);
    let told = world.messages as f64 / entries as f64;
    println!(
        "{entries} entries, seed {seed}: {ms} ms, {asked} readings of one, {told:.1} messages each"
    );
    assert!(ms <= most_ms, "{ms} ms");
    assert!(asked <= most_asked, "{asked} readings of one entry");
}
