//! Cells: groups of back ends that share one routing table and lock.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use chestnut_route::{Admission, Decision, Release, Table, WaiterId};
use chestnut_unit::{RequestId, ServiceName, Time};
use rand::Rng;
use tokio::sync::{Notify, oneshot};

/// Index of an admission queue in its cell. Each queue has its own [`Admission`],
/// so requests of different queues don't wait for each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueId(u32);

/// The part of a cell behind its lock: the routing table, the admission queues
/// and the channels of queued requests. `X` is what a protocol front end keeps
/// beside them.
#[derive(Debug)]
pub struct CellState<X> {
    /// The routing table of the back ends.
    pub table: Table,
    /// Admission by queue; a [`QueueId`] is an index into it.
    queues: Vec<Admission>,
    /// What the protocol front end keeps in the cell.
    pub extra: X,
    /// Channels on which queued requests receive their decision.
    pub(crate) waiting: BTreeMap<RequestId, oneshot::Sender<Decision>>,
    /// Notifies the tasks of queries in the table's capacity queue.
    pub(crate) waiters: BTreeMap<WaiterId, Arc<Notify>>,
}

/// A group of back ends that share one routing table and lock.
#[derive(Debug)]
pub struct Cell<X> {
    /// Its name in logs and metrics.
    pub name: ServiceName,
    /// The table, the queues and the front end's part. The lock is never held
    /// across an await.
    pub state: Mutex<CellState<X>>,
}

impl<X> Cell<X> {
    /// Creates a cell without running requests, with `admission` as its one
    /// queue.
    #[must_use]
    pub fn new(name: ServiceName, table: Table, admission: Admission, extra: X) -> Self {
        let state = CellState {
            table,
            queues: vec![admission],
            extra,
            waiting: BTreeMap::new(),
            waiters: BTreeMap::new(),
        };
        Self {
            name,
            state: Mutex::new(state),
        }
    }
}

impl<X> CellState<X> {
    /// Adds an admission queue and returns its id.
    ///
    /// # Panics
    ///
    /// Panics if there are 2^32 queues already.
    pub fn add_queue(&mut self, admission: Admission) -> QueueId {
        let id = QueueId(u32::try_from(self.queues.len()).expect("fewer than 2^32 queues"));
        self.queues.push(admission);
        id
    }

    /// Returns the admission of a queue.
    ///
    /// # Panics
    ///
    /// Panics if the id comes from a cell with more queues.
    pub fn queue(&mut self, id: QueueId) -> &mut Admission {
        &mut self.queues[id.0 as usize]
    }

    /// Wakes the tasks of the queries that the table's capacity queue names. Queries do this
    /// after each of their events. Call it after other changes of the table that may free
    /// capacity or remove back ends; otherwise queued queries learn of them with the next event
    /// of any query.
    pub fn wake_queries(&mut self) {
        for id in self.table.take_woken() {
            if let Some(waiter) = self.waiters.get(&id) {
                waiter.notify_one();
            }
        }
    }

    /// Sends queued requests their decisions. If the caller of a request that
    /// may now run has gone, its capacity goes to the next one in `queue`.
    pub(crate) fn deliver(
        &mut self,
        queue: QueueId,
        mut releases: Vec<Release>,
        now: Time,
        rng: &mut dyn Rng,
    ) {
        while let Some(release) = releases.pop() {
            let delivered = self
                .waiting
                .remove(&release.id)
                .is_some_and(|waiter| waiter.send(release.decision).is_ok());
            if !delivered && release.decision == Decision::Run {
                self.queue(queue).release_slot(now, rng, &mut releases);
            }
        }
    }
}
