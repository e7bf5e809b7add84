//! Connections, and calls on their way to leafs and back.

use std::time::Duration;

use chestnut_route::{CallId, ConnId, Failure, Pick, QUIET_TIMEOUT, Refusal};
use chestnut_unit::Time;

use super::{
    Fault,
    entry::Waiting,
    leaf::{Job, Taken, service_time, unit},
    policy::PAUSE,
    sim::{Event, Sim, WARM},
};

/// Longest wait for the answer to a probe of a quiet connection.
const PROBE_WAIT: Duration = Duration::from_millis(50);

impl Sim<'_> {
    pub(super) fn send(&mut self, at: usize, leaf: usize, call: Waiting) {
        let now = self.now;
        let link = &mut self.entries[at].links[leaf];
        match link.pool.pick(now) {
            Pick::Use(conn) => self.transmit(at, leaf, conn, call),
            Pick::Open(conn) => {
                link.waiting.push(call);
                self.open(at, leaf, conn);
            }
            Pick::Wait => link.waiting.push(call),
            Pick::Cooldown => self.fail(at, &call, Failure::NotSent),
        }
    }

    pub(super) fn fail(&mut self, at: usize, call: &Waiting, failure: Failure) {
        let id = call.call;
        self.event(at, call.query, |query, cx| query.fail(id, failure, cx));
    }

    pub(super) fn open(&mut self, at: usize, leaf: usize, conn: ConnId) {
        let round = self.latency(at, leaf) * 2;
        let span = self.shape.open + round;
        self.after(
            span,
            Event::Opened {
                entry: at,
                leaf,
                conn,
            },
        );
    }

    pub(super) fn opened(&mut self, at: usize, leaf: usize, conn: ConnId) {
        let now = self.now;
        let refused =
            self.leafs[leaf].dead || self.leafs[leaf].connections >= self.shape.connections;
        let link = &mut self.entries[at].links[leaf];
        let waiting = std::mem::take(&mut link.waiting);
        if refused {
            link.pool.refused(conn, now);
            for call in waiting {
                self.fail(at, &call, Failure::NotSent);
            }
            return;
        }
        link.pool.opened(conn);
        let quiet = link.pool.quiet(now);
        self.leafs[leaf].connect();
        if now > Time::ZERO + WARM {
            self.entries[at].opened += 1;
        }
        for conn in quiet {
            self.probe(at, leaf, conn);
        }
        for call in waiting {
            self.send(at, leaf, call);
        }
    }

    /// Asks a quiet connection for a small answer.
    pub(super) fn probe(&mut self, at: usize, leaf: usize, conn: ConnId) {
        let silent = self.entries[at].links[leaf].silent.contains(&conn);
        let span = if silent {
            PROBE_WAIT
        } else {
            self.latency(at, leaf) * 2
        };
        self.after(
            span,
            Event::Probed {
                entry: at,
                leaf,
                conn,
            },
        );
    }

    pub(super) fn probed(&mut self, at: usize, leaf: usize, conn: ConnId) {
        let now = self.now;
        let link = &mut self.entries[at].links[leaf];
        if link.silent.contains(&conn) {
            self.found_silent(at, leaf, conn);
        } else {
            link.pool.probe_answered(conn, now);
        }
    }

    pub(super) fn check(&mut self, at: usize, leaf: usize) {
        let now = self.now;
        if let Some(conn) = self.entries[at].links[leaf].pool.check(now) {
            self.open(at, leaf, conn);
        }
    }

    pub(super) fn transmit(&mut self, at: usize, leaf: usize, conn: ConnId, call: Waiting) {
        let span = self.latency(at, leaf);
        let link = &mut self.entries[at].links[leaf];
        link.pool.sent(conn, self.now);
        link.flying.insert((call.query, call.call), conn);
        let looks = QUIET_TIMEOUT + Duration::from_millis(1);
        self.after(looks, Event::Check { entry: at, leaf });
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
        self.after(span, Event::AtLeaf { leaf, job });
    }

    pub(super) fn latency(&self, at: usize, leaf: usize) -> Duration {
        let (a, b) = (self.entries[at].domain, self.leafs[leaf].domain);
        let base = if a == b {
            self.shape.near
        } else {
            self.shape.far
        };
        base + self.extra[b]
    }

    pub(super) fn at_leaf(&mut self, leaf: usize, job: Job) {
        if self.leafs[leaf].dead {
            self.answer(leaf, job, Err(Failure::Lost));
            return;
        }
        if !self.leafs[leaf].versions.contains(&job.version) {
            self.answer(leaf, job, Err(Failure::Refused(Refusal::NoSnapshot)));
            return;
        }
        match self.leafs[leaf].take(job.clone()) {
            Taken::Runs(number) => self.serve(leaf, number),
            Taken::Waits => {}
            Taken::Shed => self.answer(leaf, job, Err(Failure::Refused(Refusal::Shed))),
        }
    }

    pub(super) fn serve(&mut self, leaf: usize, number: u64) {
        let mut span = service_time(self.shape.median, &mut self.services);
        span = span.mul_f64(self.leafs[leaf].factor(self.now));
        for fault in &self.condition.faults {
            if let Fault::Stragglers { share, factor } = fault
                && unit(&mut self.services) < *share
            {
                span = span.mul_f64(*factor);
            }
        }
        if self.condition.faults.contains(&Fault::Pauses) {
            span += paused(leaf, self.now, span);
        }
        self.after(span, Event::LeafDone { leaf, number });
    }

    pub(super) fn leaf_done(&mut self, leaf: usize, number: u64) {
        let Some((job, next)) = self.leafs[leaf].done(number) else {
            return;
        };
        if let Some(next) = next {
            self.serve(leaf, next);
        }
        self.answer(leaf, job, Ok(()));
    }

    pub(super) fn answer(&mut self, leaf: usize, job: Job, result: Result<(), Failure>) {
        let span = self.latency(job.entry, leaf);
        self.after(span, Event::Reply { job, leaf, result });
    }

    pub(super) fn reply(&mut self, job: &Job, leaf: usize, result: Result<(), Failure>) {
        let (at, now) = (job.entry, self.now);
        if self.entries[at].dead {
            return;
        }
        let link = &mut self.entries[at].links[leaf];
        if link.silent.contains(&job.conn) {
            return;
        }
        if link.flying.remove(&(job.query, job.call)).is_none() {
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
                self.event(at, job.query, |q, cx| q.answer(call, version, parts, cx));
            }
            Err(failure) => self.event(at, job.query, |q, cx| q.fail(call, failure, cx)),
        }
    }

    pub(super) fn cancel(&mut self, at: usize, query: u64, call: CallId) {
        for leaf in 0..self.leafs.len() {
            let link = &mut self.entries[at].links[leaf];
            link.waiting.retain(|w| (w.query, w.call) != (query, call));
            let Some(conn) = link.flying.remove(&(query, call)) else {
                continue;
            };
            link.pool.abandoned(conn);
            let span = self.latency(at, leaf);
            self.after(
                span,
                Event::CancelAt {
                    leaf,
                    entry: at,
                    query,
                    call,
                },
            );
            return;
        }
    }

    /// The pings of a connection found that it is silent: it closes, and the
    /// calls on it are lost.
    pub(super) fn found_silent(&mut self, at: usize, leaf: usize, conn: ConnId) {
        if self.entries[at].links[leaf].silent.contains(&conn) {
            self.entries[at].links[leaf].pool.closed(conn);
            self.close(at, leaf, conn);
        }
    }

    /// Closes a silent connection; the calls on it are cut off.
    pub(super) fn close(&mut self, at: usize, leaf: usize, conn: ConnId) {
        self.leafs[leaf].connections = self.leafs[leaf].connections.saturating_sub(1);
        let link = &mut self.entries[at].links[leaf];
        link.silent.retain(|c| *c != conn);
        let lost: Vec<(u64, CallId)> = link
            .flying
            .iter()
            .filter(|(_, c)| **c == conn)
            .map(|(key, _)| *key)
            .collect();
        for (query, call) in lost {
            self.entries[at].links[leaf].flying.remove(&(query, call));
            self.event(at, query, |q, c| q.fail(call, Failure::ConnectionSilent, c));
        }
    }

    pub(super) fn tick(&mut self, at: usize, id: u64) {
        if let Some(request) = self.entries[at].requests.get_mut(&id) {
            request.ticking = Time::MAX;
        }
        self.event(at, id, |query, cx| query.tick(cx));
    }
}

/// Time between two pauses of a leaf.
const PAUSE_EVERY: Duration = Duration::from_secs(6);
/// Share of that by which the pauses of one leaf follow those of the one before:
/// the golden section, which spreads any number of them.
const PAUSE_SHIFT: f64 = 0.618;

/// The time by which pauses of `leaf` delay a call that would run for `span`.
fn paused(leaf: usize, now: Time, span: Duration) -> Duration {
    let every = PAUSE_EVERY.as_secs_f64();
    let phase = (leaf as f64 * PAUSE_SHIFT).fract() * every;
    let since = (now.since(Time::ZERO).as_secs_f64() + every - phase) % every;
    let since = Duration::from_secs_f64(since);
    if since < PAUSE {
        PAUSE - since
    } else if since + span > PAUSE_EVERY {
        PAUSE
    } else {
        Duration::ZERO
    }
}
