//! Startup: fetches the first configuration and the initial members.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use chestnut_conf::{Object, ObjectKind};
use chestnut_fleet::{Addresses, Member};
use chestnut_port::Vm;
use chestnut_unit::{Incarnation, MemberId, Revision};
use slog::info;
use tokio::time::sleep;

use crate::{
    gossip, leafs, place, propagation, rewrite,
    shared::{Phase, Shared, lock},
};

/// Delay between attempts to fetch the first configuration.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Fetches the configuration from the platform, or from peers if the platform
/// can't be reached, until the platform or the peers confirm it; then makes the
/// first placement and starts serving.
pub(crate) async fn start_serving(shared: Arc<Shared>) {
    while shared.phase() == Phase::Starting {
        if load_platform(&shared).await {
            break;
        }
        read_peers(&shared).await;
        if lock(&shared.conf).confirmation.age(shared.now()).is_some() {
            break;
        }
        sleep(RETRY_INTERVAL).await;
    }
    place::place_all(&shared);
    shared.phase.send_if_modified(|phase| {
        let starting = *phase == Phase::Starting;
        if starting {
            *phase = Phase::Serving;
        }
        starting
    });
    shared.placement_due.notify_one();
    info!(shared.runtime.log, "fleet: {} serves", shared.own.id);
}

/// Reads and applies all configuration from the platform, then the VMs; returns
/// false, without reading the VMs, if the configuration was not read
/// completely.
pub(crate) async fn load_platform(shared: &Arc<Shared>) -> bool {
    let complete = list_objects(shared).await.is_some();
    if complete {
        refresh_vms(shared).await;
    }
    complete
}

/// Lists every replicated kind on the platform, applies the objects and records
/// each read as a confirmation. Edits that the platform has lost by a restore are
/// written again. Returns the revisions to watch from, in the order of the kinds;
/// `None` if a list failed.
pub(crate) async fn list_objects(shared: &Arc<Shared>) -> Option<Vec<Revision>> {
    let mut revisions = Vec::new();
    for kind in ObjectKind::REPLICATED {
        // A list is only known to be current as of its request.
        let requested = shared.now();
        let listing = shared.platform.list(kind).await.ok()?;
        let revision = Revision::new(listing.epoch, listing.revision);
        let restored = lock(&shared.conf).is_restored(kind, listing.epoch);
        let stored = versions(&listing.objects);
        propagation::apply_and_forward(shared, listing.objects, "the platform");
        if restored {
            rewrite::write_lost(shared, kind, &stored).await;
        }
        lock(&shared.conf).record_read(kind, revision, requested);
        revisions.push(revision);
    }
    Some(revisions)
}

/// Returns the version of each object by its name.
fn versions(objects: &[Object]) -> BTreeMap<String, u64> {
    let versions = objects.iter();
    versions
        .map(|object| (object.key.name.clone(), object.version))
        .collect()
}

/// Reads the platform's list of VMs, updates members and leafs from it, and
/// reports newly leaving leafs to random peers in the background. Does nothing
/// if the list can't be read.
pub(crate) async fn refresh_vms(shared: &Arc<Shared>) {
    let Ok(vms) = shared.platform.vms().await else {
        return;
    };
    let members: Vec<Member> = vms.iter().filter_map(member_from_vm).collect();
    let live = members.iter().map(|member| member.id.clone()).collect();
    {
        let mut swim = lock(&shared.swim);
        let unknown: Vec<Member> = members
            .into_iter()
            .filter(|member| swim.view.get(&member.id).is_none())
            .collect();
        swim.merge_members(&unknown, shared.now());
        swim.view.confirm_absent_gone(&live);
    }
    gossip::apply_member_changes(shared);
    let leaving = leafs::apply_vm_list(shared, &vms);
    if leaving.is_empty() {
        return;
    }
    for (_, address) in shared.random_peers(LEAVING_FANOUT) {
        let (shared, leaving) = (shared.clone(), leaving.clone());
        tokio::spawn(async move {
            let _ = shared.peers().report_leaving(address, leaving).await;
        });
    }
}

/// Number of peers that are sent newly leaving leafs. Entries connected to a
/// leaf also poll its state, so this only shortens the delay.
const LEAVING_FANOUT: usize = 16;

/// Builds a starting member with the name, failure domain and addresses of a VM
/// of the platform's list; `None` if the VM is leaving, lacks addresses or is not
/// an entry with a valid name. Its incarnation is 0, so any message from the
/// member overrides this.
fn member_from_vm(vm: &Vm) -> Option<Member> {
    let [callers, operators, peers] = vm.addresses?;
    let id: MemberId = vm.member()?;
    let addresses = Addresses {
        callers,
        operators,
        peers,
    };
    let member = Member::starting(id, vm.domain.clone(), addresses, Incarnation(0));
    (!vm.leaving).then_some(member)
}

/// Reads members and newer configuration from the seeds and a few known peers,
/// and applies them; skips those that don't answer.
async fn read_peers(shared: &Arc<Shared>) {
    let mut addresses: Vec<SocketAddr> = shared.settings.control.seeds.clone();
    addresses.extend(shared.random_peers(2).into_iter().map(|(_, addr)| addr));
    for address in addresses {
        let Ok(members) = shared.peers().members(address).await else {
            continue;
        };
        lock(&shared.swim).merge_members(&members, shared.now());
        gossip::apply_member_changes(shared);
        let versions = lock(&shared.conf).objects.keys();
        if let Ok(objects) = shared.peers().objects(address, versions).await {
            propagation::apply_and_forward(shared, objects, "a peer at start");
        }
    }
}
