//! Cells: groups of back ends that share one routing table and lock.

use std::{collections::BTreeMap, sync::Mutex};

use chestnut_route::{Admission, Decision, Release, Table};
use chestnut_unit::{RequestId, ServiceName, Time};
use rand::Rng;
use tokio::sync::oneshot;

/// Index of a gate in its cell. A gate is an admission queue: requests of one
/// gate wait for each other. A new cell has one gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct GateId(u32);

/// The state of a cell. `X` is what a protocol front end keeps beside it.
#[derive(Debug)]
pub struct State<X> {
    /// The routing table of the back ends.
    pub table: Table,
    /// Admission state by gate.
    gates: Vec<Admission>,
    /// State of the protocol front end.
    pub extra: X,
    /// Channels on which queued requests receive their decision.
    pub(crate) waiting: BTreeMap<RequestId, oneshot::Sender<Decision>>,
}

/// A group of back ends that share one routing table and lock.
#[derive(Debug)]
pub struct Cell<X> {
    /// Its name in logs and metrics.
    pub name: ServiceName,
    /// Its state. The lock is never held across an await.
    pub state: Mutex<State<X>>,
}

impl<X> Cell<X> {
    /// Creates a cell with no running requests and one gate.
    #[must_use]
    pub fn new(name: ServiceName, table: Table, admission: Admission, extra: X) -> Self {
        let state = State {
            table,
            gates: vec![admission],
            extra,
            waiting: BTreeMap::new(),
        };
        Self {
            name,
            state: Mutex::new(state),
        }
    }
}

impl<X> State<X> {
    /// Adds a gate.
    ///
    /// # Panics
    ///
    /// Panics if there are 2^32 gates already.
    pub fn add_gate(&mut self, admission: Admission) -> GateId {
        let id = GateId(u32::try_from(self.gates.len()).expect("fewer than 2^32 gates"));
        self.gates.push(admission);
        id
    }

    /// Returns the admission state of a gate.
    pub fn gate(&mut self, id: GateId) -> &mut Admission {
        &mut self.gates[id.0 as usize]
    }

    /// Sends queued requests their decisions. If the caller of a released
    /// request has gone, its capacity goes to the next one.
    pub(crate) fn deliver(
        &mut self,
        gate: GateId,
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
                self.gate(gate).release_slot(now, rng, &mut releases);
            }
        }
    }
}
