//! The entries that granted tokens of an organisation last: a former home may have some left.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnut_unit::{OrgName, Time};

use super::home::HOLD_TIME;

/// How long a former home is asked after it last granted tokens: as long as it grants. An entry
/// that wrongly takes itself for the home would otherwise be drawn on beside the right one.
const FORMER_TIME: Duration = HOLD_TIME;
/// Entries that are remembered for each organisation.
const MAX_GRANTERS: usize = 3;
/// Organisations above which those that were not granted tokens lately are dropped.
const MAX_ORGS: usize = 10_000;

/// For each organisation the entries that granted tokens lately, the last one first.
#[derive(Clone, Debug, Default)]
pub struct Granters {
    orgs: BTreeMap<OrgName, Vec<(SocketAddr, Time)>>,
}

impl Granters {
    /// Records that the entry at `by` granted tokens.
    pub fn granted(&mut self, org: &OrgName, by: SocketAddr, now: Time) {
        if self.orgs.len() >= MAX_ORGS && !self.orgs.contains_key(org) {
            self.orgs
                .retain(|_, list| list.iter().any(|(_, at)| now.since(*at) < FORMER_TIME));
        }
        let list = self.orgs.entry(org.clone()).or_default();
        list.retain(|(granter, _)| *granter != by);
        list.insert(0, (by, now));
        list.truncate(MAX_GRANTERS);
    }

    /// Records that the entry at `former` has no tokens left.
    pub fn has_none(&mut self, org: &OrgName, former: SocketAddr) {
        if let Some(list) = self.orgs.get_mut(org) {
            list.retain(|(granter, _)| *granter != former);
        }
    }

    /// Returns the entry other than the `home` that granted tokens last, if lately.
    #[must_use]
    pub fn former(&self, org: &OrgName, home: SocketAddr, now: Time) -> Option<SocketAddr> {
        let others = self.orgs.get(org)?.iter();
        let mut others = others.filter(|(granter, _)| *granter != home);
        let (granter, at) = others.next()?;
        (now.since(*at) < FORMER_TIME).then_some(*granter)
    }
}
