//! Feeds between entries over a link of limited rate, on real sockets.

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
    Batch, Content, Feed, FeedError, FeedNet, FeedService, Freshness, Item, PeerFeed, RawBatch,
    RawBook,
};
use futures::{FutureExt, future::BoxFuture};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{TcpListener, TcpStream},
    time::{Instant, interval, sleep, timeout},
};

/// Bytes of one object; a list has so many that it takes a second over the link. Few
/// bytes on a slow link: they are compressed before the first is sent, which on a busy
/// machine took longer than a call waits for bytes when they were twelve times as many.
const OBJECT: usize = 800;
const OBJECTS: usize = 140;
/// Bytes a second of the link.
const RATE: usize = 80_000;
/// Bytes that the link carries at once.
const STEP: usize = RATE / 100;

/// Numbers that repeat nothing, as lists travel compressed.
fn noise() -> impl Iterator<Item = u64> {
    let next = |n: &u64| Some(n.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1));
    std::iter::successors(Some(7), next)
}

/// A string of [`OBJECT`] letters as JSON.
fn text(noise: &mut impl Iterator<Item = u64>) -> Bytes {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    let letters = noise
        .take(OBJECT)
        .map(|n| LETTERS[(n >> 58) as usize] as char);
    Bytes::from(format!("\"{}\"", letters.collect::<String>()))
}

/// An entry with a long list.
struct Long;

impl FeedService for Long {
    fn version(&self) -> BookVersion {
        BookVersion(0)
    }

    fn book(&self, _: BookVersion) -> Result<RawBook, FeedError> {
        Err(FeedError::Lost)
    }

    fn pulse(&self) -> Result<u64, FeedError> {
        Ok(7)
    }

    fn all(&self, _: &str) -> Result<RawBatch, FeedError> {
        let mut noise = noise();
        let mut item = |n| Item {
            name: format!("object {n}"),
            content: Content::Is(text(&mut noise)),
        };
        Ok(Batch {
            items: (0..OBJECTS).map(&mut item).collect(),
            revision: 7,
        })
    }

    fn follow(
        &self,
        _: String,
        _: u64,
        _: Duration,
    ) -> BoxFuture<'static, Result<RawBatch, FeedError>> {
        futures::future::pending().boxed()
    }
}

/// A link to `server` that carries answers at the rate, and falls silent when told.
async fn link(server: SocketAddr, silent: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(server).await.unwrap();
            let (mut near_in, mut near_out) = near.into_split();
            let (mut far_in, mut far_out) = far.into_split();
            tokio::spawn(async move { copy(&mut near_in, &mut far_out).await });
            let silent = silent.clone();
            tokio::spawn(async move {
                let mut step = vec![0; STEP];
                let mut ticks = interval(Duration::from_millis(10));
                while let Ok(length @ 1..) = far_in.read(&mut step).await {
                    ticks.tick().await;
                    while silent.load(Ordering::Relaxed) {
                        sleep(Duration::from_millis(10)).await;
                    }
                    if near_out.write_all(&step[..length]).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

struct Ends {
    near: FeedNet,
    _far: FeedNet,
    link: SocketAddr,
    silent: Arc<AtomicBool>,
}

impl Ends {
    async fn open() -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let far = FeedNet::bind(any, Arc::new(Long), Arc::default())
            .await
            .unwrap();
        let near = FeedNet::bind(any, Arc::new(Long), Arc::default())
            .await
            .unwrap();
        let silent = Arc::new(AtomicBool::new(false));
        let link = link(far.address(), silent.clone()).await;
        Self {
            near,
            _far: far,
            link,
            silent,
        }
    }

    fn feed(&self) -> PeerFeed<String> {
        self.near.feed(self.link, "leafs")
    }
}

/// An entry takes a sound peer for lost, throws away what it has read, and starts
/// anew with the next one.
/// The answer takes a second over the link, longer than a call waits for one. Bytes
/// keep coming meanwhile, which a lost peer never sends. A pulse waits behind them on
/// the same link and is no more lost than they are.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_whose_answer_takes_long_is_not_taken_for_lost() {
    let ends = Ends::open().await;
    assert_eq!(ends.feed().pulse().await, Ok(7));
    let (list, pulse) = tokio::join!(async { ends.feed().list(Freshness::Now).await }, async {
        sleep(Duration::from_millis(100)).await;
        ends.feed().pulse().await
    },);
    assert_eq!(list.map(|batch| batch.items.len()), Ok(OBJECTS));
    assert_eq!(pulse, Ok(7));
}

/// An entry that waits for as long as bytes come still notices a peer that falls
/// silent in the middle of an answer, within a second.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_falls_silent_in_an_answer_is_given_up() {
    let ends = Ends::open().await;
    assert_eq!(ends.feed().pulse().await, Ok(7));
    let silent = ends.silent.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(200)).await;
        silent.store(true, Ordering::Relaxed);
    });
    let begun = Instant::now();
    let answer = timeout(Duration::from_secs(5), async {
        ends.feed().list(Freshness::Now).await
    });
    let answer = answer.await.expect("the call is given up");
    assert!(matches!(answer, Err(FeedError::Unavailable(_))));
    assert!(begun.elapsed() < Duration::from_secs(2));
}
