//! What entries leave in the store to find each other.

use std::{sync::Arc, time::Duration};

use chestnut_fleet::Addresses;
use chestnut_port::{FeedError, Freshness};
use chestnut_unit::{DomainName, MemberId};
use futures::future::BoxFuture;
use slog::{info, warn};
use tokio::time::sleep;

use crate::{
    Upstream,
    members::{Members, addresses, serves, share},
    shared::Shared,
};

/// What an entry leaves in the store so that others find it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advert {
    /// Its name.
    pub member: MemberId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it listens.
    pub addresses: Addresses,
}

/// The port to the adverts.
pub trait Adverts: std::marker::Send + Sync {
    /// Reads all adverts.
    fn list(&self, freshness: Freshness) -> BoxFuture<'_, Result<Vec<Advert>, FeedError>>;

    /// Writes the advert of this entry, whatever stood there before.
    fn publish(&self, advert: Advert) -> BoxFuture<'_, Result<(), FeedError>>;

    /// Removes the advert of an entry that is gone.
    fn remove(&self, member: MemberId) -> BoxFuture<'_, Result<(), FeedError>>;
}

/// Wait for the answers of the seeds.
const ANSWER: Duration = Duration::from_millis(100);
/// Rest while this entry knows nobody, or its advert is not written.
const REST: Duration = Duration::from_millis(700);
/// Time between two readings of all adverts. Probes spread the news of members;
/// the adverts only join groups that lost each other, so a stale copy, which
/// costs the store little, is enough.
const AGAIN: Duration = Duration::from_secs(20);
/// Finds the members, and keeps finding those that the probes lost.
///
/// Seeds are asked first, as they cost nothing. The adverts in the store are
/// for entries whose seeds are all gone: those that watch the store keep theirs
/// there, and whoever knows nobody reads them.
pub(crate) async fn find(shared: Arc<Shared>, members: Arc<Members>, adverts: Arc<dyn Adverts>) {
    if !serves(&shared).await {
        return;
    }
    let settings = &shared.settings;
    let own = Advert {
        member: settings.entry.member.clone(),
        domain: settings.entry.domain.clone(),
        addresses: addresses(settings),
    };
    let mut published = false;
    loop {
        members.knock(&shared).await;
        sleep(ANSWER).await;
        let alone = members.count() <= 1;
        let watches = *shared.upstream.borrow() == Some(Upstream::Store);
        if alone || watches {
            shared.metrics.count_store("adverts");
            match adverts.list(Freshness::Stale).await {
                Ok(list) => {
                    members.introduce(&shared, &list);
                    share(&shared, &members);
                    published |= list.contains(&own);
                    if published {
                        sweep(&shared, &members, &list, &*adverts).await;
                    }
                }
                Err(error) => {
                    warn!(shared.host.log, "fleet: can't read the adverts"; "why" => %error);
                }
            }
        }
        if watches && !published {
            published = publish(&shared, &own, &*adverts).await;
        }
        let settled = members.count() > 1 && (published || !watches);
        sleep(if settled { AGAIN } else { REST }).await;
    }
}

async fn publish(shared: &Shared, own: &Advert, adverts: &dyn Adverts) -> bool {
    shared.metrics.count_store("publish");
    match adverts.publish(own.clone()).await {
        Ok(()) => true,
        Err(error) => {
            warn!(shared.host.log, "fleet: can't publish the advert"; "why" => %error);
            false
        }
    }
}

/// Removes the adverts of members that are gone.
async fn sweep(shared: &Shared, members: &Members, list: &[Advert], adverts: &dyn Adverts) {
    let gone = members.gone_of(shared, list);
    for member in gone {
        info!(
            shared.host.log,
            "fleet: removing the advert of {member}, which is gone"
        );
        if let Err(error) = adverts.remove(member).await {
            warn!(shared.host.log, "fleet: can't remove an advert"; "why" => %error);
            return;
        }
    }
}
