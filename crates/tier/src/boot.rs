//! How a new entry gets its first configuration and its first members.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chestnut_conf::Kind;
use chestnut_fleet::{Addresses, Member};
use chestnut_port::Vm;
use chestnut_unit::{Incarnation, MemberId};
use slog::info;
use tokio::time::sleep;

use crate::{
    gossip, leafs, place,
    shared::{Phase, Shared, lock},
    spread,
};

/// Time between two tries to get a first configuration.
const RETRY: Duration = Duration::from_millis(250);

/// Gets configuration from the platform, or from peers if it is out, and lets
/// the entry serve once it is confirmed.
pub(crate) async fn run(shared: Arc<Shared>) {
    while shared.phase() == Phase::Starting {
        if read_platform(&shared).await {
            break;
        }
        read_peers(&shared).await;
        if lock(&shared.conf).confirmation.age(shared.now()).is_some() {
            break;
        }
        sleep(RETRY).await;
    }
    place::place_all(&shared);
    shared.phase.send_if_modified(|phase| {
        let starting = *phase == Phase::Starting;
        if starting {
            *phase = Phase::Serving;
        }
        starting
    });
    shared.place.notify_one();
    info!(shared.host.log, "fleet: {} serves", shared.own.id);
}

/// Reads everything from the platform; tells whether all of it came.
pub(crate) async fn read_platform(shared: &Arc<Shared>) -> bool {
    let read = list_all(shared).await.is_some();
    if read {
        read_vms(shared).await;
    }
    read
}

/// Lists every kind and returns the revisions to watch from.
pub(crate) async fn list_all(shared: &Arc<Shared>) -> Option<Vec<u64>> {
    let mut revisions = Vec::new();
    for kind in Kind::SPREAD {
        // A list was true when it was asked for, not when it came.
        let asked = shared.now();
        let listing = shared.platform.list(kind).await.ok()?;
        spread::take(shared, listing.objects, "the platform");
        lock(&shared.conf).note_read(kind, listing.revision, asked);
        revisions.push(listing.revision);
    }
    Some(revisions)
}

/// Reads the platform's list of VMs.
pub(crate) async fn read_vms(shared: &Arc<Shared>) {
    let Ok(vms) = shared.platform.vms().await else {
        return;
    };
    let members: Vec<Member> = vms.iter().filter_map(member_of).collect();
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
    gossip::take_changes(shared);
    let leaving = leafs::take_list(shared, &vms);
    if leaving.is_empty() {
        return;
    }
    for (_, address) in shared.some_peers(PEERS_TOLD) {
        let (shared, leaving) = (shared.clone(), leaving.clone());
        tokio::spawn(async move {
            let _ = shared.peers().leaving(address, leaving).await;
        });
    }
}

/// Peers that a watcher tells of leafs that leave. Holders also see the leaf's
/// own mark, so this only shortens the time.
const PEERS_TOLD: usize = 16;

/// A member as the list introduces it: its incarnation is not known, so anything it
/// says of itself overrides this.
fn member_of(vm: &Vm) -> Option<Member> {
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

/// Reads configuration and members from known peers and the seeds.
async fn read_peers(shared: &Arc<Shared>) {
    let mut addresses: Vec<SocketAddr> = shared.settings.control.seeds.clone();
    addresses.extend(shared.some_peers(2).into_iter().map(|(_, address)| address));
    for address in addresses {
        let Ok(members) = shared.peers().members(address).await else {
            continue;
        };
        lock(&shared.swim).merge_members(&members, shared.now());
        gossip::take_changes(shared);
        let have = lock(&shared.conf).book.keys();
        if let Ok(objects) = shared.peers().objects(address, have).await {
            spread::take(shared, objects, "a peer at start");
        }
    }
}
