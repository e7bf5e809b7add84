//! The other entries: found by their adverts, judged by probes.

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
    Addresses, Candidate, Change, Held, Liveness, Lives, Member, Probe, Send, Status, Swim,
    SwimConfig, carriers,
};
use chestnut_flow::lock;
use chestnut_port::Probes;
use chestnut_unit::{DomainName, Incarnation, MemberId, Time};
use rand::Rng;
use slog::info;
use tokio::time::sleep_until;

use crate::{
    Advert, Allotment, Cause, Distance, Part, Rate, RelaySettings, Upstream,
    ground::Homes,
    quarantine,
    shared::{Phase, Shared},
};

/// Time over which the load is taken that decides who carries callers.
const STEADY_SPAN: Duration = Duration::from_secs(6);
/// Members that are told directly that this entry starts or leaves.
const TOLD: usize = 32;

/// Members of the own failure domain that are told of a new version of the book. When
/// each entry tells five, all but one in 150 of a domain hear of it within a few hops;
/// the others by the next pulse or probe.
const TOLD_NEAR: usize = 5;
/// Members of other domains. Mostly the entry that watches the store there has told it;
/// should it not, a few of all these are enough.
const TOLD_FAR: usize = 1;

/// An entry that hears less than one in so many of the others is likelier cut off itself.
const LONELY_PART: usize = 8;

/// The members that an entry knows.
pub(crate) struct Members {
    swim: Mutex<Swim>,
    rate: Mutex<Rate>,
    /// The same over longer, by which it is worked out who carries callers. Over two
    /// seconds a search of 90 calls shows as 45 a second, and the peaks of all add up to
    /// twice the load.
    steady: Mutex<Rate>,
    load: AtomicU32,
    held: Mutex<Held>,
    probes: Arc<dyn Probes>,
}

impl Members {
    pub(crate) fn new(shared: &Shared, probes: Arc<dyn Probes>) -> Self {
        let settings = &shared.settings;
        let mut own = Member::starting(
            settings.entry.member.clone(),
            settings.entry.domain.clone(),
            addresses(settings),
            Incarnation(shared.host.clock.wall().0),
        );
        own.weight = settings.entry.weight();
        let config = SwimConfig {
            lives: Lives::Raised,
            ..SwimConfig::default()
        };
        let swim = Swim::new(config, own, shared.now());
        Self {
            swim: Mutex::new(swim),
            rate: Mutex::new(Rate::default()),
            steady: Mutex::new(Rate::over(STEADY_SPAN)),
            load: AtomicU32::new(0),
            held: Mutex::default(),
            probes,
        }
    }

    /// Where callers should connect, at most `most` addresses.
    pub(crate) fn addresses(&self, shared: &Shared, most: usize) -> Vec<SocketAddr> {
        let homes = shared.homes();
        let swim = lock(&self.swim);
        let own = &shared.settings.entry.member;
        let own_serves = shared.phase() == Phase::Serving;
        let known = swim
            .view
            .working()
            .filter(is_started)
            .filter(|member| member.id != *own || own_serves);
        let known = by_turns(known);
        let alive = |member: &&&Member| member.liveness == Liveness::Alive;
        let others = known.iter().filter(alive).any(|member| member.id != *own);
        // When every other entry looks silent it is more likely this one that
        // is cut off, and callers may still reach the others.
        let listed = known
            .iter()
            .filter(|member| !others || member.liveness == Liveness::Alive)
            .map(|member| self.candidate(&swim, &homes, member, member.addresses.callers))
            .collect::<Vec<_>>();
        let held = lock(&self.held).count();
        let mut list = carriers(&listed, homes.leafs, held);
        let mut rng = shared.host.rng();
        while list.len() > most {
            let at = (rng.next_u64() % list.len() as u64) as usize;
            list.swap_remove(at);
        }
        list
    }

    /// The place of this entry among those that carry callers.
    pub(crate) fn carrier_rank(&self, shared: &Shared) -> Option<usize> {
        let homes = shared.homes();
        let swim = lock(&self.swim);
        let own = &swim.view.own().id;
        let list = self.candidates(&swim, &homes);
        let held = lock(&self.held).count();
        let carriers = carriers(&list, homes.leafs, held);
        carriers.iter().position(|member| member.id == *own)
    }

    /// Those that may carry callers. One that is leaving still serves and counts.
    fn candidates<'a>(&self, swim: &'a Swim, homes: &Homes) -> Vec<Candidate<&'a Member>> {
        let present = by_turns(swim.view.present()).into_iter();
        let candidates = present.map(|member| self.candidate(swim, homes, member, member));
        candidates.collect()
    }

    /// What this entry may use, beside the entries that serve.
    fn allotment(&self, shared: &Shared) -> Allotment {
        let homes = shared.homes();
        let swim = lock(&self.swim);
        let own = &swim.view.own().id;
        let list = self.candidates(&swim, &homes);
        let wanted = carriers(&list, homes.leafs, 0).len();
        let held = lock(&self.held).want(wanted, shared.now());
        let carriers = carriers(&list, homes.leafs, held);
        Allotment {
            carriers: carriers.len().max(1),
            others: list.len() - carriers.len(),
            part: match carriers.iter().any(|member| member.id == *own) {
                true => Part::Carrier,
                false => Part::Other,
            },
        }
    }

    fn candidate<T>(&self, swim: &Swim, homes: &Homes, member: &Member, id: T) -> Candidate<T> {
        let load = match member.id == swim.view.own().id {
            true => self.load.load(Ordering::Relaxed),
            false => member.load,
        };
        Candidate {
            id,
            weight: member.weight,
            load,
            near: homes.domains.contains(&member.domain),
        }
    }

    /// Of the members in `list` those that are gone, if it is this entry that removes them:
    /// only the first of the working members does, so that one call is made for each.
    pub(crate) fn gone_of(&self, shared: &Shared, list: &[Advert]) -> Vec<MemberId> {
        if !self.is_first(shared) {
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

    /// Whether this entry is the first of the working members.
    pub(crate) fn is_first(&self, shared: &Shared) -> bool {
        let swim = lock(&self.swim);
        let first = swim.view.working().map(|member| &member.id).min();
        first == Some(&shared.settings.entry.member)
    }

    /// Whether hardly any of the others that this entry knows answers, those apart that
    /// said that they leave.
    pub(crate) fn is_lonely(&self) -> bool {
        let swim = lock(&self.swim);
        let own = &swim.view.own().id;
        let others = swim.view.all().filter(|member| member.id != *own);
        let (mut known, mut alive) = (0, 0);
        for member in others.filter(is_started).filter(|member| !member.leaving) {
            known += 1;
            alive += usize::from(member.liveness == Liveness::Alive);
        }
        alive * LONELY_PART < known
    }

    /// Addresses of the members in the own failure domain.
    fn near(&self, shared: &Shared) -> BTreeSet<IpAddr> {
        let own = &shared.settings.entry.domain;
        let swim = lock(&self.swim);
        let present = swim.view.present();
        let near = present.filter(|member| member.domain == *own);
        near.map(|member| member.addresses.peers.ip()).collect()
    }

    pub(crate) fn count(&self) -> usize {
        lock(&self.swim).view.present().count()
    }

    /// From whom this entry hears of changes now.
    pub(crate) fn upstream(&self, shared: &Shared) -> (Upstream, Cause) {
        let now = shared.now();
        let swim = lock(&self.swim);
        let (own, seeds) = (swim.view.own(), &shared.settings.seeds);
        let age = now.since(Time::ZERO);
        let others = swim.view.others().filter(is_started);
        let mut upstreams = lock(&shared.upstreams);
        let upstream = upstreams.choose(own, others, seeds, age, now);
        (upstream, upstreams.cause())
    }

    /// Tells some members what this entry says of itself, a new version of its book
    /// above all.
    fn tell_some(&self, shared: &Shared) -> Vec<Send> {
        let status = status(shared, self);
        let mut rng = shared.host.rng();
        let swim = lock(&self.swim);
        let alive = swim.view.others().filter(is_started);
        let alive = alive.filter(|member| member.liveness == Liveness::Alive);
        let own = &shared.settings.entry.domain;
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            alive.partition(|member| member.domain == *own);
        let mut told = some(near, TOLD_NEAR, &mut rng);
        told.extend(some(far, TOLD_FAR, &mut rng));
        swim.tell(status, told)
    }

    /// Asks the seeds who they are.
    pub(crate) async fn knock(&self, shared: &Shared) {
        let out: Vec<Send> = {
            let swim = lock(&self.swim);
            let own = shared.settings.listen.peers;
            let seeds = shared.settings.seeds.iter().filter(|seed| **seed != own);
            let status = status(shared, self);
            seeds.map(|seed| swim.knock(*seed, status)).collect()
        };
        send_all(shared, self, out).await;
    }

    pub(crate) fn introduce(&self, shared: &Shared, adverts: &[Advert]) {
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
        swim.introduce(&unknown, now);
    }
}

/// Members of all failure domains in turn. Where only some of those that are alike
/// carry callers, the loss of one domain must not take all of them.
fn by_turns<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
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

/// The addresses of `most` of the members.
fn some(mut members: Vec<&Member>, most: usize, rng: &mut dyn Rng) -> Vec<SocketAddr> {
    while members.len() > most {
        let at = (rng.next_u64() % members.len() as u64) as usize;
        members.swap_remove(at);
    }
    members
        .iter()
        .map(|member| member.addresses.peers)
        .collect()
}

/// A member that is only known by its advert may not have started.
fn is_started(member: &&Member) -> bool {
    member.incarnation > Incarnation(0)
}

pub(crate) fn addresses(settings: &RelaySettings) -> Addresses {
    Addresses {
        callers: settings.listen.callers,
        operators: settings.listen.metrics,
        peers: settings.listen.peers,
    }
}

/// Waits until the entry serves: others send callers to every member that they
/// have heard of. Tells whether it does; if not, it has ended.
pub(crate) async fn serves(shared: &Shared) -> bool {
    let mut phases = shared.phase.subscribe();
    let served = phases.wait_for(|phase| *phase > Phase::Starting).await;
    served.is_ok()
}

/// Probes, and answers probes, for as long as the entry runs.
pub(crate) async fn probe(shared: Arc<Shared>, members: Arc<Members>) {
    if !serves(&shared).await {
        return;
    }
    announce(&shared, &members).await;
    let mut versions = shared.version.subscribe();
    loop {
        let wake = shared.host.clock.instant(lock(&members.swim).wake());
        let mut out = Vec::new();
        tokio::select! {
            biased;
            (probe, from) = members.probes.receive() => {
                receive(&shared, &members, &probe, from, &mut out);
            }
            // The sender lives as long as the entry.
            _ = versions.changed() => out = members.tell_some(&shared),
            () = sleep_until(wake) => {
                let now = shared.now();
                let mut rng = shared.host.rng();
                let status = status(&shared, &members);
                let mut swim = lock(&members.swim);
                swim.tell_load(members.load.load(Ordering::Relaxed));
                swim.tick(status, now, &mut rng, &mut out);
                drop(swim);
                share(&shared, &members);
            }
        }
        send_all(&shared, &members, out).await;
        take_changes(&shared, &members);
    }
}

/// Tells the members that this entry leaves.
pub(crate) async fn leave(shared: &Shared, members: &Members) {
    lock(&members.swim).leave(None);
    announce(shared, members).await;
}

/// Tells the members that this entry ends now.
pub(crate) async fn farewell(shared: &Shared, members: &Members) {
    let out = lock(&members.swim).stop(status(shared, members), TOLD);
    send_all(shared, members, out).await;
}

async fn announce(shared: &Shared, members: &Members) {
    let out = lock(&members.swim).announce(status(shared, members), TOLD);
    send_all(shared, members, out).await;
}

fn receive(
    shared: &Shared,
    members: &Members,
    probe: &Probe,
    from: SocketAddr,
    out: &mut Vec<Send>,
) {
    let now: Time = shared.now();
    lock(&members.swim).receive(probe, from, status(shared, members), now, out);
    let distance = match probe.from.domain == shared.settings.entry.domain {
        true => Distance::Near,
        false => Distance::Far,
    };
    quarantine::hear(shared, &probe.cases);
    shared.hear_version(probe.from.addresses.peers, probe.book, distance);
}

/// What this entry says of itself: its load in calls to leafs a second.
fn status(shared: &Shared, members: &Members) -> Status {
    let calls = shared.calls.load(Ordering::Relaxed);
    let load = lock(&members.rate).take(calls, shared.now());
    let steady = lock(&members.steady).take(calls, shared.now());
    members.load.store(steady, Ordering::Relaxed);
    Status {
        load,
        book: shared.book_version(),
        ..Status::default()
    }
}

/// Tells some members what is news of requests that end leafs.
pub(crate) async fn tell_cases(shared: &Shared, members: &Members) {
    let out = members.tell_some(shared);
    send_all(shared, members, out).await;
}

/// Sends messages that are due together. They carry the same cases.
async fn send_all(shared: &Shared, members: &Members, out: Vec<Send>) {
    if out.is_empty() {
        return;
    }
    let cases = quarantine::cases(shared, members.count());
    for Send { to, mut probe } in out {
        probe.carry(&cases);
        members.probes.send(to, probe).await;
    }
}

fn take_changes(shared: &Shared, members: &Members) {
    let changes: BTreeMap<MemberId, Change> =
        lock(&members.swim).take_changes().into_iter().collect();
    if changes.is_empty() {
        return;
    }
    for (id, change) in changes {
        let word = match change {
            Change::Joined => "joined",
            Change::Suspected => "is suspected",
            Change::Leaving => "is leaving",
            Change::Gone => "is gone",
            Change::None => continue,
        };
        info!(shared.host.log, "fleet: {id} {word}");
    }
    shared.choose.notify_one();
    share(shared, members);
}

/// Divides what all entries may use together among those that are there. One
/// that is leaving still serves and counts.
pub(crate) fn share(shared: &Shared, members: &Members) {
    shared.metrics.members.set(members.count() as i64);
    shared.traffic.set_near(members.near(shared));
    shared.allot(members.allotment(shared));
}
