//! The deployments that are modelled.

use std::time::Duration;

use chestnut_unit::{ServiceName, Share};

use super::leaf::mean_factor;

/// A deployment to experiment with: one service and its entries.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Name of the service.
    pub service: ServiceName,
    /// Entries.
    pub entries: usize,
    /// Failure domains.
    pub domains: usize,
    /// Shards.
    pub shards: usize,
    /// Replicas of each shard.
    pub replicas: usize,
    /// Leafs.
    pub leafs: usize,
    /// Slots of a leaf.
    pub slots: usize,
    /// Connections that a leaf accepts.
    pub connections: usize,
    /// Connections that an entry opens to a leaf.
    pub pool: usize,
    /// Connections more while some are quiet.
    pub spare: usize,
    /// Time to open a connection.
    pub open: Duration,
    /// Median time of a call.
    pub median: Duration,
    /// One-way latency within a failure domain.
    pub near: Duration,
    /// One-way latency between failure domains.
    pub far: Duration,
    /// Length of a run.
    pub span: Duration,
    /// Calls that a leaf queues.
    pub queue: usize,
    /// Within what time callers want their answers, if they take answers that
    /// lack shards and come back once when refused.
    pub goal: Option<Duration>,
    /// Least share of shards that an answer covers.
    pub least: Share,
}

impl Shape {
    /// Ladder of Flipperhouse League Search, with seven entries.
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

    /// Standings search on the users' platform, with six entries: longer calls,
    /// answers that may lack one shard of ten, 200 ms to be in time.
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

    /// Archive-reader of Hangin Pollen, with seven entries.
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

    /// A wide fan-out, towards the size to design for: 300 shards.
    #[must_use]
    pub fn wide() -> Self {
        Self {
            service: ServiceName::new("wide").expect("a legal name"),
            shards: 300,
            leafs: 900,
            ..Self::ladder()
        }
    }

    /// Queries a second that the slots can serve.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let slots = (self.leafs * self.slots) as f64;
        slots / (self.shards as f64 * self.median.as_secs_f64() * mean_factor())
    }
}
