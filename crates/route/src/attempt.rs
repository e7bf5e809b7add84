//! The life of one attempt, from plan to end, as a typestate.
//!
//! A request may be called "not run" only if none of its attempts could have
//! run. [`NotRun`] has no other constructor than [`NotRun::prove`], which
//! needs the end of every attempt, and an attempt that was sent ends as
//! [`Fate::Unknown`] unless the target itself answered or refused. So a path
//! that forgets an attempt can't produce the claim: it doesn't compile, or it
//! lacks the proof.

use chestnut_unit::Time;

use crate::Ix;

/// Planned, nothing handed to a connection.
#[derive(Debug)]
pub struct Planned(());

/// Waiting for a connection; still nothing handed over.
#[derive(Debug)]
pub struct Queued(());

/// Handed to a connection: from here on the target may run it.
#[derive(Debug)]
pub struct Sent {
    at: Time,
}

/// One attempt at one back end.
#[derive(Debug)]
pub struct Attempt<S> {
    to: Ix,
    state: S,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Nothing was handed to a connection.
    NeverSent,
    /// The target said that it did not run it.
    RefusedUnrun,
    /// The target answered.
    Answered,
    /// It was sent, and no answer came.
    Unknown,
}

/// An attempt that has ended. Made only by ending an [`Attempt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    to: Ix,
    fate: Fate,
}

impl Ended {
    /// The back end that was tried.
    #[must_use]
    pub fn to(&self) -> Ix {
        self.to
    }

    /// What became of it.
    #[must_use]
    pub fn fate(&self) -> Fate {
        self.fate
    }
}

impl Attempt<Planned> {
    /// Plans an attempt at `to`.
    #[must_use]
    pub fn plan(to: Ix) -> Self {
        Self {
            to,
            state: Planned(()),
        }
    }

    /// Waits for a connection.
    #[must_use]
    pub fn queue(self) -> Attempt<Queued> {
        Attempt {
            to: self.to,
            state: Queued(()),
        }
    }
}

impl Attempt<Queued> {
    /// Hands the attempt to a connection at `now`.
    #[must_use]
    pub fn send(self, now: Time) -> Attempt<Sent> {
        Attempt {
            to: self.to,
            state: Sent { at: now },
        }
    }

    /// Ends the attempt before it was handed over.
    #[must_use]
    pub fn abandon(self) -> Ended {
        Ended {
            to: self.to,
            fate: Fate::NeverSent,
        }
    }
}

impl Attempt<Sent> {
    /// When it was sent.
    #[must_use]
    pub fn sent_at(&self) -> Time {
        self.state.at
    }

    /// The target answered.
    #[must_use]
    pub fn answer(self) -> Ended {
        self.end(Fate::Answered)
    }

    /// The target said that it refused the work before running any of it.
    #[must_use]
    pub fn refuse_unrun(self) -> Ended {
        self.end(Fate::RefusedUnrun)
    }

    /// The connection proved that nothing of it had been written.
    #[must_use]
    pub fn prove_unsent(self) -> Ended {
        self.end(Fate::NeverSent)
    }

    /// No answer came: a lost connection, a timeout, a cancellation.
    #[must_use]
    pub fn lose(self) -> Ended {
        self.end(Fate::Unknown)
    }

    fn end(self, fate: Fate) -> Ended {
        Ended { to: self.to, fate }
    }
}

impl<S> Attempt<S> {
    /// The back end.
    #[must_use]
    pub fn to(&self) -> Ix {
        self.to
    }
}

/// Proof that no attempt of a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun(());

impl NotRun {
    /// The proof, if the ends of all attempts of a request give it. A request
    /// that made no attempt was not run.
    #[must_use]
    pub fn prove(ends: &[Ended]) -> Option<Self> {
        let unrun = |end: &Ended| matches!(end.fate, Fate::NeverSent | Fate::RefusedUnrun);
        ends.iter().all(unrun).then_some(Self(()))
    }
}
