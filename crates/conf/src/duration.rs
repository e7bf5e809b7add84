//! Serde format of durations: `52ms`, `6.5s`, `5m`, `1h`.

use std::time::Duration;

use chestnut_unit::parse_duration;
use serde::{Deserialize, Deserializer, Serializer};

/// Nanoseconds in a millisecond.
const NANOS_PER_MILLI: u32 = 1_000_000;

/// Writes a duration in milliseconds, with a fraction only if it has one.
pub fn serialize<S: Serializer>(duration: &Duration, s: S) -> Result<S::Ok, S::Error> {
    let whole = duration.as_millis();
    match duration.subsec_nanos() % NANOS_PER_MILLI {
        0 => s.collect_str(&format_args!("{whole}ms")),
        nanos => {
            let digits = format!("{nanos:06}");
            s.collect_str(&format_args!("{whole}.{}ms", digits.trim_end_matches('0')))
        }
    }
}

/// Reads a number with its unit; fails as [`parse_duration`] does.
pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(d)?;
    parse_duration(&text).map_err(serde::de::Error::custom)
}
