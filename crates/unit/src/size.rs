//! Sizes, rates and spans as they stand in settings.

use std::{fmt, str::FromStr, time::Duration};

use displaydoc::Display;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// {text:?} is not {want}
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub struct UnitError {
    text: String,
    want: &'static str,
}

impl std::error::Error for UnitError {}

/// Splits `text` into its whole number and its unit.
fn split(text: &str, want: &'static str) -> Result<(u64, String), UnitError> {
    let fail = || UnitError {
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

const BYTE_FORM: &str = "a size such as 512B, 64KiB or 1MiB";

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let (number, unit) = split(text, BYTE_FORM)?;
        let factor: u64 = match unit.as_str() {
            "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            "GiB" => 1 << 30,
            _ => 0,
        };
        match number.checked_mul(factor) {
            Some(bytes) if factor > 0 => Ok(Self(bytes)),
            _ => Err(UnitError {
                text: text.to_owned(),
                want: BYTE_FORM,
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

/// Events a second, written `510/s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(pub u64);

impl FromStr for Rate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        const FORM: &str = "a rate such as 510/s";
        match split(text, FORM)? {
            (number, unit) if unit == "/s" => Ok(Self(number)),
            _ => Err(UnitError {
                text: text.to_owned(),
                want: FORM,
            }),
        }
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// Parses a span written `52ms`, `18s`, `5m` or `1h`.
///
/// # Errors
///
/// The text has no unit or another unit.
pub fn parse_span(text: &str) -> Result<Duration, UnitError> {
    const FORM: &str = "a span such as 52ms, 18s, 5m or 1h";
    let (number, unit) = split(text, FORM)?;
    let factor: u64 = match unit.as_str() {
        "ms" => 1,
        "s" => 1000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => 0,
    };
    match number.checked_mul(factor) {
        Some(ms) if factor > 0 => Ok(Duration::from_millis(ms)),
        _ => Err(UnitError {
            text: text.to_owned(),
            want: FORM,
        }),
    }
}

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

/// A rate of calls, kept in thousandths of a call a second; written `6/s` or `2.5/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallRate(pub u32);

const RATE_FORM: &str = "a rate such as 6/s or 2.5/s";
const MILLI: f64 = 1000.0;

impl CallRate {
    /// A rate of so many calls a second. What is no rate is none.
    #[must_use]
    pub fn per_second(calls: f64) -> Self {
        // The cast saturates, and makes 0 of what is no number.
        Self((calls * MILLI).round() as u32)
    }

    /// Calls a second.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / MILLI
    }
}

impl FromStr for CallRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let calls = text.strip_suffix("/s").and_then(|calls| calls.parse().ok());
        let calls = calls.filter(|calls: &f64| calls.is_finite() && *calls >= 0.0);
        calls.map(Self::per_second).ok_or_else(|| UnitError {
            text: text.to_owned(),
            want: RATE_FORM,
        })
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.as_f64())
    }
}
