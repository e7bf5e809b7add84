//! The state of one member, and how two copies of it are merged.

use std::{collections::BTreeMap, net::SocketAddr};

use chestnut_unit::{DomainName, Incarnation, MemberId};

/// Health of a member as the failure detector sees it, in ascending precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// It answers probes.
    Alive,
    /// It answered neither a direct nor an indirect probe.
    Suspect,
    /// It did not refute a suspicion in time, or it has left.
    Gone,
}

/// Addresses that a member listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other members.
    pub peers: SocketAddr,
}

/// The gossiped state of a member: its identity, addresses, health, capacity and
/// load, and the successors for its tickets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the member.
    pub id: MemberId,
    /// Failure domain of the member.
    pub domain: DomainName,
    /// Addresses that it listens on.
    pub addresses: Addresses,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Version within the incarnation, raised only by the member itself, to
    /// refute a suspicion or to publish a new load.
    pub version: u32,
    /// Health as the failure detector sees it.
    pub liveness: Liveness,
    /// Whether it has announced that it is leaving.
    pub leaving: bool,
    /// Capacity in calls to leafs per second; 0 if unknown.
    pub weight: u32,
    /// Calls to leafs per second that it makes, published on larger changes
    /// only.
    pub load: u32,
    /// Successors that took over the tickets of its present and earlier
    /// incarnations. A ticket is a permit for one submission, owned by the entry
    /// that issued it.
    pub successors: BTreeMap<Incarnation, Successor>,
}

/// The incarnation of a member that took over the tickets of another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Successor {
    /// Name of the member.
    pub member: MemberId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// Maximum number of incarnations whose successors are kept, enough for several
/// restarts within the validity of a ticket.
const MAX_SUCCESSORS: usize = 3;

impl Member {
    /// Creates the state of a member that has just started: alive, at version 0,
    /// of unknown capacity and without load.
    #[must_use]
    pub fn starting(
        id: MemberId,
        domain: DomainName,
        addresses: Addresses,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            id,
            domain,
            addresses,
            incarnation,
            version: 0,
            liveness: Liveness::Alive,
            leaving: false,
            weight: 0,
            load: 0,
            successors: BTreeMap::new(),
        }
    }

    /// Whether it accepts new work: it is neither gone nor leaving.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.liveness != Liveness::Gone && !self.leaving
    }

    /// Merges another copy of the same member's state and returns whether
    /// that changed anything.
    ///
    /// A later incarnation replaces an earlier one. Within an incarnation the
    /// higher version wins, then the worse liveness; leaving and successors are
    /// never revoked. The merge is commutative, associative and idempotent, so
    /// members that received the same updates in any order hold the same state.
    pub fn merge(&mut self, other: &Member) -> bool {
        let before = self.clone();
        if other.incarnation > self.incarnation {
            let successors = std::mem::take(&mut self.successors);
            *self = other.clone();
            self.add_successors(&successors);
            return true;
        }
        self.add_successors(&other.successors);
        if other.incarnation == self.incarnation {
            if (other.version, other.liveness) > (self.version, self.liveness) {
                self.version = other.version;
                self.liveness = other.liveness;
                self.load = other.load;
            }
            self.leaving |= other.leaving;
        }
        *self != before
    }

    /// Adds successors of this and earlier incarnations without replacing known
    /// ones, and keeps only those of the latest few incarnations.
    pub fn add_successors(&mut self, successors: &BTreeMap<Incarnation, Successor>) {
        for (incarnation, successor) in successors {
            self.successors
                .entry(*incarnation)
                .or_insert_with(|| successor.clone());
        }
        while self.successors.len() > MAX_SUCCESSORS {
            self.successors.pop_first();
        }
    }
}
