//! Chooses the upstream, which is the store or an entry that watches it, and polls it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chestnut_flow::lock;
use chestnut_port::FeedError;
use chestnut_unit::{Revision, Time};
use rand::Rng;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::{
    Distance, Upstream,
    feed_watch::{date, load_from_peer},
    feeds::Feeds,
    members::Members,
    restore::report_restore,
    shared::{Phase, Shared},
    store_status::PollNews,
};

/// Interval between polls of the upstream once the entry serves; it bounds how late the loss
/// of the store or a peer is noticed.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// First interval between polls until the entry serves; it doubles up to the longest.
/// Callers are refused meanwhile, and each call to a lost store is paid for.
const STARTUP_INTERVAL: Duration = Duration::from_millis(40);
/// Longest interval between polls until the entry serves.
const STARTUP_INTERVAL_MAX: Duration = Duration::from_millis(320);

/// Delay before another peer is asked, so that peers that redirect to each other are
/// not asked in a tight loop.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Timeout of a peer's heartbeat while this entry starts, and wait for the store's answer
/// before the seeds are asked too. Longer than a round trip to another region.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(45);
/// Interval between heartbeats of a peer that has lost the store. They cost the store
/// nothing, and changes are due soon after it is back.
const LOST_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest interval between polls of a store that the peers, or this entry alone, have lost;
/// the longest is twice that. It bounds the delay of its changes and the load on the store.
/// Thousands of entries still ask the store only a few hundred times a second in all.
const CHECK_INTERVAL_MIN: Duration = Duration::from_secs(4);
/// Longest delay of the first such poll after the peers have lost the store. It is short, as
/// the store may just have accepted a change and be reachable from this entry only.
const FIRST_CHECK_MAX: Duration = Duration::from_millis(1500);
/// Time per member: in a large fleet the longest delay is this times the number of members, up
/// to [`CHECK_INTERVAL_MIN`], so that their polls are spread out.
const FIRST_CHECK_PER_MEMBER: Duration = Duration::from_millis(2);

/// Outcome of a poll: answered, the store is lost, or another upstream is to be polled.
#[derive(Clone, Copy)]
enum PollOutcome {
    /// The store or a peer answered.
    Answered,
    /// The store is lost to this entry or to the peer, and there is no better upstream.
    StoreLost,
    /// Another upstream is to be polled, after [`RETRY_DELAY`].
    TryNext,
}

/// Chooses the upstream and polls it, for as long as the entry runs. While the peers have lost
/// the store, it also asks the store itself from time to time.
pub(crate) async fn run(shared: Arc<Shared>, members: Arc<Members>, feeds: Arc<Feeds>) {
    let mut interval = STARTUP_INTERVAL;
    let mut next_check = Time::MAX;
    let mut checked = false;
    loop {
        let upstream = choose_upstream(&shared, &members);
        shared.metrics.count_store_call(match upstream {
            Upstream::Store => "pulse",
            Upstream::Peer(_) => "pulse of a peer",
        });
        let answer = poll(&shared, &feeds, upstream).await;
        let outcome = match upstream {
            Upstream::Store => handle_store_poll(&shared, &members, answer),
            Upstream::Peer(peer) => handle_heartbeat(&shared, &members, peer, answer),
        };
        match (outcome, upstream) {
            (PollOutcome::TryNext, _) => sleep(RETRY_DELAY).await,
            (PollOutcome::StoreLost, Upstream::Peer(_)) => {
                let now = shared.now();
                if next_check == Time::MAX {
                    let span = match checked {
                        true => check_delay(&shared),
                        false => first_check_delay(&shared, &members),
                    };
                    next_check = now + span;
                }
                if now >= next_check {
                    checked = true;
                    next_check = check_store(&shared, &feeds).await;
                }
                wait_interval(&shared, LOST_INTERVAL).await;
            }
            (PollOutcome::Answered | PollOutcome::StoreLost, _) => {
                next_check = Time::MAX;
                checked &= matches!(outcome, PollOutcome::StoreLost);
                let starting = shared.phase() == Phase::Starting;
                wait_interval(&shared, if starting { interval } else { POLL_INTERVAL }).await;
                interval = (interval * 2).min(STARTUP_INTERVAL_MAX);
            }
        }
    }
}

/// Polls `upstream` and returns the revision of the store. While the entry starts, it also
/// loads what the seeds know if the store doesn't answer within [`STARTUP_TIMEOUT`], or what
/// `upstream` knows if that is a peer that has lost the store.
async fn poll(shared: &Shared, feeds: &Feeds, upstream: Upstream) -> Result<Revision, FeedError> {
    let starting = shared.phase() == Phase::Starting;
    match upstream {
        Upstream::Store if starting => {
            let mut poll = feeds.book.poll_revision();
            if let Ok(answer) = timeout(STARTUP_TIMEOUT, &mut poll).await {
                return answer;
            }
            tokio::select! {
                answer = &mut poll => return answer,
                () = load_from_seeds(shared, feeds) => {}
            }
            poll.await
        }
        Upstream::Store => feeds.book.poll_revision().await,
        Upstream::Peer(peer) if starting => {
            let answer = peer_heartbeat(shared, feeds, peer, STARTUP_TIMEOUT).await;
            if answer == Err(FeedError::StoreLost) {
                load_from_peer(shared, feeds, peer).await;
            }
            answer
        }
        Upstream::Peer(peer) => peer_heartbeat(shared, feeds, peer, Duration::MAX).await,
    }
}

/// Asks a peer for its heartbeat, and records the version of its book. Returns the
/// revision of the store that it reports, or why it reports none;
/// [`FeedError::Unavailable`] if it doesn't answer within `limit`.
async fn peer_heartbeat(
    shared: &Shared,
    feeds: &Feeds,
    peer: SocketAddr,
    limit: Duration,
) -> Result<Revision, FeedError> {
    let none = || Err(FeedError::Unavailable("no answer in time".to_owned()));
    let answer = timeout(limit, feeds.peers.heartbeat(peer)).await;
    let heartbeat = answer.unwrap_or_else(|_| none())?;
    // Counted as local wherever the peer is: this entry reads from its upstream in any case,
    // so a newer book there need not wait for the delay of peers in other failure domains.
    shared.record_peer_version(peer, heartbeat.book, Distance::Local);
    let revision = date(shared, heartbeat.store?)?;
    let status = shared.store_status.borrow();
    match status.is_left_behind(revision, shared.now()) {
        // It has not reached the store since that was restored.
        true => Err(FeedError::StoreLost),
        false => Ok(revision),
    }
}

/// Asks the seeds in turn and loads the leafs and evacuations of each that answers, until this
/// entry can serve or all were asked.
async fn load_from_seeds(shared: &Shared, feeds: &Feeds) {
    let own = shared.settings.listen.peers;
    let seeds = shared.settings.seeds.iter().filter(|seed| **seed != own);
    for seed in seeds {
        if shared.phase() != Phase::Starting {
            return;
        }
        let answer = peer_heartbeat(shared, feeds, *seed, STARTUP_TIMEOUT).await;
        if !matches!(answer, Err(FeedError::Unavailable(_))) {
            load_from_peer(shared, feeds, *seed).await;
        }
    }
}

/// Records the answer of the store to a revision poll. After an error the store is in
/// backoff; it counts as lost if no peer can be the upstream instead.
fn handle_store_poll(
    shared: &Shared,
    members: &Members,
    answer: Result<Revision, FeedError>,
) -> PollOutcome {
    let now = shared.now();
    match answer {
        Ok(revision) => {
            lock(&shared.upstream_selector).store_answered(now);
            mark_answered(shared, revision, now);
            PollOutcome::Answered
        }
        Err(error) => {
            lock(&shared.upstream_selector).store_failed(now + check_delay(shared));
            if choose_upstream(shared, members) != Upstream::Store {
                info!(shared.runtime.log, "watch: the store does not answer"; "why" => %error);
                return PollOutcome::TryNext;
            }
            mark_lost(shared, &error, now);
            PollOutcome::StoreLost
        }
    }
}

/// Records the answer of `peer` to a heartbeat: a revision, a redirect, the loss of the store
/// or a failure. The store counts as lost only if this entry serves and no better upstream is
/// found than a peer that has lost it.
fn handle_heartbeat(
    shared: &Shared,
    members: &Members,
    peer: SocketAddr,
    answer: Result<Revision, FeedError>,
) -> PollOutcome {
    let now = shared.now();
    let starting = shared.phase() == Phase::Starting;
    match answer {
        Ok(revision) => {
            lock(&shared.upstream_selector).answered(peer);
            mark_answered(shared, revision, now);
            choose_upstream(shared, members);
            PollOutcome::Answered
        }
        Err(FeedError::Redirect(to)) => {
            let own = shared.settings.listen.peers;
            lock(&shared.upstream_selector).redirected(peer, to, own, now);
            PollOutcome::TryNext
        }
        Err(FeedError::StoreLost) if starting => {
            let age = now.since(Time::ZERO);
            lock(&shared.upstream_selector).not_ready(peer, age, now);
            PollOutcome::TryNext
        }
        Err(error @ FeedError::StoreLost) => {
            lock(&shared.upstream_selector).lost(peer, now);
            if choose_upstream(shared, members) != Upstream::Peer(peer) {
                return PollOutcome::TryNext;
            }
            mark_lost(shared, &error, now);
            PollOutcome::StoreLost
        }
        Err(error) => {
            info!(shared.runtime.log, "watch: a peer does not relay the store";
                "peer" => %peer, "why" => %error);
            shared.failed(peer);
            PollOutcome::TryNext
        }
    }
}

/// Records that the store is lost from `now` on, until a poll is answered. Logs `error` the
/// first time.
fn mark_lost(shared: &Shared, error: &FeedError, now: Time) {
    let mut new = false;
    shared
        .store_status
        .send_modify(|status| new = status.record_failure(now));
    if new {
        warn!(shared.runtime.log, "watch: lost the store"; "why" => %error);
    }
}

/// Polls the store to check whether this entry has lost it as its peers have, and makes
/// it the upstream if it has a newer revision. Returns when to poll it again,
/// [`Time::MAX`] if that is not needed.
///
/// Without a newer revision the entry waits for its peers: if all entries moved to a
/// store that just came back, each would list and watch it for seconds beside the
/// watchers.
async fn check_store(shared: &Shared, feeds: &Feeds) -> Time {
    shared.metrics.count_store_call("pulse");
    let answer = feeds.book.poll_revision().await;
    info!(shared.runtime.log, "watch: asked the store, which the peers have lost";
        "answers" => answer.is_ok());
    let now = shared.now();
    match answer {
        Ok(revision) if revision > shared.store_status.borrow().revision() => {
            lock(&shared.upstream_selector).store_reachable_again(now);
            Time::MAX
        }
        Ok(_) => now + POLL_INTERVAL,
        Err(_) => now + check_delay(shared),
    }
}

/// Chooses and returns the upstream to poll, and publishes it to the feed watches if it is the
/// store or the peer that answered last; otherwise it publishes that there is none.
///
/// An entry in search of an upstream polls several in turn: seeds that start with it,
/// or watchers that have all lost the store. If each were published, calls would be
/// cancelled and repeated on the next one with no gain.
fn choose_upstream(shared: &Shared, members: &Members) -> Upstream {
    let (upstream, cause) = members.choose_upstream(shared);
    let followed = match upstream {
        Upstream::Peer(peer) if !lock(&shared.upstream_selector).is_current(peer) => None,
        upstream => Some(upstream),
    };
    let new = shared.upstream.send_if_modified(|now| {
        let new = *now != followed;
        *now = followed;
        new
    });
    if new && followed.is_some() {
        shared.metrics.count_upstream_move(cause);
        info!(shared.runtime.log, "watch: hears from {upstream}"; "why" => %cause);
    }
    upstream
}

/// Records that the store answered with `revision`, to this entry or to its upstream. If it
/// had been lost or was restored, the timeouts of missing leafs start again.
fn mark_answered(shared: &Shared, revision: Revision, now: Time) {
    let known = shared.store_status.borrow().revision();
    let mut news = PollNews::default();
    shared
        .store_status
        .send_modify(|status| news = status.record_answer(revision, now));
    if let Some(span) = news.outage {
        info!(shared.runtime.log, "watch: the store is back"; "lost_ms" => span.as_millis() as u64);
    }
    if news.restored {
        report_restore(shared, known);
    }
    if news.outage.is_some() || news.restored {
        lock(&shared.cell.state).extra.leafs.restart_timeouts(now);
    }
    shared.metrics.set_epoch(shared.epoch());
}

/// Waits for three quarters of `span` up to all of it, chosen at random, or until the upstream
/// has to be chosen again.
async fn wait_interval(shared: &Shared, span: Duration) {
    // Jitter of a quarter, so that entries that started together don't poll together.
    tokio::select! {
        () = sleep(span.mul_f64(0.75 + 0.25 * random_fraction(shared))) => {}
        () = shared.upstream_changed.notified() => {}
    }
}

/// Returns the random delay until an entry whose peers have just lost the store polls it; its
/// limit grows with the number of members, within bounds.
fn first_check_delay(shared: &Shared, members: &Members) -> Duration {
    let each = FIRST_CHECK_PER_MEMBER * u32::try_from(members.count()).unwrap_or(u32::MAX);
    FIRST_CHECK_MAX
        .max(each.min(CHECK_INTERVAL_MIN))
        .mul_f64(random_fraction(shared))
}

/// Returns a random interval until the store is polled again, from [`CHECK_INTERVAL_MIN`] to
/// twice that.
fn check_delay(shared: &Shared) -> Duration {
    CHECK_INTERVAL_MIN.mul_f64(1.0 + random_fraction(shared))
}

/// Returns a random number from 0 to 1.
fn random_fraction(shared: &Shared) -> f64 {
    shared.runtime.rng().next_u64() as f64 / u64::MAX as f64
}
