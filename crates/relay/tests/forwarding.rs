//! What callers get of forwarded requests.

mod world;

use std::time::Duration;

use chestnut_book::{Kind, Target};
use chestnut_relay::{LeafState, Reply, Why};
use chestnut_unit::Run;
use futures::future::join_all;
use rstest::rstest;
use tokio::time::{Instant, sleep, timeout};
use world::{Manner, Stage, ask, book, entry, gather, missing, name, record, rule};

fn one(kind: Kind) -> chestnut_book::RouteBook {
    book(1, vec![rule("/a/", kind, Target::One(name("archive")))])
}

#[tokio::test(start_paused = true)]
async fn a_gather_merges_every_shard() {
    let stage = Stage::default();
    for shard in ["s1", "s2", "s3"] {
        stage.add_leafs(shard, 3, 10);
    }
    let target = gather(&["s1", "s2", "s3"], 900);
    stage
        .store
        .put_book(book(1, vec![rule("/q/", Kind::Idempotent, target)]));
    let relay = stage.serving(1).await;
    let Reply::Merged {
        proofs,
        missing,
        body,
    } = relay.forward(ask("r", "/q/x")).await
    else {
        panic!("no merge");
    };
    assert_eq!((proofs.len(), missing), (3, 0));
    let expected: Vec<u8> = ["s3", "s2", "s1"].map(record).concat();
    assert_eq!(body, expected);
}

/// The caller gets the shards that answered, at the time it wants the answer.
/// Every leaf of one shard takes calls and stays silent; the answer covers the
/// least share without it. Waiting on would make the whole answer late.
#[tokio::test(start_paused = true)]
async fn a_silent_shard_is_left_out_when_the_goal_nears() {
    let stage = Stage::default();
    let shards = ["s1", "s2", "s3", "s4"];
    for shard in shards {
        stage.add_leafs(shard, 2, 10);
    }
    for leaf in stage.add_leafs("s4", 2, 0) {
        stage.leafs.set(&leaf, Manner::Silent);
    }
    let target = gather(&shards, 750);
    stage
        .store
        .put_book(book(1, vec![rule("/q/", Kind::Idempotent, target)]));
    let relay = stage.serving(1).await;
    let start = Instant::now();
    let reply = relay.forward(ask("r", "/q/x")).await;
    assert_eq!(missing(&reply), Some(1));
    let span = start.elapsed();
    assert!(
        span >= Duration::from_millis(150) && span <= Duration::from_millis(200),
        "{span:?}"
    );
}

/// The caller is refused at once, and told truly that nothing ran.
/// Every leaf is full and says so; no other call could have run.
#[tokio::test(start_paused = true)]
async fn full_leafs_make_a_refusal_that_is_not_run() {
    let stage = Stage::default();
    for leaf in stage.add_leafs("archive", 3, 10) {
        stage.leafs.set(&leaf, Manner::Full);
    }
    stage.store.put_book(one(Kind::Once));
    let relay = stage.serving(1).await;
    let start = Instant::now();
    let Reply::Declined(declined) = relay.forward(ask("r", "/a/x")).await else {
        panic!("not declined");
    };
    assert_eq!(declined.run, Run::NotRun);
    assert!(declined.after.is_some());
    assert!(start.elapsed() < Duration::from_millis(50));
}

/// The caller of a request that must run at most once is told that its fate is
/// unknown, and one leaf got it.
/// The leaf ran it and its answer was lost, or it failed it, or it stays
/// silent; only proof that a call did not run allows another.
#[rstest]
#[case::lost(Manner::Loses)]
#[case::silent(Manner::Silent)]
#[case::failed(Manner::Fails)]
#[tokio::test(start_paused = true)]
async fn what_may_have_run_is_not_sent_again(#[case] manner: Manner) {
    let stage = Stage::default();
    for leaf in stage.add_leafs("archive", 3, 10) {
        stage.leafs.set(&leaf, manner.clone());
    }
    stage.store.put_book(one(Kind::Once));
    let relay = stage.serving(1).await;
    let reply = relay.forward(ask("r", "/a/x")).await;
    assert_eq!(stage.leafs.got().len(), 1);
    match reply {
        Reply::Declined(declined) => assert_eq!(declined.run, Run::Unknown),
        Reply::Whole(reply) => assert_eq!(reply.answer.status(), 500),
        Reply::Merged { .. } => panic!("not a gather"),
    }
}

/// The caller gets its answer though the first leaf refused: a refusal is
/// proof, so another leaf may be asked even of what must run at most once.
#[tokio::test(start_paused = true)]
async fn a_refused_call_goes_to_another_leaf() {
    let stage = Stage::default();
    let leafs = stage.add_leafs("archive", 3, 10);
    stage.leafs.set(&leafs[0], Manner::Full);
    stage.leafs.set(&leafs[1], Manner::Full);
    stage.store.put_book(one(Kind::Once));
    let relay = stage.serving(1).await;
    // Refusals are paid for as extra calls: first calls earn them.
    let mut answered = 0;
    for _ in 0..60 {
        answered += usize::from(matches!(
            relay.forward(ask("r", "/a/x")).await,
            Reply::Whole(_)
        ));
    }
    assert!(answered >= 50, "{answered}");
}

/// The caller of an idempotent request gets an answer though a leaf is silent.
/// No more leafs than the rule's attempts may have run it.
#[tokio::test(start_paused = true)]
async fn a_silent_leaf_is_hedged_within_the_attempts() {
    let stage = Stage::default();
    let leafs = stage.add_leafs("archive", 3, 10);
    stage.store.put_book(one(Kind::Idempotent));
    let relay = stage.serving(1).await;
    for _ in 0..60 {
        relay.forward(ask("warm", "/a/x")).await;
    }
    stage.leafs.set(&leafs[0], Manner::Silent);
    for n in 0..40 {
        let id = format!("r{n}");
        let reply = timeout(Duration::from_millis(500), relay.forward(ask(&id, "/a/x"))).await;
        assert!(matches!(reply, Ok(Reply::Whole(_))), "{id}");
        let got = stage.leafs.got();
        let calls = got.iter().filter(|got| got.request == id).count();
        assert!(calls <= 2, "{id}: {calls} leafs");
    }
}

/// A caller that hangs up costs the leafs nothing more: its calls are given
/// up at once.
#[tokio::test(start_paused = true)]
async fn calls_of_a_caller_that_left_are_given_up() {
    let stage = Stage::default();
    for leaf in stage.add_leafs("archive", 1, 10) {
        stage.leafs.set(&leaf, Manner::Silent);
    }
    stage.store.put_book(one(Kind::Idempotent));
    let relay = stage.serving(1).await;
    let left = timeout(Duration::from_millis(30), relay.forward(ask("r", "/a/x"))).await;
    assert!(left.is_err());
    assert_eq!(stage.leafs.cancelled(), 1);
    assert_eq!(relay.in_flight(), 0);
}

/// The caller is answered at the route's timeout though it would wait longer,
/// and leafs are never handed more time than is left.
#[tokio::test(start_paused = true)]
async fn nobody_waits_past_the_timeout_of_the_rule() {
    let stage = Stage::default();
    for leaf in stage.add_leafs("archive", 1, 10) {
        stage.leafs.set(&leaf, Manner::Silent);
    }
    let mut rule = rule("/a/", Kind::Idempotent, Target::One(name("archive")));
    rule.timeout = Duration::from_millis(700);
    stage.store.put_book(book(1, vec![rule]));
    let relay = stage.serving(1).await;
    let start = Instant::now();
    let Reply::Declined(declined) = relay.forward(ask("r", "/a/x")).await else {
        panic!("answered");
    };
    assert_eq!((declined.why, declined.run), (Why::Timeout, Run::Unknown));
    assert!(start.elapsed() <= Duration::from_millis(701));
    assert!(stage.leafs.got()[0].left <= Duration::from_millis(700));
}

/// Leafs get no more extra calls than the budget allows, however bad things
/// are: a share of first calls, and this entry's part of the slack.
#[tokio::test(start_paused = true)]
async fn extra_calls_stay_within_the_budget() {
    let stage = Stage::default();
    for leaf in stage.add_leafs("archive", 3, 10) {
        stage.leafs.set(&leaf, Manner::Loses);
    }
    stage.store.put_book(one(Kind::Idempotent));
    let relay = stage.serving(1).await;
    let requests = 500;
    for n in 0..requests {
        relay.forward(ask(&format!("r{n}"), "/a/x")).await;
    }
    let extra = stage.leafs.got().len() - requests;
    assert!(extra <= requests / 5 + 52, "{extra}");
    assert!(
        extra >= requests / 10,
        "{extra}: the budget is there to be used"
    );
}

/// Requests of a split keep to its weights within a few in a hundred.
#[tokio::test(start_paused = true)]
async fn a_split_keeps_its_weights() {
    let stage = Stage::default();
    stage.add_leafs("old", 2, 5);
    stage.add_leafs("new", 2, 5);
    let target = Target::Split(vec![(name("old"), 70), (name("new"), 30)]);
    stage
        .store
        .put_book(book(1, vec![rule("/a/", Kind::Idempotent, target)]));
    let relay = stage.serving(1).await;
    for n in 0..300 {
        relay.forward(ask(&format!("r{n}"), "/a/x")).await;
    }
    let new = stage
        .leafs
        .got()
        .iter()
        .filter(|got| got.leaf.as_str().starts_with("new"))
        .count();
    assert!((87..=93).contains(&new), "{new}");
}

#[tokio::test(start_paused = true)]
async fn an_unknown_path_is_told_from_an_entry_that_starts() {
    let stage = Stage::default();
    let starting = stage.spawn(2).await;
    let Reply::Declined(declined) = starting.forward(ask("r", "/a/x")).await else {
        panic!("answered");
    };
    assert_eq!((declined.why, declined.run), (Why::NotReady, Run::NotRun));
    stage.add_leafs("archive", 1, 10);
    stage.store.put_book(one(Kind::Idempotent));
    let relay = stage.serving(1).await;
    let Reply::Declined(declined) = relay.forward(ask("r", "/b/x")).await else {
        panic!("answered");
    };
    assert_eq!(declined.why, Why::NoRule);
    sleep(Duration::from_millis(1)).await;
    assert!(
        matches!(relay.forward(ask("r", "/a/x")).await, Reply::Whole(r) if r.answer.body() == &record("archive"))
    );
}

/// Callers are answered although one leaf refuses most calls at once.
/// Its refusals are its fastest answers, so by latency alone it would look the
/// best; the share of calls that it fails tells it from the others, and it gets
/// few of them.
#[tokio::test(start_paused = true)]
async fn a_leaf_that_refuses_gets_few_calls() {
    let stage = Stage::default();
    let leafs = stage.add_leafs("archive", 3, 20);
    stage.leafs.set(&leafs[0], Manner::Full);
    stage.store.put_book(one(Kind::Idempotent));
    let relay = stage.serving(1).await;
    let ids: Vec<String> = (0..300).map(|n| format!("r{n}")).collect();
    for group in ids.chunks(3) {
        join_all(group.iter().map(|id| relay.forward(ask(id, "/a/x")))).await;
    }
    let got = stage.leafs.got();
    let refused = got.iter().filter(|got| got.leaf == leafs[0]).count();
    assert!(refused <= 60, "{refused} of {} calls", got.len());
}

/// Callers don't wait for a shard of which every leaf has gone dark.
/// The first queries wait for it until the goal nears. Once no leaf of it has
/// answered for longer than a pause lasts, the answer goes out as soon as the
/// other shards are in; and when one leaf is back, so is the shard.
#[tokio::test(start_paused = true)]
async fn a_dark_shard_holds_up_nobody() {
    let stage = Stage::default();
    let shards = ["s1", "s2", "s3", "s4"];
    for shard in shards {
        stage.add_leafs(shard, 2, 10);
    }
    let target = gather(&shards, 750);
    let book = book(1, vec![rule("/q/", Kind::Idempotent, target)]);
    stage.store.put_book(book);
    let relay = stage.serving(1).await;
    for n in 0..40 {
        relay.forward(ask(&format!("warm{n}"), "/q/x")).await;
    }
    let dark = stage.add_leafs("s4", 2, 10);
    for leaf in &dark {
        stage.leafs.set(leaf, Manner::Silent);
    }
    for n in 0..10 {
        relay.forward(ask(&format!("dark{n}"), "/q/x")).await;
    }
    let start = Instant::now();
    let reply = relay.forward(ask("r", "/q/x")).await;
    assert_eq!(missing(&reply), Some(1));
    assert!(
        start.elapsed() <= Duration::from_millis(20),
        "{:?}",
        start.elapsed()
    );
    let answers = Manner::Answers(Duration::from_millis(5), record("s4"));
    stage.leafs.set(&dark[0], answers.clone());
    stage.leafs.set(&dark[1], answers);
    for n in 0..10 {
        relay.forward(ask(&format!("back{n}"), "/q/x")).await;
    }
    assert_eq!(missing(&relay.forward(ask("whole", "/q/x")).await), Some(0));
}

/// The answer of a slow route comes by its goal though the first leaf hangs.
/// A delay of several usual calls would put the hedge so late that its answer
/// misses the goal; it is brought forward so that it can make it.
#[tokio::test(start_paused = true)]
async fn hedges_of_slow_calls_are_sent_in_time_for_the_goal() {
    let stage = Stage::default();
    let leafs = stage.add_leafs("archive", 2, 220);
    let mut slow = rule("/a/", Kind::Idempotent, Target::One(name("archive")));
    slow.goal = Duration::from_millis(600);
    slow.timeout = Duration::from_secs(8);
    stage.store.put_book(book(1, vec![slow]));
    let relay = stage.serving(1).await;
    for n in 0..60 {
        // One call in ten takes long, so that lateness is judged with slack.
        let span = Duration::from_millis(if n % 10 == 0 { 600 } else { 220 });
        for leaf in &leafs {
            stage
                .leafs
                .set(leaf, Manner::Answers(span, record("archive")));
        }
        relay.forward(ask(&format!("warm{n}"), "/a/x")).await;
    }
    stage.leafs.set(&leafs[0], Manner::Silent);
    for n in 0..10 {
        let start = Instant::now();
        relay.forward(ask(&format!("r{n}"), "/a/x")).await;
        assert!(
            start.elapsed() <= Duration::from_millis(600),
            "{:?}",
            start.elapsed()
        );
    }
}

/// The caller is refused at once, told that nothing ran, and when to return.
/// Too many shards have no leaf at all for the least share. Asking the others
/// would cost them work that no answer can use.
#[tokio::test(start_paused = true)]
async fn what_cannot_reach_the_least_share_is_not_started() {
    let stage = Stage::default();
    stage.add_leafs("s1", 2, 10);
    let target = gather(&["s1", "s2", "s3"], 900);
    stage
        .store
        .put_book(book(1, vec![rule("/q/", Kind::Idempotent, target)]));
    let relay = stage.serving(1).await;
    let Reply::Declined(declined) = relay.forward(ask("r", "/q/x")).await else {
        panic!("answered");
    };
    assert_eq!(declined.run, Run::NotRun);
    assert!(declined.after.is_some());
    assert_eq!(stage.leafs.got().len(), 0);
}

/// Callers are answered while all leafs of a service are leaving: those go on
/// serving for a while. Afterwards no leaf that left gets a call.
#[tokio::test(start_paused = true)]
async fn leafs_that_leave_serve_where_no_other_can() {
    let stage = Stage::default();
    let leafs = stage.add_leafs("archive", 2, 10);
    stage.store.put_book(one(Kind::Idempotent));
    let relay = stage.serving(1).await;
    for leaf in &leafs {
        stage
            .store
            .put_leaf(leaf, entry("archive", LeafState::Draining));
    }
    sleep(Duration::from_millis(600)).await;
    assert!(matches!(
        relay.forward(ask("r", "/a/x")).await,
        Reply::Whole(_)
    ));
    sleep(Duration::from_millis(2000)).await;
    let late = Instant::now();
    assert!(matches!(
        relay.forward(ask("r", "/a/x")).await,
        Reply::Declined(_)
    ));
    assert!(stage.leafs.got().iter().all(|got| got.at < late));
}
