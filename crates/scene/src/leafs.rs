//! Simulated leafs behind the [`Targets`] port; each records what it executed.
//!
//! A leaf is a back end that holds replicas of shards.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use chestnut_port::{LeafAnswer, LeafQuery, LeafState, LeafSubmit, Targets};
use chestnut_route::{Failure, Refusal};
use chestnut_unit::{IndexVersion, LeafId, ShardName};
use futures::{FutureExt, future::BoxFuture};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::links::{ProcessGate, lock};

/// Service time of a call at a leaf.
const SERVICE_TIME: Duration = Duration::from_millis(4);
/// One-way network delay to a leaf.
const LATENCY: Duration = Duration::from_micros(1500);
/// Time until keep-alive pings detect an unresponsive connection.
const PING_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which a leaf that is leaving must receive no new calls.
pub(crate) const LEAVE_GRACE: Duration = Duration::from_secs(3);

/// State of a simulated leaf: its faults, and what it executed.
#[derive(Debug, Default)]
pub(crate) struct Leaf {
    /// Whether it has crashed.
    pub(crate) dead: bool,
    /// Whether it reports that it is draining.
    pub(crate) draining: bool,
    /// When it reported, or the platform listed, that it is leaving.
    pub(crate) leaving_since: Option<Instant>,
    /// Until when it answers no call.
    pub(crate) frozen_until: Option<Instant>,
    /// Factor on the service time; 0 counts as 1.
    pub(crate) slow: u32,
    /// Whether answers to submissions are lost.
    pub(crate) lose_answers: bool,
    /// Whether answers to queries contain their rows twice.
    pub(crate) repeat: bool,
    /// Whether queries are answered from the next index version.
    pub(crate) wrong_version: bool,
    /// When its open connections became unresponsive.
    pub(crate) silent_since: Option<Instant>,
    /// Shards that it holds, by index version.
    pub(crate) shards: BTreeMap<IndexVersion, BTreeSet<ShardName>>,
    /// How many times each submission took effect, by identifier.
    pub(crate) applied: BTreeMap<String, u64>,
    /// Numbers of the queries that ran.
    pub(crate) ran: BTreeSet<u64>,
    /// Number of calls received later than [`LEAVE_GRACE`] after it left.
    pub(crate) late_calls: u64,
    /// Connections that each entry may keep to it.
    pub(crate) connections: BTreeMap<usize, usize>,
    /// Highest sum of `connections` so far.
    pub(crate) peak: usize,
}

impl Leaf {
    /// Counts a call as late if the leaf began to leave more than [`LEAVE_GRACE`] ago.
    fn count_late_call(&mut self) {
        if self
            .leaving_since
            .is_some_and(|at| at.elapsed() > LEAVE_GRACE)
        {
            self.late_calls += 1;
        }
    }
}

/// All leafs of a scenario, shared by the ports of its entries.
pub(crate) type Leafs = Arc<Mutex<BTreeMap<LeafId, Leaf>>>;

/// Simulated [`Targets`] port of one incarnation of an entry.
pub(crate) struct FakeTargets {
    /// All leafs.
    pub(crate) leafs: Leafs,
    /// Number of the entry.
    pub(crate) entry: usize,
    /// Suspends calls while the entry doesn't run.
    pub(crate) gate: Arc<ProcessGate>,
    /// Leafs that the entry keeps connections to.
    pub(crate) connected: Mutex<BTreeSet<LeafId>>,
}

impl FakeTargets {
    /// Waits until the entry runs, then for the network delay, the end of a freeze and the
    /// service time multiplied by `slow`; counts a late call. Fails with `NotSent` if the leaf
    /// is down or unknown, and `Lost` if it crashes meanwhile.
    ///
    /// While connections have been silent for less than [`PING_TIMEOUT`], fails with
    /// `ConnectionSilent` that long after the silence began; later calls go through.
    async fn deliver(&self, id: &LeafId) -> Result<(), Failure> {
        self.gate.wait_running().await;
        let silent = self.with(id, |leaf| match leaf.silent_since {
            Some(at) if at.elapsed() < PING_TIMEOUT => Some(at + PING_TIMEOUT),
            _ => None,
        });
        if let Some(until) = silent.flatten() {
            sleep_until(until).await;
            return Err(Failure::ConnectionSilent);
        }
        sleep(LATENCY).await;
        let dead = self.with(id, |leaf| leaf.dead).unwrap_or(true);
        if dead {
            return Err(Failure::NotSent);
        }
        let frozen = self.with(id, |leaf| {
            leaf.count_late_call();
            leaf.frozen_until
        });
        if let Some(until) = frozen.flatten() {
            sleep_until(until).await;
        }
        let slow = self.with(id, |leaf| leaf.slow.max(1)).unwrap_or(1);
        sleep(SERVICE_TIME * slow).await;
        if self.with(id, |leaf| leaf.dead).unwrap_or(true) {
            return Err(Failure::Lost);
        }
        Ok(())
    }

    /// Applies `act` to a leaf under the lock; `None` if it is unknown.
    fn with<T>(&self, id: &LeafId, act: impl FnOnce(&mut Leaf) -> T) -> Option<T> {
        lock(&self.leafs).get_mut(id).map(act)
    }
}

impl Targets for FakeTargets {
    fn query(&self, call: LeafQuery) -> BoxFuture<'_, Result<LeafAnswer, Failure>> {
        async move {
            let has_shards = self.with(&call.leaf, |leaf| holds_shards(leaf, &call));
            if has_shards == Some(false) && !self.with(&call.leaf, |l| l.dead).unwrap_or(true) {
                sleep(LATENCY * 2).await;
                return Err(Failure::Refused(Refusal::NoSnapshot));
            }
            self.deliver(&call.leaf).await?;
            let number = number_of(&call.body);
            let answer = self.with(&call.leaf, |leaf| {
                if !holds_shards(leaf, &call) {
                    return Err(Failure::Refused(Refusal::NoSnapshot));
                }
                leaf.ran.insert(number);
                Ok(answer_of(leaf, &call, number))
            });
            sleep(LATENCY).await;
            self.gate.wait_running().await;
            answer.unwrap_or(Err(Failure::Lost))
        }
        .boxed()
    }

    fn submit(&self, call: LeafSubmit) -> BoxFuture<'_, Result<Bytes, Failure>> {
        async move {
            self.deliver(&call.leaf).await?;
            let body: serde_json::Value = serde_json::from_slice(&call.body).unwrap_or_default();
            let id = body["id"].as_str().unwrap_or_default().to_owned();
            let lost = self.with(&call.leaf, |leaf| {
                *leaf.applied.entry(id).or_default() += 1;
                leaf.lose_answers
            });
            if lost == Some(true) {
                std::future::pending::<()>().await;
            }
            sleep(LATENCY).await;
            self.gate.wait_running().await;
            Ok(Bytes::from_static(br#"{"accepted":true}"#))
        }
        .boxed()
    }

    fn state(&self, leaf: LeafId, _: SocketAddr) -> BoxFuture<'_, Option<LeafState>> {
        async move {
            self.gate.wait_running().await;
            sleep(LATENCY * 2).await;
            self.with(&leaf, |leaf| {
                let frozen = leaf
                    .frozen_until
                    .is_some_and(|until| Instant::now() < until);
                if leaf.dead || frozen {
                    return None;
                }
                Some(LeafState {
                    healthy: true,
                    draining: leaf.draining,
                    load: 0.0,
                    versions: leaf.shards.keys().copied().collect(),
                })
            })
            .flatten()
        }
        .boxed()
    }

    fn set_leafs(&self, leafs: Vec<(LeafId, SocketAddr)>, max_conns: usize) {
        let now: BTreeSet<LeafId> = leafs.into_iter().map(|(id, _)| id).collect();
        let before = std::mem::replace(&mut *lock(&self.connected), now.clone());
        let mut all = lock(&self.leafs);
        for id in before.difference(&now) {
            if let Some(leaf) = all.get_mut(id) {
                leaf.connections.remove(&self.entry);
            }
        }
        for id in &now {
            if let Some(leaf) = all.get_mut(id) {
                leaf.connections.insert(self.entry, max_conns);
                leaf.peak = leaf.peak.max(leaf.connections.values().sum());
            }
        }
    }

    fn connections(&self) -> Vec<(LeafId, usize)> {
        let connected = lock(&self.connected);
        connected.iter().map(|id| (id.clone(), 1)).collect()
    }
}

/// Returns whether a leaf holds all shards of a call in its index version.
fn holds_shards(leaf: &Leaf, call: &LeafQuery) -> bool {
    let held = leaf.shards.get(&call.version);
    held.is_some_and(|held| call.shards.iter().all(|shard| held.contains(shard)))
}

/// Returns the number that identifies a query, from its body; 0 if it has none.
fn number_of(body: &[u8]) -> u64 {
    let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    body["number"].as_u64().unwrap_or(0)
}

/// Builds the answer to a query call, one row for each shard, or two with the fault
/// `repeat`. Each row names shard, version and query number, so that rows of another
/// snapshot or query show in a merged answer.
fn answer_of(leaf: &Leaf, call: &LeafQuery, number: u64) -> LeafAnswer {
    let version = IndexVersion(call.version.0 + u64::from(leaf.wrong_version));
    let part = |shard: &ShardName| {
        let rows = json!([{
            "shard": shard, "version": version, "number": number,
        }]);
        (shard.clone(), Bytes::from(rows.to_string()))
    };
    let mut parts: Vec<_> = call.shards.iter().map(part).collect();
    if leaf.repeat {
        parts.extend(call.shards.iter().map(part));
    }
    LeafAnswer {
        version,
        parts,
        draining: leaf.draining,
    }
}
