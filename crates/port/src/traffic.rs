//! Bytes of an entry, by what they are for.

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

/// What bytes are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Calls to leafs and their answers.
    Leafs,
    /// Requests of callers and their answers. Where callers are is not known, so they
    /// count as far.
    Callers,
    /// Of [`Purpose::Peers`], lists of leafs and their changes.
    Lists,
    /// Of [`Purpose::Peers`], the book.
    Books,
    /// All that is asked of other entries: lists and books, pulses, and their frames.
    Peers,
    /// Datagrams to members.
    Probes,
    /// Bodies of calls to the store. Where it is is not known, so they count as far.
    Store,
}

impl Purpose {
    /// All of them, in order.
    pub const ALL: [Self; 7] = [
        Self::Leafs,
        Self::Callers,
        Self::Lists,
        Self::Books,
        Self::Peers,
        Self::Probes,
        Self::Store,
    ];

    /// The word in logs and metrics.
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
    /// They are.
    Near,
    /// They are not, or it is not known.
    Far,
}

impl Distance {
    /// Both.
    pub const ALL: [Self; 2] = [Self::Near, Self::Far];

    /// The word in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Near => "near",
            Self::Far => "far",
        }
    }
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Flow {
    /// To this entry.
    In,
    /// From it.
    Out,
}

impl Flow {
    /// Both.
    pub const ALL: [Self; 2] = [Self::In, Self::Out];

    /// The word in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::In => "in",
            Self::Out => "out",
        }
    }
}

/// Bytes of an entry so far, by purpose, distance and flow.
///
/// Between two entries the one that asks counts what both send, and a datagram counts
/// where it is sent: the sum over all entries then counts no byte twice. Headers of
/// packets, handshakes and what the kernel sends again are not seen.
#[derive(Debug, Default)]
pub struct Traffic {
    counts: [[[AtomicU64; 2]; 2]; Purpose::ALL.len()],
    near: RwLock<BTreeSet<IpAddr>>,
}

impl Traffic {
    /// Takes `bytes` more.
    pub fn add(&self, purpose: Purpose, distance: Distance, flow: Flow, bytes: usize) {
        self.count(purpose, distance, flow)
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes so far.
    #[must_use]
    pub fn get(&self, purpose: Purpose, distance: Distance, flow: Flow) -> u64 {
        self.count(purpose, distance, flow).load(Ordering::Relaxed)
    }

    /// Sets which other entries are in the own failure domain.
    pub fn set_near(&self, near: BTreeSet<IpAddr>) {
        *self.near.write().unwrap_or_else(|e| e.into_inner()) = near;
    }

    /// How far the entry at `peer` is, as was last set.
    #[must_use]
    pub fn distance(&self, peer: SocketAddr) -> Distance {
        let near = self.near.read().unwrap_or_else(|e| e.into_inner());
        match near.contains(&peer.ip()) {
            true => Distance::Near,
            false => Distance::Far,
        }
    }

    fn count(&self, purpose: Purpose, distance: Distance, flow: Flow) -> &AtomicU64 {
        &self.counts[purpose as usize][distance as usize][flow as usize]
    }
}

/// Where bytes of one connection are counted.
#[derive(Clone, Debug)]
pub struct Account {
    /// All counts.
    pub traffic: Arc<Traffic>,
    /// What the connection is for.
    pub purpose: Purpose,
    /// Where its other end is.
    pub distance: Distance,
}

impl Account {
    fn add(&self, flow: Flow, bytes: usize) {
        self.traffic.add(self.purpose, self.distance, flow, bytes);
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub(crate) struct Metered<S> {
    inner: S,
    account: Account,
}

impl<S> Metered<S> {
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
        self.wrote(&written);
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
        self.wrote(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}

impl<S> Metered<S> {
    fn wrote(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.account.add(Flow::Out, *bytes);
        }
    }
}
