//! Quarantine records in the store, which survive the loss of all entries.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use chestnut_flow::lock;
use chestnut_port::FeedError;
use chestnut_quarantine::{Fingerprint, SuspectReport};
use chestnut_unit::{Time, WallTime};
use futures::future::BoxFuture;
use slog::{info, warn};
use tokio::{sync::mpsc, time::sleep_until};

use crate::{
    Upstream,
    members::{Members, wait_until_serving},
    quarantine,
    shared::Shared,
};

/// The stored record of a quarantined request: the report of its crashes, and when it was
/// written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// The crashes under the request, at the time of writing.
    pub report: SuspectReport,
    /// The time of writing.
    pub at: WallTime,
}

/// Access to the quarantine records in the store.
pub trait RecordStore: Send + Sync {
    /// Reads all records. They may be some seconds old.
    fn list(&self) -> BoxFuture<'_, Result<Vec<QuarantineRecord>, FeedError>>;

    /// Writes a record, replacing an earlier one of the same request.
    fn write(&self, record: QuarantineRecord) -> BoxFuture<'_, Result<(), FeedError>>;

    /// Removes the record of a request, if there is one.
    fn remove(&self, fingerprint: Fingerprint) -> BoxFuture<'_, Result<(), FeedError>>;
}

/// Record updates that may wait to be written. Further ones are dropped: the stored records
/// only matter once no entry has them in memory.
const QUEUE_MAX: usize = 64;
/// Delay of the first read after the entry serves. By then the seeds have usually answered, and
/// no read is needed.
const FIRST_READ_DELAY: Duration = Duration::from_millis(200);
/// Interval between reads of an entry that watches the store or knows no other entry.
const READ_INTERVAL: Duration = Duration::from_secs(20);
/// Interval between checks whether a read is due. An isolated entry reads at every check.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Backoff after a failed write, unless the store refused it.
const WRITE_BACKOFF: Duration = Duration::from_secs(1);

/// Creates the queue of requests whose stored record is to be updated, bounded by
/// [`QUEUE_MAX`].
pub(crate) fn update_channel() -> (mpsc::Sender<Fingerprint>, mpsc::Receiver<Fingerprint>) {
    mpsc::channel(QUEUE_MAX)
}

/// Writes the records of the requests in `updates` to the store and reads those of others,
/// from when the entry serves.
///
/// Gossip alone is not enough: all entries may restart together, or an entry may reach the
/// store but no other entry. Without the stored records, more leafs would crash before the
/// request is quarantined again.
pub(crate) async fn run(
    shared: Arc<Shared>,
    members: Arc<Members>,
    records: Arc<dyn RecordStore>,
    mut updates: mpsc::Receiver<Fingerprint>,
) {
    if !wait_until_serving(&shared).await {
        return;
    }
    let mut next_check = shared.now() + FIRST_READ_DELAY;
    let mut pending: BTreeSet<Fingerprint> = BTreeSet::new();
    let mut next_write = Time::MAX;
    let mut last_read = None;
    let mut epoch = shared.epoch();
    loop {
        let wake = shared.runtime.clock.instant(next_check.min(next_write));
        tokio::select! {
            update = updates.recv() => match update {
                Some(fingerprint) => {
                    pending.insert(fingerprint);
                    next_write = shared.now();
                }
                None => return,
            },
            () = sleep_until(wake) => {}
        }
        if shared.now() >= next_write {
            next_write = match write_pending(&shared, &*records, &mut pending).await {
                true => Time::MAX,
                false => shared.now() + WRITE_BACKOFF,
            };
        }
        if shared.now() >= next_check {
            let watches_store = *shared.upstream.borrow() == Some(Upstream::Store);
            let may_read = watches_store || members.count() <= 1;
            let interval_over =
                last_read.is_none_or(|at: Time| shared.now().since(at) >= READ_INTERVAL);
            let restored = shared.epoch() > epoch;
            if members.is_isolated() || may_read && (interval_over || restored) {
                last_read = Some(shared.now());
                let read_in = shared.epoch();
                let stored = read_all(&shared, &members, &*records).await;
                if let Some(stored) = stored.filter(|_| restored) {
                    epoch = read_in;
                    pending.extend(lost_records(&shared, &stored));
                    next_write = shared.now();
                }
            }
            next_check = shared.now() + CHECK_INTERVAL;
        }
    }
}

/// Writes the record of each pending request from the ledger, or removes it if the request is
/// no longer blamed. Returns false at the first failure to retry, with the rest left in
/// `pending`; a write that the store refused is dropped.
async fn write_pending(
    shared: &Shared,
    records: &dyn RecordStore,
    pending: &mut BTreeSet<Fingerprint>,
) -> bool {
    while let Some(fingerprint) = pending.first().copied() {
        let report = lock(&shared.ledger).blame_report(fingerprint, shared.now());
        shared.metrics.count_store_call("records");
        let written = match report {
            Some(report) => {
                let at = shared.runtime.clock.wall();
                records.write(QuarantineRecord { report, at }).await
            }
            None => records.remove(fingerprint).await,
        };
        if let Err(error) = written {
            warn!(shared.runtime.log, "quarantine: the store did not take the record of {fingerprint}"; "why" => %error);
            if !matches!(error, FeedError::Refused(_)) {
                return false;
            }
            // A refused write would be refused again.
        }
        pending.remove(&fingerprint);
    }
    true
}

/// Returns the requests that this entry refuses and that are not `stored`, as the store was
/// restored from a copy without them.
fn lost_records(shared: &Shared, stored: &BTreeSet<Fingerprint>) -> Vec<Fingerprint> {
    let ledger = lock(&shared.ledger);
    let lost = ledger.blamed().filter(|blamed| !stored.contains(blamed));
    lost.take(QUEUE_MAX).collect()
}

/// Reads all records and merges them into the ledger; returns whose they are, none after a
/// failure, which is logged. The member with the lowest id removes those that have expired or
/// whose request was answered since.
async fn read_all(
    shared: &Shared,
    members: &Members,
    records: &dyn RecordStore,
) -> Option<BTreeSet<Fingerprint>> {
    shared.metrics.count_store_call("records");
    let list = match records.list().await {
        Ok(list) => list,
        Err(error) => {
            warn!(shared.runtime.log, "quarantine: can't read the records"; "why" => %error);
            return None;
        }
    };
    let wall = shared.runtime.clock.wall();
    let reports: Vec<SuspectReport> = list
        .into_iter()
        .map(|record| record.report.aged(wall.since(record.at)))
        .collect();
    quarantine::merge_reports(shared, &reports);
    let stored = reports.iter().map(|report| report.fingerprint).collect();
    if members.has_lowest_id(shared) {
        remove_obsolete(shared, records, &reports).await;
    }
    Some(stored)
}

/// Removes the stored records of `reports` that no longer apply; stops at the first failure.
async fn remove_obsolete(shared: &Shared, records: &dyn RecordStore, reports: &[SuspectReport]) {
    let obsolete: Vec<Fingerprint> = {
        let ledger = lock(&shared.ledger);
        let fingerprints = reports.iter().map(|report| report.fingerprint);
        fingerprints
            .filter(|fingerprint| !ledger.is_blamed(*fingerprint))
            .collect()
    };
    for fingerprint in obsolete {
        info!(
            shared.runtime.log,
            "quarantine: removing the record of {fingerprint}, which no longer applies"
        );
        if let Err(error) = records.remove(fingerprint).await {
            warn!(shared.runtime.log, "quarantine: can't remove a record"; "why" => %error);
            return;
        }
    }
}
