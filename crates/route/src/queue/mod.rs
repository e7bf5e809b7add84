//! The capacity queue: the order in which queries that lack capacity start.
//!
//! Queries that need the same shards form a shape; only the first query of a shape is checked
//! when capacity is freed. A query that can start is granted the capacity and woken. Until it
//! starts, the capacity is promised to it and no other queued query gets it.

mod bound;
mod demand;
mod meter;
mod rank;
mod shape;
mod shares;
mod stats;
mod wake;

use std::collections::{BTreeMap, BTreeSet};

use bound::WaitMargin;
use chestnut_unit::Time;
pub(crate) use demand::{Demand, Request};
pub(crate) use rank::{Cost, Standing};
use rank::{Level, Place, Rank, Tag};
use shape::Shape;
use shares::{FlowKey, Shares};
pub use stats::QueueStats;
pub(crate) use wake::{Arrival, Poll};

use crate::BudgetId;

/// Maximum number of waiting queries and single shards. Beyond that the last in order is refused.
const QUEUE_MAX: usize = 1_024;
/// Number of shapes from which those without queries are dropped.
const SHAPES_KEPT: usize = 64;

/// Identifies a query in the capacity queue, to wake it. Ids increase with arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaiterId(u64);

/// Index of a shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ShapeId(u64);

/// Whether a query waits or has been woken.
#[derive(Clone, Debug)]
enum State {
    Waiting,
    /// It may start with the shards at these positions, whose capacity is promised to it.
    Granted(Vec<usize>),
    /// It is refused because the queue is full.
    Displaced,
}

/// A query in the queue.
#[derive(Clone, Debug)]
struct Waiter {
    shape: ShapeId,
    flow: FlowKey,
    level: Level,
    place: Place,
    cost: Cost,
    since: Time,
    until: Time,
    latest_start: Time,
    /// Whether it is a query without calls, not one shard of a query that has started.
    whole: bool,
    /// Services that lacked capacity when the query arrived.
    services: BTreeSet<BudgetId>,
    state: State,
}

/// The capacity queue of one table.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityQueue {
    shapes: BTreeMap<ShapeId, Shape>,
    waiters: BTreeMap<WaiterId, Waiter>,
    shares: Shares,
    /// Number of calls promised to queries that were woken and have not started.
    promised: BTreeMap<BudgetId, u32>,
    /// Number of queries and single shards that wait.
    waiting: usize,
    woken: Vec<WaiterId>,
    counts: BTreeMap<BudgetId, QueueStats>,
    margin: WaitMargin,
    /// The latest time seen, for changes that are reported without one.
    now: Time,
    next_waiter: u64,
    next_shape: u64,
}

impl CapacityQueue {
    /// Returns the latest time seen.
    pub(crate) fn latest_time(&self) -> Time {
        self.now
    }

    /// Returns the ids of the queries to wake since the last call of this function.
    pub(crate) fn take_woken(&mut self) -> Vec<WaiterId> {
        std::mem::take(&mut self.woken)
    }

    /// Returns whether a query waits for capacity of a service.
    pub(crate) fn is_awaited(&self, service: BudgetId) -> bool {
        let mut waiting = self.shapes.values().filter(|shape| !shape.is_empty());
        waiting.any(|shape| shape.lacks(service))
    }

    /// Returns the number of queries that wait and have made no call.
    pub(crate) fn len(&self) -> usize {
        let waits = |waiter: &&Waiter| waiter.whole && matches!(waiter.state, State::Waiting);
        self.waiters.values().filter(waits).count()
    }

    /// Returns the number of owners whose share is kept.
    pub(crate) fn owners(&self) -> usize {
        self.shares.len()
    }

    /// Returns counts and lengths by service.
    pub(crate) fn stats(&self, now: Time) -> BTreeMap<BudgetId, QueueStats> {
        let mut stats = self.counts.clone();
        for waiter in self.waiters.values() {
            if !waiter.whole || !matches!(waiter.state, State::Waiting) {
                continue;
            }
            for service in &waiter.services {
                let entry = stats.entry(*service).or_default();
                entry.waiting += 1;
                entry.longest_wait = entry.longest_wait.max(now.since(waiter.since));
            }
        }
        stats
    }

    /// Charges the owner of a query that starts at once.
    pub(crate) fn charge_start(&mut self, request: &Request, now: Time) {
        self.now = now;
        let flow = flow_of(request);
        if self.waiting == 0 {
            let tag = self.shares.tag(flow, None);
            self.shares.charge(flow, tag, request.cost);
            return;
        }
        let shape = self.find_shape(&request.demand);
        let tag = self.start_tag(flow, shape, level_of(request));
        self.charge(flow, tag, request.cost);
        let shape = shape.filter(|_| request.whole);
        if let Some(shape) = shape.and_then(|id| self.shapes.get_mut(&id)) {
            shape.meter.record(level_of(request), now);
        }
    }

    /// Returns the rank that a query would have if it were queued.
    fn rank(&self, request: &Request) -> Rank {
        let level = level_of(request);
        let shape = self.find_shape(&request.demand);
        Rank {
            level,
            tag: self.start_tag(flow_of(request), shape, level),
            owner: request.rank.owner,
            place: Place {
                first_attempt: !request.rank.returning,
                objective: request.objective,
                id: WaiterId(self.next_waiter),
            },
        }
    }

    /// Returns the services for which queries wait that go before `rank`.
    fn claimed_before(&self, rank: &Rank) -> BTreeSet<BudgetId> {
        let before = |shape: &&Shape| shape.head().is_some_and(|head| head < *rank);
        let shapes = self.shapes.values().filter(before);
        shapes
            .flat_map(|shape| shape.lacking.iter().map(|at| shape.demand.service(*at)))
            .collect()
    }

    /// Returns the start tag of a query of `flow` that arrives at a shape.
    fn start_tag(&self, flow: FlowKey, shape: Option<ShapeId>, level: Level) -> Tag {
        let shape = shape.and_then(|id| self.shapes.get(&id));
        let base = shape.and_then(|shape| shape.first_tag(level));
        self.shares.tag(flow, base)
    }

    /// Returns the shape of a demand.
    fn find_shape(&self, demand: &Demand) -> Option<ShapeId> {
        let mut shapes = self.shapes.iter();
        let found = shapes.find(|(_, shape)| shape.demand.is_same(demand));
        found.map(|(id, _)| *id)
    }

    /// Adds a query to the queue and returns its id.
    fn enqueue(&mut self, request: &Request, lacking: &BTreeSet<usize>, now: Time) -> WaiterId {
        let rank = self.rank(request);
        let found = self.find_shape(&request.demand);
        let id = found.unwrap_or_else(|| self.add_shape(request.demand.clone()));
        if let Some(shape) = self.shapes.get_mut(&id) {
            // `lacking` may include shards claimed by queries that go after the first of the
            // shape, so it applies only to a new first one.
            if shape.head().is_none_or(|head| rank < head) {
                shape.lacking.clone_from(lacking);
            }
        }
        self.next_waiter += 1;
        let waiter = Waiter {
            shape: id,
            flow: flow_of(request),
            level: rank.level,
            place: rank.place,
            cost: request.cost,
            since: now,
            until: request.until,
            latest_start: request.latest_start,
            whole: request.whole,
            services: request.demand.services_at(lacking),
            state: State::Waiting,
        };
        self.insert(&waiter, rank.tag, now);
        self.waiters.insert(rank.place.id, waiter);
        rank.place.id
    }

    /// Adds a shape, and drops those without queries if there are many.
    fn add_shape(&mut self, demand: Demand) -> ShapeId {
        if self.shapes.len() >= SHAPES_KEPT {
            let used: BTreeSet<ShapeId> = self.waiters.values().map(|w| w.shape).collect();
            self.shapes.retain(|id, _| used.contains(id));
        }
        let id = ShapeId(self.next_shape);
        self.next_shape += 1;
        self.shapes.insert(id, Shape::new(demand));
        id
    }

    /// Inserts a waiting query into its shape.
    fn insert(&mut self, waiter: &Waiter, tag: Tag, now: Time) {
        let (flow, level) = (waiter.flow, waiter.level);
        if let Some(shape) = self.shapes.get_mut(&waiter.shape) {
            shape.insert(level, tag, flow.owner, waiter.place, waiter.cost);
            shape.meter.resume(now);
            self.waiting += 1;
        }
        self.set_tag(flow, tag);
        self.shares.enter(flow, (waiter.shape, level));
    }

    /// Removes a waiting query from its shape.
    fn take_out(&mut self, waiter: &Waiter, now: Time) {
        self.shares.exit(waiter.flow, (waiter.shape, waiter.level));
        let Some(shape) = self.shapes.get_mut(&waiter.shape) else {
            return;
        };
        shape.remove(waiter.level, waiter.flow.owner, &waiter.place);
        self.waiting -= 1;
        if shape.is_empty() {
            shape.meter.pause(now);
            shape.armed = None;
        }
    }

    /// Adds the cost of a query that starts at `tag` to its owner's share.
    fn charge(&mut self, flow: FlowKey, tag: Tag, cost: Cost) {
        let next = self.shares.charge(flow, tag, cost);
        self.move_flow(flow, next);
    }

    /// Sets the tag of an owner wherever its queries wait.
    fn set_tag(&mut self, flow: FlowKey, tag: Tag) {
        self.shares.set_tag(flow, tag);
        self.move_flow(flow, tag);
    }

    /// Updates the order of the shapes in which an owner's queries wait.
    fn move_flow(&mut self, flow: FlowKey, tag: Tag) {
        for (shape, level) in self.shares.spots(flow) {
            if let Some(shape) = self.shapes.get_mut(&shape) {
                shape.set_tag(level, flow.owner, tag);
            }
        }
    }

    /// Returns the first query of a shape, after moving those that have become late.
    fn head(&mut self, id: ShapeId, now: Time) -> Option<Rank> {
        loop {
            let head = self.shapes.get(&id)?.head()?;
            let waiter = self.waiters.get(&head.place.id)?;
            if head.level.standing != Standing::InTime || now <= waiter.latest_start {
                return Some(head);
            }
            self.mark_late(head.place.id, head.tag, now);
        }
    }

    /// Moves a waiting query behind those that can still meet their objective.
    fn mark_late(&mut self, id: WaiterId, tag: Tag, now: Time) {
        let Some(mut waiter) = self.waiters.remove(&id) else {
            return;
        };
        self.take_out(&waiter, now);
        waiter.level.standing = Standing::Late;
        self.insert(&waiter, tag, now);
        self.waiters.insert(id, waiter);
    }

    /// Promises the capacity of the shards at `positions` to the first query of a shape, and
    /// wakes it.
    fn grant(&mut self, head: &Rank, positions: Vec<usize>, now: Time) {
        let Some(mut waiter) = self.waiters.remove(&head.place.id) else {
            return;
        };
        if let Some(shape) = self.shapes.get_mut(&waiter.shape) {
            // The meter counts only while queries wait, so before this one is taken out.
            if waiter.whole {
                shape.meter.record(head.level, now);
            }
            for position in &positions {
                let service = shape.demand.service(*position);
                *self.promised.entry(service).or_default() += 1;
            }
        }
        self.take_out(&waiter, now);
        self.charge(waiter.flow, head.tag, waiter.cost);
        waiter.state = State::Granted(positions);
        self.waiters.insert(head.place.id, waiter);
        self.woken.push(head.place.id);
    }

    /// Takes back the capacity promised to a query.
    fn withdraw(&mut self, shape: ShapeId, positions: &[usize]) {
        let Some(shape) = self.shapes.get(&shape) else {
            return;
        };
        for position in positions {
            let service = shape.demand.service(*position);
            if let Some(count) = self.promised.get_mut(&service) {
                *count -= 1;
                if *count == 0 {
                    self.promised.remove(&service);
                }
            }
        }
    }

    /// Returns the cost of a granted query that doesn't start to its owner's share, and the
    /// owner's tag.
    fn refund(&mut self, waiter: &Waiter) -> Tag {
        let tag = self.shares.tag(waiter.flow, Some(Tag::default()));
        let tag = tag.before(waiter.cost);
        self.set_tag(waiter.flow, tag);
        tag
    }

    /// Marks the last query in order as displaced and wakes it; returns it if it is `arrived`.
    fn displace_last(&mut self, arrived: WaiterId, now: Time) -> Option<WaiterId> {
        let last = self.shapes.values().filter_map(Shape::last).max()?;
        let id = last.place.id;
        let waiter = self.waiters.get(&id)?.clone();
        self.take_out(&waiter, now);
        if waiter.whole {
            self.count(&waiter.services, |stats| stats.displaced += 1);
        }
        if id == arrived {
            self.waiters.remove(&id);
            return Some(id);
        }
        self.waiters.get_mut(&id)?.state = State::Displaced;
        self.woken.push(id);
        None
    }

    /// Counts an event at the services whose lack of capacity held a query up.
    fn count(&mut self, services: &BTreeSet<BudgetId>, event: impl Fn(&mut QueueStats)) {
        for service in services {
            event(self.counts.entry(*service).or_default());
        }
    }
}

/// Returns the owner's flow of a query.
fn flow_of(request: &Request) -> FlowKey {
    FlowKey {
        urgency: request.rank.urgency,
        owner: request.rank.owner,
    }
}

/// Returns the level of a query.
fn level_of(request: &Request) -> Level {
    Level {
        urgency: request.rank.urgency,
        standing: request.standing,
    }
}
