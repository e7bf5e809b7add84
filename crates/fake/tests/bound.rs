//! The most that any policy could serve.

use chestnut_fake::bound::{ClassShape, Deployment, Shards, Span};
use rstest::rstest;

fn deployment(least: f64, span: Span) -> Deployment {
    let class = ClassShape {
        rate: 100.0,
        work: 10.0,
        goal: 100.0,
        least,
        worth: 1.0,
    };
    Deployment {
        part: 0.2,
        slack: 0.0,
        classes: vec![class],
        spans: vec![span],
    }
}

const SOUND: Shards = Shards {
    count: 10,
    slots: 2.0,
    sound: 3.0,
    faulty: 0.0,
    fails: 0.0,
    slow: 0.0,
    times: 1.0,
};

fn span(shards: Vec<Shards>) -> Span {
    Span {
        name: "s".to_owned(),
        length: 2.0,
        dark: 0.0,
        load: 1.0,
        shards,
    }
}

fn one(count: u32, sound: f64, faulty: f64, fails: f64) -> Shards {
    Shards {
        count,
        sound,
        faulty,
        fails,
        ..SOUND
    }
}

/// What each span allows: sound leafs serve all; without power nothing is served; a
/// shard that is gone can be left out, if the answer may lack it; a sound leaf of 200
/// calls a second has room for all; where all leafs refuse three calls of five, a
/// fifth of extra calls brings 0.48 of the parts, and as much of the answers.
#[rstest]
#[case::sound(0.9, vec![SOUND], 1.0)]
#[case::one_gone(0.9, vec![one(9, 3.0, 0.0, 0.0), one(1, 0.0, 0.0, 0.0)], 0.81)]
#[case::one_needed(1.0, vec![one(9, 3.0, 0.0, 0.0), one(1, 0.0, 0.0, 0.0)], 0.0)]
#[case::one_sound_leaf_each(0.9, vec![one(10, 1.0, 2.0, 0.6)], 1.0)]
#[case::all_refuse(1.0, vec![one(10, 0.0, 3.0, 0.6)], 0.48)]
#[case::half_a_slot(1.0, vec![one(10, 0.25, 0.0, 0.0)], 0.5)]
fn a_span_is_bounded_by_what_its_leafs_can_do(
    #[case] least: f64,
    #[case] shards: Vec<Shards>,
    #[case] expected: f64,
) {
    let rows = deployment(least, span(shards)).bounds();
    assert!((rows[0].bound - expected).abs() < 0.01, "{rows:?}");
}

#[test]
fn what_arrives_without_power_is_lost() {
    let dark = Span {
        dark: 1.5,
        ..span(vec![SOUND])
    };
    let rows = deployment(0.9, dark).bounds();
    assert!((rows[0].bound - 0.25).abs() < 1e-9, "{rows:?}");
}

/// Leafs whose calls take longer than the goal serve nobody in time.
#[test]
fn leafs_that_are_too_slow_count_for_nothing() {
    let slow = |times| Shards {
        sound: 0.0,
        slow: 3.0,
        times,
        ..SOUND
    };
    let bound = |times| deployment(1.0, span(vec![slow(times)])).bounds()[0].bound;
    assert!((bound(5.0) - 1.0).abs() < 1e-9);
    assert!(bound(11.0).abs() < 1e-9);
}
