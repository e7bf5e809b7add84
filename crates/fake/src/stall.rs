//! TCP connections that can be made unresponsive without closing.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Switch that makes a connection unresponsive: reads stay pending, writes are
/// dropped and it never closes, as after the loss of its NAT table entry.
#[derive(Clone, Debug, Default)]
pub struct Stall(Arc<AtomicBool>);

impl Stall {
    /// Makes the connection unresponsive for good.
    pub fn activate(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Returns whether [`Stall::activate`] was called.
    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// TCP stream that becomes unresponsive when its [`Stall`] is activated.
pub(crate) struct StallableStream {
    pub(crate) stream: TcpStream,
    pub(crate) stall: Stall,
}

impl AsyncRead for StallableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.stall.is_set() {
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if self.stall.is_set() {
            buffer.set_filled(filled);
            return Poll::Pending;
        }
        polled
    }
}

impl AsyncWrite for StallableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.stall.is_set() {
            // Accepts and drops the bytes: backpressure would reveal the fault.
            return Poll::Ready(Ok(buffer.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.stall.is_set() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
