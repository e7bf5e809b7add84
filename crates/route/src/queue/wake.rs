//! Decisions on queued queries: start, wait, refuse and wake.

use std::collections::{BTreeMap, BTreeSet};

use chestnut_unit::Time;

use super::{
    CapacityQueue, Demand, QUEUE_MAX, QueueStats, Request, ShapeId, State, WaiterId, rank::Rank,
    shape::Shape,
};
use crate::{BudgetId, Ix, Table, choose::tiers};

/// Decision on a query that asks for capacity.
#[derive(Debug)]
pub(crate) enum Arrival {
    /// It starts with the shards at these positions; the others lack capacity.
    Start(Vec<usize>),
    /// It waits.
    Wait(WaiterId),
    /// It is refused for lack of capacity at the shards at these positions.
    Refuse(Vec<usize>),
}

/// Decision on a query that waits.
#[derive(Debug)]
pub(crate) enum Poll {
    /// It starts with the shards at these positions.
    Start(Vec<usize>),
    /// It waits; the time is that of its next check.
    Wait(Time),
    /// It is refused for lack of capacity at the shards at these positions.
    Refuse(Vec<usize>),
}

impl Table {
    /// Returns and clears the ids of the queued queries to wake. Their tasks must call
    /// [`Query::tick`](crate::Query::tick).
    pub fn take_woken(&mut self) -> Vec<WaiterId> {
        self.queue.take_woken()
    }

    /// Returns counts and lengths of the capacity queue by service, which is identified by its
    /// budget.
    #[must_use]
    pub fn queue_stats(&self, now: Time) -> BTreeMap<BudgetId, QueueStats> {
        self.queue.stats(now)
    }

    /// Returns the number of queries that wait in the capacity queue and have made no call.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of owners whose share of the capacity is kept.
    #[must_use]
    pub fn queue_owners(&self) -> usize {
        self.queue.owners()
    }

    /// Decides on a query that asks for capacity: it starts if enough shards have capacity,
    /// without those for which queries wait that go first. Otherwise it waits, or is refused if
    /// the wait would be too long.
    pub(crate) fn arrive(&mut self, request: &Request, now: Time) -> Arrival {
        self.queue.now = now;
        let claimed = match self.queue.waiting {
            0 => BTreeSet::new(),
            _ => self.queue.claimed_before(&self.queue.rank(request)),
        };
        let (available, lacking) = self.assess(&request.demand, &claimed, now);
        if available.len() >= request.demand.needed {
            self.queue.charge_start(request, now);
            return Arrival::Start(available);
        }
        let too_long = request.whole && self.exceeds_wait(request, &lacking, now);
        if now >= request.until || too_long {
            if request.whole {
                let services = request.demand.services_at(&lacking);
                self.queue
                    .count(&services, |stats| stats.refused_on_arrival += 1);
                self.queue.margin.refused_on_arrival();
            }
            return Arrival::Refuse(lacking.into_iter().collect());
        }
        let id = self.queue.enqueue(request, &lacking, now);
        if self.queue.waiting > QUEUE_MAX && self.queue.displace_last(id, now).is_some() {
            return Arrival::Refuse(lacking.into_iter().collect());
        }
        Arrival::Wait(id)
    }

    /// Decides on a query that waits or was woken. [`Poll::Start`] and [`Poll::Refuse`] remove
    /// it from the queue.
    pub(crate) fn poll_waiter(&mut self, id: WaiterId, now: Time) -> Poll {
        self.queue.now = now;
        self.confirm_grant(id, now);
        if let Some(shape) = self.queue.waiting_shape(id) {
            let from = BTreeSet::from([shape]);
            self.wake_ready(from, now);
        }
        let Some(waiter) = self.queue.waiters.get(&id) else {
            return Poll::Refuse(Vec::new());
        };
        let (shape, until, whole) = (waiter.shape, waiter.until, waiter.whole);
        // Single shards aren't counted.
        let services = match whole {
            true => waiter.services.clone(),
            false => BTreeSet::new(),
        };
        match waiter.state.clone() {
            State::Granted(positions) => {
                self.queue.waiters.remove(&id);
                self.queue.withdraw(shape, &positions);
                self.queue.count(&services, |stats| stats.woken += 1);
                Poll::Start(positions)
            }
            State::Waiting if now < until => Poll::Wait(self.next_waiter_check(id, now)),
            State::Waiting => {
                self.queue
                    .count(&services, |stats| stats.refused_after_wait += 1);
                if whole {
                    self.queue.margin.refused_after_wait();
                }
                self.refuse_waiter(id, shape, now)
            }
            State::Displaced => self.refuse_waiter(id, shape, now),
        }
    }

    /// Returns when a waiting query must be polled next: at the end of its wait, or when a
    /// cooldown ends, if it is the first of its shape.
    pub(crate) fn next_waiter_check(&mut self, id: WaiterId, now: Time) -> Time {
        let waiter = self.queue.waiters.get(&id);
        let Some((shape, until)) = waiter.map(|waiter| (waiter.shape, waiter.until)) else {
            return now;
        };
        self.next_check(id, shape, now).min(until)
    }

    /// Removes a query from the queue. What it was promised goes to the next ones.
    pub(crate) fn leave_capacity_queue(&mut self, id: WaiterId, now: Time) {
        let Some(waiter) = self.queue.waiters.remove(&id) else {
            return;
        };
        match &waiter.state {
            State::Waiting => {
                let shape = self.queue.shapes.get(&waiter.shape);
                let head = shape.and_then(Shape::head);
                self.queue.take_out(&waiter, now);
                if head.is_some_and(|head| head.place.id != id) {
                    // Only the first of a shape keeps others from starting.
                    return;
                }
            }
            State::Granted(positions) => {
                self.queue.withdraw(waiter.shape, positions);
                self.queue.refund(&waiter);
            }
            State::Displaced => return,
        }
        self.wake_all_ready(now);
    }

    /// Wakes the queries that can start after a back end may have got capacity.
    pub(crate) fn capacity_freed(&mut self, ix: Ix, now: Time) {
        if self.queue.waiting == 0 {
            return;
        }
        self.queue.now = now;
        let mut ready = BTreeSet::new();
        let ids: Vec<ShapeId> = self.queue.shapes.keys().copied().collect();
        for id in ids {
            if self.refresh(id, ix, now) {
                ready.insert(id);
            }
        }
        self.wake_ready(ready, now);
    }

    /// Wakes the queries that can start after a change of the back ends, and those of which
    /// `ix` held a shard, which may have to end.
    pub(crate) fn backend_changed(&mut self, ix: Ix) {
        if self.queue.waiting == 0 {
            return;
        }
        let queue = &mut self.queue;
        for (id, waiter) in &queue.waiters {
            let shape = queue.shapes.get(&waiter.shape);
            if shape.is_some_and(|shape| shape.demand.holds(ix)) {
                queue.woken.push(*id);
            }
        }
        let now = queue.now;
        self.wake_all_ready(now);
    }

    /// Wakes the queries of all shapes that can start.
    pub(crate) fn wake_all_ready(&mut self, now: Time) {
        let all = self.queue.shapes.keys().copied().collect();
        self.wake_ready(all, now);
    }

    /// Wakes the queries of the shapes in `candidates` that can start, in order.
    fn wake_ready(&mut self, mut candidates: BTreeSet<ShapeId>, now: Time) {
        loop {
            let heads = candidates.iter().copied().collect::<Vec<_>>().into_iter();
            let heads = heads.filter_map(|id| Some((self.queue.head(id, now)?, id)));
            let Some((head, id)) = heads.min() else {
                return;
            };
            if !self.grant_head(id, &head, now) {
                candidates.remove(&id);
            } else if self.queue.is_empty_shape(id) {
                // Shards that the queries of this shape waited for are no longer claimed.
                candidates = self.queue.shapes.keys().copied().collect();
            }
        }
    }

    /// Grants capacity to the first query of a shape if it can start; returns whether it can.
    fn grant_head(&mut self, id: ShapeId, head: &Rank, now: Time) -> bool {
        let claimed = self.queue.claimed_before(head);
        let Some(shape) = self.queue.shapes.get(&id) else {
            return false;
        };
        let demand = shape.demand.clone();
        let (available, lacking) = self.assess(&demand, &claimed, now);
        let starts = available.len() >= demand.needed;
        if let Some(shape) = self.queue.shapes.get_mut(&id) {
            shape.lacking = lacking;
        }
        match starts {
            true => self.queue.grant(head, available, now),
            false => {
                let end = self.next_cooldown(id, now);
                self.queue.arm(id, end);
            }
        }
        starts
    }

    /// Updates which shards of `ix` a shape lacks; returns whether its first query may start.
    fn refresh(&mut self, id: ShapeId, ix: Ix, now: Time) -> bool {
        let Some(shape) = self.queue.shapes.get(&id).filter(|shape| !shape.is_empty()) else {
            return false;
        };
        let lacking = shape.lacking_at(ix);
        if lacking.is_empty() {
            return false;
        }
        let free = |position: &usize| self.is_available(&shape.demand, *position, now);
        let freed: Vec<usize> = lacking.into_iter().filter(free).collect();
        if freed.is_empty() {
            let version = shape.demand.version();
            let end = self.cooldown_end(ix, version, now);
            self.queue.arm(id, end.unwrap_or(Time::MAX));
            return false;
        }
        let Some(shape) = self.queue.shapes.get_mut(&id) else {
            return false;
        };
        shape.lacking.retain(|position| !freed.contains(position));
        shape.may_start()
    }

    /// Splits the shards of a demand into those with capacity and those without, as positions.
    /// Shards of the services in `claimed` count as without.
    fn assess(
        &self,
        demand: &Demand,
        claimed: &BTreeSet<BudgetId>,
        now: Time,
    ) -> (Vec<usize>, BTreeSet<usize>) {
        let mut available = Vec::with_capacity(demand.shards.len());
        let mut lacking = BTreeSet::new();
        for position in 0..demand.shards.len() {
            let taken = claimed.contains(&demand.service(position));
            if !taken && self.is_available(demand, position, now) {
                available.push(position);
            } else {
                lacking.insert(position);
            }
        }
        (available, lacking)
    }

    /// Returns whether a shard has capacity that isn't promised to woken queries.
    fn is_available(&self, demand: &Demand, position: usize, now: Time) -> bool {
        match self.queue.promised.get(&demand.service(position)) {
            None => self.any_free(demand.replicas(position), demand.version(), now),
            Some(_) => self.free_places(demand, position, now) > 0,
        }
    }

    /// Returns the number of calls that the best replicas of a shard have capacity for, without
    /// those promised to woken queries.
    fn free_places(&self, demand: &Demand, position: usize, now: Time) -> u32 {
        let tiers = tiers(self, demand.replicas(position), &[], demand.version(), now);
        let best = tiers.into_iter().find(|tier| !tier.is_empty());
        let free = |ix: Ix| self.window(ix).saturating_sub(self.outstanding(ix));
        let free = best.unwrap_or_default().into_iter().map(free);
        let promised = self.queue.promised.get(&demand.service(position));
        let free = free.fold(0u32, u32::saturating_add);
        free.saturating_sub(promised.copied().unwrap_or(0))
    }

    /// Puts a granted query back into the queue if the capacity is gone, for example because a
    /// window has shrunk.
    fn confirm_grant(&mut self, id: WaiterId, now: Time) {
        let Some(waiter) = self.queue.waiters.get(&id) else {
            return;
        };
        let State::Granted(positions) = &waiter.state else {
            return;
        };
        let Some(shape) = self.queue.shapes.get(&waiter.shape) else {
            return;
        };
        let demand = &shape.demand;
        let free =
            |position: &&usize| self.any_free(demand.replicas(**position), demand.version(), now);
        if positions.iter().filter(free).count() >= demand.needed {
            return;
        }
        self.queue.put_back(id, now);
        self.wake_all_ready(now);
    }

    /// Removes a query that is refused; returns the refusal.
    fn refuse_waiter(&mut self, id: WaiterId, shape: ShapeId, now: Time) -> Poll {
        let shape = self.queue.shapes.get(&shape);
        let lacking = shape.map(|shape| shape.lacking.iter().copied().collect());
        self.leave_capacity_queue(id, now);
        Poll::Refuse(lacking.unwrap_or_default())
    }

    /// Returns when a waiting query must be checked again: when a cooldown ends, if it is the
    /// first of its shape.
    fn next_check(&mut self, id: WaiterId, shape: ShapeId, now: Time) -> Time {
        let head = self.queue.head(shape, now);
        if head.is_none_or(|head| head.place.id != id) {
            return Time::MAX;
        }
        let next = self.next_cooldown(shape, now);
        if let Some(shape) = self.queue.shapes.get_mut(&shape) {
            shape.armed = Some((id, next));
        }
        next
    }

    /// Returns when the first cooldown ends among the replicas of the shards that a shape lacks.
    fn next_cooldown(&self, shape: ShapeId, now: Time) -> Time {
        let Some(shape) = self.queue.shapes.get(&shape) else {
            return Time::MAX;
        };
        let replicas = shape.lacking.iter();
        let replicas = replicas.flat_map(|position| shape.demand.replicas(*position));
        let ends = replicas.filter_map(|ix| self.cooldown_end(*ix, shape.demand.version(), now));
        ends.min().unwrap_or(Time::MAX)
    }
}

impl CapacityQueue {
    /// Returns the shape of a query that waits.
    fn waiting_shape(&self, id: WaiterId) -> Option<ShapeId> {
        let waiter = self.waiters.get(&id)?;
        matches!(waiter.state, State::Waiting).then_some(waiter.shape)
    }

    /// Wakes the first query of a shape, to set a timer for the end of a cooldown, if it has none
    /// that is as early.
    fn arm(&mut self, id: ShapeId, end: Time) {
        let Some(shape) = self.shapes.get_mut(&id) else {
            return;
        };
        let Some(head) = shape.head().map(|head| head.place.id) else {
            return;
        };
        let armed = shape.armed;
        if end == Time::MAX || armed.is_some_and(|(by, at)| by == head && at <= end) {
            return;
        }
        shape.armed = Some((head, end));
        self.woken.push(head);
    }

    /// Returns whether no query of a shape waits.
    fn is_empty_shape(&self, id: ShapeId) -> bool {
        self.shapes.get(&id).is_none_or(Shape::is_empty)
    }

    /// Puts a granted query back into the queue, in its place.
    fn put_back(&mut self, id: WaiterId, now: Time) {
        let Some(mut waiter) = self.waiters.remove(&id) else {
            return;
        };
        if let State::Granted(positions) = std::mem::replace(&mut waiter.state, State::Waiting) {
            self.withdraw(waiter.shape, &positions);
            let tag = self.refund(&waiter);
            self.insert(&waiter, tag, now);
        }
        self.waiters.insert(id, waiter);
    }
}
