//! Propagation of configuration between entries by gossip.
//!
//! An entry forwards each new object to a few random peers, so that an edit
//! reaches all entries in a few hops and no entry sends to all. An entry that
//! was missed sees a different digest in the next probe and fetches the rest.

use std::{sync::Arc, time::Duration};

use chestnut_conf::{Applied, Object, ObjectKind};
use slog::{debug, info};
use tokio::{sync::mpsc, time::sleep};

use crate::shared::{DivergentPeer, Shared, lock};

/// Number of peers to which an entry forwards a new object. With three, a change reaches all
/// but a twentieth of 2,900 entries in eight hops.
const FANOUT: usize = 3;
/// Delay before a fetch, in which a change that still propagates may arrive.
const FETCH_DELAY: Duration = Duration::from_millis(200);

/// Applies objects to the configuration and forwards the new ones to a few
/// random peers in the background. `from` is the source in the log.
pub(crate) fn apply_and_forward(shared: &Arc<Shared>, objects: Vec<Object>, from: &'static str) {
    let new = apply(shared, objects, from);
    if new.is_empty() || shared.peers.get().is_none() {
        return;
    }
    for (_, address) in shared.random_peers(FANOUT) {
        let (shared, objects) = (shared.clone(), new.clone());
        tokio::spawn(async move {
            // A peer that this misses fetches the objects after its next probe.
            let _ = shared.peers().push(address, objects).await;
        });
    }
}

/// Applies objects to the configuration and returns those that were new; stale
/// ones are counted and dropped. New objects clear the cached policies and, if
/// they concern services, request a new placement. `from` is the source in the
/// log.
fn apply(shared: &Shared, objects: Vec<Object>, from: &'static str) -> Vec<Object> {
    let mut new = Vec::new();
    let mut conf = lock(&shared.conf);
    for object in objects {
        match conf.objects.apply(object.clone()) {
            Applied::New => new.push(object),
            Applied::Stale => {
                shared.metrics.stale_objects.inc();
                debug!(
                    shared.runtime.log,
                    "conf: ignored stale {} version {}", object.key, object.version
                );
            }
            Applied::Unchanged => {}
        }
    }
    if new.is_empty() {
        return new;
    }
    conf.clear_policies();
    drop(conf);
    for object in &new {
        info!(shared.runtime.log, "conf: {} version {} in force", object.key, object.version;
            "from" => from);
    }
    if new.iter().any(|o| {
        matches!(
            o.key.kind,
            ObjectKind::Service | ObjectKind::Layout | ObjectKind::Evacuation
        )
    }) {
        shared.placement_due.notify_one();
    }
    new
}

/// Fetches newer objects from each peer in the queue whose digest still differs
/// after a delay, and applies and forwards them. Ends when the queue is closed.
pub(crate) async fn fetch(shared: Arc<Shared>, mut divergent_peers: mpsc::Receiver<DivergentPeer>) {
    while let Some(peer) = divergent_peers.recv().await {
        sleep(FETCH_DELAY).await;
        let (digest, have) = {
            let conf = lock(&shared.conf);
            (conf.objects.digest(), conf.objects.keys())
        };
        if digest == peer.digest {
            continue;
        }
        if let Ok(objects) = shared.peers().objects(peer.peer, have).await {
            apply_and_forward(&shared, objects, "a peer's digest");
        }
    }
}
