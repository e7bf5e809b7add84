//! Failure domains whose leafs get no calls, at an operator's request.

use std::collections::BTreeSet;

use chestnut_port::{Content, Item};
use chestnut_unit::DomainName;

/// A change that the request path acts upon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Shift {
    /// The leafs of a domain get no calls from now on.
    Emptied(DomainName),
    /// They may be called again. They may have become cold meanwhile.
    Refilled(DomainName),
}

/// The failure domains that are evacuated, as the store lists them.
///
/// Nothing is known before the first list, which differs from nothing being evacuated:
/// an entry that served by what it does not know yet would call the leafs of a domain
/// that was emptied before its start.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    domains: BTreeSet<DomainName>,
    known: bool,
}

impl Evacuations {
    /// Whether a list has been read.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Whether the leafs of `domain` get no calls.
    #[must_use]
    pub fn covers(&self, domain: &DomainName) -> bool {
        self.domains.contains(domain)
    }

    /// Domains that are evacuated.
    pub fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.domains.iter()
    }

    /// Takes the whole list: what it lacks is over.
    pub fn listed(&mut self, items: Vec<Item<DomainName>>, out: &mut Vec<Shift>) {
        self.known = true;
        let listed: BTreeSet<DomainName> = items.iter().filter_map(domain_of).collect();
        let over: Vec<DomainName> = self.domains.difference(&listed).cloned().collect();
        for domain in over {
            self.lift(domain, out);
        }
        for domain in listed {
            self.empty(domain, out);
        }
    }

    /// Takes a change.
    pub fn changed(&mut self, item: Item<DomainName>, out: &mut Vec<Shift>) {
        match (domain_of(&item), DomainName::new(&item.name)) {
            (Some(domain), _) => self.empty(domain, out),
            (None, Ok(domain)) => self.lift(domain, out),
            // Nothing can have been evacuated under a name that is none.
            (None, Err(_)) => {}
        }
    }

    fn empty(&mut self, domain: DomainName, out: &mut Vec<Shift>) {
        if self.domains.insert(domain.clone()) {
            out.push(Shift::Emptied(domain));
        }
    }

    fn lift(&mut self, domain: DomainName, out: &mut Vec<Shift>) {
        if self.domains.remove(&domain) {
            out.push(Shift::Refilled(domain));
        }
    }
}

/// The domain that an object evacuates; none if the object is gone. The name says all:
/// an object whose content can't be read is there nevertheless.
fn domain_of(item: &Item<DomainName>) -> Option<DomainName> {
    match &item.content {
        Content::Is(domain) => Some(domain.clone()),
        Content::Malformed => DomainName::new(&item.name).ok(),
        Content::Deleted => None,
    }
}
