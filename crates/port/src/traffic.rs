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

/// What traffic is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Calls to leafs and their answers.
    Leafs,
    /// Requests of callers and their answers. Counted as [`Distance::Far`], since the
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
    /// Bodies of calls to the store. Counted as [`Distance::Far`], since its failure
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

/// Whether both ends are in one failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same failure domain.
    Near,
    /// In another failure domain, or not known.
    Far,
}

impl Distance {
    /// Both distances.
    pub const ALL: [Self; 2] = [Self::Near, Self::Far];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Near => "near",
            Self::Far => "far",
        }
    }
}

/// Direction of traffic, as seen from this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Flow {
    /// Received.
    In,
    /// Sent.
    Out,
}

impl Flow {
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

/// Counters of bytes by purpose, distance and flow.
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
    /// Adds `bytes` to a counter.
    pub fn add(&self, purpose: Purpose, distance: Distance, flow: Flow, bytes: usize) {
        self.count(purpose, distance, flow)
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes counted so far.
    #[must_use]
    pub fn get(&self, purpose: Purpose, distance: Distance, flow: Flow) -> u64 {
        self.count(purpose, distance, flow).load(Ordering::Relaxed)
    }

    /// Sets the addresses of the entries in this entry's failure domain.
    pub fn set_near(&self, local: BTreeSet<IpAddr>) {
        *self.local.write().unwrap_or_else(|e| e.into_inner()) = local;
    }

    /// Returns the distance to the entry at `peer`, by the addresses last set.
    #[must_use]
    pub fn distance(&self, peer: SocketAddr) -> Distance {
        let local = self.local.read().unwrap_or_else(|e| e.into_inner());
        match local.contains(&peer.ip()) {
            true => Distance::Near,
            false => Distance::Far,
        }
    }

    fn count(&self, purpose: Purpose, distance: Distance, flow: Flow) -> &AtomicU64 {
        &self.counts[purpose as usize][distance as usize][flow as usize]
    }
}

/// The counters that the bytes of a connection are added to.
#[derive(Clone, Debug)]
pub struct Account {
    /// The counters of the entry.
    pub traffic: Arc<Traffic>,
    /// What the connection is used for.
    pub purpose: Purpose,
    /// Distance to its other end.
    pub distance: Distance,
}

impl Account {
    fn add(&self, flow: Flow, bytes: usize) {
        self.traffic.add(self.purpose, self.distance, flow, bytes);
    }
}

/// A stream that counts its bytes.
#[derive(Debug)]
pub(crate) struct Metered<S> {
    inner: S,
    account: Account,
}

impl<S> Metered<S> {
    /// Wraps `inner` and counts its bytes in `account`.
    pub(crate) fn new(inner: S, account: Account) -> Self {
        Self { inner, account }
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
        self.account.add(Flow::In, buf.filled().len() - before);
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
    fn count_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.account.add(Flow::Out, *bytes);
        }
    }
}
