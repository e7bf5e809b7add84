//! Connections, and the delivery of calls and replies over them.

use std::time::Duration;

use chestnut_route::{CallId, ConnId, Failure, Pick, QUIET_TIMEOUT, Refusal};
use chestnut_unit::Time;

use super::{
    Fault,
    entry::PendingCall,
    leaf::{Job, Placement, service_time, uniform},
    policy::PAUSE_DURATION,
    sim::{Event, MEASURE_START, Sim},
};

/// Timeout of the probe of a quiet connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

impl Sim<'_> {
    /// Sends a call over a connection of the pool, or queues it for one. Fails the call
    /// with `NotSent` while the pool cools down.
    pub(super) fn send(&mut self, at: usize, leaf: usize, call: PendingCall) {
        let now = self.now;
        let link = &mut self.entries[at].links[leaf];
        match link.pool.pick(now) {
            Pick::Use(conn) => self.transmit(at, leaf, conn, call),
            Pick::Open(conn) => {
                link.pending.push(call);
                self.open_connection(at, leaf, conn);
            }
            Pick::Wait => link.pending.push(call),
            Pick::Cooldown => self.fail_call(at, &call, Failure::NotSent),
        }
    }

    /// Reports the failure of a call to its query.
    pub(super) fn fail_call(&mut self, at: usize, call: &PendingCall, failure: Failure) {
        let id = call.call;
        self.update_query(at, call.query, |query, cx| query.fail(id, failure, cx));
    }

    /// Schedules the end of a connection attempt, after the time to connect and a round trip.
    pub(super) fn open_connection(&mut self, at: usize, leaf: usize, conn: ConnId) {
        let round = self.latency(at, leaf) * 2;
        let span = self.topology.connect_time + round;
        self.schedule(
            span,
            Event::ConnOpened {
                entry: at,
                leaf,
                conn,
            },
        );
    }

    /// Handles the end of a connection attempt: sends the pending calls, or fails them if the
    /// leaf has crashed or is at its connection limit.
    pub(super) fn on_opened(&mut self, at: usize, leaf: usize, conn: ConnId) {
        let now = self.now;
        let refused =
            self.leafs[leaf].crashed || self.leafs[leaf].connections >= self.topology.connections;
        let link = &mut self.entries[at].links[leaf];
        let pending = std::mem::take(&mut link.pending);
        if refused {
            link.pool.refused(conn, now);
            for call in pending {
                self.fail_call(at, &call, Failure::NotSent);
            }
            return;
        }
        link.pool.opened(conn);
        let quiet = link.pool.quiet(now);
        self.leafs[leaf].connect();
        if now > Time::ZERO + MEASURE_START {
            self.entries[at].connections_opened += 1;
        }
        for conn in quiet {
            self.probe(at, leaf, conn);
        }
        for call in pending {
            self.send(at, leaf, call);
        }
    }

    /// Schedules the result of the probe of a quiet connection: after a round trip, or after
    /// [`PROBE_TIMEOUT`] if the connection is silent.
    pub(super) fn probe(&mut self, at: usize, leaf: usize, conn: ConnId) {
        let silent = self.entries[at].links[leaf].silent.contains(&conn);
        let span = if silent {
            PROBE_TIMEOUT
        } else {
            self.latency(at, leaf) * 2
        };
        self.schedule(
            span,
            Event::ProbeResult {
                entry: at,
                leaf,
                conn,
            },
        );
    }

    /// Handles the result of a probe: closes a silent connection and fails its calls, or
    /// tells the pool that the probe was answered.
    pub(super) fn on_probe_result(&mut self, at: usize, leaf: usize, conn: ConnId) {
        let now = self.now;
        let link = &mut self.entries[at].links[leaf];
        if link.silent.contains(&conn) {
            self.on_silent(at, leaf, conn);
        } else {
            link.pool.probe_answered(conn, now);
        }
    }

    /// Opens another connection to a leaf if the pool asks for one.
    pub(super) fn check_quiet(&mut self, at: usize, leaf: usize) {
        let now = self.now;
        if let Some(conn) = self.entries[at].links[leaf].pool.check(now) {
            self.open_connection(at, leaf, conn);
        }
    }

    /// Sends a call over this connection and schedules a check for quiet ones. On a silent
    /// connection the call never arrives.
    pub(super) fn transmit(&mut self, at: usize, leaf: usize, conn: ConnId, call: PendingCall) {
        let span = self.latency(at, leaf);
        let link = &mut self.entries[at].links[leaf];
        link.pool.sent(conn, self.now);
        link.in_flight.insert((call.query, call.call), conn);
        let check_after = QUIET_TIMEOUT + Duration::from_millis(1);
        self.schedule(check_after, Event::CheckQuiet { entry: at, leaf });
        let link = &self.entries[at].links[leaf];
        if link.silent.contains(&conn) {
            return;
        }
        let job = Job {
            entry: at,
            query: call.query,
            call: call.call,
            conn,
            version: call.version,
            shards: call.shards,
        };
        self.schedule(span, Event::CallArrives { leaf, job });
    }

    /// Returns the one-way latency between an entry and a leaf, with the delay that a fault
    /// adds at the failure domain of the leaf.
    pub(super) fn latency(&self, at: usize, leaf: usize) -> Duration {
        let (a, b) = (self.entries[at].domain, self.leafs[leaf].domain);
        let base = if a == b {
            self.topology.local_latency
        } else {
            self.topology.remote_latency
        };
        base + self.extra_latency[b]
    }

    /// Handles a call that reaches a leaf: starts, queues or sheds it; fails it if the leaf
    /// has crashed or lacks the index version.
    pub(super) fn on_call(&mut self, leaf: usize, job: Job) {
        if self.leafs[leaf].crashed {
            self.send_reply(leaf, job, Err(Failure::Lost));
            return;
        }
        if !self.leafs[leaf].versions.contains(&job.version) {
            self.send_reply(leaf, job, Err(Failure::Refused(Refusal::NoSnapshot)));
            return;
        }
        match self.leafs[leaf].accept(job.clone()) {
            Placement::Started(number) => self.run_call(leaf, number),
            Placement::Queued => {}
            Placement::Shed => self.send_reply(leaf, job, Err(Failure::Refused(Refusal::Shed))),
        }
    }

    /// Draws the service time of a started call and schedules its end.
    pub(super) fn run_call(&mut self, leaf: usize, number: u64) {
        let mut span = service_time(self.topology.service_median, &mut self.service_rng);
        span = span.mul_f64(self.leafs[leaf].service_factor(self.now));
        for fault in &self.condition.faults {
            if let Fault::Stragglers { share, factor } = fault
                && uniform(&mut self.service_rng) < *share
            {
                span = span.mul_f64(*factor);
            }
        }
        if self.condition.faults.contains(&Fault::LeafPauses) {
            span += pause_delay(leaf, self.now, span);
        }
        self.schedule(span, Event::CallDone { leaf, number });
    }

    /// Ends a call at a leaf, replies to its entry, and starts the next in the queue. Does
    /// nothing if the call no longer runs.
    pub(super) fn on_call_done(&mut self, leaf: usize, number: u64) {
        let Some((job, next)) = self.leafs[leaf].complete(number) else {
            return;
        };
        if let Some(next) = next {
            self.run_call(leaf, next);
        }
        self.send_reply(leaf, job, Ok(()));
    }

    /// Schedules the arrival of a reply or failure at the entry that made the call.
    pub(super) fn send_reply(&mut self, leaf: usize, job: Job, result: Result<(), Failure>) {
        let span = self.latency(job.entry, leaf);
        self.schedule(span, Event::ReplyArrives { job, leaf, result });
    }

    /// Passes a reply to its query, unless its call is no longer in flight.
    pub(super) fn on_reply(&mut self, job: &Job, leaf: usize, result: Result<(), Failure>) {
        let (at, now) = (job.entry, self.now);
        if self.entries[at].crashed {
            return;
        }
        let link = &mut self.entries[at].links[leaf];
        if link.silent.contains(&job.conn) {
            return;
        }
        if link.in_flight.remove(&(job.query, job.call)).is_none() {
            return;
        }
        match result {
            Err(Failure::Lost) => link.pool.closed(job.conn),
            _ => link.pool.answered(job.conn, now),
        }
        let call = job.call;
        match result {
            Ok(()) => {
                let parts = job.shards.iter().map(|shard| (*shard, ())).collect();
                let version = job.version;
                self.update_query(at, job.query, |q, cx| q.answer(call, version, parts, cx));
            }
            Err(failure) => self.update_query(at, job.query, |q, cx| q.fail(call, failure, cx)),
        }
    }

    /// Withdraws a pending call, or cancels a call in flight at its leaf.
    pub(super) fn cancel_call(&mut self, at: usize, query: u64, call: CallId) {
        for leaf in 0..self.leafs.len() {
            let link = &mut self.entries[at].links[leaf];
            link.pending.retain(|p| (p.query, p.call) != (query, call));
            let Some(conn) = link.in_flight.remove(&(query, call)) else {
                continue;
            };
            link.pool.abandoned(conn);
            let span = self.latency(at, leaf);
            self.schedule(
                span,
                Event::CancelArrives {
                    leaf,
                    entry: at,
                    query,
                    call,
                },
            );
            return;
        }
    }

    /// Closes a connection that was found silent, and fails its calls; does nothing if it
    /// is not silent.
    pub(super) fn on_silent(&mut self, at: usize, leaf: usize, conn: ConnId) {
        if self.entries[at].links[leaf].silent.contains(&conn) {
            self.entries[at].links[leaf].pool.closed(conn);
            self.close_silent(at, leaf, conn);
        }
    }

    /// Frees a silent connection at the leaf and fails the calls on it.
    pub(super) fn close_silent(&mut self, at: usize, leaf: usize, conn: ConnId) {
        self.leafs[leaf].connections = self.leafs[leaf].connections.saturating_sub(1);
        let link = &mut self.entries[at].links[leaf];
        link.silent.retain(|c| *c != conn);
        let lost: Vec<(u64, CallId)> = link
            .in_flight
            .iter()
            .filter(|(_, c)| **c == conn)
            .map(|(key, _)| *key)
            .collect();
        for (query, call) in lost {
            self.entries[at].links[leaf]
                .in_flight
                .remove(&(query, call));
            self.update_query(at, query, |q, c| q.fail(call, Failure::ConnectionSilent, c));
        }
    }

    /// Clears the timer of a query and passes the timer event to it; does nothing if it has
    /// ended.
    pub(super) fn tick_query(&mut self, at: usize, id: u64) {
        if let Some(request) = self.entries[at].requests.get_mut(&id) {
            request.timer_at = Time::MAX;
        }
        self.update_query(at, id, |query, cx| query.tick(cx));
    }
}

/// Interval between the starts of two pauses of a leaf.
const PAUSE_INTERVAL: Duration = Duration::from_secs(6);
/// Offset between the pauses of consecutive leafs, as a share of the interval;
/// the golden ratio spreads any number of leafs evenly.
const PAUSE_STAGGER: f64 = 0.618;

/// Returns the delay that the periodic pauses of `leaf` add to a call of length `span`
/// that starts at `now`.
fn pause_delay(leaf: usize, now: Time, span: Duration) -> Duration {
    let every = PAUSE_INTERVAL.as_secs_f64();
    let phase = (leaf as f64 * PAUSE_STAGGER).fract() * every;
    let since = (now.since(Time::ZERO).as_secs_f64() + every - phase) % every;
    let since = Duration::from_secs_f64(since);
    if since < PAUSE_DURATION {
        PAUSE_DURATION - since
    } else if since + span > PAUSE_INTERVAL {
        PAUSE_DURATION
    } else {
        Duration::ZERO
    }
}
