//! Queries of a process that stops by plan.
//!
//! A call that is in flight when the process ends is lost: its caller gets no answer, and its
//! back end works for nothing. So no work is started that is expected to outlast the process,
//! and a query that does so all the same ends with it, by an answer.

use std::time::Duration;

use chestnut_unit::Time;

use super::{Context, End, PartialReason, Query};

impl<P> Query<P> {
    /// Handles the news that the process ends at `end`, or sooner than was known. A query that
    /// has made no call and can't finish in time ends at once. Does nothing if it has ended.
    pub fn stop_by(&mut self, end: Time, cx: &mut Context<'_>) {
        if self.end.is_some() {
            return;
        }
        let known = self.config.process_end.unwrap_or(Time::MAX);
        self.config.process_end = Some(end.min(known));
        if self.calls.is_empty() && !self.can_finish(cx) {
            self.finish(End::Partial(PartialReason::Stopping), cx);
        }
    }

    /// Returns when the query ends at the latest: at its deadline, or sooner with the process.
    pub(super) fn last_time(&self) -> Time {
        let end = self.config.process_end.unwrap_or(Time::MAX);
        self.config.deadline.min(end)
    }

    /// Returns why the query ends at [`Query::last_time`].
    pub(super) fn timeout_reason(&self) -> PartialReason {
        match self.config.process_end {
            Some(end) if end < self.config.deadline => PartialReason::Stopping,
            _ => PartialReason::Deadline,
        }
    }

    /// Returns whether the process is expected to last until the end of a query that makes its
    /// first calls now.
    pub(super) fn can_finish(&self, cx: &Context<'_>) -> bool {
        let profile = cx.table.profile(self.config.class);
        let time = profile.query_time(self.config.repeat, self.objective());
        self.ends_in_time(time, cx.now)
    }

    /// Returns whether the process is expected to last until the end of a call made now.
    pub(super) fn can_finish_call(&self, cx: &Context<'_>) -> bool {
        let profile = cx.table.profile(self.config.class);
        let time = profile.call_time(self.config.repeat, self.objective());
        self.ends_in_time(time, cx.now)
    }

    /// Returns the time from the start to the latency objective.
    fn objective(&self) -> Duration {
        self.config.objective.since(self.start)
    }

    /// Returns whether work that takes `time` ends before the process does. What isn't known to
    /// be shorter lasts until the deadline.
    fn ends_in_time(&self, time: Option<Duration>, now: Time) -> bool {
        match self.config.process_end {
            Some(end) => can_end_by(end, self.config.deadline, time, now),
            None => true,
        }
    }

    /// Records how long the query took, if it was answered or lasted until its deadline. Failures
    /// and callers that leave say little of the time that an answer takes.
    pub(super) fn record_duration(&self, end: End, cx: &mut Context<'_>) {
        let records = match end {
            End::Complete | End::Partial(PartialReason::Sufficient) => true,
            End::Partial(PartialReason::Deadline) => cx.now >= self.config.deadline,
            End::Partial(_) => false,
        };
        if records {
            let span = cx.now.since(self.start);
            cx.table.record_query(self.config.class, span);
        }
    }
}

/// Returns whether work that is begun `now`, must end by `deadline` and is expected to take
/// `time`, ends by `end`. Work of unknown length is taken to last until its deadline.
#[must_use]
pub fn can_end_by(end: Time, deadline: Time, time: Option<Duration>, now: Time) -> bool {
    deadline <= end || time.is_some_and(|time| now + time <= end)
}
