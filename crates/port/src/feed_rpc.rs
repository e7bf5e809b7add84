//! Feeds of objects between entries: Cap'n Proto calls over TCP.

use std::{
    marker::PhantomData,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use capnp::Error;
use chestnut_book::BookVersion;
use chestnut_unit::lock;
use futures::{FutureExt, future::BoxFuture};
use serde::de::DeserializeOwned;
use tokio::runtime::Handle;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    Batch, Content, Feed, FeedError, Flow, Freshness, Item, PeerError, Purpose, Traffic,
    feed_capnp::{feeds, items, reply},
    pack::{deflate, inflate},
    rpc::{Patience, RpcNet},
    wire,
};

/// Longest wait for a call that does not wait for changes, while nothing comes. Peers
/// answer within milliseconds; a hung one must be given up well before changes are due.
const WAIT: Duration = Duration::from_millis(400);
/// Wait of a call that only checks for changes.
const CHECK: Duration = Duration::from_millis(1);
/// Time beyond a watch's own wait in which its answer must come.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// Objects as they travel between entries: JSON.
pub type RawBatch = Batch<Bytes>;

/// What makes one version of the book of another, as it travels between entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawBook {
    /// The version that it makes.
    pub version: BookVersion,
    /// The delta, by [`pack`](crate::pack); empty if there is nothing newer.
    pub delta: Bytes,
}

/// What the pulse of an entry tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerPulse {
    /// The store's revision, or why the entry can't tell it.
    pub store: Result<u64, FeedError>,
    /// The version of its book; 0 if it has none.
    pub book: BookVersion,
}

/// What an entry passes on to others.
pub trait FeedService: Send + Sync + 'static {
    /// The version of the book in force; 0 if there is none. It is passed on whatever
    /// became of the store, as it never goes back.
    fn version(&self) -> BookVersion;

    /// What makes the book in force of version `have`, or of nothing.
    fn book(&self, have: BookVersion) -> Result<RawBook, FeedError>;

    /// The store's revision, as heard last; an error while it is lost.
    fn pulse(&self) -> Result<u64, FeedError>;

    /// Every object of a feed.
    fn all(&self, feed: &str) -> Result<RawBatch, FeedError>;

    /// Waits for objects of a feed to change after `revision`.
    fn follow(
        &self,
        feed: String,
        revision: u64,
        wait: Duration,
    ) -> BoxFuture<'static, Result<RawBatch, FeedError>>;
}

/// The feeds of an entry, served and called. Dropping it ends its thread.
#[derive(Clone, Debug)]
pub struct FeedNet {
    net: RpcNet<feeds::Client>,
    traffic: Arc<Traffic>,
}

impl FeedNet {
    /// Binds `address` and passes on what `service` has. What is asked of others is
    /// counted in `traffic`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        service: Arc<dyn FeedService>,
        traffic: Arc<Traffic>,
    ) -> std::io::Result<Self> {
        let runtime = Handle::current();
        let told = Arc::new(Mutex::new(Told::default()));
        let serve = move || {
            let session = Session {
                service: service.clone(),
                told: told.clone(),
                runtime: runtime.clone(),
            };
            let client: feeds::Client = capnp_rpc::new_client(session);
            client.client
        };
        Ok(Self {
            net: RpcNet::bind(address, Arc::new(serve), traffic.clone())?,
            traffic,
        })
    }

    /// Where peers connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.net.address()
    }

    /// The feed `name` of the entry at `to`.
    #[must_use]
    pub fn feed<T>(&self, to: SocketAddr, name: &'static str) -> PeerFeed<T> {
        PeerFeed {
            net: self.clone(),
            to,
            name,
            value: PhantomData,
        }
    }
}

impl FeedNet {
    /// The pulse of the entry at `to`.
    ///
    /// # Errors
    ///
    /// It gave no answer.
    pub async fn pulse(&self, to: SocketAddr) -> Result<PeerPulse, FeedError> {
        let call = |client: feeds::Client| async move {
            let answer = client.pulse_request().send().promise.await?;
            let answer = answer.get()?;
            Ok(PeerPulse {
                store: read_reply(answer.get_reply()?)?.map(|batch| batch.revision),
                book: BookVersion(answer.get_book()),
            })
        };
        let pulse = self.net.run(to, Patience::Silent(WAIT), call).await;
        pulse.map_err(unavailable)
    }

    /// Counts what an answer holds apart from its frame.
    fn count(&self, purpose: Purpose, from: SocketAddr, bytes: usize) {
        let distance = self.traffic.distance(from);
        self.traffic.add(purpose, distance, Flow::In, bytes);
    }

    /// What makes the book of the entry at `to` of version `have`, or of nothing.
    ///
    /// # Errors
    ///
    /// It gave no answer.
    pub async fn book(&self, to: SocketAddr, have: BookVersion) -> Result<RawBook, FeedError> {
        let call = move |client: feeds::Client| async move {
            let mut request = client.book_request();
            request.get().set_have(have.0);
            let answer = request.send().promise.await?;
            let answer = answer.get()?;
            Ok(RawBook {
                version: BookVersion(answer.get_version()),
                delta: Bytes::copy_from_slice(answer.get_delta()?),
            })
        };
        let book = self.net.run(to, Patience::Silent(WAIT), call).await;
        if let Ok(book) = &book {
            self.count(Purpose::Books, to, book.delta.len());
        }
        book.map_err(unavailable)
    }
}

/// A feed that another entry passes on.
pub struct PeerFeed<T> {
    net: FeedNet,
    to: SocketAddr,
    name: &'static str,
    value: PhantomData<fn() -> T>,
}

fn unavailable(error: PeerError) -> FeedError {
    FeedError::Unavailable(error.to_string())
}

impl<T: DeserializeOwned> PeerFeed<T> {
    /// What an answer of so many bytes holds.
    fn take(&self, (reply, bytes): (Reply, usize)) -> Result<Batch<T>, FeedError> {
        self.net.count(Purpose::Lists, self.to, bytes);
        parse(reply?)
    }

    async fn changes(
        &self,
        revision: u64,
        span: Duration,
        wait: Duration,
    ) -> Result<Batch<T>, FeedError> {
        let name = self.name;
        let call = move |client: feeds::Client| async move {
            let mut request = client.follow_request();
            let mut params = request.get();
            params.set_feed(name);
            params.set_after(revision);
            params.set_wait_ms(u32::try_from(span.as_millis()).unwrap_or(u32::MAX));
            let answer = request.send().promise.await?;
            read_sized(answer.get()?.get_reply()?)
        };
        let reply = self
            .net
            .net
            .run(self.to, Patience::Silent(wait), call)
            .await;
        self.take(reply.map_err(unavailable)?)
    }
}

impl<T: DeserializeOwned + Send + Sync> Feed<T> for PeerFeed<T> {
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
                .net
                .net
                .run(self.to, Patience::Silent(WAIT), call)
                .await;
            self.take(reply.map_err(unavailable)?)
        }
        .boxed()
    }

    fn pulse(&self) -> BoxFuture<'_, Result<u64, FeedError>> {
        async move { self.net.pulse(self.to).await?.store }.boxed()
    }

    fn watch(&self, revision: u64, wait: Duration) -> BoxFuture<'_, Result<Batch<T>, FeedError>> {
        self.changes(revision, wait, wait + WATCH_SLACK).boxed()
    }

    fn check(&self, revision: u64) -> BoxFuture<'_, Result<Batch<T>, FeedError>> {
        self.changes(revision, CHECK, WAIT).boxed()
    }
}

type Reply = Result<RawBatch, FeedError>;

/// A reply, and the bytes of what it lists as they travelled.
fn read_sized(from: reply::Reader<'_>) -> Result<(Reply, usize), Error> {
    let bytes = match from.which()? {
        reply::Which::Batch(batch) => batch?.get_packed()?.len(),
        _ => 0,
    };
    Ok((read_reply(from)?, bytes))
}

fn read_reply(from: reply::Reader<'_>) -> Result<Reply, Error> {
    let batch = match from.which()? {
        reply::Which::Batch(batch) => batch?,
        reply::Which::HistoryGone(()) => return Ok(Err(FeedError::HistoryGone)),
        reply::Which::Lost(()) => return Ok(Err(FeedError::Lost)),
        reply::Which::Elsewhere(to) => {
            let to = to?.to_str()?.parse().map(FeedError::Elsewhere);
            return to
                .map(Err)
                .map_err(|_| Error::failed("not an address".to_owned()));
        }
    };
    let message = batch.get_packed()?;
    if message.is_empty() {
        return Ok(Ok(Batch {
            items: Vec::new(),
            revision: batch.get_revision(),
        }));
    }
    let message = inflate(message).map_err(failed)?;
    let message = capnp::serialize::read_message(&message[..], wire::reader_options())?;
    let items = message.get_root::<items::Reader<'_>>()?.get_items()?;
    let items = items.iter().map(|item| {
        let value = Bytes::copy_from_slice(item.get_value()?);
        Ok(Item {
            name: item.get_name()?.to_string()?,
            content: match item.get_deleted() {
                true => Content::Deleted,
                // No JSON is empty.
                false if value.is_empty() => Content::Malformed,
                false => Content::Is(value),
            },
        })
    });
    Ok(Ok(Batch {
        items: items.collect::<Result<_, Error>>()?,
        revision: batch.get_revision(),
    }))
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::failed(error.to_string())
}

fn parse<T: DeserializeOwned>(raw: RawBatch) -> Result<Batch<T>, FeedError> {
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

/// Serves one peer's calls by passing them to the entry's own runtime.
struct Session {
    service: Arc<dyn FeedService>,
    told: Arc<Mutex<Told>>,
    runtime: Handle,
}

/// What was told last, as it travels. Those that follow an entry are told the same, and
/// compressing 100 KB takes an entry of 0.5 cores some 4 ms.
#[derive(Default)]
struct Told {
    said: Option<(RawBatch, Bytes)>,
}

impl Told {
    fn packed(&mut self, batch: &RawBatch) -> Result<Bytes, Error> {
        if batch.items.is_empty() {
            return Ok(Bytes::new());
        }
        if let Some((told, packed)) = &self.said
            && told == batch
        {
            return Ok(packed.clone());
        }
        let packed = deflate(&message(&batch.items)).map_err(failed)?;
        self.said = Some((batch.clone(), packed.clone()));
        Ok(packed)
    }
}

fn put_reply(reply: &Reply, told: &Mutex<Told>, mut to: reply::Builder<'_>) -> Result<(), Error> {
    let batch = match reply {
        Ok(batch) => batch,
        Err(FeedError::HistoryGone) => {
            to.set_history_gone(());
            return Ok(());
        }
        Err(FeedError::Elsewhere(peer)) => {
            to.set_elsewhere(peer.to_string().as_str());
            return Ok(());
        }
        Err(_) => {
            to.set_lost(());
            return Ok(());
        }
    };
    let packed = lock(told).packed(batch)?;
    let mut out = to.init_batch();
    out.set_revision(batch.revision);
    out.set_packed(&packed);
    Ok(())
}

/// The items as a message.
fn message(list: &[Item<Bytes>]) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    let root = message.init_root::<items::Builder<'_>>();
    let mut items = root.init_items(list.len() as u32);
    for (at, item) in (0u32..).zip(list) {
        let mut out = items.reborrow().get(at);
        out.set_name(item.name.as_str());
        out.set_deleted(item.content == Content::Deleted);
        if let Content::Is(value) = &item.content {
            out.set_value(value);
        }
    }
    capnp::serialize::write_message_to_words(&message)
}

impl feeds::Server for Session {
    async fn pulse(
        self: Rc<Self>,
        _: feeds::PulseParams,
        mut results: feeds::PulseResults,
    ) -> Result<(), Error> {
        let revision = self.service.pulse();
        let items = Vec::new();
        let reply = revision.map(|revision| Batch { items, revision });
        let mut results = results.get();
        results.set_book(self.service.version().0);
        put_reply(&reply, &self.told, results.init_reply())
    }

    async fn book(
        self: Rc<Self>,
        params: feeds::BookParams,
        mut results: feeds::BookResults,
    ) -> Result<(), Error> {
        let have = BookVersion(params.get()?.get_have());
        let book = self.service.book(have);
        let book = book.map_err(|error| Error::failed(error.to_string()))?;
        let mut results = results.get();
        results.set_version(book.version.0);
        results.set_delta(&book.delta);
        Ok(())
    }

    async fn all(
        self: Rc<Self>,
        params: feeds::AllParams,
        mut results: feeds::AllResults,
    ) -> Result<(), Error> {
        let reply = self.service.all(params.get()?.get_feed()?.to_str()?);
        put_reply(&reply, &self.told, results.get().init_reply())
    }

    async fn follow(
        self: Rc<Self>,
        params: feeds::FollowParams,
        mut results: feeds::FollowResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let feed = params.get_feed()?.to_string()?;
        let wait = Duration::from_millis(u64::from(params.get_wait_ms()));
        let follow = self.service.follow(feed, params.get_after(), wait);
        // A caller that cancels drops this future, and with it the task.
        let task = AbortOnDropHandle::new(self.runtime.spawn(follow));
        let reply = task
            .await
            .map_err(|error| Error::failed(error.to_string()))?;
        put_reply(&reply, &self.told, results.get().init_reply())
    }
}
