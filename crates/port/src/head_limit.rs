//! A limit on the bytes that come before the head of a response ends.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Value of a budget without a limit.
const UNLIMITED: usize = usize::MAX;

/// How many bytes a connection may still read while it waits for a response.
///
/// The HTTP library bounds each head, but passes over interim responses without an end. Bytes that
/// come faster than they are parsed would be read on for as long as they come, and on one thread
/// neither the timeout of the call nor other requests would get their turn.
#[derive(Clone, Debug)]
pub(crate) struct HeadBudget(Arc<AtomicUsize>);

impl HeadBudget {
    /// Creates a budget without a limit.
    pub(crate) fn unlimited() -> Self {
        Self(Arc::new(AtomicUsize::new(UNLIMITED)))
    }

    /// Allows `bytes` until the head has come.
    pub(crate) fn start(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Ends the limit, as the head has come. The body has one of its own.
    pub(crate) fn end(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Returns whether all bytes are used up.
    fn is_spent(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    /// Uses up `bytes`, if there is a limit.
    fn spend(&self, bytes: usize) {
        let left = self.0.load(Ordering::Relaxed);
        if left != UNLIMITED {
            self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
    }
}

/// A stream whose reads fail once its budget is used up.
#[derive(Debug)]
pub(crate) struct HeadLimited<S> {
    inner: S,
    budget: HeadBudget,
}

impl<S> HeadLimited<S> {
    /// Wraps `inner`, whose reads `budget` limits.
    pub(crate) fn new(inner: S, budget: HeadBudget) -> Self {
        Self { inner, budget }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.budget.is_spent() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.budget.spend(buf.filled().len() - before);
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
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
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
