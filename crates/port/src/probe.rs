//! The datagram socket of the failure detector.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use chestnut_fleet::Message;
use futures::{FutureExt, future::BoxFuture};
use tokio::net::UdpSocket;

use crate::{Flow, Purpose, Traffic, wire};

/// Largest datagram that is read. Ours stay below 1,400 bytes, so that no
/// network in between splits them.
const DATAGRAM_MAX: usize = 4096;

/// Bytes of a message as a datagram, for measurements.
#[must_use]
pub fn probe_size(message: &Message) -> usize {
    wire::probe_bytes(message).len()
}

/// The port by which messages of the failure detector travel. They may be lost,
/// doubled or late.
pub trait Probes: Send + Sync {
    /// Sends a message.
    fn send(&self, to: SocketAddr, message: Message) -> BoxFuture<'_, ()>;

    /// Waits for the next message and its sender.
    fn receive(&self) -> BoxFuture<'_, (Message, SocketAddr)>;

    /// Bytes sent and received so far.
    fn bytes(&self) -> u64;
}

/// The datagram socket, with counts of what went through it.
#[derive(Debug)]
pub struct ProbeSocket {
    socket: UdpSocket,
    traffic: Arc<Traffic>,
    bytes: AtomicU64,
    messages: AtomicU64,
    broken: AtomicU64,
}

impl ProbeSocket {
    /// Binds the socket. What it sends is counted in `traffic`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind(address: SocketAddr, traffic: Arc<Traffic>) -> std::io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            traffic,
            bytes: AtomicU64::new(0),
            messages: AtomicU64::new(0),
            broken: AtomicU64::new(0),
        })
    }

    /// Where it listens.
    ///
    /// # Errors
    ///
    /// The system does not tell.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Datagrams sent and received.
    #[must_use]
    pub fn messages(&self) -> u64 {
        self.messages.load(Ordering::Relaxed)
    }

    /// Datagrams that were no message of the detector.
    #[must_use]
    pub fn broken(&self) -> u64 {
        self.broken.load(Ordering::Relaxed)
    }

    fn count(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.messages.fetch_add(1, Ordering::Relaxed);
    }
}

impl Probes for ProbeSocket {
    /// A failure to send is a lost datagram, which the detector provides for.
    fn send(&self, to: SocketAddr, message: Message) -> BoxFuture<'_, ()> {
        async move {
            let bytes = wire::probe_bytes(&message);
            self.count(bytes.len());
            let distance = self.traffic.distance(to);
            self.traffic
                .add(Purpose::Probes, distance, Flow::Out, bytes.len());
            let _ = self.socket.send_to(&bytes, to).await;
        }
        .boxed()
    }

    /// Datagrams that are no message of the detector are counted and passed over.
    fn receive(&self) -> BoxFuture<'_, (Message, SocketAddr)> {
        async move {
            let mut buffer = vec![0; DATAGRAM_MAX];
            loop {
                let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                    // An earlier datagram met a closed port; nothing is lost.
                    continue;
                };
                self.count(length);
                match wire::probe_from(&buffer[..length]) {
                    Ok(message) => return (message, from),
                    Err(_) => self.broken.fetch_add(1, Ordering::Relaxed),
                };
            }
        }
        .boxed()
    }

    fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}
