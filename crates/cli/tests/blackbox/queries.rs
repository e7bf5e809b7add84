//! Tests of queries and of the explanations of refusals.

use nix::sys::signal::Signal;
use serde_json::json;

use crate::cluster::Cluster;

/// Guards against an answer that lacks a shard or mixes rows of several snapshots.
#[tokio::test]
async fn a_query_at_any_entry_covers_every_shard_from_one_snapshot() {
    let cluster = Cluster::start().await;
    for entry in 0..3 {
        let reply = cluster.query(entry, "finals").await;
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

/// Guards against an answer that hides a missing shard: if all three leafs of a shard
/// refuse, a query that needs the whole answer is refused, and reported as partly run.
#[tokio::test]
async fn a_query_that_misses_a_shard_is_refused_and_explained() {
    let cluster = Cluster::start().await;
    for leaf in cluster.spec.leafs().into_iter().take(3) {
        let mut config = cluster.get(leaf.address, "/control/config").await.unwrap();
        config["shards"] = json!({});
        cluster.put(leaf.address, "/control/config", config).await;
    }
    let reply = cluster.query(1, "finals").await;
    let body = reply.json();
    assert_eq!(reply.status, 503, "{body}");
    assert_eq!(body["reason"], "incomplete");
    assert_eq!(body["run"], "partial");
    assert!(reply.headers.contains_key("retry-after"));
    let receipt = body["receipt"].as_str().unwrap();
    let (status, text) = cluster.chestnut(2, &["why", receipt]).await;
    assert_eq!(status, 0, "{text}");
    assert!(text.contains("incomplete"), "{text}");
    assert!(text.contains("galway"), "{text}");
}

/// Guards against a refusal that can't be explained after the entry that refused has
/// crashed: the receipt and the record in the platform must suffice.
#[tokio::test]
async fn a_refusal_is_explained_after_its_entry_crashed() {
    let mut cluster = Cluster::start().await;
    let body = json!({ "organisation": "nobody", "service": "ladder", "call": "finals" });
    let reply = cluster.post(cluster.callers(0), "/v1/query", body).await;
    assert_eq!(reply.status, 404);
    let body = reply.json();
    assert_eq!(body["run"], "not_run");
    let receipt = body["receipt"].as_str().unwrap().to_owned();
    cluster
        .eventually("the record is in the platform", async |c: &Cluster| {
            let why = c.get(c.operators(1), &format!("/why/{receipt}")).await;
            why.unwrap()["record"] == "platform"
        })
        .await;
    cluster.entries[0].take().unwrap().signal(Signal::SIGKILL);
    let (status, text) = cluster.chestnut(1, &["why", &receipt]).await;
    assert_eq!(status, 0, "{text}");
    assert!(text.contains("unknown_organisation"), "{text}");
    assert!(text.contains("no organisation nobody"), "{text}");
    let (status, text) = cluster.chestnut(1, &["why", "AQIAforged"]).await;
    assert_eq!(status, 1, "{text}");
}
