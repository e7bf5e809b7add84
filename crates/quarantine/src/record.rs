//! The record of one suspect request: the leafs that crashed under it and the refusal that
//! follows.

use std::time::Duration;

use chestnut_unit::{LeafId, Time};

/// A short hash of a leaf id, which tells apart the few leafs that crashed under one
/// request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeafHash(pub u32);

impl LeafHash {
    /// Hashes the id of a leaf.
    #[must_use]
    pub fn of(leaf: &LeafId) -> Self {
        let hash = blake3::hash(leaf.as_str().as_bytes());
        let mut start = [0; 4];
        start.copy_from_slice(&hash.as_bytes()[..4]);
        Self(u32::from_le_bytes(start))
    }
}

/// The crash of a leaf under a request that no leaf had answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The leaf that crashed.
    pub leaf: LeafHash,
    /// When it crashed. A crash that another entry reported is dated by its age in the
    /// report.
    pub at: Time,
}

/// How a request is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handling {
    /// As any other request.
    Free,
    /// With a single trial call until a leaf has answered one.
    Trial,
    /// Not now; it may be sent again after this time.
    Refused(Duration),
}

/// Minimum number of crashes for a request to count as their cause; it also needs
/// [`MIN_EPISODES`].
pub(crate) const MIN_CRASHES: usize = 3;
/// Length of an episode, from its first crash. Crashes within it count as one event, since
/// leafs can fail together, for example with their rack.
pub(crate) const EPISODE: Duration = Duration::from_secs(1);
/// Minimum number of episodes for a request to count as the cause. A harmless request is
/// usually answered before a second one.
const MIN_EPISODES: usize = 2;
/// Length of the first refusal; each further episode multiplies it by [`REFUSAL_GROWTH`].
const INITIAL_REFUSAL: Duration = Duration::from_secs(120);
/// Factor by which a refusal grows with each episode.
const REFUSAL_GROWTH: u32 = 4;
/// Longest refusal.
const MAX_REFUSAL: Duration = Duration::from_secs(2 * 3600);
/// How long a record is kept after its last crash, the end of its refusal or the last
/// answer, whichever is latest.
const RECORD_TTL: Duration = Duration::from_secs(600);
/// Maximum number of crashes kept in a record: the earliest and the latest ones.
pub(crate) const MAX_CRASHES: usize = 8;

/// The crashes under one suspect request and the last answer to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SuspectRecord {
    /// In order of time.
    crashes: Vec<Crash>,
    /// When a leaf last answered the request; earlier crashes don't count.
    answered_at: Option<Time>,
    /// Episodes counted so far, including those whose crashes were dropped.
    episodes: usize,
}

impl SuspectRecord {
    /// Returns the kept crashes in order of time.
    pub(crate) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns when a leaf last answered the request.
    pub(crate) fn answered_at(&self) -> Option<Time> {
        self.answered_at
    }

    /// Returns the number of episodes.
    pub(crate) fn episodes(&self) -> usize {
        self.episodes
    }

    /// Returns whether a leaf has answered the request since this crash.
    pub(crate) fn is_superseded(&self, crash: &Crash) -> bool {
        self.answered_at.is_some_and(|answer| crash.at <= answer)
    }

    /// Adds a crash and raises the episode count to that of the kept crashes; a full
    /// record drops one from its middle. Returns false, without a change, for a crash
    /// that is known or superseded, or that precedes the latest of a full record.
    pub(crate) fn add_crash(&mut self, crash: Crash) -> bool {
        let known =
            |known: &Crash| known.leaf == crash.leaf && abs_diff(known.at, crash.at) < EPISODE;
        if self.is_superseded(&crash) || self.crashes.iter().any(known) {
            return false;
        }
        let at = self.crashes.partition_point(|known| known.at <= crash.at);
        let full = self.crashes.len() >= MAX_CRASHES;
        if full && at < self.crashes.len() {
            // A crash before the latest one changes nothing any more.
            return false;
        }
        if full {
            self.crashes.remove(MAX_CRASHES / 2);
        }
        let at = at.min(self.crashes.len());
        self.crashes.insert(at, crash);
        self.episodes = self.episodes.max(self.count_episodes());
        true
    }

    /// Raises the episode count to that of another entry. Returns whether it changed; it
    /// doesn't without crashes.
    pub(crate) fn raise_episodes(&mut self, episodes: usize) -> bool {
        let changed = episodes > self.episodes && !self.crashes.is_empty();
        if changed {
            self.episodes = episodes;
        }
        changed
    }

    /// Records that a leaf answered the request at `at`, drops the crashes until then and
    /// recounts the episodes. Returns false, without a change, if there are none.
    pub(crate) fn record_answer(&mut self, at: Time) -> bool {
        let superseded = self.crashes.iter().any(|crash| crash.at <= at);
        if !superseded {
            return false;
        }
        self.answered_at = self.answered_at.max(Some(at));
        self.crashes.retain(|crash| crash.at > at);
        self.episodes = self.count_episodes();
        true
    }

    /// Counts the episodes among the kept crashes.
    fn count_episodes(&self) -> usize {
        let mut episodes = 0;
        let mut end = None;
        for crash in &self.crashes {
            if end.is_none_or(|end| crash.at >= end) {
                episodes += 1;
                end = Some(crash.at + EPISODE);
            }
        }
        episodes
    }

    /// Returns the end of the refusal, possibly past; `None` with too few crashes or
    /// episodes for the request to count as the cause.
    pub(crate) fn refused_until(&self) -> Option<Time> {
        let last = self.crashes.last()?;
        if self.crashes.len() < MIN_CRASHES || self.episodes < MIN_EPISODES {
            return None;
        }
        let more = u32::try_from(self.episodes - MIN_EPISODES).unwrap_or(u32::MAX);
        let span = INITIAL_REFUSAL.saturating_mul(REFUSAL_GROWTH.saturating_pow(more));
        Some(last.at + span.min(MAX_REFUSAL))
    }

    /// Returns how the request is handled at `now`: refused until the end of a refusal,
    /// otherwise on trial if there are crashes.
    pub(crate) fn handling(&self, now: Time) -> Handling {
        if self.crashes.is_empty() {
            return Handling::Free;
        }
        match self.refused_until().filter(|end| now < *end) {
            Some(end) => Handling::Refused(end.since(now)),
            None => Handling::Trial,
        }
    }

    /// Returns when the record expires: [`RECORD_TTL`] after the last crash, the end of
    /// the refusal or the last answer, whichever is latest.
    pub(crate) fn expires_at(&self) -> Time {
        let last = self.crashes.last().map(|crash| crash.at);
        let latest = [last, self.refused_until(), self.answered_at]
            .into_iter()
            .flatten()
            .max();
        latest.map_or(Time::ZERO, |latest| latest + RECORD_TTL)
    }
}

/// Returns the absolute difference of two times.
fn abs_diff(a: Time, b: Time) -> Duration {
    a.since(b).max(b.since(a))
}
