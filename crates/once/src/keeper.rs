//! The keeper: what became of each ticket that this process minted.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use chestnut_unit::{Incarnation, MemberId, Reason, Wall};

use crate::Ticket;

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A target did it; its answer.
    Done(Vec<u8>),
    /// No target ran it, and none will under this ticket.
    NotRun(Reason),
    /// It was sent and its fate can't be known. It is not sent again.
    Unknown,
}

/// What a keeper says to a submission with a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// Dispatch it, and tell the outcome with [`Keeper::settle`].
    Run,
    /// It is being dispatched; wait for that outcome.
    Join,
    /// It was settled before.
    Settled(Outcome),
    /// The ticket was used for another body. This body was not run.
    OtherBody,
    /// The ticket expired unused, or is forged. It was not run.
    Refused,
    /// Nothing is remembered of the ticket: it is of another life of this
    /// member, or expired long ago. It may have run.
    Forgotten,
    /// The keeper is handing its tickets over; ask the successor.
    Moved,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Minted,
    Running { body: u64 },
    Settled { body: u64, outcome: Outcome },
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Kept {
    nonce: [u8; 16],
    expiry: Wall,
    state: State,
}

/// A ticket and its state, on its way to a successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handed {
    /// The ticket.
    pub ticket: Ticket,
    /// Hash of the body that it was used for, and the outcome.
    pub settled: Option<(u64, Outcome)>,
}

/// Parameters of a keeper.
#[derive(Clone, Copy, Debug)]
pub struct KeeperConfig {
    /// How long a ticket lives.
    pub life: Duration,
    /// Most tickets that are kept; past it none is minted.
    pub most: usize,
}

impl Default for KeeperConfig {
    fn default() -> Self {
        Self {
            life: Duration::from_secs(600),
            most: 200_000,
        }
    }
}

/// Largest outcome that is kept for repeats. A longer answer is replaced by
/// an empty one; the repeat still learns that it was done.
const ANSWER_MAX: usize = 4096;
/// How long after its expiry a ticket is still remembered, against clocks
/// that differ between entries.
const SKEW: Duration = Duration::from_secs(30);

/// Number of a ticket: who minted it, in which life, and its place there.
type Key = (MemberId, Incarnation, u64);

/// What became of each ticket that this process minted or took over.
///
/// Only this process can dispatch these tickets, in this life, so a pause, a
/// split or a change of views can't make two dispatch the same one. Its death
/// loses the memory: repeats then end as unknown, never as a second dispatch.
#[derive(Clone, Debug)]
pub struct Keeper {
    own: MemberId,
    incarnation: Incarnation,
    config: KeeperConfig,
    kept: BTreeMap<Key, Kept>,
    expiries: BTreeSet<(Wall, Key)>,
    next: u64,
    open: Open,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Open {
    Yes,
    Closed,
}

impl Keeper {
    /// A keeper without tickets.
    #[must_use]
    pub fn new(own: MemberId, incarnation: Incarnation, config: KeeperConfig) -> Self {
        Self {
            own,
            incarnation,
            config,
            kept: BTreeMap::new(),
            expiries: BTreeSet::new(),
            next: 0,
            open: Open::Yes,
        }
    }

    /// Tickets that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether none is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Mints a ticket from a random `nonce`. `None` while handing over, or
    /// when too many are kept.
    pub fn mint(&mut self, nonce: [u8; 16], wall: Wall) -> Option<Ticket> {
        self.expire(wall);
        if self.open == Open::Closed || self.kept.len() >= self.config.most {
            return None;
        }
        let ticket = Ticket {
            keeper: self.own.clone(),
            incarnation: self.incarnation,
            seq: self.next,
            expiry: wall + self.config.life,
            nonce,
        };
        self.next += 1;
        self.keep(&ticket, State::Minted);
        Some(ticket)
    }

    /// Decides on a submission with `ticket` whose body hashes to `body`.
    pub fn claim(&mut self, ticket: &Ticket, body: u64, wall: Wall) -> Claim {
        let key = key_of(ticket);
        let Some(kept) = self.kept.get_mut(&key) else {
            return Claim::Forgotten;
        };
        if kept.nonce != ticket.nonce || kept.expiry != ticket.expiry {
            return Claim::Refused;
        }
        match &kept.state {
            State::Minted if self.open == Open::Closed => Claim::Moved,
            State::Minted if wall >= kept.expiry => Claim::Refused,
            State::Minted => {
                kept.state = State::Running { body };
                Claim::Run
            }
            State::Running { body: first } | State::Settled { body: first, .. }
                if *first != body =>
            {
                Claim::OtherBody
            }
            State::Running { .. } => Claim::Join,
            State::Settled { outcome, .. } => Claim::Settled(outcome.clone()),
        }
    }

    /// Takes the outcome of a submission that was claimed. It is final: a
    /// later use of the ticket gets the same, also after "not run", or a copy
    /// of the request that was delayed on its way could run after its caller
    /// was told that it was not run.
    pub fn settle(&mut self, ticket: &Ticket, mut outcome: Outcome) {
        if let Outcome::Done(answer) = &mut outcome
            && answer.len() > ANSWER_MAX
        {
            answer.clear();
        }
        let Some(kept) = self.kept.get_mut(&key_of(ticket)) else {
            return;
        };
        if let State::Running { body } = kept.state {
            kept.state = State::Settled { body, outcome };
        }
    }

    /// Drops tickets that expired a while ago.
    pub fn expire(&mut self, wall: Wall) {
        while let Some((at, key)) = self.expiries.first().cloned() {
            if wall < at + SKEW {
                return;
            }
            self.expiries.remove(&(at, key.clone()));
            self.kept.remove(&key);
        }
    }

    /// Stops minting and dispatching, for a planned stop.
    pub fn close(&mut self) {
        self.open = Open::Closed;
    }

    /// Submissions that are being dispatched.
    #[must_use]
    pub fn running(&self) -> usize {
        let running = |kept: &&Kept| matches!(kept.state, State::Running { .. });
        self.kept.values().filter(running).count()
    }

    /// The tickets that a successor takes over, once the keeper is closed.
    /// Those still being dispatched are handed over as unknown: this process
    /// has sent them and won't be there to tell how they ended.
    #[must_use]
    pub fn hand_over(&self) -> Vec<Handed> {
        if self.open == Open::Yes {
            return Vec::new();
        }
        self.kept
            .iter()
            .map(|(key, kept)| handed(key, kept))
            .collect()
    }

    /// Takes over tickets from a keeper that leaves. A ticket that is known
    /// already keeps its state, so a repeated hand-over changes nothing.
    pub fn adopt(&mut self, tickets: Vec<Handed>) {
        for Handed { ticket, settled } in tickets {
            if self.kept.contains_key(&key_of(&ticket)) {
                continue;
            }
            let state = match settled {
                None => State::Minted,
                Some((body, outcome)) => State::Settled { body, outcome },
            };
            self.keep(&ticket, state);
        }
    }

    fn keep(&mut self, ticket: &Ticket, state: State) {
        let key = key_of(ticket);
        let kept = Kept {
            nonce: ticket.nonce,
            expiry: ticket.expiry,
            state,
        };
        self.expiries.insert((ticket.expiry, key.clone()));
        self.kept.insert(key, kept);
    }
}

fn key_of(ticket: &Ticket) -> Key {
    (ticket.keeper.clone(), ticket.incarnation, ticket.seq)
}

fn handed(key: &Key, kept: &Kept) -> Handed {
    let (keeper, incarnation, seq) = key.clone();
    let ticket = Ticket {
        keeper,
        incarnation,
        seq,
        expiry: kept.expiry,
        nonce: kept.nonce,
    };
    let settled = match &kept.state {
        State::Minted => None,
        State::Running { body } => Some((*body, Outcome::Unknown)),
        State::Settled { body, outcome } => Some((*body, outcome.clone())),
    };
    Handed { ticket, settled }
}
