//! Revisions of the store, ordered across its restores.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// How often the store was restored from an older copy. None if its source tells no number; that
/// orders before all others.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub Option<u64>);

impl Epoch {
    /// Returns whether the source tells a number.
    #[must_use]
    pub fn is_told(self) -> bool {
        self.0.is_some()
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => number.fmt(f),
            None => f.write_str("-"),
        }
    }
}

impl FromStr for Epoch {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "-" => Ok(Self(None)),
            number => Ok(Self(Some(number.parse()?))),
        }
    }
}

/// A state of the store: its epoch, and the number of changes in it.
///
/// A restore takes the number back to that of the copy, and later changes get numbers that were
/// given out before. The epoch comes first in the order, so that the state after a restore
/// counts as newer than all before it, whatever the numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// The epoch.
    pub epoch: Epoch,
    /// The store's number of the state, which rises with each change.
    pub number: u64,
}

impl Revision {
    /// Returns the revision `number` of an epoch.
    #[must_use]
    pub fn new(epoch: Epoch, number: u64) -> Self {
        Self { epoch, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.epoch, self.number)
    }
}

/// Why a text is no revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParseRevisionError {
    /// It is not of the form `EPOCH/NUMBER`.
    Form,
    /// One of the numbers is invalid.
    Number(ParseIntError),
}

impl fmt::Display for ParseRevisionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Form => f.write_str("a revision has the form EPOCH/NUMBER"),
            Self::Number(error) => write!(f, "a revision has an invalid number: {error}"),
        }
    }
}

impl std::error::Error for ParseRevisionError {}

impl FromStr for Revision {
    type Err = ParseRevisionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (epoch, number) = text.split_once('/').ok_or(ParseRevisionError::Form)?;
        Ok(Self {
            epoch: epoch.parse().map_err(ParseRevisionError::Number)?,
            number: number.parse().map_err(ParseRevisionError::Number)?,
        })
    }
}
