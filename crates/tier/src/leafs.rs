//! Health, load and draining state of leafs, from their own endpoint, the
//! platform and peers.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use chestnut_port::{LeafState, Vm, VmRole};
use chestnut_unit::LeafId;
use futures::future::join_all;
use slog::info;
use tokio::time::sleep;

use crate::{
    service::{Service, held_leafs, mark_leaving},
    shared::{Shared, lock},
};

/// Interval between polls of a leaf's health and load endpoint; bounds the delay
/// until a draining leaf gets no new work.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Cost factor of a leaf that reports itself unhealthy. The report may be wrong,
/// so the leaf is only ranked lower, not excluded.
const UNHEALTHY_FACTOR: f64 = 2.0;

/// Polls health, load and draining state of all leafs that this entry holds,
/// without end, and applies the reports to routing.
pub(crate) async fn poll_states(shared: Arc<Shared>) {
    loop {
        sleep(POLL_INTERVAL).await;
        for service in shared.services() {
            let polls = held_leafs(&service).into_iter().map(|(_, id, address)| {
                let targets = shared.targets.clone();
                async move { (id.clone(), targets.state(id, address).await) }
            });
            for (id, state) in join_all(polls).await {
                if let Some(state) = state {
                    apply_report(&shared, &service, &id, &state);
                }
            }
        }
    }
}

/// Updates the leaving mark and the cost factor of a leaf from its own report.
/// A leaf that is listed as leaving stays so whatever it reports.
fn apply_report(shared: &Shared, service: &Service, id: &LeafId, report: &LeafState) {
    let now = shared.now();
    let listed = lock(&shared.leaving_leafs).contains(id);
    if mark_leaving(service, id, report.draining || listed, now) {
        let event = if report.draining || listed {
            "leaving"
        } else {
            "back"
        };
        info!(shared.runtime.log, "hold: leaf {id} is {event}";
            "service" => %service.name, "why" => "its own mark");
    }
    let mut state = lock(&service.state);
    let Some(ix) = state.table.find(&chestnut_route::Backend::Leaf(id.clone())) else {
        return;
    };
    let factor = if report.healthy {
        1.0 + report.load.max(0.0)
    } else {
        UNHEALTHY_FACTOR
    };
    state.table.set_hint(ix, factor);
}

/// Marks the leafs that the platform's list of VMs shows as leaving, so that they
/// get no new work; returns those newly marked. A leaf stays marked until the
/// list no longer contains it, since a stale copy of the list must not bring a
/// draining leaf back into use.
pub(crate) fn apply_vm_list(shared: &Shared, vms: &[Vm]) -> Vec<LeafId> {
    let listed: BTreeSet<LeafId> = vms
        .iter()
        .filter(|vm| vm.role == VmRole::Leaf)
        .filter_map(|vm| LeafId::new(&vm.name).ok())
        .collect();
    lock(&shared.leaving_leafs).retain(|id| listed.contains(id));
    let leaving: Vec<LeafId> = vms
        .iter()
        .filter(|vm| vm.role == VmRole::Leaf && vm.leaving)
        .filter_map(|vm| LeafId::new(&vm.name).ok())
        .collect();
    record_leaving(shared, &leaving, "the platform's list")
}

/// Marks leafs as leaving in all services, so that they get no new work;
/// returns those newly marked. `why` is the reason in the log.
pub(crate) fn record_leaving(shared: &Shared, ids: &[LeafId], why: &'static str) -> Vec<LeafId> {
    let now = shared.now();
    let mut added = Vec::new();
    for id in ids {
        if !lock(&shared.leaving_leafs).insert(id.clone()) {
            continue;
        }
        added.push(id.clone());
        for service in shared.services() {
            if mark_leaving(&service, id, true, now) {
                info!(shared.runtime.log, "hold: leaf {id} is leaving";
                    "service" => %service.name, "why" => why);
            }
        }
    }
    added
}
