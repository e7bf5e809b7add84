//! Membership of this entry among the others: gossip and failure detection (SWIM), the
//! quota of each entry, and the entries that callers are sent to.
//!
//! An entry is one process of the relay. Serving entries are those that callers are sent
//! to; the others are spare.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use chestnut_fleet::{
    Addresses, Candidate, Change, DelayedDecrease, Homes, IncarnationPolicy, Liveness, Member,
    Message, Outgoing, Status, Swim, SwimConfig, serving_entries,
};
use chestnut_flow::lock;
use chestnut_port::ProbeTransport;
use chestnut_unit::{DomainName, Incarnation, MemberId, Time, WallTime};
use rand::Rng;
use slog::info;
use tokio::time::sleep_until;

use crate::{
    Advert, Cause, Distance, Quota, Rate, RelaySettings, Role, Upstream,
    limits::HomeView,
    quarantine,
    restore::hear_epoch,
    shared::{Phase, Shared},
    state::LeafDomains,
};

/// Time constant of the average load by which serving entries are chosen.
const STEADY_LOAD_SPAN: Duration = Duration::from_secs(6);
/// Members to which this entry announces directly that it starts, leaves or stops.
const ANNOUNCE_FANOUT: usize = 32;

/// Members in the own failure domain that get a status update. It reaches nearly all members
/// within a few hops; the others learn of a new book by the next heartbeat or probe. With five,
/// all but one in 150 entries of a domain hear of it.
const LOCAL_FANOUT: usize = 5;
/// Members of all other failure domains together that get a status update, as a fallback:
/// each domain usually has its own entry that watches the store.
const REMOTE_FANOUT: usize = 1;

/// An entry is taken to be isolated itself if fewer than one in this many of the other
/// members is alive.
const ISOLATED_DIVISOR: usize = 8;

/// The membership of an entry: the view of the gossip protocol, its own call rate, and the
/// number of serving entries, from which quotas are derived.
pub(crate) struct Members {
    /// Gossip and failure detection, with the view of all members.
    swim: Mutex<Swim>,
    /// The rate of calls to leafs, which is reported to other members.
    rate: Mutex<Rate>,
    /// The call rate averaged over a longer time, for the choice of serving entries: short
    /// peaks of all entries add up to more than their total load.
    steady_rate: Mutex<Rate>,
    /// The last value of `steady_rate`, in calls per second.
    load: AtomicU32,
    /// Keeps the number of serving entries for a while after the load has dropped.
    serving_count: Mutex<DelayedDecrease>,
    /// The port for messages of the membership protocol.
    probes: Arc<dyn ProbeTransport>,
}

impl Members {
    /// Creates the membership of an entry that has just started and knows only itself, with
    /// the wall time as its incarnation.
    pub(crate) fn new(shared: &Shared, probes: Arc<dyn ProbeTransport>) -> Self {
        let settings = &shared.settings;
        let mut own = Member::starting(
            settings.entry.member.clone(),
            settings.entry.domain.clone(),
            addresses(settings),
            Incarnation(shared.runtime.clock.wall().0),
        );
        own.weight = settings.entry.weight();
        let config = SwimConfig {
            incarnation_policy: IncarnationPolicy::Raise,
            ..SwimConfig::default()
        };
        let swim = Swim::new(config, own, shared.now());
        Self {
            swim: Mutex::new(swim),
            rate: Mutex::new(Rate::default()),
            steady_rate: Mutex::new(Rate::with_time_constant(STEADY_LOAD_SPAN)),
            load: AtomicU32::new(0),
            serving_count: Mutex::default(),
            probes,
        }
    }

    /// Caller addresses of the serving entries, a random selection of at most `most`. This
    /// entry is left out unless it serves; members that don't answer are left out unless no
    /// other member is alive.
    pub(crate) fn addresses(&self, shared: &Shared, most: usize) -> Vec<SocketAddr> {
        let leaf_domains = shared.leaf_domains();
        let swim = lock(&self.swim);
        let own = &shared.settings.entry.member;
        let own_serves = shared.phase() == Phase::Serving;
        let known = swim
            .view
            .accepting_work()
            .filter(is_started)
            .filter(|member| member.id != *own || own_serves);
        let known = interleave_domains(known);
        let alive = |member: &&&Member| member.liveness == Liveness::Alive;
        let any_other_alive = known.iter().filter(alive).any(|member| member.id != *own);
        // If no other entry seems alive, it is more likely this one that is cut
        // off, and callers may still reach the others.
        let listed = known
            .iter()
            .filter(|member| !any_other_alive || member.liveness == Liveness::Alive)
            .map(|member| self.candidate(&swim, &leaf_domains, member, member.addresses.callers))
            .collect::<Vec<_>>();
        let serving_count = lock(&self.serving_count).count();
        let mut list = serving_entries(&listed, leaf_domains.leaf_count, serving_count);
        let mut rng = shared.runtime.rng();
        while list.len() > most {
            let at = (rng.next_u64() % list.len() as u64) as usize;
            list.swap_remove(at);
        }
        list
    }

    /// The position of this entry in the list of serving entries, from 0; `None` if it is not
    /// one of them.
    pub(crate) fn serving_rank(&self, shared: &Shared) -> Option<usize> {
        let leaf_domains = shared.leaf_domains();
        let swim = lock(&self.swim);
        let own = &swim.view.own().id;
        let list = self.candidates(&swim, &leaf_domains);
        let serving_count = lock(&self.serving_count).count();
        let serving = serving_entries(&list, leaf_domains.leaf_count, serving_count);
        serving.iter().position(|member| member.id == *own)
    }

    /// All members that are present, also leaving ones, as candidates for serving; failure
    /// domains alternate.
    fn candidates<'a>(
        &self,
        swim: &'a Swim,
        leaf_domains: &LeafDomains,
    ) -> Vec<Candidate<&'a Member>> {
        let present = interleave_domains(swim.view.present()).into_iter();
        let candidates = present.map(|member| self.candidate(swim, leaf_domains, member, member));
        candidates.collect()
    }

    /// The quota of this entry, from the numbers of serving and other entries. Updates the
    /// number of serving entries, which drops only some time after the load has.
    fn quota(&self, shared: &Shared) -> Quota {
        let leaf_domains = shared.leaf_domains();
        let swim = lock(&self.swim);
        let own = &swim.view.own().id;
        let list = self.candidates(&swim, &leaf_domains);
        let wanted = serving_entries(&list, leaf_domains.leaf_count, 0).len();
        let serving_count = lock(&self.serving_count).update(wanted, shared.now());
        let serving = serving_entries(&list, leaf_domains.leaf_count, serving_count);
        Quota {
            serving: serving.len().max(1),
            others: list.len() - serving.len(),
            role: match serving.iter().any(|member| member.id == *own) {
                true => Role::Carrier,
                false => Role::Other,
            },
        }
    }

    /// The members as far as they matter for the homes of organisations.
    fn home_view(&self) -> HomeView {
        let swim = lock(&self.swim);
        let alive = |member: &Member| member.liveness == Liveness::Alive && is_started(&member);
        let working = || swim.view.accepting_work().filter(|member| alive(member));
        let started = |member: &Member| WallTime(member.incarnation.0);
        let homes =
            Homes::new(working().map(|member| (&member.id, member.weight, started(member))));
        let peers = working().map(|member| (member.id.clone(), member.addresses.peers));
        let members = swim.view.all().filter(|member| !member.leaving);
        let members = members.map(|member| (member.id.clone(), alive(member)));
        let own = &swim.view.own().id;
        let mut domains: BTreeMap<DomainName, Vec<SocketAddr>> = BTreeMap::new();
        for member in working().filter(|member| member.id != *own) {
            let domain = domains.entry(member.domain.clone()).or_default();
            domain.push(member.addresses.peers);
        }
        HomeView {
            homes,
            domains,
            peers: peers.collect(),
            members: members.collect(),
        }
    }

    /// Describes a member as a candidate for serving, identified by `id`: its weight, its load,
    /// and whether its domain is one of `leaf_domains`. For this entry the load is the own average.
    fn candidate<T>(
        &self,
        swim: &Swim,
        leaf_domains: &LeafDomains,
        member: &Member,
        id: T,
    ) -> Candidate<T> {
        let load = match member.id == swim.view.own().id {
            true => self.load.load(Ordering::Relaxed),
            false => member.load,
        };
        Candidate {
            id,
            weight: member.weight,
            load,
            local: leaf_domains.domains.contains(&member.domain),
        }
    }

    /// The members with an advert in `list` that are known to be gone, for removal of their
    /// adverts. Empty except at the member with the lowest id, so that each is removed once.
    pub(crate) fn gone_members(&self, shared: &Shared, list: &[Advert]) -> Vec<MemberId> {
        if !self.has_lowest_id(shared) {
            return Vec::new();
        }
        let swim = lock(&self.swim);
        let is_gone = |id: &&MemberId| {
            let member = swim.view.get(id);
            member.is_some_and(|member| member.liveness == Liveness::Gone)
        };
        let listed = list.iter().map(|advert| &advert.member);
        listed.filter(is_gone).cloned().collect()
    }

    /// Whether this entry has the lowest id of the members that accept work.
    pub(crate) fn has_lowest_id(&self, shared: &Shared) -> bool {
        let swim = lock(&self.swim);
        let first = swim.view.accepting_work().map(|member| &member.id).min();
        first == Some(&shared.settings.entry.member)
    }

    /// Whether fewer than one in [`ISOLATED_DIVISOR`] of the other started members is alive.
    /// Those that are leaving don't count; false if there are no others.
    pub(crate) fn is_isolated(&self) -> bool {
        let swim = lock(&self.swim);
        let own = &swim.view.own().id;
        let others = swim.view.all().filter(|member| member.id != *own);
        let (mut known, mut alive) = (0, 0);
        for member in others.filter(is_started).filter(|member| !member.leaving) {
            known += 1;
            alive += usize::from(member.liveness == Liveness::Alive);
        }
        alive * ISOLATED_DIVISOR < known
    }

    /// Peer IP addresses of the present members in the same failure domain, this one included.
    fn local_peers(&self, shared: &Shared) -> BTreeSet<IpAddr> {
        let own = &shared.settings.entry.domain;
        let swim = lock(&self.swim);
        let present = swim.view.present();
        let local = present.filter(|member| member.domain == *own);
        local.map(|member| member.addresses.peers.ip()).collect()
    }

    /// Number of members that are present, this one included.
    pub(crate) fn count(&self) -> usize {
        lock(&self.swim).view.present().count()
    }

    /// Chooses the upstream from which this entry receives updates, by the members, the seeds
    /// and what the upstream selector recorded, and returns it with the reason.
    pub(crate) fn choose_upstream(&self, shared: &Shared) -> (Upstream, Cause) {
        let now = shared.now();
        let swim = lock(&self.swim);
        let (own, seeds) = (swim.view.own(), &shared.settings.seeds);
        let age = now.since(Time::ZERO);
        let others = swim.view.others().filter(is_started);
        let mut selector = lock(&shared.upstream_selector);
        let upstream = selector.choose(own, others, seeds, age, now);
        (upstream, selector.cause())
    }

    /// Addresses for peers of a random sample of at most `most` live members.
    pub(crate) fn sample_peers(&self, shared: &Shared, most: usize) -> Vec<SocketAddr> {
        let swim = lock(&self.swim);
        let alive = swim.view.others().filter(is_started);
        let alive = alive.filter(|member| member.liveness == Liveness::Alive);
        sample(alive.collect(), most, &mut shared.runtime.rng())
    }

    /// Messages that report this entry's load and book version to a random sample of live
    /// members: up to [`LOCAL_FANOUT`] in the own domain and [`REMOTE_FANOUT`] in others.
    fn status_updates(&self, shared: &Shared) -> Vec<Outgoing> {
        let status = status(shared, self);
        let mut rng = shared.runtime.rng();
        let swim = lock(&self.swim);
        let alive = swim.view.others().filter(is_started);
        let alive = alive.filter(|member| member.liveness == Liveness::Alive);
        let own = &shared.settings.entry.domain;
        let (local, remote): (Vec<&Member>, Vec<&Member>) =
            alive.partition(|member| member.domain == *own);
        let mut peers = sample(local, LOCAL_FANOUT, &mut rng);
        peers.extend(sample(remote, REMOTE_FANOUT, &mut rng));
        swim.report_to(status, peers)
    }

    /// Sends join requests to all seeds but this entry, without waiting for answers.
    pub(crate) async fn send_join_requests(&self, shared: &Shared) {
        let out: Vec<Outgoing> = {
            let swim = lock(&self.swim);
            let own = shared.settings.listen.peers;
            let seeds = shared.settings.seeds.iter().filter(|seed| **seed != own);
            let status = status(shared, self);
            seeds.map(|seed| swim.join_request(*seed, status)).collect()
        };
        send_all(shared, self, out).await;
    }

    /// Adds the members of `adverts` that the view doesn't know, as not yet started.
    pub(crate) fn add_advertised(&self, shared: &Shared, adverts: &[Advert]) {
        let now = shared.now();
        let mut swim = lock(&self.swim);
        let unknown: Vec<Member> = adverts
            .iter()
            .filter(|advert| swim.view.get(&advert.member).is_none())
            .map(|advert| {
                let (id, domain) = (advert.member.clone(), advert.domain.clone());
                Member::starting(id, domain, advert.addresses, Incarnation(0))
            })
            .collect();
        swim.merge_members(&unknown, now);
    }
}

/// Orders members so that failure domains alternate, each in its given order. If only some of
/// several equal members serve, they don't all fail with one domain.
fn interleave_domains<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
    let mut turns: BTreeMap<&DomainName, usize> = BTreeMap::new();
    let mut list: Vec<(usize, &Member)> = members
        .map(|member| {
            let turn = turns.entry(&member.domain).or_default();
            *turn += 1;
            (*turn, member)
        })
        .collect();
    list.sort_by_key(|(turn, _)| *turn);
    list.into_iter().map(|(_, member)| member).collect()
}

/// Peer addresses of a random sample of at most `most` members.
fn sample(mut members: Vec<&Member>, most: usize, rng: &mut dyn Rng) -> Vec<SocketAddr> {
    while members.len() > most {
        let at = (rng.next_u64() % members.len() as u64) as usize;
        members.swap_remove(at);
    }
    members
        .iter()
        .map(|member| member.addresses.peers)
        .collect()
}

/// Whether a member has been seen to run; one known only by its advert may not have started.
fn is_started(member: &&Member) -> bool {
    member.incarnation > Incarnation(0)
}

/// The addresses at which this entry listens for callers, operators and peers.
pub(crate) fn addresses(settings: &RelaySettings) -> Addresses {
    Addresses {
        callers: settings.listen.callers,
        operators: settings.listen.metrics,
        peers: settings.listen.peers,
    }
}

/// Waits until the entry serves callers, as other entries direct callers to every member
/// that they know. Returns false if the entry has ended instead.
pub(crate) async fn wait_until_serving(shared: &Shared) -> bool {
    let mut phases = shared.phase.subscribe();
    let served = phases.wait_for(|phase| *phase > Phase::Starting).await;
    served.is_ok()
}

/// Runs the membership protocol from when the entry serves: announces it, sends and answers
/// probes, reports new book versions, and updates upstream and quota after changes.
pub(crate) async fn probe(shared: Arc<Shared>, members: Arc<Members>) {
    if !wait_until_serving(&shared).await {
        return;
    }
    announce(&shared, &members).await;
    let mut versions = shared.version.subscribe();
    loop {
        let wake = shared.runtime.clock.instant(lock(&members.swim).wake());
        let mut out = Vec::new();
        tokio::select! {
            biased;
            (message, from) = members.probes.receive() => {
                receive_message(&shared, &members, &message, from, &mut out);
            }
            // An error is impossible, as the entry keeps the sender.
            _ = versions.changed() => out = members.status_updates(&shared),
            () = sleep_until(wake) => {
                let now = shared.now();
                let mut rng = shared.runtime.rng();
                let status = status(&shared, &members);
                let mut swim = lock(&members.swim);
                swim.publish_load(members.load.load(Ordering::Relaxed));
                swim.tick(status, now, &mut rng, &mut out);
                drop(swim);
                update_quota(&shared, &members);
            }
        }
        send_all(&shared, &members, out).await;
        apply_changes(&shared, &members);
    }
}

/// Marks this entry as leaving in the membership view, and announces that to some members
/// at once; gossip reaches the others. This entry stops to be a home before any other takes its
/// place.
pub(crate) async fn leave(shared: &Shared, members: &Members) {
    lock(&members.swim).leave(None);
    shared.limits.look_again();
    update_quota(shared, members);
    announce(shared, members).await;
}

/// Marks this entry as gone in the membership view, and announces that to some members at
/// once.
pub(crate) async fn announce_stop(shared: &Shared, members: &Members) {
    let out = lock(&members.swim).stop(status(shared, members), ANNOUNCE_FANOUT);
    send_all(shared, members, out).await;
}

/// Sends this entry's status to up to [`ANNOUNCE_FANOUT`] members without waiting for the
/// next probe.
async fn announce(shared: &Shared, members: &Members) {
    let out = lock(&members.swim).announce(status(shared, members), ANNOUNCE_FANOUT);
    send_all(shared, members, out).await;
}

/// Handles a message that came from the address `from`: updates the membership view, merges
/// the quarantine reports and records the sender's book version and epoch of the store. Answers
/// go to `out`.
fn receive_message(
    shared: &Shared,
    members: &Members,
    message: &Message,
    from: SocketAddr,
    out: &mut Vec<Outgoing>,
) {
    let now: Time = shared.now();
    lock(&members.swim).receive(message, from, status(shared, members), now, out);
    let distance = match message.from.domain == shared.settings.entry.domain {
        true => Distance::Local,
        false => Distance::Remote,
    };
    quarantine::merge_reports(shared, &message.reports);
    shared.record_peer_version(message.from.addresses.peers, message.book, distance);
    hear_epoch(shared, message.epoch);
}

/// The status that this entry reports: its load in calls per second, its book version and the
/// epoch of the store.
/// Each call adds a sample to both averages of the load.
fn status(shared: &Shared, members: &Members) -> Status {
    let calls = shared.calls.load(Ordering::Relaxed);
    let load = lock(&members.rate).record(calls, shared.now());
    let steady = lock(&members.steady_rate).record(calls, shared.now());
    members.load.store(steady, Ordering::Relaxed);
    Status {
        load,
        book: shared.book_version(),
        epoch: shared.epoch(),
        ..Status::default()
    }
}

/// Sends status updates with quarantine reports attached to a random sample of members.
pub(crate) async fn send_reports(shared: &Shared, members: &Members) {
    let out = members.status_updates(shared);
    send_all(shared, members, out).await;
}

/// Sends messages, all with the same quarantine reports attached; each report in them counts
/// as sent. Nothing if `out` is empty.
async fn send_all(shared: &Shared, members: &Members, out: Vec<Outgoing>) {
    if out.is_empty() {
        return;
    }
    let reports = quarantine::next_reports(shared, members.count());
    for Outgoing { to, mut message } in out {
        message.attach_reports(&reports);
        members.probes.send(to, message).await;
    }
}

/// Logs membership changes since the last call and, if there are any, has the upstream
/// chosen again and updates this entry's quota.
fn apply_changes(shared: &Shared, members: &Members) {
    let changes: BTreeMap<MemberId, Change> =
        lock(&members.swim).take_changes().into_iter().collect();
    if changes.is_empty() {
        return;
    }
    let has_left = |change: &Change| matches!(change, Change::Leaving | Change::Gone);
    let left = changes.iter().filter(|(_, change)| has_left(change));
    shared.limits.members_left(left.map(|(id, _)| id));
    for (id, change) in changes {
        let state = match change {
            Change::Joined => "joined",
            Change::Suspected => "is suspected",
            Change::Leaving => "is leaving",
            Change::Gone => "is gone",
            Change::None => continue,
        };
        info!(shared.runtime.log, "fleet: {id} {state}");
    }
    shared.upstream_changed.notify_one();
    update_quota(shared, members);
}

/// Updates this entry's quota of the shared limits from the members that are present,
/// including those that are leaving; also the homes of organisations, the metric of members and
/// the set of local peers.
pub(crate) fn update_quota(shared: &Shared, members: &Members) {
    shared.metrics.members.set(members.count() as i64);
    shared.traffic.set_local(members.local_peers(shared));
    shared.set_quota(members.quota(shared));
    if shared.limits.is_update_due(shared.now()) {
        let (view, own) = (members.home_view(), &shared.settings.entry.member);
        let wall = shared.runtime.clock.wall();
        shared.limits.update(view, own, shared.now(), wall);
    }
}
