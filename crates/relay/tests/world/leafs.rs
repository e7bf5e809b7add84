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
use chestnut_port::{Forward, LeafCall, LeafFailure, LeafReply, Listening, Message};
use chestnut_route::Refusal;
use chestnut_unit::{LeafId, OrgName};
use futures::{FutureExt, future::BoxFuture};
use hyper::{Response, header::HeaderValue};
use tokio::{
    sync::{Semaphore, watch},
    time::{Instant, sleep},
};

/// How a leaf handles calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers with these bytes after a delay.
    Answers(Duration, Bytes),
    /// Runs calls and never answers.
    Unresponsive,
    /// Sheds calls before it runs them.
    Sheds,
    /// Runs calls, then loses the connection without an answer.
    DropsConnection,
    /// Loses the connection of each call after a delay.
    DropsConnectionAfter(Duration),
    /// Runs calls and answers with status 500.
    ServerError,
    /// Answers with status 404.
    NotFound,
}

/// A call that a leaf received.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    /// The leaf that received it.
    pub leaf: LeafId,
    /// Address that the call was sent to.
    pub address: SocketAddr,
    /// Id of the request.
    pub request: String,
    /// Path and query of the request.
    pub path: String,
    /// The organisation that leafs are told.
    pub organisation: Option<OrgName>,
    /// When it arrived.
    pub at: Instant,
    /// Time left for the answer.
    pub timeout: Duration,
    /// Connections that the entry may open to the leaf.
    pub max_connections: usize,
}

#[derive(Default)]
struct State {
    behaviours: BTreeMap<LeafId, Behaviour>,
    received_calls: Vec<ReceivedCall>,
    cancelled: usize,
    /// Calls in progress, by leaf.
    in_flight: BTreeMap<LeafId, usize>,
    /// Slots of leafs that run a limited number of calls at once.
    slots: BTreeMap<LeafId, Arc<Semaphore>>,
    /// Paths of requests that crash the leafs which run them.
    crashing_paths: BTreeSet<String>,
    /// When each crashed leaf is up again.
    down_until: BTreeMap<LeafId, Instant>,
    /// Number of crashes of each leaf, watched by the calls that it runs.
    crashes: BTreeMap<LeafId, watch::Sender<usize>>,
    crash_log: Vec<Crash>,
}

/// A crash of a leaf.
#[derive(Clone, Debug)]
pub struct Crash {
    /// The leaf that crashed.
    pub leaf: LeafId,
    /// When it crashed.
    pub at: Instant,
    /// Whether a crashing request caused it.
    pub by_request: bool,
}

/// Time that a leaf runs a crashing request before it crashes.
const CRASH_DELAY: Duration = Duration::from_millis(10);
/// Time until a crashed leaf is up again.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// Leafs that share one state, as a [`Forward`] port.
#[derive(Clone, Default)]
pub struct FakeLeafs(Arc<Mutex<State>>);

impl FakeLeafs {
    /// Sets how a leaf handles calls.
    pub fn set_behaviour(&self, leaf: &LeafId, behaviour: Behaviour) {
        lock(&self.0).behaviours.insert(leaf.clone(), behaviour);
    }

    /// Limits a leaf to `slots` calls at once; others wait.
    pub fn set_slots(&self, leaf: &LeafId, slots: usize) {
        let slots = Arc::new(Semaphore::new(slots));
        lock(&self.0).slots.insert(leaf.clone(), slots);
    }

    /// Makes requests for `path` crashing requests: they crash the leafs that run them.
    pub fn set_crashing(&self, path: &str) {
        lock(&self.0).crashing_paths.insert(path.to_owned());
    }

    /// Makes requests for `path` harmless again.
    pub fn clear_crashing(&self, path: &str) {
        lock(&self.0).crashing_paths.remove(path);
    }

    /// Crashes a leaf with all calls that it runs; it is up again after some seconds.
    pub fn crash(&self, leaf: &LeafId) {
        self.record_crash(leaf, false);
    }

    fn record_crash(&self, leaf: &LeafId, by_request: bool) {
        let mut state = lock(&self.0);
        let at = Instant::now();
        if state.is_down(leaf) {
            return;
        }
        state.down_until.insert(leaf.clone(), at + RESTART_TIME);
        state.crash_log.push(Crash {
            leaf: leaf.clone(),
            at,
            by_request,
        });
        if let Some(crashes) = state.crashes.get(leaf) {
            crashes.send_modify(|crashes| *crashes += 1);
        }
    }

    /// Returns the crashes so far.
    pub fn crashes(&self) -> Vec<Crash> {
        lock(&self.0).crash_log.clone()
    }

    /// Returns the calls that leafs received so far.
    pub fn received_calls(&self) -> Vec<ReceivedCall> {
        lock(&self.0).received_calls.clone()
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
    let mut response = Response::new(Message::from(body));
    *response.status_mut() = status.try_into().unwrap();
    LeafReply {
        response,
        signature: HeaderValue::from_str(leaf.as_str()).unwrap(),
    }
}

impl Forward for FakeLeafs {
    fn call(&self, call: LeafCall) -> BoxFuture<'static, Result<LeafReply, LeafFailure>> {
        let this = self.clone();
        async move {
            let (behaviour, slots, mut crashes, crashing) = {
                let mut state = lock(&this.0);
                if state.is_down(&call.leaf) {
                    return Err(LeafFailure::Unsent);
                }
                let in_flight = state.in_flight.entry(call.leaf.clone()).or_default();
                if *in_flight >= call.max_connections {
                    return Err(LeafFailure::Refused(Refusal::Connections));
                }
                *in_flight += 1;
                state.received_calls.push(ReceivedCall {
                    leaf: call.leaf.clone(),
                    address: call.address,
                    request: call.request.id.clone(),
                    path: call.request.path.to_string(),
                    organisation: call.request.organisation.clone(),
                    at: Instant::now(),
                    timeout: call.timeout,
                    max_connections: call.max_connections,
                });
                let behaviour = state.behaviours.get(&call.leaf).cloned();
                let slots = state.slots.get(&call.leaf).cloned();
                let crashing = state.crashing_paths.contains(call.request.path.as_str());
                (behaviour, slots, state.watch_crashes(&call.leaf), crashing)
            };
            if crashing {
                let (leafs, leaf) = (this.clone(), call.leaf.clone());
                // The leaf crashes even if the call is cancelled.
                tokio::spawn(async move {
                    sleep(CRASH_DELAY).await;
                    leafs.record_crash(&leaf, true);
                });
            }
            let mut in_flight = InFlight {
                leafs: this,
                leaf: call.leaf.clone(),
                completed: false,
            };
            let answer = async {
                match behaviour {
                    Some(Behaviour::Answers(span, body)) => {
                        let _slot = match &slots {
                            Some(slots) => slots.acquire().await.ok(),
                            None => None,
                        };
                        sleep(span).await;
                        Ok(leaf_reply(&call.leaf, 200, body))
                    }
                    Some(Behaviour::Unresponsive) => futures::future::pending().await,
                    Some(Behaviour::Sheds) => Err(LeafFailure::Refused(Refusal::Shed)),
                    Some(Behaviour::DropsConnection) => {
                        sleep(Duration::from_millis(5)).await;
                        Err(LeafFailure::Lost)
                    }
                    Some(Behaviour::DropsConnectionAfter(span)) => {
                        sleep(span).await;
                        Err(LeafFailure::Lost)
                    }
                    Some(Behaviour::ServerError) => {
                        sleep(Duration::from_millis(5)).await;
                        let reply = leaf_reply(&call.leaf, 500, Bytes::new());
                        Err(LeafFailure::Failed(reply))
                    }
                    Some(Behaviour::NotFound) => {
                        let body = Bytes::from_static(b"no such path here");
                        Ok(leaf_reply(&call.leaf, 404, body))
                    }
                    None => Err(LeafFailure::Unsent),
                }
            };
            let result = tokio::select! {
                biased;
                _ = crashes.changed() => Err(LeafFailure::Lost),
                answer = answer, if !crashing => answer,
            };
            in_flight.completed = true;
            result
        }
        .boxed()
    }

    fn check_listening(&self, leaf: &LeafId, _: SocketAddr) -> BoxFuture<'static, Listening> {
        let down = lock(&self.0).is_down(leaf);
        async move {
            match down {
                true => Listening::No,
                false => Listening::Yes,
            }
        }
        .boxed()
    }

    fn remove(&self, _: &LeafId) {}
}
