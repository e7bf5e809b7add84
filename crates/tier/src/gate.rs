//! Admission of a request to a service, with waiting.

use std::{sync::Arc, time::Duration};

use chestnut_route::{Decision, Order, Ran};
use chestnut_unit::{Reason, RequestId, Time};
use rand::Rng;
use tokio::{sync::oneshot, time::sleep_until};

use crate::{
    service::Service,
    shared::{Shared, lock},
};

/// A request that runs. Dropping it, however that comes about, lets the next
/// one run.
pub(crate) struct Running<'a> {
    shared: &'a Shared,
    service: Arc<Service>,
    start: Time,
    pub(crate) calls: u32,
    pub(crate) sheds: u32,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut rng = self.shared.rng();
        let mut out = Vec::new();
        let mut state = lock(&self.service.state);
        let ran = Ran {
            span: now.since(self.start),
            calls: self.calls,
            sheds: self.sheds,
        };
        state.admission.done(ran, now, &mut rng, &mut out);
        state.deliver(out, now, &mut rng);
    }
}

/// A request that waits. Dropping it takes it out of the queue.
struct Waiting<'a> {
    service: &'a Service,
    id: RequestId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.service.state);
        if state.waiting.remove(&self.id).is_some() {
            state.admission.forget(self.id);
        }
    }
}

/// Waits until the request may run.
///
/// # Errors
///
/// It is refused; the span says when to come back.
pub(crate) async fn admit<'a>(
    shared: &'a Shared,
    service: &Arc<Service>,
    order: Order,
) -> Result<Running<'a>, (Reason, Duration)> {
    let mut rng = shared.rng();
    let decision = match offer(shared, service, order, &mut rng) {
        Ok(decision) => decision,
        Err(waiter) => wait(shared, service, order, waiter).await,
    };
    match decision {
        Decision::Run => Ok(Running {
            shared,
            service: service.clone(),
            start: shared.now(),
            calls: 0,
            sheds: 0,
        }),
        Decision::Refuse { reason, after } => Err((reason, after)),
        Decision::Wait => unreachable!("a waiting request is told to run or refused"),
    }
}

/// The decision, or where to wait for it.
fn offer(
    shared: &Shared,
    service: &Service,
    order: Order,
    rng: &mut dyn Rng,
) -> Result<Decision, oneshot::Receiver<Decision>> {
    let now = shared.now();
    let mut out = Vec::new();
    let mut state = lock(&service.state);
    let decision = state.admission.offer(order, now, rng, &mut out);
    state.deliver(out, now, rng);
    if decision != Decision::Wait {
        return Ok(decision);
    }
    let (waiter, told) = oneshot::channel();
    state.waiting.insert(order.id, waiter);
    Err(told)
}

async fn wait(
    shared: &Shared,
    service: &Service,
    order: Order,
    mut told: oneshot::Receiver<Decision>,
) -> Decision {
    /// Shortest time between two looks at the queue.
    const LOOK: Duration = Duration::from_millis(1);
    let _waiting = Waiting {
        service,
        id: order.id,
    };
    loop {
        let wake = lock(&service.state).admission.wake();
        let wake = wake.unwrap_or(order.deadline).max(shared.now() + LOOK);
        tokio::select! {
            biased;
            decision = &mut told => {
                return decision.unwrap_or(Decision::Refuse {
                    reason: Reason::NotReady,
                    after: Duration::from_secs(1),
                });
            }
            () = sleep_until(shared.clock.instant(wake)) => expire(shared, service),
        }
    }
}

fn expire(shared: &Shared, service: &Service) {
    let now = shared.now();
    let mut rng = shared.rng();
    let mut out = Vec::new();
    let mut state = lock(&service.state);
    state.admission.expire(now, &mut rng, &mut out);
    state.deliver(out, now, &mut rng);
}
