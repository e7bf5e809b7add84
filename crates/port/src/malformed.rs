//! Remembers which malformed objects have been logged, to log each only once.

use std::{
    collections::BTreeSet,
    fmt,
    hash::{DefaultHasher, Hash, Hasher},
};

/// Bounds memory if a faulty writer stores ever new objects: beyond it all are forgotten.
const LOGGED_MAX: usize = 1024;
/// Bytes of a name that are logged and remembered; names of other writers have any length.
const SHOWN_MAX: usize = 128;

/// Identifies a malformed object, to log it once per change: by kind, name and revision, or by
/// kind and a hash of its text if the name is malformed too.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MalformedObject {
    kind: &'static str,
    name: String,
    change: u64,
}

impl MalformedObject {
    /// Identifies a malformed object with a name at a revision of the store, which changes one
    /// object only. Of a long name the beginning is kept.
    #[must_use]
    pub fn named(kind: &'static str, name: &str, revision: u64) -> Self {
        let shown = name.floor_char_boundary(SHOWN_MAX);
        Self {
            kind,
            name: name[..shown].to_owned(),
            change: revision,
        }
    }

    /// Identifies a malformed object without a name by its text.
    #[must_use]
    pub fn unnamed(kind: &'static str, text: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        Self {
            kind,
            name: String::new(),
            change: hasher.finish(),
        }
    }
}

impl fmt::Display for MalformedObject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.name.as_str() {
            "" => write!(f, "an object of kind {} without a name", self.kind),
            name => write!(f, "{}/{name}", self.kind),
        }
    }
}

/// The malformed objects that have been logged.
#[derive(Debug, Default)]
pub struct LoggedObjects {
    logged: BTreeSet<MalformedObject>,
}

impl LoggedObjects {
    /// Records a malformed object and returns whether it is new.
    pub fn record(&mut self, object: &MalformedObject) -> bool {
        if self.logged.len() >= LOGGED_MAX {
            self.logged.clear();
        }
        self.logged.insert(object.clone())
    }
}
