//! What back ends may be sent that crash when they get more than a rate while cold.

use std::{collections::VecDeque, time::Duration};

use chestnut_unit::Time;

use crate::{Ix, Table};

/// Time over which calls to a cold back end are counted: the second in which its bound
/// holds, and what a call may spend between its decision and its way out.
pub const COLD_WINDOW: Duration = Duration::from_millis(1250);

/// What this entry may send to the cold back ends of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Permit {
    /// Calls in any [`COLD_WINDOW`], to each of them.
    pub calls: u32,
    /// Until when.
    pub until: Time,
}

/// A back end whose calls are bounded while it is cold.
#[derive(Clone, Debug)]
pub(crate) struct Cold {
    /// When it is warm.
    until: Time,
    /// From when on it may be called at all. Calls to it from before it was known to be
    /// cold count too.
    from: Time,
    permit: Permit,
    /// Calls of the last window.
    sent: VecDeque<Time>,
}

impl Cold {
    fn count(&self, now: Time) -> usize {
        let recent = self.sent.iter().rev();
        recent
            .take_while(|at| now.since(**at) < COLD_WINDOW)
            .count()
    }

    fn allows(&self, now: Time) -> bool {
        now >= self.until
            || now >= self.from
                && now < self.permit.until
                && self.count(now) < self.permit.calls as usize
    }

    fn sent(&mut self, now: Time) {
        if now >= self.until {
            return;
        }
        let old = |at: &Time| now.since(*at) >= COLD_WINDOW;
        while self.sent.front().is_some_and(old) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}

impl Table {
    /// Bounds what a back end is sent until it is warm, at `until`. Nothing is sent
    /// before [`Table::permit`].
    pub fn set_cold(&mut self, ix: Ix, until: Time, now: Time) {
        let state = &mut self.states[ix.index()];
        let called = state.called.map_or(Time::ZERO, |at| at + COLD_WINDOW);
        match &mut state.cold {
            Some(cold) if now < cold.until => cold.until = cold.until.max(until),
            cold => {
                *cold = Some(Cold {
                    until,
                    from: called,
                    permit: Permit::default(),
                    sent: VecDeque::new(),
                });
            }
        }
    }

    /// Sets what this entry may send to a cold back end. Of one that is warm, nothing is
    /// bounded.
    pub fn permit(&mut self, ix: Ix, permit: Permit) {
        if let Some(cold) = &mut self.states[ix.index()].cold {
            cold.permit = permit;
        }
    }

    /// Lifts the bound.
    pub fn set_warm(&mut self, ix: Ix) {
        self.states[ix.index()].cold = None;
    }

    /// Until when a call to a back end may go out; none if its calls are not bounded.
    #[must_use]
    pub fn permitted_until(&self, ix: Ix, now: Time) -> Option<Time> {
        let cold = self.states[ix.index()].cold.as_ref();
        let cold = cold.filter(|cold| now < cold.until)?;
        Some(cold.permit.until)
    }

    /// Whether a back end is cold, and may be sent no call now.
    #[must_use]
    pub(crate) fn is_held_back(&self, ix: Ix, now: Time) -> bool {
        let cold = self.states[ix.index()].cold.as_ref();
        cold.is_some_and(|cold| !cold.allows(now))
    }

    pub(crate) fn note_call(&mut self, ix: Ix, now: Time) {
        let state = &mut self.states[ix.index()];
        state.called = Some(now);
        if let Some(cold) = &mut state.cold {
            cold.sent(now);
        }
    }
}
