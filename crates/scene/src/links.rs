//! The fakes at the ports to peers and for probes: links between entries that
//! can be cut, and lives that can be frozen or ended.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use chestnut_conf::{Object, ObjectKey};
use chestnut_fleet::{Member, Message};
use chestnut_once::HandedTicket;
use chestnut_port::{
    Dispatch, PeerError, PeerService, Peers, ProbeTransport, SubAnswer, SubQuery, Submission,
    SubmitReply,
};
use chestnut_route::Failure;
pub(crate) use chestnut_unit::lock;
use chestnut_unit::{Incarnation, LeafId};
use futures::{FutureExt, future::BoxFuture};
use tokio::{
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

/// One-way time between entries.
const LATENCY: Duration = Duration::from_micros(1500);
/// Longest wait for calls that state no deadline.
const CONTROL_WAIT: Duration = Duration::from_secs(2);

/// Whether a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pulse {
    Runs,
    Frozen,
    Dead,
}

/// One life of an entry's process.
pub(crate) struct Life(watch::Sender<Pulse>);

impl Life {
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(Pulse::Runs))
    }

    pub(crate) fn set(&self, pulse: Pulse) {
        self.0.send_if_modified(|now| {
            let changes = *now != Pulse::Dead && *now != pulse;
            if changes {
                *now = pulse;
            }
            changes
        });
    }

    /// Passes while the process runs, waits while it is frozen, and never
    /// returns once it is dead: nothing that it had under way goes on.
    pub(crate) async fn gate(&self) {
        let mut pulse = self.0.subscribe();
        let _ = pulse.wait_for(|pulse| *pulse == Pulse::Runs).await;
    }
}

/// A process that can be called.
#[derive(Clone)]
pub(crate) struct Process {
    pub(crate) number: usize,
    pub(crate) life: Arc<Life>,
    pub(crate) service: Arc<dyn PeerService>,
    pub(crate) inbox: mpsc::Sender<(Message, SocketAddr)>,
}

/// The network between entries.
#[derive(Default)]
pub(crate) struct Links {
    pub(crate) processes: Mutex<BTreeMap<SocketAddr, Process>>,
    pub(crate) cuts: Mutex<BTreeSet<(usize, usize)>>,
}

impl Links {
    fn find(&self, from: usize, to: SocketAddr) -> Option<Process> {
        let process = lock(&self.processes).get(&to).cloned()?;
        (!self.is_cut(from, process.number)).then_some(process)
    }

    pub(crate) fn is_cut(&self, a: usize, b: usize) -> bool {
        lock(&self.cuts).contains(&(a.min(b), a.max(b)))
    }
}

/// The port to peers of one life.
pub(crate) struct FakePeers {
    pub(crate) links: Arc<Links>,
    pub(crate) number: usize,
    pub(crate) life: Arc<Life>,
}

impl FakePeers {
    async fn call<T>(
        &self,
        to: SocketAddr,
        wait: Duration,
        call: impl AsyncFnOnce(Process) -> T,
    ) -> Result<T, PeerError> {
        self.life.gate().await;
        let Some(process) = self.links.find(self.number, to) else {
            sleep(LATENCY).await;
            return Err(PeerError::NotSent);
        };
        let there = async {
            sleep(LATENCY).await;
            process.life.gate().await;
            let answer = call(process.clone()).await;
            process.life.gate().await;
            sleep(LATENCY).await;
            answer
        };
        let answer = timeout(wait, there).await;
        self.life.gate().await;
        let cut = self.links.is_cut(self.number, process.number);
        match answer {
            Ok(answer) if !cut => Ok(answer),
            Ok(_) | Err(_) => Err(PeerError::Lost),
        }
    }
}

impl Peers for FakePeers {
    fn query(&self, to: SocketAddr, ask: SubQuery) -> BoxFuture<'_, Result<SubAnswer, PeerError>> {
        let wait = ask.deadline;
        self.call(to, wait, async move |p: Process| p.service.query(ask).await)
            .boxed()
    }

    fn submit(
        &self,
        to: SocketAddr,
        ask: Submission,
    ) -> BoxFuture<'_, Result<SubmitReply, PeerError>> {
        let wait = ask.deadline;
        self.call(to, wait, async move |p: Process| {
            // As over the real port, the keeper goes on when the caller goes.
            let task = tokio::spawn(p.service.submit(ask));
            task.await
                .unwrap_or(SubmitReply::Unknown(chestnut_unit::Reason::FateUnknown))
        })
        .boxed()
    }

    fn members(&self, to: SocketAddr) -> BoxFuture<'_, Result<Vec<Member>, PeerError>> {
        self.call(to, CONTROL_WAIT, async |p: Process| p.service.members())
            .boxed()
    }

    fn objects(
        &self,
        to: SocketAddr,
        have: BTreeMap<ObjectKey, u64>,
    ) -> BoxFuture<'_, Result<Vec<Object>, PeerError>> {
        self.call(to, CONTROL_WAIT, async move |p: Process| {
            p.service.objects(&have)
        })
        .boxed()
    }

    fn push(&self, to: SocketAddr, objects: Vec<Object>) -> BoxFuture<'_, Result<(), PeerError>> {
        self.call(to, CONTROL_WAIT, async move |p: Process| {
            p.service.push(objects);
        })
        .boxed()
    }

    fn dispatch(&self, to: SocketAddr, ask: Dispatch) -> BoxFuture<'_, Result<Bytes, Failure>> {
        let wait = ask.deadline;
        async move {
            let call = async move |p: Process| p.service.dispatch(ask).await;
            match self.call(to, wait, call).await {
                Ok(answer) => answer,
                Err(PeerError::NotSent) => Err(Failure::NotSent),
                Err(PeerError::Lost) => Err(Failure::Lost),
            }
        }
        .boxed()
    }

    fn report_leaving(
        &self,
        to: SocketAddr,
        leafs: Vec<LeafId>,
    ) -> BoxFuture<'_, Result<(), PeerError>> {
        self.call(to, CONTROL_WAIT, async move |p: Process| {
            p.service.report_leaving(leafs);
        })
        .boxed()
    }

    fn copy_refusals(&self, to: SocketAddr, batch: Bytes) -> BoxFuture<'_, Result<(), PeerError>> {
        self.call(to, CONTROL_WAIT, async move |p: Process| {
            p.service.copy_refusals(&batch);
        })
        .boxed()
    }

    fn take_tickets(
        &self,
        to: SocketAddr,
        tickets: Vec<HandedTicket>,
    ) -> BoxFuture<'_, Result<Incarnation, PeerError>> {
        self.call(to, CONTROL_WAIT, async move |p: Process| {
            p.service.take_tickets(tickets)
        })
        .boxed()
    }
}

/// The port for probes of one life.
pub(crate) struct FakeProbes {
    pub(crate) links: Arc<Links>,
    pub(crate) number: usize,
    pub(crate) address: SocketAddr,
    pub(crate) life: Arc<Life>,
    pub(crate) inbox: tokio::sync::Mutex<mpsc::Receiver<(Message, SocketAddr)>>,
}

impl ProbeTransport for FakeProbes {
    fn send(&self, to: SocketAddr, message: Message) -> BoxFuture<'_, ()> {
        async move {
            self.life.gate().await;
            let Some(process) = self.links.find(self.number, to) else {
                return;
            };
            let from = self.address;
            tokio::spawn(async move {
                sleep(LATENCY).await;
                // A full inbox loses datagrams, as a full socket buffer does.
                let _ = process.inbox.try_send((message, from));
            });
        }
        .boxed()
    }

    fn receive(&self) -> BoxFuture<'_, (Message, SocketAddr)> {
        async move {
            let mut inbox = self.inbox.lock().await;
            self.life.gate().await;
            match inbox.recv().await {
                Some(received) => {
                    self.life.gate().await;
                    received
                }
                None => std::future::pending().await,
            }
        }
        .boxed()
    }

    fn bytes(&self) -> u64 {
        0
    }
}
