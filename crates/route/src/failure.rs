//! Ways in which a call fails.

use std::fmt;

/// Why a target refused a call before running any of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// It sheds load.
    Shed,
    /// No connection to it was available.
    Connections,
    /// It is shutting down.
    Draining,
    /// It doesn't have the snapshot, no longer or not yet.
    NoSnapshot,
    /// Too little time is left to the deadline.
    Deadline,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was handed to a connection.
    NotSent,
    /// The target refused it before running it.
    Refused(Refusal),
    /// It was sent and no usable answer came, so it may have run.
    Lost,
    /// Its connection turned out to be silent. The answer is lost, but the
    /// target isn't at fault.
    ConnectionSilent,
    /// The target ran it and answered with an error.
    Failed,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => f.write_str("not sent"),
            Self::Refused(refusal) => write!(f, "refused: {refusal:?}"),
            Self::Lost => f.write_str("lost"),
            Self::ConnectionSilent => f.write_str("cut off by a silent connection"),
            Self::Failed => f.write_str("answered with a failure"),
        }
    }
}

impl Failure {
    /// Whether the failure counts in the back end's failure rate. Of refusals
    /// only shedding does; a silent connection doesn't.
    pub(crate) fn is_target_fault(self) -> bool {
        match self {
            Self::NotSent | Self::Lost | Self::Failed => true,
            Self::Refused(refusal) => refusal == Refusal::Shed,
            Self::ConnectionSilent => false,
        }
    }
}
