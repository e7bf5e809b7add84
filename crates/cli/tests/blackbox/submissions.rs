//! Tests of submissions with tickets. The keeper of a ticket is the entry that issued it
//! and stores the outcome.

use nix::sys::signal::Signal;
use serde_json::json;

use crate::cluster::Cluster;

/// Guards against a repeated submission that runs twice, and against a ticket that is
/// accepted for a second submission.
#[tokio::test]
async fn a_submission_repeated_at_another_entry_takes_effect_once() {
    let cluster = Cluster::start().await;
    let ticket = cluster.ticket(0).await;
    let first = cluster.submit(1, &ticket, "score-1").await;
    assert_eq!(first["outcome"], "done", "{first}");
    for entry in 0..3 {
        let again = cluster.submit(entry, &ticket, "score-1").await;
        assert_eq!(again["outcome"], "done", "{again}");
        assert_eq!(again["answer"], first["answer"]);
    }
    assert_eq!(cluster.applied("score-1").await, 1);
    let other = cluster.submit(2, &ticket, "score-2").await;
    assert_eq!(other["reason"], "bad_ticket", "{other}");
    assert_eq!(other["run"], "not_run");
    assert_eq!(cluster.applied("score-2").await, 0);
}

/// Guards against a keeper that sends a submission again after the answer of the leaf was
/// lost: the leaf may have applied it.
#[tokio::test]
async fn a_submission_whose_answer_is_lost_is_unknown_and_not_repeated() {
    let cluster = Cluster::start().await;
    cluster
        .set_targets("scorecard", "lose_answers", json!(true))
        .await;
    let ticket = cluster.ticket(0).await;
    for entry in [0, 1, 2, 0] {
        let reply = cluster.submit(entry, &ticket, "lost").await;
        assert_eq!(reply["run"], "unknown", "{reply}");
    }
    assert_eq!(cluster.applied("lost").await, 1);
}

/// Guards against a repeat that is sent to a leaf after the keeper has crashed: its record
/// of the outcome is lost, so the reply must be "unknown".
#[tokio::test]
async fn a_crashed_keeper_leaves_its_tickets_unknown() {
    let mut cluster = Cluster::start().await;
    let ticket = cluster.ticket(0).await;
    let done = cluster.submit(1, &ticket, "once").await;
    assert_eq!(done["outcome"], "done", "{done}");
    cluster.entries[0].take().unwrap().signal(Signal::SIGKILL);
    let repeat = cluster.submit(1, &ticket, "once").await;
    assert_eq!(repeat["run"], "unknown", "{repeat}");
    cluster.entries[0] = Some(cluster.spawn_entry(0));
    cluster.all_ready().await;
    for entry in 0..3 {
        let repeat = cluster.submit(entry, &ticket, "once").await;
        assert_eq!(repeat["run"], "unknown", "{repeat}");
    }
    assert_eq!(cluster.applied("once").await, 1);
}

/// Guards against an entry that dispatches a submission in place of a suspended keeper,
/// which may still dispatch it when it resumes.
#[tokio::test]
async fn a_suspended_keeper_that_resumes_dispatches_at_most_once() {
    let cluster = Cluster::start().await;
    let ticket = cluster.ticket(0).await;
    let keeper = cluster.entries[0].as_ref().unwrap();
    keeper.suspend().await;
    let first = cluster.submit(1, &ticket, "frozen").await;
    assert_eq!(first["run"], "unknown", "{first}");
    keeper.signal(Signal::SIGCONT);
    for entry in [1, 2, 0, 1] {
        cluster.submit(entry, &ticket, "frozen").await;
    }
    assert!(cluster.applied("frozen").await <= 1);
}

/// Guards against a keeper that exits without handing its tickets, used and unused, to a
/// successor.
#[tokio::test]
async fn a_planned_stop_keeps_all_tickets() {
    let mut cluster = Cluster::start().await;
    let used = cluster.ticket(0).await;
    let unused = cluster.ticket(0).await;
    let done = cluster.submit(1, &used, "used").await;
    assert_eq!(done["outcome"], "done", "{done}");
    let mut keeper = cluster.entries[0].take().unwrap();
    keeper.signal(Signal::SIGTERM);
    assert!(keeper.exits_cleanly().await);
    for entry in [1, 2] {
        let repeat = cluster.submit(entry, &used, "used").await;
        assert_eq!(repeat["outcome"], "done", "{repeat}");
        assert_eq!(repeat["answer"], done["answer"]);
        let first = cluster.submit(entry, &unused, "unused").await;
        assert_eq!(first["outcome"], "done", "{first}");
    }
    assert_eq!(cluster.applied("used").await, 1);
    assert_eq!(cluster.applied("unused").await, 1);
}
