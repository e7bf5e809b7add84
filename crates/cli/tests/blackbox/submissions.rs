//! Submissions with tickets, over separate processes.

use nix::sys::signal::Signal;
use serde_json::json;

use crate::bench::Bench;

#[tokio::test]
async fn a_submission_repeated_at_another_entry_takes_effect_once() {
    let bench = Bench::start().await;
    let ticket = bench.ticket(0).await;
    let first = bench.submit(1, &ticket, "score-1").await;
    assert_eq!(first["outcome"], "done", "{first}");
    for entry in 0..3 {
        let again = bench.submit(entry, &ticket, "score-1").await;
        assert_eq!(again["outcome"], "done", "{again}");
        assert_eq!(again["answer"], first["answer"]);
    }
    assert_eq!(bench.applied("score-1").await, 1);
    let other = bench.submit(2, &ticket, "score-2").await;
    assert_eq!(other["reason"], "bad_ticket", "{other}");
    assert_eq!(other["run"], "not_run");
    assert_eq!(bench.applied("score-2").await, 0);
}

/// The caller gets no answer and repeats; the score counts once.
/// The leaf applies the submission and its answer is lost; the caller's
/// deadline passes and it asks again, here and elsewhere.
/// The keeper knows that it sent the submission, so it does not send it again.
#[tokio::test]
async fn a_lost_answer_is_told_as_unknown_and_never_sent_again() {
    let bench = Bench::start().await;
    bench
        .set_targets("scorecard", "lose_answers", json!(true))
        .await;
    let ticket = bench.ticket(0).await;
    for entry in [0, 1, 2, 0] {
        let reply = bench.submit(entry, &ticket, "lost").await;
        assert_eq!(reply["run"], "unknown", "{reply}");
    }
    assert_eq!(bench.applied("lost").await, 1);
}

/// The caller repeats its submission after the keeper of its ticket died.
/// The score was done; the entry that kept the ticket is killed; the repeat
/// goes to another entry, which can't know and says so.
/// The memory is gone with the process, so nobody may send it again.
#[tokio::test]
async fn a_dead_keeper_leaves_its_tickets_unknown() {
    let mut bench = Bench::start().await;
    let ticket = bench.ticket(0).await;
    let done = bench.submit(1, &ticket, "once").await;
    assert_eq!(done["outcome"], "done", "{done}");
    bench.entries[0].take().unwrap().signal(Signal::SIGKILL);
    let repeat = bench.submit(1, &ticket, "once").await;
    assert_eq!(repeat["run"], "unknown", "{repeat}");
    bench.entries[0] = Some(bench.spawn_entry(0));
    bench.all_serve().await;
    for entry in 0..3 {
        let repeat = bench.submit(entry, &ticket, "once").await;
        assert_eq!(repeat["run"], "unknown", "{repeat}");
    }
    assert_eq!(bench.applied("once").await, 1);
}

/// The caller's submission meets a keeper that is frozen, then wakes.
/// The keeper stops answering; the entry that passed the submission on tells
/// "unknown" when the deadline passes; the keeper wakes and may dispatch.
/// Only the keeper can dispatch, so the score counts at most once.
#[tokio::test]
async fn a_frozen_keeper_that_wakes_dispatches_at_most_once() {
    let bench = Bench::start().await;
    let ticket = bench.ticket(0).await;
    let keeper = bench.entries[0].as_ref().unwrap();
    keeper.freeze().await;
    let first = bench.submit(1, &ticket, "frozen").await;
    assert_eq!(first["run"], "unknown", "{first}");
    keeper.signal(Signal::SIGCONT);
    for entry in [1, 2, 0, 1] {
        bench.submit(entry, &ticket, "frozen").await;
    }
    assert!(bench.applied("frozen").await <= 1);
}

/// The caller repeats its submission after a planned stop of the keeper.
/// The keeper hands its tickets to a successor before it ends, so the repeat
/// gets the first outcome, and an unused ticket is still good.
#[tokio::test]
async fn a_planned_stop_costs_no_ticket() {
    let mut bench = Bench::start().await;
    let used = bench.ticket(0).await;
    let unused = bench.ticket(0).await;
    let done = bench.submit(1, &used, "used").await;
    assert_eq!(done["outcome"], "done", "{done}");
    let mut keeper = bench.entries[0].take().unwrap();
    keeper.signal(Signal::SIGTERM);
    assert!(keeper.ended_well().await);
    for entry in [1, 2] {
        let repeat = bench.submit(entry, &used, "used").await;
        assert_eq!(repeat["outcome"], "done", "{repeat}");
        assert_eq!(repeat["answer"], done["answer"]);
        let first = bench.submit(entry, &unused, "unused").await;
        assert_eq!(first["outcome"], "done", "{first}");
    }
    assert_eq!(bench.applied("used").await, 1);
    assert_eq!(bench.applied("unused").await, 1);
}
