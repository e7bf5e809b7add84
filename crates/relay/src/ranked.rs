//! Which entries watch the store, by failure domain and strength.

use std::{collections::BTreeMap, net::SocketAddr};

use chestnut_fleet::{Liveness, Member};
use chestnut_unit::DomainName;

use crate::upstream::spread;

/// Entries of a failure domain, the strongest first, of which the others follow
/// the first that answers. Only the first watches the store, as long as it
/// does; the second takes over within a pulse.
const WATCHERS: usize = 2;

/// The entries by failure domain, the strongest first.
pub(crate) struct Ranked {
    /// Those of the own domain.
    pub(crate) near: Vec<SocketAddr>,
    /// Position of the own one among them, unless it is leaving.
    pub(crate) own: Option<usize>,
    /// The strongest of each other domain.
    far: Vec<SocketAddr>,
}

impl Ranked {
    pub(crate) fn new<'a>(own: &'a Member, others: impl Iterator<Item = &'a Member>) -> Self {
        let mut domains: BTreeMap<&DomainName, Vec<&Member>> = BTreeMap::new();
        let working = others
            .chain([own])
            .filter(|member| member.takes_work() && member.liveness == Liveness::Alive);
        for member in working {
            domains.entry(&member.domain).or_default().push(member);
        }
        for members in domains.values_mut() {
            members.sort_by_key(|member| (std::cmp::Reverse(member.weight), &member.id));
        }
        let near = domains.remove(&own.domain).unwrap_or_default();
        let mut far: Vec<SocketAddr> = domains
            .values()
            .filter_map(|members| members.first())
            .map(|member| member.addresses.peers)
            .collect();
        if !far.is_empty() {
            let first = spread(own) % far.len();
            far.rotate_left(first);
        }
        Self {
            own: near.iter().position(|member| member.id == own.id),
            near: near.iter().map(|member| member.addresses.peers).collect(),
            far,
        }
    }

    /// The other entries that watch the store, those to follow first.
    pub(crate) fn watchers(&self) -> Vec<SocketAddr> {
        let near = self.near.iter().enumerate().take(WATCHERS);
        let near = near.filter(|(rank, _)| Some(*rank) != self.own);
        near.map(|(_, peer)| peer)
            .chain(&self.far)
            .copied()
            .collect()
    }
}
