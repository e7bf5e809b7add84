//! One member and the order of its states.

use std::{collections::BTreeMap, net::SocketAddr};

use chestnut_unit::{DomainName, Incarnation, MemberId};

/// Whether a member is thought to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It did not answer a probe, nor others on our behalf.
    Suspect,
    /// It was suspect too long, or it has left.
    Gone,
}

/// Where a member listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Callers.
    pub callers: SocketAddr,
    /// Operators.
    pub operators: SocketAddr,
    /// Peers.
    pub peers: SocketAddr,
}

/// What is said of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub id: MemberId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it listens.
    pub addresses: Addresses,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Raised by the member itself to refute a suspicion.
    pub beat: u32,
    /// Whether it is thought to run.
    pub liveness: Liveness,
    /// Whether it has said that it is leaving.
    pub leaving: bool,
    /// Calls a second that it can carry; 0 if it did not say.
    pub weight: u32,
    /// Calls a second that it makes, as told when that changes much.
    pub load: u32,
    /// Who took over the tickets of its present and earlier lives.
    pub heirs: BTreeMap<Incarnation, Heir>,
}

/// One life of a member that took over the tickets of another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Heir {
    /// The member.
    pub member: MemberId,
    /// The life of its process.
    pub life: Incarnation,
}

/// Lives whose heirs a statement carries. A rolling restart gives every name a
/// new life while the tickets of the old one are still good; three lives cover
/// restarts that follow each other within the life of a ticket.
const HEIRS_KEPT: usize = 3;

impl Member {
    /// A member that has just started.
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
            beat: 0,
            liveness: Liveness::Alive,
            leaving: false,
            weight: 0,
            load: 0,
            heirs: BTreeMap::new(),
        }
    }

    /// Whether new work may go to it.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.liveness != Liveness::Gone && !self.leaving
    }

    /// Takes what `other` says of the same member and returns whether that
    /// changed anything.
    ///
    /// A later life overrides an earlier one. Within a life the higher beat
    /// wins and, at the same beat, the worse liveness; leaving and heirs are
    /// never unsaid, since only the member itself says them. So every member
    /// that has heard the same statements, in any order and any number of
    /// times, holds the same state.
    pub fn merge(&mut self, other: &Member) -> bool {
        let before = self.clone();
        if other.incarnation > self.incarnation {
            let heirs = std::mem::take(&mut self.heirs);
            *self = other.clone();
            self.inherit(&heirs);
            return true;
        }
        self.inherit(&other.heirs);
        if other.incarnation == self.incarnation {
            if (other.beat, other.liveness) > (self.beat, self.liveness) {
                self.beat = other.beat;
                self.liveness = other.liveness;
                self.load = other.load;
            }
            self.leaving |= other.leaving;
        }
        *self != before
    }

    /// Adds heirs of this and earlier lives.
    pub fn inherit(&mut self, heirs: &BTreeMap<Incarnation, Heir>) {
        for (life, heir) in heirs {
            self.heirs.entry(*life).or_insert_with(|| heir.clone());
        }
        while self.heirs.len() > HEIRS_KEPT {
            self.heirs.pop_first();
        }
    }
}
