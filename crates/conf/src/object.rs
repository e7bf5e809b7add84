//! Objects of the platform's object API, in which configuration is stored.

use std::{fmt, str::FromStr};

use chestnut_unit::Wall;
use serde::{Deserialize, Serialize};

/// Maximum number of past edits kept in an object. They serve `history` and tell
/// whether a write whose answer was lost took effect, which fails only if this many
/// other edits follow it before the check.
pub const EDITS_KEPT: usize = 32;

/// Kinds of objects in the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Templates, edited by operators.
    Template,
    /// Organisations, edited by operators.
    Organisation,
    /// Services and their leafs, written by the platform.
    Service,
    /// Shard layouts of index versions, written by the platform.
    Layout,
    /// Evacuations of failure domains, edited by operators.
    Evacuation,
    /// Batches of refusal records, written by entries.
    Refusal,
}

impl Kind {
    /// The kinds that are replicated to every entry.
    pub const SPREAD: [Kind; 5] = [
        Kind::Template,
        Kind::Organisation,
        Kind::Service,
        Kind::Layout,
        Kind::Evacuation,
    ];

    /// Returns the name used in paths of the object API.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Template => "template",
            Self::Organisation => "organisation",
            Self::Service => "service",
            Self::Layout => "layout",
            Self::Evacuation => "evacuation",
            Self::Refusal => "refusal",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        [Self::SPREAD.as_slice(), &[Self::Refusal]]
            .concat()
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| format!("{text:?} is not a kind of object"))
    }
}

/// Kind and name of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind of object.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// An object as the platform stores it. Each change increases its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Kind and name.
    #[serde(flatten)]
    pub key: ObjectKey,
    /// Version, starting at 1.
    pub version: u64,
    /// The value.
    pub value: serde_json::Value,
}

/// One accepted edit of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Random identifier, chosen by the client that made the edit.
    pub id: String,
    /// Version of the object that resulted.
    pub version: u64,
    /// Author, as stated by the operator.
    pub by: String,
    /// Time of the edit, by the entry's clock.
    pub at: Wall,
}

/// Value of an object that operators edit: its specification with its latest
/// edits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stored {
    /// Specification, as the operator wrote it.
    pub spec: serde_json::Value,
    /// The latest edits, oldest first.
    pub edits: Vec<Edit>,
}

impl Stored {
    /// Returns a value with the new `spec` and with `edit` appended to the earlier
    /// edits, of which the oldest are dropped beyond [`EDITS_KEPT`].
    #[must_use]
    pub fn next(earlier: Option<&Stored>, spec: serde_json::Value, edit: Edit) -> Self {
        let mut edits: Vec<Edit> = earlier.map(|s| s.edits.clone()).unwrap_or_default();
        edits.push(edit);
        let excess = edits.len().saturating_sub(EDITS_KEPT);
        edits.drain(..excess);
        Self { spec, edits }
    }
}
