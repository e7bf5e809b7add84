//! Finds out which requests end the leafs that run them, and tells the other entries.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use chestnut_flow::lock;
use chestnut_port::Listening;
use chestnut_quarantine::{Fingerprint, LeafMark, Report, Stand};
use chestnut_route::Trust;
use chestnut_unit::{LeafId, Reason, Run, Time};
use futures::{StreamExt, stream};
use slog::{info, warn};
use tokio::{
    sync::mpsc::{self, error::TrySendError},
    time::{sleep_until, timeout},
};

use crate::{
    calls::Seen,
    forward::{Declined, Why},
    members::{self, Members},
    shared::Shared,
};

/// Tries that wait to be looked into. Past it they are dropped: what ends its leafs comes
/// again.
const DOUBTS_MAX: usize = 256;
/// Tries that are looked into at once, and leafs of one try. Three are enough to take a
/// request for the cause.
const DOUBTS_AT_ONCE: usize = 8;
const LEAFS_MAX: usize = 6;
/// Longest wait for a leaf to take or refuse a connection. One that does neither has not
/// ended by itself, or not alone.
const LOOK_WAIT: Duration = Duration::from_millis(300);
/// How long what became of a leaf is remembered. All requests that it ran ask at once.
const LOOK_SPAN: Duration = Duration::from_secs(1);
/// Cases that are told together.
const CASES: usize = 4;
/// Time between two looks for cases that are over.
const FORGET_EVERY: Duration = Duration::from_secs(60);

/// A try that no leaf answered, and the leafs that it was lost at.
pub(crate) struct Doubt {
    asks: Fingerprint,
    leafs: Vec<(LeafId, std::net::SocketAddr)>,
}

/// The tries to look into.
pub(crate) type Doubts = mpsc::Receiver<Doubt>;

pub(crate) fn doubts() -> (mpsc::Sender<Doubt>, Doubts) {
    mpsc::channel(DOUBTS_MAX)
}

/// A try under way. Dropping it, also when the caller hangs up, takes into account what
/// its calls did to leafs.
pub(crate) struct Try<'a> {
    shared: &'a Shared,
    asks: Fingerprint,
    seen: Arc<Mutex<Seen>>,
}

impl<'a> Try<'a> {
    pub(crate) fn new(shared: &'a Shared, asks: Fingerprint, seen: Arc<Mutex<Seen>>) -> Self {
        Self { shared, asks, seen }
    }
}

impl Drop for Try<'_> {
    fn drop(&mut self) {
        let seen = std::mem::take(&mut *lock(&self.seen));
        let shared = self.shared;
        if seen.answered {
            let mut ledger = lock(&shared.ledger);
            let blamed = ledger.blames(self.asks);
            let news = ledger.answered(self.asks, shared.now());
            drop(ledger);
            if blamed {
                record(shared, self.asks);
            }
            if news {
                info!(shared.host.log, "quarantine: a leaf answered {}", self.asks);
                shared.struck.notify_one();
            }
            return;
        }
        if seen.lost.is_empty() {
            return;
        }
        let doubt = Doubt {
            asks: self.asks,
            leafs: seen.lost,
        };
        match shared.doubts.try_send(doubt) {
            Ok(()) | Err(TrySendError::Closed(_)) => {}
            Err(TrySendError::Full(_)) => {
                warn!(shared.host.log, "quarantine: too many tries to look into, one is passed over"; "asks" => %self.asks);
            }
        }
    }
}

/// How a request is to be handled.
///
/// # Errors
///
/// It is not run.
pub(crate) fn admit(shared: &Shared, asks: Fingerprint) -> Result<Trust, Declined> {
    match lock(&shared.ledger).admit(asks, shared.now()) {
        Stand::Free => Ok(Trust::Full),
        Stand::Trial => Ok(Trust::Trial),
        Stand::Refused(after) => Err(Declined {
            why: Why::Declined(Reason::Quarantined),
            run: Run::NotRun,
            after: Some(after),
        }),
    }
}

/// Takes what another entry tells.
pub(crate) fn hear(shared: &Shared, cases: &[Report]) {
    if cases.is_empty() {
        return;
    }
    let now = shared.now();
    let mut ledger = lock(&shared.ledger);
    let mut news = false;
    for case in cases {
        news |= ledger.hear(case, now);
    }
    shared.metrics.set_cases(ledger.len(), ledger.refused(now));
    drop(ledger);
    if news {
        shared.struck.notify_one();
    }
}

/// What goes with a message to others.
pub(crate) fn cases(shared: &Shared, members: usize) -> Vec<Report> {
    lock(&shared.ledger).tell(CASES, members, shared.now())
}

/// Looks into tries for as long as the entry runs.
pub(crate) async fn judge(shared: Arc<Shared>, doubts: Doubts) {
    let looks = Mutex::new(BTreeMap::new());
    let doubts = stream::unfold(doubts, |mut doubts| async move {
        let doubt = doubts.recv().await?;
        Some((doubt, doubts))
    });
    doubts
        .for_each_concurrent(DOUBTS_AT_ONCE, |doubt| look_into(&shared, &looks, doubt))
        .await;
}

type Looks = Mutex<BTreeMap<LeafId, (Time, Listening)>>;

async fn look_into(shared: &Shared, looks: &Looks, doubt: Doubt) {
    let Doubt { asks, mut leafs } = doubt;
    leafs.sort();
    leafs.dedup();
    leafs.truncate(LEAFS_MAX);
    let looked = leafs
        .iter()
        .map(|(leaf, address)| async move { (leaf, look(shared, looks, leaf, *address).await) });
    let looked = futures::future::join_all(looked).await;
    let ended = looked.iter().filter(|(_, found)| *found == Listening::No);
    let marks: Vec<LeafMark> = ended.clone().map(|(leaf, _)| LeafMark::of(leaf)).collect();
    if marks.is_empty() {
        return;
    }
    let names: Vec<&str> = ended.map(|(leaf, _)| leaf.as_str()).collect();
    let now = shared.now();
    let mut ledger = lock(&shared.ledger);
    let news = ledger.ended(asks, &marks, now);
    let stand = ledger.look(asks, now);
    let blamed = ledger.blames(asks);
    shared.metrics.set_cases(ledger.len(), ledger.refused(now));
    drop(ledger);
    info!(shared.host.log, "quarantine: leafs ended under {asks}, which none answered";
        "leafs" => names.join(" "), "stand" => format!("{stand:?}"));
    if news {
        shared.struck.notify_one();
    }
    if news && blamed {
        record(shared, asks);
    }
}

/// Has the store's record of a request follow what is known here.
fn record(shared: &Shared, asks: Fingerprint) {
    // If it is full, or the entry ends, other entries still know.
    if shared.verdicts.try_send(asks).is_err() {
        warn!(shared.host.log, "quarantine: too many records to write, one is passed over"; "asks" => %asks);
    }
}

/// Whether a leaf still takes connections. Its connection alone tells nothing: connections
/// are reset, and answers cut off, by leafs that go on.
async fn look(
    shared: &Shared,
    looks: &Looks,
    leaf: &LeafId,
    address: std::net::SocketAddr,
) -> Listening {
    let now = shared.now();
    let recent = lock(looks).get(leaf).copied();
    if let Some((_, found)) = recent.filter(|(at, _)| now.since(*at) < LOOK_SPAN) {
        return found;
    }
    let looked = timeout(LOOK_WAIT, shared.forward.listening(leaf, address)).await;
    let found = looked.unwrap_or(Listening::Unknown);
    let mut looks = lock(looks);
    looks.retain(|_, (at, _)| now.since(*at) < LOOK_SPAN);
    looks.insert(leaf.clone(), (now, found));
    found
}

/// Tells other entries what is news, and forgets what is over, for as long as the entry
/// runs.
pub(crate) async fn tell(shared: Arc<Shared>, members: Arc<Members>) {
    loop {
        let due = lock(&shared.ledger).tell_at();
        let wake = due.unwrap_or(shared.now() + FORGET_EVERY);
        tokio::select! {
            () = shared.struck.notified() => continue,
            () = sleep_until(shared.host.clock.instant(wake)) => {}
        }
        if due.is_some() {
            lock(&shared.ledger).telling(shared.now());
            members::tell_cases(&shared, &members).await;
        }
        lock(&shared.ledger).forget(shared.now());
    }
}
