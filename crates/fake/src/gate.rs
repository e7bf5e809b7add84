//! Connections that can go silent.

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

/// Makes a connection silent: nothing is read or written any more, and it
/// never closes. What a lost entry in a translation table between the two
/// ends looks like.
#[derive(Clone, Debug, Default)]
pub struct Silence(Arc<AtomicBool>);

impl Silence {
    /// Silences the connection for good.
    pub fn fall(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_fallen(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection under a [`Silence`].
pub(crate) struct Gated {
    pub(crate) stream: TcpStream,
    pub(crate) silence: Silence,
}

impl AsyncRead for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.silence.is_fallen() {
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if self.silence.is_fallen() {
            buffer.set_filled(before);
            return Poll::Pending;
        }
        polled
    }
}

impl AsyncWrite for Gated {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.silence.is_fallen() {
            // Taken and dropped, as a full socket buffer would look broken.
            return Poll::Ready(Ok(buffer.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.silence.is_fallen() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
