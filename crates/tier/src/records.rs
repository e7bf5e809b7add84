//! Refusal records on their way to the platform, and copies of peers' records.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use chestnut_audit::Batch;
use chestnut_conf::{Kind, ObjectKey};
use chestnut_port::PlatformError;
use slog::info;
use tokio::time::sleep;

use crate::shared::{Shared, lock};

/// Time between two looks at what has to be written.
const LOOK: Duration = Duration::from_millis(250);

/// Writes refusal records, batch by batch, and copies that peers left here.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        sleep(LOOK).await;
        let members = lock(&shared.swim).view.present().count();
        let batch = lock(&shared.journal).next_batch(members, shared.now());
        if let Some(batch) = batch {
            write_own(&shared, batch).await;
        }
        let copy = lock(&shared.copies).next();
        if let Some(copy) = copy
            && write(&shared, &copy).await
        {
            lock(&shared.copies).confirm(&copy.name);
        }
    }
}

/// Writes all records of this entry, at a planned stop.
pub(crate) async fn write_last(shared: &Shared) {
    loop {
        let batch = lock(&shared.journal).last_batch();
        let Some(batch) = batch else {
            return;
        };
        write_own(shared, batch).await;
    }
}

/// Writes a batch, or leaves a copy of it with a peer while the platform is
/// out: the refusals would otherwise be lost if this entry died meanwhile.
async fn write_own(shared: &Shared, batch: Batch) {
    if write(shared, &batch).await {
        lock(&shared.journal).confirm(&batch.name);
        return;
    }
    let Some((peer, address)) = shared.some_peers(1).pop() else {
        return;
    };
    let copy = serde_json::to_vec(&batch).expect("records are plain JSON");
    let left = shared.peers().records(address, Bytes::from(copy)).await;
    if left.is_ok() {
        info!(
            shared.host.log,
            "refuse: left {} records with {peer}",
            batch.records.len()
        );
        lock(&shared.journal).entrust(&batch.name);
    }
}

/// Whether the platform has the batch now. A conflict means that an earlier
/// try of it, here or at the peer that has the copy, took effect.
async fn write(shared: &Shared, batch: &Batch) -> bool {
    let key = ObjectKey {
        kind: Kind::Refusal,
        name: batch.name.clone(),
    };
    let value = serde_json::to_value(batch).expect("records are plain JSON");
    let written = shared.platform.put(key, 0, value).await;
    matches!(written, Ok(_) | Err(PlatformError::Conflict { .. }))
}
