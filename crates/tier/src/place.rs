//! Assigns leafs to entries and builds the routes to them.
//!
//! A leaf is one server of an index shard. Only its holders, a few entries
//! that are chosen by a hash of its group, open connections to it; the other
//! entries reach it through a holder.

use std::{collections::BTreeMap, collections::BTreeSet, sync::Arc, time::Duration};

use chestnut_conf::{ObjectKind, Service as ServiceObject};
use chestnut_fleet::{HolderPlan, Member};
use chestnut_route::{Backend, BudgetId, Ix, Route, Routes};
use chestnut_unit::{DomainName, Layout, LeafId, ServiceName};
use slog::info;
use tokio::time::sleep;

use crate::{
    service::{BackendAddress, Service, State},
    shared::{Phase, Shared, lock},
};

/// Assumed capacity of a peer, in concurrent parts of queries.
const PEER_CAPACITY: u32 = 64;
/// Time for which a new holder keeps a single connection to a leaf. Until the
/// old holder closes its own, both together must stay within the leaf's limit.
const HANDOVER_DELAY: Duration = Duration::from_secs(3);
/// Interval of the periodic placement, in case a notification was missed.
const PLACE_INTERVAL: Duration = Duration::from_secs(60);

/// Recomputes the placement, without end, on each notification and
/// periodically, and opens and closes connections to leafs accordingly. Does
/// nothing while the entry is starting or after it began to leave.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut held = BTreeSet::new();
    loop {
        tokio::select! {
            biased;
            () = shared.placement_due.notified() => {}
            () = sleep(PLACE_INTERVAL) => {}
        }
        // An entry that knows no other members would hold every leaf. The
        // first placement is made at start, once the members are known.
        if shared.phase() == Phase::Starting {
            continue;
        }
        // A leaving entry keeps its leafs until it stops: peers that have not
        // yet received the update still send it parts of queries.
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
            shared.runtime.log,
            "hold: {} leafs, {more} added, {fewer} released",
            now_held.len()
        );
        let list: Vec<_> = now_held.iter().cloned().collect();
        shared.targets.set_leafs(list.clone(), 1);
        held = now_held;
        let (shared, pool) = (shared.clone(), shared.settings.route.pool);
        tokio::spawn(async move {
            sleep(HANDOVER_DELAY).await;
            shared.targets.set_leafs(list, pool);
        });
    }
}

/// The leafs that this entry connects to, with their addresses.
type HeldLeafs = BTreeSet<(LeafId, std::net::SocketAddr)>;

/// Adds and removes services as the configuration lists them, rebuilds their
/// back ends and routes, and returns the leafs that this entry holds. Opens no
/// connections.
pub(crate) fn place_all(shared: &Shared) -> HeldLeafs {
    let (services, layouts) = read_objects(shared);
    let evacuated = lock(&shared.conf).objects.evacuated();
    let members: Vec<Member> = lock(&shared.swim).view.accepting_work().cloned().collect();
    let names: BTreeSet<ServiceName> = services.keys().cloned().collect();
    shared.drop_services(&names);
    let mut held = HeldLeafs::new();
    for (name, object) in &services {
        let share = shared.settings.control.share;
        let plan = HolderPlan::new(name, object, &members, share);
        let service = shared.service_or_new(name);
        let layouts = layouts.get(name).map_or(&[][..], Vec::as_slice);
        let placement = Placement {
            shared,
            object,
            plan: &plan,
            members: &members,
            evacuated: &evacuated,
        };
        placement.place(&service, layouts, &mut held);
    }
    held
}

/// The services, and the layouts of each.
type Objects = (
    BTreeMap<ServiceName, ServiceObject>,
    BTreeMap<ServiceName, Vec<Layout>>,
);

/// Reads the services and layouts in force. Invalid ones are logged and
/// skipped, so that one of them doesn't stop the placement of the others.
fn read_objects(shared: &Shared) -> Objects {
    let conf = lock(&shared.conf);
    let mut services = BTreeMap::new();
    for (name, stored) in conf.objects.list(ObjectKind::Service) {
        let object = serde_json::from_value::<ServiceObject>(stored.value.clone());
        match (ServiceName::new(name), object) {
            (Ok(name), Ok(object)) if object.check().is_ok() => {
                services.insert(name, object);
            }
            _ => slog::warn!(
                shared.runtime.log,
                "hold: skipped invalid service object {name}"
            ),
        }
    }
    let mut layouts: BTreeMap<ServiceName, Vec<Layout>> = BTreeMap::new();
    for (name, stored) in conf.objects.list(ObjectKind::Layout) {
        match serde_json::from_value::<Layout>(stored.value.clone()) {
            Ok(layout) => {
                let service = layout.snapshot.service.clone();
                layouts.entry(service).or_default().push(layout);
            }
            Err(_) => slog::warn!(
                shared.runtime.log,
                "hold: skipped invalid layout object {name}"
            ),
        }
    }
    (services, layouts)
}

/// Inputs to the placement of one service: its object and holder plan, the
/// members that accept work and the evacuated failure domains.
struct Placement<'a> {
    shared: &'a Shared,
    object: &'a ServiceObject,
    plan: &'a HolderPlan,
    members: &'a [Member],
    /// Failure domains whose leafs get no calls, directly or through a peer.
    evacuated: &'a BTreeSet<DomainName>,
}

impl Placement<'_> {
    /// Updates the back ends and routes of the service, and adds its leafs that
    /// this entry holds to `held`.
    fn place(&self, service: &Service, layouts: &[Layout], held: &mut HeldLeafs) {
        let mut state = lock(&service.state);
        let mut backends: BTreeMap<&LeafId, Vec<Ix>> = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        for (id, leaf) in &self.object.leafs {
            let holders = self.plan.holders(leaf.group);
            if holders.contains(&self.shared.own.id) {
                let ix = self.add_leaf(&mut state, id, leaf.slots);
                let excluded = self.evacuated.contains(&leaf.domain);
                state.table.set_excluded(ix, excluded, self.shared.now());
                addresses.insert(ix, BackendAddress::Leaf(id.clone(), leaf.address));
                held.insert((id.clone(), leaf.address));
                backends.insert(id, vec![ix]);
            } else {
                backends.insert(id, self.add_peers(&mut state, holders, &mut addresses));
            }
        }
        let current = |v| self.object.versions.contains(&v);
        state.extra.versions.retain(current);
        state.extra.local.retain(current);
        for layout in layouts {
            if current(layout.snapshot.version) {
                self.add_routes(&mut state, layout, &backends, &addresses);
            }
        }
        state.extra.addresses = addresses;
    }

    /// Whether the leaf is listed and its failure domain is not evacuated.
    fn is_open(&self, id: &LeafId) -> bool {
        let leaf = self.object.leafs.get(id);
        leaf.is_some_and(|leaf| !self.evacuated.contains(&leaf.domain))
    }

    /// Adds a leaf that this entry holds, with `slots` as its capacity, to the
    /// table of back ends unless it is there; returns its index.
    fn add_leaf(&self, state: &mut State, id: &LeafId, slots: u32) -> Ix {
        let now = self.shared.now();
        let backend = Backend::Leaf(id.clone());
        // Leafs of the first placement count as warm, since their age is
        // unknown; leafs that are added later have just started.
        let since = if state.extra.addresses.is_empty() {
            chestnut_unit::Time::ZERO
        } else {
            now
        };
        let ix = state.table.add(backend, slots, since);
        if lock(&self.shared.leaving_leafs).contains(id) {
            state.table.set_leaving(ix, true, now);
        }
        ix
    }

    /// Adds the holders of a leaf to the table of back ends and to `addresses`;
    /// returns their indices. Holders that are not members are skipped.
    fn add_peers(
        &self,
        state: &mut State,
        holders: &[chestnut_unit::MemberId],
        addresses: &mut BTreeMap<Ix, BackendAddress>,
    ) -> Vec<Ix> {
        let mut list = Vec::with_capacity(holders.len());
        for holder in holders {
            let Some(member) = self.members.iter().find(|m| m.id == *holder) else {
                continue;
            };
            let backend = Backend::Peer(holder.clone());
            let ix = state
                .table
                .add(backend, PEER_CAPACITY, chestnut_unit::Time::ZERO);
            let address = member.addresses.peers;
            addresses.insert(ix, BackendAddress::Peer(holder.clone(), address));
            list.push(ix);
        }
        list
    }

    /// Builds two sets of routes for one layout: for queries of callers, and
    /// for parts that peers request, which only use leafs held here. `backends`
    /// lists the back ends that reach each leaf.
    fn add_routes(
        &self,
        state: &mut State,
        layout: &Layout,
        backends: &BTreeMap<&LeafId, Vec<Ix>>,
        addresses: &BTreeMap<Ix, BackendAddress>,
    ) {
        let is_local = |ix: &Ix| matches!(addresses.get(ix), Some(BackendAddress::Leaf(..)));
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
                replicas: replicas.iter().copied().filter(is_local).collect(),
                budget: BudgetId::default(),
            });
            all.push(Route {
                name: shard.name.clone(),
                replicas,
                budget: BudgetId::default(),
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
