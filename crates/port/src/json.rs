//! Hand-written deserializers for JSON on the hot path.
//!
//! Every call to a leaf parses one answer. Rows stay raw JSON: they are scanned,
//! but neither parsed into values nor serialized again.

use std::fmt;

use bytes::Bytes;
use chestnut_unit::{IndexVersion, ShardName};
use serde::{
    Deserialize, Deserializer,
    de::{Error, MapAccess, SeqAccess, Visitor},
};
use serde_json::value::RawValue;

/// A leaf's answer to a query call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeafAnswer {
    /// The index version that the leaf read.
    pub version: IndexVersion,
    /// The shards and their rows, each as a JSON array.
    pub parts: Vec<(ShardName, Bytes)>,
    /// Whether the leaf reports that it is draining.
    pub draining: bool,
}

/// One element of `parts`: a shard and its rows, a JSON array.
struct Part(ShardName, Bytes);

impl<'de> Deserialize<'de> for LeafAnswer {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_map(AnswerVisitor)
    }
}

/// Reads a [`LeafAnswer`]: `version` and `parts` are required, unknown fields are ignored.
struct AnswerVisitor;

impl<'de> Visitor<'de> for AnswerVisitor {
    type Value = LeafAnswer;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an answer with version and parts")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<LeafAnswer, A::Error> {
        let mut version = None;
        let mut parts = None;
        let mut draining = false;
        while let Some(key) = map.next_key::<&str>()? {
            match key {
                "version" => version = Some(map.next_value()?),
                "parts" => parts = Some(map.next_value::<Parts>()?.0),
                "draining" => draining = map.next_value()?,
                _ => {
                    map.next_value::<serde::de::IgnoredAny>()?;
                }
            }
        }
        Ok(LeafAnswer {
            version: version.ok_or_else(|| A::Error::missing_field("version"))?,
            parts: parts.ok_or_else(|| A::Error::missing_field("parts"))?,
            draining,
        })
    }
}

/// The `parts` read from an answer: a list, which keeps their order and repeated shards.
struct Parts(Vec<(ShardName, Bytes)>);

impl<'de> Deserialize<'de> for Parts {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_seq(PartsVisitor)
    }
}

/// Reads [`Parts`] from a JSON array.
struct PartsVisitor;

impl<'de> Visitor<'de> for PartsVisitor {
    type Value = Parts;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of parts")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Parts, A::Error> {
        let mut parts = Vec::new();
        while let Some(Part(shard, rows)) = seq.next_element()? {
            parts.push((shard, rows));
        }
        Ok(Parts(parts))
    }
}

impl<'de> Deserialize<'de> for Part {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_map(PartVisitor)
    }
}

/// Reads a [`Part`]: `shard` and `rows` are required, unknown fields are ignored.
struct PartVisitor;

impl<'de> Visitor<'de> for PartVisitor {
    type Value = Part;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a part with shard and rows")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Part, A::Error> {
        let mut shard = None;
        let mut rows = None;
        while let Some(key) = map.next_key::<&str>()? {
            match key {
                "shard" => shard = Some(map.next_value()?),
                "rows" => rows = Some(check_rows(map.next_value()?)?),
                _ => {
                    map.next_value::<serde::de::IgnoredAny>()?;
                }
            }
        }
        Ok(Part(
            shard.ok_or_else(|| A::Error::missing_field("shard"))?,
            rows.ok_or_else(|| A::Error::missing_field("rows"))?,
        ))
    }
}

/// Copies the rows of a shard. Fails unless they are a JSON array, as they are
/// concatenated with those of other shards later.
fn check_rows<E: Error>(raw: &RawValue) -> Result<Bytes, E> {
    let text = raw.get();
    if text.starts_with('[') {
        Ok(Bytes::copy_from_slice(text.as_bytes()))
    } else {
        Err(E::custom("rows must be an array"))
    }
}
