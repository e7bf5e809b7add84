//! Statements about members, and the placement of holders.

use std::collections::{BTreeMap, BTreeSet};

use chestnut_conf::{Leaf, Service};
use chestnut_fleet::{Addresses, Heir, HolderPlan, Liveness, Member, Ranked, holders_wanted};
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

fn statement() -> impl Strategy<Value = Member> {
    (
        1u64..4,
        0u32..3,
        0u8..3,
        any::<bool>(),
        prop::option::of(1u64..4),
    )
        .prop_map(|(life, beat, liveness, leaving, heir)| {
            let mut said = member(1, 0);
            said.incarnation = Incarnation(life);
            said.beat = beat;
            said.liveness = [Liveness::Alive, Liveness::Suspect, Liveness::Gone][liveness as usize];
            said.leaving = leaving;
            if let Some(of) = heir {
                let heir = Heir {
                    member: MemberId::new(format!("h{of}")).unwrap(),
                    life: Incarnation(of),
                };
                said.heirs.insert(Incarnation(of), heir);
            }
            said
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Members that heard the same statements, in any order and any number of
    /// times, hold the same state.
    #[test]
    fn the_order_of_statements_does_not_matter(
        said in prop::collection::vec(statement(), 1..8),
        order in any::<prop::sample::Index>(),
    ) {
        let mut one = said[0].clone();
        for other in &said {
            one.merge(other);
        }
        let start = order.index(said.len());
        let mut two = said[start].clone();
        for other in said.iter().rev().chain(&said) {
            two.merge(other);
        }
        prop_assert_eq!(one, two);
    }
}

fn fleet(count: usize) -> Vec<Member> {
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

/// A member that goes moves its own groups and no others.
#[test]
fn a_change_moves_only_the_groups_of_its_member() {
    let name = ServiceName::new("ladder").unwrap();
    let service = service(200, 16);
    let all = fleet(30);
    let before = HolderPlan::new(&name, &service, &all, 4);
    let gone = all[7].id.clone();
    let rest: Vec<Member> = all.into_iter().filter(|m| m.id != gone).collect();
    let after = HolderPlan::new(&name, &service, &rest, 4);
    for (group, holders) in &before.groups {
        if !holders.contains(&gone) {
            assert_eq!(&after.groups[group], holders);
        }
    }
}

/// Holders times share never pass a leaf's connections, one share spared, and
/// each domain that has leafs of a group has a holder if there is room.
#[rstest]
#[case(40, 4, 7)]
#[case(12, 4, 5)]
#[case(40, 4, 60)]
#[case(3, 4, 7)]
fn holders_stay_within_the_connections(
    #[case] connections: u32,
    #[case] share: u32,
    #[case] members: usize,
) {
    let name = ServiceName::new("ladder").unwrap();
    let plan = HolderPlan::new(&name, &service(20, connections), &fleet(members), share);
    let wanted = holders_wanted(connections, share);
    for holders in plan.groups.values() {
        assert_eq!(holders.len(), wanted.min(members));
        let distinct: BTreeSet<&MemberId> = holders.iter().collect();
        assert_eq!(distinct.len(), holders.len());
        let used = holders.len() as u32 * share;
        assert!(used + share <= connections || holders.len() == 1);
    }
}

#[test]
fn each_domain_of_a_group_has_a_holder() {
    let domains: Vec<DomainName> = (0..3)
        .map(|n| DomainName::new(format!("d{n}")).unwrap())
        .collect();
    let members = fleet(30);
    let ranked = Ranked::new(&members);
    let wanted: BTreeSet<&DomainName> = domains.iter().collect();
    for group in 0..50 {
        let holders = ranked.holders_of(&format!("g{group}"), 3, &wanted);
        let held: BTreeSet<&DomainName> = holders
            .iter()
            .map(|id| &members.iter().find(|m| m.id == *id).unwrap().domain)
            .collect();
        assert_eq!(held, wanted);
    }
}
