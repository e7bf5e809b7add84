//! Tests for merging member updates, and for the placement of holders.

use std::collections::{BTreeMap, BTreeSet};

use chestnut_conf::{Leaf, Service};
use chestnut_fleet::{
    Addresses, HashedMembers, HolderPlan, Liveness, Member, Successor, holder_count,
};
use chestnut_unit::{DomainName, Incarnation, LeafId, MemberId, ServiceName};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

fn member(name: usize, domain: usize) -> Member {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9000 + name as u16));
    let addresses = Addresses {
        callers: address,
        operators: address,
        peers: address,
    };
    Member::starting(
        MemberId::new(format!("m{name}")).unwrap(),
        DomainName::new(format!("d{domain}")).unwrap(),
        addresses,
        Incarnation(1),
    )
}

fn any_update() -> impl Strategy<Value = Member> {
    (
        1u64..4,
        0u32..3,
        0u8..3,
        any::<bool>(),
        prop::option::of(1u64..4),
    )
        .prop_map(|(incarnation, version, liveness, leaving, successor)| {
            let mut update = member(1, 0);
            update.incarnation = Incarnation(incarnation);
            update.version = version;
            update.liveness =
                [Liveness::Alive, Liveness::Suspect, Liveness::Gone][liveness as usize];
            update.leaving = leaving;
            if let Some(of) = successor {
                let successor = Successor {
                    member: MemberId::new(format!("h{of}")).unwrap(),
                    incarnation: Incarnation(of),
                };
                update.successors.insert(Incarnation(of), successor);
            }
            update
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against members that received the same updates, in another order
    /// or several times, and hold different states.
    #[test]
    fn merging_updates_is_independent_of_their_order(
        updates in prop::collection::vec(any_update(), 1..8),
        start_index in any::<prop::sample::Index>(),
    ) {
        let mut one = updates[0].clone();
        for other in &updates {
            one.merge(other);
        }
        let first = start_index.index(updates.len());
        let mut two = updates[first].clone();
        for other in updates.iter().rev().chain(&updates) {
            two.merge(other);
        }
        prop_assert_eq!(one, two);
    }
}

fn make_members(count: usize) -> Vec<Member> {
    (0..count).map(|n| member(n, n % 3)).collect()
}

fn service(groups: u32, connections: u32) -> Service {
    let mut leafs = BTreeMap::new();
    for n in 0..groups * 3 {
        let leaf = Leaf {
            address: ([127, 0, 0, 1], 10_000 + n as u16).into(),
            domain: DomainName::new(format!("d{}", n % 3)).unwrap(),
            slots: 5,
            connections,
            group: n / 3,
        };
        leafs.insert(LeafId::new(format!("l{n:04}")).unwrap(), leaf);
    }
    Service {
        leafs,
        versions: Vec::new(),
    }
}

/// Guards against a lost member moving groups that it did not hold.
#[test]
fn a_lost_member_moves_only_the_groups_it_held() {
    let name = ServiceName::new("ladder").unwrap();
    let service = service(200, 16);
    let all = make_members(30);
    let before = HolderPlan::new(&name, &service, &all, 4);
    let gone = all[7].id.clone();
    let remaining: Vec<Member> = all.into_iter().filter(|m| m.id != gone).collect();
    let after = HolderPlan::new(&name, &service, &remaining, 4);
    for (group, holders) in &before.groups {
        if !holders.contains(&gone) {
            assert_eq!(&after.groups[group], holders);
        }
    }
}

/// Guards against holders that together open more connections than a leaf
/// accepts, less one spare share.
#[rstest]
#[case(40, 4, 7)]
#[case(12, 4, 5)]
#[case(40, 4, 60)]
#[case(3, 4, 7)]
fn holders_stay_within_the_connection_limit(
    #[case] connections: u32,
    #[case] share: u32,
    #[case] members: usize,
) {
    let name = ServiceName::new("ladder").unwrap();
    let plan = HolderPlan::new(
        &name,
        &service(20, connections),
        &make_members(members),
        share,
    );
    let count = holder_count(connections, share);
    for holders in plan.groups.values() {
        assert_eq!(holders.len(), count.min(members));
        let distinct: BTreeSet<&MemberId> = holders.iter().collect();
        assert_eq!(distinct.len(), holders.len());
        let used = holders.len() as u32 * share;
        assert!(used + share <= connections || holders.len() == 1);
    }
}

/// Guards against a failure domain whose leafs have no holder within it.
#[test]
fn every_domain_of_a_group_has_a_holder() {
    let domains: Vec<DomainName> = (0..3)
        .map(|n| DomainName::new(format!("d{n}")).unwrap())
        .collect();
    let members = make_members(30);
    let hashed = HashedMembers::new(&members);
    let wanted: BTreeSet<&DomainName> = domains.iter().collect();
    for group in 0..50 {
        let holders = hashed.holders_of(&format!("g{group}"), 3, &wanted);
        let covered: BTreeSet<&DomainName> = holders
            .iter()
            .map(|id| &members.iter().find(|m| m.id == *id).unwrap().domain)
            .collect();
        assert_eq!(covered, wanted);
    }
}
