//! Evacuations: failure domains whose leafs get no calls, at an operator's request.

use std::collections::BTreeSet;

use chestnut_port::{Content, Item};
use chestnut_unit::DomainName;

/// A change of the evacuated failure domains, for the request path: an evacuation started or
/// ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The domain's evacuation started: its leafs get no calls from now on.
    Started(DomainName),
    /// The domain's evacuation ended: its leafs may be called again, and may be cold.
    Ended(DomainName),
}

/// The evacuated failure domains, as the store lists them.
///
/// Until the first list is read the set is unknown, not empty: an entry that served
/// without it would call leafs of a domain that was evacuated before it started.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    domains: BTreeSet<DomainName>,
    /// Whether a list has been read.
    known: bool,
}

impl Evacuations {
    /// Returns whether a list has been read.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Returns whether `domain` is evacuated; false while the set is unknown.
    #[must_use]
    pub fn covers(&self, domain: &DomainName) -> bool {
        self.domains.contains(domain)
    }

    /// Returns the evacuated domains.
    pub fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.domains.iter()
    }

    /// Applies a full list and appends the changes to `out`; evacuations that it lacks
    /// have ended. From then on the set is known.
    pub fn listed(&mut self, items: Vec<Item<DomainName>>, out: &mut Vec<EvacuationChange>) {
        self.known = true;
        let listed: BTreeSet<DomainName> = items.iter().filter_map(domain_of).collect();
        let ended: Vec<DomainName> = self.domains.difference(&listed).cloned().collect();
        for domain in ended {
            self.restore(domain, out);
        }
        for domain in listed {
            self.evacuate(domain, out);
        }
    }

    /// Applies one changed object and appends the change, if any, to `out`. A deleted object
    /// ends the evacuation of the domain that its name gives.
    pub fn changed(&mut self, item: Item<DomainName>, out: &mut Vec<EvacuationChange>) {
        match (domain_of(&item), DomainName::new(&item.name)) {
            (Some(domain), _) => self.evacuate(domain, out),
            (None, Ok(domain)) => self.restore(domain, out),
            // An object whose name is no domain name evacuates nothing.
            (None, Err(_)) => {}
        }
    }

    /// Adds `domain`, and appends the change to `out` unless it is evacuated already.
    fn evacuate(&mut self, domain: DomainName, out: &mut Vec<EvacuationChange>) {
        if self.domains.insert(domain.clone()) {
            out.push(EvacuationChange::Started(domain));
        }
    }

    /// Removes `domain`, and appends the change to `out` if it was evacuated.
    fn restore(&mut self, domain: DomainName, out: &mut Vec<EvacuationChange>) {
        if self.domains.remove(&domain) {
            out.push(EvacuationChange::Ended(domain));
        }
    }
}

/// Returns the domain that an object evacuates; none if the object was deleted. An
/// unreadable object counts by its name, and evacuates nothing if that is no domain name.
fn domain_of(item: &Item<DomainName>) -> Option<DomainName> {
    match &item.content {
        Content::Value(domain) => Some(domain.clone()),
        Content::Malformed => DomainName::new(&item.name).ok(),
        Content::Deleted => None,
    }
}
