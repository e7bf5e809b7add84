//! How calls fail.

use std::fmt;

/// Why a target refused a call before running any of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// It sheds load.
    Shed,
    /// Its connections are used up.
    Connections,
    /// It is leaving.
    Draining,
    /// It no longer has, or doesn't yet have, the snapshot.
    NoSnapshot,
    /// The deadline is too near.
    Deadline,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was handed to a connection.
    NotSent,
    /// The target refused it unrun.
    Refused(Refusal),
    /// It was sent and no usable answer came.
    Lost,
    /// It was sent on a connection that turned out to be silent. As lost, but
    /// nothing is said against the target.
    Cut,
    /// The target ran it and answered with a failure of its own.
    Failed,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => f.write_str("not sent"),
            Self::Refused(refusal) => write!(f, "refused: {refusal:?}"),
            Self::Lost => f.write_str("lost"),
            Self::Cut => f.write_str("cut off by a silent connection"),
            Self::Failed => f.write_str("answered with a failure"),
        }
    }
}

impl Failure {
    /// Whether it tells against the back end. One that is leaving, lacks a
    /// snapshot or had a connection cut under it is none the worse for it.
    pub(crate) fn is_fault(self) -> bool {
        match self {
            Self::NotSent | Self::Lost | Self::Failed => true,
            Self::Refused(refusal) => refusal == Refusal::Shed,
            Self::Cut => false,
        }
    }
}
