//! The settings of all entries change: one bound becomes a fraction. Then the entries are stopped
//! and started in turn. Counts entries that don't start again, and requests served afterwards.

use std::fs;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::entry::{self, Entry, SIGHUP, SIGTERM};
use crate::leaf::{sound, Leaf, Runs};
use crate::record::Record;
use crate::store::Store;
use crate::Outcome;

const ENTRIES: usize = 3;
const LEAFS: usize = 6;
const REQUESTS: usize = 30;
/// `graceS` at first, then as a fraction, and then in its place without the disruption.
const WHOLE: &str = "6";
const FRACTION: &str = "6.5";
const OTHER_WHOLE: &str = "7";
/// A process that ends by itself is started again after this delay.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Ends by itself after which an entry counts as one that doesn't start.
const MAX_ENDS: usize = 3;
const START_TIME: Duration = Duration::from_secs(10);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"fizi45.example","pathPrefix":"/rano592/","type":"safe","timeoutMs":5000,"goalMs":800,"priority":2,"service":"archive","attempts":2}],"services":[{"name":"archive","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

pub fn run(trouble: bool, record: &Arc<Record>) -> Outcome {
    let dir = entry::TempDir::new();
    let store = Store::start();
    let runs: Runs = Runs::default();
    store.put("config", "main", Some(CONFIG));
    let zones = ["dub-a", "dub-b", "kdr-c"];
    for at in 0..LEAFS {
        let leaf = Leaf::start(
            &format!("i-{at:08x}"),
            Duration::from_millis(15),
            &runs,
            record,
            sound(),
        );
        store.put(
            "servers",
            &leaf.id,
            Some(&leaf.spec("archive", zones[at % 3], 6)),
        );
    }
    let Some(mut entries) = entry::start_from_template(ENTRIES, store.address, &dir.0, WHOLE)
    else {
        return Outcome::CannotRun("the entries did not get ready".to_owned());
    };
    thread::sleep(Duration::from_secs(1));
    let before = serve(&entries, record);
    let grace = if trouble { FRACTION } else { OTHER_WHOLE };
    for entry in &entries {
        record.line(&format!(
            "{}: graceS becomes {grace} in its settings, and it gets SIGHUP",
            entry.name
        ));
        fs::write(&entry.settings, entry.filled(grace)).expect("settings can be written");
        entry.signal(SIGHUP);
    }
    thread::sleep(Duration::from_secs(2));
    let mut down = 0;
    for entry in &mut entries {
        record.line(&format!("{} gets SIGTERM", entry.name));
        entry.signal(SIGTERM);
        entry.wait();
        record.line(&format!("{} has ended and is started again", entry.name));
        down += usize::from(!restart(entry, record));
    }
    let after = serve(&entries, record);
    let asked = REQUESTS * ENTRIES;
    record.say(&format!("served before the stops: {before} of {asked}; entries that did not start again: {down} of {ENTRIES}; served afterwards: {after} of {asked}"));
    if before < asked {
        return Outcome::CannotRun("not all requests were served before".to_owned());
    }
    match down > 0 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// Starts an entry, and again when it ends by itself; returns whether it gets ready.
fn restart(entry: &mut Entry, record: &Record) -> bool {
    for _ in 0..MAX_ENDS {
        thread::sleep(RESTART_DELAY);
        entry.start();
        let end = Instant::now() + START_TIME;
        while Instant::now() < end {
            if let Some(status) = entry.ended() {
                record.line(&format!("{} ends by itself: {status}", entry.name));
                break;
            }
            if entry.is_ready() {
                record.line(&format!("{} is ready", entry.name));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    false
}

/// Sends requests to each entry and returns how many were answered with 200.
fn serve(entries: &[Entry], record: &Record) -> usize {
    let mut served = 0;
    for (at, entry) in entries.iter().enumerate() {
        let mut client = Client::new(entry.callers, Duration::from_secs(5));
        for number in 0..REQUESTS {
            let id = format!("{:016x}", rand_id(at, number));
            let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "5000")];
            let answer = client.send("GET", "/rano592/2f", "fizi45.example", &headers, b"");
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            record.line(&format!("client: {id} at {}: {status}", entry.name));
            served += usize::from(status == 200);
        }
    }
    served
}

/// An id that no other request has.
fn rand_id(entry: usize, number: usize) -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0x9c41_0000_0000_0000);
    NEXT.fetch_add(1, Ordering::Relaxed) ^ ((entry as u64) << 40) ^ ((number as u64) << 32)
}
