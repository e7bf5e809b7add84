//! Whether back ends have room for a call.

use std::time::Duration;

use chestnut_unit::{IndexVersion, Time};

use crate::{Bounds, Class, Ix, PurseId, Table, choose::tiers};

/// A call is late for its back end's window when it takes longer than this many
/// median calls of its class. Random variation seldom reaches it (a log-normal
/// spread of 0.5 in one call of seventy), a queue as long as the slots does.
const LATE_MEDIANS: f64 = 3.0;
/// Part of the goal from which on a call is late whatever is usual: more leaves
/// no time for a second one. Without it a service that is overloaded as a whole
/// would look usual to itself.
const LATE_GOAL: f64 = 0.5;
/// Calls of a class that must have ended before any is judged late.
const SAMPLES_NEEDED: u64 = 32;
/// Least time between two cuts of a window for refusals: about a call, so that
/// calls sent together count once.
const REFUSED_ROUND: Duration = Duration::from_millis(20);

/// Least time that a call is taken to need, so that a rate stays finite.
const SPAN_LEAST: Duration = Duration::from_micros(100);

impl Table {
    /// Bounds the calls that are under way at a back end. Without bounds there
    /// is no limit.
    pub fn set_bounds(&mut self, ix: Ix, bounds: Bounds) {
        self.states[ix.index()].window.set_bounds(bounds);
    }

    /// Sets within what time callers want the answers that calls of a class
    /// belong to.
    pub fn set_goal(&mut self, class: Class, goal: Duration) {
        self.profiles[class.index()].goal = Some(goal);
    }

    /// Calls that may be under way at a back end.
    #[must_use]
    pub fn window(&self, ix: Ix) -> u32 {
        self.states[ix.index()].window.size()
    }

    /// Whether a back end can take one more call.
    #[must_use]
    pub fn has_room(&self, ix: Ix) -> bool {
        let state = &self.states[ix.index()];
        state.outstanding < state.window.size()
    }

    /// Whether some of `replicas` could be called now.
    pub(crate) fn any_room(&self, replicas: &[Ix], version: IndexVersion, now: Time) -> bool {
        // Mostly one of them is sound and has room. Sorting them all out for
        // each shard of each query takes an eighth of the time of decisions.
        let sound = |ix: &&Ix| {
            self.is_open(**ix, version, now)
                && !self.is_doubted(**ix)
                && !self.is_resting(**ix, now)
                && self.evicted_until(**ix, now).is_none()
        };
        if replicas.iter().filter(sound).any(|ix| self.has_room(*ix)) {
            return true;
        }
        let tiers = tiers(self, replicas, &[], version, now);
        let first = tiers.into_iter().find(|tier| !tier.is_empty());
        first.is_some_and(|tier| tier.into_iter().any(|ix| self.has_room(ix)))
    }

    /// Calls of `class` a second for which the best of `replicas` have places.
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
            let span = self.expected_span(class, ix, now).max(SPAN_LEAST);
            f64::from(self.window(ix)) / span.as_secs_f64()
        };
        first.unwrap_or_default().into_iter().map(rate).sum()
    }

    /// Queries that wait for room at a service and have made no call.
    pub(crate) fn held(&self, purse: PurseId) -> u32 {
        self.held.get(&purse).copied().unwrap_or(0)
    }

    pub(crate) fn hold(&mut self, purse: PurseId) {
        *self.held.entry(purse).or_default() += 1;
    }

    pub(crate) fn release(&mut self, purse: PurseId) {
        if let Some(held) = self.held.get_mut(&purse) {
            *held = held.saturating_sub(1);
        }
    }

    /// Fits a window to a call that was answered after `span`.
    pub(crate) fn fit_window(&mut self, class: Class, ix: Ix, span: Duration, now: Time) {
        if self.cut_if_late(class, ix, span, now) {
            return;
        }
        let state = &mut self.states[ix.index()];
        state.window.grow(state.outstanding);
    }

    /// Fits a window to a call that had not been answered after `span`; tells
    /// whether it was late.
    pub(crate) fn cut_if_late(&mut self, class: Class, ix: Ix, span: Duration, now: Time) -> bool {
        let late = self.late_after(class).filter(|late| span > *late);
        if let Some(round) = late {
            self.states[ix.index()].window.cut(round, now);
        }
        late.is_some()
    }

    /// Fits a window to a call that was refused for want of room.
    pub(crate) fn cut_for_refusal(&mut self, ix: Ix, now: Time) {
        self.states[ix.index()].window.cut(REFUSED_ROUND, now);
    }

    fn late_after(&self, class: Class) -> Option<Duration> {
        let profile = &self.profiles[class.index()];
        if profile.calls.count() < SAMPLES_NEEDED {
            return None;
        }
        let usual = profile.calls.median().mul_f64(LATE_MEDIANS);
        let goal = profile.goal.map(|goal| goal.mul_f64(LATE_GOAL));
        Some(goal.map_or(usual, |goal| usual.min(goal)))
    }
}
