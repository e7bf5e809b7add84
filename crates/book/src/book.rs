//! Versions of the route book and the lookup of a request's rule.

use std::{collections::BTreeMap, fmt, str::FromStr, sync::Arc, time::Duration};

use chestnut_unit::{OrgName, ServiceName};
use displaydoc::Display;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{BookDelta, CallerLimits, Organisation, Organisations, Rule, ServiceRule, Target};

/// Version of a route book. Operators increase it with every edit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BookVersion(pub u64);

impl fmt::Display for BookVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for BookVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Why a rule is invalid: a bad prefix, target, timeout or number of attempts, or a host
/// and prefix that another rule uses.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum BookError {
    /// route {0}: the prefix {1:?} must begin and end with a slash
    InvalidPrefix(String, String),
    /// route {0}: host {1:?} and prefix {2:?} are already used by route {3}; remove one of the two
    DuplicateRoute(String, String, String, String),
    /// route {0}: no service is named; name one, or remove the route
    NoService(String),
    /// route {0}: all weights are 0; set at least one weight above 0
    NoWeight(String),
    /// route {0}: shard {1} is listed more than once; list each shard once
    DuplicateShard(String, ServiceName),
    /// route {0}: the timeout is 0; set a longer one
    ZeroTimeout(String),
    /// route {0}: the number of attempts is 0; set 1 or more
    ZeroAttempts(String),
    /// organisation {0} is listed more than once; list each organisation once
    DuplicateOrganisation(OrgName),
    /// organisations {0} and {1} have a key in common; take it away from one of the two
    SharedKey(OrgName, OrgName),
}

impl std::error::Error for BookError {}

/// Rules of one host by path prefix.
type Prefixes = BTreeMap<String, Arc<Rule>>;

/// One version of the routes. A request uses the same version until it ends, so that
/// all its shard calls follow one set of rules.
#[derive(Clone, Debug, Default)]
pub struct RouteBook {
    /// Version.
    pub version: BookVersion,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Rules by lower-case host and prefix. Versions share equal rules, so that keeping several
    /// versions and comparing them stays cheap.
    hosts: BTreeMap<String, Arc<Prefixes>>,
    /// Limits of the services that have any.
    services: BTreeMap<ServiceName, ServiceRule>,
    /// The organisations that may call; `None` if callers need no key. Versions share them.
    organisations: Option<Arc<Organisations>>,
}

impl RouteBook {
    /// Validates the rules and builds a book.
    ///
    /// # Errors
    ///
    /// A rule is invalid; the error names the rule and says how to fix it.
    pub fn build(
        version: BookVersion,
        rules: Vec<Rule>,
        services: impl IntoIterator<Item = (ServiceName, ServiceRule)>,
        limits: CallerLimits,
    ) -> Result<Self, BookError> {
        let mut book = Self {
            version,
            limits,
            hosts: BTreeMap::new(),
            services: services.into_iter().collect(),
            organisations: None,
        };
        for rule in rules {
            book.insert(Arc::new(rule))?;
        }
        Ok(book)
    }

    /// Returns the book with these organisations, whose keys callers need from now on.
    ///
    /// # Errors
    ///
    /// Two organisations have the same name, or a key in common.
    pub fn with_organisations(mut self, list: Vec<Organisation>) -> Result<Self, BookError> {
        let mut organisations = Organisations::default();
        for organisation in list {
            organisations.insert(Arc::new(organisation))?;
        }
        self.organisations = Some(Arc::new(organisations));
        Ok(self)
    }

    /// Returns the organisations that may call; `None` if callers need no key.
    #[must_use]
    pub fn organisations(&self) -> Option<&Arc<Organisations>> {
        self.organisations.as_ref()
    }

    /// Replaces the organisations, all of them.
    pub(crate) fn set_organisations(&mut self, organisations: Option<Arc<Organisations>>) {
        self.organisations = organisations;
    }

    /// Validates a rule and adds it. Fails if it is invalid or its host and prefix are
    /// already used.
    pub(crate) fn insert(&mut self, rule: Arc<Rule>) -> Result<(), BookError> {
        check_rule(&rule)?;
        let host = rule.host.to_ascii_lowercase();
        let prefixes = Arc::make_mut(self.hosts.entry(host).or_default());
        if let Some(other) = prefixes.get(&rule.prefix) {
            return Err(BookError::DuplicateRoute(
                rule.name.clone(),
                rule.host.clone(),
                rule.prefix.clone(),
                other.name.clone(),
            ));
        }
        prefixes.insert(rule.prefix.clone(), rule);
        Ok(())
    }

    /// Removes the rule at a host and prefix, if there is one.
    pub(crate) fn remove(&mut self, host: &str, prefix: &str) {
        let host = host.to_ascii_lowercase();
        let Some(prefixes) = self.hosts.get_mut(&host) else {
            return;
        };
        Arc::make_mut(prefixes).remove(prefix);
        if prefixes.is_empty() {
            self.hosts.remove(&host);
        }
    }

    /// Removes the services in `removed`, then adds or replaces those in `put`.
    pub(crate) fn update_services(
        &mut self,
        put: BTreeMap<ServiceName, ServiceRule>,
        removed: &[ServiceName],
    ) {
        for name in removed {
            self.services.remove(name);
        }
        self.services.extend(put);
    }

    /// Returns the rule with the same host and prefix as `rule`, if there is one.
    pub(crate) fn rule_at(&self, rule: &Rule) -> Option<&Arc<Rule>> {
        let prefixes = self.hosts.get(&rule.host.to_ascii_lowercase())?;
        prefixes.get(&rule.prefix)
    }

    /// Returns this book's rule at the host and prefix of `rule` if it is equal to `rule`
    /// in all fields.
    pub(crate) fn equal_rule(&self, rule: &Arc<Rule>) -> Option<&Arc<Rule>> {
        self.rule_at(rule)
            .filter(|other| Arc::ptr_eq(other, rule) || other == &rule)
    }

    /// Replaces the rules that are equal in `other` by references to those, so that both
    /// books share their memory. Books that were decoded
    /// separately share nothing until this is called.
    pub fn share_rules(&mut self, other: &Self) {
        for prefixes in self.hosts.values_mut() {
            for rule in Arc::make_mut(prefixes).values_mut() {
                if let Some(equal) = other.equal_rule(rule) {
                    *rule = equal.clone();
                }
            }
        }
        if self.organisations == other.organisations {
            self.organisations.clone_from(&other.organisations);
        }
    }

    /// Returns the rule of `host` with the longest prefix of `path`, or `None` if no rule
    /// matches. The case of `host` and its port, if it has one, are ignored.
    ///
    /// Every prefix ends with a slash, so only the path's prefixes up to a slash are
    /// looked up; the cost depends on the depth of the path, not on the number of
    /// routes.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Rule>> {
        let host = without_port(host);
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let slashes = path.rmatch_indices('/');
        slashes
            .map(|(at, _)| &path[..=at])
            .find_map(|prefix| prefixes.get(prefix))
    }

    /// Returns the limits of a service, if the book has any.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// Iterates over all rules, ordered by host and prefix.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<Rule>> {
        self.hosts.values().flat_map(|prefixes| prefixes.values())
    }

    /// Iterates over all services that have limits.
    pub(crate) fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceRule)> {
        self.services.iter()
    }
}

/// Serializes the book as a delta without a base; deserializing validates it again.
impl Serialize for RouteBook {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        BookDelta::between(None, self).serialize(s)
    }
}

impl<'de> Deserialize<'de> for RouteBook {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let delta = BookDelta::deserialize(d)?;
        delta.apply(None).map_err(serde::de::Error::custom)
    }
}

/// Strips the last colon and the port number after it from a host; a host without
/// them stays as it is.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Validates one rule on its own: prefix, timeout, attempts, and the services, weights
/// or shards of its target. Doesn't compare it with other rules.
fn check_rule(rule: &Rule) -> Result<(), BookError> {
    let name = || rule.name.clone();
    if !rule.prefix.starts_with('/') || !rule.prefix.ends_with('/') {
        return Err(BookError::InvalidPrefix(name(), rule.prefix.clone()));
    }
    if rule.timeout == Duration::ZERO {
        return Err(BookError::ZeroTimeout(name()));
    }
    if rule.attempts == 0 {
        return Err(BookError::ZeroAttempts(name()));
    }
    if rule.target.services().next().is_none() {
        return Err(BookError::NoService(name()));
    }
    match &rule.target {
        Target::One(_) => Ok(()),
        Target::Split(parts) if parts.iter().all(|(_, weight)| *weight == 0) => {
            Err(BookError::NoWeight(name()))
        }
        Target::Split(_) => Ok(()),
        Target::Gather { shards, .. } => {
            let mut seen = std::collections::BTreeSet::new();
            match shards.iter().find(|shard| !seen.insert(*shard)) {
                Some(shard) => Err(BookError::DuplicateShard(name(), shard.clone())),
                None => Ok(()),
            }
        }
    }
}
