//! Which members hold which leafs, and which watch the platform.

use std::collections::{BTreeMap, BTreeSet};

use chestnut_conf::Service;
use chestnut_unit::{DomainName, MemberId, ServiceName};

use crate::Member;

/// Shares of a leaf's connections that stay unused. While views differ after
/// a change, one member more than planned may hold a leaf; the spare share
/// takes its connections, so the sum over members stays within the limit.
const SPARE_SHARES: u32 = 1;

/// How many members hold a leaf that accepts `connections`, when each opens at
/// most `share` of them. At least one, or nobody could reach it.
#[must_use]
pub fn holders_wanted(connections: u32, share: u32) -> usize {
    let shares = connections / share.max(1);
    shares.saturating_sub(SPARE_SHARES).max(1) as usize
}

/// The holders of every group of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HolderPlan {
    /// Group to holders, the preferred first.
    pub groups: BTreeMap<u32, Vec<MemberId>>,
}

impl HolderPlan {
    /// Plans the holders of `service`. A change of one member moves only the
    /// groups of that member, because each group ranks the members by a hash
    /// of its own (rendezvous hashing).
    #[must_use]
    pub fn new(name: &ServiceName, service: &Service, members: &[Member], share: u32) -> Self {
        let mut groups: BTreeMap<u32, (usize, BTreeSet<&DomainName>)> = BTreeMap::new();
        for leaf in service.leafs.values() {
            let wanted = holders_wanted(leaf.connections, share);
            let entry = groups
                .entry(leaf.group)
                .or_insert((wanted, BTreeSet::new()));
            entry.0 = entry.0.min(wanted);
            entry.1.insert(&leaf.domain);
        }
        let plan = |(group, (wanted, domains)): (u32, (usize, BTreeSet<&DomainName>))| {
            let key = format!("{name}/{group}");
            (group, holders_of(&key, wanted, &domains, members))
        };
        Self {
            groups: groups.into_iter().map(plan).collect(),
        }
    }

    /// The holders of a group.
    #[must_use]
    pub fn of(&self, group: u32) -> &[MemberId] {
        self.groups.get(&group).map_or(&[], Vec::as_slice)
    }
}

/// The `wanted` members that hold the group `key`: the best of each failure
/// domain that has leafs of the group, then the best of the rest.
#[must_use]
pub fn holders_of(
    key: &str,
    wanted: usize,
    domains: &BTreeSet<&DomainName>,
    members: &[Member],
) -> Vec<MemberId> {
    let ranked = rank(key, members.iter());
    let mut chosen: Vec<&Member> = Vec::with_capacity(wanted);
    let mut served: BTreeSet<&DomainName> = BTreeSet::new();
    for member in &ranked {
        let new = domains.contains(&member.domain) && served.insert(&member.domain);
        if new && chosen.len() < wanted {
            chosen.push(member);
        }
    }
    for member in &ranked {
        let taken = chosen.iter().any(|other| other.id == member.id);
        if !taken && chosen.len() < wanted {
            chosen.push(member);
        }
    }
    chosen.into_iter().map(|member| member.id.clone()).collect()
}

/// The members of a failure domain that watch the platform for the others.
#[must_use]
pub fn watchers_of<'a>(members: impl Iterator<Item = &'a Member>, wanted: usize) -> Vec<MemberId> {
    rank("watchers", members)
        .into_iter()
        .take(wanted)
        .map(|member| member.id.clone())
        .collect()
}

/// Members by their hash with `key`, the highest first.
fn rank<'a>(key: &str, members: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
    let mut scored: Vec<(u64, &Member)> = members
        .map(|member| (score(key, &member.id), member))
        .collect();
    scored.sort_by(|(a, m), (b, n)| b.cmp(a).then_with(|| m.id.cmp(&n.id)));
    scored.into_iter().map(|(_, member)| member).collect()
}

fn score(key: &str, member: &MemberId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(member.as_str().as_bytes());
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
