//! What callers get when shards have less room than requests need.

mod world;

use std::time::Duration;

use chestnut_book::Kind;
use chestnut_relay::{Declined, Relay, Reply};
use chestnut_unit::Run;
use futures::future::join_all;
use tokio::time::{Instant, sleep};
use world::{Manner, Stage, ask, book, gather, missing, rule};

const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];
/// The goal of the rules.
const GOAL: Duration = Duration::from_millis(200);
/// Four round trips of 6 ms: to ask where to connect, to connect, to be served.
const CALLER_TRIP: Duration = Duration::from_millis(24);

/// Four shards, each with leafs of five slots. The last shard has one leaf
/// left, whose calls take `ms`; the others have room for everything.
fn one_scarce_shard(least: u16, ms: u64) -> Stage {
    let stage = Stage::default();
    for shard in &SHARDS[..3] {
        stage.add_leafs(shard, 3, 10);
    }
    let scarce = stage.add_leafs("s4", 1, ms);
    stage.leafs.set_slots(&scarce[0], 5);
    let target = gather(&SHARDS, least);
    stage
        .store
        .put_book(book(1, vec![rule("/q/", Kind::Idempotent, target)]));
    stage
}

/// A reply and the time that it took.
type Timed = (Reply, Duration);

/// Sends `count` requests, one each `gap`.
async fn send(relay: &Relay, count: u32, gap: Duration) -> Vec<Timed> {
    let ids: Vec<String> = (0..count).map(|n| format!("r{n}")).collect();
    let requests = (0..count).zip(&ids).map(|(n, id)| async move {
        sleep(gap * n).await;
        let start = Instant::now();
        let reply = relay.forward(ask(id, "/q/x")).await;
        (reply, start.elapsed())
    });
    join_all(requests).await
}

fn refused(reply: &Reply) -> Option<Declined> {
    match reply {
        Reply::Declined(declined) => Some(*declined),
        _ => None,
    }
}

/// Callers get failures that promise nothing, within a millisecond, and the
/// leafs that have room run calls for nothing.
/// One shard has a single leaf left, with all connections that this entry may
/// open there in use. The first call of each further request failed, and with
/// it the request, after the calls to all other shards had been sent. Now such
/// a request waits for room before its first call, or is told truly that
/// nothing ran.
#[tokio::test(start_paused = true)]
async fn what_lacks_room_makes_no_call() {
    let stage = one_scarce_shard(1000, 40);
    let relay = stage.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    // Twice as much as the scarce leaf can do.
    let replies = send(&relay, 250, Duration::from_millis(4)).await;
    let served = replies.iter().filter(|(reply, _)| missing(reply).is_some());
    let served = served.count();
    for (reply, span) in &replies {
        match refused(reply) {
            Some(declined) => {
                assert_eq!(declined.run, Run::NotRun);
                assert!(declined.after.is_some());
                assert!(*span <= GOAL / 2, "held for {span:?}");
            }
            None => assert!(*span <= GOAL, "late by {span:?}"),
        }
    }
    assert!(served >= 110, "{served} of the 125 that the leaf can do");
    let got = stage.leafs.got();
    let elsewhere = got
        .iter()
        .filter(|got| !got.leaf.as_str().starts_with("s4"));
    assert_eq!(elsewhere.count(), served * 3);
}

/// Callers are refused after a wait that could not end well.
/// More requests come at once than the scarce leaf can do within the time that
/// they may wait. Those beyond are refused at once, while there is time to
/// come back.
#[tokio::test(start_paused = true)]
async fn what_would_wait_too_long_is_refused_at_once() {
    let stage = one_scarce_shard(1000, 40);
    let relay = stage.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    // Enough to learn what calls take.
    send(&relay, 40, Duration::from_millis(20)).await;
    let replies = send(&relay, 200, Duration::ZERO).await;
    let at_once = replies.iter().filter(|(reply, span)| {
        let unrun = refused(reply).is_some_and(|declined| declined.run == Run::NotRun);
        unrun && *span < Duration::from_millis(5)
    });
    assert!(at_once.count() >= 150);
}

/// Callers get answers late, or none, though the answer may lack a shard.
/// The scarce shard is the only one without room, and the least share can be
/// reached without it: those that find room there get it, the others are
/// answered without it in time to reach their callers by the goal.
#[tokio::test(start_paused = true)]
async fn a_scarce_shard_is_left_out_where_the_answer_may_lack_it() {
    let stage = one_scarce_shard(750, 40);
    let relay = stage.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    let replies = send(&relay, 250, Duration::from_millis(4)).await;
    assert!(replies.iter().all(|(_, span)| *span <= GOAL - CALLER_TRIP));
    let with = |n| replies.iter().filter(move |(r, _)| missing(r) == Some(n));
    assert_eq!(with(0).count() + with(1).count(), 250);
    assert!(with(0).count() >= 110, "{} whole", with(0).count());
}

/// Every request over a shard fails while its leafs shed, and what the other
/// shards did is thrown away.
/// The budget of extra calls is used up, so a shed call could not be made
/// again and its request was given up at once. It waits for the budget until
/// the goal instead.
#[tokio::test(start_paused = true)]
async fn a_shard_that_was_shed_waits_for_the_budget() {
    let stage = Stage::default();
    for shard in SHARDS {
        stage.add_leafs(shard, 1, 10);
    }
    let shedding = stage.add_leafs("s4", 1, 10);
    let target = gather(&SHARDS, 1000);
    stage
        .store
        .put_book(book(1, vec![rule("/q/", Kind::Idempotent, target)]));
    let relay = stage.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    stage.leafs.set(&shedding[0], Manner::Full);
    // Uses the budget up.
    send(&relay, 60, Duration::from_millis(2)).await;
    let last = send(&relay, 1, Duration::ZERO);
    let mend = async {
        sleep(Duration::from_millis(60)).await;
        stage.add_leafs("s4", 1, 10);
    };
    let (replies, ()) = tokio::join!(last, mend);
    assert_eq!(missing(&replies[0].0), Some(0));
    assert!(replies[0].1 <= GOAL, "{:?}", replies[0].1);
}

/// Callers are refused although all of them could get an answer that lacks one
/// shard of two.
/// Each scarce shard has room for three quarters of the requests, and each
/// request needs one of them. Those that came first waited for both, and took
/// both; what they could do without is left to those that have none.
#[tokio::test(start_paused = true)]
async fn what_others_need_is_left_to_them() {
    let stage = Stage::default();
    for shard in &SHARDS[..2] {
        stage.add_leafs(shard, 3, 10);
    }
    for shard in &SHARDS[2..] {
        let scarce = stage.add_leafs(shard, 1, 40);
        stage.leafs.set_slots(&scarce[0], 5);
    }
    let target = gather(&SHARDS, 750);
    stage
        .store
        .put_book(book(1, vec![rule("/q/", Kind::Idempotent, target)]));
    let relay = stage.serving(1).await;
    sleep(Duration::from_secs(1)).await;
    // 167 a second, where each of the two does 125.
    let replies = send(&relay, 500, Duration::from_millis(6)).await;
    let in_time = |(reply, span): &&Timed| missing(reply).is_some() && *span <= GOAL - CALLER_TRIP;
    let served = replies.iter().filter(in_time).count();
    assert!(served >= 490, "{served} of 500");
}
