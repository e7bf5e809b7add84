//! Which part of a bound over all entries an entry holds.
//!
//! What all entries together may do has to be kept by something that all share. Divided
//! among those that an entry knows of, a bound breaks while views differ; divided among
//! all, it thins out to nothing. So it is cut into a few fixed parts, each under a lease
//! in the store: whoever holds the lease may use the part.

use std::{collections::BTreeMap, fmt, str::FromStr, time::Duration};

use chestnut_unit::Time;

/// Number of a lease, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseId(pub u8);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for LeaseId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// One life of an entry. Another life holds nothing of what the one before held.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Owner(pub String);

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A lease as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Which.
    pub id: LeaseId,
    /// Who holds it; none if it was given back.
    pub owner: Option<Owner>,
    /// The store's revision of it.
    pub revision: u64,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseCall {
    /// Read all leases, as they are now.
    List,
    /// Write one, if it is at this revision, or not there. The write has to raise the
    /// revision also where it renews what is there.
    Write {
        /// Which.
        id: LeaseId,
        /// The revision; none if it must not be there.
        expected: Option<u64>,
        /// Who shall hold it; none gives it back.
        owner: Option<Owner>,
    },
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// It took effect, at this revision.
    Taken(u64),
    /// The lease is at another revision.
    Conflict(LeaseRecord),
    /// It may take effect, now or later, or never.
    Unknown,
}

/// How leases last.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// How long a lease holds after the call that took or renewed it was sent.
    pub term: Duration,
    /// How long what was done under a lease counts: between two holders nobody may use
    /// the part for so long.
    pub settle: Duration,
}

/// Leases of one bound. Four leave each part of a small bound at least one call a second,
/// and lose a quarter of it while a holder has died.
pub const LEASES: u8 = 4;

/// Renewals in a term: two may be lost.
const RENEWALS: u32 = 3;
/// Time between two readings while no lease is free.
const AGAIN: Duration = Duration::from_millis(500);
/// Rest after a call whose fate is unknown.
const REST: Duration = Duration::from_millis(200);

#[derive(Clone, Debug)]
struct Seen {
    owner: Option<Owner>,
    /// None if it was not there.
    revision: Option<u64>,
    /// When this revision was seen first.
    since: Time,
}

#[derive(Clone, Debug)]
struct Holding {
    id: LeaseId,
    revision: u64,
    until: Time,
    renew: Time,
    /// When it may be given back; nothing is done under it any more.
    closing: Option<Time>,
}

/// The leases of one bound, as one entry sees them.
///
/// A holder goes by the time at which it sent the call that the store took; the others
/// by the time at which they saw the lease first as it is. So a lease is over for its
/// holder before anybody else takes it, whatever the store and the links do meanwhile.
#[derive(Clone, Debug)]
pub struct Leases {
    times: LeaseTimes,
    own: Owner,
    /// Where the entry begins to look, so that entries which look together don't all
    /// write the same lease.
    start: u8,
    seen: BTreeMap<LeaseId, Seen>,
    listed: Option<Time>,
    holding: Option<Holding>,
    rest: Time,
}

impl Leases {
    /// Nothing is known and nothing held.
    #[must_use]
    pub fn new(times: LeaseTimes, own: Owner, start: u64) -> Self {
        Self {
            times,
            own,
            start: (start % u64::from(LEASES)) as u8,
            seen: BTreeMap::new(),
            listed: None,
            holding: None,
            rest: Time::ZERO,
        }
    }

    /// The lease that is held, and until when.
    #[must_use]
    pub fn held(&self, now: Time) -> Option<(LeaseId, Time)> {
        let holding = self.holding.as_ref()?;
        let valid = holding.closing.is_none() && now < holding.until;
        valid.then_some((holding.id, holding.until))
    }

    /// Whether a lease is held, or kept until it may be given back.
    #[must_use]
    pub fn is_holding(&self) -> bool {
        self.holding.is_some()
    }

    /// The call to make now, if any. One is made at a time.
    pub fn next(&mut self, wanted: bool, now: Time) -> Option<LeaseCall> {
        if now < self.rest {
            return None;
        }
        if self.holding.as_ref().is_some_and(|held| now >= held.until) {
            // It could not be renewed, and others may take it.
            self.holding = None;
            self.listed = None;
        }
        match (&mut self.holding, wanted) {
            (Some(holding), true) => {
                holding.closing = None;
                let due = now >= holding.renew;
                due.then(|| LeaseCall::Write {
                    id: holding.id,
                    expected: Some(holding.revision),
                    owner: Some(self.own.clone()),
                })
            }
            (Some(holding), false) => {
                let closing = *holding.closing.get_or_insert(now + self.times.settle);
                (now >= closing).then_some(LeaseCall::Write {
                    id: holding.id,
                    expected: Some(holding.revision),
                    owner: None,
                })
            }
            (None, true) => self.look(now),
            (None, false) => None,
        }
    }

    fn look(&self, now: Time) -> Option<LeaseCall> {
        let fresh = self.listed.is_some_and(|at| now.since(at) < AGAIN);
        if !fresh {
            return Some(LeaseCall::List);
        }
        let order = (0..LEASES).map(|n| LeaseId((self.start + n) % LEASES));
        let mut open = order.filter_map(|id| Some((id, self.seen.get(&id)?)));
        open.find(|(_, seen)| self.is_open(seen, now))
            .map(|(id, seen)| LeaseCall::Write {
                id,
                expected: seen.revision,
                owner: Some(self.own.clone()),
            })
    }

    fn is_open(&self, seen: &Seen, now: Time) -> bool {
        match &seen.owner {
            None => true,
            // A write of this entry that it heard no answer to.
            Some(owner) if *owner == self.own => true,
            Some(_) => now >= self.lapse(seen),
        }
    }

    /// From when on a lease is over for its holder, and what was done under it.
    fn lapse(&self, seen: &Seen) -> Time {
        seen.since + self.times.term + self.times.settle
    }

    /// Takes what the store lists.
    pub fn listed(&mut self, records: Vec<LeaseRecord>, now: Time) {
        self.listed = Some(now);
        let mut records: BTreeMap<LeaseId, LeaseRecord> = records
            .into_iter()
            .map(|record| (record.id, record))
            .collect();
        for id in (0..LEASES).map(LeaseId) {
            let record = records.remove(&id);
            let revision = record.as_ref().map(|record| record.revision);
            self.see(id, record.and_then(|record| record.owner), revision, now);
        }
    }

    fn see(&mut self, id: LeaseId, owner: Option<Owner>, revision: Option<u64>, now: Time) {
        let known = self.seen.get(&id);
        if known.is_some_and(|seen| seen.revision == revision) {
            return;
        }
        let since = now;
        self.seen.insert(
            id,
            Seen {
                owner,
                revision,
                since,
            },
        );
    }

    /// Takes the answer to a write that was sent at `sent`.
    pub fn answered(
        &mut self,
        id: LeaseId,
        owner: Option<Owner>,
        reply: LeaseReply,
        sent: Time,
        now: Time,
    ) {
        match reply {
            LeaseReply::Taken(revision) => {
                self.see(id, owner.clone(), Some(revision), now);
                self.holding = owner.map(|_| Holding {
                    id,
                    revision,
                    until: sent + self.times.term,
                    renew: sent + self.times.term / RENEWALS,
                    closing: None,
                });
            }
            LeaseReply::Conflict(record) => {
                let own = record.owner.as_ref() == Some(&self.own);
                let revision = record.revision;
                self.see(id, record.owner, Some(revision), now);
                if let Some(holding) = self.holding.as_mut().filter(|held| held.id == id) {
                    // A renewal without an answer took effect: it prolongs nothing.
                    holding.revision = revision;
                    if !own {
                        self.holding = None;
                    }
                }
            }
            LeaseReply::Unknown => self.failed(now),
        }
    }

    /// Takes it that a call has failed.
    pub fn failed(&mut self, now: Time) {
        self.rest = now + REST;
    }

    /// When [`Leases::next`] may have something to do.
    #[must_use]
    pub fn wake(&self, wanted: bool, now: Time) -> Time {
        let due = match (&self.holding, wanted) {
            (Some(holding), true) => holding.renew,
            (Some(holding), false) => holding.closing.unwrap_or(now),
            (None, true) => {
                let listed = self.listed.map_or(now, |at| at + AGAIN);
                let open = self.seen.values().map(|seen| match &seen.owner {
                    Some(owner) if *owner != self.own => self.lapse(seen),
                    _ => now,
                });
                open.min().unwrap_or(now).min(listed)
            }
            (None, false) => Time::MAX,
        };
        due.max(self.rest)
    }
}

impl LeaseId {
    /// The part of `bound` that belongs to the lease. All parts together are the bound.
    #[must_use]
    pub fn part(self, bound: u32) -> u32 {
        let leases = u32::from(LEASES);
        (bound + leases - 1 - u32::from(self.0)) / leases
    }
}
