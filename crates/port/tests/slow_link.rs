//! Feeds between entries over a rate-limited link, on real sockets.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use chestnut_book::BookVersion;
use chestnut_port::{
    Batch, Content, EncodedBatch, EncodedDelta, Feed, FeedError, FeedRpc, FeedService, Freshness,
    Item, PeerFeed,
};
use chestnut_route::{Ask, TokenReply};
use chestnut_unit::{Epoch, OrgName, Revision};
use futures::{FutureExt, future::BoxFuture};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{TcpListener, TcpStream},
    time::{Instant, interval, sleep, timeout},
};

/// Revision that the entry reports.
const REVISION: Revision = Revision {
    epoch: Epoch(Some(2)),
    number: 7,
};
/// Bytes of one object. A list takes a second over the link and is still small enough to
/// be compressed within the call timeout on a busy machine.
const OBJECT_BYTES: usize = 800;
/// Objects of a list.
const OBJECTS: usize = 140;
/// Rate of the link, in bytes per second.
const LINK_RATE: usize = 80_000;
/// Bytes that the link forwards per tick.
const CHUNK: usize = LINK_RATE / 100;

/// Pseudorandom numbers, so that compression does not shorten the list much.
fn random() -> impl Iterator<Item = u64> {
    let next = |n: &u64| Some(n.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1));
    std::iter::successors(Some(7), next)
}

/// A JSON string of [`OBJECT_BYTES`] letters.
fn random_text(random: &mut impl Iterator<Item = u64>) -> Bytes {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    let letters = random
        .take(OBJECT_BYTES)
        .map(|n| LETTERS[(n >> 58) as usize] as char);
    Bytes::from(format!("\"{}\"", letters.collect::<String>()))
}

/// A feed service with a long list.
struct LongFeed;

impl FeedService for LongFeed {
    fn version(&self) -> BookVersion {
        BookVersion(0)
    }

    fn book_delta(&self, _: BookVersion) -> Result<EncodedDelta, FeedError> {
        Err(FeedError::StoreLost)
    }

    fn poll_revision(&self) -> Result<Revision, FeedError> {
        Ok(REVISION)
    }

    fn list(&self, _: &str) -> Result<EncodedBatch, FeedError> {
        let mut random = random();
        let mut item = |n| Item {
            name: format!("object {n}"),
            content: Content::Value(random_text(&mut random)),
        };
        Ok(Batch {
            items: (0..OBJECTS).map(&mut item).collect(),
            revision: REVISION,
        })
    }

    fn watch(
        &self,
        _: String,
        _: Revision,
        _: Duration,
    ) -> BoxFuture<'static, Result<EncodedBatch, FeedError>> {
        futures::future::pending().boxed()
    }

    fn tokens(&self, _: &OrgName, _: Ask) -> TokenReply {
        TokenReply::Unknown
    }
}

/// Proxies connections to `server`, limits the rate of responses, and stalls them while
/// `stalled` is set.
async fn link(server: SocketAddr, stalled: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let upstream = TcpStream::connect(server).await.unwrap();
            let (mut client_in, mut client_out) = client.into_split();
            let (mut server_in, mut server_out) = upstream.into_split();
            tokio::spawn(async move { copy(&mut client_in, &mut server_out).await });
            let stalled = stalled.clone();
            tokio::spawn(async move {
                let mut chunk = vec![0; CHUNK];
                let mut ticks = interval(Duration::from_millis(10));
                while let Ok(length @ 1..) = server_in.read(&mut chunk).await {
                    ticks.tick().await;
                    while stalled.load(Ordering::Relaxed) {
                        sleep(Duration::from_millis(10)).await;
                    }
                    if client_out.write_all(&chunk[..length]).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Two entries connected by the link.
struct LinkedEntries {
    client: FeedRpc,
    _server: FeedRpc,
    link: SocketAddr,
    stalled: Arc<AtomicBool>,
}

impl LinkedEntries {
    async fn open() -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let server = FeedRpc::bind(any, Arc::new(LongFeed), Arc::default(), 8)
            .await
            .unwrap();
        let client = FeedRpc::bind(any, Arc::new(LongFeed), Arc::default(), 8)
            .await
            .unwrap();
        let stalled = Arc::new(AtomicBool::new(false));
        let link = link(server.address(), stalled.clone()).await;
        Self {
            client,
            _server: server,
            link,
            stalled,
        }
    }

    fn feed(&self) -> PeerFeed<String> {
        self.client.feed(self.link, "leafs")
    }
}

/// Guards against giving up on a healthy peer while its answer arrives slowly, also for a
/// heartbeat that is queued behind the answer on the same link.
#[tokio::test(flavor = "multi_thread")]
async fn calls_succeed_while_bytes_arrive_slowly() {
    let entries = LinkedEntries::open().await;
    assert_eq!(entries.feed().poll_revision().await, Ok(REVISION));
    let (list, revision) =
        tokio::join!(async { entries.feed().list(Freshness::Now).await }, async {
            sleep(Duration::from_millis(100)).await;
            entries.feed().poll_revision().await
        },);
    assert_eq!(list.map(|batch| batch.items.len()), Ok(OBJECTS));
    assert_eq!(revision, Ok(REVISION));
}

/// Guards against waiting long for a peer that stops sending in the middle of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn call_fails_soon_when_peer_stalls_in_an_answer() {
    let entries = LinkedEntries::open().await;
    assert_eq!(entries.feed().poll_revision().await, Ok(REVISION));
    let stalled = entries.stalled.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(200)).await;
        stalled.store(true, Ordering::Relaxed);
    });
    let start = Instant::now();
    let answer = timeout(Duration::from_secs(5), async {
        entries.feed().list(Freshness::Now).await
    });
    let answer = answer.await.expect("the call times out on its own");
    assert!(matches!(answer, Err(FeedError::Unavailable(_))));
    assert!(start.elapsed() < Duration::from_secs(2));
}
