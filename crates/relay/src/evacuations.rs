//! Evacuations: failure domains whose leafs get no calls, at an operator's request.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use chestnut_port::{Content, Item};
use chestnut_unit::{DomainName, Time};
use serde::{Deserialize, Serialize};

/// A change of the evacuated failure domains, for the request path: an evacuation started or
/// ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The domain's evacuation started: its leafs get no calls from now on.
    Started(DomainName),
    /// The domain's evacuation ended: its leafs may be called again, and may be cold.
    Ended(DomainName),
}

/// How long an evacuation holds that a restored store lacks: the operator writes it again
/// meanwhile, unless it was to end.
const LOST_HOLD: Duration = Duration::from_secs(10);
/// How long an evacuation that had ended is passed over in the list of a restored store. Short
/// against the time in which a new one has to be obeyed.
const ENDED_HOLD: Duration = Duration::from_secs(2);

/// An evacuation that the restored store lacks, and what an entry knows of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldEvacuation {
    /// The failure domain.
    pub domain: DomainName,
    /// For how long the entry holds to it; zero if it has ended since the restore.
    pub left: Duration,
}

/// The evacuated failure domains, as the store lists them.
///
/// A store that is restored from an older copy lists what was true then. What it lists
/// differently from what is known is passed over for a while, in which the operator writes
/// again what the store has lost; changes after the restore count at once.
///
/// Until the first list is read the set is unknown, not empty: an entry that served
/// without it would call leafs of a domain that was evacuated before it started.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    domains: BTreeSet<DomainName>,
    /// Whether a list has been read.
    known: bool,
    /// Domains whose evacuation has ended.
    ended: BTreeSet<DomainName>,
    /// Those whose evacuation was ended by a change after the last restore, for a while.
    ended_since: BTreeSet<DomainName>,
    /// When the store was last known to be restored; none if it never was.
    restored_at: Option<Time>,
    /// Evacuated domains that the restored store lacks, and until when each stays evacuated.
    lost: BTreeMap<DomainName, Time>,
    /// Domains that the restored store lists although their evacuation has ended, and from when
    /// on that counts.
    relisted: BTreeMap<DomainName, Time>,
}

impl Evacuations {
    /// Returns whether a list has been read.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Returns whether `domain` is evacuated; false while the set is unknown.
    #[must_use]
    pub fn covers(&self, domain: &DomainName) -> bool {
        self.domains.contains(domain)
    }

    /// Returns the evacuated domains.
    pub fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.domains.iter()
    }

    /// Records that the store was restored at `now`, before its next list is applied.
    pub fn restored(&mut self, now: Time) {
        self.restored_at = Some(now);
        self.ended_since.clear();
    }

    /// Applies a full list and appends the changes to `out`; evacuations that it lacks
    /// have ended. From then on the set is known. Shortly after a restore, differences from
    /// what is known wait for [`Evacuations::tick`].
    pub fn listed(&mut self, items: Vec<Item<DomainName>>, out: &mut Vec<EvacuationChange>) {
        self.known = true;
        let listed: BTreeSet<DomainName> = items.iter().filter_map(domain_of).collect();
        self.lost.retain(|domain, _| !listed.contains(domain));
        self.relisted.retain(|domain, _| listed.contains(domain));
        let absent: Vec<DomainName> = self.domains.difference(&listed).cloned().collect();
        for domain in absent {
            match self.restored_at {
                // One that an earlier restore lost was to be written again since.
                Some(at) => drop(self.lost.entry(domain).or_insert(at + LOST_HOLD)),
                // A peer holds to it.
                None if self.lost.contains_key(&domain) => {}
                None => self.end(domain, out),
            }
        }
        for domain in listed {
            match self.restored_at.filter(|_| self.ended.contains(&domain)) {
                Some(at) => drop(self.relisted.insert(domain, at + ENDED_HOLD)),
                None => self.evacuate(domain, out),
            }
        }
    }

    /// Takes over what a peer knows of an evacuation that the restored store lacks: the peer holds
    /// to it, and so does this entry for no longer, unless it knows that it has ended; or it has
    /// ended, and this entry no longer holds to it. Appends the change, if any, to `out`.
    pub fn take_over(&mut self, held: HeldEvacuation, now: Time, out: &mut Vec<EvacuationChange>) {
        let HeldEvacuation { domain, left } = held;
        if left.is_zero() {
            if self.lost.remove(&domain).is_some() {
                self.end(domain, out);
            }
            return;
        }
        if let Some(until) = self.lost.get_mut(&domain) {
            // The peer read the restored store before this entry did.
            *until = (*until).min(now + left);
        }
        if self.domains.contains(&domain) || self.ended.contains(&domain) {
            return;
        }
        self.lost.insert(domain.clone(), now + left);
        self.evacuate(domain, out);
    }

    /// Returns the evacuations that the restored store lacks: those that hold, and those that
    /// have ended since.
    pub fn held(&self, now: Time) -> impl Iterator<Item = HeldEvacuation> {
        let held = self.lost.iter().filter(move |(_, until)| now < **until);
        let held = held.map(move |(domain, until)| (domain, until.since(now)));
        let ended = self.ended_since.iter();
        let ended = ended.map(|domain| (domain, Duration::ZERO));
        held.chain(ended).map(|(domain, left)| HeldEvacuation {
            domain: domain.clone(),
            left,
        })
    }

    /// Applies what the restored store listed differently and nobody has changed since, once its
    /// time is over; appends the changes to `out`.
    pub fn tick(&mut self, now: Time, out: &mut Vec<EvacuationChange>) {
        if self.restored_at.is_some_and(|at| at + LOST_HOLD <= now) {
            self.restored_at = None;
            self.ended_since.clear();
        }
        let due = |held: &BTreeMap<DomainName, Time>| -> Vec<DomainName> {
            let due = held.iter().filter(|(_, until)| **until <= now);
            due.map(|(domain, _)| domain.clone()).collect()
        };
        for domain in due(&self.lost) {
            self.lost.remove(&domain);
            self.end(domain, out);
        }
        for domain in due(&self.relisted) {
            self.relisted.remove(&domain);
            self.evacuate(domain, out);
        }
    }

    /// Returns the time at which [`Evacuations::tick`] is due next; [`Time::MAX`] if it is not.
    #[must_use]
    pub fn wake(&self) -> Time {
        let held = self.lost.values().chain(self.relisted.values()).copied();
        let restored = self.restored_at.map(|at| at + LOST_HOLD);
        held.chain(restored).min().unwrap_or(Time::MAX)
    }

    /// Applies one changed object and appends the change, if any, to `out`. A deleted object
    /// ends the evacuation of the domain that its name gives.
    pub fn changed(&mut self, item: Item<DomainName>, out: &mut Vec<EvacuationChange>) {
        if let Ok(domain) = DomainName::new(&item.name) {
            self.lost.remove(&domain);
            self.relisted.remove(&domain);
        }
        match (domain_of(&item), DomainName::new(&item.name)) {
            (Some(domain), _) => self.evacuate(domain, out),
            (None, Ok(domain)) => {
                if self.restored_at.is_some() {
                    self.ended_since.insert(domain.clone());
                }
                self.end(domain, out);
            }
            // An object whose name is no domain name evacuates nothing.
            (None, Err(_)) => {}
        }
    }

    /// Adds `domain`, and appends the change to `out` unless it is evacuated already.
    fn evacuate(&mut self, domain: DomainName, out: &mut Vec<EvacuationChange>) {
        self.ended.remove(&domain);
        self.ended_since.remove(&domain);
        if self.domains.insert(domain.clone()) {
            out.push(EvacuationChange::Started(domain));
        }
    }

    /// Removes `domain`, and appends the change to `out` if it was evacuated.
    fn end(&mut self, domain: DomainName, out: &mut Vec<EvacuationChange>) {
        if self.domains.remove(&domain) {
            self.ended.insert(domain.clone());
            out.push(EvacuationChange::Ended(domain));
        }
    }
}

/// Returns the domain that an object evacuates; none if the object was deleted. An
/// unreadable object counts by its name, and evacuates nothing if that is no domain name.
fn domain_of(item: &Item<DomainName>) -> Option<DomainName> {
    match &item.content {
        Content::Value(domain) => Some(domain.clone()),
        Content::Malformed => DomainName::new(&item.name).ok(),
        Content::Deleted => None,
    }
}
