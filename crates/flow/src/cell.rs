//! What an entry keeps of back ends that are decided on together.

use std::{collections::BTreeMap, sync::Mutex};

use chestnut_route::{Admission, Decision, Release, Table};
use chestnut_unit::{RequestId, ServiceName, Time};
use rand::Rng;
use tokio::sync::oneshot;

/// The tables of a cell. `X` is what a face keeps beside them.
#[derive(Debug)]
pub struct State<X> {
    /// What is known of the back ends.
    pub table: Table,
    /// Which requests run, wait or are refused.
    pub admission: Admission,
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
            admission,
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
    /// Tells waiting requests what became of them. One whose caller has gone
    /// gives its place to the next.
    pub(crate) fn deliver(&mut self, mut releases: Vec<Release>, now: Time, rng: &mut dyn Rng) {
        while let Some(release) = releases.pop() {
            let told = self
                .waiting
                .remove(&release.id)
                .is_some_and(|waiter| waiter.send(release.decision).is_ok());
            if !told && release.decision == Decision::Run {
                self.admission.give_back(now, rng, &mut releases);
            }
        }
    }
}
