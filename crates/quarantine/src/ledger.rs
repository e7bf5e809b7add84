//! What one entry knows against requests, and what it tells the others.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use chestnut_unit::Time;

use crate::{
    Fingerprint, LeafMark, Stand, Strike,
    case::{Case, EPISODE, LEAFS},
};

/// Cases kept. Past it the one that says least is dropped: the fewest episodes, then the
/// oldest. A case takes some 200 bytes.
const CASES_MAX: usize = 1024;
/// Strikes told of a case: the first and the latest two, as many as a refusal needs.
const STRIKES_TOLD: usize = LEAFS;
/// Times that a case is told after it has changed, for each decimal digit of the number
/// of members.
const REPEAT: u32 = 4;
/// Time between two tellings, so that what is learned together goes together.
const TELL_GAP: Duration = Duration::from_millis(100);
/// Tellings in a window that need not make or end a refusal. The next try of what ended
/// the leafs of a whole search should be a trial at whatever entry, but when a region fails
/// thousands of requests are struck, few of them at fault.
const TELL_BURST: u32 = 8;
const TELL_WINDOW: Duration = Duration::from_secs(10);
/// Time after the start of a trial in which no other one is made here. A leaf answers
/// within it, or is too slow to be waited for.
const TRIAL_GAP: Duration = Duration::from_millis(100);

/// Added to all times, so that what others saw before this entry started has a time too.
const PAST: Duration = Duration::from_secs(24 * 3600);

/// What one entry tells another of a request. Times are spans before it was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The request.
    pub what: Fingerprint,
    /// How long ago a leaf answered it; nothing before that counts.
    pub cleared: Option<Duration>,
    /// Leafs that ended under it, and how long ago.
    pub strikes: Vec<(LeafMark, Duration)>,
    /// Episodes in which leafs ended under it.
    pub episodes: u32,
}

impl Report {
    /// The same, told so much later.
    #[must_use]
    pub fn aged(mut self, span: Duration) -> Self {
        self.cleared = self.cleared.map(|age| age + span);
        for (_, age) in &mut self.strikes {
            *age += span;
        }
        self
    }
}

#[derive(Clone, Debug, Default)]
struct Entry {
    case: Case,
    /// When the latest trial here began, and from when on another may.
    rest: Option<Time>,
    /// Times that the case was told since it changed.
    told: u32,
    /// Whether the change made or ended a refusal.
    urgent: bool,
}

/// The requests under which leafs ended.
///
/// A request that crashes the leafs that run it comes back, at any entry, and takes the
/// service away from all other callers each time. What tells it from the requests that
/// merely ran beside it is that no leaf ever answers it: a strike counts only until one
/// does. So one under which leafs ended is tried with a single call, and only if that
/// ends its leaf too, at another time, the request is refused. Every entry tells the
/// others what it has seen.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<Fingerprint, Entry>,
    /// Where the telling of cases that are refused goes on.
    turn: Option<Fingerprint>,
    pace: Pace,
}

/// When news were last told without waiting for other messages, and how often in the
/// present window.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    last: Time,
    window: Time,
    count: u32,
}

impl Ledger {
    /// How a request that has come is to be handled. A trial that is allowed has begun.
    pub fn admit(&mut self, what: Fingerprint, now: Time) -> Stand {
        let now = now + PAST;
        let Some(entry) = self.entries.get_mut(&what) else {
            return Stand::Free;
        };
        let stand = entry.case.stand(now);
        if stand != Stand::Trial {
            return stand;
        }
        if let Some(rest) = entry.rest.filter(|rest| now < *rest) {
            return Stand::Refused(rest.since(now));
        }
        entry.rest = Some(now + TRIAL_GAP);
        stand
    }

    /// How the request would be handled now.
    #[must_use]
    pub fn look(&self, what: Fingerprint, now: Time) -> Stand {
        let entry = self.entries.get(&what);
        entry.map_or(Stand::Free, |entry| entry.case.stand(now + PAST))
    }

    /// Whether the request is taken for the cause of what ended under it: it is refused, or
    /// was, and no leaf has answered it since.
    #[must_use]
    pub fn blames(&self, what: Fingerprint) -> bool {
        let entry = self.entries.get(&what);
        entry.is_some_and(|entry| entry.case.until().is_some())
    }

    /// What is known against a request, if it is taken for the cause.
    #[must_use]
    pub fn verdict(&self, what: Fingerprint, now: Time) -> Option<Report> {
        let entry = self.entries.get(&what).filter(|_| self.blames(what))?;
        Some(report(what, &entry.case, now + PAST))
    }

    /// Takes it that leafs ended under a try that no leaf answered. Tells whether it is
    /// news.
    pub fn ended(&mut self, what: Fingerprint, leafs: &[LeafMark], now: Time) -> bool {
        let now = now + PAST;
        let entry = self.entries.entry(what).or_default();
        let before = entry.case.until();
        let mut news = false;
        for leaf in leafs {
            let strike = Strike {
                leaf: *leaf,
                at: now,
            };
            news |= entry.case.add(strike);
        }
        if entry.rest.is_some() {
            // What ended a leaf in its trial rests for an episode, so that the next trial
            // tells more than this one.
            entry.rest = Some(now + EPISODE);
        }
        self.changed(what, news, before);
        self.bound();
        news
    }

    /// Takes it that a leaf ran the request and answered. Tells whether it is news.
    pub fn answered(&mut self, what: Fingerprint, now: Time) -> bool {
        let now = now + PAST;
        let Some(entry) = self.entries.get_mut(&what) else {
            return false;
        };
        let before = entry.case.until();
        let news = entry.case.clear(now);
        if news {
            entry.rest = None;
        }
        self.changed(what, news, before);
        news
    }

    /// Takes what another entry tells. Tells whether it is news.
    pub fn hear(&mut self, report: &Report, now: Time) -> bool {
        let now = now + PAST;
        let entry = self.entries.entry(report.what).or_default();
        let before = entry.case.until();
        let mut news = false;
        if let Some(age) = report.cleared {
            news |= entry.case.clear(now - age);
        }
        let mut counts = false;
        for (leaf, age) in &report.strikes {
            let strike = Strike {
                leaf: *leaf,
                at: now - *age,
            };
            counts |= !entry.case.is_void(&strike);
            news |= entry.case.add(strike);
        }
        if counts {
            news |= entry.case.raise(report.episodes as usize);
        } else if !report.strikes.is_empty() {
            // The teller has not heard of the answer since, and may pass that on.
            entry.told = entry.told.min(REPEAT - 1);
        }
        // What is over here and still told elsewhere would go round for ever.
        if now >= entry.case.end() {
            self.entries.remove(&report.what);
            return false;
        }
        self.changed(report.what, news, before);
        self.bound();
        news
    }

    /// What goes with the next message, at most `most` cases: changes that make or end a
    /// refusal, then others, those first that were told least; then those that are refused
    /// in turn, so that an entry which starts hears of all of them.
    pub fn tell(&mut self, most: usize, members: usize, now: Time) -> Vec<Report> {
        let now = now + PAST;
        let limit = REPEAT * (members.max(1).ilog10() + 1);
        let waiting = self.entries.iter().filter(|(_, entry)| entry.told < limit);
        let mut order: Vec<_> = waiting
            .map(|(what, entry)| {
                let strikes = Reverse(entry.case.strikes().len());
                (!entry.urgent, entry.told, strikes, *what)
            })
            .collect();
        order.sort_unstable();
        let mut chosen: Vec<Fingerprint> = order.into_iter().map(|(.., what)| what).collect();
        chosen.truncate(most);
        while chosen.len() < most {
            match self.next_refused(now).filter(|what| !chosen.contains(what)) {
                Some(what) => chosen.push(what),
                None => break,
            }
        }
        chosen
            .into_iter()
            .filter_map(|what| self.report(what, now))
            .collect()
    }

    /// When changes have to be told without waiting for other messages, if there are any.
    #[must_use]
    pub fn tell_at(&self) -> Option<Time> {
        let mut news = self.entries.values().filter(|entry| entry.told == 0);
        let first = news.next()?;
        let urgent = first.urgent || news.any(|entry| entry.urgent);
        let next = self.pace.last + TELL_GAP;
        Some(match urgent || self.pace.count < TELL_BURST {
            true => next,
            false => next.max(self.pace.window + TELL_WINDOW),
        })
    }

    /// Takes it that changes are told now, without waiting for other messages.
    pub fn telling(&mut self, now: Time) {
        let pace = &mut self.pace;
        if now >= pace.window + TELL_WINDOW {
            (pace.window, pace.count) = (now, 0);
        }
        pace.last = now;
        pace.count += 1;
    }

    /// Forgets cases whose time is over.
    pub fn forget(&mut self, now: Time) {
        let now = now + PAST;
        self.entries.retain(|_, entry| now < entry.case.end());
    }

    /// Cases that are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Requests that are refused now.
    #[must_use]
    pub fn refused(&self, now: Time) -> usize {
        let now = now + PAST;
        let refused = |entry: &&Entry| matches!(entry.case.stand(now), Stand::Refused(_));
        self.entries.values().filter(refused).count()
    }

    /// Has a case told that has changed, and that was refused until `before`.
    fn changed(&mut self, what: Fingerprint, news: bool, before: Option<Time>) {
        if let Some(entry) = self.entries.get_mut(&what).filter(|_| news) {
            entry.told = 0;
            entry.urgent = entry.case.until() != before;
        }
    }

    /// The next of the cases that are refused, after the one told last.
    fn next_refused(&mut self, now: Time) -> Option<Fingerprint> {
        let refused = |(_, entry): &(&Fingerprint, &Entry)| {
            matches!(entry.case.stand(now), Stand::Refused(_))
        };
        let after = self.entries.iter().filter(refused).map(|(what, _)| *what);
        let next = after
            .clone()
            .find(|what| self.turn.is_none_or(|turn| *what > turn))
            .or_else(|| after.clone().next());
        self.turn = next;
        next
    }

    fn report(&mut self, what: Fingerprint, now: Time) -> Option<Report> {
        let entry = self.entries.get_mut(&what)?;
        entry.told = entry.told.saturating_add(1);
        Some(report(what, &entry.case, now))
    }

    fn bound(&mut self) {
        if self.entries.len() <= CASES_MAX {
            return;
        }
        let worth = |entry: &Entry| (entry.case.episodes(), entry.case.end());
        let least = self.entries.iter().min_by_key(|(_, entry)| worth(entry));
        if let Some(what) = least.map(|(what, _)| *what) {
            self.entries.remove(&what);
        }
    }
}

fn report(what: Fingerprint, case: &Case, now: Time) -> Report {
    let strikes = case.strikes();
    let late = strikes.len().saturating_sub(STRIKES_TOLD - 1).max(1);
    let told = strikes
        .iter()
        .enumerate()
        .filter(|(at, _)| *at == 0 || *at >= late);
    Report {
        what,
        cleared: case.cleared().map(|at| now.since(at)),
        strikes: told
            .map(|(_, strike)| (strike.leaf, now.since(strike.at)))
            .collect(),
        episodes: u32::try_from(case.episodes()).unwrap_or(u32::MAX),
    }
}
