//! Follows the book and the leafs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chestnut_flow::lock;
use chestnut_port::{Batch, Feed, FeedError, Freshness};
use chestnut_unit::{DomainName, Time};
use slog::{debug, info, warn};
use tokio::time::{sleep, sleep_until};

use crate::{
    Upstream,
    follow::{Follower, Next},
    pulse::Pulse,
    shared::Shared,
    sources::{EVACUATIONS, LEAFS, Sources},
    take::{Lack, lacks, lapses, pass_evacuations, pass_leafs, take_book},
};

/// The book, as the metrics and the log call it.
const BOOK: &str = "book";
/// How long one watch waits for a change. Each call is paid for, so as long as
/// stores let it wait; a watch that is lost is found by the pulse and not by
/// its end.
const WATCH: Duration = Duration::from_secs(25);
/// Rest after a peer failed, in which another upstream is chosen.
const PEER_REST: Duration = Duration::from_millis(20);
/// Rest after a peer said that it can't pass on the store now.
const WORD_REST: Duration = Duration::from_millis(50);
/// Rest after an answer that is older than what is known, from a peer that has
/// heard less.
const OLD_REST: Duration = Duration::from_millis(100);
/// How long a call for the book goes on once the entry hears from elsewhere. A book of a
/// megabyte is read within it at 14 Mbit/s; a call that only waits would bring a whole
/// book with the next change that the new upstream passes on in a few hundred bytes.
const LINGER: Duration = Duration::from_secs(1);
/// Pause between an answer of a watch and the next one. Changes mostly come
/// several at a time, and each call is paid for; a leaf that leaves serves for
/// some seconds more, so a third of a second is in time.
const GATHER: Duration = Duration::from_millis(350);
/// The longest pause, while changes come in series: it doubles with each answer that
/// came at once. A watch that is lost is noticed later than that, within which all that
/// follows is reckoned.
const GATHER_MAX: Duration = Duration::from_millis(1000);
/// A watch that waited for so long ends a series.
const CALM: Duration = Duration::from_secs(1);

/// What a change of upstream does to a call that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Calls {
    /// It is given up: the news of one that is no upstream any more may be old.
    GivenUp,
    /// It goes on for [`LINGER`] unless its source has fallen silent: a book is newer than
    /// the own one or is passed over, from wherever it comes, and may have been read in
    /// part.
    GoOn,
}

/// Follows the book in the store for as long as the entry runs, while the entry watches
/// the store. What other entries have comes by [`crate::pull`].
pub(crate) async fn book(shared: Arc<Shared>, sources: Arc<Sources>) {
    let feed = |from| (from == Upstream::Store).then(|| sources.book.clone());
    let take = |batch, _| take_book(&shared, batch);
    follow(&shared, feed, Calls::GoOn, BOOK, take).await;
}

/// Takes all leafs that the entry at `from` has heard of. An entry that starts while the
/// store is lost serves by them, and by the book of which that entry tells.
pub(crate) async fn adopt(shared: &Shared, sources: &Sources, from: SocketAddr) {
    let (leafs, evacuations) = (sources.peers.leafs(from), sources.peers.evacuations(from));
    let lists = tokio::join!(
        leafs.list(Freshness::Stale),
        evacuations.list(Freshness::Stale)
    );
    let (Ok(leafs), Ok(evacuations)) = lists else {
        return;
    };
    if lock(&shared.passed.evacuations).is_behind(&evacuations) {
        pass_evacuations(shared, evacuations, true);
    }
    // The store may have answered meanwhile. An older list beside its watch would
    // leave leafs missing for good of which the watch has nothing more to tell.
    if lock(&shared.passed.leafs).is_behind(&leafs) {
        info!(shared.host.log, "watch: takes what {from} has heard"; "revision" => leafs.revision);
        pass_leafs(shared, leafs, true);
    }
}

/// Follows the leafs for as long as the entry runs.
pub(crate) async fn leafs(shared: Arc<Shared>, sources: Arc<Sources>) {
    let take = |batch, whole| pass_leafs(&shared, batch, whole);
    let feed = |from| Some(sources.leafs(from));
    let follow = follow(&shared, feed, Calls::GivenUp, LEAFS, take);
    tokio::join!(follow, lapses(&shared));
}

/// Follows which failure domains are evacuated, for as long as the entry runs.
pub(crate) async fn evacuations(shared: Arc<Shared>, sources: Arc<Sources>) {
    let take = |batch, whole| pass_evacuations(&shared, batch, whole);
    let feed = |from| Some(sources.evacuations(from));
    let follow = follow(&shared, feed, Calls::GivenUp, EVACUATIONS, take);
    tokio::join!(follow, ask_store(&shared, &*sources.evacuations));
}

/// Asks the store which domains are evacuated while no peer tells. One of an earlier
/// version never does, and the entry would not serve until it is replaced.
async fn ask_store(shared: &Shared, evacuations: &dyn Feed<DomainName>) {
    /// Time that a peer has to tell, once the entry knows the book and the leafs.
    const PATIENCE: Duration = Duration::from_secs(1);
    loop {
        sleep(PATIENCE).await;
        match lacks(shared) {
            Lack::Nothing => return,
            Lack::More => continue,
            Lack::Evacuations => shared.metrics.count_store(EVACUATIONS),
        }
        match evacuations.list(Freshness::Now).await {
            Ok(batch) if lock(&shared.passed.evacuations).is_behind(&batch) => {
                pass_evacuations(shared, batch, true);
            }
            Ok(_) => {}
            Err(error) => {
                warn!(shared.host.log, "watch: can't read which domains are evacuated"; "why" => %error);
            }
        }
    }
}

async fn follow<T>(
    shared: &Shared,
    feed: impl Fn(Upstream) -> Option<Arc<dyn Feed<T>>>,
    calls: Calls,
    what: &'static str,
    take: impl Fn(Batch<T>, bool),
) {
    let mut follower = Follower::default();
    let mut gather = GATHER;
    loop {
        store_there(shared).await;
        let Some(upstream) = upstream(shared).await else {
            return;
        };
        let next = follower.next();
        let Some(source) = feed(upstream) else {
            replaced(shared, upstream).await;
            continue;
        };
        if what == EVACUATIONS && follower.known() > 0 && is_passing(shared, upstream).await {
            continue;
        }
        if upstream == Upstream::Store {
            shared.metrics.count_store(what);
        }
        let begun = shared.now();
        let answer = answer(shared, &*source, &mut follower, upstream, calls).await;
        tell_reading(shared, what, upstream, begun, answer.as_ref());
        let Some(answer) = answer else {
            continue;
        };
        match (answer, upstream) {
            (Ok(batch), _) if follower.is_old(batch.revision) => sleep(OLD_REST).await,
            (Ok(batch), _) => {
                follower.answered(batch.revision);
                let changed = !batch.items.is_empty();
                take(batch, next == Next::List);
                shared.passed.told.send_modify(|told| *told += 1);
                if changed && next != Next::List && upstream == Upstream::Store {
                    gather = match shared.now().since(begun) < CALM {
                        true => (gather * 2).min(GATHER_MAX),
                        false => GATHER,
                    };
                    sleep(gather).await;
                }
            }
            (Err(error @ FeedError::HistoryGone), _) => {
                follower.failed(&error, &mut shared.host.rng());
            }
            (Err(FeedError::Lost | FeedError::Elsewhere(_)), Upstream::Peer(_)) => {
                // The pulse tells what became of the peer, and whom to follow.
                shared.choose.notify_one();
                sleep(WORD_REST).await;
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

/// Whether this entry turns to the store for a moment only, as it does while it looks for
/// peers that have not lost it. What changes seldom need not be read anew then.
async fn is_passing(shared: &Shared, upstream: Upstream) -> bool {
    /// Time after which it is taken to stay.
    const STAYS: Duration = Duration::from_millis(250);
    if upstream != Upstream::Store {
        return false;
    }
    sleep(STAYS).await;
    *shared.upstream.borrow() != Some(upstream)
}

/// Counts a reading and logs one that ended without its answer: what it had read
/// is lost, and the next one begins anew.
fn tell_reading<T>(
    shared: &Shared,
    what: &'static str,
    from: Upstream,
    begun: Time,
    answer: Option<&Result<Batch<T>, FeedError>>,
) {
    let kind = match answer {
        Some(Ok(batch)) if batch.items.is_empty() => "nothing new",
        Some(Ok(_)) => "taken",
        Some(Err(FeedError::Lost | FeedError::Elsewhere(_))) => "held back",
        Some(Err(_)) => "failed",
        None => "given up",
    };
    shared.metrics.count_reading(kind);
    if answer.is_none() {
        debug!(shared.host.log, "watch: gave up a call for the {what}"; "from" => %from,
            "after_ms" => shared.now().since(begun).as_millis() as u64);
    }
}

/// The answer to the follower's next call; `None` if the store is lost or the
/// upstream is another now.
async fn answer<T>(
    shared: &Shared,
    feed: &dyn Feed<T>,
    follower: &mut Follower,
    upstream: Upstream,
    calls: Calls,
) -> Option<Result<Batch<T>, FeedError>> {
    let revision = match follower.next() {
        Next::List => {
            return tokio::select! {
                biased;
                answer = feed.list(Freshness::Now) => Some(answer),
                () = moved(shared, upstream, calls) => None,
            };
        }
        Next::Watch(revision) => revision,
    };
    let mut asked = shared.now();
    let mut watch = feed.watch(revision, WATCH);
    loop {
        tokio::select! {
            biased;
            answer = &mut watch => return Some(answer),
            () = moved(shared, upstream, calls) => return None,
            () = overdue(shared, follower.known(), asked) => {}
        }
        if *shared.upstream.borrow() != Some(upstream) {
            return None;
        }
        if upstream == Upstream::Store {
            shared.metrics.count_store("check");
        }
        match feed.check(follower.known()).await {
            // Nothing of this kind has changed: the watch may be sound.
            Ok(batch) if batch.items.is_empty() => {
                follower.answered(batch.revision.max(follower.known()));
                asked = shared.now();
            }
            answer => {
                info!(shared.host.log, "watch: a change was not told"; "revision" => revision);
                return Some(answer);
            }
        }
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

/// The upstream, once there is one; `None` if the entry ends.
async fn upstream(shared: &Shared) -> Option<Upstream> {
    let mut upstreams = shared.upstream.subscribe();
    let upstream = upstreams.wait_for(Option::is_some).await;
    upstream.ok().and_then(|upstream| *upstream)
}

/// Waits until the upstream is another.
async fn replaced(shared: &Shared, from: Upstream) {
    let mut upstreams = shared.upstream.subscribe();
    // An error means that the entry ends.
    let _ = upstreams.wait_for(|upstream| *upstream != Some(from)).await;
}

/// Waits until a call to `from` is to be given up.
async fn moved(shared: &Shared, from: Upstream, calls: Calls) {
    let mut pulses = shared.pulse.subscribe();
    let over = async {
        replaced(shared, from).await;
        if calls == Calls::GoOn && !lock(&shared.upstreams).is_deaf() {
            sleep(LINGER).await;
        }
    };
    tokio::select! {
        () = over => {}
        // An error means that the entry ends.
        _ = pulses.wait_for(Pulse::is_lost) => {}
    }
}

/// Waits until a watch that was asked at `asked`, and has told all up to `told`,
/// is to be checked.
async fn overdue(shared: &Shared, told: u64, asked: Time) {
    let mut pulses = shared.pulse.subscribe();
    loop {
        let until = pulses.borrow_and_update().overdue(told, asked);
        if until.is_some_and(|until| until <= shared.now()) {
            return;
        }
        let wake = shared.host.clock.instant(until.unwrap_or(Time::MAX));
        tokio::select! {
            // An error means that the entry ends.
            _ = pulses.changed() => {}
            () = sleep_until(wake) => {}
        }
    }
}
