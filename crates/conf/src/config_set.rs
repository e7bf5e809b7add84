//! An entry's copy of the configuration objects.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

use chestnut_unit::{DomainName, OrgName, TemplateName};
use serde::de::DeserializeOwned;

use crate::{
    Evacuation, Object, ObjectKey, ObjectKind, OrgPolicy, Organisation, StoredSpec, Template,
};

/// Outcome of [`ConfigSet::apply`]: the object was stored as `New`, or left out as
/// `Unchanged` or `Stale`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The object was newer and has been stored.
    New,
    /// This version was stored already.
    Unchanged,
    /// The object was older and has been dropped.
    Stale,
}

/// A stored version of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectVersion {
    /// Version of the object.
    pub version: u64,
    /// Value of the object.
    pub value: serde_json::Value,
}

/// Versions of all objects of one kind, by name.
pub type Versions = BTreeMap<String, u64>;

/// Hash of the keys and versions of all objects in a set. Sets with equal
/// digests hold the same versions, barring a 64-bit hash collision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigDigest(pub u64);

/// The newest known version of every configuration object.
///
/// All received configuration passes through [`ConfigSet::apply`], which drops older
/// versions, so that a stale read, a slow peer or a delayed message can't restore
/// outdated configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigSet {
    objects: BTreeMap<ObjectKey, ObjectVersion>,
    /// XOR of the hashes of all keys with their versions.
    digest: u64,
}

impl ConfigSet {
    /// Stores an object from the platform or a peer if it is unknown or newer than the
    /// stored version, without validating its value.
    pub fn apply(&mut self, object: Object) -> Applied {
        if let Some(stored) = self.objects.get(&object.key) {
            if stored.version == object.version {
                return Applied::Unchanged;
            }
            if stored.version > object.version {
                return Applied::Stale;
            }
            self.digest ^= hash_version(&object.key, stored.version);
        }
        self.digest ^= hash_version(&object.key, object.version);
        let stored = ObjectVersion {
            version: object.version,
            value: object.value,
        };
        self.objects.insert(object.key, stored);
        Applied::New
    }

    /// Returns the stored version of an object, or `None` if it is unknown.
    #[must_use]
    pub fn get(&self, kind: ObjectKind, name: &str) -> Option<&ObjectVersion> {
        let key = ObjectKey {
            kind,
            name: name.to_owned(),
        };
        self.objects.get(&key)
    }

    /// Iterates over all objects of one kind, ordered by name.
    pub fn list(&self, kind: ObjectKind) -> impl Iterator<Item = (&str, &ObjectVersion)> {
        let first = ObjectKey {
            kind,
            name: String::new(),
        };
        self.objects
            .range((Bound::Included(first), Bound::Unbounded))
            .take_while(move |(key, _)| key.kind == kind)
            .map(|(key, object)| (key.name.as_str(), object))
    }

    /// Returns the names and versions of all objects of one kind.
    #[must_use]
    pub fn versions(&self, kind: ObjectKind) -> Versions {
        self.list(kind)
            .map(|(name, object)| (name.to_owned(), object.version))
            .collect()
    }

    /// Returns the objects that are newer than in `theirs` or missing there.
    #[must_use]
    pub fn newer_than(&self, theirs: &BTreeMap<ObjectKey, u64>) -> Vec<Object> {
        self.objects
            .iter()
            .filter(|(key, object)| theirs.get(key).is_none_or(|v| *v < object.version))
            .map(|(key, object)| Object {
                key: key.clone(),
                version: object.version,
                value: object.value.clone(),
            })
            .collect()
    }

    /// Returns all keys with their versions, with which to request newer objects from
    /// a peer.
    #[must_use]
    pub fn keys(&self) -> BTreeMap<ObjectKey, u64> {
        self.objects
            .iter()
            .map(|(key, object)| (key.clone(), object.version))
            .collect()
    }

    /// Returns the digest of the set.
    #[must_use]
    pub fn digest(&self) -> ConfigDigest {
        ConfigDigest(self.digest)
    }

    /// Parses the value of an object that the platform writes, such as a service, and
    /// returns it with its version; `None` if it is unknown or does not parse as `T`.
    #[must_use]
    pub fn parse<T: DeserializeOwned>(&self, kind: ObjectKind, name: &str) -> Option<(u64, T)> {
        let object = self.get(kind, name)?;
        let value = T::deserialize(&object.value).ok()?;
        Some((object.version, value))
    }

    /// Parses the specification of an object that operators edit, such as a template,
    /// and returns it with its version; `None` if it is unknown or does not parse as `T`.
    #[must_use]
    pub fn parse_spec<T: DeserializeOwned>(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Option<(u64, T)> {
        let (version, stored): (u64, StoredSpec) = self.parse(kind, name)?;
        let spec = serde_json::from_value(stored.spec).ok()?;
        Some((version, spec))
    }

    /// Returns the policy of an organisation, or `None` if it or its template is unknown
    /// or does not parse.
    #[must_use]
    pub fn policy(&self, org: &OrgName) -> Option<OrgPolicy> {
        let (org_version, org): (u64, Organisation) =
            self.parse_spec(ObjectKind::Organisation, org.as_str())?;
        let (version, template) = self.template(&org.template)?;
        Some(OrgPolicy::resolve(
            (version, &template),
            (org_version, &org),
        ))
    }

    /// Returns the failure domains that are evacuated; objects that do not parse count
    /// as not evacuated.
    #[must_use]
    pub fn evacuated(&self) -> BTreeSet<DomainName> {
        let names = self.list(ObjectKind::Evacuation).map(|(name, _)| name);
        let evacuated = names.filter(|name| {
            let spec = self.parse_spec::<Evacuation>(ObjectKind::Evacuation, name);
            spec.is_some_and(|(_, spec)| spec.evacuated)
        });
        // Edits with invalid names are rejected, so every stored name should parse.
        evacuated
            .filter_map(|name| DomainName::new(name).ok())
            .collect()
    }

    /// Parses a template and returns it with its version; `None` if it is unknown or does
    /// not parse.
    #[must_use]
    pub fn template(&self, name: &TemplateName) -> Option<(u64, Template)> {
        self.parse_spec(ObjectKind::Template, name.as_str())
    }
}

/// Hashes a key and version with FNV-1a, which gives the same value on every entry.
fn hash_version(key: &ObjectKey, version: u64) -> u64 {
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
