//! Objects of the platform's object API.

use std::{fmt, str::FromStr};

use chestnut_unit::Wall;
use serde::{Deserialize, Serialize};

/// How many past edits an object keeps for `history` and for settling a write
/// whose answer was lost. A write is settled within seconds, so an edit would
/// have to be followed by this many others in that time to be missed.
pub const EDITS_KEPT: usize = 32;

/// The kinds of object that the tier reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Templates, edited by operators.
    Template,
    /// Organisations, edited by operators.
    Organisation,
    /// Services and their leafs, written by the platform.
    Service,
    /// Layouts of index versions, written by the platform.
    Layout,
    /// Which failure domains are evacuated, edited by operators.
    Evacuation,
    /// Batches of refusal records, written by entries.
    Refusal,
}

impl Kind {
    /// The kinds that every entry keeps a copy of.
    pub const SPREAD: [Kind; 5] = [
        Kind::Template,
        Kind::Organisation,
        Kind::Service,
        Kind::Layout,
        Kind::Evacuation,
    ];

    /// The word in paths of the object API.
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
    /// Its kind.
    pub kind: Kind,
    /// Its name within the kind.
    pub name: String,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// An object as the platform keeps it. Versions of one object only grow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Kind and name.
    #[serde(flatten)]
    pub key: ObjectKey,
    /// Version; 1 is the first.
    pub version: u64,
    /// The value.
    pub value: serde_json::Value,
}

/// One accepted edit of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Random name of the edit, chosen by whoever made it.
    pub id: String,
    /// The version that it made.
    pub version: u64,
    /// Who made it, as the operator states.
    pub by: String,
    /// When, by the entry's clock.
    pub at: Wall,
}

/// Value of a template or organisation object: what operators write, wrapped
/// with the edits that led to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stored {
    /// What the operator wrote.
    pub spec: serde_json::Value,
    /// The latest edits, oldest first.
    pub edits: Vec<Edit>,
}

impl Stored {
    /// The value that `edit` makes of `spec`, keeping earlier edits.
    #[must_use]
    pub fn next(earlier: Option<&Stored>, spec: serde_json::Value, edit: Edit) -> Self {
        let mut edits: Vec<Edit> = earlier.map(|s| s.edits.clone()).unwrap_or_default();
        edits.push(edit);
        let excess = edits.len().saturating_sub(EDITS_KEPT);
        edits.drain(..excess);
        Self { spec, edits }
    }
}
