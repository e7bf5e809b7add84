//! Which members callers are sent to.

use chestnut_fleet::{Candidate, carriers};
use rstest::rstest;

fn group(count: usize, weight: u32, load: u32) -> impl Iterator<Item = (u32, u32)> {
    std::iter::repeat_n((weight, load), count)
}

fn chosen(members: impl Iterator<Item = (u32, u32)>) -> usize {
    let candidates: Vec<Candidate<usize>> = members
        .enumerate()
        .map(|(id, (weight, load))| Candidate { id, weight, load })
        .collect();
    carriers(&candidates).len()
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
