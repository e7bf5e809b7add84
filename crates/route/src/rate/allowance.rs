//! What one entry may admit of each organisation: the tokens that it was granted, or its own
//! small part while it can't reach the home.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::{OrgName, RateLimit, Time};

use super::{Ask, DETACHED_SHARE, Grant, RateMargins, TERM_SHARE, bucket::Bucket};

/// How long the home is not asked again after it gave no answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time for which the home's refusal is repeated to further callers without asking.
const MAX_DENIAL: Duration = Duration::from_millis(20);
/// Longest time in which the home is expected to answer.
const MAX_ANSWER: Duration = Duration::from_millis(100);
/// Share of a token's term for which tokens are asked ahead of need, by the recent rate.
const AHEAD_SHARE: f64 = 0.5;
/// Seconds of its own part that an entry has at once when it loses the home, for requests that
/// come together.
const START_SPAN: f64 = 0.1;
/// Most tokens asked for at once.
const MAX_ASK: f64 = 256.0;
/// Allowances above which idle ones are dropped before one is added.
const MAX_ALLOWANCES: usize = 10_000;

/// A token that lets one request run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// When it may no longer be used; `None` for one of the entry's own part.
    expires: Option<Time>,
}

/// What becomes of a request that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// It may run.
    Granted(Token),
    /// It is over the limit; the caller may come back after this time.
    Refused(Duration),
    /// The home has to be asked.
    Ask(Ask),
}

/// Requests of one organisation at one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrgUse {
    /// Requests that asked.
    pub asked: u64,
    /// Requests refused over the limit.
    pub refused: u64,
    /// Requests admitted without the home.
    pub detached: u64,
}

/// Tokens of one organisation at this entry, and how much of its limit the entry uses.
#[derive(Clone, Debug)]
struct Allowance {
    /// Tokens that were granted, and when they expire.
    tokens: u32,
    expires: Time,
    /// The home's last refusal: until when it is repeated, and when callers may come back.
    denied_until: Time,
    retry_at: Time,
    /// Requests per second that come here, and tokens granted as a part of the limit's rate,
    /// both averaged over the window.
    demand: f64,
    part: f64,
    averaged: Time,
    /// Until when no further tokens are asked for ahead of need, as an answer is under way.
    asking_until: Time,
    /// Whether the home gave no answer, and until when it is not asked again.
    is_detached: bool,
    detached_until: Time,
    /// The entry's own part, since it first lost the home, and the requests admitted of it that
    /// the home has not been told.
    own: Option<Bucket>,
    untold: u32,
    usage: OrgUse,
}

/// The allowances of all organisations at one entry.
#[derive(Clone, Debug)]
pub struct Allowances {
    margins: RateMargins,
    orgs: BTreeMap<OrgName, Allowance>,
}

impl Allowances {
    /// Creates the allowances of an entry without any token.
    #[must_use]
    pub fn new(margins: RateMargins) -> Self {
        Self {
            margins,
            orgs: BTreeMap::new(),
        }
    }

    /// Replaces the margins, after a change of the settings.
    pub fn set_margins(&mut self, margins: RateMargins) {
        self.margins = margins;
    }

    /// Counts a request of an organisation with `limit` and takes a token for it. `entries` is
    /// the number of those among which the part for entries without a home is divided.
    pub fn take(&mut self, org: &OrgName, limit: RateLimit, entries: usize, now: Time) -> Take {
        self.drop_idle(org, now);
        let margins = self.margins;
        let allowance = self
            .orgs
            .entry(org.clone())
            .or_insert_with(|| Allowance::new(now));
        allowance.average(&margins, now);
        allowance.demand += 1.0 / margins.window;
        allowance.usage.asked += 1;
        allowance.next(&margins, limit, entries, now)
    }

    /// Takes a token after the home's answer to [`Take::Ask`], without counting the request
    /// again: `answer` is its grant for the tokens asked for at `asked`, or `None` if there was
    /// none in time. Never returns [`Take::Ask`].
    pub fn answered(
        &mut self,
        org: &OrgName,
        limit: RateLimit,
        entries: usize,
        answer: Option<Grant>,
        asked: Time,
        now: Time,
    ) -> Take {
        let margins = self.margins;
        let allowance = self
            .orgs
            .entry(org.clone())
            .or_insert_with(|| Allowance::new(now));
        allowance.average(&margins, now);
        allowance.asking_until = now;
        allowance.is_detached &= answer.is_none();
        match answer {
            Some(Grant { tokens: 0, after }) => {
                allowance.denied_until = now + after.min(MAX_DENIAL);
                allowance.retry_at = now + after;
                allowance.refuse(now)
            }
            Some(Grant { tokens, .. }) => {
                allowance.part += f64::from(tokens) / (margins.window * limit.rate);
                allowance.receive(tokens - 1, asked + margins.term(), now);
                // The request that asked runs at once, also if it took longer than the term.
                Take::Granted(Token {
                    expires: Some(asked + margins.term()),
                })
            }
            None => {
                allowance.detached_until = now + RETRY_INTERVAL;
                allowance.detached(&margins, limit, entries, now)
            }
        }
    }

    /// Returns the token of a request that has not run.
    pub fn give_back(&mut self, org: &OrgName, token: Token, now: Time) {
        let Some(allowance) = self.orgs.get_mut(org) else {
            return;
        };
        match (token.expires, &mut allowance.own) {
            (Some(expires), _) => allowance.receive(1, expires, now),
            (None, Some(own)) => {
                own.put_back();
                allowance.untold = allowance.untold.saturating_sub(1);
            }
            (None, None) => {}
        }
    }

    /// Iterates over the organisations that asked, with what became of their requests.
    pub fn usage(&self) -> impl Iterator<Item = (&OrgName, &OrgUse)> {
        self.orgs
            .iter()
            .map(|(org, allowance)| (org, &allowance.usage))
    }

    /// Before an organisation is added to many, drops those without requests for a window.
    fn drop_idle(&mut self, org: &OrgName, now: Time) {
        if self.orgs.len() < MAX_ALLOWANCES || self.orgs.contains_key(org) {
            return;
        }
        let window = Duration::from_secs_f64(self.margins.window);
        self.orgs
            .retain(|_, allowance| now.since(allowance.averaged) < window);
    }
}

impl Allowance {
    fn new(now: Time) -> Self {
        Self {
            tokens: 0,
            expires: now,
            denied_until: now,
            retry_at: now,
            demand: 0.0,
            part: 0.0,
            averaged: now,
            asking_until: now,
            is_detached: false,
            detached_until: now,
            own: None,
            untold: 0,
            usage: OrgUse::default(),
        }
    }

    /// Lets the averages decay to `now`. The part is kept while the home gives no answer, as
    /// it says what the others have left to this entry.
    fn average(&mut self, margins: &RateMargins, now: Time) {
        let decay = (-now.since(self.averaged).as_secs_f64() / margins.window).exp();
        self.demand *= decay;
        if !self.is_detached {
            self.part *= decay;
        }
        self.averaged = now;
    }

    /// Adds tokens that expire at `expires`. Those that are here may expire with the newest, as
    /// fewer are kept than are used in a term.
    fn receive(&mut self, tokens: u32, expires: Time, now: Time) {
        if self.expires <= now {
            self.tokens = 0;
        }
        if expires > now {
            self.tokens += tokens;
            self.expires = match self.expires > now {
                true => self.expires.min(expires),
                false => expires,
            };
        }
    }

    /// Takes a token that is here, or tells what to do.
    fn next(&mut self, margins: &RateMargins, limit: RateLimit, entries: usize, now: Time) -> Take {
        if self.tokens > 0 && now < self.expires {
            self.tokens -= 1;
            let expires = Some(self.expires);
            return Take::Granted(Token { expires });
        }
        if now < self.detached_until {
            return self.detached(margins, limit, entries, now);
        }
        if now < self.denied_until {
            return self.refuse(now);
        }
        let ahead = match now < self.asking_until {
            true => 0.0,
            false => (self.demand * margins.term().as_secs_f64() * AHEAD_SHARE).min(MAX_ASK),
        };
        self.asking_until = now + MAX_ANSWER;
        // Told once only: a home that gives no answer is rather slow than gone, and has counted them.
        let used = std::mem::take(&mut self.untold);
        // The cast saturates.
        let want = 1 + ahead as u32;
        Take::Ask(Ask { want, used })
    }

    /// Refuses a request as the home refused the last one.
    fn refuse(&mut self, now: Time) -> Take {
        self.usage.refused += 1;
        Take::Refused(self.retry_at.since(now))
    }

    /// Takes a token of the entry's own part: what it was granted of the limit before it lost
    /// the home, and an equal part of the margin.
    fn detached(
        &mut self,
        margins: &RateMargins,
        limit: RateLimit,
        entries: usize,
        now: Time,
    ) -> Take {
        let entries = entries.max(1) as f64;
        let share = self.part.min(1.0) + margins.over * (1.0 - TERM_SHARE) / entries;
        let rate = (limit.rate * share).max(f64::MIN_POSITIVE);
        let slack = margins.slack * DETACHED_SHARE / entries;
        let start = slack + rate * START_SPAN;
        let own = self.own.get_or_insert(Bucket::new(start, now));
        let fill = if self.is_detached { rate } else { 0.0 };
        own.fill(fill, 1.0 + start, now);
        self.is_detached = true;
        if own.take(1) == 1 {
            self.usage.detached += 1;
            self.untold = self.untold.saturating_add(1);
            return Take::Granted(Token { expires: None });
        }
        self.usage.refused += 1;
        let wait = own.wait(rate).min(RETRY_INTERVAL.as_secs_f64());
        Take::Refused(Duration::from_secs_f64(wait))
    }
}
