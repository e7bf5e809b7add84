//! Numbers in every form in which other systems write them: `7`, `7.0`, `6.5` or `1e3`.
//!
//! JSON and TOML don't tell a whole number from a fraction by its type, so a decoder of what
//! others write takes a [`Number`] and converts it to what the field holds: [`Floor`] and
//! [`Ceil`] round, [`Whole`] refuses a fraction, [`Millis`] and [`Seconds`] give a time.
//!
//! ```
//! use chestnut_unit::Number;
//!
//! let number: Number = "2.5e3".parse().unwrap();
//! assert_eq!(number.whole::<u32>(), Ok(2500));
//! assert!("-1".parse::<Number>().is_err());
//! ```

use std::{fmt, str::FromStr, time::Duration};

use displaydoc::Display;
use serde::{Deserialize, Deserializer, de};

use crate::Share;

/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1000.0;
/// Above this number not every whole number has a floating-point form of its own.
const MAX_EXACT: f64 = 9_007_199_254_740_992.0;

/// A finite number that is not negative.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Number(Form);

/// The value of a [`Number`].
#[derive(Clone, Copy, Debug, PartialEq)]
enum Form {
    Whole(u64),
    /// A fraction, or a number too large to be known exactly.
    Float(f64),
}

impl Default for Form {
    fn default() -> Self {
        Self::Whole(0)
    }
}

/// Why a value is not the number that is needed: it is negative, not finite, too large, not
/// whole, or no number.
#[derive(Clone, Debug, PartialEq, Display)]
pub enum NumberError {
    /// {0} is negative, 0 or more is needed
    Negative(f64),
    /// {0} is not finite
    NotFinite(f64),
    /// {0} is too large, {1} at most
    TooLarge(Number, u64),
    /// {0} is not a whole number
    Fraction(Number),
    /// {0} is too long for a time
    TooLong(Number),
    /// {0:?} is not a number
    NotANumber(String),
}

impl std::error::Error for NumberError {}

impl Number {
    /// Checks a floating-point number.
    ///
    /// # Errors
    ///
    /// It is negative, infinite or NaN.
    pub fn new(number: f64) -> Result<Self, NumberError> {
        if !number.is_finite() {
            return Err(NumberError::NotFinite(number));
        }
        if number < 0.0 {
            return Err(NumberError::Negative(number));
        }
        Ok(match number.fract() == 0.0 && number <= MAX_EXACT {
            true => Self(Form::Whole(number as u64)),
            false => Self(Form::Float(number)),
        })
    }

    /// Returns the number, rounded if it is too large to be exact.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        match self.0 {
            Form::Whole(number) => number as f64,
            Form::Float(number) => number,
        }
    }

    /// Returns the greatest whole number up to this one, for a value that must not be exceeded.
    ///
    /// # Errors
    ///
    /// `T` can't hold it.
    pub fn floor<T: Bounded>(self) -> Result<T, NumberError> {
        self.convert(f64::floor)
    }

    /// Returns the least whole number from this one on, for a value to be reached.
    ///
    /// # Errors
    ///
    /// `T` can't hold it.
    pub fn ceil<T: Bounded>(self) -> Result<T, NumberError> {
        self.convert(f64::ceil)
    }

    /// Returns the number if it is whole, as a revision or a count of steps must be.
    ///
    /// # Errors
    ///
    /// It is a fraction, too large to be known exactly, or `T` can't hold it.
    pub fn whole<T: Bounded>(self) -> Result<T, NumberError> {
        match self.0 {
            Form::Float(number) if number.fract() != 0.0 => Err(NumberError::Fraction(self)),
            Form::Float(_) => Err(NumberError::TooLarge(self, T::MAX.min(MAX_EXACT as u64))),
            Form::Whole(_) => self.convert(f64::floor),
        }
    }

    fn convert<T: Bounded>(self, round: impl Fn(f64) -> f64) -> Result<T, NumberError> {
        let rounded = match self.0 {
            Form::Whole(number) => Some(number),
            Form::Float(number) => Some(round(number))
                .filter(|rounded| *rounded < u64::MAX as f64)
                .map(|rounded| rounded as u64),
        };
        let converted = rounded.and_then(|number| T::try_from(number).ok());
        converted.ok_or(NumberError::TooLarge(self, T::MAX))
    }

    /// Returns so many milliseconds, to the nanosecond.
    ///
    /// # Errors
    ///
    /// The time is longer than a [`Duration`] holds.
    pub fn millis(self) -> Result<Duration, NumberError> {
        self.times(1)
    }

    /// Returns so many seconds, to the nanosecond.
    ///
    /// # Errors
    ///
    /// The time is longer than a [`Duration`] holds.
    pub fn seconds(self) -> Result<Duration, NumberError> {
        self.times(1000)
    }

    /// Returns so many units of `unit_ms` milliseconds.
    pub(crate) fn times(self, unit_ms: u64) -> Result<Duration, NumberError> {
        let span = match self.0 {
            Form::Whole(number) => number.checked_mul(unit_ms).map(Duration::from_millis),
            Form::Float(number) => {
                let seconds = number * (unit_ms as f64) / MILLIS_PER_SECOND;
                Duration::try_from_secs_f64(seconds).ok()
            }
        };
        span.ok_or(NumberError::TooLong(self))
    }
}

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Form::Whole(number) => number.fmt(f),
            Form::Float(number) if number > MAX_EXACT => write!(f, "{number:e}"),
            Form::Float(number) => number.fmt(f),
        }
    }
}

/// Reads digits with an optional fraction and exponent, as JSON has them.
impl FromStr for Number {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, NumberError> {
        let begins = text.starts_with(|c: char| c.is_ascii_digit() || c == '-');
        let ends = text.ends_with(|c: char| c.is_ascii_digit());
        let fail = || NumberError::NotANumber(text.to_owned());
        if !begins || !ends {
            return Err(fail());
        }
        match text.parse::<u64>() {
            Ok(whole) => Ok(Self(Form::Whole(whole))),
            Err(_) => Self::new(text.parse().map_err(|_| fail())?),
        }
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(NumberVisitor)
    }
}

struct NumberVisitor;

impl de::Visitor<'_> for NumberVisitor {
    type Value = Number;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number that is not negative")
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<Number, E> {
        Ok(Number(Form::Whole(number)))
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> Result<Number, E> {
        let whole = u64::try_from(number).map_err(|_| NumberError::Negative(number as f64));
        whole
            .map(|number| Number(Form::Whole(number)))
            .map_err(E::custom)
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<Number, E> {
        Number::new(number).map_err(E::custom)
    }
}

/// A whole-number type that a [`Number`] converts to.
pub trait Bounded: TryFrom<u64> {
    /// Greatest value.
    const MAX: u64;
}

macro_rules! bounded {
    ($($name:ty),*) => {
        $(impl Bounded for $name {
            const MAX: u64 = <$name>::MAX as u64;
        })*
    };
}

bounded!(u32, u64, usize);

/// Defines a field type that deserializes from a [`Number`].
macro_rules! field {
    ($(#[$doc:meta])* $name:ident<$generic:ident>, $convert:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub struct $name<$generic>(pub $generic);

        impl<'de, T: Bounded> Deserialize<'de> for $name<T> {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let number = Number::deserialize(from)?;
                number.$convert().map(Self).map_err(de::Error::custom)
            }
        }
    };
    ($(#[$doc:meta])* $name:ident, $convert:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct $name(pub Duration);

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let number = Number::deserialize(from)?;
                number.$convert().map(Self).map_err(de::Error::custom)
            }
        }
    };
}

field!(
    /// A number, rounded down: most of something.
    Floor<T>,
    floor
);
field!(
    /// A number, rounded up: least of something.
    Ceil<T>,
    ceil
);
field!(
    /// A number that must be whole, in whatever form it is written.
    Whole<T>,
    whole
);
field!(
    /// A time in milliseconds.
    Millis,
    millis
);
field!(
    /// A time in seconds.
    Seconds,
    seconds
);

/// A fraction from 0 to 1 that is to be reached, rounded up to thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeastShare(pub Share);

impl<'de> Deserialize<'de> for LeastShare {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let number = Number::deserialize(from)?;
        if number.as_f64() > 1.0 {
            return Err(de::Error::custom(NumberError::TooLarge(number, 1)));
        }
        let permille = (number.as_f64() * 1000.0).ceil();
        Ok(Self(Share::from_permille(permille as u16)))
    }
}

/// Serde format of a whole number in any form, as that of a [`Whole`].
pub mod whole {
    use serde::{Deserialize, Deserializer};

    use super::{Bounded, Whole};

    /// Reads a number that must be whole.
    pub fn deserialize<'de, T: Bounded, D: Deserializer<'de>>(from: D) -> Result<T, D::Error> {
        Whole::deserialize(from).map(|whole| whole.0)
    }
}

/// Serde format of a number that is rounded down, as that of a [`Floor`].
pub mod floor {
    use serde::{Deserialize, Deserializer};

    use super::{Bounded, Floor};

    /// Reads a number and rounds it down.
    pub fn deserialize<'de, T: Bounded, D: Deserializer<'de>>(from: D) -> Result<T, D::Error> {
        Floor::deserialize(from).map(|floor| floor.0)
    }
}
