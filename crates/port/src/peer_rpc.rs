//! The adapter to peers: Cap'n Proto calls over TCP.
//!
//! The library's objects stay on one thread, so the adapter has a thread of
//! its own with a local task set. Calls reach it through a bounded channel and
//! answers come back through one-shot channels; `docs/design/peers.md` has the
//! measured cost of that hop.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use chestnut_conf::{Object, ObjectKey};
use chestnut_fleet::Member;
use chestnut_once::Handed;
use chestnut_route::Failure;
use chestnut_unit::{Incarnation, LeafId};
use futures::{FutureExt, future::BoxFuture};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Handle,
    sync::{mpsc, oneshot},
    task::{LocalSet, spawn_local},
    time::{Instant, timeout},
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{
    Dispatch, PeerError, PeerService, Peers, SubAnswer, SubQuery, Submission, SubmitReply,
    peer_capnp::peer, peer_serve::Session, wire,
};

/// Calls that wait for the peer thread; past it a call is not sent.
const QUEUE: usize = 1024;
/// Longest wait for a connection to a peer.
const CONNECT: Duration = Duration::from_millis(500);
/// Longest wait for calls that state no deadline.
const CONTROL_WAIT: Duration = Duration::from_secs(2);
/// Time without any answer after which a connection on which a call timed out
/// is dropped: it may be silent for good, and a new one may work.
const SILENT_MAX: Duration = Duration::from_secs(1);

type Job = Box<dyn FnOnce(Rc<Local>) + Send>;

/// The peer side of an entry. Dropping it ends its thread.
#[derive(Clone, Debug)]
pub struct PeerNet {
    jobs: mpsc::Sender<Job>,
    address: SocketAddr,
}

impl PeerNet {
    /// Binds `address`, serves peers' calls by `service`, and returns the
    /// handle by which peers are called.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind(address: SocketAddr, service: Arc<dyn PeerService>) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (jobs, queue) = mpsc::channel(QUEUE);
        let runtime = Handle::current();
        std::thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || run(listener, service, runtime, queue))?;
        Ok(Self { jobs, address })
    }

    /// Where peers connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs `call` on the peer thread, and gives up on it after `wait`.
    async fn run<T, C, F>(&self, to: SocketAddr, wait: Duration, call: C) -> Result<T, PeerError>
    where
        T: Send + 'static,
        C: FnOnce(peer::Client) -> F + Send + 'static,
        F: Future<Output = Result<T, capnp::Error>> + 'static,
    {
        let (answer, answered) = oneshot::channel();
        let job: Job = Box::new(move |local| {
            spawn_local(async move {
                let mut answer = answer;
                tokio::select! {
                    result = one_call(&local, to, wait, call) => {
                        // A caller that has gone away needs no answer.
                        let _ = answer.send(result);
                    }
                    () = answer.closed() => {}
                }
            });
        });
        self.jobs.try_send(job).map_err(|_| PeerError::NotSent)?;
        answered.await.unwrap_or(Err(PeerError::Lost))
    }
}

impl Peers for PeerNet {
    fn query(&self, to: SocketAddr, ask: SubQuery) -> BoxFuture<'_, Result<SubAnswer, PeerError>> {
        let wait = ask.deadline;
        self.run(to, wait, move |client| async move {
            let mut request = client.query_request();
            wire::put_query(&ask, request.get().init_ask());
            let answer = request.send().promise.await?;
            wire::get_answer(answer.get()?.get_answer()?)
        })
        .boxed()
    }

    fn submit(
        &self,
        to: SocketAddr,
        ask: Submission,
    ) -> BoxFuture<'_, Result<SubmitReply, PeerError>> {
        let wait = ask.deadline;
        self.run(to, wait, move |client| async move {
            let mut request = client.submit_request();
            wire::put_submission(&ask, request.get().init_ask());
            let answer = request.send().promise.await?;
            wire::get_reply(answer.get()?.get_outcome()?)
        })
        .boxed()
    }

    fn members(&self, to: SocketAddr) -> BoxFuture<'_, Result<Vec<Member>, PeerError>> {
        self.run(to, CONTROL_WAIT, move |client| async move {
            let answer = client.members_request().send().promise.await?;
            wire::get_members(answer.get()?.get_members()?)
        })
        .boxed()
    }

    fn objects(
        &self,
        to: SocketAddr,
        have: BTreeMap<ObjectKey, u64>,
    ) -> BoxFuture<'_, Result<Vec<Object>, PeerError>> {
        self.run(to, CONTROL_WAIT, move |client| async move {
            let mut request = client.objects_request();
            let list = request.get().init_have(have.len() as u32);
            wire::put_have(&have, list);
            let answer = request.send().promise.await?;
            wire::get_objects(answer.get()?.get_objects()?)
        })
        .boxed()
    }

    fn push(&self, to: SocketAddr, objects: Vec<Object>) -> BoxFuture<'_, Result<(), PeerError>> {
        self.run(to, CONTROL_WAIT, move |client| async move {
            let mut request = client.push_request();
            let list = request.get().init_objects(objects.len() as u32);
            wire::put_objects(&objects, list);
            request.send().promise.await?;
            Ok(())
        })
        .boxed()
    }

    fn dispatch(&self, to: SocketAddr, ask: Dispatch) -> BoxFuture<'_, Result<Bytes, Failure>> {
        let wait = ask.deadline;
        let call = self.run(to, wait, move |client| async move {
            let mut request = client.dispatch_request();
            wire::put_dispatch(&ask, request.get().init_ask());
            let answer = request.send().promise.await?;
            wire::get_dispatched(answer.get()?.get_answer()?)
        });
        call.map(|result| match result {
            Ok(answer) => answer,
            Err(PeerError::NotSent) => Err(Failure::NotSent),
            Err(PeerError::Lost) => Err(Failure::Lost),
        })
        .boxed()
    }

    fn leaving(&self, to: SocketAddr, leafs: Vec<LeafId>) -> BoxFuture<'_, Result<(), PeerError>> {
        self.run(to, CONTROL_WAIT, move |client| async move {
            let mut request = client.leaving_request();
            let mut list = request.get().init_leafs(leafs.len() as u32);
            for (at, leaf) in (0u32..).zip(&leafs) {
                list.set(at, leaf.as_str());
            }
            request.send().promise.await?;
            Ok(())
        })
        .boxed()
    }

    fn records(&self, to: SocketAddr, batch: Bytes) -> BoxFuture<'_, Result<(), PeerError>> {
        self.run(to, CONTROL_WAIT, move |client| async move {
            let mut request = client.records_request();
            request.get().set_batch(&batch);
            request.send().promise.await?;
            Ok(())
        })
        .boxed()
    }

    fn adopt(
        &self,
        to: SocketAddr,
        tickets: Vec<Handed>,
    ) -> BoxFuture<'_, Result<Incarnation, PeerError>> {
        self.run(to, CONTROL_WAIT, move |client| async move {
            let mut request = client.adopt_request();
            let list = request.get().init_tickets(tickets.len() as u32);
            wire::put_handed(&tickets, list);
            let answer = request.send().promise.await?;
            Ok(Incarnation(answer.get()?.get_life()))
        })
        .boxed()
    }
}

/// A connection to one peer.
struct Line {
    client: peer::Client,
    heard: Cell<Instant>,
    open: Cell<bool>,
}

/// What lives on the peer thread.
#[derive(Default)]
struct Local {
    lines: RefCell<BTreeMap<SocketAddr, Rc<Line>>>,
}

fn run(
    listener: std::net::TcpListener,
    service: Arc<dyn PeerService>,
    runtime: Handle,
    mut queue: mpsc::Receiver<Job>,
) {
    let local_runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime on one thread can be built");
    LocalSet::new().block_on(&local_runtime, async move {
        let listener = TcpListener::from_std(listener).expect("the socket is non-blocking");
        let accept = spawn_local(accept(listener, service, runtime));
        let local = Rc::new(Local::default());
        while let Some(job) = queue.recv().await {
            job(local.clone());
        }
        accept.abort();
    });
}

async fn accept(listener: TcpListener, service: Arc<dyn PeerService>, runtime: Handle) {
    /// Rest after a failed accept, which is mostly a lack of descriptors.
    const REST: Duration = Duration::from_millis(50);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(REST).await;
            continue;
        };
        let session = Session {
            service: service.clone(),
            runtime: runtime.clone(),
        };
        let client: peer::Client = capnp_rpc::new_client(session);
        let network = network(stream, Side::Server);
        let system = RpcSystem::new(network, Some(client.client));
        // A broken message ends this connection and nothing else.
        spawn_local(system.map(drop));
    }
}

fn network(stream: TcpStream, side: Side) -> Box<twoparty::VatNetwork<impl futures::AsyncRead>> {
    // Without it each small message waits for the one before to be confirmed.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    Box::new(twoparty::VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        side,
        wire::reader_options(),
    ))
}

async fn one_call<T, C, F>(
    local: &Rc<Local>,
    to: SocketAddr,
    wait: Duration,
    call: C,
) -> Result<T, PeerError>
where
    C: FnOnce(peer::Client) -> F,
    F: Future<Output = Result<T, capnp::Error>>,
{
    let line = line_to(local, to, wait).await?;
    match timeout(wait, call(line.client.clone())).await {
        Ok(Ok(answer)) => {
            line.heard.set(Instant::now());
            Ok(answer)
        }
        Ok(Err(error)) => {
            if error.kind == capnp::ErrorKind::Disconnected {
                drop_line(local, to, &line);
            }
            Err(PeerError::Lost)
        }
        Err(_) => {
            if line.heard.get().elapsed() > SILENT_MAX {
                drop_line(local, to, &line);
            }
            Err(PeerError::Lost)
        }
    }
}

async fn line_to(local: &Rc<Local>, to: SocketAddr, wait: Duration) -> Result<Rc<Line>, PeerError> {
    if let Some(line) = local.lines.borrow().get(&to)
        && line.open.get()
    {
        return Ok(line.clone());
    }
    let stream = timeout(CONNECT.min(wait), TcpStream::connect(to))
        .await
        .map_err(|_| PeerError::NotSent)?
        .map_err(|_| PeerError::NotSent)?;
    let mut system = RpcSystem::new(network(stream, Side::Client), None);
    let line = Rc::new(Line {
        client: system.bootstrap(Side::Server),
        heard: Cell::new(Instant::now()),
        open: Cell::new(true),
    });
    let (watched, keeper) = (line.clone(), local.clone());
    spawn_local(async move {
        let _ = system.await;
        drop_line(&keeper, to, &watched);
    });
    local.lines.borrow_mut().insert(to, line.clone());
    Ok(line)
}

/// Forgets a connection, unless a newer one has taken its place.
fn drop_line(local: &Rc<Local>, to: SocketAddr, line: &Rc<Line>) {
    line.open.set(false);
    let mut lines = local.lines.borrow_mut();
    if lines.get(&to).is_some_and(|now| Rc::ptr_eq(now, line)) {
        lines.remove(&to);
    }
}
