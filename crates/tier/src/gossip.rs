//! Runs the failure detector over the port for probes.

use std::{net::SocketAddr, sync::Arc};

use chestnut_fleet::{Change, Message, Outgoing};
use slog::info;
use tokio::time::sleep_until;

use crate::shared::{Differs, Shared, lock};

/// Probes, and answers probes, until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let wake = shared.host.clock.instant(lock(&shared.swim).wake());
        let mut out = Vec::new();
        tokio::select! {
            biased;
            (message, from) = shared.probes.receive() => receive(&shared, &message, from, &mut out),
            () = sleep_until(wake) => tick(&shared, &mut out),
        }
        send_all(&shared, out).await;
        take_changes(&shared);
    }
}

/// Sends messages of the detector.
pub(crate) async fn send_all(shared: &Shared, out: Vec<Outgoing>) {
    for Outgoing { to, message } in out {
        shared.probes.send(to, message).await;
    }
}

fn tick(shared: &Shared, out: &mut Vec<Outgoing>) {
    let now = shared.now();
    let status = shared.status();
    let mut rng = shared.rng();
    let present = {
        let mut swim = lock(&shared.swim);
        swim.tick(status, now, &mut rng, out);
        let ids = swim.view.not_confirmed_gone().map(|m| m.id.clone());
        ids.collect::<Vec<_>>()
    };
    let mut conf = lock(&shared.conf);
    conf.confirmation
        .confirm_in_outage(present.iter(), status.digest, now);
}

fn receive(shared: &Shared, message: &Message, from: SocketAddr, out: &mut Vec<Outgoing>) {
    let now = shared.now();
    let status = shared.status();
    lock(&shared.swim).receive(message, from, status, now, out);
    lock(&shared.conf)
        .confirmation
        .peer_reported(message, status.digest, now);
    if message.digest != status.digest {
        let differs = Differs {
            peer: message.from.addresses.peers,
            digest: message.digest,
        };
        // When the queue is full the next message says it again.
        let _ = shared.differs.try_send(differs);
    }
}

/// Acts on changes of the members.
pub(crate) fn take_changes(shared: &Shared) {
    let changes = lock(&shared.swim).take_changes();
    let mut moved = false;
    for (id, change) in changes {
        let word = match change {
            Change::Joined => "joined",
            Change::Suspected => "is suspected",
            Change::Leaving => "is leaving",
            Change::Gone => "is gone",
            Change::None => continue,
        };
        info!(shared.host.log, "fleet: {id} {word}");
        moved |= change != Change::Suspected;
        if change == Change::Gone {
            lock(&shared.conf).confirmation.remove_peer(&id);
        }
    }
    if moved {
        shared.place.notify_one();
    }
}
