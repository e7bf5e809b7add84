//! Runs the SWIM failure detector, which exchanges probes with the other members.

use std::{net::SocketAddr, sync::Arc};

use chestnut_fleet::{Change, Message, Outgoing};
use slog::info;
use tokio::time::sleep_until;

use crate::shared::{DivergentPeer, Shared, lock};

/// Sends and answers probes without end, and applies the membership changes
/// that they show.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let wake = shared.runtime.clock.instant(lock(&shared.swim).wake());
        let mut out = Vec::new();
        tokio::select! {
            biased;
            (message, from) = shared.probes.receive() => receive(&shared, &message, from, &mut out),
            () = sleep_until(wake) => tick(&shared, &mut out),
        }
        send_all(&shared, out).await;
        apply_member_changes(&shared);
    }
}

/// Sends messages of the failure detector to their addresses.
pub(crate) async fn send_all(shared: &Shared, out: Vec<Outgoing>) {
    for Outgoing { to, message } in out {
        shared.probes.send(to, message).await;
    }
}

/// Runs the timers of the failure detector, whose messages are appended to
/// `out`. Then confirms the configuration if all other members recently
/// reported and confirmed the same one.
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

/// Passes a message from `from` to the failure detector; replies are appended
/// to `out`. If the sender's configuration digest differs, it is queued for a
/// fetch of newer objects.
fn receive(shared: &Shared, message: &Message, from: SocketAddr, out: &mut Vec<Outgoing>) {
    let now = shared.now();
    let status = shared.status();
    lock(&shared.swim).receive(message, from, status, now, out);
    lock(&shared.conf)
        .confirmation
        .peer_reported(message, status.digest, now);
    if message.digest != status.digest {
        let divergent = DivergentPeer {
            peer: message.from.addresses.peers,
            digest: message.digest,
        };
        // If the queue is full, the next probe from this peer reports it again.
        let _ = shared.divergent_peers.try_send(divergent);
    }
}

/// Logs the membership changes since the last call, forgets the confirmations
/// of members that are gone, and requests a new placement unless members were
/// only suspected.
pub(crate) fn apply_member_changes(shared: &Shared) {
    let changes = lock(&shared.swim).take_changes();
    let mut changed = false;
    for (id, change) in changes {
        let event = match change {
            Change::Joined => "joined",
            Change::Suspected => "is suspected",
            Change::Leaving => "is leaving",
            Change::Gone => "is gone",
            Change::None => continue,
        };
        info!(shared.runtime.log, "fleet: {id} {event}");
        changed |= change != Change::Suspected;
        if change == Change::Gone {
            lock(&shared.conf).confirmation.remove_peer(&id);
        }
    }
    if changed {
        shared.placement_due.notify_one();
    }
}
