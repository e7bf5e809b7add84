//! What makes one version of a book of another, as entries pass it on.

use std::{collections::BTreeMap, sync::Arc};

use chestnut_unit::ServiceName;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{BookError, BookVersion, CallerLimits, RouteBook, Rule, ServiceRule};

/// What makes one version of another. A change of one rule among thousands weighs as
/// much as that rule.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BookDelta {
    /// The version that it changes; none if it makes a whole book.
    pub base: Option<BookVersion>,
    /// The version that it makes.
    pub version: BookVersion,
    limits: CallerLimits,
    /// Rules that are new or other than in the base.
    put: Vec<Arc<Rule>>,
    /// Hosts and prefixes of rules that are gone.
    gone: Vec<(String, String)>,
    /// Services that are new or other than in the base.
    services: BTreeMap<ServiceName, ServiceRule>,
    /// Services that are gone.
    closed: Vec<ServiceName>,
}

/// Why a delta can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum DeltaError {
    /// it changes version {0}, and this is version {1}; ask for the whole book
    Base(BookVersion, BookVersion),
    /// the book that it makes is wrong: {0}
    Book(BookError),
}

impl std::error::Error for DeltaError {}

impl BookDelta {
    /// What makes `to` of `from`, or of nothing.
    #[must_use]
    pub fn between(from: Option<&RouteBook>, to: &RouteBook) -> Self {
        let nothing = RouteBook::default();
        let base = from.unwrap_or(&nothing);
        let put = to.rules().filter(|rule| base.same(rule).is_none());
        let gone = base.rules().filter(|rule| to.at(rule).is_none());
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

    /// Rules that it puts or takes away.
    #[must_use]
    pub fn rules(&self) -> usize {
        self.put.len() + self.gone.len()
    }

    /// The version that it makes, of `held` if it changes one.
    ///
    /// # Errors
    ///
    /// `held` is not the version that it changes, or the result is no sound book.
    pub fn apply(self, held: Option<&RouteBook>) -> Result<RouteBook, DeltaError> {
        let mut book = match (self.base, held) {
            (None, _) => RouteBook::default(),
            (Some(base), Some(held)) if held.version == base => held.clone(),
            (Some(base), held) => {
                let version = held.map_or(BookVersion(0), |held| held.version);
                return Err(DeltaError::Base(base, version));
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
            book.put(rule).map_err(DeltaError::Book)?;
        }
        book.set_services(self.services, &self.closed);
        Ok(book)
    }
}
