//! Differences between versions of a route book, as entries exchange them.

use std::{collections::BTreeMap, sync::Arc};

use chestnut_unit::ServiceName;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{BookError, BookVersion, CallerLimits, RouteBook, Rule, ServiceRule};

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
        Ok(book)
    }
}
