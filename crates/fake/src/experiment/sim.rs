//! The simulation: its state and its event loop.

use std::time::Duration;

use chestnut_route::{CallId, ConnId, Failure};
use chestnut_unit::{IndexVersion, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    Condition, Fault, Outcome, Policy, Topology,
    entry::{Entry, Request},
    faults::fault_times,
    leaf::{Job, Leaf},
};
use crate::queue::EventQueue;

/// An event of a run: arrivals, calls and replies, connections, timers and faults.
#[derive(Debug)]
pub(super) enum Event {
    /// A new request arrives.
    Arrive,
    /// A caller that was not served retries.
    Retry(Box<Request>),
    /// A call reaches its leaf.
    CallArrives { leaf: usize, job: Job },
    /// A leaf completes a call.
    CallDone { leaf: usize, number: u64 },
    /// A reply or failure reaches the entry.
    ReplyArrives {
        job: Job,
        leaf: usize,
        result: Result<(), Failure>,
    },
    /// A cancellation reaches the leaf.
    CancelArrives {
        leaf: usize,
        entry: usize,
        query: u64,
        call: CallId,
    },
    /// A connection attempt ends.
    ConnOpened {
        entry: usize,
        leaf: usize,
        conn: ConnId,
    },
    /// Pings detect a silent connection.
    SilenceFound {
        entry: usize,
        leaf: usize,
        conn: ConnId,
    },
    /// The probe of a quiet connection is answered or times out.
    ProbeResult {
        entry: usize,
        leaf: usize,
        conn: ConnId,
    },
    /// An entry checks the connections to a leaf for quiet ones.
    CheckQuiet { entry: usize, leaf: usize },
    /// The timer of a query fires.
    Tick { entry: usize, query: u64 },
    /// Requests in the admission queue of an entry expire.
    Expire { entry: usize },
    /// The entries poll the load of the leafs.
    UpdateHints,
    /// The fault of this number starts.
    FaultStart(usize),
    /// The fault of this number ends.
    FaultEnd(usize),
    /// The leafs drop the first index version.
    DropOldVersion,
}

/// Time from which requests are counted; the run warms up before.
pub(super) const MEASURE_START: Duration = Duration::from_secs(2);
/// Time from the arrival of a query to its deadline.
pub(super) const DEADLINE: Duration = Duration::from_secs(1);
/// Time from the arrival of an archive query to its deadline.
pub(super) const ARCHIVE_DEADLINE: Duration = Duration::from_secs(10);
/// Interval between polls of the health and load endpoints.
const HINT_INTERVAL: Duration = Duration::from_secs(1);

/// A run in progress: virtual time, pending events, entries, leafs, random generators and
/// results.
pub(super) struct Sim<'a> {
    pub(super) topology: &'a Topology,
    pub(super) condition: &'a Condition,
    pub(super) now: Time,
    pub(super) events: EventQueue<Event>,
    pub(super) entries: Vec<Entry>,
    pub(super) leafs: Vec<Leaf>,
    /// Draws arrivals, urgencies, entries and retry delays.
    pub(super) arrival_rng: ChaCha8Rng,
    /// Draws service times and stragglers.
    pub(super) service_rng: ChaCha8Rng,
    pub(super) next_query: u64,
    pub(super) outcome: Outcome,
    /// Added one-way latency, by failure domain.
    pub(super) extra_latency: Vec<Duration>,
    /// Whether the load endpoints report the reverse of the load.
    pub(super) inverted_hints: bool,
}

/// Simulates one policy under one condition for the span of the topology and returns the
/// results; the same `seed` gives the same results.
#[must_use]
pub fn simulate(topology: &Topology, policy: &Policy, condition: &Condition, seed: u64) -> Outcome {
    let rng = |stream: u64| ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1000) + stream);
    let shedding = condition.faults.contains(&Fault::Shedding);
    let queue_capacity = if shedding { 0 } else { topology.queue_capacity };
    let entry = |n: usize| Entry::new(n % topology.domains, topology, policy, rng(10 + n as u64));
    let mut sim = Sim {
        topology,
        condition,
        now: Time::ZERO,
        events: EventQueue::default(),
        entries: (0..topology.entries).map(entry).collect(),
        leafs: (0..topology.leafs)
            .map(|n| Leaf::new(n % topology.domains, topology.slots, queue_capacity))
            .collect(),
        arrival_rng: rng(1),
        service_rng: rng(2),
        next_query: 0,
        outcome: Outcome::new(topology.connections),
        extra_latency: vec![Duration::ZERO; topology.domains],
        inverted_hints: condition.faults.contains(&Fault::InvertedHealth),
    };
    sim.run();
    sim.finish()
}

impl Sim<'_> {
    /// Handles events until shortly after the end of the run, and schedules the faults.
    fn run(&mut self) {
        let end = Time::ZERO + self.topology.span;
        self.schedule(Duration::ZERO, Event::Arrive);
        self.schedule(HINT_INTERVAL, Event::UpdateHints);
        for (number, fault) in self.condition.faults.iter().enumerate() {
            let (from, until) = fault_times(fault, self.topology.span);
            self.schedule(from, Event::FaultStart(number));
            if let Some(until) = until {
                self.schedule(until, Event::FaultEnd(number));
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

    /// Schedules an event after a delay.
    pub(super) fn schedule(&mut self, span: Duration, event: Event) {
        self.schedule_at(self.now + span, event);
    }

    /// Schedules an event at a time.
    pub(super) fn schedule_at(&mut self, at: Time, event: Event) {
        self.events.push(at, event);
    }

    /// Handles an event, or postpones it while its entry is frozen.
    fn handle(&mut self, event: Event) {
        if let Some(entry) = entry_of(&event)
            && let Some(until) = self.entries[entry].frozen_until
        {
            // A suspended process handles its pending events when it resumes.
            self.schedule_at(until, event);
            return;
        }
        match event {
            Event::Arrive => self.arrive(),
            Event::Retry(request) => self.on_retry(*request),
            Event::CallArrives { leaf, job } => self.on_call(leaf, job),
            Event::CallDone { leaf, number } => self.on_call_done(leaf, number),
            Event::ReplyArrives { job, leaf, result } => self.on_reply(&job, leaf, result),
            Event::CancelArrives {
                leaf,
                entry,
                query,
                call,
            } => {
                if let Some(number) = self.leafs[leaf].cancel(entry, query, call) {
                    self.run_call(leaf, number);
                }
            }
            Event::ConnOpened { entry, leaf, conn } => self.on_opened(entry, leaf, conn),
            Event::SilenceFound { entry, leaf, conn } => self.on_silent(entry, leaf, conn),
            Event::ProbeResult { entry, leaf, conn } => self.on_probe_result(entry, leaf, conn),
            Event::CheckQuiet { entry, leaf } => self.check_quiet(entry, leaf),
            Event::Tick { entry, query } => self.tick_query(entry, query),
            Event::Expire { entry } => self.expire_admission(entry),
            Event::UpdateHints => self.update_hints(),
            Event::FaultStart(number) => self.start_fault(number),
            Event::FaultEnd(number) => self.end_fault(number),
            Event::DropOldVersion => {
                for leaf in &mut self.leafs {
                    leaf.versions.retain(|v| *v != IndexVersion(1));
                }
            }
        }
    }

    /// Passes the load of the leafs to the routing tables as hints, and schedules the
    /// next update.
    fn update_hints(&mut self) {
        self.schedule(HINT_INTERVAL, Event::UpdateHints);
        for entry in &mut self.entries {
            for (number, leaf) in self.leafs.iter().enumerate() {
                let load = leaf.load().min(1.0);
                let factor = if self.inverted_hints {
                    2.0 - load
                } else {
                    1.0 + load
                };
                entry.table.set_hint(entry.backends[number], factor);
            }
        }
    }

    /// Returns the results, with the counters of entries and leafs added.
    fn finish(mut self) -> Outcome {
        for entry in &self.entries {
            let counts = entry.table.counts();
            self.outcome.first += counts.first;
            self.outcome.hedges += counts.hedges;
            self.outcome.retries += counts.retries;
            self.outcome.shards += counts.shards;
            self.outcome.evictions += counts.evictions;
            self.outcome.connections_opened += entry.connections_opened;
        }
        let peaks = self.leafs.iter().map(|leaf| leaf.peak_connections);
        self.outcome.peak_connections = peaks.max().unwrap_or(0);
        let span = (self.topology.span - MEASURE_START).as_secs_f64();
        self.outcome.goodput = self.outcome.completed as f64 / span / self.topology.capacity();
        self.outcome
    }
}

/// Returns the entry whose process handles an event; `None` for events of callers, leafs
/// and faults.
fn entry_of(event: &Event) -> Option<usize> {
    match event {
        Event::ReplyArrives { job, .. } => Some(job.entry),
        Event::ConnOpened { entry, .. }
        | Event::SilenceFound { entry, .. }
        | Event::ProbeResult { entry, .. }
        | Event::CheckQuiet { entry, .. }
        | Event::Tick { entry, .. }
        | Event::Expire { entry } => Some(*entry),
        _ => None,
    }
}
