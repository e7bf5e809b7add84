//! The adapter for peers: Cap'n Proto calls over TCP.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use chestnut_conf::{Object, ObjectKey};
use chestnut_fleet::Member;
use chestnut_once::HandedTicket;
use chestnut_route::Failure;
use chestnut_unit::{Incarnation, LeafId};
use futures::{FutureExt, future::BoxFuture};
use tokio::runtime::Handle;

use crate::{
    Dispatch, PeerError, PeerService, Peers, SubAnswer, SubQuery, Submission, SubmitReply,
    peer_capnp::peer,
    peer_serve::Session,
    rpc::{CallTimeout, EndpointLimits, RpcEndpoint},
    wire,
};

/// Timeout of calls without a deadline, extended while bytes arrive: an entry that starts
/// reads all objects of a peer.
const TIMEOUT: CallTimeout = CallTimeout::Idle(Duration::from_secs(2));

/// Limits of the server: calls may be as long as answers, as they hold requests and objects.
const LIMITS: EndpointLimits = EndpointLimits {
    connections: 4096,
    call_words: wire::MAX_MESSAGE_WORDS,
};

/// Server and client of the peer protocol. Dropping the last clone ends its thread. Its
/// bytes are not counted as traffic.
#[derive(Clone, Debug)]
pub struct PeerRpc {
    endpoint: RpcEndpoint<peer::Client>,
}

impl PeerRpc {
    /// Binds `address`, serves `service` there, and returns a handle for calls to
    /// peers.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(address: SocketAddr, service: Arc<dyn PeerService>) -> std::io::Result<Self> {
        let runtime = Handle::current();
        let serve = move || {
            let session = Session {
                service: service.clone(),
                runtime: runtime.clone(),
            };
            let client: peer::Client = capnp_rpc::new_client(session);
            client.client
        };
        Ok(Self {
            endpoint: RpcEndpoint::bind(address, Arc::new(serve), Arc::default(), LIMITS)?,
        })
    }

    /// Returns the address that peers connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.endpoint.address()
    }
}

impl Peers for PeerRpc {
    /// Calls with the query's deadline as a fixed timeout.
    fn query(&self, to: SocketAddr, ask: SubQuery) -> BoxFuture<'_, Result<SubAnswer, PeerError>> {
        let wait = ask.deadline;
        self.endpoint
            .call(
                to,
                CallTimeout::Fixed(wait),
                move |client: peer::Client| async move {
                    let mut request = client.query_request();
                    wire::put_query(&ask, request.get().init_ask());
                    let answer = request.send().promise.await?;
                    wire::get_answer(answer.get()?.get_answer()?)
                },
            )
            .boxed()
    }

    /// Calls with the submission's deadline as a fixed timeout.
    fn submit(
        &self,
        to: SocketAddr,
        ask: Submission,
    ) -> BoxFuture<'_, Result<SubmitReply, PeerError>> {
        let wait = ask.deadline;
        self.endpoint
            .call(
                to,
                CallTimeout::Fixed(wait),
                move |client: peer::Client| async move {
                    let mut request = client.submit_request();
                    wire::put_submission(&ask, request.get().init_ask());
                    let answer = request.send().promise.await?;
                    wire::get_reply(answer.get()?.get_outcome()?)
                },
            )
            .boxed()
    }

    fn members(&self, to: SocketAddr) -> BoxFuture<'_, Result<Vec<Member>, PeerError>> {
        self.endpoint
            .call(to, TIMEOUT, move |client: peer::Client| async move {
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
        self.endpoint
            .call(to, TIMEOUT, move |client: peer::Client| async move {
                let mut request = client.objects_request();
                let list = request.get().init_have(have.len() as u32);
                wire::put_versions(&have, list);
                let answer = request.send().promise.await?;
                wire::get_objects(answer.get()?.get_objects()?)
            })
            .boxed()
    }

    fn push(&self, to: SocketAddr, objects: Vec<Object>) -> BoxFuture<'_, Result<(), PeerError>> {
        self.endpoint
            .call(to, TIMEOUT, move |client: peer::Client| async move {
                let mut request = client.push_request();
                let list = request.get().init_objects(objects.len() as u32);
                wire::put_objects(&objects, list);
                request.send().promise.await?;
                Ok(())
            })
            .boxed()
    }

    /// Calls with the submission's deadline as a fixed timeout. A failed call becomes
    /// [`Failure::NotSent`] or [`Failure::Lost`].
    fn dispatch(&self, to: SocketAddr, ask: Dispatch) -> BoxFuture<'_, Result<Bytes, Failure>> {
        let wait = ask.deadline;
        let call = self.endpoint.call(
            to,
            CallTimeout::Fixed(wait),
            move |client: peer::Client| async move {
                let mut request = client.dispatch_request();
                wire::put_dispatch(&ask, request.get().init_ask());
                let answer = request.send().promise.await?;
                wire::get_dispatched(answer.get()?.get_answer()?)
            },
        );
        call.map(|result| match result {
            Ok(answer) => answer,
            Err(PeerError::NotSent) => Err(Failure::NotSent),
            Err(PeerError::Lost) => Err(Failure::Lost),
        })
        .boxed()
    }

    fn report_leaving(
        &self,
        to: SocketAddr,
        leafs: Vec<LeafId>,
    ) -> BoxFuture<'_, Result<(), PeerError>> {
        self.endpoint
            .call(to, TIMEOUT, move |client: peer::Client| async move {
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

    fn copy_refusals(&self, to: SocketAddr, batch: Bytes) -> BoxFuture<'_, Result<(), PeerError>> {
        self.endpoint
            .call(to, TIMEOUT, move |client: peer::Client| async move {
                let mut request = client.records_request();
                request.get().set_batch(&batch);
                request.send().promise.await?;
                Ok(())
            })
            .boxed()
    }

    fn take_tickets(
        &self,
        to: SocketAddr,
        tickets: Vec<HandedTicket>,
    ) -> BoxFuture<'_, Result<Incarnation, PeerError>> {
        self.endpoint
            .call(to, TIMEOUT, move |client: peer::Client| async move {
                let mut request = client.adopt_request();
                let list = request.get().init_tickets(tickets.len() as u32);
                wire::put_handover(&tickets, list);
                let answer = request.send().promise.await?;
                Ok(Incarnation(answer.get()?.get_life()))
            })
            .boxed()
    }
}
