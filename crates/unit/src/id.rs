//! Names and numbers that identify things.

use std::{fmt, str::FromStr, sync::Arc};

use displaydoc::Display;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Longest accepted name, in bytes. Names are metric labels and log fields.
const NAME_MAX: usize = 96;

/// Why a string is not a name.
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

fn check(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > NAME_MAX {
        return Err(NameError::Long);
    }
    let legal = |c: &char| c.is_ascii_alphanumeric() || "-_.:/".contains(*c);
    match name.chars().find(|c| !legal(c)) {
        Some(c) => Err(NameError::Char(c)),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// Cloning shares the text.
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes a name after checking it.
            ///
            /// # Errors
            ///
            /// The text is empty, too long, or holds a character that a metric
            /// label or a log line can't carry.
            pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
                let text = text.as_ref();
                check(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The text of the name.
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

name!(
    /// An organisation: a customer of the tier.
    OrgName
);
name!(
    /// A template from which organisations are made.
    TemplateName
);
name!(
    /// A service: a set of shards served by leafs.
    ServiceName
);
name!(
    /// A shard of one layout. Names of a layout are unique within it.
    ShardName
);
name!(
    /// A leaf: a target that holds shards.
    LeafId
);
name!(
    /// A failure domain: a zone of VMs.
    DomainName
);
name!(
    /// A member: an entry VM, named in its settings.
    MemberId
);
name!(
    /// The type of a call, as a template lists it: `finals`, `ladder`, ...
    CallType
);

macro_rules! number {
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

number!(
    /// One request at one entry. Never reused while the process lives.
    RequestId
);
number!(
    /// One life of a member's process: wall milliseconds at its start, so a
    /// later life has a greater number.
    Incarnation
);
