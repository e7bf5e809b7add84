//! The fake at the port to targets: leafs with their own accounts.

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

use crate::links::{Life, lock};

/// Time of a call at a leaf.
const WORK: Duration = Duration::from_millis(4);
/// One-way time to a leaf.
const LATENCY: Duration = Duration::from_micros(1500);
/// Time until the pings of a silent connection find it out.
const PING_FINDS: Duration = Duration::from_millis(1500);
/// Time after which a leaf that is leaving must get no new work.
pub(crate) const LEAVE_GRACE: Duration = Duration::from_secs(3);

/// A leaf, and its own account of what it did.
#[derive(Debug, Default)]
pub(crate) struct Leaf {
    pub(crate) dead: bool,
    pub(crate) draining: bool,
    pub(crate) left: Option<Instant>,
    pub(crate) frozen: Option<Instant>,
    pub(crate) slow: u32,
    pub(crate) lose_answers: bool,
    pub(crate) repeat: bool,
    pub(crate) stray: bool,
    pub(crate) silenced: Option<Instant>,
    pub(crate) shards: BTreeMap<IndexVersion, BTreeSet<ShardName>>,
    pub(crate) applied: BTreeMap<String, u64>,
    pub(crate) ran: BTreeSet<u64>,
    pub(crate) late_calls: u64,
    pub(crate) holders: BTreeMap<usize, usize>,
    pub(crate) peak: usize,
}

impl Leaf {
    fn note_call(&mut self) {
        if self.left.is_some_and(|at| at.elapsed() > LEAVE_GRACE) {
            self.late_calls += 1;
        }
    }
}

/// All leafs.
pub(crate) type Leafs = Arc<Mutex<BTreeMap<LeafId, Leaf>>>;

/// The leafs as one life of an entry reaches them.
pub(crate) struct FakeTargets {
    pub(crate) leafs: Leafs,
    pub(crate) entry: usize,
    pub(crate) life: Arc<Life>,
    pub(crate) held: Mutex<BTreeSet<LeafId>>,
}

impl FakeTargets {
    /// Brings a call to a leaf and waits for its work to be done.
    async fn reach(&self, id: &LeafId) -> Result<(), Failure> {
        self.life.gate().await;
        let silent = self.with(id, |leaf| match leaf.silenced {
            Some(at) if at.elapsed() < PING_FINDS => Some(at + PING_FINDS),
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
            leaf.note_call();
            leaf.frozen
        });
        if let Some(until) = frozen.flatten() {
            sleep_until(until).await;
        }
        let slow = self.with(id, |leaf| leaf.slow.max(1)).unwrap_or(1);
        sleep(WORK * slow).await;
        if self.with(id, |leaf| leaf.dead).unwrap_or(true) {
            return Err(Failure::Lost);
        }
        Ok(())
    }

    fn with<T>(&self, id: &LeafId, act: impl FnOnce(&mut Leaf) -> T) -> Option<T> {
        lock(&self.leafs).get_mut(id).map(act)
    }
}

impl Targets for FakeTargets {
    fn query(&self, call: LeafQuery) -> BoxFuture<'_, Result<LeafAnswer, Failure>> {
        async move {
            let here = self.with(&call.leaf, |leaf| holds(leaf, &call));
            if here == Some(false) && !self.with(&call.leaf, |l| l.dead).unwrap_or(true) {
                sleep(LATENCY * 2).await;
                return Err(Failure::Refused(Refusal::NoSnapshot));
            }
            self.reach(&call.leaf).await?;
            let number = number_of(&call.body);
            let answer = self.with(&call.leaf, |leaf| {
                if !holds(leaf, &call) {
                    return Err(Failure::Refused(Refusal::NoSnapshot));
                }
                leaf.ran.insert(number);
                Ok(answer_of(leaf, &call, number))
            });
            sleep(LATENCY).await;
            self.life.gate().await;
            answer.unwrap_or(Err(Failure::Lost))
        }
        .boxed()
    }

    fn submit(&self, call: LeafSubmit) -> BoxFuture<'_, Result<Bytes, Failure>> {
        async move {
            self.reach(&call.leaf).await?;
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
            self.life.gate().await;
            Ok(Bytes::from_static(br#"{"accepted":true}"#))
        }
        .boxed()
    }

    fn state(&self, leaf: LeafId, _: SocketAddr) -> BoxFuture<'_, Option<LeafState>> {
        async move {
            self.life.gate().await;
            sleep(LATENCY * 2).await;
            self.with(&leaf, |leaf| {
                let asleep = leaf.frozen.is_some_and(|until| Instant::now() < until);
                if leaf.dead || asleep {
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

    fn set_leafs(&self, leafs: Vec<(LeafId, SocketAddr)>, most: usize) {
        let now: BTreeSet<LeafId> = leafs.into_iter().map(|(id, _)| id).collect();
        let before = std::mem::replace(&mut *lock(&self.held), now.clone());
        let mut all = lock(&self.leafs);
        for id in before.difference(&now) {
            if let Some(leaf) = all.get_mut(id) {
                leaf.holders.remove(&self.entry);
            }
        }
        for id in &now {
            if let Some(leaf) = all.get_mut(id) {
                leaf.holders.insert(self.entry, most);
                leaf.peak = leaf.peak.max(leaf.holders.values().sum());
            }
        }
    }

    fn connections(&self) -> Vec<(LeafId, usize)> {
        let held = lock(&self.held);
        held.iter().map(|id| (id.clone(), 1)).collect()
    }
}

/// Whether a leaf holds every shard of a call in its version.
fn holds(leaf: &Leaf, call: &LeafQuery) -> bool {
    let held = leaf.shards.get(&call.version);
    held.is_some_and(|held| call.shards.iter().all(|shard| held.contains(shard)))
}

/// The number that the caller put into its query.
fn number_of(body: &[u8]) -> u64 {
    let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    body["number"].as_u64().unwrap_or(0)
}

/// The answer to a query call: each row names shard, version and number, so
/// that a part of another snapshot or request is seen in the merged answer.
fn answer_of(leaf: &Leaf, call: &LeafQuery, number: u64) -> LeafAnswer {
    let version = IndexVersion(call.version.0 + u64::from(leaf.stray));
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
