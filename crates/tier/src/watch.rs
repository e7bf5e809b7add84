//! Watches the platform on behalf of a failure domain.

use std::{sync::Arc, time::Duration};

use chestnut_conf::Kind;
use chestnut_fleet::choose_watchers;
use chestnut_port::PlatformError;
use chestnut_unit::Time;
use slog::{info, warn};
use tokio::time::sleep;

use crate::{
    boot,
    shared::{Shared, lock},
    spread,
};

/// Entries of a failure domain that watch the platform. Two, so that one can
/// go without a gap; more would spend the platform's reads on nothing.
const WATCHERS: usize = 2;
/// Time between two looks at who watches.
const LOOK: Duration = Duration::from_secs(1);
/// Rest after the platform failed, before it is tried again.
const REST: Duration = Duration::from_millis(500);
/// Time between two readings of the list of VMs.
const VMS_EVERY: Duration = Duration::from_secs(2);

/// Watches while it is this entry's turn.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut watching = false;
    loop {
        let turn = is_watcher(&shared);
        if turn != watching {
            let word = if turn { "watches" } else { "no longer watches" };
            info!(shared.host.log, "conf: this entry {word} the platform";
                "domain" => %shared.own.domain);
            watching = turn;
        }
        if !turn {
            sleep(LOOK).await;
            continue;
        }
        watch_all(&shared).await;
        sleep(REST).await;
    }
}

fn is_watcher(shared: &Shared) -> bool {
    let swim = lock(&shared.swim);
    let members = swim.view.accepting_work_in(&shared.own.domain);
    choose_watchers(members, WATCHERS).contains(&shared.own.id)
}

/// Watches all kinds until the platform fails or the turn is over.
async fn watch_all(shared: &Arc<Shared>) {
    let Some(revisions) = boot::list_all(shared).await else {
        return;
    };
    let watches = Kind::SPREAD
        .into_iter()
        .zip(revisions)
        .map(|(kind, revision)| watch_kind(shared.clone(), kind, revision));
    tokio::select! {
        biased;
        () = async { futures::future::select_all(watches.map(Box::pin)).await; } => {
            warn!(shared.host.log, "conf: the watch of the platform ended");
        }
        () = read_vms(shared) => {}
        () = turn_over(shared) => {}
    }
}

/// Watches one kind until the platform fails.
async fn watch_kind(shared: Arc<Shared>, kind: Kind, mut revision: u64) {
    loop {
        let asked = shared.now();
        let wait = shared.settings.platform.watch;
        match shared.platform.watch(kind, revision, wait).await {
            Ok(changes) => {
                revision = changes.revision;
                let true_at = true_at(asked, shared.now(), wait, changes.objects.is_empty());
                spread::take(&shared, changes.objects, "the platform");
                lock(&shared.conf).note_read(kind, revision, true_at);
            }
            Err(PlatformError::Unavailable) => return,
            Err(error) => {
                warn!(shared.host.log, "conf: watch of {kind} failed"; "why" => %error);
                return;
            }
        }
    }
}

/// Up to when a watch tells that it has told all: the platform held an empty
/// answer back for the whole wait, so nothing had changed when that was over.
fn true_at(asked: Time, now: Time, wait: Duration, empty: bool) -> Time {
    if empty && now.since(asked) >= wait {
        asked + wait
    } else {
        asked
    }
}

async fn read_vms(shared: &Arc<Shared>) {
    loop {
        boot::read_vms(shared).await;
        sleep(VMS_EVERY).await;
    }
}

async fn turn_over(shared: &Shared) {
    while is_watcher(shared) {
        sleep(LOOK).await;
    }
}
