//! Discovery of other entries through seeds and through adverts in the store.

use std::{sync::Arc, time::Duration};

use chestnut_fleet::Addresses;
use chestnut_port::{FeedError, Freshness};
use chestnut_unit::{DomainName, MemberId};
use futures::future::BoxFuture;
use slog::{info, warn};
use tokio::time::sleep;

use crate::{
    Upstream,
    members::{Members, addresses, update_quota, wait_until_serving},
    shared::Shared,
};

/// The record that an entry publishes in the store for other entries: its member name,
/// failure domain and addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advert {
    /// The entry's member name.
    pub member: MemberId,
    /// The entry's failure domain.
    pub domain: DomainName,
    /// The addresses that the entry listens on.
    pub addresses: Addresses,
}

/// The port to the adverts in the store.
pub trait Adverts: std::marker::Send + Sync {
    /// Reads all adverts, as fresh as `freshness` asks.
    fn list(&self, freshness: Freshness) -> BoxFuture<'_, Result<Vec<Advert>, FeedError>>;

    /// Writes the advert of this entry, replacing any earlier one.
    fn publish(&self, advert: Advert) -> BoxFuture<'_, Result<(), FeedError>>;

    /// Removes the advert of an entry that has left the membership.
    fn remove(&self, member: MemberId) -> BoxFuture<'_, Result<(), FeedError>>;
}

/// Time that the seeds have to answer join requests before adverts are read.
const SEED_WAIT: Duration = Duration::from_millis(100);
/// Interval between rounds of discovery while this entry knows no other, or watches the
/// store and its advert is not written.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// Interval between rounds of discovery otherwise. Gossip propagates membership; adverts only
/// rejoin partitioned groups, so a stale read, which is cheap for the store, is enough.
const READ_INTERVAL: Duration = Duration::from_secs(20);
/// Discovers other members for as long as the entry runs, including those that gossip
/// lost.
///
/// It starts once the entry serves. Each round asks the seeds to join, which needs no call to
/// the store; the adverts are read by entries that watch the store or know no other. Entries
/// that watch the store publish adverts there, for entries that can reach no seed and know
/// no member, and remove those of members that are gone.
pub(crate) async fn discover(
    shared: Arc<Shared>,
    members: Arc<Members>,
    adverts: Arc<dyn Adverts>,
) {
    if !wait_until_serving(&shared).await {
        return;
    }
    let settings = &shared.settings;
    let own = Advert {
        member: settings.entry.member.clone(),
        domain: settings.entry.domain.clone(),
        addresses: addresses(settings),
    };
    let mut published = false;
    let mut epoch = shared.epoch();
    loop {
        if shared.epoch() > epoch {
            // The restored store may lack the advert.
            (epoch, published) = (shared.epoch(), false);
        }
        members.send_join_requests(&shared).await;
        sleep(SEED_WAIT).await;
        let alone = members.count() <= 1;
        let watches = *shared.upstream.borrow() == Some(Upstream::Store);
        if alone || watches {
            shared.metrics.count_store_call("adverts");
            match adverts.list(Freshness::Stale).await {
                Ok(list) => {
                    members.add_advertised(&shared, &list);
                    update_quota(&shared, &members);
                    published |= list.contains(&own);
                    if published {
                        remove_gone(&shared, &members, &list, &*adverts).await;
                    }
                }
                Err(error) => {
                    warn!(shared.runtime.log, "fleet: can't read the adverts"; "why" => %error);
                }
            }
        }
        if watches && !published {
            published = publish(&shared, &own, &*adverts).await;
        }
        let settled = members.count() > 1 && (published || !watches);
        let interval = match settled {
            true => READ_INTERVAL,
            false => RETRY_INTERVAL,
        };
        tokio::select! {
            () = sleep(interval) => {}
            () = shared.wait_for_restore(epoch), if watches => sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Writes this entry's advert; returns whether that succeeded. A failure is logged.
async fn publish(shared: &Shared, own: &Advert, adverts: &dyn Adverts) -> bool {
    shared.metrics.count_store_call("publish");
    match adverts.publish(own.clone()).await {
        Ok(()) => true,
        Err(error) => {
            warn!(shared.runtime.log, "fleet: can't publish the advert"; "why" => %error);
            false
        }
    }
}

/// Removes the adverts in `list` of members that are gone, if this entry is the one to do so
/// ([`Members::gone_members`]). Stops at the first failure.
async fn remove_gone(shared: &Shared, members: &Members, list: &[Advert], adverts: &dyn Adverts) {
    let gone = members.gone_members(shared, list);
    for member in gone {
        info!(
            shared.runtime.log,
            "fleet: removing the advert of {member}, which is gone"
        );
        if let Err(error) = adverts.remove(member).await {
            warn!(shared.runtime.log, "fleet: can't remove an advert"; "why" => %error);
            return;
        }
    }
}
