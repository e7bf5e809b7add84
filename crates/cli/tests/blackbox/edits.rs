//! Tests of edits made with `chestnut`.

use serde_json::{Value, json};

use crate::cluster::Cluster;

/// Returns the version of the organisation that is in force at an entry; 0 if none.
async fn version_at(cluster: &Cluster, entry: usize) -> u64 {
    let status = cluster.get(cluster.operators(entry), "/status").await;
    status.map_or(0, |s| s["organisations"]["galway"].as_u64().unwrap_or(0))
}

/// Guards against an edit that is accepted but not applied at some entry, and against a
/// second edit of the same version that overwrites the first.
#[tokio::test]
async fn an_accepted_edit_takes_effect_at_every_entry() {
    let cluster = Cluster::start().await;
    let file = cluster.path("edit.json");
    let spec = json!({ "template": "league", "services": ["scorecard"] });
    std::fs::write(&file, spec.to_string()).unwrap();
    let file = file.to_str().unwrap();
    let (status, text) = cluster
        .chestnut(0, &["organisation", "check", "galway", file])
        .await;
    assert_eq!(status, 0, "{text}");
    let put = [
        "organisation",
        "put",
        "galway",
        file,
        "--expected",
        "1",
        "--by",
        "aoife",
    ];
    let (status, text) = cluster.chestnut(0, &put).await;
    assert_eq!(status, 0, "{text}");
    for entry in 0..3 {
        cluster
            .eventually("the edit is in force", async |c: &Cluster| {
                version_at(c, entry).await == 2
            })
            .await;
        let reply = cluster.query(entry, "finals").await;
        assert_eq!(reply.json()["reason"], "service_not_allowed");
    }
    let (status, text) = cluster.chestnut(1, &put).await;
    assert_eq!(status, 3, "a second edit of the same version: {text}");
    let (_, text) = cluster
        .chestnut(2, &["organisation", "history", "galway"])
        .await;
    assert!(text.contains("aoife"), "{text}");
    let (status, text) = cluster.chestnut(2, &["--json", "status"]).await;
    assert_eq!(status, 0, "{text}");
    let json: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(json["asked"]["dub-a-1"]["organisations"]["galway"], 2);
}

/// Guards against an invalid edit that is stored, or refused without naming its key.
#[tokio::test]
async fn an_invalid_edit_is_refused_and_its_key_named() {
    let cluster = Cluster::start().await;
    let file = cluster.path("wrong.json");
    let spec = json!({ "template": "league", "services": ["archive"] });
    std::fs::write(&file, spec.to_string()).unwrap();
    let args = ["organisation", "put", "galway", file.to_str().unwrap()];
    let (status, text) = cluster.chestnut(0, &args).await;
    assert_eq!(status, 1, "{text}");
    assert!(
        text.contains("services: archive is not in template league"),
        "{text}"
    );
}

/// Guards against an entry that, when the answer to its write is lost, repeats the write
/// and takes its own edit for a conflict, or makes the edit twice.
#[tokio::test]
async fn a_write_whose_answer_is_lost_is_made_once() {
    let cluster = Cluster::start().await;
    let platform = cluster.spec.platform;
    cluster
        .put(platform, "/control/fault", json!({ "lose_answers": 1 }))
        .await;
    let file = cluster.path("edit.json");
    let spec = json!({ "template": "league", "services": ["ladder"] });
    std::fs::write(&file, spec.to_string()).unwrap();
    let args = [
        "--json",
        "organisation",
        "put",
        "galway",
        file.to_str().unwrap(),
    ];
    let (status, text) = cluster.chestnut(0, &args).await;
    assert_eq!(status, 0, "{text}");
    let reply: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(reply["version"], 2);
    let stored = cluster
        .get(platform, "/objects/organisation/galway")
        .await
        .unwrap();
    assert_eq!(stored["version"], 2, "the edit was made once");
}

/// Guards against lost updates: of two concurrent edits of the same version, one must be
/// refused as a conflict.
#[tokio::test]
async fn one_of_two_concurrent_edits_is_refused() {
    let cluster = Cluster::start().await;
    let mut edits = Vec::new();
    for (entry, services) in [(0, "ladder"), (1, "scorecard")] {
        let body = json!({
            "spec": { "template": "league", "services": [services] }, "expected": 1,
        });
        let address = cluster.operators(entry);
        edits.push(cluster.put(address, "/objects/organisation/galway", body));
    }
    let second = edits.pop().unwrap();
    let first = edits.pop().unwrap();
    let (first, second) = tokio::join!(first, second);
    let mut statuses = [first.status.as_u16(), second.status.as_u16()];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    for entry in 0..3 {
        cluster
            .eventually("the accepted edit is in force", async |c: &Cluster| {
                version_at(c, entry).await == 2
            })
            .await;
    }
}

/// Guards against a panic when the reader of the output closes the pipe, as `head` does.
#[tokio::test]
async fn output_into_a_closed_pipe_is_no_error() {
    let cluster = Cluster::start().await;
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_chestnut"))
        .args(["--entry", &cluster.operators(0).to_string(), "targets"])
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let output = tokio::task::spawn_blocking(move || child.wait_with_output())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stderr.is_empty());
}
