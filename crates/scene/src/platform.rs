//! Simulated platform, the store of settings and VMs, behind the [`Platform`]
//! port.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use chestnut_conf::{Object, ObjectKey, ObjectKind};
use chestnut_fake::Store;
use chestnut_port::{Changes, Clock, Listing, Platform, PlatformError, Vm};
use futures::{FutureExt, future::BoxFuture};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

use crate::links::{ProcessGate, lock};

/// Duration of a call to the platform without faults.
const LATENCY: Duration = Duration::from_millis(3);
/// Timeout of an entry's calls to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The platform that all entries share: its store and faults, a wake-up for watches,
/// and the entries that are cut off from it.
pub(crate) struct Shared {
    /// Stored objects and VMs, and the faults of the platform.
    pub(crate) store: Mutex<Store>,
    /// Wakes watches after a change.
    pub(crate) changed: Notify,
    /// Entries that can't reach the platform.
    pub(crate) unreachable: Mutex<BTreeSet<usize>>,
    /// Clock of the list of VMs.
    pub(crate) clock: Clock,
}

/// Simulated [`Platform`] port of one incarnation of an entry.
pub(crate) struct FakePlatform {
    /// The platform.
    pub(crate) shared: Arc<Shared>,
    /// Number of the entry.
    pub(crate) entry: usize,
    /// Suspends calls while the entry doesn't run.
    pub(crate) gate: Arc<ProcessGate>,
}

impl FakePlatform {
    /// Waits for the duration of a call. Fails with `Unavailable` after [`CALL_TIMEOUT`] if
    /// the platform is too slow, or if the network to it is cut at the end.
    async fn round_trip(&self) -> Result<(), PlatformError> {
        self.gate.wait_running().await;
        let slow = lock(&self.shared.store).fault.slow_ms;
        let span = LATENCY + Duration::from_millis(slow);
        if span > CALL_TIMEOUT {
            sleep(CALL_TIMEOUT).await;
            return Err(PlatformError::Unavailable);
        }
        sleep(span).await;
        if lock(&self.shared.unreachable).contains(&self.entry) {
            return Err(PlatformError::Unavailable);
        }
        Ok(())
    }
}

impl Platform for FakePlatform {
    fn get(&self, key: ObjectKey) -> BoxFuture<'_, Result<Option<Object>, PlatformError>> {
        async move {
            self.round_trip().await?;
            let result = lock(&self.shared.store).get(&key);
            self.gate.wait_running().await;
            result
        }
        .boxed()
    }

    fn list(&self, kind: ObjectKind) -> BoxFuture<'_, Result<Listing, PlatformError>> {
        async move {
            self.round_trip().await?;
            let result = lock(&self.shared.store).list(kind);
            self.gate.wait_running().await;
            result
        }
        .boxed()
    }

    fn put(
        &self,
        key: ObjectKey,
        expected: u64,
        value: serde_json::Value,
    ) -> BoxFuture<'_, Result<u64, PlatformError>> {
        async move {
            self.round_trip().await?;
            let result = lock(&self.shared.store).put(key, expected, value);
            self.shared.changed.notify_waiters();
            self.gate.wait_running().await;
            result
        }
        .boxed()
    }

    fn watch(
        &self,
        kind: ObjectKind,
        revision: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Changes, PlatformError>> {
        async move {
            self.round_trip().await?;
            lock(&self.shared.store).counts.watches += 1;
            let until = Instant::now() + wait;
            loop {
                let changed = self.shared.changed.notified();
                if lock(&self.shared.unreachable).contains(&self.entry) {
                    return Err(PlatformError::Unavailable);
                }
                let changes = lock(&self.shared.store).changes(kind, revision);
                let empty = matches!(&changes, Ok(c) if c.objects.is_empty());
                if !empty || Instant::now() >= until {
                    self.gate.wait_running().await;
                    return changes;
                }
                let _ = timeout_at(until, changed).await;
            }
        }
        .boxed()
    }

    fn vms(&self) -> BoxFuture<'_, Result<Vec<Vm>, PlatformError>> {
        async move {
            self.round_trip().await?;
            let now = self.shared.clock.now();
            let result = lock(&self.shared.store).vms(now);
            self.gate.wait_running().await;
            result
        }
        .boxed()
    }
}
