//! Admission of requests to a service, with a wait queue.

use std::{sync::Arc, time::Duration};

use chestnut_route::{AdmitRequest, Decision, RequestStats};
use chestnut_unit::{Reason, RequestId, Time};
use rand::Rng;
use tokio::{sync::oneshot, time::sleep_until};

use crate::{Cell, GateId, Host, lock};

/// An admitted request. Dropping it releases its capacity to the next one.
#[derive(Debug)]
pub struct Running<'a, X> {
    host: &'a Host,
    cell: Arc<Cell<X>>,
    gate: GateId,
    start: Time,
    /// Calls that the request made.
    pub calls: u32,
    /// Calls of the request that targets shed.
    pub sheds: u32,
}

impl<X> Drop for Running<'_, X> {
    fn drop(&mut self) {
        let now = self.host.now();
        let mut rng = self.host.rng();
        let mut out = Vec::new();
        let gate = self.gate;
        let mut state = lock(&self.cell.state);
        let stats = RequestStats {
            span: now.since(self.start),
            calls: self.calls,
            shed_calls: self.sheds,
        };
        state.gate(gate).record_end(stats, now, &mut rng, &mut out);
        state.deliver(gate, out, now, &mut rng);
    }
}

/// A queued request. Dropping it takes it out of the queue.
struct QueueGuard<'a, X> {
    cell: &'a Cell<X>,
    gate: GateId,
    id: RequestId,
}

impl<X> Drop for QueueGuard<'_, X> {
    fn drop(&mut self) {
        let mut state = lock(&self.cell.state);
        if state.waiting.remove(&self.id).is_some() {
            state.gate(self.gate).remove_queued(self.id);
        }
    }
}

/// Waits until the request may run.
///
/// # Errors
///
/// Returns the reason and the time to wait before a retry if the request is
/// refused.
pub async fn admit<'a, X>(
    host: &'a Host,
    cell: &Arc<Cell<X>>,
    gate: GateId,
    request: AdmitRequest,
) -> Result<Running<'a, X>, (Reason, Duration)> {
    let mut rng = host.rng();
    let decision = match offer(host, cell, gate, request, &mut rng) {
        Ok(decision) => decision,
        Err(receiver) => wait(host, cell, gate, request, receiver).await,
    };
    match decision {
        Decision::Run => Ok(Running {
            host,
            cell: cell.clone(),
            gate,
            start: host.now(),
            calls: 0,
            sheds: 0,
        }),
        Decision::Refuse { reason, after } => Err((reason, after)),
        Decision::Wait => unreachable!("a queued request runs or is refused"),
    }
}

/// Returns the decision, or the channel that delivers it if the request is
/// queued.
fn offer<X>(
    host: &Host,
    cell: &Cell<X>,
    gate: GateId,
    request: AdmitRequest,
    rng: &mut dyn Rng,
) -> Result<Decision, oneshot::Receiver<Decision>> {
    let now = host.now();
    let mut out = Vec::new();
    let mut state = lock(&cell.state);
    let decision = state.gate(gate).offer(request, now, rng, &mut out);
    state.deliver(gate, out, now, rng);
    if decision != Decision::Wait {
        return Ok(decision);
    }
    let (sender, receiver) = oneshot::channel();
    state.waiting.insert(request.id, sender);
    Err(receiver)
}

/// Waits in the queue for the decision.
async fn wait<X>(
    host: &Host,
    cell: &Cell<X>,
    gate: GateId,
    request: AdmitRequest,
    mut receiver: oneshot::Receiver<Decision>,
) -> Decision {
    /// Minimum time between two checks of the queue.
    const MIN_RECHECK: Duration = Duration::from_millis(1);
    let _guard = QueueGuard {
        cell,
        gate,
        id: request.id,
    };
    loop {
        let next_expiry = lock(&cell.state).gate(gate).next_expiry();
        let next_expiry = next_expiry
            .unwrap_or(request.deadline)
            .max(host.now() + MIN_RECHECK);
        tokio::select! {
            biased;
            decision = &mut receiver => {
                return decision.unwrap_or(Decision::Refuse {
                    reason: Reason::NotReady,
                    after: Duration::from_secs(1),
                });
            }
            () = sleep_until(host.clock.instant(next_expiry)) => expire(host, cell, gate),
        }
    }
}

/// Expires overdue queued requests and delivers the decisions.
fn expire<X>(host: &Host, cell: &Cell<X>, gate: GateId) {
    let now = host.now();
    let mut rng = host.rng();
    let mut out = Vec::new();
    let mut state = lock(&cell.state);
    state.gate(gate).expire(now, &mut rng, &mut out);
    state.deliver(gate, out, now, &mut rng);
}
