//! The copy of the configuration that an entry acts on.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

use chestnut_unit::{DomainName, OrgName, TemplateName};
use serde::de::DeserializeOwned;

use crate::{Evacuation, Kind, Object, ObjectKey, OrgPolicy, Organisation, Stored, Template};

/// What became of an object offered to the book.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is newer than what was held and is in force now.
    New,
    /// It is what was held already.
    Same,
    /// It is older than what is held and was dropped.
    Old,
}

/// An object that is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Its version.
    pub version: u64,
    /// Its value.
    pub value: serde_json::Value,
}

/// Name and version of each object of one kind.
pub type Versions = BTreeMap<String, u64>;

/// A digest of all names and versions that a book holds. Two books with the
/// same digest hold the same versions, but for a chance of one in 2^64.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BookDigest(pub u64);

/// The newest known version of every object, which never goes back.
///
/// A stale read of the platform, a slow peer or a late message would otherwise
/// put an old version in force again; comparing versions at this one place is
/// enough because every path by which configuration arrives ends here, and
/// versions of one object only grow.
#[derive(Clone, Debug, Default)]
pub struct Book {
    held: BTreeMap<ObjectKey, Held>,
    digest: u64,
}

impl Book {
    /// Takes an object from the platform or a peer.
    pub fn apply(&mut self, object: Object) -> Applied {
        if let Some(held) = self.held.get(&object.key) {
            if held.version == object.version {
                return Applied::Same;
            }
            if held.version > object.version {
                return Applied::Old;
            }
            self.digest ^= mark(&object.key, held.version);
        }
        self.digest ^= mark(&object.key, object.version);
        let held = Held {
            version: object.version,
            value: object.value,
        };
        self.held.insert(object.key, held);
        Applied::New
    }

    /// The object that is held under a name.
    #[must_use]
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Held> {
        let key = ObjectKey {
            kind,
            name: name.to_owned(),
        };
        self.held.get(&key)
    }

    /// All objects of one kind, by name.
    pub fn list(&self, kind: Kind) -> impl Iterator<Item = (&str, &Held)> {
        let first = ObjectKey {
            kind,
            name: String::new(),
        };
        self.held
            .range((Bound::Included(first), Bound::Unbounded))
            .take_while(move |(key, _)| key.kind == kind)
            .map(|(key, held)| (key.name.as_str(), held))
    }

    /// Names and versions of all objects of one kind.
    #[must_use]
    pub fn versions(&self, kind: Kind) -> Versions {
        self.list(kind)
            .map(|(name, held)| (name.to_owned(), held.version))
            .collect()
    }

    /// The objects that are newer here than in `theirs`, or unknown there.
    #[must_use]
    pub fn newer_than(&self, theirs: &BTreeMap<ObjectKey, u64>) -> Vec<Object> {
        self.held
            .iter()
            .filter(|(key, held)| theirs.get(key).is_none_or(|v| *v < held.version))
            .map(|(key, held)| Object {
                key: key.clone(),
                version: held.version,
                value: held.value.clone(),
            })
            .collect()
    }

    /// Every key with its version, to ask a peer for what is newer there.
    #[must_use]
    pub fn keys(&self) -> BTreeMap<ObjectKey, u64> {
        self.held
            .iter()
            .map(|(key, held)| (key.clone(), held.version))
            .collect()
    }

    /// The digest of all that is held.
    #[must_use]
    pub fn digest(&self) -> BookDigest {
        BookDigest(self.digest)
    }

    /// A value of the platform's own kinds, parsed.
    #[must_use]
    pub fn parse<T: DeserializeOwned>(&self, kind: Kind, name: &str) -> Option<(u64, T)> {
        let held = self.get(kind, name)?;
        let value = T::deserialize(&held.value).ok()?;
        Some((held.version, value))
    }

    /// A template or organisation, unwrapped from its edits and parsed.
    #[must_use]
    pub fn parse_spec<T: DeserializeOwned>(&self, kind: Kind, name: &str) -> Option<(u64, T)> {
        let (version, stored): (u64, Stored) = self.parse(kind, name)?;
        let spec = serde_json::from_value(stored.spec).ok()?;
        Some((version, spec))
    }

    /// The policy of an organisation, if it and its template are held.
    #[must_use]
    pub fn policy(&self, org: &OrgName) -> Option<OrgPolicy> {
        let (org_version, org): (u64, Organisation) =
            self.parse_spec(Kind::Organisation, org.as_str())?;
        let (version, template) = self.template(&org.template)?;
        Some(OrgPolicy::resolve(
            (version, &template),
            (org_version, &org),
        ))
    }

    /// Failure domains that are evacuated.
    #[must_use]
    pub fn evacuated(&self) -> BTreeSet<DomainName> {
        let names = self.list(Kind::Evacuation).map(|(name, _)| name);
        let evacuated = names.filter(|name| {
            let spec = self.parse_spec::<Evacuation>(Kind::Evacuation, name);
            spec.is_some_and(|(_, spec)| spec.evacuated)
        });
        // The check of an edit refuses names that are none.
        evacuated
            .filter_map(|name| DomainName::new(name).ok())
            .collect()
    }

    /// A template, parsed.
    #[must_use]
    pub fn template(&self, name: &TemplateName) -> Option<(u64, Template)> {
        self.parse_spec(Kind::Template, name.as_str())
    }
}

/// FNV-1a over key and version: cheap, and the same on every entry.
fn mark(key: &ObjectKey, version: u64) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = key
        .kind
        .as_str()
        .bytes()
        .chain([0])
        .chain(key.name.bytes())
        .chain(version.to_le_bytes());
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
