//! Simulation of the propagation of a version among many entries: a queue of messages
//! and reads in virtual time. Each seed reproduces its run.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnut_book::BookVersion;
use chestnut_relay::{BookPropagation, Distance, NextRead};
use chestnut_unit::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Members that an entry reports a new version to, in its failure domain and in any.
const REPORTS_LOCAL: usize = 5;
const REPORTS_REMOTE: usize = 1;
/// Network delay of a message, and duration of a read.
const NETWORK_DELAY: Duration = Duration::from_millis(2);
const READ_TIME: Duration = Duration::from_millis(20);
/// Interval between heartbeats of the upstream, and between probes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const NEW: BookVersion = BookVersion(7);

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The first entry receives a report of the version of the second.
    Reported(usize, usize),
    /// The first entry has read the book of the second.
    Read(usize, usize),
    /// The entry decides which peer to read from next.
    Decide(usize),
    /// The entry gets the version of its upstream, or probes any member.
    Heartbeat(usize),
    Probe(usize),
}

struct Simulation {
    domains: usize,
    propagations: Vec<BookPropagation>,
    received: Vec<Option<Time>>,
    /// Messages that were sent, and reads that each entry had to serve.
    messages: usize,
    asked: Vec<usize>,
    queue: BTreeMap<(Time, u64), Event>,
    sequence: u64,
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

impl Simulation {
    fn new(entries: usize, domains: usize, seed: u64) -> Self {
        let mut simulation = Self {
            domains,
            propagations: vec![BookPropagation::default(); entries],
            received: vec![None; entries],
            messages: 0,
            asked: vec![0; entries],
            queue: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for n in 0..entries {
            let heartbeat = HEARTBEAT_INTERVAL.mul_f64(simulation.rng.random_range(0.0..1.0));
            let probe = PROBE_INTERVAL.mul_f64(simulation.rng.random_range(0.0..1.0));
            simulation.schedule(Time::ZERO + heartbeat, Event::Heartbeat(n));
            simulation.schedule(Time::ZERO + probe, Event::Probe(n));
        }
        simulation
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    fn send(&mut self, from: usize, to: usize, now: Time) {
        self.messages += 1;
        self.schedule(now + NETWORK_DELAY, Event::Reported(to, from));
    }

    fn receive(&mut self, n: usize, now: Time) {
        if self.received[n].is_some() {
            return;
        }
        self.received[n] = Some(now);
        self.propagations[n].installed(NEW, now);
        let entries = self.propagations.len();
        for _ in 0..REPORTS_LOCAL {
            let local = self.rng.random_range(0..entries / self.domains) * self.domains;
            self.send(n, local + n % self.domains, now);
        }
        for _ in 0..REPORTS_REMOTE {
            let remote = self.rng.random_range(0..entries);
            self.send(n, remote, now);
        }
    }

    fn handle(&mut self, event: Event, now: Time) {
        let entries = self.propagations.len();
        match event {
            Event::Reported(n, from) => {
                let version = self.received[from].map_or(BookVersion(0), |_| NEW);
                let distance = match n % self.domains == from % self.domains {
                    true => Distance::Local,
                    false => Distance::Remote,
                };
                self.propagations[n].reported(address(from), version, distance, now);
                self.handle(Event::Decide(n), now);
            }
            Event::Read(n, from) => {
                self.propagations[n].read_ended(address(from));
                self.receive(n, now);
            }
            Event::Decide(n) => match self.propagations[n].next(self.rng.random(), now) {
                NextRead::From(peer) => {
                    self.propagations[n].read_started(peer, now);
                    self.asked[number(peer)] += 1;
                    self.schedule(now + READ_TIME, Event::Read(n, number(peer)));
                }
                NextRead::WaitUntil(until) => self.schedule(until, Event::Decide(n)),
                NextRead::Nothing => {}
            },
            Event::Heartbeat(n) => {
                // The first of each domain watches the store and is the upstream of the
                // others.
                let watcher = n % self.domains;
                self.schedule(now + NETWORK_DELAY, Event::Reported(n, watcher));
                self.schedule(now + HEARTBEAT_INTERVAL, Event::Heartbeat(n));
            }
            Event::Probe(n) => {
                let any = self.rng.random_range(0..entries);
                self.schedule(now + NETWORK_DELAY, Event::Reported(any, n));
                self.schedule(now + NETWORK_DELAY * 2, Event::Reported(n, any));
                self.schedule(now + PROBE_INTERVAL, Event::Probe(n));
            }
        }
    }

    /// Runs until all have the version; returns the time of that.
    fn run(&mut self) -> Time {
        while let Some(((now, _), event)) = self.queue.pop_first() {
            self.handle(event, now);
            if self.received.iter().all(Option::is_some) {
                return now;
            }
            assert!(
                now < Time::from_millis(60_000),
                "some entries never receive the version"
            );
        }
        unreachable!("heartbeats never end")
    }
}

/// A version that a single entry can read from the store is late elsewhere, or one
/// entry serves the reads of all others and its link fills.
#[rstest]
#[case::ninety(90, 4, 1_000, 12)]
#[case::three_hundred(300, 6, 1_000, 12)]
#[case::all(2_904, 24, 1_500, 16)]
fn a_version_propagates_from_one_entry_to_all(
    #[case] entries: usize,
    #[case] domains: usize,
    #[case] most_ms: u64,
    #[case] most_asked: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut simulation = Simulation::new(entries, domains, seed);
    simulation.receive(entries / 2, Time::ZERO);
    let end = simulation.run();
    let ms = end.since(Time::ZERO).as_millis() as u64;
    let asked = simulation.asked.iter().max().copied().unwrap_or(0);
    let sent = simulation.messages as f64 / entries as f64;
    println!(
        "{entries} entries, seed {seed}: {ms} ms, {asked} readings of one, {sent:.1} messages each"
    );
    assert!(ms <= most_ms, "{ms} ms");
    assert!(asked <= most_asked, "{asked} readings of one entry");
}
