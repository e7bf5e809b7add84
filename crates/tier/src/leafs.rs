//! What leafs say of themselves, and what is said of them.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use chestnut_port::{LeafState, Vm, VmRole};
use chestnut_unit::LeafId;
use futures::future::join_all;
use slog::info;
use tokio::time::sleep;

use crate::{
    service::{Service, held, mark_leaving},
    shared::{Shared, lock},
};

/// Time between two readings of a leaf's health and load endpoint. A leaf
/// that is leaving is known to its holders within this time of its own mark.
const READ_EVERY: Duration = Duration::from_secs(1);
/// Factor by which a leaf that calls itself sick looks worse. It may lie, so
/// it is passed over only while others are free.
const SICK: f64 = 2.0;

/// Reads the endpoints of all held leafs again and again.
pub(crate) async fn watch(shared: Arc<Shared>) {
    loop {
        sleep(READ_EVERY).await;
        for service in shared.services() {
            let reads = held(&service).into_iter().map(|(_, id, address)| {
                let targets = shared.targets.clone();
                async move { (id.clone(), targets.state(id, address).await) }
            });
            for (id, state) in join_all(reads).await {
                if let Some(state) = state {
                    note(&shared, &service, &id, &state);
                }
            }
        }
    }
}

fn note(shared: &Shared, service: &Service, id: &LeafId, said: &LeafState) {
    let now = shared.now();
    let listed = lock(&shared.leaving).contains(id);
    if mark_leaving(service, id, said.draining || listed, now) {
        let word = if said.draining || listed {
            "leaving"
        } else {
            "back"
        };
        info!(shared.host.log, "hold: leaf {id} is {word}";
            "service" => %service.name, "why" => "its own mark");
    }
    let mut state = lock(&service.state);
    let Some(ix) = state.table.find(&chestnut_route::Backend::Leaf(id.clone())) else {
        return;
    };
    let factor = if said.healthy {
        1.0 + said.load.max(0.0)
    } else {
        SICK
    };
    state.table.set_hint(ix, factor);
}

/// Takes the platform's list of VMs: leafs on it that are leaving get no new
/// work. A leaf that was listed as leaving stays so until the list no longer
/// names it: the list lags, and an older copy of it must not bring the leaf
/// back into use while it drains.
pub(crate) fn take_list(shared: &Shared, vms: &[Vm]) -> Vec<LeafId> {
    let named: BTreeSet<LeafId> = vms
        .iter()
        .filter(|vm| vm.role == VmRole::Leaf)
        .filter_map(|vm| LeafId::new(&vm.name).ok())
        .collect();
    lock(&shared.leaving).retain(|id| named.contains(id));
    let leaving: Vec<LeafId> = vms
        .iter()
        .filter(|vm| vm.role == VmRole::Leaf && vm.leaving)
        .filter_map(|vm| LeafId::new(&vm.name).ok())
        .collect();
    mark_listed(shared, &leaving, "the platform's list")
}

/// Marks leafs as leaving; returns those that were not yet.
pub(crate) fn mark_listed(shared: &Shared, named: &[LeafId], why: &'static str) -> Vec<LeafId> {
    let now = shared.now();
    let mut new = Vec::new();
    for id in named {
        if !lock(&shared.leaving).insert(id.clone()) {
            continue;
        }
        new.push(id.clone());
        for service in shared.services() {
            if mark_leaving(&service, id, true, now) {
                info!(shared.host.log, "hold: leaf {id} is leaving";
                    "service" => %service.name, "why" => why);
            }
        }
    }
    new
}
