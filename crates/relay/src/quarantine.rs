//! Detects requests that crash the leafs that run them, and reports them to the other
//! entries.
//!
//! A request is suspect if leafs crash under it and none answers it. The ledger keeps a
//! record of each suspect request and decides how it is handled: run, run with a single
//! trial call, or refused (quarantined).

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use chestnut_flow::lock;
use chestnut_port::Listening;
use chestnut_quarantine::{Fingerprint, Handling, LeafHash, SuspectReport};
use chestnut_route::Trust;
use chestnut_unit::{Execution, LeafId, Reason, Time};
use futures::{StreamExt, stream};
use slog::{info, warn};
use tokio::{
    sync::mpsc::{self, error::TrySendError},
    time::{sleep_until, timeout},
};

use crate::{
    forward::{DeclineReason, Declined},
    leaf_calls::CallOutcomes,
    members::{self, Members},
    shared::Shared,
};

/// Suspect attempts that may wait for a check. Further ones are dropped: a request that
/// crashes leafs is sent again.
const QUEUE_MAX: usize = 256;
/// Attempts that are checked concurrently.
const CHECKS_MAX: usize = 8;
/// Leafs checked for one attempt; the ledger needs fewer to blame a request.
const LEAFS_PER_CHECK: usize = 6;
/// Wait limit for a leaf to accept or refuse a connection. A leaf that does neither has
/// not crashed by itself: its machine or network has failed too.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the result of a check is cached, since all requests of a crashed leaf check it
/// at about the same time.
const CHECK_TTL: Duration = Duration::from_secs(1);
/// Records in one message to another entry.
const RECORDS_PER_MESSAGE: usize = 4;
/// Interval at which expired records are removed, while there is nothing to report.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

/// An attempt that no leaf answered: the request's fingerprint, and the leafs whose connection
/// was lost, by id and address.
pub(crate) struct SuspectAttempt {
    fingerprint: Fingerprint,
    leafs: Vec<(LeafId, std::net::SocketAddr)>,
}

/// The receiving end of the queue of suspect attempts to check.
pub(crate) type SuspectReceiver = mpsc::Receiver<SuspectAttempt>;

/// Creates the queue of suspect attempts, bounded by [`QUEUE_MAX`].
pub(crate) fn suspect_channel() -> (mpsc::Sender<SuspectAttempt>, SuspectReceiver) {
    mpsc::channel(QUEUE_MAX)
}

/// A running attempt at a request. Dropping it, also when the caller disconnects, passes
/// the outcomes of its calls on: an answer is recorded in the ledger; without one, the
/// leafs with lost connections are queued for a check.
pub(crate) struct Attempt<'a> {
    shared: &'a Shared,
    fingerprint: Fingerprint,
    outcomes: Arc<Mutex<CallOutcomes>>,
}

impl<'a> Attempt<'a> {
    /// Starts an attempt at the request `fingerprint` whose calls are recorded in `outcomes`.
    pub(crate) fn new(
        shared: &'a Shared,
        fingerprint: Fingerprint,
        outcomes: Arc<Mutex<CallOutcomes>>,
    ) -> Self {
        Self {
            shared,
            fingerprint,
            outcomes,
        }
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let outcomes = std::mem::take(&mut *lock(&self.outcomes));
        let shared = self.shared;
        if outcomes.answered {
            let mut ledger = lock(&shared.ledger);
            let blamed = ledger.is_blamed(self.fingerprint);
            let changed = ledger.record_answer(self.fingerprint, shared.now());
            drop(ledger);
            if blamed {
                queue_update(shared, self.fingerprint);
            }
            if changed {
                info!(
                    shared.runtime.log,
                    "quarantine: a leaf answered {}", self.fingerprint
                );
                shared.ledger_changed.notify_one();
            }
            return;
        }
        if outcomes.lost.is_empty() {
            return;
        }
        let suspect = SuspectAttempt {
            fingerprint: self.fingerprint,
            leafs: outcomes.lost,
        };
        match shared.suspect_attempts.try_send(suspect) {
            Ok(()) | Err(TrySendError::Closed(_)) => {}
            Err(TrySendError::Full(_)) => {
                warn!(shared.runtime.log, "quarantine: too many suspect attempts to check, one is dropped"; "asks" => %self.fingerprint);
            }
        }
    }
}

/// Decides by the ledger how a request is handled: trusted, or as suspect with a single trial
/// call, which counts as started.
///
/// # Errors
///
/// The request is quarantined and must not run; the refusal says when to retry.
pub(crate) fn admit(shared: &Shared, fingerprint: Fingerprint) -> Result<Trust, Declined> {
    match lock(&shared.ledger).admit(fingerprint, shared.now()) {
        Handling::Free => Ok(Trust::Trusted),
        Handling::Trial => Ok(Trust::Suspected),
        Handling::Refused(after) => Err(Declined {
            reason: DeclineReason::Declined(Reason::Quarantined),
            run: Execution::NotRun,
            retry_after: Some(after),
        }),
    }
}

/// Merges reports of other entries, or of the store, into the ledger. Updates the metrics of
/// records, and wakes the task that gossips if the ledger changed.
pub(crate) fn merge_reports(shared: &Shared, reports: &[SuspectReport]) {
    if reports.is_empty() {
        return;
    }
    let now = shared.now();
    let mut ledger = lock(&shared.ledger);
    let mut changed = false;
    for report in reports {
        changed |= ledger.merge(report, now);
    }
    shared
        .metrics
        .set_quarantine_records(ledger.len(), ledger.refused_count(now));
    drop(ledger);
    if changed {
        shared.ledger_changed.notify_one();
    }
}

/// Takes the reports to attach to the next messages, at most [`RECORDS_PER_MESSAGE`]; `members`
/// is the number of present members, among which they spread.
pub(crate) fn next_reports(shared: &Shared, members: usize) -> Vec<SuspectReport> {
    lock(&shared.ledger).next_reports(RECORDS_PER_MESSAGE, members, shared.now())
}

/// Checks suspect attempts, up to [`CHECKS_MAX`] at once, for as long as the entry runs.
pub(crate) async fn check_suspects(shared: Arc<Shared>, suspects: SuspectReceiver) {
    let cache = Mutex::new(BTreeMap::new());
    let suspects = stream::unfold(suspects, |mut suspects| async move {
        let suspect = suspects.recv().await?;
        Some((suspect, suspects))
    });
    suspects
        .for_each_concurrent(CHECKS_MAX, |suspect| check_leafs(&shared, &cache, suspect))
        .await;
}

/// Recent results of leaf checks, with their time.
type CheckCache = Mutex<BTreeMap<LeafId, (Time, Listening)>>;

/// Checks the leafs of a suspect attempt, and records those that refuse connections as crashed
/// under its request. Does nothing if there are none. A change of the ledger is gossiped,
/// and written to the store if the request is blamed.
async fn check_leafs(shared: &Shared, cache: &CheckCache, suspect: SuspectAttempt) {
    let SuspectAttempt {
        fingerprint,
        mut leafs,
    } = suspect;
    leafs.sort();
    leafs.dedup();
    leafs.truncate(LEAFS_PER_CHECK);
    let checks = leafs.iter().map(|(leaf, address)| async move {
        (leaf, check_leaf(shared, cache, leaf, *address).await)
    });
    let checks = futures::future::join_all(checks).await;
    let crashed = checks.iter().filter(|(_, found)| *found == Listening::No);
    let hashes: Vec<LeafHash> = crashed
        .clone()
        .map(|(leaf, _)| LeafHash::of(leaf))
        .collect();
    if hashes.is_empty() {
        return;
    }
    let names: Vec<&str> = crashed.map(|(leaf, _)| leaf.as_str()).collect();
    let now = shared.now();
    let mut ledger = lock(&shared.ledger);
    let changed = ledger.record_crashes(fingerprint, &hashes, now);
    let decision = ledger.handling(fingerprint, now);
    let blamed = ledger.is_blamed(fingerprint);
    shared
        .metrics
        .set_quarantine_records(ledger.len(), ledger.refused_count(now));
    drop(ledger);
    info!(shared.runtime.log, "quarantine: leafs ended under {fingerprint}, which none answered";
        "leafs" => names.join(" "), "stand" => format!("{decision:?}"));
    if changed {
        shared.ledger_changed.notify_one();
    }
    if changed && blamed {
        queue_update(shared, fingerprint);
    }
}

/// Queues an update of the store's record of a request; drops it with a warning if the queue
/// is full.
fn queue_update(shared: &Shared, fingerprint: Fingerprint) {
    // A dropped update is no loss while other entries still have the record.
    if shared.record_updates.try_send(fingerprint).is_err() {
        warn!(shared.runtime.log, "quarantine: too many records to write, one is dropped"; "asks" => %fingerprint);
    }
}

/// Checks whether a leaf still accepts connections, unless a result from the last
/// [`CHECK_TTL`] is cached; unknown after [`CONNECT_TIMEOUT`]. A lost connection alone is no
/// evidence of a crash: running leafs reset connections and cut off answers too.
async fn check_leaf(
    shared: &Shared,
    cache: &CheckCache,
    leaf: &LeafId,
    address: std::net::SocketAddr,
) -> Listening {
    let now = shared.now();
    let recent = lock(cache).get(leaf).copied();
    if let Some((_, found)) = recent.filter(|(at, _)| now.since(*at) < CHECK_TTL) {
        return found;
    }
    let result = timeout(
        CONNECT_TIMEOUT,
        shared.forward.check_listening(leaf, address),
    )
    .await;
    let found = result.unwrap_or(Listening::Unknown);
    let mut cache = lock(cache);
    cache.retain(|_, (at, _)| now.since(*at) < CHECK_TTL);
    cache.insert(leaf.clone(), (now, found));
    found
}

/// Reports changed records to a sample of other entries when the ledger says that a push is
/// due, and removes expired ones, for as long as the entry runs.
pub(crate) async fn gossip(shared: Arc<Shared>, members: Arc<Members>) {
    loop {
        let due = lock(&shared.ledger).push_due();
        let wake = due.unwrap_or(shared.now() + EXPIRY_INTERVAL);
        tokio::select! {
            () = shared.ledger_changed.notified() => continue,
            () = sleep_until(shared.runtime.clock.instant(wake)) => {}
        }
        if due.is_some() {
            lock(&shared.ledger).record_push(shared.now());
            members::send_reports(&shared, &members).await;
        }
        lock(&shared.ledger).expire(shared.now());
    }
}
