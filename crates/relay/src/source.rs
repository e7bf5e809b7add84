//! Where the feeds come from now: the store, or an entry that watches it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chestnut_book::RouteBook;
use chestnut_flow::lock;
use chestnut_port::{Feed, FeedNet};
use chestnut_unit::{LeafId, Time};
use rand::Rng;
use slog::{info, warn};
use tokio::time::sleep;

use crate::{
    LeafEntry, Upstream,
    members::Members,
    shared::{Phase, Shared},
};

/// The feed of books, among entries.
pub(crate) const BOOK: &str = "book";
/// The feed of leafs, among entries.
pub(crate) const LEAFS: &str = "leafs";

/// The port to the feeds of other entries.
pub trait FeedPeers: Send + Sync {
    /// The book, as the entry at `to` hears it.
    fn book(&self, to: SocketAddr) -> Arc<dyn Feed<RouteBook>>;

    /// The leafs, as the entry at `to` hears them.
    fn leafs(&self, to: SocketAddr) -> Arc<dyn Feed<(LeafId, LeafEntry)>>;
}

impl FeedPeers for FeedNet {
    fn book(&self, to: SocketAddr) -> Arc<dyn Feed<RouteBook>> {
        Arc::new(self.feed(to, BOOK))
    }

    fn leafs(&self, to: SocketAddr) -> Arc<dyn Feed<(LeafId, LeafEntry)>> {
        Arc::new(self.feed(to, LEAFS))
    }
}

/// The feeds of the store and of other entries.
pub(crate) struct Sources {
    pub(crate) book: Arc<dyn Feed<RouteBook>>,
    pub(crate) leafs: Arc<dyn Feed<(LeafId, LeafEntry)>>,
    pub(crate) peers: Arc<dyn FeedPeers>,
}

impl Sources {
    pub(crate) fn book(&self, from: Upstream) -> Arc<dyn Feed<RouteBook>> {
        match from {
            Upstream::Store => self.book.clone(),
            Upstream::Peer(peer) => self.peers.book(peer),
        }
    }

    pub(crate) fn leafs(&self, from: Upstream) -> Arc<dyn Feed<(LeafId, LeafEntry)>> {
        match from {
            Upstream::Store => self.leafs.clone(),
            Upstream::Peer(peer) => self.peers.leafs(peer),
        }
    }
}

/// Time between two pulses. A store or peer that is lost is noticed within it,
/// well within the seconds in which changes are due.
const PULSE: Duration = Duration::from_secs(1);
/// First time between two pulses while the entry has no book or no leafs yet; it
/// doubles with each up to the longest. Callers are refused meanwhile, and each
/// call of each entry that waits for a lost store is paid for.
const PULSE_START: Duration = Duration::from_millis(40);
const PULSE_START_MAX: Duration = Duration::from_millis(320);

/// Keeps choosing the upstream and asking for its pulse, for as long as the
/// entry runs.
pub(crate) async fn run(shared: Arc<Shared>, members: Arc<Members>, sources: Arc<Sources>) {
    let mut start = PULSE_START;
    loop {
        let upstream = choose(&shared, &members);
        shared.metrics.count_store(match upstream {
            Upstream::Store => "pulse",
            Upstream::Peer(_) => "pulse of a peer",
        });
        let answer = sources.book(upstream).pulse().await;
        let now = shared.now();
        match (answer, upstream) {
            (Ok(revision), _) => answered(&shared, revision, now),
            (Err(error), Upstream::Peer(peer)) => {
                info!(shared.host.log, "watch: a peer does not pass on the store";
                    "peer" => %peer, "why" => %error);
                shared.failed(peer);
                if shared.phase() == Phase::Starting {
                    sleep(PULSE_START).await;
                }
                continue;
            }
            (Err(error), Upstream::Store) => {
                let mut new = false;
                shared.pulse.send_modify(|pulse| new = pulse.failed(now));
                if new {
                    warn!(shared.host.log, "watch: lost the store"; "why" => %error);
                }
            }
        }
        rest(&shared, start).await;
        start = (start * 2).min(PULSE_START_MAX);
    }
}

fn choose(shared: &Shared, members: &Members) -> Upstream {
    let upstream = members.upstream(shared);
    let new = shared.upstream.send_if_modified(|now| {
        let new = *now != upstream;
        *now = upstream;
        new
    });
    if new {
        info!(shared.host.log, "watch: follows {upstream:?}");
    }
    upstream
}

fn answered(shared: &Shared, revision: u64, now: Time) {
    let mut lost = None;
    shared
        .pulse
        .send_modify(|pulse| lost = pulse.answered(revision, now));
    if let Some(span) = lost {
        info!(shared.host.log, "watch: the store is back"; "lost_ms" => span.as_millis() as u64);
        lock(&shared.cell.state).extra.leafs.returned(now);
    }
}

/// Waits for the next pulse, or until the upstream may have to change.
async fn rest(shared: &Shared, start: Duration) {
    // Drawn from three quarters to the whole, so that entries that started
    // together don't ask together.
    let draw = shared.host.rng().next_u64() as f64 / u64::MAX as f64;
    let span = match shared.phase() {
        Phase::Starting => start,
        Phase::Serving | Phase::Leaving => PULSE,
    };
    tokio::select! {
        () = sleep(span.mul_f64(0.75 + 0.25 * draw)) => {}
        () = shared.choose.notified() => {}
    }
}
