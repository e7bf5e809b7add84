//! Serde format of durations: `52ms`, `18s`, `5m`, `1h`.

use std::time::Duration;

use chestnut_unit::parse_duration;
use serde::{Deserialize, Deserializer, Serializer};

/// Writes a duration in whole milliseconds.
pub fn serialize<S: Serializer>(duration: &Duration, s: S) -> Result<S::Ok, S::Error> {
    s.collect_str(&format_args!("{}ms", duration.as_millis()))
}

/// Reads an integer with its unit; fails as [`parse_duration`] does.
pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(d)?;
    parse_duration(&text).map_err(serde::de::Error::custom)
}
