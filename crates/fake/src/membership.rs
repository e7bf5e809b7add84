//! The failure detector of many members over a lossy network, in virtual time.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use chestnut_fleet::{Addresses, Change, Member, Message, Outgoing, Status, Swim, SwimConfig};
use chestnut_port::probe_size;
use chestnut_unit::{DomainName, Incarnation, MemberId, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::queue::Queue;

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct MembershipConfig {
    /// Members.
    pub members: usize,
    /// Share of datagrams lost.
    pub loss: f64,
    /// Whether a member dies a third into the run.
    pub death: bool,
    /// Whether a member stops for five seconds a third into the run.
    pub freeze: bool,
    /// Seed.
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct MembershipReport {
    /// Datagrams sent by a member, a second.
    pub messages: f64,
    /// Bytes sent by a member, a second, headers of IP and UDP included.
    pub bytes: f64,
    /// Largest datagram.
    pub largest: usize,
    /// Seconds until every member knew of the death.
    pub known: Option<f64>,
    /// Members that some member took for gone though they ran.
    pub false_deaths: usize,
    /// Of those, pairs that still stood at the end.
    pub lasting: usize,
    /// Microseconds of processor time for a member and second.
    pub cpu_us: f64,
}

/// Bytes of the headers of a datagram.
const HEADERS: usize = 28;
/// Length of a run.
const SPAN: Duration = Duration::from_secs(60);
/// When the death or the freeze comes.
const FAULT: Duration = Duration::from_secs(20);
/// How long a frozen member stops.
const FREEZE: Duration = Duration::from_secs(5);
/// Least one-way time between members; half as much again at most.
const LATENCY: Duration = Duration::from_micros(1500);

enum Event {
    Wake(usize),
    Deliver(usize, SocketAddr, Box<Message>),
}

struct Net {
    config: MembershipConfig,
    swims: Vec<Swim>,
    numbers: BTreeMap<SocketAddr, usize>,
    events: Queue<Event>,
    rng: ChaCha8Rng,
    messages: u64,
    bytes: u64,
    report: MembershipReport,
    gone: BTreeMap<(usize, MemberId), ()>,
    told: usize,
}

/// The member that dies or stops.
const VICTIM: usize = 1;

fn member(number: usize) -> Member {
    let at =
        |base: u16| SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], base));
    let addresses = Addresses {
        callers: at(7101),
        operators: at(7201),
        peers: at(7301),
    };
    let id = MemberId::new(format!("member-{number:04}")).expect("a legal name");
    let domain = DomainName::new(format!("domain-{}", number % 8)).expect("a legal name");
    Member::starting(id, domain, addresses, Incarnation(1_800_000_000_000))
}

/// Runs members over a lossy network.
#[must_use]
pub fn measure(config: MembershipConfig) -> MembershipReport {
    let members: Vec<Member> = (0..config.members).map(member).collect();
    let swim_config = SwimConfig {
        interval: Duration::from_millis(500),
        ..SwimConfig::default()
    };
    let mut net = Net {
        config,
        swims: Vec::new(),
        numbers: BTreeMap::new(),
        events: Queue::default(),
        rng: ChaCha8Rng::seed_from_u64(config.seed),
        messages: 0,
        bytes: 0,
        report: MembershipReport::default(),
        gone: BTreeMap::new(),
        told: 0,
    };
    for (number, own) in members.iter().enumerate() {
        net.numbers.insert(own.addresses.peers, number);
        let mut swim = Swim::new(swim_config, own.clone(), Time::ZERO);
        swim.merge_members(&members, Time::ZERO);
        swim.take_changes();
        net.swims.push(swim);
        let offset = Duration::from_micros(net.rng.next_u64() % 1_000_000);
        net.events.push(Time::ZERO + offset, Event::Wake(number));
    }
    let start = Instant::now();
    net.run();
    let seconds = SPAN.as_secs_f64() * config.members as f64;
    net.report.cpu_us = start.elapsed().as_secs_f64() * 1e6 / seconds;
    net.report.messages = net.messages as f64 / seconds;
    net.report.bytes = net.bytes as f64 / seconds;
    net.report.lasting = net.gone.len();
    net.report
}

impl Net {
    fn stopped(&self, number: usize, now: Time) -> Option<Time> {
        let fault = Time::ZERO + FAULT;
        if number != VICTIM || now < fault {
            return None;
        }
        if self.config.death {
            return Some(Time::MAX);
        }
        let until = fault + FREEZE;
        (self.config.freeze && now < until).then_some(until)
    }

    fn run(&mut self) {
        while let Some((now, event)) = self.events.pop() {
            if now >= Time::ZERO + SPAN {
                return;
            }
            let number = match &event {
                Event::Wake(number) | Event::Deliver(number, ..) => *number,
            };
            if let Some(until) = self.stopped(number, now) {
                if until < Time::MAX {
                    self.events.push(until, event);
                }
                continue;
            }
            self.handle(number, event, now);
        }
    }

    fn handle(&mut self, number: usize, event: Event, now: Time) {
        let mut out = Vec::new();
        let status = Status::default();
        let swim = &mut self.swims[number];
        match event {
            Event::Wake(_) => {
                swim.tick(status, now, &mut self.rng, &mut out);
                let wake = swim.wake().max(now + Duration::from_millis(1));
                self.events.push(wake, Event::Wake(number));
            }
            Event::Deliver(_, from, message) => {
                swim.receive(&message, from, status, now, &mut out);
            }
        }
        for (id, change) in self.swims[number].take_changes() {
            self.note(number, id, change, now);
        }
        let from = self.swims[number].view.own().addresses.peers;
        for Outgoing { to, message } in out {
            self.send(from, to, message, now);
        }
    }

    fn note(&mut self, number: usize, id: MemberId, change: Change, now: Time) {
        let victim = self.config.death && id == self.swims[VICTIM].view.own().id;
        match change {
            Change::Gone if victim => {
                self.told += 1;
                if self.told == self.config.members - 1 {
                    let since = now.since(Time::ZERO + FAULT);
                    self.report.known = Some(since.as_secs_f64());
                }
            }
            Change::Gone => {
                self.report.false_deaths += 1;
                self.gone.insert((number, id), ());
            }
            Change::Joined => {
                self.gone.remove(&(number, id));
            }
            _ => {}
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: Message, now: Time) {
        let size = probe_size(&message) + HEADERS;
        self.messages += 1;
        self.bytes += size as u64;
        self.report.largest = self.report.largest.max(size);
        let draw = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        if draw < self.config.loss {
            return;
        }
        let Some(number) = self.numbers.get(&to).copied() else {
            return;
        };
        let jitter = Duration::from_micros(self.rng.next_u64() % 750);
        let event = Event::Deliver(number, from, Box::new(message));
        self.events.push(now + LATENCY + jitter, event);
    }
}

/// Prints a table of runs.
pub fn run_table(members: &[usize], seed: u64) {
    println!(
        "| members | condition | messages/s | bytes/s | largest | death known s | false deaths | \
         lasting | cpu us/s |\n|---|---|---|---|---|---|---|---|---|"
    );
    for members in members {
        for (name, loss, death, freeze) in [
            ("calm", 0.0, false, false),
            ("death", 0.0, true, false),
            ("10% loss", 0.1, false, false),
            ("10% loss, death", 0.1, true, false),
            ("5 s freeze", 0.0, false, true),
        ] {
            let config = MembershipConfig {
                members: *members,
                loss,
                death,
                freeze,
                seed,
            };
            let r = measure(config);
            let known = r.known.map_or("-".to_owned(), |s| format!("{s:.1}"));
            println!(
                "| {members} | {name} | {:.1} | {:.0} | {} | {known} | {} | {} | {:.0} |",
                r.messages, r.bytes, r.largest, r.false_deaths, r.lasting, r.cpu_us
            );
        }
    }
}
