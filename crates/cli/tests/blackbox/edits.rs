//! Edits by `chestnut`, in force at every entry.

use serde_json::{Value, json};

use crate::bench::Bench;

async fn version_at(bench: &Bench, entry: usize) -> u64 {
    let status = bench.get(bench.operators(entry), "/status").await;
    status.map_or(0, |s| s["organisations"]["galway"].as_u64().unwrap_or(0))
}

#[tokio::test]
async fn an_accepted_edit_comes_into_force_at_every_entry() {
    let bench = Bench::start().await;
    let file = bench.path("edit.json");
    let spec = json!({ "template": "league", "services": ["scorecard"] });
    std::fs::write(&file, spec.to_string()).unwrap();
    let file = file.to_str().unwrap();
    let (status, text) = bench
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
    let (status, text) = bench.chestnut(0, &put).await;
    assert_eq!(status, 0, "{text}");
    for entry in 0..3 {
        bench
            .eventually("the edit is in force", async |b: &Bench| {
                version_at(b, entry).await == 2
            })
            .await;
        let reply = bench.query(entry, "finals").await;
        assert_eq!(reply.json()["reason"], "service_not_allowed");
    }
    let (status, text) = bench.chestnut(1, &put).await;
    assert_eq!(status, 3, "a second edit of the same version: {text}");
    let (_, text) = bench
        .chestnut(2, &["organisation", "history", "galway"])
        .await;
    assert!(text.contains("aoife"), "{text}");
    let (status, text) = bench.chestnut(2, &["--json", "status"]).await;
    assert_eq!(status, 0, "{text}");
    let json: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(json["asked"]["dub-a-1"]["organisations"]["galway"], 2);
}

#[tokio::test]
async fn a_wrong_edit_is_refused_with_its_key() {
    let bench = Bench::start().await;
    let file = bench.path("wrong.json");
    let spec = json!({ "template": "league", "services": ["archive"] });
    std::fs::write(&file, spec.to_string()).unwrap();
    let args = ["organisation", "put", "galway", file.to_str().unwrap()];
    let (status, text) = bench.chestnut(0, &args).await;
    assert_eq!(status, 1, "{text}");
    assert!(
        text.contains("services: archive is not in template league"),
        "{text}"
    );
}

/// The operator's write takes effect and its answer is lost.
/// The entry repeats the write with the same expected version, meets its own
/// edit by its id, and reports the version that it made; nothing is doubled.
#[tokio::test]
async fn a_lost_write_answer_is_settled_by_the_edit_id() {
    let bench = Bench::start().await;
    let platform = bench.world.platform;
    bench
        .put(platform, "/control/fault", json!({ "lose_answers": 1 }))
        .await;
    let file = bench.path("edit.json");
    let spec = json!({ "template": "league", "services": ["ladder"] });
    std::fs::write(&file, spec.to_string()).unwrap();
    let args = [
        "--json",
        "organisation",
        "put",
        "galway",
        file.to_str().unwrap(),
    ];
    let (status, text) = bench.chestnut(0, &args).await;
    assert_eq!(status, 0, "{text}");
    let reply: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(reply["version"], 2);
    let stored = bench
        .get(platform, "/objects/organisation/galway")
        .await
        .unwrap();
    assert_eq!(stored["version"], 2, "the edit was made once");
}

/// Two operators edit the same organisation at the same version.
/// One edit takes effect; the other is told of the conflict, not overwritten.
#[tokio::test]
async fn racing_edits_leave_one_winner() {
    let bench = Bench::start().await;
    let mut edits = Vec::new();
    for (entry, services) in [(0, "ladder"), (1, "scorecard")] {
        let body = json!({
            "spec": { "template": "league", "services": [services] }, "expected": 1,
        });
        let address = bench.operators(entry);
        edits.push(bench.put(address, "/objects/organisation/galway", body));
    }
    let second = edits.pop().unwrap();
    let first = edits.pop().unwrap();
    let (first, second) = tokio::join!(first, second);
    let mut statuses = [first.status.as_u16(), second.status.as_u16()];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    for entry in 0..3 {
        bench
            .eventually("the winner is in force", async |b: &Bench| {
                version_at(b, entry).await == 2
            })
            .await;
    }
}

/// A reader that closes the pipe early, as `head` does, is no fault.
#[tokio::test]
async fn output_into_a_closed_pipe_is_no_panic() {
    let bench = Bench::start().await;
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_chestnut"))
        .args(["--entry", &bench.operators(0).to_string(), "targets"])
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
