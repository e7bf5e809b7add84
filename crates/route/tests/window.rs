//! Concurrency window of a back end.

use std::time::Duration;

use chestnut_route::{Backend, Bounds, Class, Failure, Ix, Refusal, Table, TableConfig, Window};
use chestnut_unit::{LeafId, Time};
use rstest::rstest;

const ROUND: Duration = Duration::from_millis(30);

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn bounded(min: u32, max: u32) -> Window {
    let mut window = Window::default();
    window.set_bounds(Bounds { min, max });
    window
}

/// Guards against bounds that leave slots idle although callers are refused, or
/// that exceed an entry's connections.
#[rstest]
#[case::one_entry(5, 1, 40, 5, 40)]
#[case::six_entries(5, 6, 6, 1, 6)]
#[case::two_entries_of_many_slots(50, 2, 100, 25, 100)]
#[case::fewer_connections_than_slots(8, 1, 3, 3, 3)]
#[case::no_connection_left(4, 90, 0, 1, 1)]
fn bounds_follow_the_share_of_slots_and_connections(
    #[case] slots: u32,
    #[case] entries: usize,
    #[case] connections: usize,
    #[case] min: u32,
    #[case] max: u32,
) {
    let bounds = Bounds::share(slots, entries, connections);
    assert_eq!(bounds, Bounds { min, max });
}

#[test]
fn a_window_without_bounds_limits_nothing() {
    let mut window = Window::default();
    window.shrink(ROUND, at(1));
    assert_eq!(window.size(), u32::MAX);
}

#[test]
fn a_window_starts_at_twice_its_share_of_the_slots() {
    assert_eq!(bounded(5, 40).size(), 10);
    assert_eq!(bounded(5, 7).size(), 7);
}

#[test]
fn a_window_grows_by_one_per_round_of_calls() {
    let mut window = bounded(5, 40);
    for _ in 0..11 {
        window.grow(10);
    }
    assert_eq!(window.size(), 11);
}

/// A window that grows while hardly used would let the first burst open all
/// connections to a leaf.
#[test]
fn a_hardly_used_window_does_not_grow() {
    let mut window = bounded(5, 40);
    for _ in 0..1000 {
        window.grow(1);
    }
    assert_eq!(window.size(), 10);
}

/// A single pause of a leaf makes all its calls late; counted one by one they
/// would shrink any window to its minimum.
#[test]
fn late_calls_sent_together_shrink_the_window_once() {
    let mut window = bounded(5, 40);
    for ms in 0..10 {
        window.shrink(ROUND, at(100 + ms));
    }
    assert_eq!(window.size(), 8);
    window.shrink(ROUND, at(131));
    assert_eq!(window.size(), 6);
}

#[test]
fn a_window_never_falls_below_its_share_of_the_slots() {
    let mut window = bounded(5, 40);
    for round in 1..100 {
        window.shrink(ROUND, at(round * 31));
    }
    assert_eq!(window.size(), 5);
}

/// A table with one back end whose window is bounded, and a class of calls that
/// take 10 ms.
fn table(objective: Option<Duration>) -> (Table, Class, Ix) {
    let mut table = Table::new(TableConfig::default());
    let class = table.add_class();
    if let Some(objective) = objective {
        table.set_objective(class, objective);
    }
    let leaf = Backend::Leaf(LeafId::new("l0").unwrap());
    let ix = table.add(leaf, 5, Time::ZERO);
    for ms in 0..64 {
        answer(&mut table, class, ix, Duration::from_millis(10), at(ms));
    }
    table.set_bounds(ix, Bounds { min: 1, max: 40 });
    for _ in 0..2 {
        table.sent(ix, Time::ZERO);
    }
    (table, class, ix)
}

fn answer(table: &mut Table, class: Class, ix: Ix, span: Duration, now: Time) {
    table.sent(ix, now);
    table.answered_in(class, ix, span, now);
}

#[test]
fn a_back_end_has_capacity_until_its_window_is_full() {
    let (mut table, class, ix) = table(None);
    assert_eq!((table.window(ix), table.has_capacity(ix)), (2, false));
    table.answered_in(class, ix, Duration::from_millis(10), at(100));
    assert!(table.has_capacity(ix));
}

/// If all back ends are overloaded alike, late calls look usual. Half of the
/// objective must count as late whatever is usual.
#[rstest]
#[case::normal_call(Duration::from_millis(15), None, 3)]
#[case::three_medians(Duration::from_millis(35), None, 1)]
#[case::half_of_the_objective(Duration::from_millis(15), Some(Duration::from_millis(20)), 1)]
fn late_calls_shrink_the_window(
    #[case] span: Duration,
    #[case] objective: Option<Duration>,
    #[case] size: u32,
) {
    let (mut table, class, ix) = table(objective);
    for n in 0..4 {
        answer(&mut table, class, ix, span, at(200 + n));
    }
    assert_eq!(table.window(ix), size);
}

#[test]
fn a_shed_call_shrinks_the_window() {
    let (mut table, _, ix) = table(None);
    table.failed(ix, Failure::Refused(Refusal::Shed), at(100));
    assert_eq!(table.window(ix), 1);
}

/// A lack of connections at this entry must not shrink the window of a healthy
/// leaf.
#[test]
fn a_call_without_a_connection_keeps_the_window() {
    let (mut table, _, ix) = table(None);
    table.failed(ix, Failure::Refused(Refusal::Connections), at(100));
    assert_eq!(table.window(ix), 2);
}
