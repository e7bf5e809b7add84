//! One version of the routes, and how a request finds its rule.

use std::{collections::BTreeMap, fmt, str::FromStr, sync::Arc, time::Duration};

use chestnut_unit::ServiceName;
use displaydoc::Display;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{BookDelta, CallerLimits, Rule, ServiceRule, Target};

/// Version of a book. Operators raise it with every edit.
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

/// What is wrong with a rule.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum BookError {
    /// route {0}: the prefix {1:?} must begin and end with a slash
    Prefix(String, String),
    /// route {0}: host {1:?} and prefix {2:?} are taken by route {3}; remove one of the two
    Twice(String, String, String, String),
    /// route {0}: names no service; give it one, or remove the route
    NoService(String),
    /// route {0}: all weights are 0; give one of the services a weight
    NoWeight(String),
    /// route {0}: shard {1} is named twice; name each shard once
    ShardTwice(String, ServiceName),
    /// route {0}: a timeout of 0 answers nobody; give it a span
    NoTime(String),
    /// route {0}: 0 attempts reach no back end; write 1 or more
    NoAttempt(String),
}

impl std::error::Error for BookError {}

type Prefixes = BTreeMap<String, Arc<Rule>>;

/// One version of the routes. A request keeps the book that it was decided by
/// until its end, so that all its parts come from the shards of one version.
#[derive(Clone, Debug, Default)]
pub struct RouteBook {
    /// Its version.
    pub version: BookVersion,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
    /// Rules by host and prefix. Versions share what is the same in both, so that an
    /// entry can keep the last few and find their differences at little cost.
    hosts: BTreeMap<String, Arc<Prefixes>>,
    services: BTreeMap<ServiceName, ServiceRule>,
}

impl RouteBook {
    /// Checks the rules and makes a book of them.
    ///
    /// # Errors
    ///
    /// A rule is wrong; the error names it and the mend.
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
        };
        for rule in rules {
            book.put(Arc::new(rule))?;
        }
        Ok(book)
    }

    /// Checks a rule and adds it.
    pub(crate) fn put(&mut self, rule: Arc<Rule>) -> Result<(), BookError> {
        check(&rule)?;
        let host = rule.host.to_ascii_lowercase();
        let prefixes = Arc::make_mut(self.hosts.entry(host).or_default());
        if let Some(other) = prefixes.get(&rule.prefix) {
            return Err(BookError::Twice(
                rule.name.clone(),
                rule.host.clone(),
                rule.prefix.clone(),
                other.name.clone(),
            ));
        }
        prefixes.insert(rule.prefix.clone(), rule);
        Ok(())
    }

    /// Takes a rule away, if there is one.
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

    pub(crate) fn set_services(
        &mut self,
        put: BTreeMap<ServiceName, ServiceRule>,
        gone: &[ServiceName],
    ) {
        for name in gone {
            self.services.remove(name);
        }
        self.services.extend(put);
    }

    /// The rule at the host and prefix of `rule`.
    pub(crate) fn at(&self, rule: &Rule) -> Option<&Arc<Rule>> {
        let prefixes = self.hosts.get(&rule.host.to_ascii_lowercase())?;
        prefixes.get(&rule.prefix)
    }

    /// The rule that is the same as `rule`.
    pub(crate) fn same(&self, rule: &Arc<Rule>) -> Option<&Arc<Rule>> {
        self.at(rule)
            .filter(|other| Arc::ptr_eq(other, rule) || other == &rule)
    }

    /// Shares the rules that are the same as in `other`, as versions that were read
    /// whole share nothing.
    pub fn share(&mut self, other: &Self) {
        for prefixes in self.hosts.values_mut() {
            for rule in Arc::make_mut(prefixes).values_mut() {
                if let Some(same) = other.same(rule) {
                    *rule = same.clone();
                }
            }
        }
    }

    /// The rule of a request: among those of its host, the one with the
    /// longest prefix that begins the path. As every prefix ends with a slash
    /// only the path's own prefixes up to a slash are looked up, so the cost
    /// follows the depth of the path and not the number of routes.
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

    /// What the book says of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// Every rule.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<Rule>> {
        self.hosts.values().flat_map(|prefixes| prefixes.values())
    }

    /// Every service of which it says something.
    pub(crate) fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceRule)> {
        self.services.iter()
    }
}

/// As what makes it of nothing; checked again when it is read.
impl Serialize for RouteBook {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        BookDelta::between(None, self).serialize(to)
    }
}

impl<'de> Deserialize<'de> for RouteBook {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let whole = BookDelta::deserialize(from)?;
        whole.apply(None).map_err(serde::de::Error::custom)
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

fn check(rule: &Rule) -> Result<(), BookError> {
    let name = || rule.name.clone();
    if !rule.prefix.starts_with('/') || !rule.prefix.ends_with('/') {
        return Err(BookError::Prefix(name(), rule.prefix.clone()));
    }
    if rule.timeout == Duration::ZERO {
        return Err(BookError::NoTime(name()));
    }
    if rule.attempts == 0 {
        return Err(BookError::NoAttempt(name()));
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
                Some(shard) => Err(BookError::ShardTwice(name(), shard.clone())),
                None => Ok(()),
            }
        }
    }
}
