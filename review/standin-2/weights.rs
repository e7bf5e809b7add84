//! A new version of the configuration splits a route by weights that are fractions, and drops
//! another route. Counts requests that are handled as only the version before allows.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::Client;
use crate::entry;
use crate::leaf::{sound, Leaf, Runs};
use crate::record::Record;
use crate::store::Store;
use crate::Outcome;

const ENTRIES: usize = 3;
/// Requests to each entry for each route.
const REQUESTS: usize = 40;
/// `configApplyMs`, and some time more.
const APPLY: Duration = Duration::from_millis(3000 + 1000);
const SERVICES: [&str; 3] = ["archive", "archive-new", "members"];

/// A configuration with this version, target of the route `/rano592/`, and further routes.
fn config(version: u32, target: &str, more: &str) -> String {
    let services: Vec<String> = SERVICES
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":0.0}}"#))
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"fizi45.example","pathPrefix":"/rano592/","type":"safe","timeoutMs":5000,"goalMs":800,"priority":2,{target},"attempts":2}}{more}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        services.join(",")
    )
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Outcome {
    let dir = entry::TempDir::new();
    let store = Store::start();
    let runs: Runs = Runs::default();
    let old = r#","#.to_owned()
        + r#"{"name":"r-2","host":"fizi45.example","pathPrefix":"/bale901/","type":"safe","timeoutMs":5000,"goalMs":800,"priority":2,"service":"archive","attempts":2}"#;
    store.put(
        "config",
        "main",
        Some(&config(7, r#""service":"archive""#, &old)),
    );
    let zones = ["dub-a", "dub-b", "kdr-c"];
    for (number, service) in SERVICES.iter().enumerate() {
        for at in 0..3 {
            let leaf = Leaf::start(
                &format!("i-{service}-{number}{at}"),
                Duration::from_millis(10),
                &runs,
                record,
                sound(),
            );
            store.put("servers", &leaf.id, Some(&leaf.spec(service, zones[at], 6)));
        }
    }
    let Some(entries) = entry::start(ENTRIES, store.address, &dir.0) else {
        return Outcome::CannotRun("the entries did not get ready".to_owned());
    };
    thread::sleep(Duration::from_secs(1));
    let ids = AtomicU64::new(0x9c41_0000_0000_0001);
    let ask = |path: &str| {
        let mut asked: Vec<(String, u16)> = Vec::new();
        for entry in &entries {
            let mut client = Client::new(entry.callers, Duration::from_secs(5));
            for _ in 0..REQUESTS {
                let id = format!("{:016x}", ids.fetch_add(1, Ordering::Relaxed));
                let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "5000")];
                let answer = client.send("GET", path, "fizi45.example", &headers, b"");
                let status = answer.map_or(0, |answer| answer.status);
                record.line(&format!("client: {id} {path} at {}: {status}", entry.name));
                asked.push((id, status));
            }
        }
        asked
    };
    let before = ask("/rano592/2f");
    if before.iter().any(|(_, status)| *status != 200) {
        return Outcome::CannotRun("not all requests were served before".to_owned());
    }
    let (first, second) = if trouble { ("0.7", "0.3") } else { ("7", "3") };
    let split = format!(
        r#""split":[{{"service":"archive-new","weight":{first}}},{{"service":"members","weight":{second}}}]"#
    );
    store.put("config", "main", Some(&config(9, &split, "")));
    record.line(&format!("the store has acknowledged version 9: /rano592/ is split by {first} and {second}, /bale901/ is dropped"));
    thread::sleep(APPLY);
    let (moved, dropped) = (ask("/rano592/2f"), ask("/bale901/2f"));
    drop(entries);
    let runs = runs.lock().unwrap();
    let ran_at = |id: &str, service: &str| {
        let prefix = format!("i-{service}-0");
        runs.iter()
            .any(|run| run.id == id && run.leaf.starts_with(&prefix))
    };
    let stale = moved.iter().filter(|(id, _)| ran_at(id, "archive")).count();
    let revived = dropped
        .iter()
        .filter(|(id, _)| ran_at(id, "archive"))
        .count();
    let new = moved.iter().filter(|(_, status)| *status == 200).count() - stale;
    record.say(&format!(
        "sent over 4 s after the acknowledgement: {} on the moved route, {stale} of them run by the old service, {new} by the new ones; {} on the dropped route, {revived} of them run",
        moved.len(),
        dropped.len()
    ));
    match stale + revived > 0 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
