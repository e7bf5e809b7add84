//! Requests: arrival, admission, the query, and how it ended.

use std::time::Duration;

use chestnut_route::{
    Action, AdmitRequest, Context, Decision, End, PartialReason, Query, QueryConfig, Release,
    RequestStats, Sheddable,
};
use chestnut_unit::{IndexVersion, Reason, RequestId, Time, Urgency};
use rand::Rng;

use super::{
    entry::{Request, Waiting},
    leaf::unit,
    report::MAX_US,
    sim::{ARCHIVE_DEADLINE, DEADLINE, Event, Sim, WARM},
};

/// Times that a query may start over, as in the daemon.
const RESTARTS: u32 = 3;

/// Part of its time after which a refused caller comes back, as entries say.
const RETURN_PART: u32 = 4;
/// What a late answer is worth of one in time, to the users.
const LATE_WORTH: f64 = 0.1;

/// How a request was not served.
enum Unserved {
    /// Its caller was told that nothing ran.
    Refused,
    /// Its calls failed.
    Failed,
}

impl Sim<'_> {
    pub(super) fn arrive(&mut self) {
        let rate = self.shape.capacity() * self.condition.load;
        let gap = -(1.0 - unit(&mut self.arrivals)).ln() / rate;
        if self.now < Time::ZERO + self.shape.span {
            self.after(Duration::from_secs_f64(gap), Event::Arrive);
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
            ticking: Time::MAX,
            returns: u32::from(self.shape.goal.is_some()),
        };
        if self.counted(&request) {
            self.outcome.arrived += 1;
            if let Some(outcome) = self.outcome.urgencies.get_mut(&urgency) {
                outcome.arrived += 1;
            }
        }
        self.offer(entry, id, request);
    }

    pub(super) fn draw_urgency(&mut self) -> Urgency {
        let mut draw = unit(&mut self.arrivals);
        for (urgency, share) in self.condition.mix {
            draw -= share;
            if draw < 0.0 {
                return urgency;
            }
        }
        Urgency::Normal
    }

    /// Callers use live entries; one that is frozen is noticed by nobody.
    pub(super) fn draw_entry(&mut self) -> usize {
        loop {
            let entry = (self.arrivals.next_u64() % self.entries.len() as u64) as usize;
            if !self.entries[entry].dead {
                return entry;
            }
        }
    }

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
        self.decided(at, id, decision);
        self.release(at, out);
        self.arm_expiry(at);
    }

    pub(super) fn arm_expiry(&mut self, at: usize) {
        if let Some(next_expiry) = self.entries[at].admission.next_expiry() {
            let least = self.now + Duration::from_millis(1);
            self.at(next_expiry.max(least), Event::Expire { entry: at });
        }
    }

    pub(super) fn expire(&mut self, at: usize) {
        let mut out = Vec::new();
        let entry = &mut self.entries[at];
        entry.admission.expire(self.now, &mut entry.rng, &mut out);
        self.release(at, out);
    }

    pub(super) fn release(&mut self, at: usize, out: Vec<Release>) {
        for release in out {
            self.decided(at, release.id.0, release.decision);
        }
    }

    pub(super) fn decided(&mut self, at: usize, id: u64, decision: Decision) {
        match decision {
            Decision::Run => self.start(at, id),
            Decision::Wait => {}
            Decision::Refuse { reason, .. } => {
                if let Some(request) = self.entries[at].requests.remove(&id)
                    && !self.comes_back(&request, Unserved::Refused)
                {
                    self.count_refusal(&request, reason);
                }
            }
        }
    }

    pub(super) fn start(&mut self, at: usize, id: u64) {
        let now = self.now;
        let Some(request) = self.entries[at].requests.get_mut(&id) else {
            return;
        };
        request.started.get_or_insert(now);
        let deadline = request.deadline;
        let Some(routes) = self.entries[at].pin(now) else {
            self.end_unserved(at, id);
            return;
        };
        let config = QueryConfig {
            objective: self.shape.goal.map_or(deadline, |goal| now + goal),
            ..QueryConfig::new(deadline, self.shape.least)
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
        self.act(at, id, actions);
    }

    pub(super) fn end_unserved(&mut self, at: usize, id: u64) {
        let Some(request) = self.entries[at].requests.remove(&id) else {
            return;
        };
        self.count_refusal(&request, Reason::NoSnapshot);
        self.admission_done(at, RequestStats::default());
    }

    /// Passes an event to a query and does what it asks for.
    pub(super) fn event(
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
        self.act(at, id, actions);
    }

    pub(super) fn act(&mut self, at: usize, id: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call {
                    call, to, shards, ..
                } => {
                    let leaf = self.entries[at].leaf_of(to);
                    let version = self.version_of(at, id);
                    let waiting = Waiting {
                        query: id,
                        call,
                        shards,
                        version,
                    };
                    self.send(at, leaf, waiting);
                }
                Action::Cancel(call) => self.cancel(at, id, call),
            }
        }
        self.follow(at, id);
    }

    pub(super) fn version_of(&self, at: usize, id: u64) -> IndexVersion {
        let query = self.entries[at]
            .requests
            .get(&id)
            .and_then(|r| r.query.as_ref());
        query.map_or(IndexVersion(0), |q| q.routes().snapshot.version)
    }

    /// Finishes a query that has ended, or arms its timer.
    pub(super) fn follow(&mut self, at: usize, id: u64) {
        let Some(request) = self.entries[at].requests.get_mut(&id) else {
            return;
        };
        let Some(query) = &request.query else {
            return;
        };
        let Some(end) = query.end() else {
            let next_tick = query.next_tick();
            if next_tick < request.ticking || request.ticking <= self.now {
                request.ticking = next_tick;
                self.at(
                    next_tick,
                    Event::Tick {
                        entry: at,
                        query: id,
                    },
                );
            }
            return;
        };
        if end == End::Partial(PartialReason::SnapshotLost) && request.restarts < RESTARTS {
            request.restarts += 1;
            request.ticking = Time::MAX;
            self.start(at, id);
            return;
        }
        self.end(at, id, end);
    }

    pub(super) fn end(&mut self, at: usize, id: u64, end: End) {
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
        if let Some(goal) = self.shape.goal {
            let how = match query.not_run() {
                Some(_) => Unserved::Refused,
                None => Unserved::Failed,
            };
            let share = coverage.answered as f64 / coverage.asked.max(1) as f64;
            if coverage.meets(self.shape.least) {
                self.count_served(&request, share, goal, stats.calls);
            } else {
                self.count_unserved(&request, stats.calls);
                if self.comes_back(&request, how) {
                    self.admission_done(at, stats);
                    return;
                }
            }
        }
        if self.counted(&request) {
            self.outcome.ran += 1;
            self.outcome.covered += coverage.answered as f64 / coverage.asked.max(1) as f64;
            match end {
                End::Complete => self.count_whole(&request),
                End::Partial(_) => self.outcome.short += 1,
            }
        }
        self.admission_done(at, stats);
    }

    /// Whether the caller of a request that was not served comes back: at once
    /// after a failure, after a while if it was told that nothing ran.
    fn comes_back(&mut self, request: &Request, how: Unserved) -> bool {
        if request.returns == 0 || self.shape.goal.is_none() {
            return false;
        }
        let span = request.deadline.since(request.arrived) / RETURN_PART;
        let after = match how {
            Unserved::Failed => Duration::ZERO,
            Unserved::Refused => span.mul_f64(0.5 + unit(&mut self.arrivals)),
        };
        let request = Request {
            query: None,
            started: None,
            returns: request.returns - 1,
            ticking: Time::MAX,
            ..*request
        };
        self.after(after, Event::Return(Box::new(request)));
        true
    }

    pub(super) fn returned(&mut self, request: Request) {
        let entry = self.draw_entry();
        let id = self.next_query;
        self.next_query += 1;
        self.offer(entry, id, request);
    }

    fn count_served(&mut self, request: &Request, share: f64, goal: Duration, calls: u32) {
        if !self.counted(request) {
            return;
        }
        let in_time = self.now.since(request.arrived) <= goal;
        self.outcome.served += 1;
        self.outcome.in_time += u64::from(in_time);
        self.outcome.credit += share * share * if in_time { 1.0 } else { LATE_WORTH };
        self.outcome.useful += u64::from(calls);
    }

    fn count_unserved(&mut self, request: &Request, calls: u32) {
        if self.counted(request) {
            self.outcome.wasted += u64::from(calls);
        }
    }

    pub(super) fn admission_done(&mut self, at: usize, stats: RequestStats) {
        let mut out = Vec::new();
        let entry = &mut self.entries[at];
        let now = self.now;
        entry
            .admission
            .record_end(stats, now, &mut entry.rng, &mut out);
        self.release(at, out);
    }

    pub(super) fn counted(&self, request: &Request) -> bool {
        request.arrived >= Time::ZERO + WARM
    }

    pub(super) fn count_whole(&mut self, request: &Request) {
        let us = self.now.since(request.arrived).as_micros() as u64;
        let us = us.clamp(1, MAX_US);
        self.outcome.whole += 1;
        self.outcome.latency.saturating_record(us);
        if let Some(outcome) = self.outcome.urgencies.get_mut(&request.urgency) {
            outcome.whole += 1;
            outcome.latency.saturating_record(us);
        }
    }

    pub(super) fn count_refusal(&mut self, request: &Request, reason: Reason) {
        if !self.counted(request) {
            return;
        }
        *self.outcome.refused.entry(reason).or_default() += 1;
        let us = self.now.since(request.arrived).as_micros() as u64;
        self.outcome.refusal.saturating_record(us.clamp(1, MAX_US));
    }
}
