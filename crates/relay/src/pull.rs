//! Reads newer books from peers.

use std::{net::SocketAddr, sync::Arc};

use chestnut_book::{BookDelta, BookVersion, RouteBook};
use chestnut_flow::lock;
use chestnut_port::{RawBook, unpack};
use chestnut_unit::Time;
use futures::{StreamExt, stream::FuturesUnordered};
use rand::Rng;
use slog::{debug, info};
use tokio::time::sleep_until;

use crate::{Pull, Upstream, shared::Shared, sources::Sources, take::serve_if_ready};

/// Reads what peers have that is newer, for as long as the entry runs. A reading goes
/// on whatever becomes of the upstream.
pub(crate) async fn run(shared: Arc<Shared>, sources: Arc<Sources>) {
    let mut readings = FuturesUnordered::new();
    loop {
        let (now, draw) = (shared.now(), shared.host.rng().next_u64());
        let pull = lock(&shared.spread).next(draw, now);
        let wake = match pull {
            Pull::From(peer) => {
                lock(&shared.spread).begun(peer, now);
                readings.push(read(&shared, &sources, peer));
                continue;
            }
            Pull::Rest(until) => until,
            Pull::Nothing => Time::MAX,
        };
        tokio::select! {
            Some(peer) = readings.next() => lock(&shared.spread).ended(peer),
            () = sleep_until(shared.host.clock.instant(wake)) => {}
            () = shared.newer.notified() => {}
        }
    }
}

/// Reads from a peer, and returns it.
async fn read(shared: &Shared, sources: &Sources, peer: SocketAddr) -> SocketAddr {
    read_book(shared, sources, peer).await;
    peer
}

async fn read_book(shared: &Shared, sources: &Sources, peer: SocketAddr) {
    let held = lock(&shared.cell.state).extra.book.clone();
    let have = held.as_ref().map_or(BookVersion(0), |book| book.version);
    let begun = shared.now();
    let answer = sources.peers.book(peer, have).await;
    let now = shared.now();
    let ms = now.since(begun).as_millis() as u64;
    let raw = match answer {
        Ok(raw) if raw.delta.is_empty() => {
            // It has started again since it told of its version.
            shared.metrics.count_reading("nothing new");
            lock(&shared.spread).lacks(peer);
            return;
        }
        Ok(raw) => raw,
        Err(error) => return fail(shared, peer, &error.to_string(), ms),
    };
    match make(&raw, held.as_deref()) {
        Ok((rules, book)) => {
            shared.metrics.count_reading("taken");
            debug!(shared.host.log, "watch: read book {}", book.version; "peer" => %peer,
                "since" => %have, "rules" => rules, "bytes" => raw.delta.len(), "ms" => ms);
            shared.take_book(book, Upstream::Peer(peer));
            serve_if_ready(shared);
        }
        Err(why) => fail(shared, peer, &why, ms),
    }
}

/// The book that an answer makes, and how many rules it puts or takes away.
fn make(raw: &RawBook, held: Option<&RouteBook>) -> Result<(usize, RouteBook), String> {
    let delta: BookDelta = unpack(&raw.delta).map_err(|error| error.to_string())?;
    let rules = delta.rules();
    let book = delta.apply(held).map_err(|error| error.to_string())?;
    Ok((rules, book))
}

fn fail(shared: &Shared, peer: SocketAddr, why: &str, ms: u64) {
    shared.metrics.count_reading("failed");
    info!(shared.host.log, "watch: a peer did not pass on its book"; "peer" => %peer,
        "why" => why, "ms" => ms);
    lock(&shared.spread).failed(peer, shared.now());
}
