//! The planned stop of an entry.
//!
//! A stop ends at one moment, [`Lifetime::end`](chestnut_flow::Lifetime::end), by which every
//! request is answered. Until then a request is served if it is expected to be answered in time,
//! and refused if not.

use std::{future::Future, marker::PhantomData, time::Duration};

use chestnut_flow::lock;
use chestnut_port::Server;
use chestnut_unit::Time;
use slog::info;
use tokio::time::{sleep, sleep_until};

use crate::{
    members,
    relay::Relay,
    shared::{Phase, Shared},
};

/// Part of the grace period after the last answer, for its way to the caller, the last log lines
/// and the exit.
const EXIT_RESERVE: Duration = Duration::from_millis(400);
/// Part of [`EXIT_RESERVE`] in which connections may still send their answers.
const SEND_TIME: Duration = Duration::from_millis(200);
/// Part of [`EXIT_RESERVE`] in which requests whose connections were cut may still end.
const FINISH_TIME: Duration = Duration::from_millis(100);
/// Interval between two looks at how long requests take.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// State of a [`Stop`]: callers that still come are served.
#[derive(Debug)]
pub enum Serving {}

/// State of a [`Stop`]: nobody new is served, and what runs is finished.
#[derive(Debug)]
pub enum Closing {}

/// A planned stop of an entry, from the signal to the exit, in the state `S`.
pub struct Stop<S> {
    relay: Relay,
    /// When every request is answered.
    end: Time,
    state: PhantomData<S>,
}

impl Relay {
    /// Begins a planned stop: sets the end of the process and [`Phase::Leaving`], and announces
    /// it to other members, which no longer direct callers here.
    pub async fn leave(&self) -> Stop<Serving> {
        let shared = self.shared();
        let end = shared.now() + self.grace().saturating_sub(EXIT_RESERVE);
        let end = shared.runtime.lifetime.end_at(end);
        shared.phase.send_replace(Phase::Leaving);
        info!(shared.runtime.log, "fleet: {} is leaving", shared.settings.entry.member;
            "in_flight" => self.in_flight(), "left_ms" => millis(end.since(shared.now())));
        members::leave(shared, self.members()).await;
        Stop {
            relay: self.clone(),
            end,
            state: PhantomData,
        }
    }
}

impl Stop<Serving> {
    /// Serves callers that still come until hardly any request could be answered in time, or
    /// until `again` is ready, a further request to stop. Callers whose connection is refused
    /// turn to another entry at once.
    pub async fn serve(self, again: impl Future<Output = ()>) -> Stop<Closing> {
        let why = tokio::select! {
            () = self.until_too_late() => "requests would outlast the entry",
            () = again => "asked to stop again",
        };
        let shared = self.relay.shared();
        info!(shared.runtime.log, "fleet: {} closes", shared.settings.entry.member;
            "why" => why, "in_flight" => self.relay.in_flight(),
            "left_ms" => millis(self.end.since(shared.now())));
        Stop {
            relay: self.relay,
            end: self.end,
            state: PhantomData,
        }
    }

    /// Waits until too little time is left even for the rule with the shortest requests.
    async fn until_too_late(&self) {
        let shared = self.relay.shared();
        loop {
            let now = shared.now();
            let last = last_start(shared, self.end);
            if now >= last {
                return;
            }
            let recheck = last.min(now + RECHECK_INTERVAL);
            sleep_until(shared.runtime.clock.instant(recheck)).await;
        }
    }
}

/// Returns the latest time at which the shortest requests, by what was observed, must start to
/// end by `end`.
fn last_start(shared: &Shared, end: Time) -> Time {
    let shortest = lock(&shared.cell.state).table.shortest_query_time();
    end - shortest.unwrap_or_default()
}

impl Stop<Closing> {
    /// Closes `server`: idle connections at once, the others with the answer to their request.
    /// Then tells other members that the entry has stopped. It does not end the tasks.
    pub async fn close(self, server: &Server) {
        let shared = self.relay.shared();
        let until = shared.runtime.clock.instant(self.end + SEND_TIME);
        let cut = server.close(until).await;
        if cut > 0 {
            info!(shared.runtime.log, "fleet: {} cuts connections", shared.settings.entry.member;
                "connections" => cut, "in_flight" => self.relay.in_flight());
        }
        self.relay.finish(FINISH_TIME).await;
    }
}

impl Relay {
    /// Waits until no request is in flight, for at most `wait`, and then announces to other
    /// members that the entry stops. It does not end the tasks.
    pub async fn finish(&self, wait: Duration) {
        /// Interval between checks for requests in flight.
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        let shared = self.shared();
        let deadline = shared.now() + wait;
        while self.in_flight() > 0 && shared.now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
        members::announce_stop(shared, self.members()).await;
        info!(shared.runtime.log, "fleet: {} has stopped", shared.settings.entry.member;
            "in_flight" => self.in_flight());
    }
}

/// Returns a span in whole milliseconds, for logs.
fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
