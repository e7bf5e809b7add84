//! Which leafs there are, from their entries in the store.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnut_unit::{DomainName, Incarnation, LeafId, ServiceName, Time};
use serde::{Deserialize, Serialize};

/// What a leaf says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeafState {
    /// It takes work.
    Ready,
    /// It is leaving and must get no new work.
    Draining,
}

/// The entry of one life of a leaf.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafEntry {
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: LeafState,
    /// How much longer it is slow after its start.
    pub warmup: Duration,
    /// Which of its lives this is, if it says so.
    #[serde(default)]
    pub life: Option<Incarnation>,
}

impl LeafEntry {
    /// Whether `other` says the same, the time left to warm up apart: it
    /// changes with every heartbeat of a leaf that has just started.
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

/// How the life that an entry is of stands to the one that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Earlier,
    Same,
    Later,
}

#[derive(Clone, Debug)]
struct Known {
    entry: LeafEntry,
    /// Since when the entry is missing.
    missing: Option<Time>,
    /// Until when a leaf that leaves may be called.
    linger: Option<Time>,
    /// Until when it is cold, as far as is known.
    cold: Time,
}

/// A change that the request path acts upon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Moved {
    /// A leaf is new, or its entry changed.
    Came(LeafId, LeafEntry),
    /// A leaf has started again under its id: what is known of it, its
    /// connections and its leaving belong to the life before.
    Reborn(LeafId, LeafEntry),
    /// A leaf is cold until then.
    Cooled(LeafId, Time),
    /// An entry of an earlier life was passed over.
    Outdated(LeafId),
    /// A leaf is leaving. It is called only where no other can be.
    Leaves(LeafId),
    /// A leaf that is leaving takes no new work any more.
    Closed(LeafId),
    /// The entry of a leaf that took work is missing. It is called only where
    /// no other can be, until it is known whether the entry lapsed.
    Missing(LeafId),
    /// A leaf is gone.
    Gone(LeafId),
}

/// Leafs that are gone whose latest life is remembered. A list or a peer that is
/// behind by more departures than that could bring one back for a moment.
const LIVES_MAX: usize = 4096;

/// The leafs that the store lists.
///
/// A missing entry has two causes that look alike: the leaf has gone, or the
/// store dropped entries while it was away and the leaf lives. Taking every
/// missing leaf for gone would leave a service without any after each outage;
/// keeping them would send work to leafs that left. So a missing leaf that was
/// ready stays callable, as the last choice, for as long as lapsed entries need
/// to come back. That is shorter than the time that a leaving leaf goes on
/// serving, so nothing is lost on one that left without saying so. A leaf that
/// says that it leaves is the last choice for a while too: a shard whose leafs
/// all leave before others come would otherwise be missing, though they serve.
#[derive(Clone, Debug)]
pub struct Leafs {
    known: BTreeMap<LeafId, Known>,
    /// The latest life of each leaf that said which it is, also after it has
    /// gone.
    lives: BTreeMap<LeafId, Incarnation>,
    lapse: Duration,
    linger: Duration,
}

impl Leafs {
    /// No leafs. A missing entry counts as gone after `lapse`, and a leaf that
    /// leaves takes no work after `linger`.
    #[must_use]
    pub fn new(lapse: Duration, linger: Duration) -> Self {
        Self {
            known: BTreeMap::new(),
            lives: BTreeMap::new(),
            lapse,
            linger,
        }
    }

    /// Changes the spans, for leafs that go missing or leave from now on.
    pub fn set_spans(&mut self, lapse: Duration, linger: Duration) {
        self.lapse = lapse;
        self.linger = linger;
    }

    /// Leafs that are known, the missing included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Service and failure domain of each leaf that takes work.
    pub fn places(&self) -> impl Iterator<Item = (&ServiceName, &DomainName)> {
        let ready = self.known.values().map(|known| &known.entry);
        ready
            .filter(|entry| entry.state == LeafState::Ready)
            .map(|entry| (&entry.service, &entry.domain))
    }

    /// The leafs of a failure domain.
    pub fn within<'a>(&'a self, domain: &'a DomainName) -> impl Iterator<Item = &'a LeafId> {
        let known = self.known.iter();
        known
            .filter(move |(_, known)| known.entry.domain == *domain)
            .map(|(id, _)| id)
    }

    /// The leafs of a service that are not leaving.
    pub fn of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a LeafId, &'a LeafEntry)> {
        self.known
            .iter()
            .map(|(id, known)| (id, &known.entry))
            .filter(move |(_, entry)| entry.service == *service)
    }

    /// Leafs that are cold, and until when.
    pub fn cold(&self, now: Time) -> impl Iterator<Item = (LeafId, Time)> {
        let cold = self.known.iter().filter(move |(_, known)| now < known.cold);
        cold.map(|(id, known)| (id.clone(), known.cold))
    }

    /// Until when a leaf is cold, as far as is known.
    #[must_use]
    pub fn cold_until(&self, id: &LeafId) -> Time {
        self.known.get(id).map_or(Time::ZERO, |known| known.cold)
    }

    /// Takes it that a leaf is cold until then, whatever its entry says. Tells whether it
    /// was not known to be.
    pub fn cool(&mut self, id: &LeafId, until: Time) -> bool {
        let known = self.known.get_mut(id);
        known.is_some_and(|known| {
            let news = known.cold < until;
            known.cold = known.cold.max(until);
            news
        })
    }

    /// Takes a full list: what it lacks is missing.
    pub fn listed(&mut self, list: Vec<(LeafId, LeafEntry)>, now: Time, out: &mut Vec<Moved>) {
        let present: std::collections::BTreeSet<LeafId> =
            list.iter().map(|(id, _)| id.clone()).collect();
        for (id, entry) in list {
            self.changed(id, entry, now, out);
        }
        let absent = self.known.keys().filter(|id| !present.contains(*id));
        for id in absent.cloned().collect::<Vec<_>>() {
            self.deleted(&id, now, out);
        }
    }

    /// Takes a new or changed entry. One of an earlier life than the latest that
    /// was seen comes from a stale list, out of order or from a peer that is
    /// behind: it would send calls to an address that the leaf has left.
    pub fn changed(&mut self, id: LeafId, entry: LeafEntry, now: Time, out: &mut Vec<Moved>) {
        let old = self.known.get(&id);
        let cold = match entry.warmup.is_zero() {
            true => Time::ZERO,
            false => now + entry.warmup,
        };
        if old.is_some_and(|known| known.missing.is_none() && known.entry.is_same(&entry)) {
            if self.cool(&id, cold) {
                out.push(Moved::Cooled(id, cold));
            }
            return;
        }
        let life = self.life_of(&id, &entry);
        if life == Life::Earlier {
            out.push(Moved::Outdated(id));
            return;
        }
        let warm = self.known.get(&id).map_or(Time::ZERO, |known| known.cold);
        self.remember(&id, entry.life);
        if life == Life::Later {
            out.push(Moved::Reborn(id.clone(), entry.clone()));
        }
        let linger = match entry.state {
            LeafState::Ready => None,
            LeafState::Draining => Some(now + self.linger),
        };
        match entry.state {
            LeafState::Ready if life == Life::Later => {}
            LeafState::Ready => out.push(Moved::Came(id.clone(), entry.clone())),
            LeafState::Draining => out.push(Moved::Leaves(id.clone())),
        }
        let known = Known {
            entry,
            missing: None,
            linger,
            cold: match life {
                Life::Later => cold,
                Life::Earlier | Life::Same => cold.max(warm),
            },
        };
        self.known.insert(id.clone(), known);
        if cold > now {
            out.push(Moved::Cooled(id, cold));
        }
    }

    /// Takes it that an entry can't be read: it names no leaf any more. Unlike a
    /// deletion it is no matter of an outage, so there is nothing to wait for.
    pub fn malformed(&mut self, id: &LeafId, out: &mut Vec<Moved>) {
        if self.known.remove(id).is_some() {
            out.push(Moved::Gone(id.clone()));
        }
    }

    /// How the life that `entry` is of stands to the latest that is known. A leaf
    /// that moved has started again, whether it says so or not: what is known of
    /// the old address says nothing of the new one.
    fn life_of(&self, id: &LeafId, entry: &LeafEntry) -> Life {
        let moved = |known: &Known| known.entry.address != entry.address;
        match (entry.life, self.lives.get(id)) {
            (Some(new), Some(latest)) if new < *latest => Life::Earlier,
            (Some(new), Some(latest)) if new > *latest => Life::Later,
            _ if self.known.get(id).is_some_and(moved) => Life::Later,
            _ => Life::Same,
        }
    }

    /// Keeps the latest life of a leaf.
    fn remember(&mut self, id: &LeafId, life: Option<Incarnation>) {
        let Some(life) = life else {
            return;
        };
        self.lives.insert(id.clone(), life);
        if self.lives.len() > self.known.len() + LIVES_MAX {
            let oldest = self
                .lives
                .iter()
                .filter(|(id, _)| !self.known.contains_key(*id));
            let oldest = oldest
                .min_by_key(|(_, life)| **life)
                .map(|(id, _)| id.clone());
            oldest.and_then(|id| self.lives.remove(&id));
        }
    }

    /// Takes it that an entry was deleted.
    pub fn deleted(&mut self, id: &LeafId, now: Time, out: &mut Vec<Moved>) {
        let Some(known) = self.known.get_mut(id) else {
            return;
        };
        if known.entry.state == LeafState::Draining {
            self.known.remove(id);
            out.push(Moved::Gone(id.clone()));
        } else if known.missing.is_none() {
            known.missing = Some(now);
            out.push(Moved::Missing(id.clone()));
        }
    }

    /// Starts the wait of missing leafs anew: the store has just come back,
    /// and their entries may still return.
    pub fn returned(&mut self, now: Time) {
        for known in self.known.values_mut() {
            if known.missing.is_some() {
                known.missing = Some(now);
            }
        }
    }

    /// Gives up leafs that have been missing too long, and closes those that
    /// have been leaving too long.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Moved>) {
        for (id, known) in &mut self.known {
            if known.linger.is_some_and(|until| until <= now) {
                known.linger = None;
                out.push(Moved::Closed(id.clone()));
            }
        }
        let lapse = self.lapse;
        let over = |known: &Known| known.missing.is_some_and(|since| now.since(since) >= lapse);
        let gone: Vec<LeafId> = self
            .known
            .iter()
            .filter(|(_, known)| over(known))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.known.remove(&id);
            out.push(Moved::Gone(id));
        }
    }

    /// When [`Leafs::tick`] has something to do next.
    #[must_use]
    pub fn wake(&self) -> Time {
        let known = self.known.values();
        let lapse = |known: &Known| known.missing.map(|since| since + self.lapse);
        let wakes = known.flat_map(|known| [lapse(known), known.linger]);
        wakes.flatten().min().unwrap_or(Time::MAX)
    }
}
