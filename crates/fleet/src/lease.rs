//! Leases on shares of a rate limit that applies to all entries together.
//!
//! Dividing the limit among the entries that each one knows would exceed it while views
//! differ, and dividing it among all entries would leave each too little. So the limit is
//! split into a fixed number of shares, each under a lease in the store. Only the holder of
//! a lease may use its share.

use std::{collections::BTreeMap, fmt, str::FromStr, time::Duration};

use chestnut_unit::{Epoch, Revision, Time};

/// Number of a lease, starting at 0.
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

/// Identity of one incarnation of an entry. A restarted entry holds none of the leases of
/// the earlier incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Owner(pub String);

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The stored state of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The lease.
    pub id: LeaseId,
    /// Its holder; `None` if it was released.
    pub owner: Option<Owner>,
    /// The store's epoch as the writer of the record knew it.
    pub epoch: Epoch,
    /// The store's revision of the record.
    pub revision: Revision,
}

/// All leases that the store holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseList {
    /// The stored leases.
    pub records: Vec<LeaseRecord>,
    /// The epoch of the store.
    pub epoch: Epoch,
}

/// A write of a lease that takes effect if its revision matches (compare-and-swap). The store
/// has to raise the revision even if the owner stays the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The lease.
    pub id: LeaseId,
    /// The expected revision; `None` if the record must not exist.
    pub expected: Option<Revision>,
    /// The new holder; `None` releases the lease.
    pub owner: Option<Owner>,
    /// The store's epoch as the writer knows it. The write may take effect in a later one, in
    /// which the expected revision was given out again.
    pub epoch: Epoch,
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseCall {
    /// Reads the current state of all leases.
    List,
    /// Writes a lease.
    Write(LeaseWrite),
}

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// The write took effect at this revision.
    Applied(Revision),
    /// The lease has another revision.
    Conflict(LeaseRecord),
    /// No answer: the write may have taken effect, may do so later, or never.
    Unknown,
}

/// Validity of a lease, counted from the send of its write, and the unused time between
/// two holders.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// Validity of a lease, counted from when the write that took or renewed it was sent.
    pub term: Duration,
    /// Time between two holders during which nobody may use the share, because calls made
    /// under the old lease still count.
    pub grace: Duration,
}

/// Number of leases that a limit is split into. Few, so that each share of a small limit
/// stays usable; more than one, so that a crashed holder blocks only one share.
pub const LEASE_COUNT: u8 = 4;

/// Divisor of the term after which a lease is renewed; leaves time to repeat lost renewals.
const RENEWALS: u32 = 3;
/// Age from which the list of leases is read again before one is taken.
const RELIST_INTERVAL: Duration = Duration::from_millis(500);
/// Fixed backoff after a call that failed or has no known outcome.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// The last observed holder and revision of a lease, and when the revision was first
/// observed.
#[derive(Clone, Debug)]
struct Observed {
    owner: Option<Owner>,
    /// The epoch that its writer knew.
    epoch: Epoch,
    /// `None` if the record did not exist.
    revision: Option<Revision>,
    /// When this revision was first observed.
    first_seen: Time,
}

/// The lease that the entry holds: its revision, when it expires, and when it is to be
/// renewed or released.
#[derive(Clone, Debug)]
struct Holding {
    id: LeaseId,
    revision: Revision,
    until: Time,
    renew: Time,
    /// When the lease may be released; its share is no longer used.
    release_at: Option<Time>,
}

/// One entry's view of the leases of a limit, and the lease that it holds.
///
/// A holder counts the term from when it sent the write; others count from when they first
/// observed the revision. So a lease expires for its holder before anyone else takes it,
/// whatever the delays of the store and the network.
///
/// A store that is restored from an older copy forgets leases that are in use. So after a
/// restore no lease is taken before all earlier ones have expired, those of an earlier epoch
/// are neither renewed nor released, and a record written for an earlier epoch may have
/// overwritten a lease in use, so it counts as held.
#[derive(Clone, Debug)]
pub struct Leases {
    times: LeaseTimes,
    own: Owner,
    /// First lease that the entry tries, so that entries that look at the same time don't
    /// all write the same lease.
    first_tried: u8,
    /// The epoch of the store; none before the first is observed.
    epoch: Option<Epoch>,
    /// Time before which no lease is taken.
    available_from: Time,
    observed: BTreeMap<LeaseId, Observed>,
    listed_at: Option<Time>,
    holding: Option<Holding>,
    backoff_until: Time,
}

impl Leases {
    /// Creates a state in which nothing is known and no lease is held. `start` selects the
    /// lease that is tried first, and none is taken before `available_from`: an entry that
    /// has just started does not know whether the store was restored shortly before.
    #[must_use]
    pub fn new(times: LeaseTimes, own: Owner, start: u64, available_from: Time) -> Self {
        Self {
            times,
            own,
            first_tried: (start % u64::from(LEASE_COUNT)) as u8,
            epoch: None,
            available_from,
            observed: BTreeMap::new(),
            listed_at: None,
            holding: None,
            backoff_until: Time::ZERO,
        }
    }

    /// Returns the lease whose share may be used at `now`, and when it expires; `None` if
    /// none is held, or it has expired or is about to be released.
    #[must_use]
    pub fn valid_lease(&self, now: Time) -> Option<(LeaseId, Time)> {
        let holding = self.holding.as_ref()?;
        let valid = holding.release_at.is_none() && now < holding.until;
        valid.then_some((holding.id, holding.until))
    }

    /// Whether a lease is held, or kept until it may be released.
    #[must_use]
    pub fn is_holding(&self) -> bool {
        self.holding.is_some()
    }

    /// Records the epoch of the store. If it has risen, all leases in use may be missing there,
    /// so none is taken before they have expired. A lower one comes from an old answer.
    pub fn observe_epoch(&mut self, epoch: Epoch, now: Time) {
        match self.epoch {
            Some(known) if epoch <= known => return,
            Some(_) => self.available_from = now + self.times.term + self.times.grace,
            None => {}
        }
        self.epoch = Some(epoch);
        self.observed.clear();
        self.listed_at = None;
    }

    /// Returns the call to make now, if any; the caller must have at most one call in
    /// flight. If a lease is `wanted` it takes or renews one, otherwise it releases the
    /// held one after the grace. An expired lease is dropped. During a backoff it makes
    /// no call.
    pub fn next_call(&mut self, wanted: bool, now: Time) -> Option<LeaseCall> {
        if now < self.backoff_until {
            return None;
        }
        if self.holding.as_ref().is_some_and(|held| now >= held.until) {
            // Not renewed in time: others may take it.
            self.holding = None;
            self.listed_at = None;
        }
        let epoch = self.epoch.unwrap_or_default();
        let lost = |holding: &Holding| holding.revision.epoch != epoch;
        let write = |holding: &Holding, owner| {
            LeaseCall::Write(LeaseWrite {
                id: holding.id,
                expected: Some(holding.revision),
                owner,
                epoch,
            })
        };
        match (&mut self.holding, wanted) {
            (Some(holding), _) if lost(holding) => None,
            (Some(holding), true) => {
                holding.release_at = None;
                let due = now >= holding.renew;
                due.then(|| write(holding, Some(self.own.clone())))
            }
            (Some(holding), false) => {
                let release_at = *holding.release_at.get_or_insert(now + self.times.grace);
                (now >= release_at).then(|| write(holding, None))
            }
            (None, true) => self.find_available(now),
            (None, false) => None,
        }
    }

    /// Returns a request for the list if the last one is at least [`RELIST_INTERVAL`] old
    /// or missing, even if an available lease is known; before `available_from`, only if it is
    /// missing. Else returns the write that takes the
    /// first available lease, searched from `first_tried` on, or `None` if there is none.
    fn find_available(&self, now: Time) -> Option<LeaseCall> {
        let early = now < self.available_from;
        // Read early too: the time of a holder counts from when its record is first seen.
        let fresh = |at: Time| early || now.since(at) < RELIST_INTERVAL;
        if !self.listed_at.is_some_and(fresh) {
            return Some(LeaseCall::List);
        }
        if early {
            return None;
        }
        let order = (0..LEASE_COUNT).map(|n| LeaseId((self.first_tried + n) % LEASE_COUNT));
        let mut available = order.filter_map(|id| Some((id, self.observed.get(&id)?)));
        available
            .find(|(_, observed)| self.is_available(observed, now))
            .map(|(id, observed)| {
                LeaseCall::Write(LeaseWrite {
                    id,
                    expected: observed.revision,
                    owner: Some(self.own.clone()),
                    epoch: self.epoch.unwrap_or_default(),
                })
            })
    }

    /// Whether a lease may be taken at `now`: it is free, the store names this entry as
    /// its holder, or the term and grace of another holder have passed since its revision
    /// was first observed.
    fn is_available(&self, observed: &Observed, now: Time) -> bool {
        self.is_free(observed) || now >= self.available_at(observed)
    }

    /// Whether the record shows that no other entry uses the lease: it does not exist, or was
    /// written for this epoch and names no holder, or this entry, whose answer was lost.
    fn is_free(&self, observed: &Observed) -> bool {
        let current = observed.revision.is_none() || Some(observed.epoch) == self.epoch;
        let own = observed
            .owner
            .as_ref()
            .is_none_or(|owner| *owner == self.own);
        current && own
    }

    /// Returns when the lease has expired for its holder and calls made under it no longer
    /// count.
    fn available_at(&self, observed: &Observed) -> Time {
        observed.first_seen + self.times.term + self.times.grace
    }

    /// Records the leases that the store listed at `now`. Those that the list lacks are
    /// recorded as free and without a revision. A list of an earlier epoch counts as failed.
    pub fn on_list(&mut self, list: LeaseList, now: Time) {
        self.observe_epoch(list.epoch, now);
        if Some(list.epoch) != self.epoch {
            // An answer from before the restore.
            return self.on_failure(now);
        }
        self.listed_at = Some(now);
        let mut records: BTreeMap<LeaseId, LeaseRecord> = list
            .records
            .into_iter()
            .map(|record| (record.id, record))
            .collect();
        for id in (0..LEASE_COUNT).map(LeaseId) {
            self.observe(id, records.remove(&id), now);
        }
    }

    /// Records the state of a lease, none if it does not exist, as first observed at `now`; does
    /// nothing if the revision is the known one.
    fn observe(&mut self, id: LeaseId, record: Option<LeaseRecord>, now: Time) {
        let revision = record.as_ref().map(|record| record.revision);
        let known = self.observed.get(&id);
        if known.is_some_and(|observed| observed.revision == revision) {
            return;
        }
        let observed = Observed {
            epoch: record
                .as_ref()
                .map(|record| record.epoch)
                .unwrap_or_default(),
            owner: record.and_then(|record| record.owner),
            revision,
            first_seen: now,
        };
        self.observed.insert(id, observed);
    }

    /// Records the outcome of a write that was sent at `sent`.
    /// An applied write starts, renews or ends the holding. A conflict ends it unless the
    /// store still names this entry as the holder. An unknown outcome starts the backoff, and
    /// so does a reply of another epoch than the write was meant for.
    pub fn on_reply(&mut self, write: LeaseWrite, reply: LeaseReply, sent: Time, now: Time) {
        let replied = match &reply {
            LeaseReply::Applied(revision) => revision.epoch,
            LeaseReply::Conflict(record) => record.revision.epoch,
            LeaseReply::Unknown => write.epoch,
        };
        self.observe_epoch(replied, now);
        if replied != write.epoch || Some(replied) != self.epoch {
            return self.on_failure(now);
        }
        let LeaseWrite {
            id, owner, epoch, ..
        } = write;
        match reply {
            LeaseReply::Applied(revision) => {
                let record = LeaseRecord {
                    id,
                    owner: owner.clone(),
                    epoch,
                    revision,
                };
                self.observe(id, Some(record), now);
                self.holding = owner.map(|_| Holding {
                    id,
                    revision,
                    until: sent + self.times.term,
                    renew: sent + self.times.term / RENEWALS,
                    release_at: None,
                });
            }
            LeaseReply::Conflict(record) => {
                let own = record.owner.as_ref() == Some(&self.own);
                let revision = record.revision;
                self.observe(id, Some(record), now);
                if let Some(holding) = self.holding.as_mut().filter(|held| held.id == id) {
                    // An unanswered renewal took effect: the revision changed, the expiry
                    // does not.
                    holding.revision = revision;
                    if !own {
                        self.holding = None;
                    }
                }
            }
            LeaseReply::Unknown => self.on_failure(now),
        }
    }

    /// Starts the fixed backoff after a failed call, in which no other is made. Doesn't end
    /// the pending call and changes nothing else.
    pub fn on_failure(&mut self, now: Time) {
        self.backoff_until = now + RETRY_BACKOFF;
    }

    /// Returns when [`Leases::next_call`] may next return a call; [`Time::MAX`] if no
    /// lease is held or wanted.
    #[must_use]
    pub fn wake(&self, wanted: bool, now: Time) -> Time {
        let due = match (&self.holding, wanted) {
            (Some(holding), _) if Some(holding.revision.epoch) != self.epoch => holding.until,
            (Some(holding), true) => holding.renew,
            (Some(holding), false) => holding.release_at.unwrap_or(now),
            (None, true) => {
                let Some(listed_at) = self.listed_at else {
                    return self.backoff_until.max(now);
                };
                let relist = listed_at + RELIST_INTERVAL;
                let available =
                    self.observed
                        .values()
                        .map(|observed| match self.is_free(observed) {
                            true => now,
                            false => self.available_at(observed),
                        });
                let available = available.min().unwrap_or(now).min(relist);
                available.max(self.available_from)
            }
            (None, false) => Time::MAX,
        };
        due.max(self.backoff_until)
    }
}

impl LeaseId {
    /// Returns the share of `limit` that belongs to the lease. Shares differ by at most
    /// one and add up to `limit` over all leases.
    #[must_use]
    pub fn share(self, limit: u32) -> u32 {
        let leases = u32::from(LEASE_COUNT);
        (limit + leases - 1 - u32::from(self.0)) / leases
    }
}
