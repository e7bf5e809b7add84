//! Planned stops and deaths under load.

use std::time::Duration;

use chestnut_fake::load::{self, LoadConfig, LoadReport};
use nix::sys::signal::Signal;

use crate::bench::Bench;

fn load(bench: &Bench, seconds: u64) -> LoadConfig {
    LoadConfig {
        first: bench.callers(2),
        domain: None,
        rate: 60.0,
        span: Duration::from_secs(seconds),
        organisation: "galway".to_owned(),
        service: "ladder".to_owned(),
        calls: vec!["standings".to_owned(), "finals".to_owned()],
        deadline: Duration::from_secs(5),
        seed: 7,
        operators: Vec::new(),
    }
}

fn assert_all_whole(report: &LoadReport) {
    assert_eq!(report.failed, 0, "{report:?}");
    assert!(report.refused.is_empty(), "{report:?}");
    assert_eq!(report.whole, report.sent, "{report:?}");
}

/// Callers see nothing of a planned stop.
/// They keep the list of entries for its ttl and connect there themselves; the
/// entry leaves the list, serves those that still have its address, and ends
/// when their lists have run out.
#[tokio::test]
async fn a_planned_stop_under_load_fails_no_request() {
    let mut bench = Bench::start().await;
    let sending = tokio::spawn(load::run(load(&bench, 6), None));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let mut entry = bench.entries[0].take().unwrap();
    entry.signal(Signal::SIGTERM);
    assert!(entry.ended_well().await);
    assert_all_whole(&sending.await.unwrap().unwrap());
}

/// Callers see nothing of a rolling restart of all entries.
/// Each entry in turn is stopped and started again while the load goes on; the
/// next one is stopped when all serve and know each other again.
#[tokio::test]
async fn a_rolling_restart_under_load_fails_no_request() {
    let mut bench = Bench::start().await;
    let sending = tokio::spawn(load::run(load(&bench, 15), None));
    for number in 0..3 {
        let mut entry = bench.entries[number].take().unwrap();
        let (status, text) = bench.chestnut(number, &["drain"]).await;
        assert_eq!(status, 0, "{text}");
        assert!(entry.ended_well().await);
        bench.entries[number] = Some(bench.spawn_entry(number));
        bench.all_serve().await;
    }
    assert_all_whole(&sending.await.unwrap().unwrap());
}

/// Callers of the other entries see nothing of a death.
#[tokio::test]
async fn a_death_costs_the_other_entries_nothing() {
    let mut bench = Bench::start().await;
    bench.entries[0].take().unwrap().signal(Signal::SIGKILL);
    for _ in 0..20 {
        for entry in [1, 2] {
            let body = bench.query(entry, "finals").await.json();
            assert_eq!(body["coverage"]["complete"], true, "{body}");
        }
    }
    bench
        .eventually("the dead entry is off the list", async |b: &Bench| {
            let list = b.get(b.callers(1), "/v1/entries").await.unwrap();
            list["entries"].as_array().unwrap().len() == 2
        })
        .await;
}
