//! Simulation of the gossip failure detector over a lossy network, in virtual
//! time.

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

use crate::queue::EventQueue;

/// Parameters of one run: number of members, packet loss, fault and seed.
#[derive(Clone, Copy, Debug)]
pub struct MembershipConfig {
    /// Number of members.
    pub members: usize,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Whether a member crashes a third into the run.
    pub crash: bool,
    /// Whether a member is suspended for five seconds a third into the run.
    pub freeze: bool,
    /// Seed of losses, delays and probe targets.
    pub seed: u64,
}

/// Results of one run: traffic, detection of the crash, false removals, computation time.
#[derive(Clone, Copy, Debug, Default)]
pub struct MembershipReport {
    /// Datagrams sent per member and second.
    pub messages: f64,
    /// Bytes sent per member and second, including IP and UDP headers.
    pub bytes: f64,
    /// Size of the largest datagram in bytes, including headers.
    pub largest_datagram: usize,
    /// Seconds from the crash until every other member had detected it.
    pub detection_time: Option<f64>,
    /// Removals of members that had not crashed, summed over all observers.
    pub false_removals: usize,
    /// Pairs of observer and wrongly removed member left at the end.
    pub unresolved: usize,
    /// Wall-clock microseconds of computation per member and simulated second.
    pub cpu_us: f64,
}

/// Size of the IP and UDP headers of a datagram, in bytes.
const HEADER_BYTES: usize = 28;
/// Duration of a run in virtual time.
const RUN_DURATION: Duration = Duration::from_secs(60);
/// Virtual time from the start of a run to the crash or the freeze.
const FAULT_START: Duration = Duration::from_secs(20);
/// How long a frozen member is suspended.
const FREEZE_DURATION: Duration = Duration::from_secs(5);
/// Minimum one-way latency between members; jitter adds up to half of it.
const MIN_LATENCY: Duration = Duration::from_micros(1500);

/// An event at a member, given by its number.
enum Event {
    /// The timer of its failure detector fires.
    Timer(usize),
    /// A datagram from this address arrives.
    Deliver(usize, SocketAddr, Box<Message>),
}

/// The simulated members, their pending events, and the counts of a run.
struct Network {
    config: MembershipConfig,
    detectors: Vec<Swim>,
    by_address: BTreeMap<SocketAddr, usize>,
    events: EventQueue<Event>,
    rng: ChaCha8Rng,
    messages: u64,
    bytes: u64,
    report: MembershipReport,
    /// Pairs of observer and member wrongly removed and not yet seen again.
    removed: BTreeMap<(usize, MemberId), ()>,
    /// Members that have detected the crash.
    informed: usize,
}

/// The member that crashes or freezes.
const FAULTY_MEMBER: usize = 1;

/// Returns a member with the address and failure domain of its number.
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

/// Simulates members over a lossy network for one run and returns its results.
#[must_use]
pub fn simulate(config: MembershipConfig) -> MembershipReport {
    let members: Vec<Member> = (0..config.members).map(member).collect();
    let detector_config = SwimConfig {
        interval: Duration::from_millis(500),
        ..SwimConfig::default()
    };
    let mut network = Network {
        config,
        detectors: Vec::new(),
        by_address: BTreeMap::new(),
        events: EventQueue::default(),
        rng: ChaCha8Rng::seed_from_u64(config.seed),
        messages: 0,
        bytes: 0,
        report: MembershipReport::default(),
        removed: BTreeMap::new(),
        informed: 0,
    };
    for (number, own) in members.iter().enumerate() {
        network.by_address.insert(own.addresses.peers, number);
        let mut detector = Swim::new(detector_config, own.clone(), Time::ZERO);
        detector.merge_members(&members, Time::ZERO);
        detector.take_changes();
        network.detectors.push(detector);
        let offset = Duration::from_micros(network.rng.next_u64() % 1_000_000);
        network
            .events
            .push(Time::ZERO + offset, Event::Timer(number));
    }
    let start = Instant::now();
    network.run();
    let seconds = RUN_DURATION.as_secs_f64() * config.members as f64;
    network.report.cpu_us = start.elapsed().as_secs_f64() * 1e6 / seconds;
    network.report.messages = network.messages as f64 / seconds;
    network.report.bytes = network.bytes as f64 / seconds;
    network.report.unresolved = network.removed.len();
    network.report
}

impl Network {
    /// Returns until when a member is stopped, `Time::MAX` after a crash; `None` if it runs.
    fn stopped_until(&self, number: usize, now: Time) -> Option<Time> {
        let fault = Time::ZERO + FAULT_START;
        if number != FAULTY_MEMBER || now < fault {
            return None;
        }
        if self.config.crash {
            return Some(Time::MAX);
        }
        let until = fault + FREEZE_DURATION;
        (self.config.freeze && now < until).then_some(until)
    }

    /// Handles events until the end of the run. Events at a frozen member are postponed,
    /// those at a crashed one are dropped.
    fn run(&mut self) {
        while let Some((now, event)) = self.events.pop() {
            if now >= Time::ZERO + RUN_DURATION {
                return;
            }
            let number = match &event {
                Event::Timer(number) | Event::Deliver(number, ..) => *number,
            };
            if let Some(until) = self.stopped_until(number, now) {
                if until < Time::MAX {
                    self.events.push(until, event);
                }
                continue;
            }
            self.handle(number, event, now);
        }
    }

    /// Passes an event to a member's detector, records the changes and sends the messages.
    fn handle(&mut self, number: usize, event: Event, now: Time) {
        let mut out = Vec::new();
        let status = Status::default();
        let detector = &mut self.detectors[number];
        match event {
            Event::Timer(_) => {
                detector.tick(status, now, &mut self.rng, &mut out);
                let wake = detector.wake().max(now + Duration::from_millis(1));
                self.events.push(wake, Event::Timer(number));
            }
            Event::Deliver(_, from, message) => {
                detector.receive(&message, from, status, now, &mut out);
            }
        }
        for (id, change) in self.detectors[number].take_changes() {
            self.record_change(number, id, change, now);
        }
        let from = self.detectors[number].view.own().addresses.peers;
        for Outgoing { to, message } in out {
            self.send(from, to, message, now);
        }
    }

    /// Counts a removal that a member has observed, right or false, or the return of a
    /// removed member.
    fn record_change(&mut self, number: usize, id: MemberId, change: Change, now: Time) {
        let is_faulty = self.config.crash && id == self.detectors[FAULTY_MEMBER].view.own().id;
        match change {
            Change::Gone if is_faulty => {
                self.informed += 1;
                if self.informed == self.config.members - 1 {
                    let since = now.since(Time::ZERO + FAULT_START);
                    self.report.detection_time = Some(since.as_secs_f64());
                }
            }
            Change::Gone => {
                self.report.false_removals += 1;
                self.removed.insert((number, id), ());
            }
            Change::Joined => {
                self.removed.remove(&(number, id));
            }
            _ => {}
        }
    }

    /// Counts a datagram, and delivers it unless it is lost.
    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: Message, now: Time) {
        let size = probe_size(&message) + HEADER_BYTES;
        self.messages += 1;
        self.bytes += size as u64;
        self.report.largest_datagram = self.report.largest_datagram.max(size);
        let draw = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        if draw < self.config.loss {
            return;
        }
        let Some(number) = self.by_address.get(&to).copied() else {
            return;
        };
        let jitter = Duration::from_micros(self.rng.next_u64() % 750);
        let event = Event::Deliver(number, from, Box::new(message));
        self.events.push(now + MIN_LATENCY + jitter, event);
    }
}

/// Runs each number of members under each condition and prints a table of the results.
pub fn run_table(members: &[usize], seed: u64) {
    println!(
        "| members | condition | messages/s | bytes/s | largest | death known s | false deaths | \
         lasting | cpu us/s |\n|---|---|---|---|---|---|---|---|---|"
    );
    for members in members {
        for (name, loss, crash, freeze) in [
            ("calm", 0.0, false, false),
            ("death", 0.0, true, false),
            ("10% loss", 0.1, false, false),
            ("10% loss, death", 0.1, true, false),
            ("5 s freeze", 0.0, false, true),
        ] {
            let config = MembershipConfig {
                members: *members,
                loss,
                crash,
                freeze,
                seed,
            };
            let r = simulate(config);
            let detection_time = r
                .detection_time
                .map_or("-".to_owned(), |s| format!("{s:.1}"));
            println!(
                "| {members} | {name} | {:.1} | {:.0} | {} | {detection_time} | {} | {} | {:.0} |",
                r.messages, r.bytes, r.largest_datagram, r.false_removals, r.unresolved, r.cpu_us
            );
        }
    }
}
