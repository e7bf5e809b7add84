//! The set of known leafs, from the registrations that leafs keep in the store.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnut_unit::{DomainName, Incarnation, LeafId, ServiceName, Time};
use serde::{Deserialize, Serialize};

/// Whether a leaf accepts work, as it registers itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeafState {
    /// The leaf accepts work.
    Ready,
    /// The leaf is draining and must get no new work.
    Draining,
}

/// The registration of one incarnation of a leaf: one run of its process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafRegistration {
    /// The service that the leaf runs.
    pub service: ServiceName,
    /// The address that the leaf listens on.
    pub address: SocketAddr,
    /// The leaf's failure domain.
    pub domain: DomainName,
    /// Requests that the leaf runs at once.
    pub slots: u32,
    /// Whether the leaf accepts work.
    pub state: LeafState,
    /// Remaining time for which the leaf is cold after its start.
    pub warmup: Duration,
    /// The leaf's incarnation, if it reports one.
    #[serde(default, rename = "life")]
    pub incarnation: Option<Incarnation>,
}

impl LeafRegistration {
    /// Returns whether `other` is equal apart from `warmup`, which changes with every
    /// heartbeat of a leaf that has just started.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        let warmup = self.warmup;
        *self
            == Self {
                warmup,
                ..other.clone()
            }
    }
}

/// How the incarnation of a registration compares with the latest known one of the leaf:
/// earlier (the registration is stale), the same, or later (the leaf has restarted).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IncarnationOrder {
    Earlier,
    Same,
    Later,
}

/// A known leaf: its latest registration, and since when it is missing and until when it may
/// be called while draining and is cold.
#[derive(Clone, Debug)]
struct Leaf {
    /// The latest registration.
    entry: LeafRegistration,
    /// When the registration went missing, if it has.
    missing_since: Option<Time>,
    /// Time until which a draining leaf may still be called; none if the leaf is not draining,
    /// or that time is over.
    draining_until: Option<Time>,
    /// Time until which the leaf is cold, as far as is known; zero if it was never cold.
    cold_until: Time,
}

/// A change of the known leafs, for the request path: a leaf is new or updated, restarted,
/// became cold, drains, is closed, is missing or was removed, or a stale registration of it
/// was ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeafChange {
    /// A ready leaf is new, its registration changed, or it is no longer missing.
    Updated(LeafId, LeafRegistration),
    /// A leaf restarted under the same id: its statistics, connections and draining
    /// state belong to the earlier incarnation.
    Restarted(LeafId, LeafRegistration),
    /// A leaf is cold until the given time at least.
    BecameCold(LeafId, Time),
    /// A registration of an earlier incarnation was ignored.
    Stale(LeafId),
    /// A leaf is draining; it is called only if no other can be.
    Draining(LeafId),
    /// A draining leaf no longer accepts new work.
    Closed(LeafId),
    /// The registration of a ready leaf is missing. The leaf is called only if no other
    /// can be, until the registration returns or the wait for it times out.
    Missing(LeafId),
    /// A leaf was removed.
    Removed(LeafId),
}

/// Removed leafs whose latest incarnation is kept, so that a stale list or peer does not add
/// them again. Beyond that many removals, a stale list could add a leaf again for a moment.
const MAX_REMOVED: usize = 4096;

/// How long a leaf that had left is passed over in the lists of a restored store. If it is
/// gone, its registration expires meanwhile.
const LEFT_HOLD: Duration = Duration::from_secs(10);
/// Time after the removal of a leaf in which a list may come from a copy that is older.
const COPY_AGE_MAX: Duration = Duration::from_secs(60);

/// The known leafs, updated from lists and changes of the store.
///
/// A store that is restored from an older copy lists leafs as ready that drain or are gone. They
/// are passed over until they register again or have been listed for a while.
///
/// A registration goes missing if the leaf is gone, or if the store expired it during
/// an outage while the leaf still runs. A missing ready leaf therefore stays callable as
/// the last choice until expired registrations have had time to return; otherwise a
/// service would lose all its leafs in an outage. That time is shorter than a draining
/// leaf's drain time, so no call reaches one that has stopped. A draining leaf stays the
/// last choice for a while too, or its shard would have no leaf until others start.
#[derive(Clone, Debug)]
pub struct Leafs {
    /// The known leafs, including draining and missing ones.
    known: BTreeMap<LeafId, Leaf>,
    /// The latest incarnation that each leaf reported, also of removed leafs.
    incarnations: BTreeMap<LeafId, Incarnation>,
    /// When each removed leaf was removed, the latest [`MAX_REMOVED`] of them.
    removed: BTreeMap<LeafId, Time>,
    /// Until when lists of a restored store may be older than what is known.
    outdated_until: Option<Time>,
    /// Leafs that had left, as the restored store lists them.
    relisted: BTreeMap<LeafId, LeafRegistration>,
    /// Time after which a missing leaf is removed.
    missing_timeout: Duration,
    /// Time for which a draining leaf may still be called.
    draining_grace: Duration,
}

impl Leafs {
    /// Creates an empty set, in which a missing leaf is removed after `missing_timeout`
    /// and a draining leaf may still be called for `draining_grace`.
    #[must_use]
    pub fn new(missing_timeout: Duration, draining_grace: Duration) -> Self {
        Self {
            known: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            removed: BTreeMap::new(),
            outdated_until: None,
            relisted: BTreeMap::new(),
            missing_timeout,
            draining_grace,
        }
    }

    /// Changes the timeouts: at once for missing leafs, and for leafs that leave from now
    /// on.
    pub fn set_timeouts(&mut self, missing_timeout: Duration, draining_grace: Duration) {
        self.missing_timeout = missing_timeout;
        self.draining_grace = draining_grace;
    }

    /// Returns the number of known leafs, including draining and missing ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no leaf is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the service and failure domain of each leaf whose latest registration is ready,
    /// including missing ones.
    pub fn ready_leafs(&self) -> impl Iterator<Item = (&ServiceName, &DomainName)> {
        let ready = self.known.values().map(|known| &known.entry);
        ready
            .filter(|entry| entry.state == LeafState::Ready)
            .map(|entry| (&entry.service, &entry.domain))
    }

    /// Returns all known leafs of a failure domain, including draining and missing ones.
    pub fn in_domain<'a>(&'a self, domain: &'a DomainName) -> impl Iterator<Item = &'a LeafId> {
        let known = self.known.iter();
        known
            .filter(move |(_, known)| known.entry.domain == *domain)
            .map(|(id, _)| id)
    }

    /// Returns all known leafs of a service, including draining and missing ones.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a LeafId, &'a LeafRegistration)> {
        self.known
            .iter()
            .map(|(id, known)| (id, &known.entry))
            .filter(move |(_, entry)| entry.service == *service)
    }

    /// Returns the leafs that are cold at `now`, and the time until which each is cold.
    pub fn cold(&self, now: Time) -> impl Iterator<Item = (LeafId, Time)> {
        let cold = self
            .known
            .iter()
            .filter(move |(_, known)| now < known.cold_until);
        cold.map(|(id, known)| (id.clone(), known.cold_until))
    }

    /// Returns the time until which a leaf is cold, as far as is known; zero if it is unknown
    /// or was never cold.
    #[must_use]
    pub fn cold_until(&self, id: &LeafId) -> Time {
        self.known
            .get(id)
            .map_or(Time::ZERO, |known| known.cold_until)
    }

    /// Records that a leaf is cold until `until`, whatever its registration says. Returns
    /// whether this extends the known time; false for an unknown leaf. It never shortens it.
    pub fn mark_cold(&mut self, id: &LeafId, until: Time) -> bool {
        let known = self.known.get_mut(id);
        known.is_some_and(|known| {
            let is_new = known.cold_until < until;
            known.cold_until = known.cold_until.max(until);
            is_new
        })
    }

    /// Records that the store was restored at `now`, before its next list is applied.
    pub fn restored(&mut self, now: Time) {
        self.outdated_until = Some(now + LEFT_HOLD);
    }

    /// Returns whether a listed registration may be older than what is known of its leaf: the
    /// store was restored, and the leaf had drained or was removed since.
    fn is_outdated(&self, id: &LeafId, entry: &LeafRegistration, now: Time) -> bool {
        let recently = |at: &Time| now.since(*at) < COPY_AGE_MAX;
        let left = match self.known.get(id) {
            Some(known) => known.entry.state == LeafState::Draining,
            None => self.removed.get(id).is_some_and(recently),
        };
        let restarted = self.compare_incarnation(id, entry) == IncarnationOrder::Later;
        self.outdated_until.is_some() && left && !restarted && entry.state == LeafState::Ready
    }

    /// Applies a full list and appends the changes to `out`. Leafs that it lacks are treated
    /// as by [`Leafs::deleted`]. Shortly after a restore, leafs that had left wait for
    /// [`Leafs::tick`].
    pub fn listed(
        &mut self,
        list: Vec<(LeafId, LeafRegistration)>,
        now: Time,
        out: &mut Vec<LeafChange>,
    ) {
        let present: std::collections::BTreeSet<LeafId> =
            list.iter().map(|(id, _)| id.clone()).collect();
        self.relisted.clear();
        for (id, entry) in list {
            match self.is_outdated(&id, &entry, now) {
                true => drop(self.relisted.insert(id, entry)),
                false => self.changed(id, entry, now, out),
            }
        }
        let absent = self.known.keys().filter(|id| !present.contains(*id));
        for id in absent.cloned().collect::<Vec<_>>() {
            self.deleted(&id, now, out);
        }
    }

    /// Applies a new or changed registration and appends the changes to `out`; none if
    /// it is known and its warm-up ends no later. `now` starts its warm-up and drain times.
    ///
    /// One of an earlier incarnation than the latest known comes from a stale or reordered
    /// read. It is ignored, since it would send calls to an address that the leaf has left.
    pub fn changed(
        &mut self,
        id: LeafId,
        entry: LeafRegistration,
        now: Time,
        out: &mut Vec<LeafChange>,
    ) {
        self.relisted.remove(&id);
        let old = self.known.get(&id);
        let cold = match entry.warmup.is_zero() {
            true => Time::ZERO,
            false => now + entry.warmup,
        };
        if old.is_some_and(|known| known.missing_since.is_none() && known.entry.is_same(&entry)) {
            if self.mark_cold(&id, cold) {
                out.push(LeafChange::BecameCold(id, cold));
            }
            return;
        }
        let order = self.compare_incarnation(&id, &entry);
        if order == IncarnationOrder::Earlier {
            out.push(LeafChange::Stale(id));
            return;
        }
        let known_cold = self
            .known
            .get(&id)
            .map_or(Time::ZERO, |known| known.cold_until);
        self.record_incarnation(&id, entry.incarnation);
        if order == IncarnationOrder::Later {
            out.push(LeafChange::Restarted(id.clone(), entry.clone()));
        }
        let draining_until = match entry.state {
            LeafState::Ready => None,
            LeafState::Draining => Some(now + self.draining_grace),
        };
        match entry.state {
            LeafState::Ready if order == IncarnationOrder::Later => {}
            LeafState::Ready => out.push(LeafChange::Updated(id.clone(), entry.clone())),
            LeafState::Draining => out.push(LeafChange::Draining(id.clone())),
        }
        let known = Leaf {
            entry,
            missing_since: None,
            draining_until,
            cold_until: match order {
                IncarnationOrder::Later => cold,
                IncarnationOrder::Earlier | IncarnationOrder::Same => cold.max(known_cold),
            },
        };
        self.known.insert(id.clone(), known);
        self.removed.remove(&id);
        if cold > now {
            out.push(LeafChange::BecameCold(id, cold));
        }
    }

    /// Removes a leaf whose registration can't be read, if it is known. Unlike a deletion this
    /// is not caused by an outage, so the leaf is removed at once.
    pub fn malformed(&mut self, id: &LeafId, out: &mut Vec<LeafChange>) {
        if self.known.remove(id).is_some() {
            out.push(LeafChange::Removed(id.clone()));
        }
    }

    /// Compares the incarnation of `entry` with the latest known one. A leaf with a new
    /// address counts as restarted even if it reports no incarnation.
    fn compare_incarnation(&self, id: &LeafId, entry: &LeafRegistration) -> IncarnationOrder {
        let moved = |known: &Leaf| known.entry.address != entry.address;
        match (entry.incarnation, self.incarnations.get(id)) {
            (Some(new), Some(latest)) if new < *latest => IncarnationOrder::Earlier,
            (Some(new), Some(latest)) if new > *latest => IncarnationOrder::Later,
            _ if self.known.get(id).is_some_and(moved) => IncarnationOrder::Later,
            _ => IncarnationOrder::Same,
        }
    }

    /// Records the latest incarnation of a leaf, if it reports one, and drops the oldest
    /// incarnation of a removed leaf if more than [`MAX_REMOVED`] are kept.
    fn record_incarnation(&mut self, id: &LeafId, incarnation: Option<Incarnation>) {
        let Some(incarnation) = incarnation else {
            return;
        };
        self.incarnations.insert(id.clone(), incarnation);
        if self.incarnations.len() > self.known.len() + MAX_REMOVED {
            let oldest = self
                .incarnations
                .iter()
                .filter(|(id, _)| !self.known.contains_key(*id));
            let oldest = oldest
                .min_by_key(|(_, incarnation)| **incarnation)
                .map(|(id, _)| id.clone());
            oldest.and_then(|id| self.incarnations.remove(&id));
        }
    }

    /// Applies the deletion of a registration: removes a draining leaf, and marks a ready
    /// one as missing from `now` on. Does nothing if the leaf is unknown or missing already.
    pub fn deleted(&mut self, id: &LeafId, now: Time, out: &mut Vec<LeafChange>) {
        self.relisted.remove(id);
        let Some(known) = self.known.get_mut(id) else {
            return;
        };
        if known.entry.state == LeafState::Draining {
            self.remove(id, now);
            out.push(LeafChange::Removed(id.clone()));
        } else if known.missing_since.is_none() {
            known.missing_since = Some(now);
            out.push(LeafChange::Missing(id.clone()));
        }
    }

    /// Removes a known leaf, and drops the earliest removed one if too many are kept.
    fn remove(&mut self, id: &LeafId, now: Time) {
        self.known.remove(id);
        self.removed.insert(id.clone(), now);
        if self.removed.len() > MAX_REMOVED {
            let earliest = self.removed.iter().min_by_key(|(_, at)| **at);
            let earliest = earliest.map(|(id, _)| id.clone());
            earliest.and_then(|id| self.removed.remove(&id));
        }
    }

    /// Restarts the timeout of all missing leafs at `now`, since the store has recovered from
    /// an outage and their registrations may still return.
    pub fn restart_timeouts(&mut self, now: Time) {
        for known in self.known.values_mut() {
            if known.missing_since.is_some() {
                known.missing_since = Some(now);
            }
        }
    }

    /// Removes leafs that have been missing for the missing timeout, and reports as closed
    /// those whose draining grace is over; appends the changes to `out`. Some time after a
    /// restore, applies the registrations of leafs that had left and are still listed.
    pub fn tick(&mut self, now: Time, out: &mut Vec<LeafChange>) {
        if self.outdated_until.is_some_and(|until| until <= now) {
            self.outdated_until = None;
            for (id, entry) in std::mem::take(&mut self.relisted) {
                self.changed(id, entry, now, out);
            }
        }
        for (id, known) in &mut self.known {
            if known.draining_until.is_some_and(|until| until <= now) {
                known.draining_until = None;
                out.push(LeafChange::Closed(id.clone()));
            }
        }
        let limit = self.missing_timeout;
        let expired = |leaf: &Leaf| leaf.missing_since.is_some_and(|at| now.since(at) >= limit);
        let expired_ids: Vec<LeafId> = self
            .known
            .iter()
            .filter(|(_, known)| expired(known))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired_ids {
            self.remove(&id, now);
            out.push(LeafChange::Removed(id));
        }
    }

    /// Returns the time at which [`Leafs::tick`] is due next; [`Time::MAX`] if no leaf is
    /// missing or draining, and the store was not restored lately.
    #[must_use]
    pub fn wake(&self) -> Time {
        let known = self.known.values();
        let expires = |leaf: &Leaf| leaf.missing_since.map(|at| at + self.missing_timeout);
        let wakes = known.flat_map(|known| [expires(known), known.draining_until]);
        let wakes = wakes.flatten().chain(self.outdated_until);
        wakes.min().unwrap_or(Time::MAX)
    }
}
