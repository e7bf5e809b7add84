//! Returning callers among queries that check for capacity at intervals, in virtual time.

mod queue_world;

use chestnut_route::QueueRank;
use queue_world::{Ask, CALL, Done, World, at, ms};

/// Back ends of the only shard.
const REPLICAS: usize = 3;
/// Queries per second of the entry, at one call in each back end.
fn capacity() -> f64 {
    REPLICAS as f64 / CALL.as_secs_f64()
}

/// An entry without an order of queries, with one shard.
fn world() -> World {
    let mut world = World::new(1, REPLICAS, 1);
    (world.ordered, world.bounded) = (false, true);
    world
}

fn ask(returning: bool) -> Ask {
    let ask = Ask::new(at(0), 1, 1);
    let rank = QueueRank {
        returning,
        ..ask.rank
    };
    Ask { rank, ..ask }
}

/// Returns how many of the returning queries, or of the others, there are, and how many of them
/// were refused.
fn counts(world: &World, returning: bool) -> (usize, usize) {
    let kind = |done: &&Done| done.ask.rank.returning == returning;
    let all: Vec<&Done> = world.done.iter().filter(kind).collect();
    let refused = all.iter().filter(|done| done.is_refused()).count();
    (all.len(), refused)
}

/// Guards against callers that come back as told and are refused again like those that come first.
/// Load: first attempts at two and four times the capacity, and returns at four tenths of it.
#[test]
fn returning_callers_are_served_in_a_crowd() {
    for crowd in [2.0, 4.0] {
        let mut world = world();
        world.load(0..4_000, crowd * capacity(), &ask(false));
        world.load(0..4_000, 0.4 * capacity(), &ask(true));
        world.run(at(10_000));
        let (all, refused) = counts(&world, true);
        assert!(refused * 20 <= all, "{refused} of {all} refused, {crowd}");
        // First attempts get the rest of the capacity.
        let (all, refused) = counts(&world, false);
        let served = (all - refused) as f64 / (4.0 * capacity());
        assert!(served >= 0.5, "{served} of the capacity at {crowd}");
    }
}

/// Guards against first attempts that start before a returning caller that waits, and against
/// capacity that is left to it beyond what it needs.
#[test]
fn returning_caller_starts_first() {
    let mut world = world();
    for n in 0..3 {
        world.ask(Ask {
            at: at(n),
            ..ask(false)
        });
    }
    world.ask(Ask {
        at: at(4),
        ..ask(true)
    });
    for n in 5..25 {
        world.ask(Ask {
            at: at(n),
            ..ask(false)
        });
    }
    world.run(at(1_000));
    let returned = world.done.iter().find(|done| done.ask.rank.returning);
    let started = returned.and_then(|done| done.started).unwrap();
    let mut others = world.done.iter().filter(|done| !done.ask.rank.returning);
    let before = |done: &Done| done.ask.at > at(4) && done.started.is_some_and(|at| at < started);
    assert!(!others.any(before));
    let (all, refused) = counts(&world, false);
    assert!(all - refused >= 6, "{refused} of {all} refused");
}

/// Guards against returning callers that are refused because the rate at which capacity is freed is
/// low: a first attempt can come back, they can't. Load: one slow back end, a call of 100 ms.
#[test]
fn returning_caller_waits_for_a_slow_service() {
    for (returning, served) in [(false, 1), (true, 2)] {
        let mut world = World::new(1, 1, 1);
        (world.ordered, world.bounded) = (false, true);
        let slow = world.routes.shards[0].replicas[0];
        world.slowness.insert(slow, 10.0);
        let objective = ms(400);
        for _ in 0..64 {
            world.table.answered(slow, CALL * 10, at(0));
        }
        world.ask(Ask {
            objective,
            ..ask(false)
        });
        world.ask(Ask {
            at: at(1),
            objective,
            ..ask(returning)
        });
        world.run(at(10_000));
        let answered = world.done.iter().filter(|done| !done.is_refused());
        assert_eq!(answered.count(), served, "{returning}");
    }
}

/// Guards against capacity that stays idle for a returning gather which waits for another shard
/// too: first attempts get it.
#[test]
fn returning_gather_holds_no_shard_while_it_lacks_another() {
    let mut world = World::new(2, 1, 1);
    (world.ordered, world.bounded) = (false, true);
    let slow = world.routes.shards[0].replicas[0];
    world.slowness.insert(slow, 10.0);
    let of_shard = |shard: usize| shard..shard + 1;
    world.ask(Ask {
        shards: of_shard(0),
        ..ask(false)
    });
    world.ask(Ask {
        shards: of_shard(1),
        ..ask(false)
    });
    world.ask(Ask {
        at: at(1),
        shards: 0..2,
        ..ask(true)
    });
    world.ask(Ask {
        at: at(20),
        shards: of_shard(1),
        ..ask(false)
    });
    world.run(at(1_000));
    let last = world
        .done
        .iter()
        .find(|done| done.ask.at == at(20))
        .unwrap();
    assert!(
        last.started.is_some_and(|started| started <= at(30)),
        "{last:?}"
    );
}
