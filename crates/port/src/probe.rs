//! UDP transport of the failure detector.

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

use crate::{Direction, Purpose, Traffic, wire};

/// Size of the receive buffer, in bytes. Sent probes are smaller than a usual
/// MTU, so that they are not fragmented.
const MAX_DATAGRAM: usize = 4096;

/// Returns the encoded size of a probe in bytes.
#[must_use]
pub fn probe_size(probe: &Message) -> usize {
    wire::encode_probe(probe).len()
}

/// Sends and receives the failure detector's probes. Delivery is unreliable:
/// probes may be lost, duplicated or delayed.
pub trait ProbeTransport: Send + Sync {
    /// Sends a probe. A failure to send is not reported.
    fn send(&self, to: SocketAddr, probe: Message) -> BoxFuture<'_, ()>;

    /// Waits for the next probe; returns it with the address of its sender.
    fn receive(&self) -> BoxFuture<'_, (Message, SocketAddr)>;

    /// Total payload bytes of the probes sent and received.
    fn bytes(&self) -> u64;
}

/// A UDP socket for probes that counts its payload bytes, its datagrams, and those
/// received that could not be decoded.
#[derive(Debug)]
pub struct ProbeSocket {
    socket: UdpSocket,
    traffic: Arc<Traffic>,
    bytes: AtomicU64,
    datagrams: AtomicU64,
    malformed: AtomicU64,
}

impl ProbeSocket {
    /// Binds the socket; sent bytes are added to `traffic`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(address: SocketAddr, traffic: Arc<Traffic>) -> std::io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            traffic,
            bytes: AtomicU64::new(0),
            datagrams: AtomicU64::new(0),
            malformed: AtomicU64::new(0),
        })
    }

    /// Returns the local address.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report it.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Total datagrams sent and received, also those that failed to send or decode.
    #[must_use]
    pub fn datagrams(&self) -> u64 {
        self.datagrams.load(Ordering::Relaxed)
    }

    /// Received datagrams that could not be decoded.
    #[must_use]
    pub fn malformed(&self) -> u64 {
        self.malformed.load(Ordering::Relaxed)
    }

    /// Counts one datagram of `bytes` payload bytes, sent or received.
    fn count(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.datagrams.fetch_add(1, Ordering::Relaxed);
    }
}

impl ProbeTransport for ProbeSocket {
    /// Ignores send errors: to the failure detector they equal a lost datagram.
    fn send(&self, to: SocketAddr, probe: Message) -> BoxFuture<'_, ()> {
        async move {
            let bytes = wire::encode_probe(&probe);
            self.count(bytes.len());
            let distance = self.traffic.distance(to);
            self.traffic
                .add(Purpose::Probes, distance, Direction::Out, bytes.len());
            let _ = self.socket.send_to(&bytes, to).await;
        }
        .boxed()
    }

    /// Counts and skips datagrams that can't be decoded.
    fn receive(&self) -> BoxFuture<'_, (Message, SocketAddr)> {
        async move {
            let mut buffer = vec![0; MAX_DATAGRAM];
            loop {
                let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                    // ICMP error for an earlier send to a closed port: no data
                    // is lost.
                    continue;
                };
                self.count(length);
                match wire::decode_probe(&buffer[..length]) {
                    Ok(probe) => return (probe, from),
                    Err(_) => self.malformed.fetch_add(1, Ordering::Relaxed),
                };
            }
        }
        .boxed()
    }

    fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}
