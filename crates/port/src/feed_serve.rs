//! Server of the feeds between entries.

use std::{
    rc::Rc,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use capnp::Error;
use chestnut_book::BookVersion;
use chestnut_route::{Ask, TokenReply};
use chestnut_unit::{NameError, Revision, lock};
use tokio::runtime::Handle;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    Batch, Content, EncodedBatch, FeedError, FeedService, Item,
    feed_capnp::{feeds, items, reply},
    feed_rpc::{Reply, rpc_error},
    pack::deflate,
    wire::{decode_epoch, encode_epoch},
};

/// Serves the calls of one connection by passing them to the entry's runtime.
pub(crate) struct Session {
    pub(crate) service: Arc<dyn FeedService>,
    pub(crate) cache: Arc<Mutex<PackedCache>>,
    pub(crate) runtime: Handle,
}

/// Caches the last batch in its packed form, so that sending the same batch to several
/// watching peers compresses it only once.
#[derive(Default)]
pub(crate) struct PackedCache {
    last: Option<(EncodedBatch, Bytes)>,
}

impl PackedCache {
    /// Returns the packed items of `batch`, from the cache if it equals the last batch;
    /// empty if there are none.
    fn pack(&mut self, batch: &EncodedBatch) -> Result<Bytes, Error> {
        if batch.items.is_empty() {
            return Ok(Bytes::new());
        }
        if let Some((cached, packed)) = &self.last
            && cached == batch
        {
            return Ok(packed.clone());
        }
        let packed = deflate(&encode(&batch.items)).map_err(rpc_error)?;
        self.last = Some((batch.clone(), packed.clone()));
        Ok(packed)
    }
}

/// Writes a reply, with the items compressed. Of the errors only
/// [`FeedError::HistoryGone`] and [`FeedError::Redirect`] are kept; others are sent as lost.
fn put_reply(
    reply: &Reply,
    cache: &Mutex<PackedCache>,
    mut to: reply::Builder<'_>,
) -> Result<(), Error> {
    let batch = match reply {
        Ok(batch) => batch,
        Err(FeedError::HistoryGone) => {
            to.set_history_gone(());
            return Ok(());
        }
        Err(FeedError::Redirect(peer)) => {
            to.set_elsewhere(peer.to_string().as_str());
            return Ok(());
        }
        Err(_) => {
            to.set_lost(());
            return Ok(());
        }
    };
    let packed = lock(cache).pack(batch)?;
    let mut out = to.init_batch();
    out.set_revision(batch.revision.number);
    out.set_epoch(encode_epoch(batch.revision.epoch));
    out.set_packed(&packed);
    Ok(())
}

/// Encodes items as an uncompressed message; malformed ones with an empty value.
fn encode(list: &[Item<Bytes>]) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    let root = message.init_root::<items::Builder<'_>>();
    let mut items = root.init_items(list.len() as u32);
    for (at, item) in (0u32..).zip(list) {
        let mut out = items.reborrow().get(at);
        out.set_name(item.name.as_str());
        out.set_deleted(item.content == Content::Deleted);
        if let Content::Value(value) = &item.content {
            out.set_value(value);
        }
    }
    capnp::serialize::write_message_to_words(&message)
}

impl feeds::Server for Session {
    /// Replies with the store's last known revision and the version of the route book.
    async fn pulse(
        self: Rc<Self>,
        _: feeds::PulseParams,
        mut results: feeds::PulseResults,
    ) -> Result<(), Error> {
        let revision = self.service.poll_revision();
        let items = Vec::new();
        let reply = revision.map(|revision| Batch { items, revision });
        let mut results = results.get();
        results.set_book(self.service.version().0);
        put_reply(&reply, &self.cache, results.init_reply())
    }

    /// Replies with a delta of the route book; any error fails the call.
    async fn book(
        self: Rc<Self>,
        params: feeds::BookParams,
        mut results: feeds::BookResults,
    ) -> Result<(), Error> {
        let have = BookVersion(params.get()?.get_have());
        let book = self.service.book_delta(have);
        let book = book.map_err(|error| Error::failed(error.to_string()))?;
        let mut results = results.get();
        results.set_version(book.version.0);
        results.set_delta(&book.delta);
        Ok(())
    }

    /// Replies with the tokens that the entry grants as the home of an organisation.
    async fn tokens(
        self: Rc<Self>,
        params: feeds::TokensParams,
        mut results: feeds::TokensResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let org = params.get_organisation()?.to_str()?.parse();
        let org = org.map_err(|error: NameError| Error::failed(error.to_string()))?;
        let mut results = results.get();
        let ask = Ask {
            want: params.get_want(),
            used: params.get_used(),
        };
        match self.service.tokens(&org, ask) {
            TokenReply::Granted(grant) => {
                results.set_is_home(true);
                results.set_granted(grant.tokens);
                results.set_after_ms(u32::try_from(grant.after.as_millis()).unwrap_or(u32::MAX));
            }
            TokenReply::Elsewhere(home) => results.set_elsewhere(home.to_string().as_str()),
            TokenReply::Unknown => {}
        }
        Ok(())
    }

    /// Replies with all objects of a feed, or the error.
    async fn all(
        self: Rc<Self>,
        params: feeds::AllParams,
        mut results: feeds::AllResults,
    ) -> Result<(), Error> {
        let reply = self.service.list(params.get()?.get_feed()?.to_str()?);
        put_reply(&reply, &self.cache, results.get().init_reply())
    }

    /// Replies with the changes of a feed, or the error, once the service's watch ends. The
    /// watch runs on the entry's runtime; a cancelled call aborts it.
    async fn follow(
        self: Rc<Self>,
        params: feeds::FollowParams,
        mut results: feeds::FollowResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let feed = params.get_feed()?.to_string()?;
        let wait = Duration::from_millis(u64::from(params.get_wait_ms()));
        let epoch = decode_epoch(params.get_epoch());
        let after = Revision::new(epoch, params.get_after());
        let watch = self.service.watch(feed, after, wait);
        // A cancelled call drops this future, which aborts the task.
        let task = AbortOnDropHandle::new(self.runtime.spawn(watch));
        let reply = task
            .await
            .map_err(|error| Error::failed(error.to_string()))?;
        put_reply(&reply, &self.cache, results.get().init_reply())
    }
}
