//! Requests during a planned stop: whether the process lasts until they are answered.

use std::{
    future::{self, Future},
    time::Duration,
};

use chestnut_route::can_end_by;
use chestnut_unit::Time;

use crate::Runtime;

/// The deadline of a request and the time that it is expected to take, compared with what is left
/// of the process.
#[derive(Clone, Copy, Debug)]
pub struct TimeLeft<'a> {
    runtime: &'a Runtime,
    deadline: Time,
    /// Time that requests like it take; `None` if that is unknown.
    pub expected: Option<Duration>,
}

impl<'a> TimeLeft<'a> {
    /// Describes a request that ends by `deadline` and is `expected` to take so long.
    #[must_use]
    pub fn new(runtime: &'a Runtime, deadline: Time, expected: Option<Duration>) -> Self {
        Self {
            runtime,
            deadline,
            expected,
        }
    }

    /// Returns the time until the process ends; `None` if no planned stop has begun.
    #[must_use]
    pub fn of_process(&self) -> Option<Duration> {
        let end = self.runtime.lifetime.end();
        end.map(|end| end.since(self.runtime.now()))
    }

    /// Returns whether the request can be answered before the process ends.
    #[must_use]
    pub fn suffices(&self) -> bool {
        let now = self.runtime.now();
        let end = self.runtime.lifetime.end();
        end.is_none_or(|end| can_end_by(end, self.deadline, self.expected, now))
    }

    /// Waits for `work` that precedes the first call. Returns `None` once the request can't be
    /// answered any more before the process ends.
    pub async fn bound<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = work => Some(done),
            () = self.until_too_late() => None,
        }
    }

    /// Waits until too little is left of the process for the request; never returns if its
    /// deadline comes first.
    async fn until_too_late(&self) {
        let Runtime {
            lifetime, clock, ..
        } = self.runtime;
        let rest = self.expected.unwrap_or(Duration::MAX);
        lifetime.until_left(clock, rest).await;
        if lifetime.end().is_none_or(|end| self.deadline <= end) {
            future::pending::<()>().await;
        }
    }
}
