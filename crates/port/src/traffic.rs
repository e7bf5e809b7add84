//! Counters of an entry's network traffic.

use std::{
    collections::BTreeSet,
    io,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    sync::{
        Arc, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What traffic is used for: leafs, callers, peers (with lists and the route book also
/// counted on their own), probes or the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Calls to leafs and their answers.
    Leafs,
    /// Requests of callers and their answers. Counted as [`Distance::Remote`], since the
    /// failure domain of callers is not known.
    Callers,
    /// The part of [`Purpose::Peers`] that is lists of leafs and their changes.
    Lists,
    /// The part of [`Purpose::Peers`] that is the route book.
    Books,
    /// All calls to other entries and their answers: lists, books and heartbeats,
    /// with their framing.
    Peers,
    /// Datagrams of the failure detector.
    Probes,
    /// Bodies of calls to the store. Counted as [`Distance::Remote`], since its failure
    /// domain is not known.
    Store,
}

impl Purpose {
    /// All purposes, in order of declaration.
    pub const ALL: [Self; 7] = [
        Self::Leafs,
        Self::Callers,
        Self::Lists,
        Self::Books,
        Self::Peers,
        Self::Probes,
        Self::Store,
    ];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leafs => "leafs",
            Self::Callers => "callers",
            Self::Lists => "lists",
            Self::Books => "books",
            Self::Peers => "peers",
            Self::Probes => "probes",
            Self::Store => "store",
        }
    }
}

/// Whether the other end is known to be in this entry's failure domain. An unknown
/// failure domain counts as [`Distance::Remote`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same failure domain.
    Local,
    /// In another failure domain, or not known.
    Remote,
}

impl Distance {
    /// Both distances.
    pub const ALL: [Self; 2] = [Self::Local, Self::Remote];

    /// Returns the name in logs and metrics: `near` or `far`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Local => "near",
            Self::Remote => "far",
        }
    }
}

/// Direction of traffic, as seen from this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// Received.
    In,
    /// Sent.
    Out,
}

impl Direction {
    /// Both directions.
    pub const ALL: [Self; 2] = [Self::In, Self::Out];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::In => "in",
            Self::Out => "out",
        }
    }
}

/// Counters of bytes by purpose, distance and direction.
///
/// The calling entry counts both directions of a call, and the sender counts a
/// datagram, so that a sum over all entries counts no byte twice. Packet headers,
/// handshakes and retransmissions are not included.
#[derive(Debug, Default)]
pub struct Traffic {
    counts: [[[AtomicU64; 2]; 2]; Purpose::ALL.len()],
    local: RwLock<BTreeSet<IpAddr>>,
}

impl Traffic {
    /// Adds `bytes` to the counter of a purpose, distance and direction.
    pub fn add(&self, purpose: Purpose, distance: Distance, direction: Direction, bytes: usize) {
        self.count(purpose, distance, direction)
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes counted so far for a purpose, distance and direction.
    #[must_use]
    pub fn get(&self, purpose: Purpose, distance: Distance, direction: Direction) -> u64 {
        self.count(purpose, distance, direction)
            .load(Ordering::Relaxed)
    }

    /// Replaces the addresses of the entries in this entry's failure domain, by which
    /// [`Traffic::distance`] decides.
    pub fn set_local(&self, local: BTreeSet<IpAddr>) {
        *self.local.write().unwrap_or_else(|e| e.into_inner()) = local;
    }

    /// Returns the distance to the entry at `peer`, by the IP addresses last set;
    /// [`Distance::Remote`] if its address is not among them.
    #[must_use]
    pub fn distance(&self, peer: SocketAddr) -> Distance {
        let local = self.local.read().unwrap_or_else(|e| e.into_inner());
        match local.contains(&peer.ip()) {
            true => Distance::Local,
            false => Distance::Remote,
        }
    }

    /// Returns the counter of a purpose, distance and direction.
    fn count(&self, purpose: Purpose, distance: Distance, direction: Direction) -> &AtomicU64 {
        &self.counts[purpose as usize][distance as usize][direction as usize]
    }
}

/// The counters that the bytes of a connection are added to.
#[derive(Clone, Debug)]
pub struct TrafficMeter {
    /// The counters of the entry.
    pub traffic: Arc<Traffic>,
    /// What the connection is used for.
    pub purpose: Purpose,
    /// Distance to its other end.
    pub distance: Distance,
}

impl TrafficMeter {
    /// Adds `bytes` to the counter of this connection's purpose and distance.
    fn add(&self, direction: Direction, bytes: usize) {
        self.traffic
            .add(self.purpose, self.distance, direction, bytes);
    }
}

/// A stream that adds the bytes read from it and written to it to a meter.
#[derive(Debug)]
pub(crate) struct Metered<S> {
    inner: S,
    meter: TrafficMeter,
}

impl<S> Metered<S> {
    /// Wraps `inner` and counts its bytes in `meter`.
    pub(crate) fn new(inner: S, meter: TrafficMeter) -> Self {
        Self { inner, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.meter.add(Direction::In, buf.filled().len() - before);
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.count_written(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.count_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}

impl<S> Metered<S> {
    /// Counts the bytes of a write that completed.
    fn count_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.meter.add(Direction::Out, *bytes);
        }
    }
}
