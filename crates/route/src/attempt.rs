//! Typestate of one call attempt, from plan to end.
//!
//! A request may be reported as not run only if none of its attempts can have
//! run. [`NotRun::prove`] is the only constructor of [`NotRun`] and takes the
//! end of every attempt. An attempt that was sent ends as
//! [`AttemptOutcome::Unknown`] unless the target answered or refused it, so code
//! that loses track of an attempt can't claim that it wasn't run.

use chestnut_unit::Time;

use crate::Ix;

/// State: planned, not yet queued for a connection.
#[derive(Debug)]
pub struct Planned(());

/// State: queued for a connection, nothing written yet.
#[derive(Debug)]
pub struct Queued(());

/// State: handed to a connection; from here on the target may run it.
#[derive(Debug)]
pub struct Sent {
    at: Time,
}

/// One attempt at calling one back end, in state `S`: [`Planned`], [`Queued`] or
/// [`Sent`].
#[derive(Debug)]
pub struct Attempt<S> {
    to: Ix,
    state: S,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Nothing was handed to a connection.
    NeverSent,
    /// The target refused it before running any of it.
    Refused,
    /// The target answered.
    Answered,
    /// It was sent and no answer came, so it may have run.
    Unknown,
}

/// An attempt that has ended. Only ending an [`Attempt`] creates one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    to: Ix,
    outcome: AttemptOutcome,
}

impl Ended {
    /// The back end that was called.
    #[must_use]
    pub fn to(&self) -> Ix {
        self.to
    }

    /// The outcome of the attempt.
    #[must_use]
    pub fn outcome(&self) -> AttemptOutcome {
        self.outcome
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

    /// Queues the attempt for a connection.
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

    /// Ends the attempt before it was handed to a connection.
    #[must_use]
    pub fn abandon(self) -> Ended {
        Ended {
            to: self.to,
            outcome: AttemptOutcome::NeverSent,
        }
    }
}

impl Attempt<Sent> {
    /// Time at which it was handed to a connection.
    #[must_use]
    pub fn sent_at(&self) -> Time {
        self.state.at
    }

    /// Ends the attempt with an answer of the target.
    #[must_use]
    pub fn answer(self) -> Ended {
        self.end(AttemptOutcome::Answered)
    }

    /// Ends the attempt with the target's refusal to run any of it.
    #[must_use]
    pub fn refuse(self) -> Ended {
        self.end(AttemptOutcome::Refused)
    }

    /// Ends the attempt with proof from the connection that none of it was
    /// written.
    #[must_use]
    pub fn prove_unsent(self) -> Ended {
        self.end(AttemptOutcome::NeverSent)
    }

    /// Ends the attempt without an answer: lost connection, timeout or
    /// cancellation.
    #[must_use]
    pub fn end_unknown(self) -> Ended {
        self.end(AttemptOutcome::Unknown)
    }

    /// Ends the attempt with `outcome`.
    fn end(self, outcome: AttemptOutcome) -> Ended {
        Ended {
            to: self.to,
            outcome,
        }
    }
}

impl<S> Attempt<S> {
    /// The back end that the attempt calls.
    #[must_use]
    pub fn to(&self) -> Ix {
        self.to
    }
}

/// Proof that no attempt of a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun(());

impl NotRun {
    /// Returns the proof if every attempt in `ends` ended unsent or refused, and
    /// `None` otherwise. `ends` must hold all attempts of the request; without
    /// any it was not run.
    #[must_use]
    pub fn prove(ends: &[Ended]) -> Option<Self> {
        let not_run = |end: &Ended| {
            matches!(
                end.outcome,
                AttemptOutcome::NeverSent | AttemptOutcome::Refused
            )
        };
        ends.iter().all(not_run).then_some(Self(()))
    }
}
