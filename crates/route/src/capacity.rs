//! Capacity of back ends: concurrency windows and queued queries.

use std::time::Duration;

use chestnut_unit::{IndexVersion, Time};

use crate::{Bounds, BudgetId, Class, Ix, Table, choose::tiers};

/// Multiple of the class's median duration above which a call is late and shrinks its back
/// end's window. Random variation seldom exceeds it (a log-normal spread of 0.5 does so in one
/// call of seventy); a queue as long as the slots does.
const LATE_MEDIANS: f64 = 3.0;
/// Fraction of the latency objective above which a call is late whatever the median, which
/// rises too when the whole service is overloaded. A higher fraction would leave no time for a
/// second call.
const LATE_OBJECTIVE: f64 = 0.5;
/// Number of finished calls of a class before any is classified as late.
const SAMPLES_NEEDED: u64 = 32;
/// Minimum time between two decreases of a window for refusals. Calls sent
/// together count once.
const REFUSAL_ROUND: Duration = Duration::from_millis(20);

/// Lower bound on a call's expected duration, which keeps drain rates finite.
const SPAN_MIN: Duration = Duration::from_micros(100);

/// Queries that poll for capacity at a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Queued {
    /// All of them.
    pub(crate) all: u32,
    /// Those of returning callers that first attempts leave capacity to.
    pub(crate) claims: u32,
}

impl Table {
    /// Sets bounds on the concurrency window of a back end. Without bounds the
    /// number of calls is unlimited.
    pub fn set_bounds(&mut self, ix: Ix, bounds: Bounds) {
        self.states[ix.index()].window.set_bounds(bounds);
        self.capacity_freed(ix, self.queue.latest_time());
    }

    /// Sets the callers' latency objective for a class.
    pub fn set_objective(&mut self, class: Class, objective: Duration) {
        self.profiles[class.index()].objective = Some(objective);
    }

    /// Returns the number of calls that may be in flight at a back end,
    /// `u32::MAX` without bounds.
    #[must_use]
    pub fn window(&self, ix: Ix) -> u32 {
        self.states[ix.index()].window.size()
    }

    /// Returns whether a back end has fewer calls in flight than its window
    /// allows.
    #[must_use]
    pub fn has_capacity(&self, ix: Ix) -> bool {
        let state = &self.states[ix.index()];
        state.outstanding < state.window.size()
    }

    /// Returns whether any of `replicas` can be called for `version` now: one
    /// of the best tier that isn't empty has capacity.
    pub(crate) fn any_free(&self, replicas: &[Ix], version: IndexVersion, now: Time) -> bool {
        // Fast path: a healthy replica usually has capacity, and sorting the
        // replicas into tiers for every shard of every query is expensive.
        let healthy = |ix: &&Ix| {
            self.is_open(**ix, version, now)
                && !self.is_suspected(**ix)
                && !self.in_backoff(**ix, now)
                && self.evicted_until(**ix, now).is_none()
        };
        if replicas
            .iter()
            .filter(healthy)
            .any(|ix| self.has_capacity(*ix))
        {
            return true;
        }
        let tiers = tiers(self, replicas, &[], version, now);
        let first = tiers.into_iter().find(|tier| !tier.is_empty());
        first.is_some_and(|tier| tier.into_iter().any(|ix| self.has_capacity(ix)))
    }

    /// Returns the rate, in calls of `class` per second, at which capacity is
    /// freed at the best tier of `replicas`; 0 if none may be called for
    /// `version`.
    pub(crate) fn drain_rate(
        &self,
        class: Class,
        replicas: &[Ix],
        version: IndexVersion,
        now: Time,
    ) -> f64 {
        let tiers = tiers(self, replicas, &[], version, now);
        let first = tiers.into_iter().find(|tier| !tier.is_empty());
        let rate = |ix: Ix| {
            let span = self.expected_span(class, ix, now).max(SPAN_MIN);
            f64::from(self.window(ix)) / span.as_secs_f64()
        };
        first.unwrap_or_default().into_iter().map(rate).sum()
    }

    /// Returns how many calls the best tier of `replicas` that isn't empty has capacity for.
    pub(crate) fn free_calls(&self, replicas: &[Ix], version: IndexVersion, now: Time) -> u32 {
        let tiers = tiers(self, replicas, &[], version, now);
        let first = tiers.into_iter().find(|tier| !tier.is_empty());
        let free = |ix: Ix| {
            let state = &self.states[ix.index()];
            state.window.size().saturating_sub(state.outstanding)
        };
        let free = first.unwrap_or_default().into_iter().map(free);
        free.fold(0, u32::saturating_add)
    }

    /// Returns the queries queued for capacity at the service of a budget.
    pub(crate) fn queued(&self, budget: BudgetId) -> Queued {
        self.queued.get(&budget).copied().unwrap_or_default()
    }

    /// Returns whether queries wait for capacity at the service of a budget, in either kind of
    /// queue.
    pub(crate) fn is_awaited(&self, budget: BudgetId) -> bool {
        self.queued(budget).all > 0 || self.queue.is_awaited(budget)
    }

    /// Counts a query that starts to wait for capacity.
    pub(crate) fn enqueue(&mut self, budget: BudgetId) {
        self.queued.entry(budget).or_default().all += 1;
    }

    /// Removes a query from the count of those queued.
    pub(crate) fn dequeue(&mut self, budget: BudgetId) {
        if let Some(queued) = self.queued.get_mut(&budget) {
            queued.all = queued.all.saturating_sub(1);
        }
    }

    /// Counts a query of a returning caller that first attempts leave capacity to.
    pub(crate) fn claim(&mut self, budget: BudgetId) {
        self.queued.entry(budget).or_default().claims += 1;
    }

    /// Removes a query from the count of those that first attempts leave capacity to.
    pub(crate) fn release_claim(&mut self, budget: BudgetId) {
        if let Some(queued) = self.queued.get_mut(&budget) {
            queued.claims = queued.claims.saturating_sub(1);
        }
    }

    /// Adjusts a window after a call that was answered after `span`: shrinks it
    /// if the call was late, and grows it otherwise.
    pub(crate) fn adjust_window(&mut self, class: Class, ix: Ix, span: Duration, now: Time) {
        if self.shrink_if_late(class, ix, span, now) {
            return;
        }
        let state = &mut self.states[ix.index()];
        state.window.grow(state.outstanding);
    }

    /// Shrinks a window if a call that has taken `span` is late; returns
    /// whether it is.
    pub(crate) fn shrink_if_late(
        &mut self,
        class: Class,
        ix: Ix,
        span: Duration,
        now: Time,
    ) -> bool {
        let late = self.late_after(class).filter(|late| span > *late);
        if let Some(round) = late {
            self.states[ix.index()].window.shrink(round, now);
        }
        late.is_some()
    }

    /// Shrinks a window after a call that was shed, at most once per
    /// [`REFUSAL_ROUND`].
    pub(crate) fn shrink_for_refusal(&mut self, ix: Ix, now: Time) {
        self.states[ix.index()].window.shrink(REFUSAL_ROUND, now);
    }

    /// Returns the duration above which a call of `class` is late, from its
    /// median and objective; `None` until enough calls have finished.
    fn late_after(&self, class: Class) -> Option<Duration> {
        let profile = &self.profiles[class.index()];
        if profile.calls.count() < SAMPLES_NEEDED {
            return None;
        }
        let usual = profile.calls.median().mul_f64(LATE_MEDIANS);
        let objective = profile
            .objective
            .map(|objective| objective.mul_f64(LATE_OBJECTIVE));
        Some(objective.map_or(usual, |objective| usual.min(objective)))
    }
}
