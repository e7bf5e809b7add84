//! Placement: which leafs this entry holds and how it reaches the others.

use std::{collections::BTreeMap, collections::BTreeSet, sync::Arc, time::Duration};

use chestnut_conf::{Kind, Service as ServiceObject};
use chestnut_fleet::{HolderPlan, Member};
use chestnut_route::{Backend, Ix, PurseId, Route, Routes};
use chestnut_unit::{DomainName, Layout, LeafId, ServiceName};
use slog::info;
use tokio::time::sleep;

use crate::{
    service::{Place, Service, State},
    shared::{Phase, Shared, lock},
};

/// Parts of queries that a peer is taken to run at once.
const PEER_SLOTS: u32 = 64;
/// How long a new holder keeps a single connection to a leaf. The old holder
/// hears of the change within a probe round and closes its own; until then
/// both together must stay within the leaf's limit.
const HAND_OVER: Duration = Duration::from_secs(3);
/// Time between placements without cause, in case one was missed.
const AGAIN: Duration = Duration::from_secs(60);

/// Places again whenever members or services change.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut held = BTreeSet::new();
    loop {
        tokio::select! {
            biased;
            () = shared.place.notified() => {}
            () = sleep(AGAIN) => {}
        }
        // An entry that starts knows no others yet and would hold every leaf;
        // its first placement is made when it has read who they are.
        if shared.phase() == Phase::Starting {
            continue;
        }
        // An entry that leaves keeps what it holds until it stops: peers that
        // have not heard yet still ask it for parts.
        if shared.phase() >= Phase::Leaving {
            continue;
        }
        let now_held = place_all(&shared);
        if now_held == held {
            continue;
        }
        let more = now_held.difference(&held).count();
        let fewer = held.difference(&now_held).count();
        info!(
            shared.host.log,
            "hold: {} leafs, {more} new, {fewer} given up",
            now_held.len()
        );
        let list: Vec<_> = now_held.iter().cloned().collect();
        shared.targets.hold(list.clone(), 1);
        held = now_held;
        let (shared, pool) = (shared.clone(), shared.settings.route.pool);
        tokio::spawn(async move {
            sleep(HAND_OVER).await;
            shared.targets.hold(list, pool);
        });
    }
}

type Held = BTreeSet<(LeafId, std::net::SocketAddr)>;

/// Computes the back ends of every service and returns the leafs held here.
pub(crate) fn place_all(shared: &Shared) -> Held {
    let (services, layouts) = objects(shared);
    let evacuated = lock(&shared.conf).book.evacuated();
    let members: Vec<Member> = lock(&shared.swim).view.accepting_work().cloned().collect();
    let names: BTreeSet<ServiceName> = services.keys().cloned().collect();
    shared.drop_services(&names);
    let mut held = Held::new();
    for (name, object) in &services {
        let share = shared.settings.control.share;
        let plan = HolderPlan::new(name, object, &members, share);
        let cell = shared.service_or_new(name);
        let layouts = layouts.get(name).map_or(&[][..], Vec::as_slice);
        let placing = Placing {
            shared,
            object,
            plan: &plan,
            members: &members,
            evacuated: &evacuated,
        };
        placing.place(&cell, layouts, &mut held);
    }
    held
}

type Objects = (
    BTreeMap<ServiceName, ServiceObject>,
    BTreeMap<ServiceName, Vec<Layout>>,
);

/// Services and layouts in force. Objects that don't parse are passed over:
/// the platform writes them, and one bad object must not stop the others.
fn objects(shared: &Shared) -> Objects {
    let conf = lock(&shared.conf);
    let mut services = BTreeMap::new();
    for (name, held) in conf.book.list(Kind::Service) {
        let object = serde_json::from_value::<ServiceObject>(held.value.clone());
        match (ServiceName::new(name), object) {
            (Ok(name), Ok(object)) if object.check().is_ok() => {
                services.insert(name, object);
            }
            _ => slog::warn!(shared.host.log, "hold: service object {name} can't be read"),
        }
    }
    let mut layouts: BTreeMap<ServiceName, Vec<Layout>> = BTreeMap::new();
    for (name, held) in conf.book.list(Kind::Layout) {
        match serde_json::from_value::<Layout>(held.value.clone()) {
            Ok(layout) => {
                let service = layout.snapshot.service.clone();
                layouts.entry(service).or_default().push(layout);
            }
            Err(_) => slog::warn!(shared.host.log, "hold: layout object {name} can't be read"),
        }
    }
    (services, layouts)
}

/// The placement of one service.
struct Placing<'a> {
    shared: &'a Shared,
    object: &'a ServiceObject,
    plan: &'a HolderPlan,
    members: &'a [Member],
    /// Domains whose leafs get no calls, from here or by way of a peer.
    evacuated: &'a BTreeSet<DomainName>,
}

impl Placing<'_> {
    fn place(&self, cell: &Service, layouts: &[Layout], held: &mut Held) {
        let mut state = lock(&cell.state);
        let mut backends: BTreeMap<&LeafId, Vec<Ix>> = BTreeMap::new();
        let mut places = BTreeMap::new();
        for (id, leaf) in &self.object.leafs {
            let holders = self.plan.holders(leaf.group);
            if holders.contains(&self.shared.own.id) {
                let ix = self.add_leaf(&mut state, id, leaf.slots);
                let barred = self.evacuated.contains(&leaf.domain);
                state.table.set_barred(ix, barred, self.shared.now());
                places.insert(ix, Place::Leaf(id.clone(), leaf.address));
                held.insert((id.clone(), leaf.address));
                backends.insert(id, vec![ix]);
            } else {
                backends.insert(id, self.add_peers(&mut state, holders, &mut places));
            }
        }
        let current = |v| self.object.versions.contains(&v);
        state.extra.versions.retain(current);
        state.extra.local.retain(current);
        for layout in layouts {
            if current(layout.snapshot.version) {
                self.route(&mut state, layout, &backends, &places);
            }
        }
        state.extra.places = places;
    }

    fn is_open(&self, id: &LeafId) -> bool {
        let leaf = self.object.leafs.get(id);
        leaf.is_some_and(|leaf| !self.evacuated.contains(&leaf.domain))
    }

    fn add_leaf(&self, state: &mut State, id: &LeafId, slots: u32) -> Ix {
        let now = self.shared.now();
        let backend = Backend::Leaf(id.clone());
        // Leafs known from the start are warm as far as anybody can tell; those
        // that come later have just started.
        let since = if state.extra.places.is_empty() {
            chestnut_unit::Time::ZERO
        } else {
            now
        };
        let ix = state.table.add(backend, slots, since);
        if lock(&self.shared.leaving).contains(id) {
            state.table.set_leaving(ix, true, now);
        }
        ix
    }

    fn add_peers(
        &self,
        state: &mut State,
        holders: &[chestnut_unit::MemberId],
        places: &mut BTreeMap<Ix, Place>,
    ) -> Vec<Ix> {
        let mut list = Vec::with_capacity(holders.len());
        for holder in holders {
            let Some(member) = self.members.iter().find(|m| m.id == *holder) else {
                continue;
            };
            let backend = Backend::Peer(holder.clone());
            let ix = state
                .table
                .add(backend, PEER_SLOTS, chestnut_unit::Time::ZERO);
            let address = member.addresses.peers;
            places.insert(ix, Place::Peer(holder.clone(), address));
            list.push(ix);
        }
        list
    }

    /// Builds the routes of one layout: for queries that enter here, and for
    /// parts that peers ask for, which are served from held leafs alone.
    fn route(
        &self,
        state: &mut State,
        layout: &Layout,
        backends: &BTreeMap<&LeafId, Vec<Ix>>,
        places: &BTreeMap<Ix, Place>,
    ) {
        let here = |ix: &Ix| matches!(places.get(ix), Some(Place::Leaf(..)));
        let mut all = Vec::with_capacity(layout.shards.len());
        let mut local = Vec::with_capacity(layout.shards.len());
        for shard in &layout.shards {
            let mut replicas: Vec<Ix> = Vec::new();
            let open = shard.leafs.iter().filter(|id| self.is_open(id));
            for ix in open.filter_map(|id| backends.get(id)).flatten() {
                if !replicas.contains(ix) {
                    replicas.push(*ix);
                }
            }
            local.push(Route {
                name: shard.name.clone(),
                replicas: replicas.iter().copied().filter(here).collect(),
                purse: PurseId::default(),
            });
            all.push(Route {
                name: shard.name.clone(),
                replicas,
                purse: PurseId::default(),
            });
        }
        let snapshot = layout.snapshot.clone();
        state.extra.local.insert(Routes {
            snapshot: snapshot.clone(),
            shards: local,
        });
        state.extra.versions.insert(Routes {
            snapshot,
            shards: all,
        });
    }
}
