//! Where the feeds come from now: the store, or an entry that watches it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chestnut_flow::lock;
use chestnut_port::FeedError;
use chestnut_unit::Time;
use rand::Rng;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::{
    Distance, Upstream,
    members::Members,
    shared::{Phase, Shared},
    sources::Sources,
    watch::adopt,
};

/// Time between two pulses. A store or peer that is lost is noticed within it,
/// well within the seconds in which changes are due.
const PULSE: Duration = Duration::from_secs(1);
/// First time between two pulses while the entry has no book or no leafs yet; it
/// doubles with each up to the longest. Callers are refused meanwhile, and each
/// call of each entry that waits for a lost store is paid for.
const PULSE_START: Duration = Duration::from_millis(40);
const PULSE_START_MAX: Duration = Duration::from_millis(320);

/// Rest before another peer is asked, so that entries which send each other
/// around are not asked without end.
const TRY_REST: Duration = Duration::from_millis(20);
/// Longest wait for a peer's pulse while this entry starts. A seed whose machine
/// has no power yet answers nothing at all, and the next one, or the store, may.
/// One in another region answers within 40 ms.
const START_WAIT: Duration = Duration::from_millis(45);
/// Time between two pulses of a peer that has lost the store. They cost the store
/// nothing, and what changed meanwhile is due soon after it is back.
const PULSE_LOST: Duration = Duration::from_millis(250);
/// Least time between two pulses of the store by an entry whose peers have all
/// lost it, or that has lost it itself and follows a peer which has it; the most
/// is twice as long. Should the store serve this entry only, it misses changes
/// for so long; entries by the thousand still ask the store a few hundred times
/// a second in all.
const CHECK_LEAST: Duration = Duration::from_secs(4);
/// Most time until the first such pulse after the peers have lost the store. A version
/// that it took in that moment, and that it serves to others than its watchers, is due
/// within seconds; a single pulse more of each entry costs little.
const CHECK_FIRST: Duration = Duration::from_millis(1500);
/// The same for each member, where they are many: of thousands a few hundred ask in a
/// second.
const CHECK_FIRST_EACH: Duration = Duration::from_millis(2);

/// What a pulse brought.
#[derive(Clone, Copy)]
enum Heard {
    /// The store or a peer answered.
    Revision,
    /// The store is lost.
    Lost,
    /// Another upstream may answer.
    TryNext,
}

/// Keeps choosing the upstream and asking for its pulse, for as long as the
/// entry runs.
pub(crate) async fn run(shared: Arc<Shared>, members: Arc<Members>, sources: Arc<Sources>) {
    let mut start = PULSE_START;
    let mut check = Time::MAX;
    let mut checked = false;
    loop {
        let upstream = choose(&shared, &members);
        shared.metrics.count_store(match upstream {
            Upstream::Store => "pulse",
            Upstream::Peer(_) => "pulse of a peer",
        });
        let answer = pulse(&shared, &sources, upstream).await;
        let heard = match upstream {
            Upstream::Store => hear_store(&shared, &members, answer),
            Upstream::Peer(peer) => hear_peer(&shared, &members, peer, answer),
        };
        match (heard, upstream) {
            (Heard::TryNext, _) => sleep(TRY_REST).await,
            (Heard::Lost, Upstream::Peer(_)) => {
                let now = shared.now();
                if check == Time::MAX {
                    let span = match checked {
                        true => check_span(&shared),
                        false => check_first(&shared, &members),
                    };
                    check = now + span;
                }
                if now >= check {
                    checked = true;
                    check = check_store(&shared, &sources).await;
                }
                rest(&shared, PULSE_LOST).await;
            }
            (Heard::Revision | Heard::Lost, _) => {
                check = Time::MAX;
                checked &= matches!(heard, Heard::Lost);
                let starting = shared.phase() == Phase::Starting;
                rest(&shared, if starting { start } else { PULSE }).await;
                start = (start * 2).min(PULSE_START_MAX);
            }
        }
    }
}

async fn pulse(shared: &Shared, sources: &Sources, upstream: Upstream) -> Result<u64, FeedError> {
    let starting = shared.phase() == Phase::Starting;
    match upstream {
        Upstream::Store if starting => {
            let mut pulse = sources.book.pulse();
            if let Ok(answer) = timeout(START_WAIT, &mut pulse).await {
                return answer;
            }
            tokio::select! {
                answer = &mut pulse => return answer,
                () = adopt_from_seeds(shared, sources) => {}
            }
            pulse.await
        }
        Upstream::Store => sources.book.pulse().await,
        Upstream::Peer(peer) if starting => {
            let answer = peer_pulse(shared, sources, peer, START_WAIT).await;
            if answer == Err(FeedError::Lost) {
                adopt(shared, sources, peer).await;
            }
            answer
        }
        Upstream::Peer(peer) => peer_pulse(shared, sources, peer, Duration::MAX).await,
    }
}

/// The pulse of a peer, which also tells the version of its book.
async fn peer_pulse(
    shared: &Shared,
    sources: &Sources,
    peer: SocketAddr,
    wait: Duration,
) -> Result<u64, FeedError> {
    let none = || Err(FeedError::Unavailable("no answer yet".to_owned()));
    let answer = timeout(wait, sources.peers.pulse(peer)).await;
    let pulse = answer.unwrap_or_else(|_| none())?;
    // The upstream is what this entry reads from anyway, near or far.
    shared.hear_version(peer, pulse.book, Distance::Near);
    pulse.store
}

/// Takes what a seed has heard that serves, while the store does not answer.
async fn adopt_from_seeds(shared: &Shared, sources: &Sources) {
    let own = shared.settings.listen.peers;
    let seeds = shared.settings.seeds.iter().filter(|seed| **seed != own);
    for seed in seeds {
        if shared.phase() != Phase::Starting {
            return;
        }
        let answer = peer_pulse(shared, sources, *seed, START_WAIT).await;
        if !matches!(answer, Err(FeedError::Unavailable(_))) {
            adopt(shared, sources, *seed).await;
        }
    }
}

fn hear_store(shared: &Shared, members: &Members, answer: Result<u64, FeedError>) -> Heard {
    let now = shared.now();
    match answer {
        Ok(revision) => {
            lock(&shared.upstreams).store_answered(now);
            answered(shared, revision, now);
            Heard::Revision
        }
        Err(error) => {
            lock(&shared.upstreams).store_failed(now + check_span(shared));
            if choose(shared, members) != Upstream::Store {
                info!(shared.host.log, "watch: the store does not answer"; "why" => %error);
                return Heard::TryNext;
            }
            lose(shared, &error, now);
            Heard::Lost
        }
    }
}

fn hear_peer(
    shared: &Shared,
    members: &Members,
    peer: SocketAddr,
    answer: Result<u64, FeedError>,
) -> Heard {
    let now = shared.now();
    let starting = shared.phase() == Phase::Starting;
    match answer {
        Ok(revision) => {
            lock(&shared.upstreams).answered(peer);
            answered(shared, revision, now);
            choose(shared, members);
            Heard::Revision
        }
        Err(FeedError::Elsewhere(to)) => {
            let own = shared.settings.listen.peers;
            lock(&shared.upstreams).redirected(peer, to, own, now);
            Heard::TryNext
        }
        Err(FeedError::Lost) if starting => {
            let age = now.since(Time::ZERO);
            lock(&shared.upstreams).not_ready(peer, age, now);
            Heard::TryNext
        }
        Err(error @ FeedError::Lost) => {
            lock(&shared.upstreams).lost(peer, now);
            if choose(shared, members) != Upstream::Peer(peer) {
                return Heard::TryNext;
            }
            lose(shared, &error, now);
            Heard::Lost
        }
        Err(error) => {
            info!(shared.host.log, "watch: a peer does not pass on the store";
                "peer" => %peer, "why" => %error);
            shared.failed(peer);
            Heard::TryNext
        }
    }
}

/// Takes it that the store is lost, until a pulse is answered.
fn lose(shared: &Shared, error: &FeedError, now: Time) {
    let mut new = false;
    shared.pulse.send_modify(|pulse| new = pulse.failed(now));
    if new {
        warn!(shared.host.log, "watch: lost the store"; "why" => %error);
    }
}

/// Asks the store itself whether it is lost to this entry as it is to its peers, and
/// turns to it if it has news. Returns when to ask again.
///
/// Without news the peers are waited for: of entries that asked as the store came back,
/// each read it whole and watched it for five seconds beside the watchers.
async fn check_store(shared: &Shared, sources: &Sources) -> Time {
    shared.metrics.count_store("pulse");
    let answer = sources.book.pulse().await;
    info!(shared.host.log, "watch: asked the store, which the peers have lost";
        "answers" => answer.is_ok());
    let now = shared.now();
    match answer {
        Ok(revision) if revision > shared.pulse.borrow().revision() => {
            lock(&shared.upstreams).store_answers(now);
            Time::MAX
        }
        Ok(_) => now + PULSE,
        Err(_) => now + check_span(shared),
    }
}

/// Chooses whom to ask. A peer is followed only once it has answered.
///
/// An entry that looks for one asks several in turn: seeds that start with it, or
/// watchers that have all lost the store. If each counted as followed, readings would
/// move along with no gain.
fn choose(shared: &Shared, members: &Members) -> Upstream {
    let (upstream, cause) = members.upstream(shared);
    let followed = match upstream {
        Upstream::Peer(peer) if !lock(&shared.upstreams).is_heard(peer) => None,
        upstream => Some(upstream),
    };
    let new = shared.upstream.send_if_modified(|now| {
        let new = *now != followed;
        *now = followed;
        new
    });
    if new && followed.is_some() {
        shared.metrics.count_move(cause);
        info!(shared.host.log, "watch: hears from {upstream}"; "why" => %cause);
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
async fn rest(shared: &Shared, span: Duration) {
    // From three quarters to the whole, so that entries that started together
    // don't ask together.
    tokio::select! {
        () = sleep(span.mul_f64(0.75 + 0.25 * draw(shared))) => {}
        () = shared.choose.notified() => {}
    }
}

/// Time until an entry asks the store whose peers have just lost it.
fn check_first(shared: &Shared, members: &Members) -> Duration {
    let each = CHECK_FIRST_EACH * u32::try_from(members.count()).unwrap_or(u32::MAX);
    CHECK_FIRST.max(each.min(CHECK_LEAST)).mul_f64(draw(shared))
}

fn check_span(shared: &Shared) -> Duration {
    CHECK_LEAST.mul_f64(1.0 + draw(shared))
}

/// A number from 0 to 1.
fn draw(shared: &Shared) -> f64 {
    shared.host.rng().next_u64() as f64 / u64::MAX as f64
}
