//! Rate limit for cold leafs: leafs that have just started and crash when they get more
//! than a certain rate of calls before they are warm.

use std::{collections::VecDeque, time::Duration};

use chestnut_unit::Time;

use crate::{Ix, Table};

/// Window over which calls to a cold leaf are counted: the second of its rate limit,
/// plus the delay between the decision to call and the sending.
pub const COLD_WINDOW: Duration = Duration::from_millis(1250);

/// What this entry may send to each cold leaf of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdPermit {
    /// Calls to each cold leaf in any [`COLD_WINDOW`].
    pub max_calls: u32,
    /// Time at which the permit expires.
    pub expires: Time,
}

/// Rate limit of one cold back end.
#[derive(Clone, Debug)]
pub(crate) struct ColdLimit {
    /// Time at which the back end is warm.
    until: Time,
    /// Earliest time of a call: one [`COLD_WINDOW`] after the last call that was sent
    /// before the rate limit began, as those calls aren't in `calls`.
    callable_from: Time,
    permit: ColdPermit,
    /// Times of the calls in the last window.
    calls: VecDeque<Time>,
}

impl ColdLimit {
    /// Number of recorded calls in the [`COLD_WINDOW`] before `now`.
    fn recent_calls(&self, now: Time) -> usize {
        let recent = self.calls.iter().rev();
        recent
            .take_while(|at| now.since(**at) < COLD_WINDOW)
            .count()
    }

    /// Whether a call may be sent at `now`: always once the back end is warm, before
    /// that only from `callable_from` on, under an unexpired permit that isn't used up.
    fn allows_call(&self, now: Time) -> bool {
        now >= self.until
            || now >= self.callable_from
                && now < self.permit.expires
                && self.recent_calls(now) < self.permit.max_calls as usize
    }

    /// Records a call at `now` unless the back end is warm, and drops those that left
    /// the window.
    fn record_call(&mut self, now: Time) {
        if now >= self.until {
            return;
        }
        let is_old = |at: &Time| now.since(*at) >= COLD_WINDOW;
        while self.calls.front().is_some_and(is_old) {
            self.calls.pop_front();
        }
        self.calls.push_back(now);
    }
}

impl Table {
    /// Rate-limits calls to a back end that is cold until `until`. No call is allowed
    /// before [`Table::permit`]. If it is already limited, only the end is extended.
    pub fn start_cold_limit(&mut self, ix: Ix, until: Time, now: Time) {
        let state = &mut self.states[ix.index()];
        let callable_from = state.last_call.map_or(Time::ZERO, |at| at + COLD_WINDOW);
        match &mut state.cold {
            Some(cold) if now < cold.until => cold.until = cold.until.max(until),
            cold => {
                *cold = Some(ColdLimit {
                    until,
                    callable_from,
                    permit: ColdPermit::default(),
                    calls: VecDeque::new(),
                });
            }
        }
    }

    /// Sets the permit for a cold back end; does nothing for one without a rate limit.
    pub fn permit(&mut self, ix: Ix, permit: ColdPermit) {
        if let Some(cold) = &mut self.states[ix.index()].cold {
            cold.permit = permit;
        }
        self.capacity_freed(ix, self.queue.latest_time());
    }

    /// Removes the rate limit of a back end that is warm, even before the time at which
    /// the limit would end.
    pub fn end_cold_limit(&mut self, ix: Ix) {
        self.states[ix.index()].cold = None;
        self.capacity_freed(ix, self.queue.latest_time());
    }

    /// Expiry of the permit of a cold back end; `None` if it isn't rate-limited or is
    /// warm by `now`.
    #[must_use]
    pub fn permitted_until(&self, ix: Ix, now: Time) -> Option<Time> {
        let cold = self.states[ix.index()].cold.as_ref();
        let cold = cold.filter(|cold| now < cold.until)?;
        Some(cold.permit.expires)
    }

    /// The next time after `now` at which the rate limit of a cold back end may allow a
    /// call without a new permit; `None` if it isn't rate-limited.
    pub(crate) fn cold_limit_end(&self, ix: Ix, now: Time) -> Option<Time> {
        let cold = self.states[ix.index()].cold.as_ref()?;
        let oldest = cold.calls.front().map(|at| *at + COLD_WINDOW);
        let ends = [Some(cold.until), Some(cold.callable_from), oldest];
        ends.into_iter().flatten().filter(|end| now < *end).min()
    }

    /// Whether a back end is cold and its rate limit allows no call now.
    #[must_use]
    pub(crate) fn is_rate_limited(&self, ix: Ix, now: Time) -> bool {
        let cold = self.states[ix.index()].cold.as_ref();
        cold.is_some_and(|cold| !cold.allows_call(now))
    }

    /// Records the time of a call as the last one, and for the rate limit of a cold
    /// back end.
    pub(crate) fn record_call_time(&mut self, ix: Ix, now: Time) {
        let state = &mut self.states[ix.index()];
        state.last_call = Some(now);
        if let Some(cold) = &mut state.cold {
            cold.record_call(now);
        }
    }
}
