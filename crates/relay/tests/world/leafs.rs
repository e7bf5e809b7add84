//! Leafs behind the port by which requests are forwarded.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use chestnut_flow::lock;
use chestnut_port::{Forward, LeafCall, LeafFailure, LeafReply};
use chestnut_route::Refusal;
use chestnut_unit::LeafId;
use futures::{FutureExt, future::BoxFuture};
use hyper::{Response, header::HeaderValue};
use tokio::time::{Instant, sleep};

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
    /// It runs calls and answers with a failure of its own.
    Fails,
}

/// A call that a leaf got.
#[derive(Clone, Debug)]
pub struct Got {
    pub leaf: LeafId,
    pub request: String,
    pub at: Instant,
    pub left: Duration,
    pub connections: usize,
}

#[derive(Default)]
struct World {
    manners: BTreeMap<LeafId, Manner>,
    got: Vec<Got>,
    cancelled: usize,
}

/// Leafs behind the port by which requests are forwarded.
#[derive(Clone, Default)]
pub struct FakeLeafs(Arc<Mutex<World>>);

impl FakeLeafs {
    pub fn set(&self, leaf: &LeafId, manner: Manner) {
        lock(&self.0).manners.insert(leaf.clone(), manner);
    }

    pub fn got(&self) -> Vec<Got> {
        lock(&self.0).got.clone()
    }

    /// Calls that were given up before they ended.
    pub fn cancelled(&self) -> usize {
        lock(&self.0).cancelled
    }
}

struct Under(FakeLeafs, bool);

impl Drop for Under {
    fn drop(&mut self) {
        if !self.1 {
            lock(&self.0.0).cancelled += 1;
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
            let manner = {
                let mut world = lock(&this.0);
                world.got.push(Got {
                    leaf: call.leaf.clone(),
                    request: call.message.id.clone(),
                    at: Instant::now(),
                    left: call.left,
                    connections: call.connections,
                });
                world.manners.get(&call.leaf).cloned()
            };
            let mut under = Under(this, false);
            let result = match manner {
                Some(Manner::Answers(span, body)) => {
                    sleep(span).await;
                    Ok(leaf_reply(&call.leaf, 200, body))
                }
                Some(Manner::Silent) => futures::future::pending().await,
                Some(Manner::Full) => Err(LeafFailure::Refused(Refusal::Shed)),
                Some(Manner::Loses) => {
                    sleep(Duration::from_millis(5)).await;
                    Err(LeafFailure::Lost)
                }
                Some(Manner::Fails) => {
                    sleep(Duration::from_millis(5)).await;
                    let reply = leaf_reply(&call.leaf, 500, Bytes::new());
                    Err(LeafFailure::Failed(reply))
                }
                None => Err(LeafFailure::Unsent),
            };
            under.1 = true;
            result
        }
        .boxed()
    }

    fn forget(&self, _: &LeafId) {}
}
