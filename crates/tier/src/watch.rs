//! Watches the configuration on the platform for a failure domain.
//!
//! A few entries of each failure domain watch; the others receive changes
//! from peers.

use std::{sync::Arc, time::Duration};

use chestnut_conf::ObjectKind;
use chestnut_fleet::choose_watchers;
use chestnut_port::PlatformError;
use chestnut_unit::{Revision, Time};
use slog::{info, warn};
use tokio::time::sleep;

use crate::{
    propagation,
    shared::{Shared, lock},
    startup,
};

/// Number of entries of a failure domain that watch. Two, so that changes still
/// arrive when one fails, at little read load on the platform.
const WATCHERS: usize = 2;
/// Interval at which an entry checks whether it is a watcher.
const TURN_POLL: Duration = Duration::from_secs(1);
/// Delay after a watch ended, before it is started again.
const BACKOFF: Duration = Duration::from_millis(500);
/// Interval of reads of the list of VMs.
const VMS_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the platform while this entry is a watcher of its failure domain,
/// without end; logs when that changes.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut watching = false;
    loop {
        let turn = is_watcher(&shared);
        if turn != watching {
            let word = if turn { "watches" } else { "no longer watches" };
            info!(shared.runtime.log, "conf: this entry {word} the platform";
                "domain" => %shared.own.domain);
            watching = turn;
        }
        if !turn {
            sleep(TURN_POLL).await;
            continue;
        }
        watch_all(&shared).await;
        sleep(BACKOFF).await;
    }
}

/// Whether this entry is one of the watchers chosen for its failure domain.
fn is_watcher(shared: &Shared) -> bool {
    let swim = lock(&shared.swim);
    let members = swim.view.accepting_work_in(&shared.own.domain);
    choose_watchers(members, WATCHERS).contains(&shared.own.id)
}

/// Reads all kinds of objects, then watches them and polls the list of VMs,
/// until the platform fails or this entry is no watcher.
async fn watch_all(shared: &Arc<Shared>) {
    let Some(revisions) = startup::list_objects(shared).await else {
        return;
    };
    let watches = ObjectKind::REPLICATED
        .into_iter()
        .zip(revisions)
        .map(|(kind, revision)| watch_kind(shared.clone(), kind, revision));
    tokio::select! {
        biased;
        () = async { futures::future::select_all(watches.map(Box::pin)).await; } => {
            warn!(shared.runtime.log, "conf: the watch of the platform ended");
        }
        () = poll_vms(shared) => {}
        () = until_turn_ends(shared) => {}
    }
}

/// Watches one kind of object from `revision` on, applies the changes and
/// records the reads, until a watch fails or the platform was restored from an
/// older copy, after which changes may be missing.
async fn watch_kind(shared: Arc<Shared>, kind: ObjectKind, mut revision: Revision) {
    loop {
        let asked = shared.now();
        let wait = shared.settings.platform.watch;
        match shared.platform.watch(kind, revision.number, wait).await {
            Ok(changes) if changes.epoch > revision.epoch => {
                warn!(shared.runtime.log, "conf: the platform was restored from an older copy";
                    "epoch" => %changes.epoch);
                return;
            }
            Ok(changes) => {
                revision = Revision::new(changes.epoch, changes.revision);
                let complete_at =
                    complete_at(asked, shared.now(), wait, changes.objects.is_empty());
                propagation::apply_and_forward(&shared, changes.objects, "the platform");
                lock(&shared.conf).record_read(kind, revision, complete_at);
            }
            Err(PlatformError::Unavailable) => return,
            Err(error) => {
                warn!(shared.runtime.log, "conf: watch of {kind} failed"; "why" => %error);
                return;
            }
        }
    }
}

/// The time as of which a watch reply is complete: that of the request. An
/// empty reply after the whole wait shows that nothing had changed by the end
/// of the wait, and counts as of then.
fn complete_at(asked: Time, now: Time, wait: Duration, empty: bool) -> Time {
    if empty && now.since(asked) >= wait {
        asked + wait
    } else {
        asked
    }
}

/// Reads the list of VMs periodically and applies it, without end.
async fn poll_vms(shared: &Arc<Shared>) {
    loop {
        startup::refresh_vms(shared).await;
        sleep(VMS_INTERVAL).await;
    }
}

/// Waits until this entry is no longer a watcher.
async fn until_turn_ends(shared: &Shared) {
    while is_watcher(shared) {
        sleep(TURN_POLL).await;
    }
}
