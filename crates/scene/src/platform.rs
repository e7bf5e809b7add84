//! The fake at the port to the platform.

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

use crate::links::{Life, lock};

/// Time of a call to the platform.
const LATENCY: Duration = Duration::from_millis(3);
/// Time after which an entry gives up on a call.
const PATIENCE: Duration = Duration::from_secs(1);

/// The platform that all entries share.
pub(crate) struct Shared {
    pub(crate) store: Mutex<Store>,
    pub(crate) changed: Notify,
    pub(crate) cut: Mutex<BTreeSet<usize>>,
    pub(crate) clock: Clock,
}

/// The platform as one life of an entry reaches it.
pub(crate) struct FakePlatform {
    pub(crate) shared: Arc<Shared>,
    pub(crate) entry: usize,
    pub(crate) life: Arc<Life>,
}

impl FakePlatform {
    /// Waits as a call does; fails if the platform can't be reached.
    async fn travel(&self) -> Result<(), PlatformError> {
        self.life.gate().await;
        let slow = lock(&self.shared.store).fault.slow_ms;
        let span = LATENCY + Duration::from_millis(slow);
        if span > PATIENCE {
            sleep(PATIENCE).await;
            return Err(PlatformError::Unavailable);
        }
        sleep(span).await;
        if lock(&self.shared.cut).contains(&self.entry) {
            return Err(PlatformError::Unavailable);
        }
        Ok(())
    }
}

impl Platform for FakePlatform {
    fn get(&self, key: ObjectKey) -> BoxFuture<'_, Result<Option<Object>, PlatformError>> {
        async move {
            self.travel().await?;
            let got = lock(&self.shared.store).get(&key);
            self.life.gate().await;
            got
        }
        .boxed()
    }

    fn list(&self, kind: ObjectKind) -> BoxFuture<'_, Result<Listing, PlatformError>> {
        async move {
            self.travel().await?;
            let got = lock(&self.shared.store).list(kind);
            self.life.gate().await;
            got
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
            self.travel().await?;
            let written = lock(&self.shared.store).put(key, expected, value);
            self.shared.changed.notify_waiters();
            self.life.gate().await;
            written
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
            self.travel().await?;
            lock(&self.shared.store).counts.watches += 1;
            let until = Instant::now() + wait;
            loop {
                let changed = self.shared.changed.notified();
                if lock(&self.shared.cut).contains(&self.entry) {
                    return Err(PlatformError::Unavailable);
                }
                let changes = lock(&self.shared.store).changes(kind, revision);
                let empty = matches!(&changes, Ok(c) if c.objects.is_empty());
                if !empty || Instant::now() >= until {
                    self.life.gate().await;
                    return changes;
                }
                let _ = timeout_at(until, changed).await;
            }
        }
        .boxed()
    }

    fn vms(&self) -> BoxFuture<'_, Result<Vec<Vm>, PlatformError>> {
        async move {
            self.travel().await?;
            let now = self.shared.clock.now();
            let got = lock(&self.shared.store).vms(now);
            self.life.gate().await;
            got
        }
        .boxed()
    }
}
