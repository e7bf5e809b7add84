//! The ranking of entries by failure domain and weight, which decides who watches the
//! store.

use std::{collections::BTreeMap, net::SocketAddr};

use chestnut_fleet::{Liveness, Member};
use chestnut_unit::DomainName;

use crate::upstream::member_hash;

/// Entries of a failure domain that others may use as upstream, in order of weight. The
/// first watches the store; the second takes over within a revision poll if it fails.
const MAX_WATCHERS: usize = 2;

/// The live entries that accept work, ranked by descending weight in their failure domain:
/// all of the own domain, and the first of each other one.
pub(crate) struct Ranking {
    /// Peer addresses of the entries in the own domain, this one included unless it is leaving.
    pub(crate) local: Vec<SocketAddr>,
    /// Position of this entry in `local`, from 0; none if it is leaving.
    pub(crate) own_rank: Option<usize>,
    /// Peer address of the entry with the greatest weight in each other domain, rotated by a
    /// hash of the own id so that entries prefer different domains.
    remote: Vec<SocketAddr>,
}

impl Ranking {
    /// Ranks this entry, `own`, and those of `others` that are alive and accept work.
    pub(crate) fn new<'a>(own: &'a Member, others: impl Iterator<Item = &'a Member>) -> Self {
        let mut domains: BTreeMap<&DomainName, Vec<&Member>> = BTreeMap::new();
        let accepting = others
            .chain([own])
            .filter(|member| member.accepts_work() && member.liveness == Liveness::Alive);
        for member in accepting {
            domains.entry(&member.domain).or_default().push(member);
        }
        for members in domains.values_mut() {
            members.sort_by_key(|member| (std::cmp::Reverse(member.weight), &member.id));
        }
        let local = domains.remove(&own.domain).unwrap_or_default();
        let mut remote: Vec<SocketAddr> = domains
            .values()
            .filter_map(|members| members.first())
            .map(|member| member.addresses.peers)
            .collect();
        if !remote.is_empty() {
            let first = member_hash(own) % remote.len();
            remote.rotate_left(first);
        }
        Self {
            own_rank: local.iter().position(|member| member.id == own.id),
            local: local.iter().map(|member| member.addresses.peers).collect(),
            remote,
        }
    }

    /// Returns the peer addresses of the other entries that may watch the store, in order of
    /// preference: the first [`MAX_WATCHERS`] of the own domain, then the first of others.
    pub(crate) fn watchers(&self) -> Vec<SocketAddr> {
        let local = self.local.iter().enumerate().take(MAX_WATCHERS);
        let local = local.filter(|(rank, _)| Some(*rank) != self.own_rank);
        local
            .map(|(_, peer)| peer)
            .chain(&self.remote)
            .copied()
            .collect()
    }
}
