//! Placement of holders, the members that keep connections to a group of leafs,
//! and of the members that watch the platform.

use std::collections::{BTreeMap, BTreeSet};

use chestnut_conf::Service;
use chestnut_unit::{DomainName, MemberId, ServiceName};

use crate::Member;

/// Shares of a leaf's connections that stay unused. While the views of entries
/// differ, a leaf may have one holder too many; the spare share keeps it within
/// its limit.
const SPARE_SHARES: u32 = 1;

/// Returns the number of members that hold a leaf accepting `connections`
/// connections when each opens at most `share` of them and one share stays
/// spare. At least one, so that the leaf stays reachable.
#[must_use]
pub fn holder_count(connections: u32, share: u32) -> usize {
    let shares = connections / share.max(1);
    shares.saturating_sub(SPARE_SHARES).max(1) as usize
}

/// The holders of each group of leafs of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HolderPlan {
    /// Holders by group, the preferred first.
    pub groups: BTreeMap<u32, Vec<MemberId>>,
}

impl HolderPlan {
    /// Assigns holders to each group of `service`, named `name`, by rendezvous
    /// hashing, so that a change of one member moves only the groups that it
    /// holds. The leaf of a group that accepts the fewest connections decides
    /// the number of holders.
    #[must_use]
    pub fn new(name: &ServiceName, service: &Service, members: &[Member], share: u32) -> Self {
        let mut groups: BTreeMap<u32, (usize, BTreeSet<&DomainName>)> = BTreeMap::new();
        for leaf in service.leafs.values() {
            let count = holder_count(leaf.connections, share);
            let entry = groups.entry(leaf.group).or_insert((count, BTreeSet::new()));
            entry.0 = entry.0.min(count);
            entry.1.insert(&leaf.domain);
        }
        let hashed = HashedMembers::new(members);
        let plan = |(group, (count, domains)): (u32, (usize, BTreeSet<&DomainName>))| {
            let key = format!("{name}/{group}");
            (group, hashed.holders_of(&key, count, &domains))
        };
        Self {
            groups: groups.into_iter().map(plan).collect(),
        }
    }

    /// Returns the holders of a group, or none if it is unknown.
    #[must_use]
    pub fn holders(&self, group: u32) -> &[MemberId] {
        self.groups.get(&group).map_or(&[], Vec::as_slice)
    }
}

/// Members with the hash of their names, computed once instead of once per
/// group.
pub struct HashedMembers<'a> {
    members: Vec<(u64, &'a Member)>,
}

impl<'a> HashedMembers<'a> {
    /// Hashes the names of `members`.
    #[must_use]
    pub fn new(members: &'a [Member]) -> Self {
        let hashed = members.iter().map(|m| (hash(m.id.as_str()), m));
        Self {
            members: hashed.collect(),
        }
    }

    /// Returns the `count` members that hold the group `key`: the
    /// highest-scoring one of each failure domain in `domains`, then the
    /// highest-scoring others. Fewer if there are fewer members.
    #[must_use]
    pub fn holders_of(
        &self,
        key: &str,
        count: usize,
        domains: &BTreeSet<&DomainName>,
    ) -> Vec<MemberId> {
        let key = hash(key);
        let mut scored: Vec<(u64, &Member)> = self
            .members
            .iter()
            .map(|(member, m)| (score(key, *member), *m))
            .collect();
        let best = |a: &(u64, &Member), b: &(u64, &Member)| {
            b.0.cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id))
        };
        let mut chosen: Vec<(u64, &Member)> = Vec::with_capacity(count);
        for domain in domains {
            let here = scored.iter().filter(|(_, m)| m.domain == **domain);
            chosen.extend(here.min_by(|a, b| best(a, b)));
        }
        chosen.sort_by(best);
        chosen.truncate(count);
        // Avoids sorting all members when only the first few are needed.
        let kept = (count + chosen.len()).min(scored.len());
        if kept < scored.len() {
            scored.select_nth_unstable_by(kept, best);
            scored.truncate(kept);
        }
        scored.sort_by(best);
        for candidate in scored {
            let taken = chosen.iter().any(|(_, m)| m.id == candidate.1.id);
            if !taken && chosen.len() < count {
                chosen.push(candidate);
            }
        }
        chosen.into_iter().map(|(_, m)| m.id.clone()).collect()
    }
}

/// Returns the `count` of `members`, those of a failure domain, that watch the
/// platform for the others; the same on all entries that know the same members.
#[must_use]
pub fn choose_watchers<'a>(
    members: impl Iterator<Item = &'a Member>,
    count: usize,
) -> Vec<MemberId> {
    sort_by_score("watchers", members)
        .into_iter()
        .take(count)
        .map(|member| member.id.clone())
        .collect()
}

/// Sorts members by their score for `key`, the highest first, equal ones by
/// name.
fn sort_by_score<'a>(key: &str, members: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
    let key = hash(key);
    let mut scored: Vec<(u64, &Member)> = members
        .map(|member| (score(key, hash(member.id.as_str())), member))
        .collect();
    scored.sort_by(|(a, m), (b, n)| b.cmp(a).then_with(|| m.id.cmp(&n.id)));
    scored.into_iter().map(|(_, member)| member).collect()
}

/// Hashes a text to a value that is the same on all entries and in all
/// releases.
pub(crate) fn hash(text: &str) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns a pseudo-random score of a member for a key, from the hashes of both
/// (the finalizer of `SplitMix64`).
pub(crate) fn score(key: u64, member: u64) -> u64 {
    let mut z = key ^ member.rotate_left(32);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
