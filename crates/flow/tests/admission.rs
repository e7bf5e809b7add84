//! Admission with few slots, whose requests leave at awkward moments.

use std::{sync::Arc, time::Duration};

use chestnut_flow::{Cell, QueueId, Runtime, TraceLevel, admit};
use chestnut_port::Clock;
use chestnut_route::{
    Admission, AdmitConfig, AdmitRequest, LimitMode, Sheddable, Table, TableConfig,
};
use chestnut_unit::{RequestId, ServiceName, Urgency};
use futures::FutureExt;
use slog::{Discard, Logger, o};
use tokio::time::timeout;

/// Time that a request waits for a slot.
const PATIENCE: Duration = Duration::from_secs(5);

/// Returns a cell with few slots.
fn cell() -> Arc<Cell<()>> {
    let admission = Admission::new(AdmitConfig {
        initial_limit: 1,
        limit_mode: LimitMode::Fixed,
        ..AdmitConfig::default()
    });
    let name = ServiceName::new("ladder").unwrap();
    let table = Table::new(TableConfig::default());
    Arc::new(Cell::new(name, table, admission, ()))
}

fn runtime() -> Runtime {
    let log = Logger::root(Discard, o!());
    Runtime::new(log, TraceLevel::None, Clock::start(), 1)
}

fn request(runtime: &Runtime, id: u64) -> AdmitRequest {
    AdmitRequest {
        id: RequestId(id),
        urgency: Urgency::Normal,
        deadline: runtime.now() + Duration::from_secs(60),
        sheddable: Sheddable::No,
    }
}

/// Guards against a slot that is lost for good: it was handed to a waiting request whose caller left
/// before its task ran again.
#[tokio::test(start_paused = true)]
async fn a_slot_handed_to_a_request_that_leaves_goes_to_the_next() {
    let (cell, runtime) = (cell(), runtime());
    let queue = QueueId::default();
    let mut ids = 1..;
    let mut ask = || request(&runtime, ids.next().unwrap());
    // As many as run at once.
    let mut running = Vec::new();
    while let Some(admitted) = admit(&runtime, &cell, queue, ask()).now_or_never() {
        running.push(admitted.unwrap());
    }
    for _ in 0..running.len() {
        let mut leaving = Box::pin(admit(&runtime, &cell, queue, ask()));
        assert!((&mut leaving).now_or_never().is_none());
        drop(running.pop());
        drop(leaving);
        let next = timeout(PATIENCE, admit(&runtime, &cell, queue, ask())).await;
        running.push(next.expect("the slot").unwrap());
    }
}
