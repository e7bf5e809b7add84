//! Identifier types: checked names and numbers.

use std::{fmt, str::FromStr, sync::Arc};

use displaydoc::Display;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Maximum length of a name in bytes, as names are metric labels and log fields.
const NAME_MAX: usize = 96;

/// Why a string is not a valid name: it is empty, too long or has a character that
/// is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum NameError {
    /// a name can't be empty
    Empty,
    /// a name has at most 96 bytes
    Long,
    /// {0:?} can't be in a name: use letters, digits and -_.:/
    Char(char),
}

impl std::error::Error for NameError {}

/// Checks that a name has from 1 to [`NAME_MAX`] bytes, all ASCII letters, digits
/// or `-_.:/`.
fn check_name(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > NAME_MAX {
        return Err(NameError::Long);
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || "-_.:/".contains(*c);
    match name.chars().find(|c| !allowed(c)) {
        Some(c) => Err(NameError::Char(c)),
        None => Ok(()),
    }
}

/// Defines a string identifier that is checked by [`check_name`], also when it is
/// deserialized.
macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// Clones share the text.
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks `text` and makes a name of it.
            ///
            /// # Errors
            ///
            /// The text is empty, too long, or contains a character other than ASCII
            /// letters, digits and `-_.:/`.
            pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
                let text = text.as_ref();
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the name as a string.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = std::borrow::Cow::<'de, str>::deserialize(d)?;
                Self::new(text).map_err(serde::de::Error::custom)
            }
        }
    };
}

string_id!(
    /// Name of an organisation, that is, a customer.
    OrgName
);
string_id!(
    /// Name of a template, which sets what its organisations may do.
    TemplateName
);
string_id!(
    /// Name of a service, a set of shards served by leafs.
    ServiceName
);
string_id!(
    /// Name of a shard, a part of a service's index; unique within a layout.
    ShardName
);
string_id!(
    /// Name of a leaf, a target that serves shards.
    LeafId
);
string_id!(
    /// Name of a failure domain, a zone of VMs.
    DomainName
);
string_id!(
    /// Name of an entry as a member of the fleet, taken from its settings.
    MemberId
);
string_id!(
    /// Name of a call type in a template, such as `finals` or `ladder`.
    CallType
);

/// Defines an identifier that wraps a `u64`.
macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

numeric_id!(
    /// Identifies a request within an entry; never reused during an incarnation.
    RequestId
);
numeric_id!(
    /// One run of a member's process, numbered by its start time in wall-clock
    /// milliseconds, so that a restarted process has a greater number.
    Incarnation
);
