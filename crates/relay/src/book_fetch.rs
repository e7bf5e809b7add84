//! Fetches newer versions of the route book from peers.

use std::{net::SocketAddr, sync::Arc};

use chestnut_book::{BookDelta, BookVersion, RouteBook};
use chestnut_flow::lock;
use chestnut_port::{EncodedDelta, unpack};
use chestnut_unit::Time;
use futures::{StreamExt, stream::FuturesUnordered};
use rand::Rng;
use slog::{debug, info};
use tokio::time::sleep_until;

use crate::{NextRead, Upstream, apply::serve_if_ready, feeds::Feeds, shared::Shared};

/// Fetches newer route books, from the peers that [`BookPropagation`] names, for as long as
/// the entry runs. A fetch goes on when the upstream changes.
///
/// [`BookPropagation`]: crate::BookPropagation
pub(crate) async fn run(shared: Arc<Shared>, feeds: Arc<Feeds>) {
    let mut fetches = FuturesUnordered::new();
    loop {
        let (now, draw) = (shared.now(), shared.runtime.rng().next_u64());
        let next = lock(&shared.propagation).next(draw, now);
        let wake = match next {
            NextRead::From(peer) => {
                lock(&shared.propagation).read_started(peer, now);
                fetches.push(fetch(&shared, &feeds, peer));
                continue;
            }
            NextRead::WaitUntil(until) => until,
            NextRead::Nothing => Time::MAX,
        };
        tokio::select! {
            Some(peer) = fetches.next() => lock(&shared.propagation).read_ended(peer),
            () = sleep_until(shared.runtime.clock.instant(wake)) => {}
            () = shared.newer_book.notified() => {}
        }
    }
}

/// Fetches the book of `peer`, and returns the peer in any case, to end its read.
async fn fetch(shared: &Shared, feeds: &Feeds, peer: SocketAddr) -> SocketAddr {
    fetch_book(shared, feeds, peer).await;
    peer
}

/// Fetches the delta from the own book to that of `peer`, and puts the result in force. An
/// empty delta clears the peer's report of a newer version; a failure starts its backoff.
async fn fetch_book(shared: &Shared, feeds: &Feeds, peer: SocketAddr) {
    let current = lock(&shared.cell.state).extra.book.clone();
    let have = current.as_ref().map_or(BookVersion(0), |book| book.version);
    let started = shared.now();
    let answer = feeds.peers.book(peer, have).await;
    let now = shared.now();
    let ms = now.since(started).as_millis() as u64;
    let raw = match answer {
        Ok(raw) if raw.delta.is_empty() => {
            // The peer has restarted since it reported its version.
            shared.metrics.count_feed_read("nothing new");
            lock(&shared.propagation).not_newer(peer);
            return;
        }
        Ok(raw) => raw,
        Err(error) => return record_failure(shared, peer, &error.to_string(), ms),
    };
    match apply_delta(&raw, current.as_deref()) {
        Ok((rules, book)) => {
            shared.metrics.count_feed_read("taken");
            debug!(shared.runtime.log, "watch: read book {}", book.version; "peer" => %peer,
                "since" => %have, "rules" => rules, "bytes" => raw.delta.len(), "ms" => ms);
            shared.install_book(book, Upstream::Peer(peer));
            serve_if_ready(shared);
        }
        Err(why) => record_failure(shared, peer, &why, ms),
    }
}

/// Applies the delta of an answer to the current book. Returns how many rules it adds,
/// replaces or removes, and the new book. Fails if the delta can't be unpacked or doesn't
/// apply to `current`.
fn apply_delta(
    raw: &EncodedDelta,
    current: Option<&RouteBook>,
) -> Result<(usize, RouteBook), String> {
    let delta: BookDelta = unpack(&raw.delta).map_err(|error| error.to_string())?;
    let rules = delta.changed_rules();
    let book = delta.apply(current).map_err(|error| error.to_string())?;
    Ok((rules, book))
}

/// Counts and logs a failed fetch that took `ms` milliseconds, and starts the peer's backoff.
fn record_failure(shared: &Shared, peer: SocketAddr, why: &str, ms: u64) {
    shared.metrics.count_feed_read("failed");
    info!(shared.runtime.log, "watch: a peer did not pass on its book"; "peer" => %peer,
        "why" => why, "ms" => ms);
    lock(&shared.propagation).failed(peer, shared.now());
}
