//! Simulated [`Peers`] and [`ProbeTransport`] ports: links between entries that can be
//! cut, and processes that can be suspended or killed.

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

/// One-way network delay between entries.
const LATENCY: Duration = Duration::from_micros(1500);
/// Timeout of calls that have no deadline of their own.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// State of an entry's process: running, suspended or killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    /// It executes.
    Running,
    /// It is suspended and may go on later.
    Frozen,
    /// It was killed; this state is final.
    Killed,
}

/// Process state of one incarnation of an entry; suspends its calls while it
/// doesn't run.
pub(crate) struct ProcessGate(watch::Sender<RunState>);

impl ProcessGate {
    /// Creates the gate of a running process.
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(RunState::Running))
    }

    /// Changes the state, unless the process was killed.
    pub(crate) fn set(&self, state: RunState) {
        self.0.send_if_modified(|now| {
            let changes = *now != RunState::Killed && *now != state;
            if changes {
                *now = state;
            }
            changes
        });
    }

    /// Returns at once while the process runs, waits while it is frozen, and
    /// never returns once it is killed: none of its pending work continues.
    pub(crate) async fn wait_running(&self) {
        let mut state = self.0.subscribe();
        let _ = state.wait_for(|state| *state == RunState::Running).await;
    }
}

/// Process of an entry that peers can call: its gate, call handler and datagram inbox.
#[derive(Clone)]
pub(crate) struct Process {
    /// Number of the entry.
    pub(crate) number: usize,
    /// Suspends calls to the process while it doesn't run.
    pub(crate) gate: Arc<ProcessGate>,
    /// Handler of the calls of peers.
    pub(crate) service: Arc<dyn PeerService>,
    /// Receives the datagrams of its failure detector.
    pub(crate) inbox: mpsc::Sender<(Message, SocketAddr)>,
}

/// Network between the entries: their processes by address, and the pairs cut off.
#[derive(Default)]
pub(crate) struct Links {
    /// Processes by the address that peers call.
    pub(crate) processes: Mutex<BTreeMap<SocketAddr, Process>>,
    /// Pairs of entries that can't reach each other, lower number first.
    pub(crate) cuts: Mutex<BTreeSet<(usize, usize)>>,
}

impl Links {
    /// Returns the process at an address; `None` if there is none, or the link from
    /// entry `from` to it is cut.
    fn find(&self, from: usize, to: SocketAddr) -> Option<Process> {
        let process = lock(&self.processes).get(&to).cloned()?;
        (!self.is_cut(from, process.number)).then_some(process)
    }

    /// Returns whether the link between two entries is cut.
    pub(crate) fn is_cut(&self, a: usize, b: usize) -> bool {
        lock(&self.cuts).contains(&(a.min(b), a.max(b)))
    }
}

/// Simulated [`Peers`] port of one incarnation of an entry.
pub(crate) struct FakePeers {
    /// Network between the entries.
    pub(crate) links: Arc<Links>,
    /// Number of the entry.
    pub(crate) number: usize,
    /// Suspends calls while the entry doesn't run.
    pub(crate) gate: Arc<ProcessGate>,
}

impl FakePeers {
    /// Calls a peer. Fails with `NotSent` if it is unreachable at the start, and with `Lost`
    /// after the timeout `wait` or if the link is cut when the answer arrives.
    async fn call<T>(
        &self,
        to: SocketAddr,
        wait: Duration,
        call: impl AsyncFnOnce(Process) -> T,
    ) -> Result<T, PeerError> {
        self.gate.wait_running().await;
        let Some(process) = self.links.find(self.number, to) else {
            sleep(LATENCY).await;
            return Err(PeerError::NotSent);
        };
        let exchange = async {
            sleep(LATENCY).await;
            process.gate.wait_running().await;
            let answer = call(process.clone()).await;
            process.gate.wait_running().await;
            sleep(LATENCY).await;
            answer
        };
        let answer = timeout(wait, exchange).await;
        self.gate.wait_running().await;
        let cut = self.links.is_cut(self.number, process.number);
        match answer {
            Ok(answer) if !cut => Ok(answer),
            Ok(_) | Err(_) => Err(PeerError::Lost),
        }
    }
}

impl Peers for FakePeers {
    /// Runs a sub-query on the target process through `call`, within the sub-query's
    /// deadline; fails when it passes.
    fn query(&self, to: SocketAddr, ask: SubQuery) -> BoxFuture<'_, Result<SubAnswer, PeerError>> {
        let wait = ask.deadline;
        self.call(to, wait, async move |p: Process| p.service.query(ask).await)
            .boxed()
    }

    /// Runs a submission on the target process through `call`, within its deadline. Fails when
    /// it passes, but the target goes on; replies `Unknown` if the target's task panics.
    fn submit(
        &self,
        to: SocketAddr,
        ask: Submission,
    ) -> BoxFuture<'_, Result<SubmitReply, PeerError>> {
        let wait = ask.deadline;
        self.call(to, wait, async move |p: Process| {
            // As over the real port, the submission continues when its caller
            // disconnects.
            let task = tokio::spawn(p.service.submit(ask));
            task.await
                .unwrap_or(SubmitReply::Unknown(chestnut_unit::Reason::FateUnknown))
        })
        .boxed()
    }

    /// Reads the members known to the target process through `call`; fails after
    /// [`CONTROL_TIMEOUT`].
    fn members(&self, to: SocketAddr) -> BoxFuture<'_, Result<Vec<Member>, PeerError>> {
        self.call(to, CONTROL_TIMEOUT, async |p: Process| p.service.members())
            .boxed()
    }

    /// Runs `objects` on the target process through `call`, with the versions in `have`;
    /// fails after [`CONTROL_TIMEOUT`].
    fn objects(
        &self,
        to: SocketAddr,
        have: BTreeMap<ObjectKey, u64>,
    ) -> BoxFuture<'_, Result<Vec<Object>, PeerError>> {
        self.call(to, CONTROL_TIMEOUT, async move |p: Process| {
            p.service.objects(&have)
        })
        .boxed()
    }

    /// Hands objects to the target process through `call`; fails after [`CONTROL_TIMEOUT`].
    fn push(&self, to: SocketAddr, objects: Vec<Object>) -> BoxFuture<'_, Result<(), PeerError>> {
        self.call(to, CONTROL_TIMEOUT, async move |p: Process| {
            p.service.push(objects);
        })
        .boxed()
    }

    /// Runs a dispatch on the target process through `call`, within its deadline. Fails with
    /// the target's failure, or with `NotSent` or `Lost` if the call fails.
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

    /// Reports leaving leafs to the target process through `call`; fails after
    /// [`CONTROL_TIMEOUT`].
    fn report_leaving(
        &self,
        to: SocketAddr,
        leafs: Vec<LeafId>,
    ) -> BoxFuture<'_, Result<(), PeerError>> {
        self.call(to, CONTROL_TIMEOUT, async move |p: Process| {
            p.service.report_leaving(leafs);
        })
        .boxed()
    }

    /// Hands a batch of refusals to the target process through `call`; fails after
    /// [`CONTROL_TIMEOUT`].
    fn copy_refusals(&self, to: SocketAddr, batch: Bytes) -> BoxFuture<'_, Result<(), PeerError>> {
        self.call(to, CONTROL_TIMEOUT, async move |p: Process| {
            p.service.copy_refusals(&batch);
        })
        .boxed()
    }

    /// Hands tickets to the target process through `call` and returns the incarnation that it
    /// replies; fails after [`CONTROL_TIMEOUT`].
    fn take_tickets(
        &self,
        to: SocketAddr,
        tickets: Vec<HandedTicket>,
    ) -> BoxFuture<'_, Result<Incarnation, PeerError>> {
        self.call(to, CONTROL_TIMEOUT, async move |p: Process| {
            p.service.take_tickets(tickets)
        })
        .boxed()
    }
}

/// Simulated [`ProbeTransport`] port of one incarnation of an entry: datagrams of the
/// failure detector.
pub(crate) struct FakeProbes {
    /// Network between the entries.
    pub(crate) links: Arc<Links>,
    /// Number of the entry.
    pub(crate) number: usize,
    /// Address that its datagrams are sent from.
    pub(crate) address: SocketAddr,
    /// Suspends sending and receiving while the entry doesn't run.
    pub(crate) gate: Arc<ProcessGate>,
    /// Datagrams received and not yet read.
    pub(crate) inbox: tokio::sync::Mutex<mpsc::Receiver<(Message, SocketAddr)>>,
}

impl ProbeTransport for FakeProbes {
    fn send(&self, to: SocketAddr, message: Message) -> BoxFuture<'_, ()> {
        async move {
            self.gate.wait_running().await;
            let Some(process) = self.links.find(self.number, to) else {
                return;
            };
            let from = self.address;
            tokio::spawn(async move {
                sleep(LATENCY).await;
                // A full inbox drops datagrams, as a full socket buffer does.
                let _ = process.inbox.try_send((message, from));
            });
        }
        .boxed()
    }

    fn receive(&self) -> BoxFuture<'_, (Message, SocketAddr)> {
        async move {
            let mut inbox = self.inbox.lock().await;
            self.gate.wait_running().await;
            match inbox.recv().await {
                Some(received) => {
                    self.gate.wait_running().await;
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
