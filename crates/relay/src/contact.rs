//! Probes by which a home of organisations knows which part of the members it grants for.
//!
//! A partition leaves a home on one side and, on the other, entries that go on with what they
//! were granted, until they choose a home of their own. Both sides together stay within a limit
//! only if each home grants for no more than the members that take it for the home, and the
//! failure detector finds many lost members one by one. While an organisation asks for most of
//! its limit here, some members of each failure domain are asked whom they take for the home.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chestnut_route::{Ask, TokenReply};
use chestnut_unit::{DomainName, OrgName};
use futures::future::join_all;
use slog::info;
use tokio::time::{sleep, timeout};

use crate::{feeds::PeerFeeds, shared::Shared};

/// Time between two probes of each failure domain.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for an answer. A weak entry under load answers late, and is there.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Further members of a failure domain that are probed at once if one does not name this entry.
const FURTHER_PROBES: usize = 3;

/// A member to probe.
type Target = (DomainName, SocketAddr);

/// Probes members for as long as the entry runs, whenever an organisation is pressed here.
pub(crate) async fn run(shared: Arc<Shared>, peers: Arc<dyn PeerFeeds>) {
    let mut is_whole = true;
    loop {
        sleep(PROBE_INTERVAL).await;
        let now = shared.now();
        let Some(org) = shared.limits.pressed(now) else {
            continue;
        };
        let first = shared.limits.probe_targets(1, &mut shared.runtime.rng());
        let lost = probe(&shared, &*peers, &org, first).await;
        if !lost.is_empty() {
            let further = shared
                .limits
                .probe_targets(FURTHER_PROBES, &mut shared.runtime.rng());
            let further = further.into_iter();
            let further = further.filter(|(domain, _)| lost.contains(domain));
            probe(&shared, &*peers, &org, further.collect()).await;
        }
        let fraction = shared.limits.reached(shared.now());
        if is_whole != (fraction >= 1.0) {
            is_whole = fraction >= 1.0;
            info!(shared.runtime.log, "limit: the part of the members that follows has changed";
                "part" => fraction);
        }
    }
}

/// Probes these members together, records who names this entry as the home, and returns the failure
/// domains of those that did not.
async fn probe(
    shared: &Shared,
    peers: &dyn PeerFeeds,
    org: &OrgName,
    targets: Vec<Target>,
) -> Vec<DomainName> {
    let probes = targets.into_iter().map(async |(domain, to)| {
        let answer = timeout(PROBE_TIMEOUT, peers.tokens(to, org, Ask::PROBE)).await;
        let own = shared.settings.listen.peers;
        let follows = matches!(answer, Ok(Ok(TokenReply::Elsewhere(home))) if home == own);
        shared.limits.probed(&domain, follows, shared.now());
        (!follows).then_some(domain)
    });
    join_all(probes).await.into_iter().flatten().collect()
}
