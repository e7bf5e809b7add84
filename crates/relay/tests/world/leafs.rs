//! Leafs behind the port by which requests are forwarded.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use chestnut_flow::lock;
use chestnut_port::{Forward, LeafCall, LeafFailure, LeafReply, Listening};
use chestnut_route::Refusal;
use chestnut_unit::LeafId;
use futures::{FutureExt, future::BoxFuture};
use hyper::{Response, header::HeaderValue};
use tokio::{
    sync::{Semaphore, watch},
    time::{Instant, sleep},
};

/// How a leaf behaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Manner {
    /// It answers after a span with these bytes.
    Answers(Duration, Bytes),
    /// It runs calls and never answers.
    Silent,
    /// It refuses calls before running them.
    Full,
    /// It runs calls and its answers are lost.
    Loses,
    /// It ends after a span, and with it the calls that it runs.
    LosesAfter(Duration),
    /// It runs calls and answers with a failure of its own.
    Fails,
    /// It takes calls for wrong ones and says so.
    Rejects,
}

/// A call that a leaf got.
#[derive(Clone, Debug)]
pub struct Got {
    pub leaf: LeafId,
    pub address: SocketAddr,
    pub request: String,
    pub path: String,
    pub at: Instant,
    pub left: Duration,
    pub connections: usize,
}

#[derive(Default)]
struct World {
    manners: BTreeMap<LeafId, Manner>,
    got: Vec<Got>,
    cancelled: usize,
    /// Calls under way, by leaf.
    live: BTreeMap<LeafId, usize>,
    /// Slots of leafs that run calls one after the other beyond them.
    slots: BTreeMap<LeafId, Arc<Semaphore>>,
    /// Paths of requests that end the leafs which run them.
    deadly: BTreeSet<String>,
    /// Until when leafs that ended are away.
    away: BTreeMap<LeafId, Instant>,
    /// Ends of each leaf so far, told to the calls that it runs.
    ends: BTreeMap<LeafId, watch::Sender<usize>>,
    ended: Vec<Ended>,
}

/// A leaf that ended.
#[derive(Clone, Debug)]
pub struct Ended {
    pub leaf: LeafId,
    pub at: Instant,
    /// Whether a deadly request ended it.
    pub deadly: bool,
}

/// How long a leaf runs a deadly request before it ends, and how long it is away then.
const DEADLY_AFTER: Duration = Duration::from_millis(10);
const AWAY: Duration = Duration::from_secs(3);

/// Leafs behind the port by which requests are forwarded.
#[derive(Clone, Default)]
pub struct FakeLeafs(Arc<Mutex<World>>);

impl FakeLeafs {
    pub fn set(&self, leaf: &LeafId, manner: Manner) {
        lock(&self.0).manners.insert(leaf.clone(), manner);
    }

    /// Has a leaf run `slots` calls at once; more wait.
    pub fn set_slots(&self, leaf: &LeafId, slots: usize) {
        let slots = Arc::new(Semaphore::new(slots));
        lock(&self.0).slots.insert(leaf.clone(), slots);
    }

    /// Has every leaf that begins to run a request for `path` end.
    pub fn set_deadly(&self, path: &str) {
        lock(&self.0).deadly.insert(path.to_owned());
    }

    /// Has requests for `path` be as others again.
    pub fn mend(&self, path: &str) {
        lock(&self.0).deadly.remove(path);
    }

    /// Ends a leaf, with all calls that it runs; it is back after some seconds.
    pub fn end(&self, leaf: &LeafId) {
        self.end_by(leaf, false);
    }

    fn end_by(&self, leaf: &LeafId, deadly: bool) {
        let mut world = lock(&self.0);
        let at = Instant::now();
        if world.is_away(leaf) {
            return;
        }
        world.away.insert(leaf.clone(), at + AWAY);
        world.ended.push(Ended {
            leaf: leaf.clone(),
            at,
            deadly,
        });
        if let Some(ends) = world.ends.get(leaf) {
            ends.send_modify(|ends| *ends += 1);
        }
    }

    /// Leafs that ended so far.
    pub fn ended(&self) -> Vec<Ended> {
        lock(&self.0).ended.clone()
    }

    pub fn got(&self) -> Vec<Got> {
        lock(&self.0).got.clone()
    }

    /// Calls that were given up before they ended.
    pub fn cancelled(&self) -> usize {
        lock(&self.0).cancelled
    }
}

impl World {
    fn is_away(&self, leaf: &LeafId) -> bool {
        let until = self.away.get(leaf);
        until.is_some_and(|until| Instant::now() < *until)
    }

    /// The ends of a leaf, for a call that it runs.
    fn ends(&mut self, leaf: &LeafId) -> watch::Receiver<usize> {
        let ends = self.ends.entry(leaf.clone());
        ends.or_insert_with(|| watch::Sender::new(0)).subscribe()
    }
}

/// A call under way.
struct Under {
    leafs: FakeLeafs,
    leaf: LeafId,
    ended: bool,
}

impl Drop for Under {
    fn drop(&mut self) {
        let mut world = lock(&self.leafs.0);
        world.cancelled += usize::from(!self.ended);
        if let Some(live) = world.live.get_mut(&self.leaf) {
            *live -= 1;
        }
    }
}

fn leaf_reply(leaf: &LeafId, status: u16, body: Bytes) -> LeafReply {
    let mut answer = Response::new(body);
    *answer.status_mut() = status.try_into().unwrap();
    LeafReply {
        answer,
        proof: HeaderValue::from_str(leaf.as_str()).unwrap(),
    }
}

impl Forward for FakeLeafs {
    fn call(&self, call: LeafCall) -> BoxFuture<'static, Result<LeafReply, LeafFailure>> {
        let this = self.clone();
        async move {
            let (manner, slots, mut ends, deadly) = {
                let mut world = lock(&this.0);
                if world.is_away(&call.leaf) {
                    return Err(LeafFailure::Unsent);
                }
                let live = world.live.entry(call.leaf.clone()).or_default();
                if *live >= call.connections {
                    return Err(LeafFailure::Refused(Refusal::Connections));
                }
                *live += 1;
                world.got.push(Got {
                    leaf: call.leaf.clone(),
                    address: call.address,
                    request: call.message.id.clone(),
                    path: call.message.target.to_string(),
                    at: Instant::now(),
                    left: call.left,
                    connections: call.connections,
                });
                let manner = world.manners.get(&call.leaf).cloned();
                let slots = world.slots.get(&call.leaf).cloned();
                let deadly = world.deadly.contains(call.message.target.as_str());
                (manner, slots, world.ends(&call.leaf), deadly)
            };
            if deadly {
                let (leafs, leaf) = (this.clone(), call.leaf.clone());
                // Also if the call is given up.
                tokio::spawn(async move {
                    sleep(DEADLY_AFTER).await;
                    leafs.end_by(&leaf, true);
                });
            }
            let mut under = Under {
                leafs: this,
                leaf: call.leaf.clone(),
                ended: false,
            };
            let answer = async {
                match manner {
                    Some(Manner::Answers(span, body)) => {
                        let _slot = match &slots {
                            Some(slots) => slots.acquire().await.ok(),
                            None => None,
                        };
                        sleep(span).await;
                        Ok(leaf_reply(&call.leaf, 200, body))
                    }
                    Some(Manner::Silent) => futures::future::pending().await,
                    Some(Manner::Full) => Err(LeafFailure::Refused(Refusal::Shed)),
                    Some(Manner::Loses) => {
                        sleep(Duration::from_millis(5)).await;
                        Err(LeafFailure::Lost)
                    }
                    Some(Manner::LosesAfter(span)) => {
                        sleep(span).await;
                        Err(LeafFailure::Lost)
                    }
                    Some(Manner::Fails) => {
                        sleep(Duration::from_millis(5)).await;
                        let reply = leaf_reply(&call.leaf, 500, Bytes::new());
                        Err(LeafFailure::Failed(reply))
                    }
                    Some(Manner::Rejects) => {
                        let body = Bytes::from_static(b"no such path here");
                        Ok(leaf_reply(&call.leaf, 404, body))
                    }
                    None => Err(LeafFailure::Unsent),
                }
            };
            let result = tokio::select! {
                biased;
                _ = ends.changed() => Err(LeafFailure::Lost),
                answer = answer, if !deadly => answer,
            };
            under.ended = true;
            result
        }
        .boxed()
    }

    fn listening(&self, leaf: &LeafId, _: SocketAddr) -> BoxFuture<'static, Listening> {
        let away = lock(&self.0).is_away(leaf);
        async move {
            match away {
                true => Listening::No,
                false => Listening::Yes,
            }
        }
        .boxed()
    }

    fn forget(&self, _: &LeafId) {}
}
