//! Writes the refusal records of this entry, and copies of peers', to the platform.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use chestnut_audit::Batch;
use chestnut_conf::{ObjectKey, ObjectKind};
use chestnut_port::PlatformError;
use slog::info;
use tokio::time::sleep;

use crate::shared::{Shared, lock};

/// Interval at which pending batches are written.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Writes to the platform, without end, the batches of this entry that are due
/// and the copies that peers stored here.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        sleep(WRITE_INTERVAL).await;
        let members = lock(&shared.swim).view.present().count();
        let batch = lock(&shared.refusal_log).next_batch(members, shared.now());
        if let Some(batch) = batch {
            write_or_copy(&shared, batch).await;
        }
        let copy = lock(&shared.replica_batches).next();
        if let Some(copy) = copy
            && write(&shared, &copy).await
        {
            lock(&shared.replica_batches).confirm(&copy.name);
        }
    }
}

/// Writes all pending records of this entry before it stops. Tries again
/// without end while the platform is unavailable, so callers set a time limit.
pub(crate) async fn write_last(shared: &Shared) {
    loop {
        let batch = lock(&shared.refusal_log).flush_batch();
        let Some(batch) = batch else {
            return;
        };
        write_or_copy(shared, batch).await;
    }
}

/// Writes a batch. If the platform does not take it, stores a copy at a random
/// peer, so that the records survive a crash of this entry.
async fn write_or_copy(shared: &Shared, batch: Batch) {
    if write(shared, &batch).await {
        lock(&shared.refusal_log).confirm(&batch.name);
        return;
    }
    let Some((peer, address)) = shared.random_peers(1).pop() else {
        return;
    };
    let copy = serde_json::to_vec(&batch).expect("records are plain JSON");
    let copied = shared
        .peers()
        .copy_refusals(address, Bytes::from(copy))
        .await;
    if copied.is_ok() {
        info!(
            shared.runtime.log,
            "refuse: copied {} records to {peer}",
            batch.records.len()
        );
        lock(&shared.refusal_log).mark_replicated(&batch.name);
    }
}

/// Writes a batch and returns whether the platform has it. A conflict means
/// that an earlier write, by this entry or by a peer, succeeded.
async fn write(shared: &Shared, batch: &Batch) -> bool {
    let key = ObjectKey {
        kind: ObjectKind::Refusal,
        name: batch.name.clone(),
    };
    let value = serde_json::to_value(batch).expect("records are plain JSON");
    let written = shared.platform.put(key, 0, value).await;
    matches!(written, Ok(_) | Err(PlatformError::Conflict { .. }))
}
