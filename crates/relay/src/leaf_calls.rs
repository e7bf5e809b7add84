//! The calls that one forwarded request makes to leafs.
//!
//! A leaf is a process that runs requests of one service. In a gather (scatter-gather)
//! each service is one shard.

use std::{
    fmt::Display,
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock, atomic::Ordering},
    time::Duration,
};

use chestnut_book::RetrySafety;
use chestnut_flow::{CallFuture, CallReply, CallRequest, CallTransport, lock};
use chestnut_port::{ForwardedRequest, LeafCall, LeafFailure, LeafReply};
use chestnut_route::{Eviction, Failure};
use chestnut_unit::{LeafId, Time};
use futures::FutureExt;

use crate::{cold::send_until, shared::Shared, state::RelayState};

/// Makes the leaf calls of one forwarded request and collects their outcomes.
pub(crate) struct LeafCalls<'a> {
    /// The entry that makes the calls.
    pub(crate) shared: &'a Shared,
    /// The request as it is sent to every leaf.
    pub(crate) message: Arc<ForwardedRequest>,
    /// Whether the request may run more than once.
    pub(crate) kind: RetrySafety,
    /// Whether the answers of several shards are merged into one.
    pub(crate) merges: bool,
    /// The last error reply of a leaf, returned to the caller if no call succeeds and the
    /// request is no gather.
    pub(crate) last_failure: Arc<Mutex<Option<LeafReply>>>,
    /// Whether a leaf answered and which connections were lost, for the quarantine.
    pub(crate) outcomes: Arc<Mutex<CallOutcomes>>,
    /// When the first call was made.
    pub(crate) first_call: OnceLock<Time>,
}

/// Outcomes of the calls of one request, whether a leaf answered and which connections were
/// lost, from which the quarantine decides whether the request crashes leafs.
#[derive(Debug, Default)]
pub(crate) struct CallOutcomes {
    /// Whether a call returned a reply; one in [`LeafFailure::Failed`] doesn't count.
    pub(crate) answered: bool,
    /// Id and address of the leafs whose connection was lost during a call.
    pub(crate) lost: Vec<(LeafId, SocketAddr)>,
}

/// Longest idle time of a connection that is reused for a request that runs at most once: such
/// a request can't be retried if the leaf has closed the connection. Leafs keep idle
/// connections for some seconds and sometimes forget them sooner; a new one costs a few
/// milliseconds.
const ONCE_IDLE_MAX: Duration = Duration::from_millis(500);

impl CallTransport for LeafCalls<'_> {
    type Extra = RelayState;
    type Part = LeafReply;

    fn request(&self) -> &dyn Display {
        &self.message.id
    }

    /// Calls a leaf and counts the call. Fails with [`Failure::NotSent`] if the leaf has no
    /// endpoint or may not be called while cold. Unsent, refused, lost and failed calls keep
    /// their kind; in a gather, an error status is a failed call too.
    ///
    /// A request that runs at most once reuses only connections idle for at most
    /// [`ONCE_IDLE_MAX`]. A call to a rate-limited cold leaf must be sent before `send_until`.
    ///
    /// Records a reply and a lost connection in `outcomes`, and the reply of a failed call in
    /// `last_failure`.
    fn call(&self, request: CallRequest<'_>) -> CallFuture<LeafReply> {
        self.first_call.get_or_init(|| self.shared.now());
        let endpoint = {
            let state = lock(&self.shared.cell.state);
            let endpoint = state.extra.endpoints.get(&request.to).cloned();
            let send_before = send_until(self.shared, &state, request.to);
            endpoint
                .zip(send_before)
                .map(|(to, before)| (state.extra.connections(&to.service), to, before))
        };
        self.shared.calls.fetch_add(1, Ordering::Relaxed);
        self.shared.metrics.count_call(request.kind);
        let Some((max_connections, endpoint, send_before)) = endpoint else {
            return async { Err(Failure::NotSent) }.boxed();
        };
        let callee = (endpoint.leaf.clone(), endpoint.address);
        let call = LeafCall {
            leaf: endpoint.leaf,
            address: endpoint.address,
            distance: endpoint.distance,
            request: self.message.clone(),
            timeout: request.time_left,
            max_connections,
            kind: self.kind,
            max_idle: match self.kind {
                RetrySafety::Idempotent => Duration::MAX,
                RetrySafety::Once => ONCE_IDLE_MAX,
            },
            send_before,
        };
        let reply = self.shared.forward.call(call);
        let (last_failure, shards, merges) =
            (self.last_failure.clone(), request.shards, self.merges);
        let version = request.routes.snapshot.version;
        let outcomes = self.outcomes.clone();
        async move {
            let reply = reply.await;
            match &reply {
                Ok(_) => lock(&outcomes).answered = true,
                Err(LeafFailure::Lost) => lock(&outcomes).lost.push(callee),
                Err(_) => {}
            }
            match reply {
                // An error status holds no records: merged, it would look like an
                // empty shard.
                Ok(reply) if merges && !reply.response.status().is_success() => {
                    *lock(&last_failure) = Some(reply);
                    Err(Failure::Failed)
                }
                Ok(reply) => Ok(CallReply {
                    version,
                    // A call asks for a single shard.
                    parts: shards.into_iter().map(|at| (at, reply.clone())).collect(),
                    draining: false,
                }),
                Err(LeafFailure::Unsent) => Err(Failure::NotSent),
                Err(LeafFailure::Refused(refusal)) => Err(Failure::Refused(refusal)),
                Err(LeafFailure::Lost) => Err(Failure::Lost),
                Err(LeafFailure::Failed(reply)) => {
                    *lock(&last_failure) = Some(reply);
                    Err(Failure::Failed)
                }
            }
        }
        .boxed()
    }

    fn on_eviction(&self, _: &Eviction) {
        self.shared.metrics.evictions.inc();
    }
}
