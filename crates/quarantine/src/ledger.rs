//! The suspect requests known to one entry and the reports that it gossips about them.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use chestnut_unit::Time;

use crate::{
    Crash, Fingerprint, Handling, LeafHash,
    record::{EPISODE, MIN_CRASHES, SuspectRecord},
};

/// Maximum number of records. When it is exceeded, the record with the fewest episodes is
/// dropped; among equals, the first to expire.
const MAX_RECORDS: usize = 1024;
/// Crashes in a report: the first and the latest two, as many as a refusal needs.
const REPORT_CRASHES: usize = MIN_CRASHES;
/// Times that a changed record is sent, for each decimal digit of the number of members.
const SENDS_PER_DIGIT: u32 = 4;
/// Time between two pushes of changes, which batches those that come together.
const PUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Number of pushes in a window from which on changes that neither start nor end a refusal
/// wait for the next window. Otherwise the failure of many leafs, which makes many harmless
/// requests suspect, would cause a flood of messages.
const PUSH_BURST: u32 = 8;
/// Length of the window in which pushes are counted.
const PUSH_WINDOW: Duration = Duration::from_secs(10);
/// Time after the start of a trial call in which this entry starts no other one for the
/// request. A leaf that takes longer to answer is not waited for.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Added to all times. [`Time`] is zero when the process starts, but a report can date a
/// crash before that.
const CLOCK_OFFSET: Duration = Duration::from_secs(24 * 3600);

/// What one entry reports to another about a request: its last answer, the crashes under
/// it since, and their episodes. All spans are ages at the time of sending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectReport {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Age of the last answer of a leaf, `None` if none is known; crashes before it don't
    /// count.
    pub answered: Option<Duration>,
    /// The leafs that crashed under it, with the ages of the crashes: the first and the
    /// latest two.
    pub crashes: Vec<(LeafHash, Duration)>,
    /// Episodes in which leafs crashed under it.
    pub episodes: u32,
}

impl SuspectReport {
    /// Adds `span` to all ages of the report.
    #[must_use]
    pub fn aged(mut self, span: Duration) -> Self {
        self.answered = self.answered.map(|age| age + span);
        for (_, age) in &mut self.crashes {
            *age += span;
        }
        self
    }
}

/// A suspect request: its record, the cooldown after its trial call, and how often the
/// record was sent since it changed.
#[derive(Clone, Debug, Default)]
struct Suspect {
    record: SuspectRecord,
    /// End of the cooldown after the latest trial call of this entry.
    cooldown: Option<Time>,
    /// Times that the record was sent since it changed.
    sent: u32,
    /// Whether the change started or ended a refusal.
    urgent: bool,
}

/// The requests under which leafs crashed.
///
/// A request that crashes the leafs that run it is retried at any entry and would take
/// down more leafs each time. Unlike requests that merely ran beside it, it is never
/// answered, so a crash counts only until a leaf answers. A suspect request is tried with
/// a single call; it is refused if that crashes its leaf too, in another episode. Entries
/// gossip their records.
#[derive(Clone, Debug, Default)]
pub struct SuspectLedger {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// The refused request that was reported last; reporting goes on after it.
    cursor: Option<Fingerprint>,
    pacing: Pacing,
}

/// When changes were last pushed without waiting for other messages, and how often in the
/// present window.
#[derive(Clone, Copy, Debug, Default)]
struct Pacing {
    last: Time,
    window_start: Time,
    count: u32,
}

impl SuspectLedger {
    /// Decides how an arriving request is handled. [`Handling::Trial`] starts its trial
    /// call and the cooldown, in which the request is refused.
    pub fn admit(&mut self, key: Fingerprint, now: Time) -> Handling {
        let now = now + CLOCK_OFFSET;
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return Handling::Free;
        };
        let handling = suspect.record.handling(now);
        if handling != Handling::Trial {
            return handling;
        }
        if let Some(end) = suspect.cooldown.filter(|end| now < *end) {
            return Handling::Refused(end.since(now));
        }
        suspect.cooldown = Some(now + TRIAL_INTERVAL);
        handling
    }

    /// Returns how the record of the request says to handle it now, without starting a
    /// trial call and whatever the cooldown.
    #[must_use]
    pub fn handling(&self, key: Fingerprint, now: Time) -> Handling {
        let suspect = self.suspects.get(&key);
        suspect.map_or(Handling::Free, |s| s.record.handling(now + CLOCK_OFFSET))
    }

    /// Returns whether the request counts as the cause of the crashes under it: it is or
    /// was refused, and no leaf has answered it since.
    #[must_use]
    pub fn is_blamed(&self, key: Fingerprint) -> bool {
        let suspect = self.suspects.get(&key);
        suspect.is_some_and(|suspect| suspect.record.refused_until().is_some())
    }

    /// Returns the requests that count as the cause of the crashes under them
    /// ([`SuspectLedger::is_blamed`]).
    pub fn blamed(&self) -> impl Iterator<Item = Fingerprint> {
        let keys = self.suspects.keys().copied();
        keys.filter(|key| self.is_blamed(*key))
    }

    /// Returns the report of a request, or `None` if it doesn't count as the cause of the
    /// crashes under it. The report doesn't count as sent.
    #[must_use]
    pub fn blame_report(&self, key: Fingerprint, now: Time) -> Option<SuspectReport> {
        let suspect = self.suspects.get(&key).filter(|_| self.is_blamed(key))?;
        Some(report(key, &suspect.record, now + CLOCK_OFFSET))
    }

    /// Records that `leafs` crashed under a call that no leaf answered, and extends the
    /// cooldown of a trial call. Returns whether the record changed.
    pub fn record_crashes(&mut self, key: Fingerprint, leafs: &[LeafHash], now: Time) -> bool {
        let now = now + CLOCK_OFFSET;
        let suspect = self.suspects.entry(key).or_default();
        let before = suspect.record.refused_until();
        let mut changed = false;
        for leaf in leafs {
            let crash = Crash {
                leaf: *leaf,
                at: now,
            };
            changed |= suspect.record.add_crash(crash);
        }
        if suspect.cooldown.is_some() {
            // Wait for the end of the episode after a failed trial call: another crash
            // within it would not count as a further episode.
            suspect.cooldown = Some(now + EPISODE);
        }
        self.mark_changed(key, changed, before);
        self.drop_excess();
        changed
    }

    /// Records that a leaf answered the request: drops its crashes so far and ends the
    /// cooldown. Returns whether there were any.
    pub fn record_answer(&mut self, key: Fingerprint, now: Time) -> bool {
        let now = now + CLOCK_OFFSET;
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return false;
        };
        let before = suspect.record.refused_until();
        let changed = suspect.record.record_answer(now);
        if changed {
            suspect.cooldown = None;
        }
        self.mark_changed(key, changed, before);
        changed
    }

    /// Merges a report of another entry, received at `now`; a record that has expired is
    /// dropped. Returns whether the record changed.
    pub fn merge(&mut self, report: &SuspectReport, now: Time) -> bool {
        let now = now + CLOCK_OFFSET;
        let suspect = self.suspects.entry(report.fingerprint).or_default();
        let before = suspect.record.refused_until();
        let mut changed = false;
        if let Some(age) = report.answered {
            changed |= suspect.record.record_answer(now - age);
        }
        let mut current = false;
        for (leaf, age) in &report.crashes {
            let crash = Crash {
                leaf: *leaf,
                at: now - *age,
            };
            current |= !suspect.record.is_superseded(&crash);
            changed |= suspect.record.add_crash(crash);
        }
        if current {
            changed |= suspect.record.raise_episodes(report.episodes as usize);
        } else if !report.crashes.is_empty() {
            // The sender doesn't know of the later answer: send the record again.
            suspect.sent = suspect.sent.min(SENDS_PER_DIGIT - 1);
        }
        // Don't gossip an expired record further: entries would keep sending it to each
        // other after each of them had dropped it.
        if now >= suspect.record.expires_at() {
            self.suspects.remove(&report.fingerprint);
            return false;
        }
        self.mark_changed(report.fingerprint, changed, before);
        self.drop_excess();
        changed
    }

    /// Returns the reports for the next message, at most `most`, and counts them as sent:
    /// first changes that start or end a refusal, then other changes, the least sent
    /// first; then refused requests in turn, so that an entry that starts receives all of
    /// them. The number of `members` decides how often a change is sent.
    pub fn next_reports(&mut self, most: usize, members: usize, now: Time) -> Vec<SuspectReport> {
        let now = now + CLOCK_OFFSET;
        let max_sends = SENDS_PER_DIGIT * (members.max(1).ilog10() + 1);
        let pending = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.sent < max_sends);
        let mut order: Vec<_> = pending
            .map(|(key, suspect)| {
                let crashes = Reverse(suspect.record.crashes().len());
                (!suspect.urgent, suspect.sent, crashes, *key)
            })
            .collect();
        order.sort_unstable();
        let mut chosen: Vec<Fingerprint> = order.into_iter().map(|(.., key)| key).collect();
        chosen.truncate(most);
        while chosen.len() < most {
            match self.next_refused(now).filter(|key| !chosen.contains(key)) {
                Some(key) => chosen.push(key),
                None => break,
            }
        }
        chosen
            .into_iter()
            .filter_map(|key| self.report(key, now))
            .collect()
    }

    /// Returns when changes are due to be pushed without waiting for other messages, if
    /// there are any.
    #[must_use]
    pub fn push_due(&self) -> Option<Time> {
        let mut unsent = self.suspects.values().filter(|suspect| suspect.sent == 0);
        let first = unsent.next()?;
        let urgent = first.urgent || unsent.any(|suspect| suspect.urgent);
        let next = self.pacing.last + PUSH_INTERVAL;
        Some(match urgent || self.pacing.count < PUSH_BURST {
            true => next,
            false => next.max(self.pacing.window_start + PUSH_WINDOW),
        })
    }

    /// Records that changes are pushed now, without waiting for other messages, for the
    /// times in [`SuspectLedger::push_due`].
    pub fn record_push(&mut self, now: Time) {
        let pacing = &mut self.pacing;
        if now >= pacing.window_start + PUSH_WINDOW {
            (pacing.window_start, pacing.count) = (now, 0);
        }
        pacing.last = now;
        pacing.count += 1;
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: Time) {
        let now = now + CLOCK_OFFSET;
        self.suspects
            .retain(|_, suspect| now < suspect.record.expires_at());
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of requests that are refused now.
    #[must_use]
    pub fn refused_count(&self, now: Time) -> usize {
        let now = now + CLOCK_OFFSET;
        let refused =
            |suspect: &&Suspect| matches!(suspect.record.handling(now), Handling::Refused(_));
        self.suspects.values().filter(refused).count()
    }

    /// Marks a record to be sent if it has `changed`; `before` is the end of its refusal
    /// before the change.
    fn mark_changed(&mut self, key: Fingerprint, changed: bool, before: Option<Time>) {
        if let Some(suspect) = self.suspects.get_mut(&key).filter(|_| changed) {
            suspect.sent = 0;
            suspect.urgent = suspect.record.refused_until() != before;
        }
    }

    /// Returns the next refused request after the one reported last, starting again from
    /// the first, and moves the cursor to it; `None` if none is refused.
    fn next_refused(&mut self, now: Time) -> Option<Fingerprint> {
        let refused = |(_, suspect): &(&Fingerprint, &Suspect)| {
            matches!(suspect.record.handling(now), Handling::Refused(_))
        };
        let refused_keys = self.suspects.iter().filter(refused).map(|(key, _)| *key);
        let next = refused_keys
            .clone()
            .find(|key| self.cursor.is_none_or(|cursor| *key > cursor))
            .or_else(|| refused_keys.clone().next());
        self.cursor = next;
        next
    }

    /// Makes the report of a request and counts it as sent; `None` if it has no record.
    fn report(&mut self, key: Fingerprint, now: Time) -> Option<SuspectReport> {
        let suspect = self.suspects.get_mut(&key)?;
        suspect.sent = suspect.sent.saturating_add(1);
        Some(report(key, &suspect.record, now))
    }

    /// Drops one record, that with the fewest episodes, then the first to expire, if
    /// there are too many.
    fn drop_excess(&mut self) {
        if self.suspects.len() <= MAX_RECORDS {
            return;
        }
        let rank = |suspect: &Suspect| (suspect.record.episodes(), suspect.record.expires_at());
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| rank(suspect));
        if let Some(key) = least.map(|(key, _)| *key) {
            self.suspects.remove(&key);
        }
    }
}

/// Makes the report of a record, with ages at `now` and at most [`REPORT_CRASHES`]
/// crashes.
fn report(key: Fingerprint, record: &SuspectRecord, now: Time) -> SuspectReport {
    let crashes = record.crashes();
    let latest = crashes.len().saturating_sub(REPORT_CRASHES - 1).max(1);
    let chosen = crashes
        .iter()
        .enumerate()
        .filter(|(at, _)| *at == 0 || *at >= latest);
    SuspectReport {
        fingerprint: key,
        answered: record.answered_at().map(|at| now.since(at)),
        crashes: chosen
            .map(|(_, crash)| (crash.leaf, now.since(crash.at)))
            .collect(),
        episodes: u32::try_from(record.episodes()).unwrap_or(u32::MAX),
    }
}
