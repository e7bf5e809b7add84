//! Feeds of objects and the route book between entries, by Cap'n Proto calls over TCP.
//!
//! The *route book* is the versioned set of rules that map requests to services.

use std::{
    marker::PhantomData,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use capnp::Error;
use chestnut_book::BookVersion;
use chestnut_route::{Ask, Grant, TokenReply};
use chestnut_unit::{OrgName, Revision};
use futures::{FutureExt, future::BoxFuture};
use serde::de::DeserializeOwned;
use tokio::runtime::Handle;

use crate::{
    Batch, Content, Direction, Feed, FeedError, Freshness, Item, PeerError, Purpose, Traffic,
    feed_capnp::{feeds, items, reply},
    feed_serve::{PackedCache, Session},
    pack::inflate,
    rpc::{CallTimeout, EndpointLimits, RpcEndpoint},
    wire::{self, decode_epoch, encode_epoch},
};

/// Largest message of a call, in words of eight bytes: 16 KiB, far above the names and numbers
/// that calls consist of. Only answers are long.
const MAX_CALL_WORDS: usize = 2 << 10;
/// Timeout of a call that does not wait for changes, extended while bytes arrive. Short
/// enough to ask another peer before changes are due.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a peer waits for changes in a call that only polls for them.
const POLL_WAIT: Duration = Duration::from_millis(1);
/// Added to the wait of a watch to get the timeout of its call.
const WATCH_MARGIN: Duration = Duration::from_secs(1);

/// Objects as sent between entries, each value as JSON.
pub type EncodedBatch = Batch<Bytes>;

/// A delta between two versions of the route book, as sent between entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedDelta {
    /// The version that results from applying the delta.
    pub version: BookVersion,
    /// The delta, encoded by [`pack`](fn@crate::pack); empty if there is no newer version.
    pub delta: Bytes,
}

/// The heartbeat of an entry, returned by [`FeedRpc::heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The store's revision, or why the entry does not know it.
    pub store: Result<Revision, FeedError>,
    /// The version of its route book; 0 if it has none.
    pub book: BookVersion,
}

/// What an entry serves to its peers.
pub trait FeedService: Send + Sync + 'static {
    /// Returns the version of the route book in force; 0 if there is none. Versions only
    /// increase, so it is served even if this entry has lost the store.
    fn version(&self) -> BookVersion;

    /// Returns the delta from version `have` (0: none) to the route book in force. The
    /// peer sees any error as [`FeedError::Unavailable`].
    fn book_delta(&self, have: BookVersion) -> Result<EncodedDelta, FeedError>;

    /// Returns the last known revision of the store, or an error if the store is lost.
    fn poll_revision(&self) -> Result<Revision, FeedError>;

    /// Returns all objects of the feed named `feed`.
    fn list(&self, feed: &str) -> Result<EncodedBatch, FeedError>;

    /// Returns the objects of a feed that changed after the store's `revision`, waiting up
    /// to `wait` for one. Dropped if the peer cancels its call. A peer of an earlier version of
    /// the program tells no epoch.
    fn watch(
        &self,
        feed: String,
        revision: Revision,
        wait: Duration,
    ) -> BoxFuture<'static, Result<EncodedBatch, FeedError>>;

    /// Returns the tokens that this entry grants as the home of an organisation, or which entry
    /// it takes for the home.
    fn tokens(&self, org: &OrgName, ask: Ask) -> TokenReply;
}

/// Server and client of the feed protocol. Dropping the last clone ends its thread.
#[derive(Clone, Debug)]
pub struct FeedRpc {
    endpoint: RpcEndpoint<feeds::Client>,
    traffic: Arc<Traffic>,
}

impl FeedRpc {
    /// Binds `address` and serves `service` on at most `connections`. The bytes of calls to peers
    /// are counted in `traffic`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        service: Arc<dyn FeedService>,
        traffic: Arc<Traffic>,
        connections: usize,
    ) -> std::io::Result<Self> {
        let limits = EndpointLimits {
            connections,
            call_words: MAX_CALL_WORDS,
        };
        let runtime = Handle::current();
        let cache = Arc::new(Mutex::new(PackedCache::default()));
        let serve = move || {
            let session = Session {
                service: service.clone(),
                cache: cache.clone(),
                runtime: runtime.clone(),
            };
            let client: feeds::Client = capnp_rpc::new_client(session);
            client.client
        };
        Ok(Self {
            endpoint: RpcEndpoint::bind(address, Arc::new(serve), traffic.clone(), limits)?,
            traffic,
        })
    }

    /// Returns the address that peers connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.endpoint.address()
    }

    /// Returns a client for the feed `name` of the entry at `to`.
    #[must_use]
    pub fn feed<T>(&self, to: SocketAddr, name: &'static str) -> PeerFeed<T> {
        PeerFeed {
            rpc: self.clone(),
            to,
            name,
            value: PhantomData,
        }
    }
}

impl FeedRpc {
    /// Requests the heartbeat of the entry at `to`.
    ///
    /// # Errors
    ///
    /// Fails with [`FeedError::Unavailable`] if the entry gives no valid answer in time.
    pub async fn heartbeat(&self, to: SocketAddr) -> Result<Heartbeat, FeedError> {
        let call = |client: feeds::Client| async move {
            let answer = client.pulse_request().send().promise.await?;
            let answer = answer.get()?;
            Ok(Heartbeat {
                store: read_reply(answer.get_reply()?)?.map(|batch| batch.revision),
                book: BookVersion(answer.get_book()),
            })
        };
        let heartbeat = self
            .endpoint
            .call(to, CallTimeout::Idle(CALL_TIMEOUT), call)
            .await;
        heartbeat.map_err(unavailable)
    }

    /// Counts the payload bytes of a response of the entry at `from` by purpose.
    fn count(&self, purpose: Purpose, from: SocketAddr, bytes: usize) {
        let distance = self.traffic.distance(from);
        self.traffic.add(purpose, distance, Direction::In, bytes);
    }

    /// Requests the delta from version `have` (0: none) to the route book of the entry at
    /// `to`, and counts its bytes.
    ///
    /// # Errors
    ///
    /// Fails with [`FeedError::Unavailable`] if the entry gives no valid answer in time or
    /// can't serve its route book.
    pub async fn book_delta(
        &self,
        to: SocketAddr,
        have: BookVersion,
    ) -> Result<EncodedDelta, FeedError> {
        let call = move |client: feeds::Client| async move {
            let mut request = client.book_request();
            request.get().set_have(have.0);
            let answer = request.send().promise.await?;
            let answer = answer.get()?;
            Ok(EncodedDelta {
                version: BookVersion(answer.get_version()),
                delta: Bytes::copy_from_slice(answer.get_delta()?),
            })
        };
        let book = self
            .endpoint
            .call(to, CallTimeout::Idle(CALL_TIMEOUT), call)
            .await;
        if let Ok(book) = &book {
            self.count(Purpose::Books, to, book.delta.len());
        }
        book.map_err(unavailable)
    }
}

impl FeedRpc {
    /// Asks the entry at `to` for tokens under the limit of an organisation.
    ///
    /// # Errors
    ///
    /// Fails with [`FeedError::Unavailable`] if the entry gives no valid answer in time.
    pub async fn tokens(
        &self,
        to: SocketAddr,
        org: &OrgName,
        ask: Ask,
    ) -> Result<TokenReply, FeedError> {
        let org = org.clone();
        let call = move |client: feeds::Client| async move {
            let mut request = client.tokens_request();
            let mut params = request.get();
            params.set_organisation(org.as_str());
            params.set_want(ask.want);
            params.set_used(ask.used);
            let answer = request.send().promise.await?;
            let answer = answer.get()?;
            if answer.get_is_home() {
                return Ok(TokenReply::Granted(Grant {
                    tokens: answer.get_granted(),
                    after: Duration::from_millis(u64::from(answer.get_after_ms())),
                }));
            }
            let elsewhere = answer.get_elsewhere()?.to_str()?.parse();
            Ok(elsewhere.map_or(TokenReply::Unknown, TokenReply::Elsewhere))
        };
        let granted = self
            .endpoint
            .call(to, CallTimeout::Idle(CALL_TIMEOUT), call)
            .await;
        granted.map_err(unavailable)
    }
}

/// Client of the feed `name` of the entry at `to`; `T` is the type of its objects.
pub struct PeerFeed<T> {
    rpc: FeedRpc,
    to: SocketAddr,
    name: &'static str,
    value: PhantomData<fn() -> T>,
}

/// Converts a failed call to [`FeedError::Unavailable`].
fn unavailable(error: PeerError) -> FeedError {
    FeedError::Unavailable(error.to_string())
}

impl<T: DeserializeOwned> PeerFeed<T> {
    /// Counts the payload bytes of a response and parses its objects. Returns the peer's
    /// error, or [`FeedError::Refused`] if an object is not a valid `T`.
    fn decode(&self, (reply, bytes): (Reply, usize)) -> Result<Batch<T>, FeedError> {
        self.rpc.count(Purpose::Lists, self.to, bytes);
        parse(reply?)
    }

    /// Requests the objects that changed after `revision`; the peer waits up to `wait` for
    /// one. Fails on an error of the peer, or if no valid answer arrives within `timeout`,
    /// which is extended while bytes arrive.
    async fn changes(
        &self,
        revision: Revision,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Batch<T>, FeedError> {
        let name = self.name;
        let call = move |client: feeds::Client| async move {
            let mut request = client.follow_request();
            let mut params = request.get();
            params.set_feed(name);
            params.set_after(revision.number);
            params.set_epoch(encode_epoch(revision.epoch));
            params.set_wait_ms(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
            let answer = request.send().promise.await?;
            read_sized(answer.get()?.get_reply()?)
        };
        let reply = self
            .rpc
            .endpoint
            .call(self.to, CallTimeout::Idle(timeout), call)
            .await;
        self.decode(reply.map_err(unavailable)?)
    }
}

impl<T: DeserializeOwned + Send + Sync> Feed<T> for PeerFeed<T> {
    /// Requests all objects that the peer has. The freshness is ignored: they are as
    /// current as the peer's own copy.
    fn list(&self, _: Freshness) -> BoxFuture<'_, Result<Batch<T>, FeedError>> {
        async move {
            let name = self.name;
            let call = move |client: feeds::Client| async move {
                let mut request = client.all_request();
                request.get().set_feed(name);
                let answer = request.send().promise.await?;
                read_sized(answer.get()?.get_reply()?)
            };
            let reply = self
                .rpc
                .endpoint
                .call(self.to, CallTimeout::Idle(CALL_TIMEOUT), call)
                .await;
            self.decode(reply.map_err(unavailable)?)
        }
        .boxed()
    }

    fn poll_revision(&self) -> BoxFuture<'_, Result<Revision, FeedError>> {
        async move { self.rpc.heartbeat(self.to).await?.store }.boxed()
    }

    /// Requests changes; the call's timeout is one second longer than `wait`.
    fn watch(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Batch<T>, FeedError>> {
        self.changes(revision, wait, wait + WATCH_MARGIN).boxed()
    }

    /// Makes the same call as `watch`, but the peer waits only 1 ms for a change, and the
    /// timeout is that of a call that does not wait.
    fn poll(&self, revision: Revision) -> BoxFuture<'_, Result<Batch<T>, FeedError>> {
        self.changes(revision, POLL_WAIT, CALL_TIMEOUT).boxed()
    }
}

/// A decoded reply: a batch, or the error that the peer returned.
pub(crate) type Reply = Result<EncodedBatch, FeedError>;

/// Decodes a reply and returns it with the size of its packed items in bytes; 0 for an
/// error of the peer.
fn read_sized(from: reply::Reader<'_>) -> Result<(Reply, usize), Error> {
    let bytes = match from.which()? {
        reply::Which::Batch(batch) => batch?.get_packed()?.len(),
        _ => 0,
    };
    Ok((read_reply(from)?, bytes))
}

/// Decodes a reply; the inner error is the one that the peer returned. Fails if the
/// message, its compression or the address of a redirect is invalid.
fn read_reply(from: reply::Reader<'_>) -> Result<Reply, Error> {
    let batch = match from.which()? {
        reply::Which::Batch(batch) => batch?,
        reply::Which::HistoryGone(()) => return Ok(Err(FeedError::HistoryGone)),
        reply::Which::Lost(()) => return Ok(Err(FeedError::StoreLost)),
        reply::Which::Elsewhere(to) => {
            let to = to?.to_str()?.parse().map(FeedError::Redirect);
            return to
                .map(Err)
                .map_err(|_| Error::failed("the redirect holds no valid address".to_owned()));
        }
    };
    let epoch = decode_epoch(batch.get_epoch());
    let revision = Revision::new(epoch, batch.get_revision());
    let message = batch.get_packed()?;
    if message.is_empty() {
        return Ok(Ok(Batch {
            items: Vec::new(),
            revision,
        }));
    }
    let message = inflate(message).map_err(rpc_error)?;
    let message = capnp::serialize::read_message(
        &message[..],
        wire::reader_options(wire::MAX_MESSAGE_WORDS),
    )?;
    let items = message.get_root::<items::Reader<'_>>()?.get_items()?;
    let items = items.iter().map(|item| {
        let value = Bytes::copy_from_slice(item.get_value()?);
        Ok(Item {
            name: item.get_name()?.to_string()?,
            content: match item.get_deleted() {
                true => Content::Deleted,
                // Empty JSON is invalid.
                false if value.is_empty() => Content::Malformed,
                false => Content::Value(value),
            },
        })
    });
    Ok(Ok(Batch {
        items: items.collect::<Result<_, Error>>()?,
        revision,
    }))
}

/// Converts an error to a failed capnp call.
pub(crate) fn rpc_error(error: impl std::fmt::Display) -> Error {
    Error::failed(error.to_string())
}

/// Parses the JSON values of a batch. Fails with [`FeedError::Refused`] if any of them is
/// not a valid `T`; deleted and malformed objects are kept as they are.
fn parse<T: DeserializeOwned>(raw: EncodedBatch) -> Result<Batch<T>, FeedError> {
    let items = raw.items.into_iter().map(|item| {
        Ok(Item {
            name: item.name,
            content: item.content.try_map(|json| serde_json::from_slice(&json))?,
        })
    });
    Ok(Batch {
        items: items
            .collect::<Result<_, serde_json::Error>>()
            .map_err(|error| FeedError::Refused(error.to_string()))?,
        revision: raw.revision,
    })
}
