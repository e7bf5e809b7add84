//! Bodies of requests and answers, held for a client.

use std::{
    collections::VecDeque,
    convert::Infallible,
    future::poll_fn,
    pin::{Pin, pin},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use displaydoc::Display;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Instant, sleep};

use crate::{
    Client,
    memory::{Charge, Evicted, Receiving},
};

/// Size of a message's first segment, which is not in the account. Those of all connections
/// together are small, and most messages need no more.
const FIRST_SEGMENT: usize = 4 << 10;
/// Size of the further segments. As all are alike, one that is dropped makes room for another,
/// and no part of the heap is lost between them.
const SEGMENT: usize = 16 << 10;

/// Why a message was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ReceiveError {
    /// the message is larger than the limit
    TooLarge,
    /// the connection failed before the end of the message
    Incomplete,
    /// no part of the message came in time
    Stalled,
    /// the process can't hold the message beside those of others
    Evicted,
}

impl std::error::Error for ReceiveError {}

impl From<Evicted> for ReceiveError {
    fn from(_: Evicted) -> Self {
        Self::Evicted
    }
}

/// A whole body in one or more parts. Each part stays in the account of its client until all
/// clones are dropped.
#[derive(Clone, Debug, Default)]
pub struct Message {
    parts: VecDeque<Bytes>,
}

impl Message {
    /// Returns the number of bytes.
    #[must_use]
    pub fn length(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }

    /// Returns the message in one piece, which is a copy if it has several parts.
    #[must_use]
    pub fn whole(&self) -> Bytes {
        match self.parts.len() {
            0 => Bytes::new(),
            1 => self.parts[0].clone(),
            _ => self.concat().into(),
        }
    }

    fn concat(&self) -> Vec<u8> {
        let mut whole = Vec::with_capacity(self.length());
        for part in &self.parts {
            whole.extend_from_slice(part);
        }
        whole
    }

    /// Like [`Message::whole`], with the copy in the account of `client`.
    fn into_whole(self, client: &Client) -> Result<Bytes, Evicted> {
        if self.parts.len() <= 1 {
            return Ok(self.whole());
        }
        let mut charge = client.charge();
        charge.resize(self.length())?;
        let bytes = self.concat();
        Ok(Bytes::from_owner(Segment { bytes, charge }))
    }
}

impl From<Bytes> for Message {
    fn from(bytes: Bytes) -> Self {
        Self {
            parts: VecDeque::from([bytes]),
        }
    }
}

impl Body for Message {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.parts.pop_front().map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.iter().all(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length() as u64)
    }
}

/// A part of a message, in the account until dropped.
struct Segment {
    bytes: Vec<u8>,
    charge: Charge,
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A message that is being received. The account counts what it takes, not what is in it.
struct Buffer {
    segments: Vec<Segment>,
    length: usize,
    most: usize,
    /// Bytes that are in the account, but in no segment yet.
    reserve: Charge,
}

impl Buffer {
    /// Creates an empty buffer for at most `most` bytes of a client.
    fn new(client: &Client, most: usize) -> Self {
        Self {
            segments: Vec::new(),
            length: 0,
            most,
            reserve: client.charge(),
        }
    }

    /// Takes room for all that may come. A message that is large but quick then never has to go
    /// half-way, as it has hardly been held when it asks.
    fn reserve_all(&mut self) -> Result<(), Evicted> {
        self.reserve.resize(self.most.saturating_sub(FIRST_SEGMENT))
    }

    /// Appends `data`, which is copied: a part that is received holds the whole buffer that it
    /// came in, many times its own size if it is small.
    fn push(&mut self, data: &[u8]) -> Result<(), ReceiveError> {
        if data.len() > self.most - self.length {
            return Err(ReceiveError::TooLarge);
        }
        let mut rest = data;
        while !rest.is_empty() {
            let last = self.segments.last_mut().map(|segment| &mut segment.bytes);
            let Some(last) = last.filter(|last| last.len() < last.capacity()) else {
                self.add_segment()?;
                continue;
            };
            let (now, later) = rest.split_at(rest.len().min(last.capacity() - last.len()));
            last.extend_from_slice(now);
            self.length += now.len();
            rest = later;
        }
        Ok(())
    }

    fn add_segment(&mut self) -> Result<(), Evicted> {
        let (size, charged) = match self.segments.is_empty() {
            true => (FIRST_SEGMENT, false),
            false => (SEGMENT, true),
        };
        let size = size.min(self.most - self.length);
        if charged && self.reserve.bytes() < size {
            self.reserve.resize(size)?;
        }
        let charge = self.reserve.split(if charged { size } else { 0 });
        self.segments.push(Segment {
            bytes: Vec::with_capacity(size),
            charge,
        });
        Ok(())
    }

    fn into_message(self) -> Message {
        let parts = self
            .segments
            .into_iter()
            .map(|segment| match segment.charge.bytes() {
                0 => Bytes::from(segment.bytes),
                _ => Bytes::from_owner(segment),
            });
        Message {
            parts: parts.collect(),
        }
    }
}

impl Client {
    /// Reads the whole body of a request, of at most `most` bytes. It is given up when none of it
    /// has come for `patience`, or some time more.
    ///
    /// # Errors
    ///
    /// Fails if the body is larger, breaks off or stops, or if the client has to go.
    pub async fn receive<B>(
        &self,
        body: B,
        most: usize,
        patience: Duration,
    ) -> Result<Bytes, ReceiveError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let hint = body.size_hint();
        if hint.lower() > most as u64 {
            return Err(ReceiveError::TooLarge);
        }
        let _receiving = Receiving::start(self);
        let length = hint.exact().map_or(most, |length| length as usize);
        let mut buffer = Buffer::new(self, length);
        self.fill(&mut buffer, body, patience).await?;
        Ok(buffer.into_message().into_whole(self)?)
    }

    /// Reads the whole body of an answer, of at most `most` bytes, without a limit on the time.
    /// Takes room for all of it from the start if its length is known.
    ///
    /// # Errors
    ///
    /// Fails if the body is larger or breaks off, or if the client has to go.
    pub async fn read<B>(&self, body: B, most: usize) -> Result<Message, ReceiveError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let hint = body.size_hint();
        if hint.lower() > most as u64 {
            return Err(ReceiveError::TooLarge);
        }
        let length = hint.exact().map(|length| length as usize);
        let mut buffer = Buffer::new(self, length.unwrap_or(most));
        if length.is_some() {
            buffer.reserve_all()?;
        }
        self.fill(&mut buffer, body, Duration::MAX).await?;
        Ok(buffer.into_message())
    }

    /// Reads all of a body into `buffer`.
    async fn fill<B>(
        &self,
        buffer: &mut Buffer,
        mut body: B,
        patience: Duration,
    ) -> Result<(), ReceiveError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut evicted = pin!(self.evicted());
        let mut timer = pin!(sleep(patience));
        let mut moved = false;
        // One timer serves for the whole body: setting it for each part would cost more than a
        // small part.
        poll_fn(|context| {
            loop {
                match Pin::new(&mut body).poll_frame(context) {
                    Poll::Ready(None) => return Poll::Ready(Ok(())),
                    Poll::Ready(Some(Err(_))) => {
                        return Poll::Ready(Err(ReceiveError::Incomplete));
                    }
                    Poll::Ready(Some(Ok(frame))) => {
                        moved = true;
                        let data = frame.data_ref();
                        if let Some(Err(error)) = data.map(|data| buffer.push(data)) {
                            return Poll::Ready(Err(error));
                        }
                        continue;
                    }
                    Poll::Pending => {}
                }
                if evicted.as_mut().poll(context).is_ready() {
                    return Poll::Ready(Err(ReceiveError::Evicted));
                }
                if timer.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                if !moved {
                    return Poll::Ready(Err(ReceiveError::Stalled));
                }
                moved = false;
                timer.as_mut().reset(Instant::now() + patience);
            }
        })
        .await
    }
}
