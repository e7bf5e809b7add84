//! A service in virtual time whose back ends have fixed windows, for tests of the capacity queue.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{collections::BTreeMap, ops::Range, sync::Arc, time::Duration};

use chestnut_route::{
    Action, Backend, BoundedWait, Bounds, BudgetId, CallId, Context, End, ExtraBudget, Ix, OwnerId,
    PartialReason, Query, QueryConfig, QueueConfig, QueueRank, Route, Routes, Table, TableConfig,
    Timeliness, Trust, choose_replica,
};
use chestnut_unit::{IndexVersion, LeafId, ServiceName, ShardName, Share, Snapshot, Time, Urgency};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

/// The version that the queries read.
pub const VERSION: IndexVersion = IndexVersion(1);
/// Typical duration of a call.
pub const CALL: Duration = Duration::from_millis(10);
/// Latency objective of the queries unless a test sets another.
pub const OBJECTIVE: Duration = Duration::from_millis(200);

/// Returns a duration of `count` milliseconds.
pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns the time `count` milliseconds after the start.
pub fn at(count: u64) -> Time {
    Time::from_millis(count)
}

/// One query to send.
#[derive(Clone, Debug)]
pub struct Ask {
    pub at: Time,
    pub rank: QueueRank,
    pub objective: Duration,
    pub timeout: Duration,
    pub least: Share,
    pub timeliness: Timeliness,
    pub trust: Trust,
    /// Requested shards.
    pub shards: Range<usize>,
    /// When the caller leaves, after the arrival.
    pub leaves_after: Option<Duration>,
}

impl Ask {
    /// A query of `owner` over `shards` shards that arrives at `at`.
    pub fn new(at: Time, owner: u64, shards: usize) -> Self {
        Self {
            at,
            rank: QueueRank {
                urgency: Urgency::Normal,
                owner: OwnerId(owner),
                weight: 1.0,
                returning: false,
                max_wait: 0.2,
            },
            objective: OBJECTIVE,
            timeout: ms(2_500),
            least: Share::FULL,
            timeliness: Timeliness::InTime,
            trust: Trust::Trusted,
            shards: 0..shards,
            leaves_after: None,
        }
    }

    /// The end of the wait of a query without capacity.
    pub fn bound(&self) -> Duration {
        self.objective.mul_f64(self.rank.max_wait)
    }
}

/// What became of a query.
#[derive(Clone, Debug)]
pub struct Done {
    pub ask: Ask,
    /// When it made its first call.
    pub started: Option<Time>,
    /// When it made its last call.
    pub last_call: Option<Time>,
    pub ended: Time,
    pub end: End,
    pub not_run: bool,
}

impl Done {
    /// Whether it was refused for lack of capacity, with proof that it has not run.
    pub fn is_refused(&self) -> bool {
        self.end == End::Partial(PartialReason::NoCapacity) && self.not_run
    }

    /// Whether it was refused after it had waited.
    pub fn is_refused_after_wait(&self) -> bool {
        self.is_refused() && self.ended > self.ask.at
    }

    /// Whether it was answered within its objective.
    pub fn is_in_time(&self) -> bool {
        self.end == End::Complete && self.ended <= self.ask.at + self.ask.objective
    }

    /// Time from its arrival to its first call.
    pub fn wait(&self) -> Option<Duration> {
        Some(self.started?.since(self.ask.at))
    }
}

/// An event of the service.
#[derive(Debug)]
enum Event {
    Arrive(Box<Ask>),
    Answer(usize, CallId),
    Tick(usize),
    Woken(usize),
    Leave(usize),
    Vanish(usize),
}

/// A query that has not ended, with its calls in flight.
struct Running {
    ask: Ask,
    query: Query<()>,
    started: Option<Time>,
    last_call: Option<Time>,
    calls: BTreeMap<CallId, Vec<usize>>,
}

/// The service, its queries and what became of them.
pub struct World {
    pub table: Table,
    pub routes: Arc<Routes>,
    pub now: Time,
    pub done: Vec<Done>,
    /// Factor on the duration of calls, by back end.
    pub slowness: BTreeMap<Ix, f64>,
    /// Whether the queries wait in the ordered queue.
    pub ordered: bool,
    /// Whether those that don't wait with the bound of their rank, returning ones first.
    pub bounded: bool,
    /// Time from the wake-up of a query to its tick.
    pub wake_delay: Duration,
    /// Number of ticks of queries.
    pub ticks: usize,
    rng: ChaCha8Rng,
    running: BTreeMap<usize, Running>,
    events: BTreeMap<(Time, usize), Event>,
    next_event: usize,
    next_query: usize,
}

impl World {
    /// A service of `shards` shards with `replicas` back ends each, which this entry may send
    /// `window` calls at once. 64 calls of the typical duration are known.
    pub fn new(shards: usize, replicas: usize, window: u32) -> Self {
        Self::with_config(shards, replicas, window, TableConfig::default())
    }

    /// As [`World::new`], with a table of `config`.
    pub fn with_config(shards: usize, replicas: usize, window: u32, config: TableConfig) -> Self {
        let mut table = Table::new(config);
        let shards: Vec<Route> = (0..shards)
            .map(|shard| Route {
                name: ShardName::new(format!("s{shard}")).unwrap(),
                replicas: (0..replicas)
                    .map(|replica| add_leaf(&mut table, shard, replica, window))
                    .collect(),
                budget: add_budget(&mut table),
            })
            .collect();
        for _ in 0..64 {
            for route in &shards {
                for ix in &route.replicas {
                    table.answered(*ix, CALL, Time::ZERO);
                }
            }
        }
        Self {
            table,
            routes: Arc::new(Routes {
                snapshot: Snapshot {
                    service: ServiceName::new("ladder").unwrap(),
                    version: VERSION,
                },
                shards,
            }),
            now: Time::ZERO,
            done: Vec::new(),
            slowness: BTreeMap::new(),
            ordered: true,
            bounded: false,
            wake_delay: Duration::ZERO,
            ticks: 0,
            rng: ChaCha8Rng::seed_from_u64(1),
            running: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            next_query: 0,
        }
    }

    /// Sets the window of the back ends of one shard.
    pub fn set_window(&mut self, shard: usize, window: u32) {
        for ix in self.routes.shards[shard].replicas.clone() {
            self.table.set_bounds(ix, fixed(window));
        }
    }

    /// Sends `queries` queries per second in the span, at random times.
    pub fn load(&mut self, span: Range<u64>, queries: f64, ask: &Ask) {
        let mut at = Time::from_millis(span.start);
        loop {
            let draw = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
            at = at + Duration::from_secs_f64(-(1.0 - draw).ln() / queries);
            if at >= Time::from_millis(span.end) {
                return;
            }
            self.ask(Ask { at, ..ask.clone() });
        }
    }

    /// Sends one query.
    pub fn ask(&mut self, ask: Ask) {
        self.schedule(ask.at, Event::Arrive(Box::new(ask)));
    }

    /// Lets all back ends of a shard vanish at `at`.
    pub fn vanish(&mut self, at: Time, shard: usize) {
        self.schedule(at, Event::Vanish(shard));
    }

    /// Runs until no event is left or `end` is reached.
    pub fn run(&mut self, end: Time) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                return;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle(event);
            self.wake();
            self.assert_no_lost_wake_up();
        }
    }

    /// Checks, after the last event of a moment, that no query waits while every shard has
    /// capacity.
    fn assert_no_lost_wake_up(&mut self) {
        let next = self.events.first_key_value();
        let last = next.is_none_or(|((at, _), _)| *at > self.now);
        if !last || self.table.queue_len() == 0 || self.wake_delay > Duration::ZERO {
            return;
        }
        let (table, rng, now) = (&mut self.table, &mut self.rng, self.now);
        let mut shards = self.routes.shards.iter();
        let free = shards
            .all(|shard| choose_replica(table, &shard.replicas, &[], VERSION, now, rng).is_some());
        assert!(
            !free,
            "queries wait at {now:?} although all shards have capacity"
        );
    }

    /// Returns the number of queries that have not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(ask) => self.start(*ask),
            Event::Answer(number, call) => {
                let shards = self
                    .running
                    .get_mut(&number)
                    .and_then(|r| r.calls.remove(&call));
                if let Some(shards) = shards {
                    let parts = shards.into_iter().map(|shard| (shard, ())).collect();
                    self.with(number, |query, cx| query.answer(call, VERSION, parts, cx));
                }
            }
            Event::Tick(number) => {
                let due = |running: &Running| running.query.next_tick() <= self.now;
                if self.running.get(&number).is_some_and(due) {
                    self.tick(number);
                }
            }
            Event::Woken(number) => self.tick(number),
            Event::Leave(number) => self.with(number, Query::cancel_all),
            Event::Vanish(shard) => {
                for ix in self.routes.shards[shard].replicas.clone() {
                    self.table.set_leaving(ix, true, self.now);
                }
            }
        }
    }

    /// Ticks the woken queries until none is woken, or schedules their ticks.
    pub fn wake(&mut self) {
        loop {
            let woken = self.table.take_woken();
            if woken.is_empty() {
                return;
            }
            for id in woken {
                let waits = |(_, running): &(&usize, &Running)| {
                    running.query.waiters().any(|own| own == id)
                };
                let number = self.running.iter().find(waits).map(|(number, _)| *number);
                match number {
                    Some(number) if self.wake_delay > Duration::ZERO => {
                        self.schedule(self.now + self.wake_delay, Event::Woken(number));
                    }
                    Some(number) => self.tick(number),
                    None => {}
                }
            }
        }
    }

    fn tick(&mut self, number: usize) {
        self.ticks += 1;
        self.with(number, Query::tick);
    }

    fn start(&mut self, ask: Ask) {
        let mut config = QueryConfig::new(self.now + ask.timeout, ask.least);
        config.objective = self.now + ask.objective;
        config.timeliness = ask.timeliness;
        config.trust = ask.trust;
        if self.ordered {
            config.queue = QueueConfig::Ordered(ask.rank);
        } else if self.bounded {
            config.queue = QueueConfig::Bounded(BoundedWait {
                max_wait: ask.rank.max_wait,
                returning: ask.rank.returning,
            });
        }
        let shards: Vec<usize> = ask.shards.clone().collect();
        let mut actions = Vec::new();
        let mut cx = Context {
            table: &mut self.table,
            now: self.now,
            rng: &mut self.rng,
            actions: &mut actions,
        };
        let query = Query::start(self.routes.clone(), Some(&shards), config, &mut cx);
        let number = self.next_query;
        self.next_query += 1;
        if let Some(after) = ask.leaves_after {
            self.schedule(self.now + after, Event::Leave(number));
        }
        let running = Running {
            ask,
            query,
            started: None,
            last_call: None,
            calls: BTreeMap::new(),
        };
        self.running.insert(number, running);
        self.after(number, actions);
    }

    /// Passes an event to a query that has not ended.
    fn with(&mut self, number: usize, event: impl FnOnce(&mut Query<()>, &mut Context<'_>)) {
        let Some(running) = self.running.get_mut(&number) else {
            return;
        };
        let mut actions = Vec::new();
        let mut cx = Context {
            table: &mut self.table,
            now: self.now,
            rng: &mut self.rng,
            actions: &mut actions,
        };
        event(&mut running.query, &mut cx);
        self.after(number, actions);
    }

    /// Performs the actions of a query, and records its end or schedules its next tick.
    fn after(&mut self, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call {
                    call, to, shards, ..
                } => {
                    let ends = self.now + self.duration(to);
                    self.schedule(ends, Event::Answer(number, call));
                    let running = self.running.get_mut(&number).unwrap();
                    running.started.get_or_insert(self.now);
                    running.last_call = Some(self.now);
                    running.calls.insert(call, shards);
                }
                Action::Cancel(call) => {
                    self.running.get_mut(&number).unwrap().calls.remove(&call);
                }
            }
        }
        let running = &self.running[&number];
        if let Some(end) = running.query.end() {
            let running = self.running.remove(&number).unwrap();
            self.done.push(Done {
                not_run: running.query.not_run().is_some(),
                ask: running.ask,
                started: running.started,
                last_call: running.last_call,
                ended: self.now,
                end,
            });
        } else {
            let next = running.query.next_tick().max(self.now);
            self.schedule(next, Event::Tick(number));
        }
    }

    /// Draws the duration of a call: half to one and a half times the typical one.
    fn duration(&mut self, to: Ix) -> Duration {
        let draw = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        let slowness = self.slowness.get(&to).copied().unwrap_or(1.0);
        CALL.mul_f64((0.5 + draw) * slowness)
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.events.insert((at, self.next_event), event);
        self.next_event += 1;
    }
}

/// Bounds that keep a window at one size.
pub fn fixed(window: u32) -> Bounds {
    Bounds {
        min: window,
        max: window,
    }
}

fn add_leaf(table: &mut Table, shard: usize, replica: usize, window: u32) -> Ix {
    let id = LeafId::new(format!("l{shard}-{replica}")).unwrap();
    let ix = table.add(Backend::Leaf(id), 4, Time::ZERO);
    table.set_bounds(ix, fixed(window));
    ix
}

fn add_budget(table: &mut Table) -> BudgetId {
    let share = Share::from_permille(50);
    table.add_budget(ExtraBudget::split(share, share, 4))
}
