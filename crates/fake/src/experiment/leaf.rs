//! The model of a leaf: slots, a queue, and what can go wrong with it.

use std::{collections::VecDeque, time::Duration};

use chestnut_route::{CallId, ConnId};
use chestnut_unit::{IndexVersion, Time};
use rand::Rng;

/// A call at a leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Job {
    pub(super) entry: usize,
    pub(super) query: u64,
    pub(super) call: CallId,
    pub(super) conn: ConnId,
    pub(super) version: IndexVersion,
    pub(super) shards: Vec<usize>,
}

/// A leaf.
#[derive(Debug)]
pub(super) struct Leaf {
    pub(super) domain: usize,
    pub(super) slots: usize,
    pub(super) queue_max: usize,
    pub(super) slow: f64,
    pub(super) cold: Option<Time>,
    pub(super) dead: bool,
    pub(super) versions: Vec<IndexVersion>,
    pub(super) connections: usize,
    pub(super) connections_peak: usize,
    running: Vec<(u64, Job)>,
    queue: VecDeque<Job>,
    next: u64,
}

/// What a leaf does with a new call.
pub(super) enum Taken {
    /// It starts; this is its number.
    Runs(u64),
    /// It waits for a slot.
    Waits,
    /// It is shed.
    Shed,
}

/// Time in which a cold leaf comes to its full speed.
const WARM_UP: Duration = Duration::from_secs(5);
/// Factor on the time of a call to a leaf that has just started.
const COLD: f64 = 8.0;
/// Spread of service times: the standard deviation of their logarithm.
const SPREAD: f64 = 0.25;

impl Leaf {
    pub(super) fn new(domain: usize, slots: usize, queue_max: usize) -> Self {
        Self {
            domain,
            slots,
            queue_max,
            slow: 1.0,
            cold: None,
            dead: false,
            versions: vec![IndexVersion(1)],
            connections: 0,
            connections_peak: 0,
            running: Vec::new(),
            queue: VecDeque::new(),
            next: 0,
        }
    }

    pub(super) fn connect(&mut self) {
        self.connections += 1;
        self.connections_peak = self.connections_peak.max(self.connections);
    }

    pub(super) fn take(&mut self, job: Job) -> Taken {
        if self.running.len() < self.slots {
            return Taken::Runs(self.start(job));
        }
        if self.queue.len() >= self.queue_max {
            return Taken::Shed;
        }
        self.queue.push_back(job);
        Taken::Waits
    }

    /// A call is done; returns it and the number of the one that starts now.
    pub(super) fn done(&mut self, number: u64) -> Option<(Job, Option<u64>)> {
        let at = self.running.iter().position(|(n, _)| *n == number)?;
        let (_, job) = self.running.swap_remove(at);
        Some((job, self.refill()))
    }

    /// A call is cancelled; returns the number of the one that starts now.
    pub(super) fn cancel(&mut self, entry: usize, query: u64, call: CallId) -> Option<u64> {
        let same = |job: &Job| job.entry == entry && job.query == query && job.call == call;
        if let Some(at) = self.queue.iter().position(same) {
            self.queue.remove(at);
            return None;
        }
        let at = self.running.iter().position(|(_, job)| same(job))?;
        self.running.swap_remove(at);
        self.refill()
    }

    /// Ends every call, as when the leaf dies.
    pub(super) fn drop_all(&mut self) -> Vec<Job> {
        let running = self.running.drain(..).map(|(_, job)| job);
        running.chain(self.queue.drain(..)).collect()
    }

    pub(super) fn load(&self) -> f64 {
        (self.running.len() + self.queue.len()) as f64 / self.slots as f64
    }

    /// Factor on service times now.
    pub(super) fn factor(&self, now: Time) -> f64 {
        let Some(since) = self.cold else {
            return self.slow;
        };
        let age = (now.since(since).as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0);
        self.slow * (COLD - (COLD - 1.0) * age)
    }

    fn refill(&mut self) -> Option<u64> {
        let job = self.queue.pop_front()?;
        Some(self.start(job))
    }

    fn start(&mut self, job: Job) -> u64 {
        self.next += 1;
        self.running.push((self.next, job));
        self.next
    }
}

/// A draw from 0 to 1.
pub(super) fn unit(rng: &mut dyn Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// A service time around `median`.
pub(super) fn service_time(median: Duration, rng: &mut dyn Rng) -> Duration {
    let radius = (-2.0 * (1.0 - unit(rng)).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * unit(rng)).cos();
    median.mul_f64((SPREAD * normal).exp())
}

/// Mean of [`service_time`] as a multiple of the median.
pub(super) fn mean_factor() -> f64 {
    (SPREAD * SPREAD / 2.0).exp()
}
