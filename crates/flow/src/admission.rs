//! Admission of requests to a service, with a wait queue.

use std::{sync::Arc, time::Duration};

use chestnut_route::{AdmitRequest, Decision, RequestStats};
use chestnut_unit::{Reason, RequestId, Time};
use rand::Rng;
use tokio::{sync::oneshot, time::sleep_until};

use crate::{Cell, QueueId, Runtime, lock};

/// An admitted request. Dropping it reports its run time and calls to the
/// admission of its queue, which gives its capacity to the next request.
#[derive(Debug)]
pub struct AdmittedRequest<'a, X> {
    runtime: &'a Runtime,
    cell: Arc<Cell<X>>,
    queue: QueueId,
    start: Time,
    /// Calls that the request made, as its owner counted them.
    pub calls: u32,
    /// Calls of the request that targets shed.
    pub shed_calls: u32,
}

impl<X> Drop for AdmittedRequest<'_, X> {
    fn drop(&mut self) {
        let now = self.runtime.now();
        let mut rng = self.runtime.rng();
        let mut out = Vec::new();
        let queue = self.queue;
        let mut state = lock(&self.cell.state);
        let stats = RequestStats {
            span: now.since(self.start),
            calls: self.calls,
            shed_calls: self.shed_calls,
        };
        state
            .queue(queue)
            .record_end(stats, now, &mut rng, &mut out);
        state.deliver(queue, out, now, &mut rng);
    }
}

/// A queued request. Dropping it takes the request out of the queue. If its decision to run
/// was sent but not received, its slot goes to the next request.
struct QueueGuard<'a, X> {
    runtime: &'a Runtime,
    cell: &'a Cell<X>,
    queue: QueueId,
    id: RequestId,
    decision: oneshot::Receiver<Decision>,
}

impl<X> Drop for QueueGuard<'_, X> {
    fn drop(&mut self) {
        let mut state = lock(&self.cell.state);
        if state.waiting.remove(&self.id).is_some() {
            state.queue(self.queue).remove_queued(self.id);
            return;
        }
        // Decisions are sent under the lock, so none can come after this.
        if self.decision.try_recv() == Ok(Decision::Run) {
            let now = self.runtime.now();
            let mut rng = self.runtime.rng();
            let mut out = Vec::new();
            state
                .queue(self.queue)
                .release_slot(now, &mut rng, &mut out);
            state.deliver(self.queue, out, now, &mut rng);
        }
    }
}

/// Waits in `queue` until the request may run, or until it is refused. Dropping
/// the future takes the request out of the queue.
///
/// # Errors
///
/// Returns the reason and the time to wait before a retry if the request is
/// refused.
pub async fn admit<'a, X>(
    runtime: &'a Runtime,
    cell: &Arc<Cell<X>>,
    queue: QueueId,
    request: AdmitRequest,
) -> Result<AdmittedRequest<'a, X>, (Reason, Duration)> {
    let mut rng = runtime.rng();
    let decision = match offer(runtime, cell, queue, request, &mut rng) {
        Ok(decision) => decision,
        Err(receiver) => wait(runtime, cell, queue, request, receiver).await,
    };
    match decision {
        Decision::Run => Ok(AdmittedRequest {
            runtime,
            cell: cell.clone(),
            queue,
            start: runtime.now(),
            calls: 0,
            shed_calls: 0,
        }),
        Decision::Refuse { reason, after } => Err((reason, after)),
        Decision::Wait => unreachable!("a queued request runs or is refused"),
    }
}

/// Offers the request to its queue and delivers the refusals of queued requests
/// that this causes. Returns the decision, or as the error the channel that
/// delivers it if the request is queued.
fn offer<X>(
    runtime: &Runtime,
    cell: &Cell<X>,
    queue: QueueId,
    request: AdmitRequest,
    rng: &mut dyn Rng,
) -> Result<Decision, oneshot::Receiver<Decision>> {
    let now = runtime.now();
    let mut out = Vec::new();
    let mut state = lock(&cell.state);
    let decision = state.queue(queue).offer(request, now, rng, &mut out);
    state.deliver(queue, out, now, rng);
    if decision != Decision::Wait {
        return Ok(decision);
    }
    let (sender, receiver) = oneshot::channel();
    state.waiting.insert(request.id, sender);
    Err(receiver)
}

/// Waits for the decision on a queued request, and refuses those of the queue
/// that can no longer meet their deadlines meanwhile.
async fn wait<X>(
    runtime: &Runtime,
    cell: &Cell<X>,
    queue: QueueId,
    request: AdmitRequest,
    decision: oneshot::Receiver<Decision>,
) -> Decision {
    /// Minimum time between two checks of the queue for overdue requests.
    const MIN_RECHECK: Duration = Duration::from_millis(1);
    let mut guard = QueueGuard {
        runtime,
        cell,
        queue,
        id: request.id,
        decision,
    };
    loop {
        let next_expiry = lock(&cell.state).queue(queue).next_expiry();
        let next_expiry = next_expiry
            .unwrap_or(request.deadline)
            .max(runtime.now() + MIN_RECHECK);
        tokio::select! {
            biased;
            decision = &mut guard.decision => {
                return decision.unwrap_or(Decision::Refuse {
                    reason: Reason::NotReady,
                    after: Duration::from_secs(1),
                });
            }
            () = sleep_until(runtime.clock.instant(next_expiry)) => expire(runtime, cell, queue),
        }
    }
}

/// Refuses queued requests that can no longer meet their deadlines, and
/// delivers the decisions.
fn expire<X>(runtime: &Runtime, cell: &Cell<X>, queue: QueueId) {
    let now = runtime.now();
    let mut rng = runtime.rng();
    let mut out = Vec::new();
    let mut state = lock(&cell.state);
    state.queue(queue).expire(now, &mut rng, &mut out);
    state.deliver(queue, out, now, &mut rng);
}
