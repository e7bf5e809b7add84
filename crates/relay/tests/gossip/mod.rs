//! Entries that hear of each other one by one, in virtual time: each has its own view of the
//! members, stops and starts are heard of at different times, and an organisation asks through all
//! of them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnut_fleet::{Homes, Reach};
use chestnut_route::{Allowances, Ask, Grant, Granters, RateHome, RateMargins, Take, TokenReply};
use chestnut_unit::{MemberId, OrgName, RateLimit, Time, WallTime};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Greatest difference of two entries' clocks, in milliseconds.
const MAX_SKEW: u64 = 300;
/// Entries that a request asks in turn, as in `limits.rs`.
const MAX_HOPS: usize = 3;
/// The entries that are seeds.
const SEEDS: [usize; 3] = [0, 1, 2];
/// Time from which an entry takes itself for the first seed that runs, as in `limits.rs`.
const SEED_WAIT: Duration = Duration::from_secs(2);

/// What an entry knows of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known {
    started: WallTime,
    leaving: bool,
}

/// A change of a member that an entry will hear of.
#[derive(Clone, Copy, Debug)]
struct News {
    member: usize,
    known: Known,
}

/// What happens to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It announces that it leaves, and goes on answering.
    Leave,
    /// Its process ends.
    End,
    /// It starts again and knows only itself.
    Start,
}

struct Entry {
    id: MemberId,
    up: bool,
    /// When its process started.
    since: Time,
    /// By how much its clock is ahead, in milliseconds.
    skew: u64,
    known: BTreeMap<usize, Known>,
    /// What it will hear, in order of time; the number tells apart what comes at one time.
    news: BTreeMap<(Time, usize), News>,
    homes: Homes,
    /// Members that were homes when it last looked.
    joined: usize,
    allowances: Allowances,
    home: RateHome,
    granters: Granters,
}

/// Counts by which a sum above the bound is explained.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that ran, and that were refused.
    pub ran: usize,
    pub refused: usize,
    /// Requests that ran on an entry's own part.
    pub detached: usize,
    /// How often another entry granted tokens than the one before.
    pub changes: usize,
}

/// The entries, the callers of one organisation, and what ran.
pub struct Gossip {
    entries: Vec<Entry>,
    numbers: BTreeMap<MemberId, usize>,
    margins: RateMargins,
    org: OrgName,
    limit: RateLimit,
    rng: ChaCha8Rng,
    now: Time,
    /// Longest time until an entry hears of a change.
    notice: f64,
    script: Vec<(Time, usize, Event)>,
    ran: Vec<Time>,
    granter: Option<usize>,
    /// What ran and was refused, and why.
    pub counts: Counts,
}

impl Gossip {
    /// Creates `count` entries that have known each other for long, of which a tenth is strong.
    pub fn new(
        count: usize,
        margins: RateMargins,
        limit: RateLimit,
        notice: f64,
        seed: u64,
    ) -> Self {
        let known = Known {
            started: WallTime(0),
            leaving: false,
        };
        let entry = |n: usize| Entry {
            id: MemberId::new(format!("entry-{n}")).unwrap(),
            up: true,
            since: Time::ZERO,
            skew: n as u64 * 7919 % MAX_SKEW,
            known: (0..count).map(|n| (n, known)).collect(),
            news: BTreeMap::new(),
            homes: Homes::default(),
            joined: 0,
            allowances: Allowances::new(margins),
            home: RateHome::new(margins, Time::ZERO),
            granters: Granters::default(),
        };
        let entries: Vec<Entry> = (0..count).map(entry).collect();
        let numbers = entries.iter().enumerate();
        let mut world = Self {
            numbers: numbers.map(|(n, entry)| (entry.id.clone(), n)).collect(),
            entries,
            margins,
            org: OrgName::new("club").unwrap(),
            limit,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO + Duration::from_secs(14),
            notice,
            script: Vec::new(),
            ran: Vec::new(),
            granter: None,
            counts: Counts::default(),
        };
        for n in 0..count {
            world.look(n, Time::ZERO);
            // All have run long enough then.
            world.homes_changed(n, Time::ZERO + Duration::from_secs(4));
        }
        world
    }

    /// The time of day at entry `n`.
    fn wall(&self, n: usize, now: Time) -> WallTime {
        let ms = now.since(Time::ZERO).as_millis() as u64;
        WallTime(ms + self.entries[n].skew)
    }

    /// The strong entries.
    pub fn strong(&self) -> Vec<usize> {
        (0..self.entries.len()).step_by(10).collect()
    }

    /// The `count` strong entries that come first as the home, the first choice first.
    pub fn best_homes(&self, count: usize) -> Vec<usize> {
        let mut strong = self.strong();
        let mut best = Vec::new();
        for _ in 0..count {
            let members = strong
                .iter()
                .map(|n| (&self.entries[*n].id, 1, WallTime(0)));
            let homes = Homes::new(members);
            let home = self.numbers[homes.home_of(&self.org, WallTime(10_000)).unwrap()];
            strong.retain(|n| *n != home);
            best.push(home);
        }
        best
    }

    /// Lets something happen to an entry some seconds from now.
    pub fn after(&mut self, seconds: f64, n: usize, event: Event) {
        let at = self.now + Duration::from_secs_f64(seconds);
        self.script.push((at, n, event));
        self.script.sort_by_key(|(at, _, _)| *at);
    }

    fn happens(&mut self, n: usize, event: Event, now: Time) {
        match event {
            Event::Leave => {
                self.entries[n].known.get_mut(&n).unwrap().leaving = true;
                self.look(n, now);
                self.announce(n, now);
            }
            Event::End => self.entries[n].up = false,
            Event::Start => self.start(n, now),
        }
    }

    /// Starts an entry that knows only itself, and hears of the others one by one.
    fn start(&mut self, n: usize, now: Time) {
        let known = Known {
            started: self.wall(n, now),
            leaving: false,
        };
        let margins = self.margins;
        let entry = &mut self.entries[n];
        entry.up = true;
        entry.since = now;
        entry.known = BTreeMap::from([(n, known)]);
        entry.news.clear();
        entry.allowances = Allowances::new(margins);
        entry.home = RateHome::new(margins, now);
        entry.granters = Granters::default();
        entry.homes = Homes::default();
        self.look(n, now);
        self.announce(n, now);
        for member in 0..self.entries.len() {
            let other = &self.entries[member];
            if member != n && other.up {
                let known = other.known[&member];
                let at = now + self.delay();
                let news = &mut self.entries[n].news;
                news.insert((at, news.len()), News { member, known });
            }
        }
    }

    /// A random time until an entry hears of something.
    fn delay(&mut self) -> Duration {
        Duration::from_secs_f64(self.rng.random::<f64>() * self.notice)
    }

    /// Tells all that are up of a member, each after a time of its own.
    fn announce(&mut self, member: usize, now: Time) {
        let known = self.entries[member].known[&member];
        for n in 0..self.entries.len() {
            let at = now + self.delay();
            if n != member && self.entries[n].up {
                let news = &mut self.entries[n].news;
                news.insert((at, news.len()), News { member, known });
            }
        }
    }

    /// Lets entry `n` hear what is due, and then look at the members once, as entries do at
    /// intervals.
    fn settle(&mut self, n: usize) {
        let entry = &mut self.entries[n];
        let mut heard = None;
        while let Some(first) = entry.news.first_entry()
            && first.key().0 <= self.now
        {
            let ((at, _), news) = first.remove_entry();
            let old = entry.known.get(&news.member);
            let is_newer =
                |old: &Known| (old.started, old.leaving) < (news.known.started, news.known.leaving);
            if old.is_none_or(is_newer) {
                entry.known.insert(news.member, news.known);
                heard = Some(at);
            }
        }
        if let Some(at) = heard {
            self.look(n, at);
        }
    }

    /// Updates the homes of entry `n` by the members that it knows.
    fn look(&mut self, n: usize, now: Time) {
        let weight = |n: usize| if n.is_multiple_of(10) { 4000 } else { 800 };
        let working = self.entries[n].known.iter();
        let working = working.filter(|(_, known)| !known.leaving);
        let members = working.map(|(m, known)| (&self.entries[*m].id, weight(*m), known.started));
        let homes = Homes::new(members);
        if self.entries[n].homes != homes {
            self.entries[n].homes = homes;
            self.homes_changed(n, now);
        }
    }

    fn homes_changed(&mut self, n: usize, now: Time) {
        let is_home = self.home_of(n, now) == n;
        let wall = self.wall(n, now);
        let entry = &mut self.entries[n];
        entry.home.members_changed(|_| is_home, now);
        entry.joined = entry.homes.joined(wall);
    }

    /// The home that entry `n` believes in.
    fn home_of(&self, n: usize, now: Time) -> usize {
        let entry = &self.entries[n];
        let wall = self.wall(n, now);
        if entry.homes.joined(wall) == 0 {
            let runs = |seed: &usize| match *seed == n {
                true => n == SEEDS[0] || now.since(entry.since) >= SEED_WAIT,
                false => entry.known.get(seed).is_some_and(|known| !known.leaving),
            };
            return SEEDS.into_iter().find(runs).unwrap_or(SEEDS[0]);
        }
        let home = entry.homes.home_of(&self.org, wall);
        home.map_or(n, |id| self.numbers[id])
    }

    /// What entry `n` answers to a request for tokens.
    fn reply(&mut self, n: usize, ask: Ask) -> Option<TokenReply> {
        if !self.entries[n].up {
            return None;
        }
        self.settle(n);
        let now = self.now;
        if self.entries[n].homes.joined(self.wall(n, now)) != self.entries[n].joined {
            self.homes_changed(n, now);
        }
        let home = self.home_of(n, now);
        let former = &mut self.entries[n].home;
        Some(match home == n {
            true => TokenReply::Granted(self.grant(n, ask)),
            false => match former.grant_former(&self.org, ask.want, now) {
                Some(grant) => TokenReply::Granted(grant),
                None => TokenReply::Elsewhere(address(home)),
            },
        })
    }

    fn grant(&mut self, n: usize, ask: Ask) -> Grant {
        let now = self.now;
        let share = Reach::default().share(None, now);
        let (org, limit) = (&self.org, self.limit);
        let grant = self.entries[n].home.grant(org, limit, share, ask, now);
        if grant.tokens > 0 && self.granter != Some(n) {
            self.granter = Some(n);
            self.counts.changes += 1;
        }
        grant
    }

    /// Asks the home that entry `n` believes in, and those that are named.
    fn ask(&mut self, n: usize, ask: Ask) -> Option<Grant> {
        let mut believed = self.home_of(n, self.now);
        let mut to = believed;
        for _ in 0..MAX_HOPS {
            match self.reply(to, ask)? {
                TokenReply::Granted(grant) if grant.tokens > 0 => {
                    let granters = &mut self.entries[n].granters;
                    granters.granted(&self.org, address(to), self.now);
                    return Some(grant);
                }
                TokenReply::Granted(refusal) => {
                    return Some(self.ask_former(n, to, ask.want).unwrap_or(refusal));
                }
                TokenReply::Elsewhere(home) => {
                    let named = usize::from(home.port());
                    let from = std::mem::replace(&mut to, named);
                    if from == believed {
                        self.home_named(n, from, named);
                        believed = self.home_of(n, self.now);
                        to = if believed == from { named } else { believed };
                    }
                }
                TokenReply::Unknown => return None,
            }
        }
        None
    }

    /// Lets entry `n` take `from` out of the homes if it names another of them, as in `limits.rs`.
    fn home_named(&mut self, n: usize, from: usize, named: usize) {
        let (now, wall) = (self.now, self.wall(n, self.now));
        let homes = &self.entries[n].homes;
        let has_joined = |member: usize| homes.has_joined(&self.entries[member].id, wall);
        if has_joined(from) && has_joined(named) {
            self.entries[n].homes = homes.without(&self.entries[from].id);
            self.homes_changed(n, now);
        }
    }

    /// Asks the home of before for what it has left.
    fn ask_former(&mut self, n: usize, home: usize, want: u32) -> Option<Grant> {
        let granters = &self.entries[n].granters;
        let former = granters.former(&self.org, address(home), self.now)?;
        match self.reply(usize::from(former.port()), Ask { want, used: 0 }) {
            Some(TokenReply::Granted(grant)) if grant.tokens > 0 => Some(grant),
            _ => {
                self.entries[n].granters.has_none(&self.org, former);
                None
            }
        }
    }

    /// Requests that ran on the own part of entry `n` since its start.
    fn detached(&self, n: usize) -> usize {
        let usage = self.entries[n].allowances.usage();
        usage.map(|(_, usage)| usage.detached as usize).sum()
    }

    /// The home that most entries believe in.
    pub fn home(&mut self) -> usize {
        let mut votes = vec![0; self.entries.len()];
        for n in 0..self.entries.len() {
            self.settle(n);
            votes[self.home_of(n, self.now)] += usize::from(self.entries[n].up);
        }
        (0..votes.len()).max_by_key(|n| votes[*n]).unwrap()
    }

    /// Stops entry `n` by plan and starts it again: it leaves, ends after `grace` seconds and
    /// starts 0.3 s later.
    pub fn stop(&mut self, seconds: f64, n: usize, grace: f64) {
        self.after(seconds, n, Event::Leave);
        self.after(seconds + grace, n, Event::End);
        self.after(seconds + grace + 0.3, n, Event::Start);
    }

    /// A request of the organisation at entry `n`.
    fn request(&mut self, n: usize, serving: usize) {
        if !self.entries[n].up {
            return;
        }
        self.settle(n);
        let (org, limit, now) = (self.org.clone(), self.limit, self.now);
        let detached = self.detached(n);
        let take = self.entries[n].allowances.take(&org, limit, serving, now);
        let take = match take {
            Take::Ask(ask) => {
                let answer = self.ask(n, ask);
                let allowances = &mut self.entries[n].allowances;
                allowances.answered(&org, limit, serving, answer, now, now)
            }
            take => take,
        };
        match take {
            Take::Granted(_) => {
                self.ran.push(now);
                self.counts.ran += 1;
                self.counts.detached += self.detached(n) - detached;
            }
            Take::Refused(_) => self.counts.refused += 1,
            Take::Ask(_) => panic!("it was asked"),
        }
    }

    /// Requests at `per_s`, at random times, through the first `serving` entries, for `seconds`.
    pub fn load(&mut self, per_s: f64, serving: usize, seconds: f64) {
        let end = self.now + Duration::from_secs_f64(seconds);
        while self.now < end {
            let gap = -self.rng.random::<f64>().max(1e-12).ln() / per_s;
            self.now = self.now + Duration::from_secs_f64(gap);
            while let Some((at, n, event)) = self.script.first().copied()
                && at <= self.now
            {
                self.script.remove(0);
                self.settle(n);
                self.happens(n, event, at);
            }
            let n = (self.rng.next_u64() % serving as u64) as usize;
            self.request(n, serving);
        }
    }

    /// The most requests that ran in any window.
    pub fn most_in_window(&self) -> usize {
        let window = Duration::from_secs_f64(self.margins.window);
        let (mut last, mut most) = (0, 0);
        for first in 0..self.ran.len() {
            while last < self.ran.len() && self.ran[last].since(self.ran[first]) < window {
                last += 1;
            }
            most = most.max(last - first);
        }
        most
    }
}

/// The address of entry `n`.
fn address(n: usize) -> SocketAddr {
    ([127, 0, 0, 1], n as u16).into()
}
