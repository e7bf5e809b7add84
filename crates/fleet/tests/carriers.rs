//! Which members callers are sent to.

use std::time::Duration;

use chestnut_fleet::{Candidate, Held, carriers};
use chestnut_unit::Time;
use rstest::rstest;

fn group(count: usize, weight: u32, load: u32) -> impl Iterator<Item = (u32, u32)> {
    std::iter::repeat_n((weight, load), count)
}

fn candidates(members: impl Iterator<Item = (u32, u32)>) -> Vec<Candidate<usize>> {
    let candidate = |(id, (weight, load))| Candidate {
        id,
        weight,
        load,
        near: true,
    };
    members.enumerate().map(candidate).collect()
}

fn chosen(members: impl Iterator<Item = (u32, u32)>) -> usize {
    carriers(&candidates(members), 0, 0).len()
}

/// Callers of a mixed fleet wait long for their answers.
/// Most of its entries are so weak that one search over many shards takes them
/// tens of milliseconds, and a few strong ones have room for everything: those
/// carry the callers, until their load passes half of their capacity.
#[rstest]
#[case::calm(3_000, 6)]
#[case::half_full(12_000, 6)]
#[case::more_than_half(18_000, 71)]
fn strong_members_carry_what_they_have_room_for(#[case] load: u32, #[case] expected: usize) {
    let strong = group(6, 4_000, load / 6);
    assert_eq!(chosen(strong.chain(group(65, 660, 0))), expected);
}

#[test]
fn equal_members_all_carry() {
    assert_eq!(chosen(group(7, 2_900, 40)), 7);
    assert_eq!(chosen(group(1, 2_900, 40)), 1);
    assert_eq!(chosen(group(0, 0, 0)), 0);
}

/// Losing the one strong member must not lose most callers at once.
#[test]
fn a_few_members_carry_even_if_one_has_room_for_all() {
    let members = group(1, 40_000, 100)
        .chain(group(2, 3_000, 0))
        .chain(group(9, 700, 0));
    assert_eq!(chosen(members), 12);
}

/// Most searches of a small deployment come late, on a calm day.
/// Each of 17 alike entries had a search every few seconds: too few to learn which leafs
/// are slow, and to keep connections to 270 leafs open. The fewest that can bear a loss
/// carry them instead; where the load wants all and lets each learn, all do.
#[rstest]
#[case::few_requests(27, 270, 5)]
#[case::some(50, 270, 10)]
#[case::many(200, 270, 17)]
fn alike_members_carry_while_each_learns(
    #[case] load: u32,
    #[case] leafs: usize,
    #[case] expected: usize,
) {
    let candidates = candidates(group(17, 750, load));
    assert_eq!(carriers(&candidates, leafs, 0).len(), expected);
}

/// Callers all come to a few entries at the start of the day.
/// Before it there are only the calls of operators that look whether all is well. They
/// tell nothing of what is to come.
#[rstest]
#[case::few(17, 6)]
#[case::some(80, 10)]
#[case::hundreds(280, 16)]
fn a_load_that_is_next_to_nothing_tells_nothing(#[case] members: usize, #[case] expected: usize) {
    let mut candidates = candidates(group(members, 750, 0));
    candidates[0].load = 30;
    assert_eq!(carriers(&candidates, 270, 0).len(), expected);
}

/// Every call of a search goes to another failure domain, and the bytes are paid for.
/// The entry that carries it is in a domain without leafs. Those of domains with leafs
/// carry while they have room for twice the load; the others join when they don't.
#[rstest]
#[case::calm(400, 6)]
#[case::loaded(1_300, 7)]
fn members_without_leafs_nearby_carry_what_others_have_no_room_for(
    #[case] load: u32,
    #[case] expected: usize,
) {
    let mut candidates = candidates(group(10, 4_000, load));
    for candidate in &mut candidates[..4] {
        candidate.near = false;
    }
    let chosen = carriers(&candidates, 0, 0);
    assert_eq!(chosen.len(), expected);
    assert!((4..10).all(|id| chosen.contains(&id)));
}

/// Searches come late in the first seconds of the day.
/// A load is heard in steps as it rises, and few carriers were wanted meanwhile. Entries
/// that callers had been sent to before still served them, without a part of the extra
/// calls. They stay carriers for as long as callers may have their address.
#[test]
fn carriers_stay_for_a_while_when_fewer_are_wanted() {
    let mut held = Held::default();
    let at = |seconds| Time::ZERO + Duration::from_secs(seconds);
    assert_eq!(held.want(15, at(1)), 15);
    assert_eq!(held.want(4, at(3)), 15);
    assert_eq!(held.want(15, at(8)), 15);
    assert_eq!(held.want(4, at(9)), 15);
    assert_eq!(held.want(4, at(18)), 4);
    assert_eq!(held.want(6, at(19)), 6);
    let few = candidates(group(17, 750, 27));
    assert_eq!(carriers(&few, 270, held.count()).len(), 6);
}
