//! The registry of tickets, which records the outcome of the submission under each.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use chestnut_unit::{Incarnation, MemberId, Reason, WallTime};

use crate::Ticket;

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A target ran it and gave this answer.
    Done(Vec<u8>),
    /// No target ran it, and none will under this ticket.
    NotRun(Reason),
    /// It was sent, but its outcome can't be known. It is not sent again.
    Unknown,
}

/// A registry's decision on a submission with a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// Dispatch it and record the outcome with [`TicketRegistry::settle`].
    Run,
    /// It is being dispatched; wait for that outcome.
    Join,
    /// Its outcome is already recorded.
    Settled(Outcome),
    /// The ticket was used for another body. This body was not run.
    BodyMismatch,
    /// The ticket expired unused or is forged. The submission was not run.
    Refused,
    /// The registry has no record of the ticket: it belongs to another
    /// incarnation of this member or expired long ago. The submission may
    /// have run.
    NotFound,
    /// The registry is handing its tickets over; ask the successor.
    Moved,
}

/// State of a ticket: unused, its submission being dispatched, or settled with an
/// outcome. `body` is the hash of the submission's body.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Minted,
    Running { body: u64 },
    Settled { body: u64, outcome: Outcome },
}

/// A ticket's entry in the registry, without its key.
#[derive(Clone, Debug, PartialEq, Eq)]
struct TicketEntry {
    nonce: [u8; 16],
    expiry: WallTime,
    state: State,
}

/// A ticket as handed over to a successor, with its outcome if it was used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandedTicket {
    /// The ticket.
    pub ticket: Ticket,
    /// Hash of the body that it was used for, and the outcome; `None` if it was not
    /// used.
    pub settled: Option<(u64, Outcome)>,
}

/// Parameters of a ticket registry: lifetime of a ticket and maximum number of tickets.
#[derive(Clone, Copy, Debug)]
pub struct RegistryConfig {
    /// Time from minting to expiry of a ticket.
    pub ttl: Duration,
    /// Maximum number of tickets kept; beyond it none is minted.
    pub capacity: usize,
}

impl Default for RegistryConfig {
    /// Tickets that are valid for ten minutes, of which at most 200,000 are kept.
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(600),
            capacity: 200_000,
        }
    }
}

/// Longest answer, in bytes, that is kept for repeats. A longer one is replaced by
/// an empty one.
const MAX_ANSWER: usize = 4096;
/// How long a ticket is kept after its expiry, to allow for clock skew between
/// entries.
const CLOCK_SKEW: Duration = Duration::from_secs(30);

/// Key of a ticket: the member and incarnation that minted it, and its
/// sequence number.
type TicketKey = (MemberId, Incarnation, u64);

/// The state of each ticket that this process minted or took over.
///
/// Only this incarnation of the process can dispatch these tickets, so a
/// pause, a network partition or a membership change can't make two processes
/// dispatch the same one. A crash loses the state: repeats then end as
/// unknown, never as a second dispatch.
#[derive(Clone, Debug)]
pub struct TicketRegistry {
    own: MemberId,
    incarnation: Incarnation,
    config: RegistryConfig,
    tickets: BTreeMap<TicketKey, TicketEntry>,
    expiries: BTreeSet<(WallTime, TicketKey)>,
    next: u64,
    phase: Phase,
}

/// Whether the registry still mints and dispatches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Open,
    Closed,
}

impl TicketRegistry {
    /// Creates a registry without tickets.
    #[must_use]
    pub fn new(own: MemberId, incarnation: Incarnation, config: RegistryConfig) -> Self {
        Self {
            own,
            incarnation,
            config,
            tickets: BTreeMap::new(),
            expiries: BTreeSet::new(),
            next: 0,
            phase: Phase::Open,
        }
    }

    /// Returns the number of tickets kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no tickets are kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Drops tickets as [`TicketRegistry::expire`] does, then mints one from a
    /// random `nonce`, valid from `wall` on for the configured time. Returns `None`
    /// when the registry is closed or full.
    pub fn mint(&mut self, nonce: [u8; 16], wall: WallTime) -> Option<Ticket> {
        self.expire(wall);
        if self.phase == Phase::Closed || self.tickets.len() >= self.config.capacity {
            return None;
        }
        let ticket = Ticket {
            issuer: self.own.clone(),
            incarnation: self.incarnation,
            seq: self.next,
            expiry: wall + self.config.ttl,
            nonce,
        };
        self.next += 1;
        self.insert(&ticket, State::Minted);
        Some(ticket)
    }

    /// Decides on a submission with `ticket` whose body hashes to `body`.
    /// [`Claim::Run`], given at most once per ticket, marks it as being dispatched;
    /// other decisions change nothing.
    pub fn claim(&mut self, ticket: &Ticket, body: u64, wall: WallTime) -> Claim {
        let key = key_of(ticket);
        let Some(entry) = self.tickets.get_mut(&key) else {
            return Claim::NotFound;
        };
        if entry.nonce != ticket.nonce || entry.expiry != ticket.expiry {
            return Claim::Refused;
        }
        match &entry.state {
            State::Minted if self.phase == Phase::Closed => Claim::Moved,
            State::Minted if wall >= entry.expiry => Claim::Refused,
            State::Minted => {
                entry.state = State::Running { body };
                Claim::Run
            }
            State::Running { body: first } | State::Settled { body: first, .. }
                if *first != body =>
            {
                Claim::BodyMismatch
            }
            State::Running { .. } => Claim::Join,
            State::Settled { outcome, .. } => Claim::Settled(outcome.clone()),
        }
    }

    /// Records the final outcome of a claimed submission; does nothing for a ticket
    /// that isn't being dispatched. It holds for later uses of the ticket, also
    /// after "not run": otherwise a delayed copy of the request could run after its
    /// caller was answered that it was not run.
    pub fn settle(&mut self, ticket: &Ticket, mut outcome: Outcome) {
        if let Outcome::Done(answer) = &mut outcome
            && answer.len() > MAX_ANSWER
        {
            answer.clear();
        }
        let Some(entry) = self.tickets.get_mut(&key_of(ticket)) else {
            return;
        };
        if let State::Running { body } = entry.state {
            entry.state = State::Settled { body, outcome };
        }
    }

    /// Drops tickets, whatever their state, whose expiry passed longer ago than the
    /// clock skew.
    pub fn expire(&mut self, wall: WallTime) {
        while let Some((at, key)) = self.expiries.first().cloned() {
            if wall < at + CLOCK_SKEW {
                return;
            }
            self.expiries.remove(&(at, key.clone()));
            self.tickets.remove(&key);
        }
    }

    /// Stops minting and dispatching, for a planned stop. Submissions being
    /// dispatched can still be settled.
    pub fn close(&mut self) {
        self.phase = Phase::Closed;
    }

    /// Returns the number of submissions being dispatched.
    #[must_use]
    pub fn running(&self) -> usize {
        let running = |entry: &&TicketEntry| matches!(entry.state, State::Running { .. });
        self.tickets.values().filter(running).count()
    }

    /// Returns the tickets that a successor takes over; none before the registry is
    /// closed. Those still being dispatched are handed over as unknown, since this
    /// process stops before their outcome can be recorded.
    #[must_use]
    pub fn hand_over(&self) -> Vec<HandedTicket> {
        if self.phase == Phase::Open {
            return Vec::new();
        }
        self.tickets
            .iter()
            .map(|(key, entry)| to_handed(key, entry))
            .collect()
    }

    /// Takes over tickets from a registry that closes. Known tickets keep their
    /// state, so a repeated hand-over changes nothing.
    pub fn adopt(&mut self, tickets: Vec<HandedTicket>) {
        for HandedTicket { ticket, settled } in tickets {
            if self.tickets.contains_key(&key_of(&ticket)) {
                continue;
            }
            let state = match settled {
                None => State::Minted,
                Some((body, outcome)) => State::Settled { body, outcome },
            };
            self.insert(&ticket, state);
        }
    }

    /// Stores a ticket and its expiry.
    fn insert(&mut self, ticket: &Ticket, state: State) {
        let key = key_of(ticket);
        let entry = TicketEntry {
            nonce: ticket.nonce,
            expiry: ticket.expiry,
            state,
        };
        self.expiries.insert((ticket.expiry, key.clone()));
        self.tickets.insert(key, entry);
    }
}

/// Returns the key of a ticket.
fn key_of(ticket: &Ticket) -> TicketKey {
    (ticket.issuer.clone(), ticket.incarnation, ticket.seq)
}

/// Converts an entry to its hand-over form; a running one becomes unknown.
fn to_handed(key: &TicketKey, entry: &TicketEntry) -> HandedTicket {
    let (issuer, incarnation, seq) = key.clone();
    let ticket = Ticket {
        issuer,
        incarnation,
        seq,
        expiry: entry.expiry,
        nonce: entry.nonce,
    };
    let settled = match &entry.state {
        State::Minted => None,
        State::Running { body } => Some((*body, Outcome::Unknown)),
        State::Settled { body, outcome } => Some((*body, outcome.clone())),
    };
    HandedTicket { ticket, settled }
}
