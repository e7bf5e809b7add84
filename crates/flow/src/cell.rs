//! What an entry keeps of back ends that are decided on together.

use std::{collections::BTreeMap, sync::Mutex};

use chestnut_route::{Admission, Decision, Release, Table};
use chestnut_unit::{RequestId, ServiceName, Time};
use rand::Rng;
use tokio::sync::oneshot;

/// Number of a gate in its cell. Requests of one gate wait for each other; a
/// cell has one gate until more are added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct GateId(u32);

/// The tables of a cell. `X` is what a face keeps beside them.
#[derive(Debug)]
pub struct State<X> {
    /// What is known of the back ends.
    pub table: Table,
    /// Which requests run, wait or are refused, by gate.
    gates: Vec<Admission>,
    /// What the face keeps.
    pub extra: X,
    pub(crate) waiting: BTreeMap<RequestId, oneshot::Sender<Decision>>,
}

/// Back ends that are decided on together, behind one lock.
#[derive(Debug)]
pub struct Cell<X> {
    /// Its name, for logs and metrics.
    pub name: ServiceName,
    /// Its tables. The lock is never held across an await.
    pub state: Mutex<State<X>>,
}

impl<X> Cell<X> {
    /// A cell with nothing running.
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
    /// There are 2^32 gates already.
    pub fn add_gate(&mut self, admission: Admission) -> GateId {
        let id = GateId(u32::try_from(self.gates.len()).expect("fewer than 2^32 gates"));
        self.gates.push(admission);
        id
    }

    /// Which requests of a gate run, wait or are refused.
    pub fn gate(&mut self, id: GateId) -> &mut Admission {
        &mut self.gates[id.0 as usize]
    }

    /// Tells waiting requests what became of them. One whose caller has gone
    /// gives its place to the next.
    pub(crate) fn deliver(
        &mut self,
        gate: GateId,
        mut releases: Vec<Release>,
        now: Time,
        rng: &mut dyn Rng,
    ) {
        while let Some(release) = releases.pop() {
            let told = self
                .waiting
                .remove(&release.id)
                .is_some_and(|waiter| waiter.send(release.decision).is_ok());
            if !told && release.decision == Decision::Run {
                self.gate(gate).release_slot(now, rng, &mut releases);
            }
        }
    }
}
