//! Tests of planned stops and crashes of entries.

use std::time::Duration;

use chestnut_fake::load::{self, LoadConfig, LoadReport};
use nix::sys::signal::Signal;

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
