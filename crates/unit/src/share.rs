//! Percentages.

use std::{fmt, str::FromStr};

use displaydoc::Display;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A percentage from 0% to 100%, kept in thousandths and written `97.5%`. Parsing
/// rounds to the nearest 0.1%.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Share(u16);

/// {0:?} is not a share such as 97.5%
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub struct ParseShareError(String);

impl std::error::Error for ParseShareError {}

impl Share {
    /// 100%.
    pub const FULL: Share = Share(1000);

    /// Makes a share of `permille` thousandths, capped at 100%.
    #[must_use]
    pub const fn from_permille(permille: u16) -> Self {
        if permille > 1000 {
            return Self::FULL;
        }
        Self(permille)
    }

    /// Returns the share as a fraction from 0 to 1.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

impl FromStr for Share {
    type Err = ParseShareError;

    fn from_str(text: &str) -> Result<Self, ParseShareError> {
        let fail = || ParseShareError(text.to_owned());
        let number = text.strip_suffix('%').ok_or_else(fail)?;
        let percent: f64 = number.parse().map_err(|_| fail())?;
        if !(0.0..=100.0).contains(&percent) {
            return Err(fail());
        }
        Ok(Self((percent * 10.0).round() as u16))
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", f64::from(self.0) / 10.0)
    }
}

impl Serialize for Share {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Share {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        String::deserialize(d)?
            .parse()
            .map_err(serde::de::Error::custom)
    }
}
