//! Fake leafs behind the [`Forward`] port, which can be slow, overloaded or
//! unresponsive, or crash.

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

/// How a leaf handles calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Answers with these bytes after a delay.
    Answers(Duration, Bytes),
    /// Runs calls and never answers.
    Silent,
    /// Sheds calls before it runs them.
    Full,
    /// Runs calls, then loses the connection without an answer.
    Loses,
    /// Loses the connection of each call after a delay.
    LosesAfter(Duration),
    /// Runs calls and answers with status 500.
    Fails,
    /// Answers with status 404.
    Rejects,
}

/// A call that a leaf received.
#[derive(Clone, Debug)]
pub struct Got {
    /// The leaf that received it.
    pub leaf: LeafId,
    /// Address that the call was sent to.
    pub address: SocketAddr,
    /// Id of the request.
    pub request: String,
    /// Path and query of the request.
    pub path: String,
    /// When it arrived.
    pub at: Instant,
    /// Time left for the answer.
    pub left: Duration,
    /// Connections that the entry may open to the leaf.
    pub connections: usize,
}

#[derive(Default)]
struct State {
    behaviours: BTreeMap<LeafId, Manner>,
    got: Vec<Got>,
    cancelled: usize,
    /// Calls in progress, by leaf.
    in_flight: BTreeMap<LeafId, usize>,
    /// Slots of leafs that run a limited number of calls at once.
    slots: BTreeMap<LeafId, Arc<Semaphore>>,
    /// Paths of requests that crash the leafs which run them.
    deadly: BTreeSet<String>,
    /// When each crashed leaf is up again.
    down_until: BTreeMap<LeafId, Instant>,
    /// Number of crashes of each leaf, watched by the calls that it runs.
    crashes: BTreeMap<LeafId, watch::Sender<usize>>,
    ended: Vec<Ended>,
}

/// A crash of a leaf.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The leaf that crashed.
    pub leaf: LeafId,
    /// When it crashed.
    pub at: Instant,
    /// Whether a deadly request crashed it.
    pub deadly: bool,
}

/// Time that a leaf runs a deadly request before it crashes.
const CRASH_DELAY: Duration = Duration::from_millis(10);
/// Time until a crashed leaf is up again.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// Leafs that share one state, as a [`Forward`] port.
#[derive(Clone, Default)]
pub struct FakeLeafs(Arc<Mutex<State>>);

impl FakeLeafs {
    /// Sets how a leaf handles calls.
    pub fn set(&self, leaf: &LeafId, behaviour: Manner) {
        lock(&self.0).behaviours.insert(leaf.clone(), behaviour);
    }

    /// Limits a leaf to `slots` calls at once; others wait.
    pub fn set_slots(&self, leaf: &LeafId, slots: usize) {
        let slots = Arc::new(Semaphore::new(slots));
        lock(&self.0).slots.insert(leaf.clone(), slots);
    }

    /// Makes requests for `path` deadly: they crash the leafs that run them.
    pub fn set_deadly(&self, path: &str) {
        lock(&self.0).deadly.insert(path.to_owned());
    }

    /// Makes requests for `path` harmless again.
    pub fn mend(&self, path: &str) {
        lock(&self.0).deadly.remove(path);
    }

    /// Crashes a leaf with all calls that it runs; it is up again after some seconds.
    pub fn end(&self, leaf: &LeafId) {
        self.crash(leaf, false);
    }

    fn crash(&self, leaf: &LeafId, deadly: bool) {
        let mut state = lock(&self.0);
        let at = Instant::now();
        if state.is_down(leaf) {
            return;
        }
        state.down_until.insert(leaf.clone(), at + RESTART_TIME);
        state.ended.push(Ended {
            leaf: leaf.clone(),
            at,
            deadly,
        });
        if let Some(crashes) = state.crashes.get(leaf) {
            crashes.send_modify(|crashes| *crashes += 1);
        }
    }

    /// Returns the crashes so far.
    pub fn ended(&self) -> Vec<Ended> {
        lock(&self.0).ended.clone()
    }

    /// Returns the calls that leafs received so far.
    pub fn got(&self) -> Vec<Got> {
        lock(&self.0).got.clone()
    }

    /// Returns the number of calls that were cancelled before they completed.
    pub fn cancelled(&self) -> usize {
        lock(&self.0).cancelled
    }
}

impl State {
    fn is_down(&self, leaf: &LeafId) -> bool {
        let until = self.down_until.get(leaf);
        until.is_some_and(|until| Instant::now() < *until)
    }

    /// Subscribes a call to the crashes of its leaf.
    fn watch_crashes(&mut self, leaf: &LeafId) -> watch::Receiver<usize> {
        let crashes = self.crashes.entry(leaf.clone());
        crashes.or_insert_with(|| watch::Sender::new(0)).subscribe()
    }
}

/// Counts a call as in progress until dropped.
struct InFlight {
    leafs: FakeLeafs,
    leaf: LeafId,
    completed: bool,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = lock(&self.leafs.0);
        state.cancelled += usize::from(!self.completed);
        if let Some(in_flight) = state.in_flight.get_mut(&self.leaf) {
            *in_flight -= 1;
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
            let (behaviour, slots, mut crashes, deadly) = {
                let mut state = lock(&this.0);
                if state.is_down(&call.leaf) {
                    return Err(LeafFailure::Unsent);
                }
                let in_flight = state.in_flight.entry(call.leaf.clone()).or_default();
                if *in_flight >= call.connections {
                    return Err(LeafFailure::Refused(Refusal::Connections));
                }
                *in_flight += 1;
                state.got.push(Got {
                    leaf: call.leaf.clone(),
                    address: call.address,
                    request: call.message.id.clone(),
                    path: call.message.target.to_string(),
                    at: Instant::now(),
                    left: call.left,
                    connections: call.connections,
                });
                let behaviour = state.behaviours.get(&call.leaf).cloned();
                let slots = state.slots.get(&call.leaf).cloned();
                let deadly = state.deadly.contains(call.message.target.as_str());
                (behaviour, slots, state.watch_crashes(&call.leaf), deadly)
            };
            if deadly {
                let (leafs, leaf) = (this.clone(), call.leaf.clone());
                // The leaf crashes even if the call is cancelled.
                tokio::spawn(async move {
                    sleep(CRASH_DELAY).await;
                    leafs.crash(&leaf, true);
                });
            }
            let mut in_flight = InFlight {
                leafs: this,
                leaf: call.leaf.clone(),
                completed: false,
            };
            let answer = async {
                match behaviour {
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
                _ = crashes.changed() => Err(LeafFailure::Lost),
                answer = answer, if !deadly => answer,
            };
            in_flight.completed = true;
            result
        }
        .boxed()
    }

    fn listening(&self, leaf: &LeafId, _: SocketAddr) -> BoxFuture<'static, Listening> {
        let down = lock(&self.0).is_down(leaf);
        async move {
            match down {
                true => Listening::No,
                false => Listening::Yes,
            }
        }
        .boxed()
    }

    fn forget(&self, _: &LeafId) {}
}
