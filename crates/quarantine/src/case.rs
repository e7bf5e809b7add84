//! What is known against one request.

use std::time::Duration;

use chestnut_unit::{LeafId, Time};

/// A mark of a leaf, enough to tell the few apart that ended under one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeafMark(pub u32);

impl LeafMark {
    /// The mark of a leaf.
    #[must_use]
    pub fn of(leaf: &LeafId) -> Self {
        let hash = blake3::hash(leaf.as_str().as_bytes());
        let mut start = [0; 4];
        start.copy_from_slice(&hash.as_bytes()[..4]);
        Self(u32::from_le_bytes(start))
    }
}

/// A leaf that ended under a request which no leaf had answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    /// The leaf.
    pub leaf: LeafMark,
    /// When. A strike that another entry told of is dated by how long ago it was.
    pub at: Time,
}

/// How a request is to be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
    /// As any other.
    Free,
    /// With a single call until a leaf has answered one.
    Trial,
    /// Not now, but maybe after this time.
    Refused(Duration),
}

/// Ended leafs from which on a request is taken for the cause.
pub(crate) const LEAFS: usize = 3;
/// Strikes within this time of the first are one episode: a rack that fails takes many
/// leafs under one request, and takes them once.
pub(crate) const EPISODE: Duration = Duration::from_secs(1);
/// Episodes from which on a request is taken for the cause. A request that is not is
/// answered between two of them.
const EPISODES: usize = 2;
/// First time for which a request is refused; each further episode makes it
/// [`SPAN_GROWTH`] times as long.
const SPAN_FIRST: Duration = Duration::from_secs(120);
const SPAN_GROWTH: u32 = 4;
const SPAN_MAX: Duration = Duration::from_secs(2 * 3600);
/// How long a case is kept after its last strike, or after the end of the time for which
/// it is refused.
const KEEP: Duration = Duration::from_secs(600);
/// Strikes kept of a case: the first, which date it, and the latest.
pub(crate) const STRIKES_MAX: usize = 8;

/// What is known against one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Case {
    /// In the order of their times.
    strikes: Vec<Strike>,
    /// When a leaf last answered the request: nothing before it counts.
    cleared: Option<Time>,
    /// The first strike of each episode, of which [`Case::strikes`] may have dropped some.
    episodes: usize,
}

impl Case {
    pub(crate) fn strikes(&self) -> &[Strike] {
        &self.strikes
    }

    pub(crate) fn cleared(&self) -> Option<Time> {
        self.cleared
    }

    pub(crate) fn episodes(&self) -> usize {
        self.episodes
    }

    /// Whether a leaf has answered the request since.
    pub(crate) fn is_void(&self, strike: &Strike) -> bool {
        self.cleared.is_some_and(|cleared| strike.at <= cleared)
    }

    /// Takes a strike. Tells whether it is news.
    pub(crate) fn add(&mut self, strike: Strike) -> bool {
        let known =
            |known: &Strike| known.leaf == strike.leaf && gap(known.at, strike.at) < EPISODE;
        if self.is_void(&strike) || self.strikes.iter().any(known) {
            return false;
        }
        let at = self.strikes.partition_point(|known| known.at <= strike.at);
        let full = self.strikes.len() >= STRIKES_MAX;
        if full && at < self.strikes.len() {
            // An older one than the latest changes nothing any more.
            return false;
        }
        if full {
            self.strikes.remove(STRIKES_MAX / 2);
        }
        let at = at.min(self.strikes.len());
        self.strikes.insert(at, strike);
        self.episodes = self.episodes.max(self.count());
        true
    }

    /// Takes it that another entry has counted so many episodes. Tells whether it is news.
    pub(crate) fn raise(&mut self, episodes: usize) -> bool {
        let news = episodes > self.episodes && !self.strikes.is_empty();
        if news {
            self.episodes = episodes;
        }
        news
    }

    /// Takes it that a leaf answered the request at `at`. Tells whether it is news.
    pub(crate) fn clear(&mut self, at: Time) -> bool {
        let void = self.strikes.iter().any(|strike| strike.at <= at);
        if !void {
            return false;
        }
        self.cleared = self.cleared.max(Some(at));
        self.strikes.retain(|strike| strike.at > at);
        self.episodes = self.count();
        true
    }

    /// Episodes among the strikes that are kept.
    fn count(&self) -> usize {
        let mut episodes = 0;
        let mut until = None;
        for strike in &self.strikes {
            if until.is_none_or(|until| strike.at >= until) {
                episodes += 1;
                until = Some(strike.at + EPISODE);
            }
        }
        episodes
    }

    /// Until when the request is refused.
    pub(crate) fn until(&self) -> Option<Time> {
        let last = self.strikes.last()?;
        if self.strikes.len() < LEAFS || self.episodes < EPISODES {
            return None;
        }
        let more = u32::try_from(self.episodes - EPISODES).unwrap_or(u32::MAX);
        let span = SPAN_FIRST.saturating_mul(SPAN_GROWTH.saturating_pow(more));
        Some(last.at + span.min(SPAN_MAX))
    }

    pub(crate) fn stand(&self, now: Time) -> Stand {
        if self.strikes.is_empty() {
            return Stand::Free;
        }
        match self.until().filter(|until| now < *until) {
            Some(until) => Stand::Refused(until.since(now)),
            None => Stand::Trial,
        }
    }

    /// When the case is forgotten.
    pub(crate) fn end(&self) -> Time {
        let last = self.strikes.last().map(|strike| strike.at);
        let latest = [last, self.until(), self.cleared]
            .into_iter()
            .flatten()
            .max();
        latest.map_or(Time::ZERO, |latest| latest + KEEP)
    }
}

fn gap(a: Time, b: Time) -> Duration {
    a.since(b).max(b.since(a))
}
