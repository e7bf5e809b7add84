//! Limits of organisations over all entries: tokens that the home of an organisation grants.
//!
//! A request of an organisation with a limit needs a token. The home, one entry for each
//! organisation, keeps its token bucket; an entry that can't reach it admits a small part of
//! the limit by itself.

use std::{collections::BTreeMap, net::SocketAddr, sync::Mutex, time::Duration};

use chestnut_book::Organisation;
use chestnut_fleet::{Contact, Homes, Reach};
use chestnut_flow::lock;
use chestnut_route::{
    Allowances, Ask, Grant, Granters, OrgUse, RateHome, RateMargins, Take, Token, TokenReply,
};
use chestnut_unit::{DomainName, MemberId, OrgName, RateLimit, Time, WallTime};
use rand::{Rng, seq::IndexedRandom};
use slog::debug;
use tokio::time::timeout;

use crate::{feeds::PeerFeeds, shared::Shared};

/// How long a request waits for the home's answer. Far more than a round trip, and little
/// compared with the latency objective of an urgent request.
const ASK_TIMEOUT: Duration = Duration::from_millis(40);
/// Entries that are asked in turn: two that leave one after the other, and the one after them.
/// Entries that see each other differently may name each other in a circle.
const MAX_HOPS: usize = 3;
/// Time after its start from which an entry that hears of no seed before it in the list takes
/// itself for the first that runs. By then it has heard of those that do.
const SEED_WAIT: Duration = Duration::from_secs(2);
/// Least time between two looks at the members; short beside the time in which they notice the
/// end of one.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// The tokens that this entry holds, those that it grants as a home, and which entry is the
/// home of each organisation.
pub(crate) struct OrgLimits {
    state: Mutex<LimitState>,
}

struct LimitState {
    allowances: Allowances,
    home: RateHome,
    /// The entries that granted tokens to this one.
    granters: Granters,
    homes: Homes,
    /// Number of members that were homes when that was last looked at.
    joined: usize,
    /// Whether this entry was the home of all organisations of a start then.
    was_starting_home: bool,
    peers: BTreeMap<MemberId, SocketAddr>,
    reach: Reach,
    /// The part of the live members that answers, and their addresses by failure domain.
    contact: Contact,
    domains: BTreeMap<DomainName, Vec<SocketAddr>>,
    /// Address of this entry for its peers, and those of the seeds in order.
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    /// Whether an organisation of the book has a limit; without one nothing is updated.
    any_limit: bool,
    /// When the members are looked at again.
    next_update: Time,
}

/// The entry that grants the tokens of an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Home {
    Own,
    Peer(SocketAddr),
}

/// The members as this entry sees them, for the choice of homes.
pub(crate) struct HomeView {
    /// The homes, among the members that are alive and accept work.
    pub(crate) homes: Homes,
    /// Addresses for peers of the others of these members, by failure domain.
    pub(crate) domains: BTreeMap<DomainName, Vec<SocketAddr>>,
    /// Addresses for peers of these members.
    pub(crate) peers: BTreeMap<MemberId, SocketAddr>,
    /// All members that are not stopped by plan, and whether each is alive.
    pub(crate) members: BTreeMap<MemberId, bool>,
}

impl OrgLimits {
    /// Creates the limits of an entry that starts, at `own` for its peers, and knows no other but
    /// the seeds.
    pub(crate) fn new(margins: RateMargins, own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let mut seeds = seeds.to_vec();
        seeds.sort();
        let state = LimitState {
            allowances: Allowances::new(margins),
            home: RateHome::new(margins, Time::ZERO),
            granters: Granters::default(),
            homes: Homes::default(),
            joined: 0,
            was_starting_home: false,
            peers: BTreeMap::new(),
            reach: Reach::default(),
            contact: Contact::default(),
            domains: BTreeMap::new(),
            own,
            seeds,
            any_limit: false,
            next_update: Time::ZERO,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Applies changed settings.
    pub(crate) fn set_margins(&self, margins: RateMargins) {
        let mut state = lock(&self.state);
        state.allowances.set_margins(margins);
        state.home.set_margins(margins);
    }

    /// Records whether an organisation of the book in force has a limit.
    pub(crate) fn set_any_limit(&self, any_limit: bool) {
        lock(&self.state).any_limit = any_limit;
    }

    /// Returns whether the members are to be looked at: the cost grows with their number.
    pub(crate) fn is_update_due(&self, now: Time) -> bool {
        let state = lock(&self.state);
        state.any_limit && now >= state.next_update
    }

    /// Makes the next look at the members due at once.
    pub(crate) fn look_again(&self) {
        lock(&self.state).next_update = Time::ZERO;
    }

    /// Makes the next look at the members due at once if one of `changed`, which have left or
    /// are gone, was a home: until then nobody grants the tokens of its organisations.
    pub(crate) fn members_left<'a>(&self, mut changed: impl Iterator<Item = &'a MemberId>) {
        let mut state = lock(&self.state);
        let homes = &state.homes;
        if changed.any(|id| homes.contains(id)) {
            state.next_update = Time::ZERO;
        }
    }

    /// Updates the members. Organisations whose home has changed get a new bucket there.
    pub(crate) fn update(&self, view: HomeView, own: &MemberId, now: Time, wall: WallTime) {
        let mut state = lock(&self.state);
        let state = &mut *state;
        state.next_update = now + UPDATE_INTERVAL;
        state.peers = view.peers;
        let members = view.members.iter().map(|(id, alive)| (id, *alive));
        state.reach.update(members, now);
        let counts = view.domains.iter();
        let counts = counts.map(|(domain, members)| (domain.clone(), members.len()));
        state.contact.update(counts);
        state.domains = view.domains;
        // Members that have run long enough by now are looked for here too: a bucket of an
        // organisation that asks much later holds what has come since.
        let changed = state.homes != view.homes;
        state.homes = view.homes;
        if changed || state.is_outdated(now, wall) {
            state.homes_changed(own, now, wall);
        }
    }

    /// Returns an organisation that asks for most of its limit at this entry as its home, if there
    /// is one.
    pub(crate) fn pressed(&self, now: Time) -> Option<OrgName> {
        lock(&self.state).home.pressed(now).cloned()
    }

    /// Returns up to `most` random live members of each failure domain.
    pub(crate) fn probe_targets(
        &self,
        most: usize,
        rng: &mut impl Rng,
    ) -> Vec<(DomainName, SocketAddr)> {
        let state = lock(&self.state);
        let mut targets = Vec::new();
        for (domain, members) in &state.domains {
            let sample = members.sample(rng, most);
            targets.extend(sample.map(|to| (domain.clone(), *to)));
        }
        targets
    }

    /// Records whether a member of a failure domain answered a probe.
    pub(crate) fn probed(&self, domain: &DomainName, answered: bool, now: Time) {
        lock(&self.state).contact.probed(domain, answered, now);
    }

    /// Returns the part of the live members that answers.
    pub(crate) fn reached(&self, now: Time) -> f64 {
        lock(&self.state).contact.fraction(now)
    }

    /// The organisations that asked at this entry, with what became of their requests, the
    /// `most` that asked most; and the sum of the others.
    pub(crate) fn usage(&self, most: usize) -> (Vec<(OrgName, OrgUse)>, OrgUse) {
        let state = lock(&self.state);
        let mut list: Vec<(OrgName, OrgUse)> = state
            .allowances
            .usage()
            .map(|(org, usage)| (org.clone(), *usage))
            .collect();
        drop(state);
        list.sort_by_key(|(_, usage)| std::cmp::Reverse(usage.asked));
        let others = list.split_off(most.min(list.len()));
        let mut rest = OrgUse::default();
        for (_, usage) in others {
            rest.asked += usage.asked;
            rest.refused += usage.refused;
            rest.detached += usage.detached;
        }
        (list, rest)
    }
}

impl LimitState {
    /// Lets the buckets of organisations drain that have got another home; those of which this
    /// entry has become the home start anew.
    fn homes_changed(&mut self, own: &MemberId, now: Time, wall: WallTime) {
        let (homes, joined) = (&self.homes, self.homes.joined(wall));
        let is_starting_home = self.is_starting_home(now, wall);
        let is_home =
            |org: &OrgName| is_starting_home || joined > 0 && homes.home_of(org, wall) == Some(own);
        self.home.members_changed(is_home, now);
        self.joined = joined;
        self.was_starting_home = is_starting_home;
    }

    /// Returns whether this entry is the home of all organisations of a start.
    fn is_starting_home(&self, now: Time, wall: WallTime) -> bool {
        self.homes.joined(wall) == 0 && self.starting_home(now) == Home::Own
    }

    /// Returns whether organisations have got another home since the members were looked at
    /// because time has passed: a bucket must not hold what came due before.
    fn is_outdated(&self, now: Time, wall: WallTime) -> bool {
        self.homes.joined(wall) != self.joined
            || self.is_starting_home(now, wall) != self.was_starting_home
    }

    /// Takes the entry at `from`, which this one took for a home, out of the homes if it names
    /// another of them as the home: by the same members it would name itself, so it has left, and
    /// the news of that is still on its way. While this entry waited for it, nobody would grant.
    fn home_named(
        &mut self,
        from: SocketAddr,
        named: SocketAddr,
        own: &MemberId,
        now: Time,
        wall: WallTime,
    ) {
        let at = |address: SocketAddr| match address == self.own {
            true => Some(own.clone()),
            false => {
                let mut peers = self.peers.iter();
                peers
                    .find(|(_, to)| **to == address)
                    .map(|(id, _)| id.clone())
            }
        };
        let (Some(from), Some(named)) = (at(from), at(named)) else {
            return;
        };
        if self.homes.has_joined(&from, wall) && self.homes.has_joined(&named, wall) {
            self.homes = self.homes.without(&from);
            self.peers.remove(&from);
            self.homes_changed(own, now, wall);
        }
    }

    /// Returns the home of an organisation. An entry that has just started may know too few members
    /// to be right; the one that it takes for the home then names another.
    fn home_of(&self, org: &OrgName, own: &MemberId, now: Time, wall: WallTime) -> Home {
        if self.homes.joined(wall) == 0 {
            return self.starting_home(now);
        }
        match self.homes.home_of(org, wall) {
            Some(id) if id != own => self.peers.get(id).map_or(Home::Own, |to| Home::Peer(*to)),
            _ => Home::Own,
        }
    }

    /// Returns the home of all organisations while no member has run for a while, as after a loss
    /// of power everywhere: the first seed that is known to run, else the first. All entries have
    /// the same seeds, while it takes them seconds to know the same members.
    fn starting_home(&self, now: Time) -> Home {
        let is_first = self.seeds.first() == Some(&self.own);
        let counts = is_first || now.since(Time::ZERO) >= SEED_WAIT;
        let runs = |seed: &&SocketAddr| match **seed == self.own {
            true => counts,
            false => self.peers.values().any(|peer| peer == *seed),
        };
        let seed = self.seeds.iter().find(runs).or(self.seeds.first());
        match seed {
            Some(seed) if *seed != self.own => Home::Peer(*seed),
            _ => Home::Own,
        }
    }
}

/// A token for one request. It is given back when dropped, unless the request may have run.
pub(crate) struct Permit<'a> {
    shared: &'a Shared,
    org: OrgName,
    token: Token,
    spent: bool,
}

impl Permit<'_> {
    /// Marks the token as used or not.
    pub(crate) fn set_spent(&mut self, spent: bool) {
        self.spent = spent;
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        if !self.spent {
            let now = self.shared.now();
            let mut state = lock(&self.shared.limits.state);
            state.allowances.give_back(&self.org, self.token, now);
        }
    }
}

/// Takes a token for a request of an organisation, from its home if this entry holds none;
/// `None` if the organisation has no limit. The error is the delay after which the caller may
/// come back.
pub(crate) async fn admit<'a>(
    shared: &'a Shared,
    peers: &dyn PeerFeeds,
    organisation: &Organisation,
) -> Result<Option<Permit<'a>>, Duration> {
    let Some(limit) = organisation.limit else {
        return Ok(None);
    };
    let org = &organisation.name;
    let entries = lock(&shared.cell.state).extra.quota.serving;
    let now = shared.now();
    let take = lock(&shared.limits.state)
        .allowances
        .take(org, limit, entries, now);
    let take = match take {
        Take::Ask(ask) => {
            let answer = ask_home(shared, peers, org, limit, ask).await;
            let mut state = lock(&shared.limits.state);
            let allowances = &mut state.allowances;
            allowances.answered(org, limit, entries, answer, now, shared.now())
        }
        take => take,
    };
    match take {
        Take::Granted(token) => Ok(Some(Permit {
            shared,
            org: org.clone(),
            token,
            spent: false,
        })),
        Take::Refused(after) => Err(after),
        Take::Ask(_) => unreachable!("the home was asked"),
    }
}

/// Asks the home of an organisation for tokens, and if it has none a home of before; `None`
/// without an answer in time.
async fn ask_home(
    shared: &Shared,
    peers: &dyn PeerFeeds,
    org: &OrgName,
    limit: RateLimit,
    ask: Ask,
) -> Option<Grant> {
    let mut believed = believed_address(shared, org);
    let mut to = believed;
    for _ in 0..MAX_HOPS {
        match ask_entry(shared, peers, to, org, limit, ask).await {
            Some(TokenReply::Granted(grant)) if grant.tokens > 0 => {
                let mut state = lock(&shared.limits.state);
                state.granters.granted(org, to, shared.now());
                return Some(grant);
            }
            Some(TokenReply::Granted(refusal)) => {
                let former = ask_former(shared, peers, org, limit, to, ask.want).await;
                return Some(former.unwrap_or(refusal));
            }
            Some(TokenReply::Elsewhere(home)) => {
                let from = std::mem::replace(&mut to, home);
                if from == believed {
                    home_named(shared, from, home);
                    believed = believed_address(shared, org);
                    // It may come before the one that was named, and has left as well.
                    to = if believed == from { home } else { believed };
                }
            }
            Some(TokenReply::Unknown) | None => break,
        }
    }
    debug!(shared.runtime.log, "limit: no answer of the home of {org}"; "home" => %to);
    None
}

/// Asks an entry for tokens, this one or another; `None` without an answer in time.
async fn ask_entry(
    shared: &Shared,
    peers: &dyn PeerFeeds,
    to: SocketAddr,
    org: &OrgName,
    limit: RateLimit,
    ask: Ask,
) -> Option<TokenReply> {
    if to == shared.settings.listen.peers {
        return Some(reply(shared, org, limit, ask));
    }
    let answer = timeout(ASK_TIMEOUT, peers.tokens(to, org, ask)).await;
    answer.ok()?.ok()
}

/// Asks the entry that granted tokens before the `home`, which has none, for what it has left.
async fn ask_former(
    shared: &Shared,
    peers: &dyn PeerFeeds,
    org: &OrgName,
    limit: RateLimit,
    home: SocketAddr,
    want: u32,
) -> Option<Grant> {
    let now = shared.now();
    let former = lock(&shared.limits.state).granters.former(org, home, now)?;
    // The home was told what was used without it.
    let ask = Ask { want, used: 0 };
    match ask_entry(shared, peers, former, org, limit, ask).await {
        Some(TokenReply::Granted(grant)) if grant.tokens > 0 => Some(grant),
        _ => {
            lock(&shared.limits.state).granters.has_none(org, former);
            None
        }
    }
}

/// Records that the entry at `from`, which this one took for a home, named another.
fn home_named(shared: &Shared, from: SocketAddr, named: SocketAddr) {
    let own = &shared.settings.entry.member;
    let wall = shared.runtime.clock.wall();
    lock(&shared.limits.state).home_named(from, named, own, shared.now(), wall);
}

/// The address of the home of an organisation, as this entry sees the members.
fn believed_address(shared: &Shared, org: &OrgName) -> SocketAddr {
    match believed_home(shared, org) {
        Home::Own => shared.settings.listen.peers,
        Home::Peer(to) => to,
    }
}

/// The home of an organisation, as this entry sees the members.
fn believed_home(shared: &Shared, org: &OrgName) -> Home {
    let own = &shared.settings.entry.member;
    let wall = shared.runtime.clock.wall();
    lock(&shared.limits.state).home_of(org, own, shared.now(), wall)
}

/// Answers a peer that takes this entry for the home of an organisation.
pub(crate) fn grant_to_peer(shared: &Shared, org: &OrgName, ask: Ask) -> TokenReply {
    if ask == Ask::PROBE {
        return TokenReply::Elsewhere(believed_address(shared, org));
    }
    let book = lock(&shared.cell.state).extra.book.clone();
    let organisations = book.as_ref().and_then(|book| book.organisations());
    let organisation = organisations.and_then(|orgs| orgs.get(org));
    match organisation.and_then(|organisation| organisation.limit) {
        Some(limit) => reply(shared, org, limit, ask),
        None => match believed_home(shared, org) {
            Home::Own => TokenReply::Unknown,
            Home::Peer(home) => TokenReply::Elsewhere(home),
        },
    }
}

/// Grants tokens as the home of an organisation, or those that are left if this entry was the
/// home until shortly before; or else names the home.
fn reply(shared: &Shared, org: &OrgName, limit: RateLimit, ask: Ask) -> TokenReply {
    let now = shared.now();
    let store_lost = shared.store_status.borrow().lost_for(now);
    let own = &shared.settings.entry.member;
    let wall = shared.runtime.clock.wall();
    let mut state = lock(&shared.limits.state);
    if state.is_outdated(now, wall) {
        state.homes_changed(own, now, wall);
    }
    match state.home_of(org, own, now, wall) {
        Home::Own => {
            let followers = state.contact.fraction(now);
            state.home.set_followers(followers);
            let share = state.reach.share(store_lost, now);
            TokenReply::Granted(state.home.grant(org, limit, share, ask, now))
        }
        // What was used without a home is charged where the limit is kept from now on.
        Home::Peer(home) if ask.used > 0 => TokenReply::Elsewhere(home),
        Home::Peer(home) => match state.home.grant_former(org, ask.want, now) {
            Some(grant) => TokenReply::Granted(grant),
            None => TokenReply::Elsewhere(home),
        },
    }
}
