//! What an entry learns from its peers after the store was restored from an older copy.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use chestnut_flow::lock;
use chestnut_port::Freshness;
use chestnut_unit::{Epoch, Revision};
use futures::future::join_all;
use rand::Rng;
use slog::{info, warn};
use tokio::time::sleep;

use crate::{
    HeldEvacuation, Upstream,
    apply::change_evacuations,
    feeds::Feeds,
    members::{Members, wait_until_serving},
    shared::Shared,
};

/// Delay after a restore is known, in which peers read the lists of the restored store.
const LIST_DELAY: Duration = Duration::from_millis(1500);
/// Delay before peers are asked again if none answered.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Times that peers are asked.
const MAX_TRIES: usize = 5;
/// Members that are asked after a restore, beside the upstream.
const SAMPLE: usize = 2;

/// Asks peers which evacuations they hold to that the restored store lacks: when this entry
/// serves, as it may have read the restored store first, and after each restore, as it may have
/// been cut off before. Runs for as long as the entry.
pub(crate) async fn run(shared: Arc<Shared>, members: Arc<Members>, feeds: Arc<Feeds>) {
    if !wait_until_serving(&shared).await {
        return;
    }
    let seeds = || shared.settings.seeds.clone();
    ask_until_answered(&shared, &feeds, seeds).await;
    loop {
        let epoch = shared.epoch();
        shared.wait_for_restore(epoch).await;
        // Spread, as all entries learn of a restore at about the same time.
        let draw = shared.runtime.rng().next_u64() as f64 / u64::MAX as f64;
        sleep(LIST_DELAY.mul_f64(1.0 + draw)).await;
        let sample = || members.sample_peers(&shared, SAMPLE);
        ask_until_answered(&shared, &feeds, sample).await;
    }
}

/// Asks the upstream and those of `peers`, again after a while if none answers.
async fn ask_until_answered(shared: &Shared, feeds: &Feeds, peers: impl Fn() -> Vec<SocketAddr>) {
    for _ in 0..MAX_TRIES {
        if ask(shared, feeds, peers()).await {
            return;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Asks the upstream and `peers` at once, and takes over what they know. Returns whether one
/// answered.
async fn ask(shared: &Shared, feeds: &Feeds, peers: Vec<SocketAddr>) -> bool {
    let own = shared.settings.listen.peers;
    let mut peers: BTreeSet<SocketAddr> = peers.into_iter().collect();
    if let Some(Upstream::Peer(upstream)) = *shared.upstream.borrow() {
        peers.insert(upstream);
    }
    peers.remove(&own);
    let calls = peers.into_iter().map(|peer| async move {
        let answer = feeds.peers.held(peer).list(Freshness::Stale).await;
        (peer, answer)
    });
    let mut answered = false;
    for (peer, answer) in join_all(calls).await {
        let Ok(held) = answer else { continue };
        answered = true;
        let held = held.items.into_iter();
        take_over(shared, peer, held.filter_map(|item| item.content.value()));
    }
    answered
}

/// Takes over what `peer` knows of evacuations that the restored store lacks.
fn take_over(shared: &Shared, peer: SocketAddr, held: impl Iterator<Item = HeldEvacuation>) {
    let now = shared.now();
    let revision = shared.store_status.borrow().revision();
    for held in held {
        info!(shared.runtime.log, "hold: {peer} knows of the evacuation of {}", held.domain;
            "left_ms" => held.left.as_millis() as u64);
        change_evacuations(shared, revision, |evacuations, out| {
            evacuations.take_over(held, now, out);
        });
    }
}

/// Records the epoch of the store that a member reports. If the store was restored, polls the
/// upstream at once.
pub(crate) fn hear_epoch(shared: &Shared, epoch: Epoch) {
    let known = shared.store_status.borrow().revision();
    if epoch <= known.epoch {
        return;
    }
    let now = shared.now();
    let mut restored = false;
    shared
        .store_status
        .send_modify(|status| restored = status.hear_epoch(epoch, now));
    shared.metrics.set_epoch(epoch);
    if restored {
        report_restore(shared, known);
        lock(&shared.cell.state).extra.leafs.restart_timeouts(now);
        shared.upstream_changed.notify_one();
    }
}

/// Logs and counts a restore of the store, at which the latest revision was `known`, and has the
/// leases of cold leafs decided anew.
pub(crate) fn report_restore(shared: &Shared, known: Revision) {
    let revision = shared.store_status.borrow().revision();
    warn!(shared.runtime.log, "watch: the store was restored from an older copy";
        "revision" => %revision, "known" => %known);
    shared.metrics.restores.inc();
    shared.cold_changed.notify_one();
}

impl Shared {
    /// Returns the latest known epoch of the store.
    pub(crate) fn epoch(&self) -> Epoch {
        self.store_status.borrow().revision().epoch
    }

    /// Waits until the epoch of the store is known to be later than `epoch`.
    pub(crate) async fn wait_for_restore(&self, epoch: Epoch) {
        let mut statuses = self.store_status.subscribe();
        // An error means that the entry ends.
        let _ = statuses
            .wait_for(|status| status.revision().epoch > epoch)
            .await;
    }
}
