//! How many calls are kept under way at a back end.

use std::time::Duration;

use chestnut_route::{Backend, Bounds, Class, Failure, Ix, Refusal, Table, TableConfig, Window};
use chestnut_unit::{LeafId, Time};
use rstest::rstest;

const ROUND: Duration = Duration::from_millis(30);

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn bounded(least: u32, most: u32) -> Window {
    let mut window = Window::default();
    window.set_bounds(Bounds { least, most });
    window
}

/// Slots stay idle while callers are refused, or every queue is full: either
/// happens if the entries together keep fewer calls than there are slots, or
/// if one may keep more than its connections.
#[rstest]
#[case::alone(5, 1, 40, 5, 40)]
#[case::six_entries(5, 6, 6, 1, 6)]
#[case::two_entries_of_many_slots(50, 2, 100, 25, 100)]
#[case::fewer_connections_than_slots(8, 1, 3, 3, 3)]
#[case::no_connection_left(4, 90, 0, 1, 1)]
fn bounds_follow_the_share(
    #[case] slots: u32,
    #[case] entries: usize,
    #[case] connections: usize,
    #[case] least: u32,
    #[case] most: u32,
) {
    let bounds = Bounds::share(slots, entries, connections);
    assert_eq!(bounds, Bounds { least, most });
}

#[test]
fn a_window_without_bounds_limits_nothing() {
    let mut window = Window::default();
    window.cut(ROUND, at(1));
    assert_eq!(window.size(), u32::MAX);
}

#[test]
fn it_starts_at_twice_the_share() {
    assert_eq!(bounded(5, 40).size(), 10);
    assert_eq!(bounded(5, 7).size(), 7);
}

#[test]
fn it_grows_by_one_with_each_round_of_calls() {
    let mut window = bounded(5, 40);
    for _ in 0..11 {
        window.grow(10);
    }
    assert_eq!(window.size(), 11);
}

/// An entry at rest opens all its connections to a leaf at the first burst.
/// Its calls all end in time and the window grew with each, although never
/// more than one was under way.
#[test]
fn a_window_that_is_not_used_does_not_grow() {
    let mut window = bounded(5, 40);
    for _ in 0..1000 {
        window.grow(1);
    }
    assert_eq!(window.size(), 10);
}

/// A single pause of a leaf makes all calls late that are under way there.
/// Counted one by one they would bring any window to its least.
#[test]
fn calls_that_were_sent_together_cut_once() {
    let mut window = bounded(5, 40);
    for ms in 0..10 {
        window.cut(ROUND, at(100 + ms));
    }
    assert_eq!(window.size(), 8);
    window.cut(ROUND, at(131));
    assert_eq!(window.size(), 6);
}

#[test]
fn it_never_falls_below_the_share_of_the_slots() {
    let mut window = bounded(5, 40);
    for round in 1..100 {
        window.cut(ROUND, at(round * 31));
    }
    assert_eq!(window.size(), 5);
}

/// A table with one back end whose window is bounded, and a class of calls that
/// take 10 ms.
fn table(goal: Option<Duration>) -> (Table, Class, Ix) {
    let mut table = Table::new(TableConfig::default());
    let class = table.add_class();
    if let Some(goal) = goal {
        table.set_goal(class, goal);
    }
    let leaf = Backend::Leaf(LeafId::new("l0").unwrap());
    let ix = table.add(leaf, 5, Time::ZERO);
    for ms in 0..64 {
        answer(&mut table, class, ix, Duration::from_millis(10), at(ms));
    }
    table.set_bounds(ix, Bounds { least: 1, most: 40 });
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
fn a_back_end_has_room_until_its_window_is_full() {
    let (mut table, class, ix) = table(None);
    assert_eq!((table.window(ix), table.has_room(ix)), (2, false));
    table.answered_in(class, ix, Duration::from_millis(10), at(100));
    assert!(table.has_room(ix));
}

/// Answers come long after callers wanted them, and no window shrinks.
/// All back ends of a service are overloaded alike, so that what is late looks
/// usual. A call that takes over half of the goal is late whatever is usual.
#[rstest]
#[case::usual(Duration::from_millis(15), None, 3)]
#[case::three_medians(Duration::from_millis(35), None, 1)]
#[case::half_of_the_goal(Duration::from_millis(15), Some(Duration::from_millis(20)), 1)]
fn late_calls_cut_the_window(
    #[case] span: Duration,
    #[case] goal: Option<Duration>,
    #[case] size: u32,
) {
    let (mut table, class, ix) = table(goal);
    for n in 0..4 {
        answer(&mut table, class, ix, span, at(200 + n));
    }
    assert_eq!(table.window(ix), size);
}

#[test]
fn a_call_that_was_shed_cuts_the_window() {
    let (mut table, _, ix) = table(None);
    table.failed(ix, Failure::Refused(Refusal::Shed), at(100));
    assert_eq!(table.window(ix), 1);
}

/// A leaf that is as good as any gets a single call at a time.
/// Its connections were used up here; that says nothing of the leaf.
#[test]
fn a_call_that_found_no_connection_leaves_the_window() {
    let (mut table, _, ix) = table(None);
    table.failed(ix, Failure::Refused(Refusal::Connections), at(100));
    assert_eq!(table.window(ix), 2);
}
