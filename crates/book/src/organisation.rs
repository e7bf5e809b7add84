//! Organisations: who may call, by key, and at which rate.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
    sync::Arc,
};

use chestnut_unit::{OrgName, RateLimit};
use displaydoc::Display;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::BookError;

/// Bytes of a [`KeyDigest`].
const DIGEST_BYTES: usize = 16;
/// Hexadecimal digits of a digest that logs show.
const PREFIX_DIGITS: usize = 8;
/// Separates digests of keys from other uses of the hash function.
const CONTEXT: &str = "chestnutpost 2026 key of an organisation";

/// The digest of an organisation's key, a secret. Keys themselves are kept nowhere: the
/// adapter that decodes a configuration or a request digests them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Digests a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let hash = blake3::derive_key(CONTEXT, key);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash[..DIGEST_BYTES]);
        Self(digest)
    }

    /// The first digits, by which logs tell keys apart.
    #[must_use]
    pub fn prefix(&self) -> String {
        let mut text = self.to_string();
        text.truncate(PREFIX_DIGITS);
        text
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({}..)", self.prefix())
    }
}

/// Why a text is not a [`KeyDigest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ParseDigestError {
    /// a digest of a key has 32 hexadecimal digits
    InvalidDigest,
}

impl std::error::Error for ParseDigestError {}

impl FromStr for KeyDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = ParseDigestError::InvalidDigest;
        if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(invalid);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (at, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * at..2 * at + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| invalid)?;
        }
        Ok(Self(digest))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(d)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// An organisation as the operator's configuration gives it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name, which leafs are told.
    pub name: OrgName,
    /// Priority of its requests, 0 being the highest; `None` keeps that of the rule.
    pub rank: Option<u32>,
    /// The limit on its requests over all entries; `None` for no limit.
    pub limit: Option<RateLimit>,
    /// Digests of its keys; none if all were taken away.
    pub keys: BTreeSet<KeyDigest>,
}

/// The organisations of one version of a route book, by name and by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisations {
    by_name: BTreeMap<OrgName, Arc<Organisation>>,
    by_key: BTreeMap<KeyDigest, Arc<Organisation>>,
}

impl Organisations {
    /// Returns the organisation that holds a key.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }

    /// Returns the organisation with a name.
    #[must_use]
    pub fn get(&self, name: &OrgName) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// Iterates over all organisations, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.values()
    }

    /// Whether an organisation has a limit.
    #[must_use]
    pub fn any_limit(&self) -> bool {
        self.by_name.values().any(|org| org.limit.is_some())
    }

    /// Number of keys of all organisations.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.by_key.len()
    }

    /// Adds an organisation. Fails if its name or one of its keys is already used.
    pub(crate) fn insert(&mut self, organisation: Arc<Organisation>) -> Result<(), BookError> {
        let name = &organisation.name;
        if self.by_name.contains_key(name) {
            return Err(BookError::DuplicateOrganisation(name.clone()));
        }
        for key in &organisation.keys {
            if let Some(other) = self.by_key.get(key) {
                return Err(BookError::SharedKey(name.clone(), other.name.clone()));
            }
        }
        for key in &organisation.keys {
            self.by_key.insert(*key, organisation.clone());
        }
        self.by_name.insert(name.clone(), organisation);
        Ok(())
    }

    /// Removes an organisation and its keys, if there is one of this name.
    pub(crate) fn remove(&mut self, name: &OrgName) {
        if let Some(removed) = self.by_name.remove(name) {
            for key in &removed.keys {
                self.by_key.remove(key);
            }
        }
    }
}
