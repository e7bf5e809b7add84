//! The server side of the peer protocol.

use std::{rc::Rc, sync::Arc};

use capnp::Error;
use tokio::runtime::Handle;
use tokio_util::task::AbortOnDropHandle;

use crate::{PeerService, peer_capnp::peer, wire};

/// Serves the calls of one connection by passing them to the entry's runtime.
pub(crate) struct Session {
    /// The entry's implementation of the calls.
    pub(crate) service: Arc<dyn PeerService>,
    /// The runtime on which calls run.
    pub(crate) runtime: Handle,
}

impl peer::Server for Session {
    /// Serves a query on the entry's runtime; a cancelled call aborts it.
    async fn query(
        self: Rc<Self>,
        params: peer::QueryParams,
        mut results: peer::QueryResults,
    ) -> Result<(), Error> {
        let ask = wire::get_query(params.get()?.get_ask()?)?;
        let task = self.runtime.spawn(self.service.query(ask));
        // A cancelled call drops this future, which aborts the task.
        let answer = AbortOnDropHandle::new(task).await.map_err(rpc_error)?;
        wire::put_answer(&answer, results.get().init_answer());
        Ok(())
    }

    /// Runs a submission on the entry's runtime to its end, even if the call is cancelled.
    async fn submit(
        self: Rc<Self>,
        params: peer::SubmitParams,
        mut results: peer::SubmitResults,
    ) -> Result<(), Error> {
        let ask = wire::get_submission(params.get()?.get_ask()?)?;
        // Not aborted with the call: the keeper must record the outcome even if the
        // entry that passed the submission on has disconnected.
        let task = self.runtime.spawn(self.service.submit(ask));
        let reply = task.await.map_err(rpc_error)?;
        wire::put_reply(&reply, results.get().init_outcome());
        Ok(())
    }

    /// Passes a submission to a leaf on the entry's runtime; a cancelled call aborts it.
    async fn dispatch(
        self: Rc<Self>,
        params: peer::DispatchParams,
        mut results: peer::DispatchResults,
    ) -> Result<(), Error> {
        let ask = wire::get_dispatch(params.get()?.get_ask()?)?;
        let task = self.runtime.spawn(self.service.dispatch(ask));
        let answer = AbortOnDropHandle::new(task).await.map_err(rpc_error)?;
        wire::put_dispatched(&answer, results.get().init_answer());
        Ok(())
    }

    /// Records the leafs that a peer reports as leaving.
    async fn leaving(
        self: Rc<Self>,
        params: peer::LeavingParams,
        _: peer::LeavingResults,
    ) -> Result<(), Error> {
        let leafs = wire::get_leafs(params.get()?.get_leafs()?)?;
        self.service.report_leaving(leafs);
        Ok(())
    }

    /// Stores a copy of a peer's batch of refusal records.
    async fn records(
        self: Rc<Self>,
        params: peer::RecordsParams,
        _: peer::RecordsResults,
    ) -> Result<(), Error> {
        self.service.copy_refusals(params.get()?.get_batch()?);
        Ok(())
    }

    /// Replies with the full member list.
    async fn members(
        self: Rc<Self>,
        _: peer::MembersParams,
        mut results: peer::MembersResults,
    ) -> Result<(), Error> {
        let members = self.service.members();
        let list = results.get().init_members(members.len() as u32);
        wire::put_members(&members, list);
        Ok(())
    }

    /// Replies with the objects that are newer here than the versions sent.
    async fn objects(
        self: Rc<Self>,
        params: peer::ObjectsParams,
        mut results: peer::ObjectsResults,
    ) -> Result<(), Error> {
        let have = wire::get_versions(params.get()?.get_have()?)?;
        let objects = self.service.objects(&have);
        let list = results.get().init_objects(objects.len() as u32);
        wire::put_objects(&objects, list);
        Ok(())
    }

    /// Applies objects that the peer accepted.
    async fn push(
        self: Rc<Self>,
        params: peer::PushParams,
        _: peer::PushResults,
    ) -> Result<(), Error> {
        let objects = wire::get_objects(params.get()?.get_objects()?)?;
        self.service.push(objects);
        Ok(())
    }

    /// Takes over tickets and replies with this entry's incarnation.
    async fn adopt(
        self: Rc<Self>,
        params: peer::AdoptParams,
        mut results: peer::AdoptResults,
    ) -> Result<(), Error> {
        let tickets = wire::get_handover(params.get()?.get_tickets()?)?;
        let incarnation = self.service.take_tickets(tickets);
        results.get().set_life(incarnation.0);
        Ok(())
    }
}

/// Converts the failure of a task, such as a panic, to a failed capnp call.
fn rpc_error(error: tokio::task::JoinError) -> Error {
    Error::failed(error.to_string())
}
