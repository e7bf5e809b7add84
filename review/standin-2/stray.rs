//! Faulty leafs send an extra response late, where the response to the next request on the
//! connection is expected. Counts requests that may run once and ran more often.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::entry;
use crate::leaf::{sound, Answer, Leaf, Runs};
use crate::record::Record;
use crate::store::Store;
use crate::Outcome;

const ENTRIES: usize = 3;
const LEAFS: usize = 6;
const CONNECTIONS: usize = 4;
/// Requests that a leaf runs at once.
const SLOTS: u32 = 6;
const SPAN: Duration = Duration::from_secs(20);
/// One in this many answers of the faulty leafs, half of all, is followed by an extra one: four
/// in a hundred.
const EXTRA_EVERY: u64 = 25;
/// Statuses of the extra responses, in turn.
const EXTRA: [&str; 3] = [
    "200 OK",
    "503 Service Unavailable",
    "421 Misdirected Request",
];

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"fizi45.example","pathPrefix":"/rano592/","type":"unsafe","timeoutMs":5000,"goalMs":800,"priority":2,"service":"archive","attempts":2}],"services":[{"name":"archive","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// A leaf that sometimes sends an extra response with the id of the request before.
fn faulty() -> Answer {
    let before: Mutex<BTreeMap<SocketAddr, String>> = Mutex::default();
    let answers = AtomicU64::new(0);
    let extras = AtomicU64::new(0);
    Arc::new(move |leaf, head, _, out, _, number| {
        let Ok(peer) = out.peer_addr() else {
            return false;
        };
        let id = head.get("request-id").unwrap_or("-").to_owned();
        let earlier = before.lock().unwrap().insert(peer, id);
        let due = answers.fetch_add(1, Ordering::Relaxed) % EXTRA_EVERY == EXTRA_EVERY - 1;
        if let (Some(earlier), true, true) = (earlier, due, number > 0) {
            let status = EXTRA[extras.fetch_add(1, Ordering::Relaxed) as usize % EXTRA.len()];
            leaf.record.line(&format!(
                "leaf {} sends an extra response late: {status}, Request-Id {earlier}",
                leaf.id
            ));
            let text = format!("HTTP/1.1 {status}\r\nRequest-Id: {earlier}\r\nServer-Seal: {}.{earlier}\r\nContent-Length: 0\r\n\r\n", leaf.id);
            let _ = out.write_all(text.as_bytes());
        }
        leaf.run(head);
        leaf.reply(head, out)
    })
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Outcome {
    play(record, CONNECTIONS, SLOTS, |at| {
        if trouble && at % 2 == 0 {
            faulty()
        } else {
            sound()
        }
    })
}

/// Plays requests of an `unsafe` route over `connections` to each entry, with leafs that answer as
/// `answer` says, and checks that none runs twice or is refused as not run although it ran.
pub fn play(
    record: &Arc<Record>,
    connections: usize,
    slots: u32,
    answer: impl Fn(usize) -> Answer,
) -> Outcome {
    let dir = entry::TempDir::new();
    let store = Store::start();
    let runs: Runs = Runs::default();
    store.put("config", "main", Some(CONFIG));
    let zones = ["dub-a", "dub-b", "kdr-c"];
    for at in 0..LEAFS {
        let leaf = Leaf::start(
            &format!("i-{at:08x}"),
            Duration::from_millis(20),
            &runs,
            record,
            answer(at),
        );
        store.put(
            "servers",
            &leaf.id,
            Some(&leaf.spec("archive", zones[at % 3], slots)),
        );
    }
    let Some(entries) = entry::start(ENTRIES, store.address, &dir.0) else {
        return Outcome::CannotRun("the entries did not get ready".to_owned());
    };
    thread::sleep(Duration::from_secs(1));
    let end = Instant::now() + SPAN;
    let numbers = Arc::new(AtomicU64::new(1));
    let statuses: Arc<Mutex<BTreeMap<String, u16>>> = Arc::default();
    let mut threads = Vec::new();
    for entry in &entries {
        for _ in 0..connections {
            let (address, name) = (entry.callers, entry.name.clone());
            let (numbers, statuses, record) = (numbers.clone(), statuses.clone(), record.clone());
            threads.push(thread::spawn(move || {
                let mut client = Client::new(address, Duration::from_secs(5));
                while Instant::now() < end {
                    let id = format!(
                        "{:016x}",
                        0x9c41_0000_0000_0000 + numbers.fetch_add(1, Ordering::Relaxed)
                    );
                    let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "5000")];
                    let answer = client.send(
                        "POST",
                        "/rano592/2f",
                        "fizi45.example",
                        &headers,
                        b"points=12",
                    );
                    let status = answer.map_or(0, |answer| answer.status);
                    record.line(&format!("client: {id} at {name}: {status}"));
                    statuses.lock().unwrap().insert(id, status);
                    thread::sleep(Duration::from_millis(20));
                }
            }));
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    drop(entries);
    let mut times: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in runs.lock().unwrap().iter() {
        times
            .entry(run.id.clone())
            .or_default()
            .push(run.leaf.clone());
    }
    let statuses = statuses.lock().unwrap();
    let twice: Vec<_> = times.iter().filter(|(_, leafs)| leafs.len() > 1).collect();
    for (id, leafs) in &twice {
        let status = statuses.get(*id).copied().unwrap_or(0);
        record.line(&format!(
            "TWICE: {id} ran at {}; its client got {status}",
            leafs.join(" and ")
        ));
    }
    let refused = statuses
        .iter()
        .filter(|(id, status)| matches!(status, 408 | 421 | 429 | 503) && times.contains_key(*id));
    let refused: Vec<_> = refused.collect();
    for (id, status) in &refused {
        record.line(&format!(
            "REFUSED: {id} ran at {}; its client got {status}",
            times[*id].join(" and ")
        ));
    }
    let refused = refused.len();
    record.say(&format!(
        "{} requests sent, {} ran, {} of them more than once, {refused} of them refused as not run",
        statuses.len(),
        times.len(),
        twice.len()
    ));
    match !twice.is_empty() || refused > 0 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
