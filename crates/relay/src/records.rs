//! What the store keeps of requests that are refused, for when no entry remembers.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use chestnut_flow::lock;
use chestnut_port::FeedError;
use chestnut_quarantine::{Fingerprint, Report};
use chestnut_unit::{Time, Wall};
use futures::future::BoxFuture;
use slog::{info, warn};
use tokio::{sync::mpsc, time::sleep_until};

use crate::{
    Upstream,
    members::{Members, serves},
    quarantine,
    shared::Shared,
};

/// What the store keeps of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// What was known against it.
    pub report: Report,
    /// When.
    pub at: Wall,
}

/// The port to the records.
pub trait Records: Send + Sync {
    /// Reads all records. They may be some seconds old.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Record>, FeedError>>;

    /// Writes a record, whatever stood there before.
    fn write(&self, record: Record) -> BoxFuture<'_, Result<(), FeedError>>;

    /// Removes the record of a request, if there is one.
    fn remove(&self, what: Fingerprint) -> BoxFuture<'_, Result<(), FeedError>>;
}

/// Verdicts that wait to be written. Past it they are dropped: the store is for when no
/// entry remembers.
const VERDICTS_MAX: usize = 64;
/// From the start of an entry to its first reading: by then it knows the seeds, and most
/// entries don't have to read.
const FIRST: Duration = Duration::from_millis(200);
/// Time between two readings of an entry that watches the store, or knows no other.
const AGAIN: Duration = Duration::from_secs(20);
/// Time between two looks whether a reading is due. One that has lost the others reads at
/// each.
const LOOK: Duration = Duration::from_secs(1);
/// Rest after the store did not take a record.
const REST: Duration = Duration::from_secs(1);

pub(crate) fn verdicts() -> (mpsc::Sender<Fingerprint>, mpsc::Receiver<Fingerprint>) {
    mpsc::channel(VERDICTS_MAX)
}

/// Keeps the store's records for as long as the entry runs: writes what this entry found
/// out, and reads what others did.
///
/// Entries tell each other, but power may take all of them, and an entry may reach the
/// store and no other one. Each would find out by itself, at the price of more leafs.
pub(crate) async fn run(
    shared: Arc<Shared>,
    members: Arc<Members>,
    records: Arc<dyn Records>,
    mut verdicts: mpsc::Receiver<Fingerprint>,
) {
    if !serves(&shared).await {
        return;
    }
    let mut due = shared.now() + FIRST;
    let mut waiting: BTreeSet<Fingerprint> = BTreeSet::new();
    let mut retry = Time::MAX;
    let mut read_at = None;
    loop {
        let wake = shared.host.clock.instant(due.min(retry));
        tokio::select! {
            verdict = verdicts.recv() => match verdict {
                Some(what) => {
                    waiting.insert(what);
                    retry = shared.now();
                }
                None => return,
            },
            () = sleep_until(wake) => {}
        }
        if shared.now() >= retry {
            retry = match write(&shared, &*records, &mut waiting).await {
                true => Time::MAX,
                false => shared.now() + REST,
            };
        }
        if shared.now() >= due {
            let watches = *shared.upstream.borrow() == Some(Upstream::Store);
            let reads = watches || members.count() <= 1;
            let rested = read_at.is_none_or(|at: Time| shared.now().since(at) >= AGAIN);
            if members.is_lonely() || reads && rested {
                read_at = Some(shared.now());
                read(&shared, &members, &*records).await;
            }
            due = shared.now() + LOOK;
        }
    }
}

/// Writes what is waiting, as it stands now. Tells whether the store took all of it.
async fn write(
    shared: &Shared,
    records: &dyn Records,
    waiting: &mut BTreeSet<Fingerprint>,
) -> bool {
    while let Some(what) = waiting.first().copied() {
        let verdict = lock(&shared.ledger).verdict(what, shared.now());
        shared.metrics.count_store("records");
        let taken = match verdict {
            Some(report) => {
                let at = shared.host.clock.wall();
                records.write(Record { report, at }).await
            }
            None => records.remove(what).await,
        };
        if let Err(error) = taken {
            warn!(shared.host.log, "quarantine: the store did not take the record of {what}"; "why" => %error);
            if !matches!(error, FeedError::Refused(_)) {
                return false;
            }
            // It would be refused again.
        }
        waiting.remove(&what);
    }
    true
}

async fn read(shared: &Shared, members: &Members, records: &dyn Records) {
    shared.metrics.count_store("records");
    let list = match records.list().await {
        Ok(list) => list,
        Err(error) => {
            warn!(shared.host.log, "quarantine: can't read the records"; "why" => %error);
            return;
        }
    };
    let wall = shared.host.clock.wall();
    let reports: Vec<Report> = list
        .into_iter()
        .map(|record| record.report.aged(wall.since(record.at)))
        .collect();
    quarantine::hear(shared, &reports);
    if !members.is_first(shared) {
        return;
    }
    let over: Vec<Fingerprint> = {
        let ledger = lock(&shared.ledger);
        let whats = reports.iter().map(|report| report.what);
        whats.filter(|what| !ledger.blames(*what)).collect()
    };
    for what in over {
        info!(
            shared.host.log,
            "quarantine: removing the record of {what}, which is over"
        );
        if let Err(error) = records.remove(what).await {
            warn!(shared.host.log, "quarantine: can't remove a record"; "why" => %error);
            return;
        }
    }
}
