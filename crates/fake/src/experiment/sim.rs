//! The event queue.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use chestnut_route::{
    Action, CallId, ConnId, Context, Decision, End, Failure, Give, Order, PATIENCE, Pick, Query,
    QueryConfig, Ran, Refusal, Release, Yields,
};
use chestnut_unit::{IndexVersion, Reason, RequestId, ServiceName, Share, Time, Urgency};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Condition, Fault, Outcome, Policy,
    entry::{Entry, Request, Waiting},
    leaf::{Job, Leaf, Taken, mean_factor, service_time, unit},
    report::MAX_US,
};

/// A deployment to experiment with: one service and its entries.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Name of the service.
    pub service: ServiceName,
    /// Entries.
    pub entries: usize,
    /// Failure domains.
    pub domains: usize,
    /// Shards.
    pub shards: usize,
    /// Replicas of each shard.
    pub replicas: usize,
    /// Leafs.
    pub leafs: usize,
    /// Slots of a leaf.
    pub slots: usize,
    /// Connections that a leaf accepts.
    pub connections: usize,
    /// Connections that an entry opens to a leaf.
    pub pool: usize,
    /// Connections more while some are quiet.
    pub spare: usize,
    /// Time to open a connection.
    pub open: Duration,
    /// Median time of a call.
    pub median: Duration,
    /// One-way latency within a failure domain.
    pub near: Duration,
    /// One-way latency between failure domains.
    pub far: Duration,
    /// Length of a run.
    pub span: Duration,
    /// Calls that a leaf queues.
    pub queue: usize,
}

impl Shape {
    /// Ladder of Flipperhouse League Search, with seven entries.
    #[must_use]
    pub fn ladder() -> Self {
        Self {
            service: ServiceName::new("ladder").expect("a legal name"),
            entries: 7,
            domains: 3,
            shards: 10,
            replicas: 3,
            leafs: 30,
            slots: 5,
            connections: 40,
            pool: 2,
            spare: 2,
            open: Duration::from_millis(6),
            median: Duration::from_millis(4),
            near: Duration::from_micros(300),
            far: Duration::from_micros(1500),
            span: Duration::from_secs(20),
            queue: 64,
        }
    }

    /// Archive-reader of Hangin Pollen, with seven entries.
    #[must_use]
    pub fn archive() -> Self {
        Self {
            service: ServiceName::new("archive-reader").expect("a legal name"),
            shards: 20,
            leafs: 20,
            slots: 4,
            open: Duration::from_millis(1),
            median: Duration::from_millis(12),
            far: Duration::from_millis(1),
            ..Self::ladder()
        }
    }

    /// A wide fan-out, towards the size to design for: 300 shards.
    #[must_use]
    pub fn wide() -> Self {
        Self {
            service: ServiceName::new("wide").expect("a legal name"),
            shards: 300,
            leafs: 900,
            ..Self::ladder()
        }
    }

    /// Queries a second that the slots can serve.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let slots = (self.leafs * self.slots) as f64;
        slots / (self.shards as f64 * self.median.as_secs_f64() * mean_factor())
    }
}

#[derive(Debug)]
enum Event {
    Arrive,
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

struct Item {
    at: Time,
    seq: u64,
    event: Event,
}

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl Eq for Item {}

impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Item {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// Time from which latencies count, so that the start of the run doesn't.
const WARM: Duration = Duration::from_secs(2);
/// Deadline of a query.
const DEADLINE: Duration = Duration::from_secs(1);
/// Deadline of an archive query.
const ARCHIVE_DEADLINE: Duration = Duration::from_secs(10);
/// Time in which a connection's pings find that it is silent.
const PING_FINDS: Duration = Duration::from_millis(1500);
/// Longest wait for the answer to a probe of a quiet connection.
const PROBE_WAIT: Duration = Duration::from_millis(50);
/// Time between two readings of the health and load endpoints.
const HINTS: Duration = Duration::from_secs(1);
/// How long the leafs keep the old index version beside the new one.
const OLD_KEPT: Duration = Duration::from_millis(500);
/// How long a frozen entry stops.
const FREEZE: Duration = Duration::from_secs(10);
/// Times that a query may start over, as in the daemon.
const RESTARTS: u32 = 3;

struct Sim<'a> {
    shape: &'a Shape,
    condition: &'a Condition,
    now: Time,
    seq: u64,
    events: BinaryHeap<Reverse<Item>>,
    entries: Vec<Entry>,
    leafs: Vec<Leaf>,
    arrivals: ChaCha8Rng,
    services: ChaCha8Rng,
    next_query: u64,
    outcome: Outcome,
    extra: Vec<Duration>,
    lying: bool,
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
        seq: 0,
        events: BinaryHeap::new(),
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
        while let Some(Reverse(item)) = self.events.pop() {
            if item.at > end + DEADLINE {
                break;
            }
            self.now = item.at;
            self.handle(item.event);
        }
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.at(self.now + span, event);
    }

    fn at(&mut self, at: Time, event: Event) {
        self.seq += 1;
        let item = Item {
            at,
            seq: self.seq,
            event,
        };
        self.events.push(Reverse(item));
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

    fn arrive(&mut self) {
        let rate = self.shape.capacity() * self.condition.load;
        let gap = -(1.0 - unit(&mut self.arrivals)).ln() / rate;
        if self.now < Time::ZERO + self.shape.span {
            self.after(Duration::from_secs_f64(gap), Event::Arrive);
        } else {
            return;
        }
        let urgency = self.draw_urgency();
        let entry = self.draw_entry();
        let id = self.next_query;
        self.next_query += 1;
        let span = match urgency {
            Urgency::Archive => ARCHIVE_DEADLINE,
            Urgency::Now | Urgency::Normal => DEADLINE,
        };
        let request = Request {
            urgency,
            arrived: self.now,
            deadline: self.now + span,
            started: None,
            query: None,
            restarts: 0,
            ticking: Time::MAX,
        };
        if self.counted(&request) {
            self.outcome.arrived += 1;
            if let Some(outcome) = self.outcome.urgencies.get_mut(&urgency) {
                outcome.arrived += 1;
            }
        }
        self.offer(entry, id, request);
    }

    fn draw_urgency(&mut self) -> Urgency {
        let mut draw = unit(&mut self.arrivals);
        for (urgency, share) in self.condition.mix {
            draw -= share;
            if draw < 0.0 {
                return urgency;
            }
        }
        Urgency::Normal
    }

    /// Callers use live entries; one that is frozen is noticed by nobody.
    fn draw_entry(&mut self) -> usize {
        loop {
            let entry = (self.arrivals.next_u64() % self.entries.len() as u64) as usize;
            if !self.entries[entry].dead {
                return entry;
            }
        }
    }

    fn offer(&mut self, at: usize, id: u64, request: Request) {
        let order = Order {
            id: RequestId(id),
            urgency: request.urgency,
            deadline: request.deadline,
            yields: match request.urgency {
                Urgency::Now => Yields::No,
                Urgency::Normal | Urgency::Archive => Yields::Yes,
            },
        };
        let mut out = Vec::new();
        let entry = &mut self.entries[at];
        entry.requests.insert(id, request);
        let decision = entry
            .admission
            .offer(order, self.now, &mut entry.rng, &mut out);
        self.decided(at, id, decision);
        self.release(at, out);
        self.arm_expiry(at);
    }

    fn arm_expiry(&mut self, at: usize) {
        if let Some(wake) = self.entries[at].admission.wake() {
            let least = self.now + Duration::from_millis(1);
            self.at(wake.max(least), Event::Expire { entry: at });
        }
    }

    fn expire(&mut self, at: usize) {
        let mut out = Vec::new();
        let entry = &mut self.entries[at];
        entry.admission.expire(self.now, &mut entry.rng, &mut out);
        self.release(at, out);
    }

    fn release(&mut self, at: usize, out: Vec<Release>) {
        for release in out {
            self.decided(at, release.id.0, release.decision);
        }
    }

    fn decided(&mut self, at: usize, id: u64, decision: Decision) {
        match decision {
            Decision::Run => self.start(at, id),
            Decision::Wait => {}
            Decision::Refuse { reason, .. } => {
                if let Some(request) = self.entries[at].requests.remove(&id) {
                    self.count_refusal(&request, reason);
                }
            }
        }
    }

    fn start(&mut self, at: usize, id: u64) {
        let now = self.now;
        let Some(request) = self.entries[at].requests.get_mut(&id) else {
            return;
        };
        request.started.get_or_insert(now);
        let deadline = request.deadline;
        let Some(routes) = self.entries[at].pin(now) else {
            self.end_unserved(at, id);
            return;
        };
        let config = QueryConfig {
            deadline,
            least: Share::WHOLE,
        };
        let mut actions = Vec::new();
        let entry = &mut self.entries[at];
        let mut cx = Context {
            table: &mut entry.table,
            now,
            rng: &mut entry.rng,
            out: &mut actions,
        };
        let query = Query::start(routes, None, config, &mut cx);
        if let Some(request) = entry.requests.get_mut(&id) {
            request.query = Some(query);
        }
        self.act(at, id, actions);
    }

    fn end_unserved(&mut self, at: usize, id: u64) {
        let Some(request) = self.entries[at].requests.remove(&id) else {
            return;
        };
        self.count_refusal(&request, Reason::NoSnapshot);
        self.admission_done(at, Ran::default());
    }

    /// Passes an event to a query and does what it asks for.
    fn event(&mut self, at: usize, id: u64, event: impl FnOnce(&mut Query<()>, &mut Context<'_>)) {
        let entry = &mut self.entries[at];
        let Some(query) = entry.requests.get_mut(&id).and_then(|r| r.query.as_mut()) else {
            return;
        };
        let mut actions = Vec::new();
        let mut cx = Context {
            table: &mut entry.table,
            now: self.now,
            rng: &mut entry.rng,
            out: &mut actions,
        };
        event(query, &mut cx);
        self.act(at, id, actions);
    }

    fn act(&mut self, at: usize, id: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call {
                    call, to, shards, ..
                } => {
                    let leaf = self.entries[at].leaf_of(to);
                    let version = self.version_of(at, id);
                    let waiting = Waiting {
                        query: id,
                        call,
                        shards,
                        version,
                    };
                    self.send(at, leaf, waiting);
                }
                Action::Cancel(call) => self.cancel(at, id, call),
            }
        }
        self.follow(at, id);
    }

    fn version_of(&self, at: usize, id: u64) -> IndexVersion {
        let query = self.entries[at]
            .requests
            .get(&id)
            .and_then(|r| r.query.as_ref());
        query.map_or(IndexVersion(0), |q| q.routes().snapshot.version)
    }

    /// Finishes a query that has ended, or arms its timer.
    fn follow(&mut self, at: usize, id: u64) {
        let Some(request) = self.entries[at].requests.get_mut(&id) else {
            return;
        };
        let Some(query) = &request.query else {
            return;
        };
        let Some(end) = query.end() else {
            let wake = query.wake();
            if wake < request.ticking || request.ticking <= self.now {
                request.ticking = wake;
                self.at(
                    wake,
                    Event::Tick {
                        entry: at,
                        query: id,
                    },
                );
            }
            return;
        };
        if end == End::Partial(Give::SnapshotLost) && request.restarts < RESTARTS {
            request.restarts += 1;
            request.ticking = Time::MAX;
            self.start(at, id);
            return;
        }
        self.end(at, id, end);
    }

    fn end(&mut self, at: usize, id: u64, end: End) {
        let Some(request) = self.entries[at].requests.remove(&id) else {
            return;
        };
        let Some(query) = &request.query else {
            return;
        };
        let span = self.now.since(request.started.unwrap_or(self.now));
        let ran = Ran {
            span,
            calls: query.calls() as u32,
            sheds: query.sheds(),
        };
        if self.counted(&request) {
            let coverage = query.coverage();
            self.outcome.ran += 1;
            self.outcome.covered += coverage.answered as f64 / coverage.asked.max(1) as f64;
            match end {
                End::Whole => self.count_whole(&request),
                End::Partial(_) => self.outcome.short += 1,
            }
        }
        self.admission_done(at, ran);
    }

    fn admission_done(&mut self, at: usize, ran: Ran) {
        let mut out = Vec::new();
        let entry = &mut self.entries[at];
        let now = self.now;
        entry.admission.done(ran, now, &mut entry.rng, &mut out);
        self.release(at, out);
    }

    fn counted(&self, request: &Request) -> bool {
        request.arrived >= Time::ZERO + WARM
    }

    fn count_whole(&mut self, request: &Request) {
        let us = self.now.since(request.arrived).as_micros() as u64;
        let us = us.clamp(1, MAX_US);
        self.outcome.whole += 1;
        self.outcome.latency.saturating_record(us);
        if let Some(outcome) = self.outcome.urgencies.get_mut(&request.urgency) {
            outcome.whole += 1;
            outcome.latency.saturating_record(us);
        }
    }

    fn count_refusal(&mut self, request: &Request, reason: Reason) {
        if !self.counted(request) {
            return;
        }
        *self.outcome.refused.entry(reason).or_default() += 1;
        let us = self.now.since(request.arrived).as_micros() as u64;
        self.outcome.refusal.saturating_record(us.clamp(1, MAX_US));
    }

    // Connections and leafs.

    fn send(&mut self, at: usize, leaf: usize, call: Waiting) {
        let now = self.now;
        let link = &mut self.entries[at].links[leaf];
        match link.pool.pick(now) {
            Pick::Use(conn) => self.transmit(at, leaf, conn, call),
            Pick::Open(conn) => {
                link.waiting.push(call);
                self.open(at, leaf, conn);
            }
            Pick::Wait => link.waiting.push(call),
            Pick::Down => self.fail(at, &call, Failure::NotSent),
        }
    }

    fn fail(&mut self, at: usize, call: &Waiting, failure: Failure) {
        let id = call.call;
        self.event(at, call.query, |query, cx| query.fail(id, failure, cx));
    }

    fn open(&mut self, at: usize, leaf: usize, conn: ConnId) {
        let round = self.latency(at, leaf) * 2;
        let span = self.shape.open + round;
        self.after(
            span,
            Event::Opened {
                entry: at,
                leaf,
                conn,
            },
        );
    }

    fn opened(&mut self, at: usize, leaf: usize, conn: ConnId) {
        let now = self.now;
        let refused =
            self.leafs[leaf].dead || self.leafs[leaf].connections >= self.shape.connections;
        let link = &mut self.entries[at].links[leaf];
        let waiting = std::mem::take(&mut link.waiting);
        if refused {
            link.pool.refused(conn, now);
            for call in waiting {
                self.fail(at, &call, Failure::NotSent);
            }
            return;
        }
        link.pool.opened(conn);
        let quiet = link.pool.quiet(now);
        self.leafs[leaf].connect();
        if now > Time::ZERO + WARM {
            self.entries[at].opened += 1;
        }
        for conn in quiet {
            self.probe(at, leaf, conn);
        }
        for call in waiting {
            self.send(at, leaf, call);
        }
    }

    /// Asks a quiet connection for a small answer.
    fn probe(&mut self, at: usize, leaf: usize, conn: ConnId) {
        let silent = self.entries[at].links[leaf].silent.contains(&conn);
        let span = if silent {
            PROBE_WAIT
        } else {
            self.latency(at, leaf) * 2
        };
        self.after(
            span,
            Event::Probed {
                entry: at,
                leaf,
                conn,
            },
        );
    }

    fn probed(&mut self, at: usize, leaf: usize, conn: ConnId) {
        let now = self.now;
        let link = &mut self.entries[at].links[leaf];
        if link.silent.contains(&conn) {
            self.found_silent(at, leaf, conn);
        } else {
            link.pool.alive(conn, now);
        }
    }

    fn check(&mut self, at: usize, leaf: usize) {
        let now = self.now;
        if let Some(conn) = self.entries[at].links[leaf].pool.check(now) {
            self.open(at, leaf, conn);
        }
    }

    fn transmit(&mut self, at: usize, leaf: usize, conn: ConnId, call: Waiting) {
        let span = self.latency(at, leaf);
        let link = &mut self.entries[at].links[leaf];
        link.pool.sent(conn, self.now);
        link.flying.insert((call.query, call.call), conn);
        let looks = PATIENCE + Duration::from_millis(1);
        self.after(looks, Event::Check { entry: at, leaf });
        let link = &self.entries[at].links[leaf];
        if link.silent.contains(&conn) {
            return;
        }
        let job = Job {
            entry: at,
            query: call.query,
            call: call.call,
            conn,
            version: call.version,
            shards: call.shards,
        };
        self.after(span, Event::AtLeaf { leaf, job });
    }

    fn latency(&self, at: usize, leaf: usize) -> Duration {
        let (a, b) = (self.entries[at].domain, self.leafs[leaf].domain);
        let base = if a == b {
            self.shape.near
        } else {
            self.shape.far
        };
        base + self.extra[b]
    }

    fn at_leaf(&mut self, leaf: usize, job: Job) {
        if self.leafs[leaf].dead {
            self.answer(leaf, job, Err(Failure::Lost));
            return;
        }
        if !self.leafs[leaf].versions.contains(&job.version) {
            self.answer(leaf, job, Err(Failure::Refused(Refusal::NoSnapshot)));
            return;
        }
        match self.leafs[leaf].take(job.clone()) {
            Taken::Runs(number) => self.serve(leaf, number),
            Taken::Waits => {}
            Taken::Shed => self.answer(leaf, job, Err(Failure::Refused(Refusal::Shed))),
        }
    }

    fn serve(&mut self, leaf: usize, number: u64) {
        let mut span = service_time(self.shape.median, &mut self.services);
        span = span.mul_f64(self.leafs[leaf].factor(self.now));
        for fault in &self.condition.faults {
            if let Fault::Stragglers { share, factor } = fault
                && unit(&mut self.services) < *share
            {
                span = span.mul_f64(*factor);
            }
        }
        self.after(span, Event::LeafDone { leaf, number });
    }

    fn leaf_done(&mut self, leaf: usize, number: u64) {
        let Some((job, next)) = self.leafs[leaf].done(number) else {
            return;
        };
        if let Some(next) = next {
            self.serve(leaf, next);
        }
        self.answer(leaf, job, Ok(()));
    }

    fn answer(&mut self, leaf: usize, job: Job, result: Result<(), Failure>) {
        let span = self.latency(job.entry, leaf);
        self.after(span, Event::Reply { job, leaf, result });
    }

    fn reply(&mut self, job: &Job, leaf: usize, result: Result<(), Failure>) {
        let (at, now) = (job.entry, self.now);
        if self.entries[at].dead {
            return;
        }
        let link = &mut self.entries[at].links[leaf];
        if link.silent.contains(&job.conn) {
            return;
        }
        if link.flying.remove(&(job.query, job.call)).is_none() {
            return;
        }
        match result {
            Err(Failure::Lost) => link.pool.closed(job.conn),
            _ => link.pool.answered(job.conn, now),
        }
        let call = job.call;
        match result {
            Ok(()) => {
                let parts = job.shards.iter().map(|shard| (*shard, ())).collect();
                let version = job.version;
                self.event(at, job.query, |q, cx| q.answer(call, version, parts, cx));
            }
            Err(failure) => self.event(at, job.query, |q, cx| q.fail(call, failure, cx)),
        }
    }

    fn cancel(&mut self, at: usize, query: u64, call: CallId) {
        for leaf in 0..self.leafs.len() {
            let link = &mut self.entries[at].links[leaf];
            link.waiting.retain(|w| (w.query, w.call) != (query, call));
            let Some(conn) = link.flying.remove(&(query, call)) else {
                continue;
            };
            link.pool.missed(conn);
            let span = self.latency(at, leaf);
            self.after(
                span,
                Event::CancelAt {
                    leaf,
                    entry: at,
                    query,
                    call,
                },
            );
            return;
        }
    }

    /// The pings of a connection found that it is silent: it closes, and the
    /// calls on it are lost.
    fn found_silent(&mut self, at: usize, leaf: usize, conn: ConnId) {
        if self.entries[at].links[leaf].silent.contains(&conn) {
            self.entries[at].links[leaf].pool.closed(conn);
            self.close(at, leaf, conn);
        }
    }

    /// Closes a silent connection; the calls on it are cut off.
    fn close(&mut self, at: usize, leaf: usize, conn: ConnId) {
        self.leafs[leaf].connections = self.leafs[leaf].connections.saturating_sub(1);
        let link = &mut self.entries[at].links[leaf];
        link.silent.retain(|c| *c != conn);
        let lost: Vec<(u64, CallId)> = link
            .flying
            .iter()
            .filter(|(_, c)| **c == conn)
            .map(|(key, _)| *key)
            .collect();
        for (query, call) in lost {
            self.entries[at].links[leaf].flying.remove(&(query, call));
            self.event(at, query, |q, cx| q.fail(call, Failure::Cut, cx));
        }
    }

    fn tick(&mut self, at: usize, id: u64) {
        if let Some(request) = self.entries[at].requests.get_mut(&id) {
            request.ticking = Time::MAX;
        }
        self.event(at, id, |query, cx| query.tick(cx));
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

    // Faults.

    fn fault(&mut self, number: usize) {
        match self.condition.faults[number] {
            Fault::SlowLeaf { factor } => self.leafs[0].slow = factor,
            Fault::SlowDomain { extra } => self.extra[0] = extra,
            Fault::LostLeaf => self.lose_leaf(0),
            Fault::LostDomain => {
                for leaf in 0..self.leafs.len() {
                    if self.leafs[leaf].domain == 0 {
                        self.lose_leaf(leaf);
                    }
                }
            }
            Fault::ColdLeafs => {
                for leaf in (0..self.leafs.len()).step_by(self.shape.replicas) {
                    self.leafs[leaf].cold = Some(self.now);
                }
            }
            Fault::NewVersion => self.new_version(),
            Fault::SilentConnections => self.silence(),
            Fault::DeadEntry => {
                self.entries[0].dead = true;
                self.entries[0].requests.clear();
            }
            Fault::FrozenEntry => self.entries[0].frozen = Some(self.now + FREEZE),
            Fault::None | Fault::Stragglers { .. } | Fault::LyingHealth | Fault::Shedding => {}
        }
    }

    fn fault_ends(&mut self, number: usize) {
        match self.condition.faults[number] {
            Fault::SlowLeaf { .. } => self.leafs[0].slow = 1.0,
            Fault::FrozenEntry => self.entries[0].frozen = None,
            _ => {}
        }
    }

    fn lose_leaf(&mut self, leaf: usize) {
        self.leafs[leaf].dead = true;
        for job in self.leafs[leaf].drop_all() {
            self.answer(leaf, job, Err(Failure::Lost));
        }
        self.leafs[leaf].connections = 0;
        for entry in &mut self.entries {
            entry.links[leaf].pool = chestnut_route::Pool::new(self.shape.pool, self.shape.spare);
        }
    }

    fn new_version(&mut self) {
        let version = IndexVersion(2);
        for leaf in &mut self.leafs {
            leaf.versions.push(version);
        }
        for entry in &mut self.entries {
            entry.add_version(self.shape, version, 1);
        }
        self.after(OLD_KEPT, Event::DropOld);
    }

    fn silence(&mut self) {
        for at in 0..self.entries.len() {
            for leaf in 0..self.leafs.len() / 3 {
                let silent = self.entries[at].links[leaf].pool.ids();
                self.entries[at].links[leaf].silent = silent.clone();
                for conn in silent {
                    self.after(
                        PING_FINDS,
                        Event::Silent {
                            entry: at,
                            leaf,
                            conn,
                        },
                    );
                }
            }
        }
    }

    fn finish(mut self) -> Outcome {
        for entry in &self.entries {
            let gauge = entry.table.gauge();
            self.outcome.first += gauge.first;
            self.outcome.hedges += gauge.hedges;
            self.outcome.retries += gauge.retries;
            self.outcome.shards += gauge.shards;
            self.outcome.evictions += gauge.evictions;
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

/// When a fault starts and ends in a run of `span`.
fn fault_times(fault: &Fault, span: Duration) -> (Duration, Option<Duration>) {
    let third = span / 3;
    match fault {
        Fault::SlowLeaf { .. } => (third, Some(third * 2)),
        Fault::FrozenEntry => (third, Some(third + FREEZE)),
        Fault::SlowDomain { .. } => (Duration::ZERO, None),
        _ => (third, None),
    }
}
