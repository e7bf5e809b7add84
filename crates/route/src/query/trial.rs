//! Queries whose request may crash the back ends that run it.
//!
//! A suspected query is a trial: it has a single call in flight until a back end has
//! answered one.

use chestnut_unit::Time;

use super::{CallKind, CallState, Context, End, Query, Trust, wait::Deferred};

/// Number of lost calls after which a query without any answer defers its other calls until a
/// first answer. It bounds the back ends that one request can crash. Without it, one request
/// over ten shards crashed ten leafs and, with the retries, two more of each shard.
const MAX_LOST: usize = 3;

impl<P> Query<P> {
    /// Returns whether the query must get a first answer before it calls more back ends:
    /// none has answered, and it is suspected or has lost [`MAX_LOST`] calls.
    pub(super) fn needs_first_answer(&self) -> bool {
        let suspected = self.config.trust == Trust::Suspected || self.lost >= MAX_LOST;
        suspected && !self.answered
    }

    /// Defers the calls of shards until the query has a first answer.
    pub(super) fn defer_until_answer(&mut self, positions: &[usize], kind: CallKind) {
        for position in positions {
            let at = Time::MAX;
            self.shards[*position].deferred = Some(Deferred { at, kind });
        }
    }

    /// Records that a back end has answered, so the request does not crash those that run
    /// it, and makes the calls deferred for that. Later answers change nothing.
    pub(super) fn record_first_answer(&mut self, cx: &mut Context<'_>) {
        if self.answered || self.end.is_some() {
            return;
        }
        let suspected = self.needs_first_answer();
        self.answered = true;
        if !suspected {
            return;
        }
        for shard in &mut self.shards {
            if let Some(deferred) = shard
                .deferred
                .as_mut()
                .filter(|deferred| deferred.at == Time::MAX)
            {
                deferred.at = cx.now;
            }
        }
        self.make_due_calls(cx);
        self.next_check = self.next_check.min(self.next_due(cx.now));
    }

    /// Returns the time of the earliest deferred call, or [`Time::MAX`] if all wait for a
    /// first answer or there is none.
    pub(super) fn next_deferred(&self) -> Time {
        let waiting = self.shards.iter().filter_map(|shard| shard.deferred);
        waiting
            .map(|deferred| deferred.at)
            .min()
            .unwrap_or(Time::MAX)
    }

    /// Continues a query that waits for a first answer when no call, in flight or
    /// deferred, can bring it: calls the next shard if no call was lost, and ends the
    /// query otherwise.
    pub(super) fn continue_trial(&mut self, cx: &mut Context<'_>) {
        let waits =
            |deferred: Option<Deferred>| deferred.is_some_and(|deferred| deferred.at == Time::MAX);
        let next = self.shards.iter().position(|shard| waits(shard.deferred));
        let Some(next) = next.filter(|_| self.needs_first_answer()) else {
            return;
        };
        let live = self
            .calls
            .iter()
            .any(|c| matches!(c.state, CallState::Live(_)));
        if live || self.next_deferred() < Time::MAX {
            return;
        }
        if self.lost > 0 {
            let reason = self.partial_reason(&[next], cx);
            self.finish(End::Partial(reason), cx);
            return;
        }
        if let Some(deferred) = self.shards[next].deferred.take() {
            self.call(&[next], deferred.kind, cx);
        }
        self.maybe_exhausted = true;
        self.check_end(cx);
    }
}
