//! The deployments that are modelled: their size, capacity and latencies.

use std::time::Duration;

use chestnut_unit::{ServiceName, Share};

use super::leaf::mean_to_median;

/// A modelled deployment: one service, its leafs and its entries.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of entries.
    pub entries: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of shards.
    pub shards: usize,
    /// Replicas of each shard.
    pub replicas: usize,
    /// Number of leafs.
    pub leafs: usize,
    /// Calls that a leaf runs concurrently.
    pub slots: usize,
    /// Connections that a leaf accepts.
    pub connections: usize,
    /// Maximum pool size of an entry for a leaf.
    pub pool: usize,
    /// Additional connections allowed while some are quiet.
    pub spare: usize,
    /// Time to open a connection.
    pub open: Duration,
    /// Median service time of a call.
    pub median: Duration,
    /// One-way latency within a failure domain.
    pub near: Duration,
    /// One-way latency between failure domains.
    pub far: Duration,
    /// Duration of a run.
    pub span: Duration,
    /// Capacity of a leaf's queue, in calls.
    pub queue: usize,
    /// Latency objective of callers. If set, they accept partial answers and
    /// retry once when not served.
    pub goal: Option<Duration>,
    /// Minimum coverage of an answer.
    pub least: Share,
}

impl Shape {
    /// Returns the ladder service of Flipperhouse League Search.
    #[must_use]
    pub fn ladder() -> Self {
        Self {
            service: ServiceName::new("ladder").expect("a legal name"),
            entries: 7,
            domains: 3,
            shards: 10,
            replicas: 3,
            leafs: 30,
            slots: 5,
            connections: 40,
            pool: 2,
            spare: 2,
            open: Duration::from_millis(6),
            median: Duration::from_millis(4),
            near: Duration::from_micros(300),
            far: Duration::from_micros(1500),
            span: Duration::from_secs(20),
            queue: 64,
            goal: None,
            least: Share::FULL,
        }
    }

    /// Returns a standings search with longer calls, partial answers and a
    /// latency objective, which leaves out the network delay to the caller.
    #[must_use]
    pub fn search() -> Self {
        Self {
            service: ServiceName::new("search").expect("a legal name"),
            entries: 6,
            pool: 6,
            spare: 0,
            median: Duration::from_millis(26),
            far: Duration::from_micros(1400),
            queue: 30,
            goal: Some(Duration::from_millis(174)),
            least: Share::from_permille(890),
            ..Self::ladder()
        }
    }

    /// Returns the archive-reader service of Hangin Pollen.
    #[must_use]
    pub fn archive() -> Self {
        Self {
            service: ServiceName::new("archive-reader").expect("a legal name"),
            shards: 20,
            leafs: 20,
            slots: 4,
            open: Duration::from_millis(1),
            median: Duration::from_millis(12),
            far: Duration::from_millis(1),
            ..Self::ladder()
        }
    }

    /// Returns a service with a wide fan-out.
    #[must_use]
    pub fn wide() -> Self {
        Self {
            service: ServiceName::new("wide").expect("a legal name"),
            shards: 300,
            leafs: 900,
            ..Self::ladder()
        }
    }

    /// Returns the queries per second that the slots of all leafs can serve.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let slots = (self.leafs * self.slots) as f64;
        slots / (self.shards as f64 * self.median.as_secs_f64() * mean_to_median())
    }
}
