//! Requests: arrival, admission, the query, its end, and retries by callers.

use std::time::Duration;

use chestnut_route::{
    Action, AdmitRequest, Context, Decision, End, PartialReason, Query, QueryConfig, Release,
    RequestStats, Sheddable,
};
use chestnut_unit::{IndexVersion, Reason, RequestId, Time, Urgency};
use rand::Rng;

use super::{
    entry::{PendingCall, Request},
    leaf::uniform,
    report::MAX_LATENCY_US,
    sim::{ARCHIVE_DEADLINE, DEADLINE, Event, MEASURE_START, Sim},
};

/// Maximum restarts of a query that lost its snapshot, as in the daemon.
const MAX_RESTARTS: u32 = 3;

/// A refused caller retries after about this fraction (1/n) of its time limit.
const RETRY_DIVISOR: u32 = 4;
/// Utility of a late answer, relative to one in time.
const LATE_CREDIT: f64 = 0.1;

/// Why a request was not served: refused, or its calls failed.
enum Unserved {
    /// It was refused before any call was made.
    Refused,
    /// Its calls failed.
    Failed,
}

impl Sim<'_> {
    /// Schedules the next arrival and offers a new request to a random entry; does nothing
    /// after the end of the run.
    pub(super) fn arrive(&mut self) {
        let rate = self.topology.capacity() * self.condition.load;
        let gap = -(1.0 - uniform(&mut self.arrival_rng)).ln() / rate;
        if self.now < Time::ZERO + self.topology.span {
            self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
        } else {
            return;
        }
        let urgency = self.draw_urgency();
        let entry = self.draw_entry();
        let id = self.next_query;
        self.next_query += 1;
        let span = match urgency {
            Urgency::Archive => ARCHIVE_DEADLINE,
            Urgency::Now | Urgency::Normal => DEADLINE,
        };
        let request = Request {
            urgency,
            arrived: self.now,
            deadline: self.now + span,
            started: None,
            query: None,
            restarts: 0,
            timer_at: Time::MAX,
            retries_left: u32::from(self.topology.objective.is_some()),
        };
        if self.is_measured(&request) {
            self.outcome.arrived += 1;
            if let Some(outcome) = self.outcome.urgencies.get_mut(&urgency) {
                outcome.arrived += 1;
            }
        }
        self.offer(entry, id, request);
    }

    /// Draws an urgency by the shares of the condition.
    pub(super) fn draw_urgency(&mut self) -> Urgency {
        let mut draw = uniform(&mut self.arrival_rng);
        for (urgency, share) in self.condition.mix {
            draw -= share;
            if draw < 0.0 {
                return urgency;
            }
        }
        Urgency::Normal
    }

    /// Draws an entry that has not crashed; callers don't detect a frozen one.
    pub(super) fn draw_entry(&mut self) -> usize {
        loop {
            let entry = (self.arrival_rng.next_u64() % self.entries.len() as u64) as usize;
            if !self.entries[entry].crashed {
                return entry;
            }
        }
    }

    /// Adds a request to an entry and offers it to the admission control there; applies
    /// the decision, also for requests that leave the queue.
    pub(super) fn offer(&mut self, at: usize, id: u64, request: Request) {
        let admit_request = AdmitRequest {
            id: RequestId(id),
            urgency: request.urgency,
            deadline: request.deadline,
            sheddable: match request.urgency {
                Urgency::Now => Sheddable::No,
                Urgency::Normal | Urgency::Archive => Sheddable::Yes,
            },
        };
        let mut out = Vec::new();
        let entry = &mut self.entries[at];
        entry.requests.insert(id, request);
        let decision = entry
            .admission
            .offer(admit_request, self.now, &mut entry.rng, &mut out);
        self.apply_decision(at, id, decision);
        self.release(at, out);
        self.arm_expiry(at);
    }

    /// Schedules the next expiry in the admission queue of entry `at`, if there is one.
    pub(super) fn arm_expiry(&mut self, at: usize) {
        if let Some(next_expiry) = self.entries[at].admission.next_expiry() {
            let least = self.now + Duration::from_millis(1);
            self.schedule_at(next_expiry.max(least), Event::Expire { entry: at });
        }
    }

    /// Expires requests in the admission queue of entry `at` and applies the decisions.
    pub(super) fn expire_admission(&mut self, at: usize) {
        let mut out = Vec::new();
        let entry = &mut self.entries[at];
        entry.admission.expire(self.now, &mut entry.rng, &mut out);
        self.release(at, out);
    }

    /// Applies decisions on requests that left the admission queue.
    pub(super) fn release(&mut self, at: usize, out: Vec<Release>) {
        for release in out {
            self.apply_decision(at, release.id.0, release.decision);
        }
    }

    /// Starts the query of a request, or refuses the request: its caller retries, or the
    /// refusal is counted. Does nothing for a request that waits.
    pub(super) fn apply_decision(&mut self, at: usize, id: u64, decision: Decision) {
        match decision {
            Decision::Run => self.start_query(at, id),
            Decision::Wait => {}
            Decision::Refuse { reason, .. } => {
                if let Some(request) = self.entries[at].requests.remove(&id)
                    && !self.schedule_retry(&request, Unserved::Refused)
                {
                    self.count_refusal(&request, reason);
                }
            }
        }
    }

    /// Starts the query of an admitted request, or restarts it; ends the request if no index
    /// version is available.
    pub(super) fn start_query(&mut self, at: usize, id: u64) {
        let now = self.now;
        let Some(request) = self.entries[at].requests.get_mut(&id) else {
            return;
        };
        request.started.get_or_insert(now);
        let deadline = request.deadline;
        let Some(routes) = self.entries[at].pin(now) else {
            self.fail_unrouted(at, id);
            return;
        };
        let config = QueryConfig {
            objective: self.topology.objective.map_or(deadline, |span| now + span),
            ..QueryConfig::new(deadline, self.topology.min_coverage)
        };
        let mut actions = Vec::new();
        let entry = &mut self.entries[at];
        let mut cx = Context {
            table: &mut entry.table,
            now,
            rng: &mut entry.rng,
            actions: &mut actions,
        };
        let query = Query::start(routes, None, config, &mut cx);
        if let Some(request) = entry.requests.get_mut(&id) {
            request.query = Some(query);
        }
        self.apply_actions(at, id, actions);
    }

    /// Ends a request for which no index version is available, and counts it as refused.
    pub(super) fn fail_unrouted(&mut self, at: usize, id: u64) {
        let Some(request) = self.entries[at].requests.remove(&id) else {
            return;
        };
        self.count_refusal(&request, Reason::NoSnapshot);
        self.admission_done(at, RequestStats::default());
    }

    /// Passes an event to a query and carries out the resulting actions.
    pub(super) fn update_query(
        &mut self,
        at: usize,
        id: u64,
        event: impl FnOnce(&mut Query<()>, &mut Context<'_>),
    ) {
        let entry = &mut self.entries[at];
        let Some(query) = entry.requests.get_mut(&id).and_then(|r| r.query.as_mut()) else {
            return;
        };
        let mut actions = Vec::new();
        let mut cx = Context {
            table: &mut entry.table,
            now: self.now,
            rng: &mut entry.rng,
            actions: &mut actions,
        };
        event(query, &mut cx);
        self.apply_actions(at, id, actions);
    }

    /// Makes and cancels calls as a query asks, then finishes the query or arms its timer.
    pub(super) fn apply_actions(&mut self, at: usize, id: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call {
                    call, to, shards, ..
                } => {
                    let leaf = self.entries[at].leaf_of(to);
                    let version = self.version_of(at, id);
                    let pending = PendingCall {
                        query: id,
                        call,
                        shards,
                        version,
                    };
                    self.send(at, leaf, pending);
                }
                Action::Cancel(call) => self.cancel_call(at, id, call),
            }
        }
        self.finish_or_arm(at, id);
    }

    /// Returns the index version of a query, 0 if it is gone.
    pub(super) fn version_of(&self, at: usize, id: u64) -> IndexVersion {
        let query = self.entries[at]
            .requests
            .get(&id)
            .and_then(|r| r.query.as_ref());
        query.map_or(IndexVersion(0), |q| q.routes().snapshot.version)
    }

    /// Finishes or restarts a query that has ended; otherwise arms its timer.
    pub(super) fn finish_or_arm(&mut self, at: usize, id: u64) {
        let Some(request) = self.entries[at].requests.get_mut(&id) else {
            return;
        };
        let Some(query) = &request.query else {
            return;
        };
        let Some(end) = query.end() else {
            let next_tick = query.next_tick();
            if next_tick < request.timer_at || request.timer_at <= self.now {
                request.timer_at = next_tick;
                self.schedule_at(
                    next_tick,
                    Event::Tick {
                        entry: at,
                        query: id,
                    },
                );
            }
            return;
        };
        if end == End::Partial(PartialReason::SnapshotLost) && request.restarts < MAX_RESTARTS {
            request.restarts += 1;
            request.timer_at = Time::MAX;
            self.start_query(at, id);
            return;
        }
        self.finish_request(at, id, end);
    }

    /// Removes an ended request, counts its results or schedules its retry, and reports the
    /// end to admission control.
    pub(super) fn finish_request(&mut self, at: usize, id: u64, end: End) {
        let Some(request) = self.entries[at].requests.remove(&id) else {
            return;
        };
        let Some(query) = &request.query else {
            return;
        };
        let span = self.now.since(request.started.unwrap_or(self.now));
        let stats = RequestStats {
            span,
            calls: query.calls() as u32,
            shed_calls: query.shed_calls(),
        };
        let coverage = query.coverage();
        if let Some(objective) = self.topology.objective {
            let how = match query.not_run() {
                Some(_) => Unserved::Refused,
                None => Unserved::Failed,
            };
            let share = coverage.answered as f64 / coverage.asked.max(1) as f64;
            if coverage.meets(self.topology.min_coverage) {
                self.count_served(&request, share, objective, stats.calls);
            } else {
                self.count_unserved(&request, stats.calls);
                if self.schedule_retry(&request, how) {
                    self.admission_done(at, stats);
                    return;
                }
            }
        }
        if self.is_measured(&request) {
            self.outcome.executed += 1;
            self.outcome.coverage_sum += coverage.answered as f64 / coverage.asked.max(1) as f64;
            match end {
                End::Complete => self.count_complete(&request),
                End::Partial(_) => self.outcome.partial += 1,
            }
        }
        self.admission_done(at, stats);
    }

    /// Schedules the caller's retry of a request that was not served: at once
    /// after a failure, after a delay with jitter if it was refused. Returns
    /// whether there is a retry.
    fn schedule_retry(&mut self, request: &Request, how: Unserved) -> bool {
        if request.retries_left == 0 || self.topology.objective.is_none() {
            return false;
        }
        let span = request.deadline.since(request.arrived) / RETRY_DIVISOR;
        let after = match how {
            Unserved::Failed => Duration::ZERO,
            Unserved::Refused => span.mul_f64(0.5 + uniform(&mut self.arrival_rng)),
        };
        let request = Request {
            query: None,
            started: None,
            retries_left: request.retries_left - 1,
            timer_at: Time::MAX,
            ..*request
        };
        self.schedule(after, Event::Retry(Box::new(request)));
        true
    }

    /// Offers the retry of a request to a random entry.
    pub(super) fn on_retry(&mut self, request: Request) {
        let entry = self.draw_entry();
        let id = self.next_query;
        self.next_query += 1;
        self.offer(entry, id, request);
    }

    /// Counts an answer with the minimum coverage, its utility and its calls; `share` is
    /// its coverage. Ignores requests of the warm-up.
    fn count_served(&mut self, request: &Request, share: f64, objective: Duration, calls: u32) {
        if !self.is_measured(request) {
            return;
        }
        let in_time = self.now.since(request.arrived) <= objective;
        self.outcome.served += 1;
        self.outcome.in_time += u64::from(in_time);
        self.outcome.credit += share * share * if in_time { 1.0 } else { LATE_CREDIT };
        self.outcome.useful_calls += u64::from(calls);
    }

    /// Counts the calls of an attempt that was not served as wasted, unless its request
    /// arrived during the warm-up.
    fn count_unserved(&mut self, request: &Request, calls: u32) {
        if self.is_measured(request) {
            self.outcome.wasted_calls += u64::from(calls);
        }
    }

    /// Reports the end of a request to admission control at entry `at`, and applies the
    /// decisions on requests that leave its queue.
    pub(super) fn admission_done(&mut self, at: usize, stats: RequestStats) {
        let mut out = Vec::new();
        let entry = &mut self.entries[at];
        let now = self.now;
        entry
            .admission
            .record_end(stats, now, &mut entry.rng, &mut out);
        self.release(at, out);
    }

    /// Returns whether a request arrived after the warm-up.
    pub(super) fn is_measured(&self, request: &Request) -> bool {
        request.arrived >= Time::ZERO + MEASURE_START
    }

    /// Counts an answer of all shards and its latency, in total and for its urgency; the
    /// latency is clamped to between 1 µs and [`MAX_LATENCY_US`].
    pub(super) fn count_complete(&mut self, request: &Request) {
        let us = self.now.since(request.arrived).as_micros() as u64;
        let us = us.clamp(1, MAX_LATENCY_US);
        self.outcome.completed += 1;
        self.outcome.latency.saturating_record(us);
        if let Some(outcome) = self.outcome.urgencies.get_mut(&request.urgency) {
            outcome.completed += 1;
            outcome.latency.saturating_record(us);
        }
    }

    /// Counts a refusal by its reason, and the time until it; only if the request arrived
    /// after the warm-up.
    pub(super) fn count_refusal(&mut self, request: &Request, reason: Reason) {
        if !self.is_measured(request) {
            return;
        }
        *self.outcome.refused.entry(reason).or_default() += 1;
        let us = self.now.since(request.arrived).as_micros() as u64;
        self.outcome
            .refusal_latency
            .saturating_record(us.clamp(1, MAX_LATENCY_US));
    }
}
