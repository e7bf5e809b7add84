//! Sizes, rates and durations, with the text forms used in settings.

use std::{fmt, str::FromStr, time::Duration};

use displaydoc::Display;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::Number;

/// {text:?} is not {want}
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub struct ParseUnitError {
    /// The text that failed to parse.
    text: String,
    /// The expected format.
    want: &'static str,
}

impl std::error::Error for ParseUnitError {}

/// Splits `text` into an integer and the trimmed rest, its unit. Fails if `text` does
/// not begin with an integer that fits; `want` describes the format in the error.
fn split_unit(text: &str, want: &'static str) -> Result<(u64, String), ParseUnitError> {
    let fail = || ParseUnitError {
        text: text.to_owned(),
        want,
    };
    let at = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let number = text[..at].parse().map_err(|_| fail())?;
    Ok((number, text[at..].trim().to_owned()))
}

/// A number of bytes, written `64KiB`, `1MiB` or `512B`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteSize(pub u64);

/// Format of a [`ByteSize`], for error messages.
const SIZE_FORMAT: &str = "a size such as 512B, 64KiB or 1MiB";

impl FromStr for ByteSize {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, ParseUnitError> {
        let (number, unit) = split_unit(text, SIZE_FORMAT)?;
        let factor: u64 = match unit.as_str() {
            "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            "GiB" => 1 << 30,
            _ => 0,
        };
        match number.checked_mul(factor) {
            Some(bytes) if factor > 0 => Ok(Self(bytes)),
            _ => Err(ParseUnitError {
                text: text.to_owned(),
                want: SIZE_FORMAT,
            }),
        }
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (shift, unit) in [(30, "GiB"), (20, "MiB"), (10, "KiB")] {
            if self.0 > 0 && self.0.is_multiple_of(1 << shift) {
                return write!(f, "{}{unit}", self.0 >> shift);
            }
        }
        write!(f, "{}B", self.0)
    }
}

/// A rate in whole events per second, written `510/s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(pub u64);

impl FromStr for Rate {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, ParseUnitError> {
        const FORMAT: &str = "a rate such as 510/s";
        match split_unit(text, FORMAT)? {
            (number, unit) if unit == "/s" => Ok(Self(number)),
            _ => Err(ParseUnitError {
                text: text.to_owned(),
                want: FORMAT,
            }),
        }
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// Parses a duration written `52ms`, `6.5s`, `5m` or `1h`. The number may have any form of JSON.
///
/// # Errors
///
/// The text is not a number with one of these units, or it is negative or too long.
pub fn parse_duration(text: &str) -> Result<Duration, ParseUnitError> {
    const FORMAT: &str = "a duration such as 52ms, 6.5s, 5m or 1h";
    let fail = || ParseUnitError {
        text: text.to_owned(),
        want: FORMAT,
    };
    let number = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let unit_ms = match &text[number.len()..] {
        "ms" => 1,
        "s" => 1000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return Err(fail()),
    };
    let number: Number = number.trim_end().parse().map_err(|_| fail())?;
    number.times(unit_ms).map_err(|_| fail())
}

/// Serializes a type with `Display` and deserializes it with `FromStr`.
macro_rules! text_serde {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = String::deserialize(d)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

text_serde!(ByteSize);
text_serde!(Rate);

/// A rate of calls in thousandths of a call per second, written `6/s` or `2.5/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallRate(pub u32);

/// Format of a [`CallRate`], for error messages.
const CALL_FORMAT: &str = "a rate such as 6/s or 2.5/s";
/// Units of a [`CallRate`] in one call per second.
const MILLI_PER_CALL: f64 = 1000.0;

impl CallRate {
    /// Makes a rate from calls per second, rounded to thousandths. Negative values
    /// and NaN give 0; values that are too large give the greatest rate.
    #[must_use]
    pub fn per_second(calls: f64) -> Self {
        // The cast saturates and turns NaN into 0.
        Self((calls * MILLI_PER_CALL).round() as u32)
    }

    /// Makes a rate that is not above `calls` per second, but for one that is too small: a positive
    /// rate never becomes 0, which may stand for no limit.
    #[must_use]
    pub fn at_most(calls: f64) -> Self {
        // The cast saturates and turns NaN into 0.
        let milli = (calls * MILLI_PER_CALL).floor() as u32;
        Self(milli.max(u32::from(calls > 0.0)))
    }

    /// Returns the rate in calls per second.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / MILLI_PER_CALL
    }
}

impl FromStr for CallRate {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, ParseUnitError> {
        let calls = text.strip_suffix("/s").and_then(|calls| calls.parse().ok());
        let calls = calls.filter(|calls: &f64| calls.is_finite() && *calls >= 0.0);
        calls.map(Self::per_second).ok_or_else(|| ParseUnitError {
            text: text.to_owned(),
            want: CALL_FORMAT,
        })
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.as_f64())
    }
}
