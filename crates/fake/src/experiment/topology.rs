//! The deployments that are modelled: their size, capacity and latencies.

use std::time::Duration;

use chestnut_unit::{ServiceName, Share};

use super::leaf::mean_to_median;

/// A modelled deployment: one service, its leafs and its entries.
#[derive(Clone, Debug)]
pub struct Topology {
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
    pub pool_size: usize,
    /// Additional connections allowed while some are quiet.
    pub spare_connections: usize,
    /// Time to open a connection.
    pub connect_time: Duration,
    /// Median service time of a call.
    pub service_median: Duration,
    /// One-way latency within a failure domain.
    pub local_latency: Duration,
    /// One-way latency between failure domains.
    pub remote_latency: Duration,
    /// Duration of a run.
    pub span: Duration,
    /// Capacity of a leaf's queue, in calls.
    pub queue_capacity: usize,
    /// Latency objective of callers. If set, they accept partial answers and
    /// retry once when not served.
    pub objective: Option<Duration>,
    /// Minimum coverage of an answer.
    pub min_coverage: Share,
}

impl Topology {
    /// Returns the ladder service of Flipperhouse League Search: short calls, complete answers
    /// and no latency objective. The other deployments are based on it.
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
            pool_size: 2,
            spare_connections: 2,
            connect_time: Duration::from_millis(6),
            service_median: Duration::from_millis(4),
            local_latency: Duration::from_micros(300),
            remote_latency: Duration::from_micros(1500),
            span: Duration::from_secs(20),
            queue_capacity: 64,
            objective: None,
            min_coverage: Share::FULL,
        }
    }

    /// Returns a standings search with longer calls, partial answers and a
    /// latency objective, which leaves out the network delay to the caller.
    #[must_use]
    pub fn search() -> Self {
        Self {
            service: ServiceName::new("search").expect("a legal name"),
            entries: 6,
            pool_size: 6,
            spare_connections: 0,
            service_median: Duration::from_millis(26),
            remote_latency: Duration::from_micros(1400),
            queue_capacity: 30,
            objective: Some(Duration::from_millis(174)),
            min_coverage: Share::from_permille(890),
            ..Self::ladder()
        }
    }

    /// Returns the archive-reader service of Hangin Pollen: longer calls, and leafs with fewer
    /// slots than those of [`Topology::ladder`].
    #[must_use]
    pub fn archive() -> Self {
        Self {
            service: ServiceName::new("archive-reader").expect("a legal name"),
            shards: 20,
            leafs: 20,
            slots: 4,
            connect_time: Duration::from_millis(1),
            service_median: Duration::from_millis(12),
            remote_latency: Duration::from_millis(1),
            ..Self::ladder()
        }
    }

    /// Returns a service with a wide fan-out: [`Topology::ladder`] with more shards and leafs.
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
        slots / (self.shards as f64 * self.service_median.as_secs_f64() * mean_to_median())
    }
}
