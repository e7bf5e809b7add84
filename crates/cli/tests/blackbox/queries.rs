//! Queries and refusals.

use nix::sys::signal::Signal;
use serde_json::json;

use crate::bench::Bench;

#[tokio::test]
async fn a_query_at_any_entry_covers_every_shard_from_one_snapshot() {
    let bench = Bench::start().await;
    for entry in 0..3 {
        let reply = bench.query(entry, "finals").await;
        let body = reply.json();
        assert_eq!(reply.status, 200, "{body}");
        assert_eq!(body["coverage"]["asked"], 10);
        assert_eq!(body["coverage"]["complete"], true);
        let rows = body["rows"].as_array().unwrap();
        assert_eq!(rows.len(), 10);
        assert!(
            rows.iter()
                .all(|row| row["version"] == body["snapshot"]["version"])
        );
    }
}

/// The caller sees that one shard is missing and why, at once.
/// All three leafs of a shard refuse; the template takes whole answers only.
/// No replica is left to try, so the answer does not wait for its deadline,
/// and what was run of it is told as partial.
#[tokio::test]
async fn a_lost_shard_is_refused_and_explained() {
    let bench = Bench::start().await;
    for leaf in bench.world.leafs().into_iter().take(3) {
        let mut config = bench.get(leaf.address, "/control/config").await.unwrap();
        config["shards"] = json!({});
        bench.put(leaf.address, "/control/config", config).await;
    }
    let reply = bench.query(1, "finals").await;
    let body = reply.json();
    assert_eq!(reply.status, 503, "{body}");
    assert_eq!(body["reason"], "incomplete");
    assert_eq!(body["run"], "partial");
    assert!(reply.headers.contains_key("retry-after"));
    let receipt = body["receipt"].as_str().unwrap();
    let (status, text) = bench.chestnut(2, &["why", receipt]).await;
    assert_eq!(status, 0, "{text}");
    assert!(text.contains("incomplete"), "{text}");
    assert!(text.contains("galway"), "{text}");
}

/// The caller asks "why?" after the entry that refused is dead.
/// The receipt tells the truth at once at any other entry; the record with the
/// detail was in the platform before the entry died.
#[tokio::test]
async fn a_refusal_is_explained_after_its_entry_died() {
    let mut bench = Bench::start().await;
    let body = json!({ "organisation": "nobody", "service": "ladder", "call": "finals" });
    let reply = bench.post(bench.callers(0), "/v1/query", body).await;
    assert_eq!(reply.status, 404);
    let body = reply.json();
    assert_eq!(body["run"], "not_run");
    let receipt = body["receipt"].as_str().unwrap().to_owned();
    bench
        .eventually("the record is in the platform", async |b: &Bench| {
            let why = b.get(b.operators(1), &format!("/why/{receipt}")).await;
            why.unwrap()["record"] == "platform"
        })
        .await;
    bench.entries[0].take().unwrap().signal(Signal::SIGKILL);
    let (status, text) = bench.chestnut(1, &["why", &receipt]).await;
    assert_eq!(status, 0, "{text}");
    assert!(text.contains("unknown_organisation"), "{text}");
    assert!(text.contains("no organisation nobody"), "{text}");
    let (status, text) = bench.chestnut(1, &["why", "AQIAforged"]).await;
    assert_eq!(status, 1, "{text}");
}
