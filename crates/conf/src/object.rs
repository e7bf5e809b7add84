//! Objects of the platform's object API, in which configuration is stored.

use std::{fmt, str::FromStr};

use chestnut_unit::WallTime;
use serde::{Deserialize, Serialize};

/// Maximum number of past edits kept in an object, for `history` and to tell whether a write
/// whose answer was lost took effect, unless this many other edits have followed it.
pub const MAX_EDITS: usize = 32;

/// Kinds of objects in the object API: templates, organisations, services, layouts,
/// evacuations and refusal records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
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

impl ObjectKind {
    /// The kinds that are replicated to every entry: all but refusal records.
    pub const REPLICATED: [ObjectKind; 5] = [
        ObjectKind::Template,
        ObjectKind::Organisation,
        ObjectKind::Service,
        ObjectKind::Layout,
        ObjectKind::Evacuation,
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

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for ObjectKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        [Self::REPLICATED.as_slice(), &[Self::Refusal]]
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
    pub kind: ObjectKind,
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

/// One accepted edit of an object: its id, the resulting version, the author and the
/// time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Random identifier, chosen by the client that made the edit.
    pub id: String,
    /// Version of the object that resulted.
    pub version: u64,
    /// Author, as stated by the operator.
    pub by: String,
    /// Time of the edit, by the entry's clock.
    pub at: WallTime,
}

/// Value of an object that operators edit: its specification with its latest
/// edits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredSpec {
    /// Specification, as the operator wrote it.
    pub spec: serde_json::Value,
    /// The latest edits, oldest first.
    pub edits: Vec<Edit>,
}

impl StoredSpec {
    /// Returns a value with the new `spec` and with `edit` appended to the earlier
    /// edits, of which the oldest are dropped beyond [`MAX_EDITS`].
    #[must_use]
    pub fn with_edit(earlier: Option<&StoredSpec>, spec: serde_json::Value, edit: Edit) -> Self {
        let mut edits: Vec<Edit> = earlier.map(|s| s.edits.clone()).unwrap_or_default();
        edits.push(edit);
        let excess = edits.len().saturating_sub(MAX_EDITS);
        edits.drain(..excess);
        Self { spec, edits }
    }
}
