//! Which part of the members answers this entry right now.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use chestnut_unit::{DomainName, Time};

/// Probes of a failure domain that count: those that were sent last.
const PROBES: usize = 8;
/// How long a probe counts. Without newer ones, all members of the domain count as reached.
const VALID_TIME: Duration = Duration::from_secs(2);

/// The part of the members that answers, estimated from probes of some of each failure domain.
///
/// The failure detector takes seconds to find that many members are gone at once. What all
/// entries share is granted on both sides of a partition meanwhile, so who grants it has to know
/// sooner how much of the members it still grants for.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    domains: BTreeMap<DomainName, DomainContact>,
}

/// The members of one failure domain that count as alive, this entry left out, and whether the
/// last probes of them were answered.
#[derive(Clone, Debug, Default)]
struct DomainContact {
    members: usize,
    answers: VecDeque<(Time, bool)>,
}

impl DomainContact {
    /// The part of the valid probes that was answered.
    fn answered(&self, now: Time) -> f64 {
        let valid = self.answers.iter();
        let valid = valid.filter(|(at, _)| now.since(*at) < VALID_TIME);
        let (mut count, mut answered) = (0.0, 0.0);
        for (_, answer) in valid {
            count += 1.0;
            answered += f64::from(u8::from(*answer));
        }
        if count == 0.0 { 1.0 } else { answered / count }
    }
}

impl Contact {
    /// Updates the number of live members of each failure domain, this entry left out.
    pub fn update(&mut self, members: impl IntoIterator<Item = (DomainName, usize)>) {
        let mut before = std::mem::take(&mut self.domains);
        for (name, members) in members {
            let mut domain = before.remove(&name).unwrap_or_default();
            domain.members = members;
            self.domains.insert(name, domain);
        }
    }

    /// Records whether a member of a failure domain answered a probe.
    pub fn probed(&mut self, domain: &DomainName, answered: bool, now: Time) {
        if let Some(domain) = self.domains.get_mut(domain) {
            domain.answers.push_front((now, answered));
            domain.answers.truncate(PROBES);
        }
    }

    /// Returns the part of the live members that is reached, this entry included, above 0 and at
    /// most 1.
    #[must_use]
    pub fn fraction(&self, now: Time) -> f64 {
        let (mut all, mut reached) = (1.0, 1.0);
        for domain in self.domains.values() {
            let members = domain.members as f64;
            all += members;
            reached += members * domain.answered(now);
        }
        reached / all
    }
}
