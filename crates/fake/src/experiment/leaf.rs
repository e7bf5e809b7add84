//! The model of a leaf, a server of shards: slots, a bounded queue, slowdowns
//! and crashes.

use std::{collections::VecDeque, time::Duration};

use chestnut_route::{CallId, ConnId};
use chestnut_unit::{IndexVersion, Time};
use rand::Rng;

/// A call as a leaf sees it: where it comes from (entry, query, call, connection),
/// index version and shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Job {
    pub(super) entry: usize,
    pub(super) query: u64,
    pub(super) call: CallId,
    pub(super) conn: ConnId,
    pub(super) version: IndexVersion,
    pub(super) shards: Vec<usize>,
}

/// A modelled leaf: its slots, queue, running calls, connections and slowdowns.
#[derive(Debug)]
pub(super) struct Leaf {
    pub(super) domain: usize,
    pub(super) slots: usize,
    /// Capacity of the queue.
    pub(super) queue_max: usize,
    /// Factor on service times from an injected fault.
    pub(super) fault_factor: f64,
    /// When the leaf turned cold.
    pub(super) cold_since: Option<Time>,
    pub(super) crashed: bool,
    /// Index versions that the leaf serves.
    pub(super) versions: Vec<IndexVersion>,
    pub(super) connections: usize,
    pub(super) peak_connections: usize,
    running: Vec<(u64, Job)>,
    queue: VecDeque<Job>,
    next_number: u64,
}

/// How a leaf handles a new call: it starts, waits in the queue, or is shed.
pub(super) enum Placement {
    /// The call runs in a slot under this number.
    Started(u64),
    /// The call waits for a slot.
    Queued,
    /// The queue is full and the call is rejected.
    Shed,
}

/// Time that a cold leaf takes to reach its full speed.
const WARM_UP: Duration = Duration::from_secs(5);
/// Factor on service times at a leaf that has just started.
const COLD_SLOWDOWN: f64 = 8.0;
/// Standard deviation of the logarithm of service times.
const LOG_STDDEV: f64 = 0.25;

impl Leaf {
    /// Creates an idle leaf.
    pub(super) fn new(domain: usize, slots: usize, queue_max: usize) -> Self {
        Self {
            domain,
            slots,
            queue_max,
            fault_factor: 1.0,
            cold_since: None,
            crashed: false,
            versions: vec![IndexVersion(1)],
            connections: 0,
            peak_connections: 0,
            running: Vec::new(),
            queue: VecDeque::new(),
            next_number: 0,
        }
    }

    /// Counts a new connection.
    pub(super) fn connect(&mut self) {
        self.connections += 1;
        self.peak_connections = self.peak_connections.max(self.connections);
    }

    /// Starts a call in a free slot, else queues it, or sheds it if the queue is full.
    pub(super) fn accept(&mut self, job: Job) -> Placement {
        if self.running.len() < self.slots {
            return Placement::Started(self.start(job));
        }
        if self.queue.len() >= self.queue_max {
            return Placement::Shed;
        }
        self.queue.push_back(job);
        Placement::Queued
    }

    /// Ends a running call; returns it and the number of the call started in its slot,
    /// if any. `None` if no such call runs.
    pub(super) fn complete(&mut self, number: u64) -> Option<(Job, Option<u64>)> {
        let at = self.running.iter().position(|(n, _)| *n == number)?;
        let (_, job) = self.running.swap_remove(at);
        Some((job, self.start_next()))
    }

    /// Cancels a running or queued call; returns the number of the call started in its
    /// slot, if any.
    pub(super) fn cancel(&mut self, entry: usize, query: u64, call: CallId) -> Option<u64> {
        let same = |job: &Job| job.entry == entry && job.query == query && job.call == call;
        if let Some(at) = self.queue.iter().position(same) {
            self.queue.remove(at);
            return None;
        }
        let at = self.running.iter().position(|(_, job)| same(job))?;
        self.running.swap_remove(at);
        self.start_next()
    }

    /// Removes and returns all running and queued calls.
    pub(super) fn drop_all(&mut self) -> Vec<Job> {
        let running = self.running.drain(..).map(|(_, job)| job);
        running.chain(self.queue.drain(..)).collect()
    }

    /// Returns running and queued calls per slot.
    pub(super) fn load(&self) -> f64 {
        (self.running.len() + self.queue.len()) as f64 / self.slots as f64
    }

    /// Returns the factor on service times at `now`: the injected slowdown, and one that falls
    /// to 1 while a cold leaf warms up.
    pub(super) fn service_factor(&self, now: Time) -> f64 {
        let Some(since) = self.cold_since else {
            return self.fault_factor;
        };
        let age = (now.since(since).as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0);
        self.fault_factor * (COLD_SLOWDOWN - (COLD_SLOWDOWN - 1.0) * age)
    }

    /// Starts the first queued call and returns its number; `None` if the queue is empty.
    fn start_next(&mut self) -> Option<u64> {
        let job = self.queue.pop_front()?;
        Some(self.start(job))
    }

    /// Starts a call and returns its number.
    fn start(&mut self, job: Job) -> u64 {
        self.next_number += 1;
        self.running.push((self.next_number, job));
        self.next_number
    }
}

/// Draws uniformly from 0 (included) to 1 (excluded).
pub(super) fn uniform(rng: &mut dyn Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Draws a log-normal service time with this median.
pub(super) fn service_time(median: Duration, rng: &mut dyn Rng) -> Duration {
    let radius = (-2.0 * (1.0 - uniform(rng)).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * uniform(rng)).cos();
    median.mul_f64((LOG_STDDEV * normal).exp())
}

/// Returns the ratio of mean to median of [`service_time`].
pub(super) fn mean_to_median() -> f64 {
    (LOG_STDDEV * LOG_STDDEV / 2.0).exp()
}
