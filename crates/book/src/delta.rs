//! Differences between versions of a route book, as entries exchange them.

use std::{collections::BTreeMap, sync::Arc};

use chestnut_unit::{OrgName, ServiceName};
use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{
    BookError, BookVersion, CallerLimits, Organisation, Organisations, RouteBook, Rule, ServiceRule,
};

/// Changes of the organisations from one version of a route book to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct OrgDelta {
    /// Added and changed organisations.
    put: Vec<Arc<Organisation>>,
    /// Removed organisations.
    gone: Vec<OrgName>,
}

impl OrgDelta {
    /// Computes the organisations that were added, changed or removed.
    fn between(from: Option<&Organisations>, to: &Organisations) -> Self {
        let same =
            |org: &&Arc<Organisation>| from.is_some_and(|from| from.get(&org.name) == Some(org));
        let gone = from.iter().flat_map(|from| from.iter());
        let gone = gone.filter(|org| to.get(&org.name).is_none());
        Self {
            put: to.iter().filter(|org| !same(org)).cloned().collect(),
            gone: gone.map(|org| org.name.clone()).collect(),
        }
    }

    /// Returns whether nothing changes.
    fn is_empty(&self) -> bool {
        self.put.is_empty() && self.gone.is_empty()
    }

    /// Applies the changes to `from`. Changed organisations are all removed before one is
    /// added, as a key may move from one to another.
    fn apply(self, from: Option<&Organisations>) -> Result<Organisations, BookError> {
        let mut organisations = from.cloned().unwrap_or_default();
        let changed = self.put.iter().map(|org| &org.name);
        for name in self.gone.iter().chain(changed) {
            organisations.remove(name);
        }
        for organisation in self.put {
            organisations.insert(organisation)?;
        }
        Ok(organisations)
    }
}

/// Changes from one version of a route book to another: added, changed and removed
/// rules and services, and the new limits on callers. Its size follows the number
/// of changes, not the size of the book.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BookDelta {
    /// The version that the delta applies to; `None` if it holds a whole book.
    pub base: Option<BookVersion>,
    /// The version that results.
    pub version: BookVersion,
    /// All limits on callers of the resulting version.
    limits: CallerLimits,
    /// Added and changed rules.
    put: Vec<Arc<Rule>>,
    /// Hosts and prefixes of removed rules.
    gone: Vec<(String, String)>,
    /// Added and changed services.
    services: BTreeMap<ServiceName, ServiceRule>,
    /// Removed services.
    closed: Vec<ServiceName>,
    /// Changes of the organisations; `None` if callers need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    organisations: Option<OrgDelta>,
}

/// Why a delta can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum DeltaError {
    /// the delta applies to version {0}, not to version {1}; request the whole book
    BaseMismatch(BookVersion, BookVersion),
    /// the resulting book is invalid: {0}
    InvalidBook(BookError),
}

impl std::error::Error for DeltaError {}

impl BookDelta {
    /// Computes the rules and the limits of services that were added, changed or removed
    /// from `from` to `to`, with the caller limits of `to`. Without `from`, the delta holds
    /// all of `to` and has no base.
    #[must_use]
    pub fn between(from: Option<&RouteBook>, to: &RouteBook) -> Self {
        let empty = RouteBook::default();
        let base = from.unwrap_or(&empty);
        let put = to.rules().filter(|rule| base.equal_rule(rule).is_none());
        let gone = base.rules().filter(|rule| to.rule_at(rule).is_none());
        let services = to
            .services()
            .filter(|(name, rule)| base.service(name) != Some(rule));
        let closed = base
            .services()
            .filter(|(name, _)| to.service(name).is_none());
        Self {
            base: from.map(|from| from.version),
            version: to.version,
            limits: to.limits,
            put: put.cloned().collect(),
            gone: gone
                .map(|rule| (rule.host.clone(), rule.prefix.clone()))
                .collect(),
            services: services
                .map(|(name, rule)| (name.clone(), rule.clone()))
                .collect(),
            closed: closed.map(|(name, _)| name.clone()).collect(),
            organisations: to.organisations().map(|to| {
                let from = base.organisations().map(AsRef::as_ref);
                OrgDelta::between(from, to)
            }),
        }
    }

    /// Returns the number of rules added, changed or removed; services don't count.
    #[must_use]
    pub fn changed_rules(&self) -> usize {
        self.put.len() + self.gone.len()
    }

    /// Applies the delta to `current` and returns the resulting book. A delta without a
    /// base ignores `current`.
    ///
    /// # Errors
    ///
    /// The delta has a base and `current` is `None` or another version, or an added or
    /// changed rule is invalid.
    pub fn apply(self, current: Option<&RouteBook>) -> Result<RouteBook, DeltaError> {
        let mut book = match (self.base, current) {
            (None, _) => RouteBook::default(),
            (Some(base), Some(current)) if current.version == base => current.clone(),
            (Some(base), current) => {
                let version = current.map_or(BookVersion(0), |current| current.version);
                return Err(DeltaError::BaseMismatch(base, version));
            }
        };
        book.version = self.version;
        book.limits = self.limits;
        for (host, prefix) in &self.gone {
            book.remove(host, prefix);
        }
        for rule in &self.put {
            book.remove(&rule.host, &rule.prefix);
        }
        for rule in self.put {
            book.insert(rule).map_err(DeltaError::InvalidBook)?;
        }
        book.update_services(self.services, &self.closed);
        let organisations = match (self.organisations, book.organisations()) {
            (None, _) => None,
            (Some(delta), Some(from)) if delta.is_empty() => Some(from.clone()),
            (Some(delta), from) => {
                let changed = delta.apply(from.map(AsRef::as_ref));
                Some(Arc::new(changed.map_err(DeltaError::InvalidBook)?))
            }
        };
        book.set_organisations(organisations);
        Ok(book)
    }
}
