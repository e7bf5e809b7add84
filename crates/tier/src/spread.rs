//! How configuration reaches every entry.
//!
//! An object that is new here is sent on to a few peers at random, so that an
//! edit reaches all in a few hops without anybody sending to all. Whoever is
//! missed sees another digest in the next probe and asks for what is newer.

use std::{sync::Arc, time::Duration};

use chestnut_conf::{Applied, Kind, Object};
use slog::{debug, info};
use tokio::{sync::mpsc, time::sleep};

use crate::shared::{Differs, Shared, lock};

/// Peers to which an entry passes on what is new to it. With three, a change
/// reaches all but a twentieth of 2,900 entries in eight hops.
const FANOUT: usize = 3;
/// Time that a spreading change is given before differences are fetched.
const SETTLE: Duration = Duration::from_millis(200);

/// Takes objects from the platform or a peer, and passes on what is new.
pub(crate) fn take(shared: &Arc<Shared>, objects: Vec<Object>, from: &'static str) {
    let new = apply(shared, objects, from);
    if new.is_empty() || shared.peers.get().is_none() {
        return;
    }
    for (_, address) in shared.some_peers(FANOUT) {
        let (shared, objects) = (shared.clone(), new.clone());
        tokio::spawn(async move {
            // One that is missed catches up by its digest.
            let _ = shared.peers().push(address, objects).await;
        });
    }
}

/// Puts objects in force and returns those that were new.
fn apply(shared: &Shared, objects: Vec<Object>, from: &'static str) -> Vec<Object> {
    let mut new = Vec::new();
    let mut conf = lock(&shared.conf);
    for object in objects {
        match conf.book.apply(object.clone()) {
            Applied::New => new.push(object),
            Applied::Old => {
                shared.metrics.stale.inc();
                debug!(
                    shared.host.log,
                    "conf: dropped old {} version {}", object.key, object.version
                );
            }
            Applied::Same => {}
        }
    }
    if new.is_empty() {
        return new;
    }
    conf.changed();
    drop(conf);
    for object in &new {
        info!(shared.host.log, "conf: {} version {} in force", object.key, object.version;
            "from" => from);
    }
    if new
        .iter()
        .any(|o| matches!(o.key.kind, Kind::Service | Kind::Layout | Kind::Evacuation))
    {
        shared.place.notify_one();
    }
    new
}

/// Fetches what peers with another digest have newer.
pub(crate) async fn fetch(shared: Arc<Shared>, mut differs: mpsc::Receiver<Differs>) {
    while let Some(peer) = differs.recv().await {
        sleep(SETTLE).await;
        let (digest, have) = {
            let conf = lock(&shared.conf);
            (conf.book.digest(), conf.book.keys())
        };
        if digest == peer.digest {
            continue;
        }
        if let Ok(objects) = shared.peers().objects(peer.peer, have).await {
            take(&shared, objects, "a peer's digest");
        }
    }
}
