//! Watches the feeds of the route book, the leafs and the evacuated failure domains at
//! the current upstream.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chestnut_flow::lock;
use chestnut_port::{Batch, Feed, FeedError, Freshness};
use chestnut_unit::{DomainName, Revision, Time};
use slog::{debug, info, warn};
use tokio::time::{sleep, sleep_until};

use crate::{
    Upstream,
    apply::{Readiness, apply_books, expire, readiness, update_evacuations, update_leafs},
    feeds::{EVACUATIONS, Feeds, LEAFS},
    list_watch::{ListWatch, NextCall},
    shared::Shared,
    store_status::StoreStatus,
};

/// Name of the route book in metrics and logs.
const BOOK: &str = "book";
/// Longest time that a watch call waits for a change. It is as long as stores allow, since
/// each call costs money; a lost watch is detected earlier, by the revision polls.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// Backoff after a peer failed, in which another upstream is chosen.
const PEER_BACKOFF: Duration = Duration::from_millis(20);
/// Backoff after a peer answered that it can't relay the store now.
const LOST_BACKOFF: Duration = Duration::from_millis(50);
/// Backoff after an answer older than what is known, from a peer that is behind.
const STALE_BACKOFF: Duration = Duration::from_millis(100);
/// How long a call for the book goes on after the upstream changed: enough for a large book on
/// a slow link. The limit ends calls that only wait for the next change. A book of a megabyte
/// is read within it at 14 Mbit/s.
const CALL_GRACE: Duration = Duration::from_secs(1);
/// Delay between an answer of the store with changes and the next watch, which batches
/// changes. It is short against the time that a draining leaf still serves.
const BATCH_DELAY: Duration = Duration::from_millis(350);
/// Longest such delay in a burst of changes: it doubles with each answer that comes within
/// [`BURST_GAP`]. It also delays the detection of a lost watch.
const BATCH_DELAY_MAX: Duration = Duration::from_millis(1000);
/// A watch that waited for this long ends a burst.
const BURST_GAP: Duration = Duration::from_secs(1);

/// What happens to a call under way when the upstream changes: cancelled, or finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPolicy {
    /// It is cancelled, as answers of the former upstream may be stale.
    Cancel,
    /// It goes on for [`CALL_GRACE`], unless its source stopped answering: a book is
    /// ordered by its version wherever it comes from, and may have been read in part.
    Finish,
}

/// Watches the route book in the store for as long as the entry runs and the store is
/// its upstream. Books of other entries are fetched by [`crate::book_fetch`].
pub(crate) async fn book(shared: Arc<Shared>, feeds: Arc<Feeds>) {
    let feed = |from| (from == Upstream::Store).then(|| feeds.book.clone());
    let apply = |batch, _| apply_books(&shared, batch);
    watch_feed(&shared, feed, CallPolicy::Finish, BOOK, apply).await;
}

/// Loads the leafs and evacuations that the entry at `from` knows, and applies those that are
/// newer than the own ones; neither if one can't be read. An entry that starts while the
/// store is lost serves by them, and by that entry's book.
pub(crate) async fn load_from_peer(shared: &Shared, feeds: &Feeds, from: SocketAddr) {
    let (leafs, evacuations) = (feeds.peers.leafs(from), feeds.peers.evacuations(from));
    let lists = tokio::join!(
        leafs.list(Freshness::Stale),
        evacuations.list(Freshness::Stale)
    );
    let (Ok(leafs), Ok(evacuations)) = lists else {
        return;
    };
    let lists = (dated(shared, leafs), dated(shared, evacuations));
    let (Ok(leafs), Ok(evacuations)) = lists else {
        return;
    };
    if lock(&shared.feed_copies.evacuations).is_behind(&evacuations) {
        update_evacuations(shared, evacuations, true);
    }
    // The store may have answered meanwhile. An older list must not replace its newer one:
    // the watch goes on from the newer revision and would never report the leafs it lacks.
    if lock(&shared.feed_copies.leafs).is_behind(&leafs) {
        info!(shared.runtime.log, "watch: takes what {from} has heard"; "revision" => %leafs.revision);
        update_leafs(shared, leafs, true);
    }
}

/// Returns the answer of a peer with its epoch, the known one if the peer tells none.
///
/// # Errors
///
/// The peer runs an earlier version of the program, which does not notice that the store was
/// restored, and this entry did.
fn dated<T>(shared: &Shared, batch: Batch<T>) -> Result<Batch<T>, FeedError> {
    let revision = date(shared, batch.revision)?;
    Ok(Batch { revision, ..batch })
}

/// Returns the revision that a peer reported with its epoch; see [`dated`].
pub(crate) fn date(shared: &Shared, revision: Revision) -> Result<Revision, FeedError> {
    let dated = shared.store_status.borrow().dated(revision);
    dated.ok_or_else(|| {
        FeedError::Unavailable("the peer can't tell that the store was restored".to_owned())
    })
}

/// Watches the leafs at the current upstream for as long as the entry runs, and removes those
/// whose registration stays missing.
pub(crate) async fn leafs(shared: Arc<Shared>, feeds: Arc<Feeds>) {
    let apply = |batch, whole| update_leafs(&shared, batch, whole);
    let feed = |from| Some(feeds.leafs(from));
    let watch = watch_feed(&shared, feed, CallPolicy::Cancel, LEAFS, apply);
    tokio::join!(watch, expire(&shared));
}

/// Watches which failure domains are evacuated at the current upstream, for as long as the
/// entry runs. Lists them from the store if no peer reports them.
pub(crate) async fn evacuations(shared: Arc<Shared>, feeds: Arc<Feeds>) {
    let apply = |batch, whole| update_evacuations(&shared, batch, whole);
    let feed = |from| Some(feeds.evacuations(from));
    let watch = watch_feed(&shared, feed, CallPolicy::Cancel, EVACUATIONS, apply);
    tokio::join!(watch, list_evacuations(&shared, &*feeds.evacuations));
}

/// Lists the evacuated failure domains from the store until they are known, once the book and
/// the leafs are. The entry can't serve without that list, and a peer that runs an earlier
/// version of the program never sends it.
async fn list_evacuations(shared: &Shared, evacuations: &dyn Feed<DomainName>) {
    /// Time that a peer has to report them, once the entry has the book and the leafs.
    const PEER_TIMEOUT: Duration = Duration::from_secs(1);
    loop {
        sleep(PEER_TIMEOUT).await;
        match readiness(shared) {
            Readiness::Ready => return,
            Readiness::Incomplete => continue,
            Readiness::NeedsEvacuations => shared.metrics.count_store_call(EVACUATIONS),
        }
        match evacuations.list(Freshness::Now).await {
            Ok(batch) if lock(&shared.feed_copies.evacuations).is_behind(&batch) => {
                update_evacuations(shared, batch, true);
            }
            Ok(_) => {}
            Err(error) => {
                warn!(shared.runtime.log, "watch: can't read which domains are evacuated"; "why" => %error);
            }
        }
    }
}

/// Lists and watches one feed at the current upstream for as long as the entry runs. `feed`
/// returns its source at an upstream, or `None` to wait for another; `apply` gets each answer
/// that is not stale, and whether it is the whole list. `what` names the feed in logs and
/// metrics.
async fn watch_feed<T>(
    shared: &Shared,
    feed: impl Fn(Upstream) -> Option<Arc<dyn Feed<T>>>,
    policy: CallPolicy,
    what: &'static str,
    apply: impl Fn(Batch<T>, bool),
) {
    let mut list_watch = ListWatch::default();
    let mut batch_delay = BATCH_DELAY;
    let mut stale_logged = false;
    loop {
        wait_for_store(shared).await;
        let Some(upstream) = wait_for_upstream(shared).await else {
            return;
        };
        let next = list_watch.next_call();
        let Some(source) = feed(upstream) else {
            upstream_replaced(shared, upstream).await;
            continue;
        };
        if what == EVACUATIONS
            && list_watch.latest_revision() > Revision::default()
            && is_transient(shared, upstream).await
        {
            continue;
        }
        if upstream == Upstream::Store {
            shared.metrics.count_store_call(what);
        }
        let started = shared.now();
        let answer = next_answer(shared, &*source, &mut list_watch, upstream, policy).await;
        let answer = answer.map(|answer| match upstream {
            Upstream::Peer(_) => answer.and_then(|batch| dated(shared, batch)),
            Upstream::Store => answer,
        });
        let stale = is_stale(&list_watch, answer.as_ref());
        record_outcome(shared, what, upstream, started, answer.as_ref(), stale);
        let Some(answer) = answer else {
            continue;
        };
        if !stale {
            stale_logged = false;
        }
        match (answer, upstream) {
            (Ok(batch), _) if stale => {
                // A store or peer that stays behind is asked ten times a second.
                if !std::mem::replace(&mut stale_logged, true) {
                    warn!(shared.runtime.log, "watch: passed over an answer for the {what}, which is older than what is known";
                        "from" => %upstream, "revision" => %batch.revision,
                        "known" => %list_watch.latest_revision());
                }
                sleep(STALE_BACKOFF).await;
            }
            (Ok(batch), _) if list_watch.has_gap(batch.revision) => {
                info!(shared.runtime.log, "watch: lists the {what} again, as the store was restored";
                    "from" => %upstream, "revision" => %batch.revision,
                    "known" => %list_watch.latest_revision());
                list_watch.record_failure(&FeedError::HistoryGone, &mut shared.runtime.rng());
            }
            (Ok(batch), _) => {
                list_watch.record_answer(batch.revision);
                let changed = !batch.items.is_empty();
                apply(batch, next == NextCall::List);
                shared.feed_copies.updates.send_modify(|count| *count += 1);
                if changed && next != NextCall::List && upstream == Upstream::Store {
                    batch_delay = match shared.now().since(started) < BURST_GAP {
                        true => (batch_delay * 2).min(BATCH_DELAY_MAX),
                        false => BATCH_DELAY,
                    };
                    sleep(batch_delay).await;
                }
            }
            (Err(error @ FeedError::HistoryGone), _) => {
                list_watch.record_failure(&error, &mut shared.runtime.rng());
            }
            (Err(FeedError::StoreLost | FeedError::Redirect(_)), Upstream::Peer(_)) => {
                // The next heartbeat shows the outcome, and the upstream to use.
                shared.upstream_changed.notify_one();
                sleep(LOST_BACKOFF).await;
            }
            (Err(error), Upstream::Peer(peer)) => {
                info!(shared.runtime.log, "watch: a peer failed"; "what" => what,
                    "peer" => %peer, "why" => %error);
                shared.failed(peer);
                sleep(PEER_BACKOFF).await;
            }
            (Err(error), Upstream::Store) => {
                let backoff = list_watch.record_failure(&error, &mut shared.runtime.rng());
                warn!(shared.runtime.log, "watch: a call failed"; "what" => what,
                    "why" => %error, "rest_ms" => backoff.as_millis() as u64);
                sleep(backoff).await;
            }
        }
    }
}

/// Returns whether the store is the upstream but no longer is after a short wait, as in the
/// search for a peer that has not lost it. It spares the store calls for feeds that seldom
/// change. Returns at once if a peer is the upstream.
async fn is_transient(shared: &Shared, upstream: Upstream) -> bool {
    /// Time after which the upstream counts as settled.
    const SETTLE_TIME: Duration = Duration::from_millis(250);
    if upstream != Upstream::Store {
        return false;
    }
    sleep(SETTLE_TIME).await;
    *shared.upstream.borrow() != Some(upstream)
}

/// Returns whether an answer is older than what is known, and so must not be applied.
fn is_stale<T>(list_watch: &ListWatch, answer: Option<&Result<Batch<T>, FeedError>>) -> bool {
    matches!(answer, Some(Ok(batch)) if list_watch.is_stale(batch.revision))
}

/// Counts the outcome of a call in the metrics, and logs one that was cancelled (`answer` is
/// `None`): what it had read is lost, and the next call starts over.
fn record_outcome<T>(
    shared: &Shared,
    what: &'static str,
    from: Upstream,
    started: Time,
    answer: Option<&Result<Batch<T>, FeedError>>,
    stale: bool,
) {
    let kind = match answer {
        Some(Ok(_)) if stale => "stale",
        Some(Ok(batch)) if batch.items.is_empty() => "nothing new",
        Some(Ok(_)) => "taken",
        Some(Err(FeedError::StoreLost | FeedError::Redirect(_))) => "held back",
        Some(Err(_)) => "failed",
        None => "given up",
    };
    shared.metrics.count_feed_read(kind);
    if answer.is_none() {
        debug!(shared.runtime.log, "watch: gave up a call for the {what}"; "from" => %from,
            "after_ms" => shared.now().since(started).as_millis() as u64);
    }
}

/// Makes the next call of `list_watch` and returns its answer; `None` if it was cancelled as
/// the store is lost or the upstream has changed. A watch that misses a change known from the
/// polls is checked, and the answer of the check returned if it has the change.
async fn next_answer<T>(
    shared: &Shared,
    feed: &dyn Feed<T>,
    list_watch: &mut ListWatch,
    upstream: Upstream,
    policy: CallPolicy,
) -> Option<Result<Batch<T>, FeedError>> {
    let revision = match list_watch.next_call() {
        NextCall::List => {
            return tokio::select! {
                biased;
                answer = feed.list(Freshness::Now) => Some(answer),
                () = call_cancelled(shared, upstream, policy) => None,
            };
        }
        NextCall::Watch(revision) => revision,
    };
    let mut started = shared.now();
    let mut watch = feed.watch(revision, WATCH_TIMEOUT);
    loop {
        tokio::select! {
            biased;
            answer = &mut watch => return Some(answer),
            () = call_cancelled(shared, upstream, policy) => return None,
            () = check_due(shared, list_watch.latest_revision(), started) => {}
        }
        if *shared.upstream.borrow() != Some(upstream) {
            return None;
        }
        if upstream == Upstream::Store {
            shared.metrics.count_store_call("check");
        }
        match feed.poll(list_watch.latest_revision()).await {
            // Nothing of this kind has changed, so the watch may be healthy.
            Ok(batch) if batch.items.is_empty() && !list_watch.has_gap(batch.revision) => {
                list_watch.record_answer(batch.revision.max(list_watch.latest_revision()));
                started = shared.now();
            }
            answer => {
                info!(shared.runtime.log, "watch: a watch missed a change"; "revision" => %revision);
                return Some(answer);
            }
        }
    }
}

/// Waits until the store is not lost: calls to a lost store fail and still cost money.
async fn wait_for_store(shared: &Shared) {
    // An error means that the entry ends.
    let _ = shared
        .store_status
        .subscribe()
        .wait_for(|status| !status.is_lost())
        .await;
}

/// Waits for an upstream; `None` if the entry ends.
async fn wait_for_upstream(shared: &Shared) -> Option<Upstream> {
    let mut upstreams = shared.upstream.subscribe();
    let upstream = upstreams.wait_for(Option::is_some).await;
    upstream.ok().and_then(|upstream| *upstream)
}

/// Waits until the upstream is no longer `from`.
async fn upstream_replaced(shared: &Shared, from: Upstream) {
    let mut upstreams = shared.upstream.subscribe();
    // An error means that the entry ends.
    let _ = upstreams.wait_for(|upstream| *upstream != Some(from)).await;
}

/// Waits until a call to `from` is to be cancelled: the store is lost, or the upstream has
/// changed and the grace of `policy`, if any, is over.
async fn call_cancelled(shared: &Shared, from: Upstream, policy: CallPolicy) {
    let mut statuses = shared.store_status.subscribe();
    let over = async {
        upstream_replaced(shared, from).await;
        if policy == CallPolicy::Finish && !lock(&shared.upstream_selector).is_store_in_backoff() {
            sleep(CALL_GRACE).await;
        }
    };
    tokio::select! {
        () = over => {}
        // An error means that the entry ends.
        _ = statuses.wait_for(StoreStatus::is_lost) => {}
    }
}

/// Waits until a watch that was started or last checked at `started`, and has reported all
/// changes up to `reported`, is to be checked.
async fn check_due(shared: &Shared, reported: Revision, started: Time) {
    let mut statuses = shared.store_status.subscribe();
    loop {
        let until = statuses.borrow_and_update().check_due(reported, started);
        if until.is_some_and(|until| until <= shared.now()) {
            return;
        }
        let wake = shared.runtime.clock.instant(until.unwrap_or(Time::MAX));
        tokio::select! {
            // An error means that the entry ends.
            _ = statuses.changed() => {}
            () = sleep_until(wake) => {}
        }
    }
}
