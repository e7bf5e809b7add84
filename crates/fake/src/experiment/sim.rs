//! The event queue.

use std::time::Duration;

use chestnut_route::{CallId, ConnId, Failure};
use chestnut_unit::{IndexVersion, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    Condition, Fault, Outcome, Policy, Shape,
    entry::{Entry, Request},
    faults::fault_times,
    leaf::{Job, Leaf},
};
use crate::queue::Queue;

/// What happens in a run.
#[derive(Debug)]
pub(super) enum Event {
    Arrive,
    /// A caller that was not served comes back.
    Return(Box<Request>),
    AtLeaf {
        leaf: usize,
        job: Job,
    },
    LeafDone {
        leaf: usize,
        number: u64,
    },
    Reply {
        job: Job,
        leaf: usize,
        result: Result<(), Failure>,
    },
    CancelAt {
        leaf: usize,
        entry: usize,
        query: u64,
        call: CallId,
    },
    Opened {
        entry: usize,
        leaf: usize,
        conn: ConnId,
    },
    Silent {
        entry: usize,
        leaf: usize,
        conn: ConnId,
    },
    Probed {
        entry: usize,
        leaf: usize,
        conn: ConnId,
    },
    Check {
        entry: usize,
        leaf: usize,
    },
    Tick {
        entry: usize,
        query: u64,
    },
    Expire {
        entry: usize,
    },
    Hints,
    Fault(usize),
    FaultEnds(usize),
    DropOld,
}

/// Time from which latencies count, so that the start of the run doesn't.
pub(super) const WARM: Duration = Duration::from_secs(2);
/// Deadline of a query.
pub(super) const DEADLINE: Duration = Duration::from_secs(1);
/// Deadline of an archive query.
pub(super) const ARCHIVE_DEADLINE: Duration = Duration::from_secs(10);
/// Time between two readings of the health and load endpoints.
const HINTS: Duration = Duration::from_secs(1);

pub(super) struct Sim<'a> {
    pub(super) shape: &'a Shape,
    pub(super) condition: &'a Condition,
    pub(super) now: Time,
    pub(super) events: Queue<Event>,
    pub(super) entries: Vec<Entry>,
    pub(super) leafs: Vec<Leaf>,
    pub(super) arrivals: ChaCha8Rng,
    pub(super) services: ChaCha8Rng,
    pub(super) next_query: u64,
    pub(super) outcome: Outcome,
    pub(super) extra: Vec<Duration>,
    pub(super) lying: bool,
}

/// Runs one policy under one condition.
#[must_use]
pub fn simulate(shape: &Shape, policy: &Policy, condition: &Condition, seed: u64) -> Outcome {
    let rng = |stream: u64| ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1000) + stream);
    let shedding = condition.faults.contains(&Fault::Shedding);
    let queue = if shedding { 0 } else { shape.queue };
    let entry = |n: usize| Entry::new(n % shape.domains, shape, policy, rng(10 + n as u64));
    let mut sim = Sim {
        shape,
        condition,
        now: Time::ZERO,
        events: Queue::default(),
        entries: (0..shape.entries).map(entry).collect(),
        leafs: (0..shape.leafs)
            .map(|n| Leaf::new(n % shape.domains, shape.slots, queue))
            .collect(),
        arrivals: rng(1),
        services: rng(2),
        next_query: 0,
        outcome: Outcome::new(shape.connections),
        extra: vec![Duration::ZERO; shape.domains],
        lying: condition.faults.contains(&Fault::LyingHealth),
    };
    sim.run();
    sim.finish()
}

impl Sim<'_> {
    fn run(&mut self) {
        let end = Time::ZERO + self.shape.span;
        self.after(Duration::ZERO, Event::Arrive);
        self.after(HINTS, Event::Hints);
        for (number, fault) in self.condition.faults.iter().enumerate() {
            let (from, until) = fault_times(fault, self.shape.span);
            self.after(from, Event::Fault(number));
            if let Some(until) = until {
                self.after(until, Event::FaultEnds(number));
            }
        }
        while let Some((at, event)) = self.events.pop() {
            if at > end + DEADLINE {
                break;
            }
            self.now = at;
            self.handle(event);
        }
    }

    pub(super) fn after(&mut self, span: Duration, event: Event) {
        self.at(self.now + span, event);
    }

    pub(super) fn at(&mut self, at: Time, event: Event) {
        self.events.push(at, event);
    }

    fn handle(&mut self, event: Event) {
        if let Some(entry) = entry_of(&event)
            && let Some(until) = self.entries[entry].frozen
        {
            // A stopped process takes up what came meanwhile when it wakes.
            self.at(until, event);
            return;
        }
        match event {
            Event::Arrive => self.arrive(),
            Event::Return(request) => self.returned(*request),
            Event::AtLeaf { leaf, job } => self.at_leaf(leaf, job),
            Event::LeafDone { leaf, number } => self.leaf_done(leaf, number),
            Event::Reply { job, leaf, result } => self.reply(&job, leaf, result),
            Event::CancelAt {
                leaf,
                entry,
                query,
                call,
            } => {
                if let Some(number) = self.leafs[leaf].cancel(entry, query, call) {
                    self.serve(leaf, number);
                }
            }
            Event::Opened { entry, leaf, conn } => self.opened(entry, leaf, conn),
            Event::Silent { entry, leaf, conn } => self.found_silent(entry, leaf, conn),
            Event::Probed { entry, leaf, conn } => self.probed(entry, leaf, conn),
            Event::Check { entry, leaf } => self.check(entry, leaf),
            Event::Tick { entry, query } => self.tick(entry, query),
            Event::Expire { entry } => self.expire(entry),
            Event::Hints => self.hints(),
            Event::Fault(number) => self.fault(number),
            Event::FaultEnds(number) => self.fault_ends(number),
            Event::DropOld => {
                for leaf in &mut self.leafs {
                    leaf.versions.retain(|v| *v != IndexVersion(1));
                }
            }
        }
    }

    fn hints(&mut self) {
        self.after(HINTS, Event::Hints);
        for entry in &mut self.entries {
            for (number, leaf) in self.leafs.iter().enumerate() {
                let load = leaf.load().min(1.0);
                let factor = if self.lying { 2.0 - load } else { 1.0 + load };
                entry.table.set_hint(entry.ixs[number], factor);
            }
        }
    }

    fn finish(mut self) -> Outcome {
        for entry in &self.entries {
            let counts = entry.table.counts();
            self.outcome.first += counts.first;
            self.outcome.hedges += counts.hedges;
            self.outcome.retries += counts.retries;
            self.outcome.shards += counts.shards;
            self.outcome.evictions += counts.evictions;
            self.outcome.opened += entry.opened;
        }
        let peaks = self.leafs.iter().map(|leaf| leaf.connections_peak);
        self.outcome.peak = peaks.max().unwrap_or(0);
        let span = (self.shape.span - WARM).as_secs_f64();
        self.outcome.goodput = self.outcome.whole as f64 / span / self.shape.capacity();
        self.outcome
    }
}

/// The entry that an event happens at, if it does at one.
fn entry_of(event: &Event) -> Option<usize> {
    match event {
        Event::Reply { job, .. } => Some(job.entry),
        Event::Opened { entry, .. }
        | Event::Silent { entry, .. }
        | Event::Probed { entry, .. }
        | Event::Check { entry, .. }
        | Event::Tick { entry, .. }
        | Event::Expire { entry } => Some(*entry),
        _ => None,
    }
}
