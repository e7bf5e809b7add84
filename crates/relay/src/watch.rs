//! Follows the book and the leafs.

use std::{sync::Arc, time::Duration};

use chestnut_book::RouteBook;
use chestnut_flow::lock;
use chestnut_port::{Batch, Feed, FeedError, Freshness, Item};
use chestnut_unit::{LeafId, Time};
use slog::{info, warn};
use tokio::time::{sleep, sleep_until};

use crate::{
    Upstream,
    follow::{Follower, Next},
    leafs::{LeafEntry, Moved},
    shared::{Phase, Shared, take_moves},
    source::{self, Sources},
};

/// How long one watch waits for a change. Each call is paid for, so as long as
/// stores let it wait; a watch that is lost is found by the pulse and not by
/// its end.
const WATCH: Duration = Duration::from_secs(25);
/// Rest after a peer failed, in which another upstream is chosen.
const PEER_REST: Duration = Duration::from_millis(20);
/// Rest after an answer that is older than what is known, from a peer that has
/// heard less.
const OLD_REST: Duration = Duration::from_millis(100);
/// Pause between an answer of a watch and the next one. Changes mostly come
/// several at a time, and each call is paid for; a leaf that leaves serves for
/// some seconds more, so a third of a second is in time.
const GATHER: Duration = Duration::from_millis(350);

/// Follows the book for as long as the entry runs.
pub(crate) async fn book(shared: Arc<Shared>, sources: Arc<Sources>) {
    let take = |batch: Batch<RouteBook>, whole| {
        lock(&shared.passed.book).take(&batch, whole);
        take_book(&shared, batch);
    };
    follow(&shared, |from| sources.book(from), source::BOOK, take).await;
}

/// Follows the leafs for as long as the entry runs.
pub(crate) async fn leafs(shared: Arc<Shared>, sources: Arc<Sources>) {
    let take = |batch: Batch<(LeafId, LeafEntry)>, whole| {
        lock(&shared.passed.leafs).take(&batch, whole);
        take_leafs(&shared, batch, whole);
    };
    let follow = follow(&shared, |from| sources.leafs(from), source::LEAFS, take);
    tokio::join!(follow, lapses(&shared));
}

async fn follow<T>(
    shared: &Shared,
    feed: impl Fn(Upstream) -> Arc<dyn Feed<T>>,
    what: &'static str,
    take: impl Fn(Batch<T>, bool),
) {
    let mut follower = Follower::default();
    loop {
        store_there(shared).await;
        let upstream = *shared.upstream.borrow();
        let next = follower.next();
        if upstream == Upstream::Store {
            shared.metrics.count_store(what);
        }
        let source = feed(upstream);
        let answer = tokio::select! {
            biased;
            answer = ask(&*source, next) => answer,
            () = overdue(shared, next, upstream) => {
                if *shared.upstream.borrow() == upstream {
                    info!(shared.host.log, "watch: asking again, a change was not told";
                        "what" => what, "next" => format!("{next:?}"));
                }
                continue;
            }
        };
        match (answer, upstream) {
            (Ok(batch), _) if follower.is_old(batch.revision) => sleep(OLD_REST).await,
            (Ok(batch), _) => {
                follower.answered(batch.revision);
                let changed = !batch.items.is_empty();
                take(batch, next == Next::List);
                shared.passed.told.send_modify(|told| *told += 1);
                if changed && next != Next::List && upstream == Upstream::Store {
                    sleep(GATHER).await;
                }
            }
            (Err(error @ FeedError::HistoryGone), _) => {
                follower.failed(&error, &mut shared.host.rng());
            }
            (Err(error), Upstream::Peer(peer)) => {
                info!(shared.host.log, "watch: a peer failed"; "what" => what,
                    "peer" => %peer, "why" => %error);
                shared.failed(peer);
                sleep(PEER_REST).await;
            }
            (Err(error), Upstream::Store) => {
                let rest = follower.failed(&error, &mut shared.host.rng());
                warn!(shared.host.log, "watch: a call failed"; "what" => what,
                    "why" => %error, "rest_ms" => rest.as_millis() as u64);
                sleep(rest).await;
            }
        }
    }
}

async fn ask<T>(feed: &dyn Feed<T>, next: Next) -> Result<Batch<T>, FeedError> {
    match next {
        Next::List => feed.list(Freshness::Now).await,
        Next::Watch(revision) => feed.watch(revision, WATCH).await,
    }
}

/// Waits until the store answers pulses. Calls to one that does not would only
/// be paid for.
async fn store_there(shared: &Shared) {
    // An error means that the entry ends.
    let _ = shared
        .pulse
        .subscribe()
        .wait_for(|pulse| !pulse.is_lost())
        .await;
}

/// Waits until a call is not to be waited for any longer: the store is lost, or
/// has changed and the call did not tell, or the upstream is another now.
async fn overdue(shared: &Shared, next: Next, from: Upstream) {
    let mut upstreams = shared.upstream.subscribe();
    let mut pulses = shared.pulse.subscribe();
    let started = pulses.borrow().revision();
    loop {
        let pulse = *pulses.borrow_and_update();
        if pulse.is_lost() || *upstreams.borrow_and_update() != from {
            return;
        }
        let until = match next {
            Next::Watch(revision) => pulse.overdue(revision, started),
            Next::List => None,
        };
        if until.is_some_and(|until| until <= shared.now()) {
            return;
        }
        let wake = shared.host.clock.instant(until.unwrap_or(Time::MAX));
        tokio::select! {
            // An error means that the entry ends.
            _ = pulses.changed() => {}
            _ = upstreams.changed() => {}
            () = sleep_until(wake) => {}
        }
    }
}

fn take_book(shared: &Shared, batch: Batch<RouteBook>) {
    for item in batch.items {
        let Some(book) = item.value else {
            warn!(
                shared.host.log,
                "watch: the book was deleted, the last one stays in force"
            );
            continue;
        };
        let (version, rules) = (book.version, book.rules().count());
        if shared.take_book(book) {
            shared.metrics.book.set(version.0 as i64);
            info!(shared.host.log, "watch: book {version} is in force"; "rules" => rules,
                "revision" => batch.revision);
        }
    }
    serve_if_ready(shared);
}

fn take_leafs(shared: &Shared, batch: Batch<(LeafId, LeafEntry)>, whole: bool) {
    let now = shared.now();
    let mut moves = Vec::new();
    {
        let mut state = lock(&shared.cell.state);
        let leafs = &mut state.extra.leafs;
        if whole {
            let list = batch.items.into_iter().filter_map(|item| item.value);
            leafs.listed(list.collect(), now, &mut moves);
        } else {
            for item in batch.items {
                take_leaf(leafs, item, now, &mut moves);
            }
        }
        let known = leafs.len();
        shared.metrics.leafs.set(known as i64);
        take_moves(&mut state, &moves, &shared.settings, now);
    }
    tell_moves(shared, &moves, batch.revision);
    serve_if_ready(shared);
}

fn take_leaf(
    leafs: &mut crate::Leafs,
    item: Item<(LeafId, LeafEntry)>,
    now: Time,
    moves: &mut Vec<Moved>,
) {
    match item.value {
        Some((id, entry)) => leafs.changed(id, entry, now, moves),
        None => {
            if let Ok(id) = LeafId::new(&item.name) {
                leafs.deleted(&id, now, moves);
            }
        }
    }
}

/// Gives up missing leafs in time.
async fn lapses(shared: &Shared) {
    /// Time between two looks while no leaf is missing.
    const LOOK: Duration = Duration::from_millis(500);
    loop {
        let now = shared.now();
        let wake = lock(&shared.cell.state).extra.leafs.wake();
        if wake > now {
            let wake = wake.min(now + LOOK);
            sleep_until(shared.host.clock.instant(wake)).await;
            continue;
        }
        let mut moves = Vec::new();
        {
            let mut state = lock(&shared.cell.state);
            state.extra.leafs.tick(now, &mut moves);
            take_moves(&mut state, &moves, &shared.settings, now);
        }
        tell_moves(shared, &moves, 0);
    }
}

fn tell_moves(shared: &Shared, moves: &[Moved], revision: u64) {
    for moved in moves {
        let (word, id) = match moved {
            Moved::Came(id, _) => ("takes work", id),
            Moved::Leaves(id) => ("is leaving", id),
            Moved::Closed(id) => ("takes no more work", id),
            Moved::Missing(id) => ("is missing", id),
            Moved::Gone(id) => ("is gone", id),
        };
        if let Moved::Gone(id) = moved {
            shared.forward.forget(id);
        }
        info!(shared.host.log, "hold: leaf {id} {word}"; "revision" => revision);
    }
}

/// Lets the entry serve once it knows the book and the leafs.
fn serve_if_ready(shared: &Shared) {
    let known = {
        let state = lock(&shared.cell.state);
        state.extra.book.is_some() && !state.extra.leafs.is_empty()
    };
    let serves = known
        && shared.phase.send_if_modified(|phase| {
            let starting = *phase == Phase::Starting;
            if starting {
                *phase = Phase::Serving;
            }
            starting
        });
    if serves {
        let after = shared.now().since(Time::ZERO);
        info!(shared.host.log, "fleet: {} serves", shared.settings.entry.member;
            "after_ms" => after.as_millis() as u64);
    }
}
