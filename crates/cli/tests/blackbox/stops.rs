//! Tests of planned stops and crashes of entries.

use std::time::Duration;

use chestnut_fake::load::{self, LoadConfig, LoadReport};
use chestnut_port::{HttpError, HttpReply};
use nix::sys::signal::Signal;
use serde_json::json;

use crate::cluster::Cluster;

/// Returns the load of callers that first connect to the third entry.
fn load(cluster: &Cluster, seconds: u64) -> LoadConfig {
    LoadConfig {
        seed_entry: cluster.callers(2),
        domain: None,
        rate: 60.0,
        span: Duration::from_secs(seconds),
        organisation: "galway".to_owned(),
        service: "ladder".to_owned(),
        call_types: vec!["standings".to_owned(), "finals".to_owned()],
        deadline: Duration::from_secs(5),
        seed: 7,
        operators: Vec::new(),
    }
}

/// Checks that every request got a complete answer.
fn assert_all_complete(report: &LoadReport) {
    assert_eq!(report.failed, 0, "{report:?}");
    assert!(report.refused.is_empty(), "{report:?}");
    assert_eq!(report.whole, report.sent, "{report:?}");
}

/// Guards against an entry that exits while callers still have its address: their lists
/// of entries must have expired first.
#[tokio::test]
async fn a_planned_stop_under_load_fails_no_request() {
    let mut cluster = Cluster::start().await;
    let sending = tokio::spawn(load::run(load(&cluster, 6), None));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let mut entry = cluster.entries[0].take().unwrap();
    entry.signal(Signal::SIGTERM);
    assert!(entry.exits_cleanly().await);
    assert_all_complete(&sending.await.unwrap().unwrap());
}

/// Sends a query to the first entry whose caller waits for half a minute.
async fn patient_query(cluster: &Cluster) -> Result<HttpReply, HttpError> {
    let wait = Duration::from_secs(30);
    let body = json!({
        "organisation": "galway", "service": "ladder", "call": "finals", "query": {"q": 1},
        "deadline_ms": wait.as_millis() as u64,
    });
    let (to, body) = (cluster.callers(0), body.to_string().into());
    let call = cluster
        .http
        .call("POST".parse().unwrap(), to, "/v1/query", body, wait);
    call.await
}

/// Guards against a query that is cut off without an answer when it takes longer than the stop of its
/// entry: its caller hears that it may have run. One that comes later is refused at once, not run.
#[tokio::test]
async fn a_query_that_outlasts_a_stop_is_answered_at_its_end() {
    let mut cluster = Cluster::start_with("grace = \"1s\"").await;
    cluster
        .set_targets("ladder", "median_ms", json!(25_000))
        .await;
    let mut entry = cluster.entries[0].take().unwrap();
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        entry.signal(Signal::SIGTERM);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let later = patient_query(&cluster).await;
        (later, entry.exits_cleanly().await)
    };
    let (reply, (later, exited)) = tokio::join!(patient_query(&cluster), stop);
    for (reply, run) in [(reply, "partial"), (later, "not_run")] {
        let reply = reply.expect("an answer");
        let body = reply.json();
        assert_eq!(reply.status, 503, "{body}");
        assert_eq!(body["reason"], "not_ready", "{body}");
        assert_eq!(body["run"], run, "{body}");
    }
    assert!(exited);
}

/// Guards against a further SIGTERM that cuts off what still runs.
#[tokio::test]
async fn a_further_signal_cuts_no_query_off() {
    let mut cluster = Cluster::start_with("grace = \"20s\"").await;
    cluster
        .set_targets("ladder", "median_ms", json!(6500))
        .await;
    let mut entry = cluster.entries[0].take().unwrap();
    let stop = async {
        for _ in 0..2 {
            tokio::time::sleep(Duration::from_millis(300)).await;
            entry.signal(Signal::SIGTERM);
        }
        entry.exits_cleanly().await
    };
    let (reply, exited) = tokio::join!(patient_query(&cluster), stop);
    let reply = reply.expect("an answer");
    assert_eq!(reply.status, 200, "{}", reply.json());
    assert!(exited);
}

/// Guards against a request that fails while the entries are restarted one after the
/// other, each when all are ready again.
#[tokio::test]
async fn a_rolling_restart_under_load_fails_no_request() {
    let mut cluster = Cluster::start().await;
    let sending = tokio::spawn(load::run(load(&cluster, 15), None));
    for number in 0..3 {
        let mut entry = cluster.entries[number].take().unwrap();
        let (status, text) = cluster.chestnut(number, &["drain"]).await;
        assert_eq!(status, 0, "{text}");
        assert!(entry.exits_cleanly().await);
        cluster.entries[number] = Some(cluster.spawn_entry(number));
        cluster.all_ready().await;
    }
    assert_all_complete(&sending.await.unwrap().unwrap());
}

/// Guards against a crash of one entry that makes shards missing from answers of the
/// others, and against a crashed entry that stays in the list for callers.
#[tokio::test]
async fn a_crash_leaves_the_other_entries_serving() {
    let mut cluster = Cluster::start().await;
    cluster.entries[0].take().unwrap().signal(Signal::SIGKILL);
    for _ in 0..20 {
        for entry in [1, 2] {
            let body = cluster.query(entry, "finals").await.json();
            assert_eq!(body["coverage"]["complete"], true, "{body}");
        }
    }
    cluster
        .eventually("the list omits the crashed entry", async |c: &Cluster| {
            let list = c.get(c.callers(1), "/v1/entries").await.unwrap();
            list["entries"].as_array().unwrap().len() == 2
        })
        .await;
}
