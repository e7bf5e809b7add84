//! FAILBACK: all leafs of a service crash and start again under the ids that they had, cold. Each
//! registers its new start before it listens. No cold leaf may get more requests in one second than
//! `warmupPerS` x `warmupOvershoot` + `warmupSlack`, summed over all entries.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    entry::{Addresses, Entry},
    http,
    leaf::{Leaf, Runs},
    record::Record,
    store::Store,
};

const SERVICE: &str = "archive";
const HOST: &str = "leno12.example";
const ZONES: [&str; 3] = ["dub-a", "dub-b", "kdr-c"];
const ENTRIES: usize = 3;
const LEAFS: usize = 3;
const CAPACITY: usize = 8;
const WORK: Duration = Duration::from_millis(15);
const CLIENTS: usize = 24;
/// Requests per second of all clients, as in the site flipperhouse-search.
const RATE: f64 = 225.0;
const DEADLINE: Duration = Duration::from_millis(800);
/// `warmupS`, `warmupPerS`, `warmupOvershoot` and `warmupSlack`.
const WARMUP: Duration = Duration::from_secs(3);
const WARMUP_PER_S: f64 = 10.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// A cold leaf crashes above this multiple of what the rule allows.
const CRASH_FACTOR: usize = 2;
/// How long the leafs are down; their registrations last for three heartbeats of 1.2 s.
const DOWN: Duration = Duration::from_secs(2);
/// From the store's answer to a leaf's registration until the leaf listens.
const LISTEN_AFTER: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// When each request was sent, by its id.
type Sent = Arc<Mutex<BTreeMap<String, Duration>>>;

/// Plays the case; returns whether the rule held.
pub fn play(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let work_folder = folder.join("tmp");
    std::fs::create_dir_all(&work_folder)?;
    let runs = Runs::default();
    let (store, store_address) = Store::start("127.0.0.1")?;
    store.put("config", "main", Some(config()));
    let mut leafs = Vec::new();
    for number in 0..LEAFS {
        let id = format!("i-leaf{number:02}");
        let leaf = Leaf::start(&id, "127.0.0.1", CAPACITY, WORK, runs.clone(), record.clone())?;
        store.put("servers", &leaf.id, Some(spec(&leaf, number, Duration::ZERO, now_ms())));
        leafs.push(leaf);
    }
    let addresses: Vec<Addresses> = (0..ENTRIES)
        .map(|_| Addresses::free("127.0.0.1"))
        .collect::<io::Result<_>>()?;
    let seeds: Vec<SocketAddr> = addresses.iter().map(|a| a.peers).collect();
    let mut entries = Vec::new();
    for (number, free) in addresses.iter().enumerate() {
        let zone = ZONES[number % ZONES.len()];
        let name = format!("front-{zone}-1");
        entries.push(Entry::start(&name, zone, free, &seeds, store_address, &work_folder)?);
    }
    for entry in &entries {
        if !entry.wait_ready(Duration::from_secs(15)) {
            return Err(io::Error::other(format!("{} is not ready", entry.name)));
        }
    }
    thread::sleep(Duration::from_secs(6));
    record.line("all entries are ready, the clients start");
    let ends = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicUsize::new(0));
    let sent = Sent::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let entry = addresses[number % ENTRIES].callers;
            let (ends, count, record) = (ends.clone(), count.clone(), record.clone());
            let sent = sent.clone();
            thread::spawn(move || client(number, entry, &ends, &count, &sent, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(8));
    let mut cold_from = vec![None; LEAFS];
    if trouble {
        for leaf in &leafs {
            leaf.crash();
        }
        thread::sleep(DOWN);
        for (number, leaf) in leafs.iter().enumerate() {
            let born = now_ms();
            store.put("servers", &leaf.id, Some(spec(leaf, number, WARMUP, born)));
            record.line(&format!("the store has the new start of {}", leaf.id));
            thread::sleep(LISTEN_AFTER);
            let from = record.now();
            leaf.start_again(from + WARMUP, CRASH_FACTOR * bound())?;
            cold_from[number] = Some((from, born));
        }
        let first = cold_from[0].map_or(Duration::ZERO, |(at, _)| at);
        while record.now() < first + WARMUP + Duration::from_secs(1) {
            thread::sleep(HEARTBEAT);
            for (number, leaf) in leafs.iter().enumerate() {
                let Some((at, born)) = cold_from[number] else {
                    continue;
                };
                let left = WARMUP.saturating_sub(record.now().saturating_sub(at));
                store.put("servers", &leaf.id, Some(spec(leaf, number, left, born)));
            }
        }
    } else {
        thread::sleep(DOWN + WARMUP + Duration::from_secs(1));
    }
    thread::sleep(Duration::from_secs(2));
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    Ok(judge(&leafs, &cold_from, &runs, &sent, &record))
}

/// Checks the rule: the requests that were sent and reached a leaf in any one second while it was
/// cold.
fn judge(
    leafs: &[Leaf],
    cold_from: &[Option<(Duration, u64)>],
    runs: &Runs,
    sent: &Sent,
    record: &Record,
) -> bool {
    let most = bound();
    let arrivals = runs.lock().unwrap();
    let sent = sent.lock().unwrap();
    let mut held = true;
    for (leaf, cold) in leafs.iter().zip(cold_from) {
        let Some((from, _)) = cold else {
            continue;
        };
        let cold = *from..*from + WARMUP;
        let times: Vec<(Duration, Duration)> = arrivals
            .iter()
            .flat_map(|(id, list)| list.iter().map(move |run| (id, run)))
            .filter(|(_, run)| run.leaf == leaf.id && cold.contains(&run.began))
            .filter_map(|(id, run)| Some((*sent.get(id)?, run.began)))
            .collect();
        let in_second = |(first, _): &(Duration, Duration)| {
            let window = *first..*first + Duration::from_secs(1);
            let inside = times.iter();
            let inside = inside.filter(|(at, began)| window.contains(at) && window.contains(began));
            inside.count()
        };
        let worst = times.iter().map(in_second).max().unwrap_or(0);
        held &= worst <= most;
        let verdict = if worst <= most { "held" } else { "BROKEN" };
        record.line(&format!(
            "{verdict}: cold leaf {} got {worst} requests in one second, {most} are allowed",
            leaf.id
        ));
        println!("{verdict}: cold leaf {} got {worst} requests in one second, {most} are allowed", leaf.id);
    }
    held
}

/// Requests that a cold leaf may get in one second.
fn bound() -> usize {
    (WARMUP_PER_S * OVERSHOOT + SLACK) as usize
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// A registration with the time that the leaf stays cold, and the time of its start.
fn spec(leaf: &Leaf, number: usize, cold: Duration, born: u64) -> String {
    let text = leaf.spec(SERVICE, ZONES[number % ZONES.len()], CAPACITY, "ready");
    let warmup = format!("\"warmupLeftMs\":{},\"born\":{born},", cold.as_millis());
    text.replace("\"warmupLeftMs\":0,", &warmup)
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-archive\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"/archive/\",\"type\":\"unsafe\",\"timeoutMs\":800,\"goalMs\":80,\
         \"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":96,\
         \"protocol\":\"h1\",\"tls\":false,\"warmupS\":{},\"warmupPerS\":{WARMUP_PER_S}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\
         \"headerTimeoutMs\":2000,\"idleTimeoutMs\":20000}}}}",
        WARMUP.as_secs()
    )
}

/// Sends requests to one entry at an even pace, on a kept connection.
fn client(
    number: usize,
    entry: SocketAddr,
    ends: &AtomicBool,
    count: &AtomicUsize,
    sent: &Sent,
    record: &Record,
) {
    let pause = Duration::from_secs_f64(CLIENTS as f64 / RATE);
    thread::sleep(pause * number as u32 / CLIENTS as u32);
    let mut connection: Option<TcpStream> = None;
    let mut due = record.now();
    while !ends.load(Ordering::Relaxed) {
        due += pause;
        let stream = match connection.take() {
            Some(stream) => Ok(stream),
            None => TcpStream::connect_timeout(&entry, Duration::from_secs(1)),
        };
        if let Ok(mut stream) = stream {
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(DEADLINE * 2));
            let id = format!("{:016x}", count.fetch_add(1, Ordering::Relaxed));
            let head = format!(
                "GET /archive/{id}/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
                 Deadline-Ms: {}\r\n\r\n",
                DEADLINE.as_millis()
            );
            record.line(&format!("client {number} sends {id}"));
            sent.lock().unwrap().insert(id.clone(), record.now());
            let written = stream.write_all(head.as_bytes());
            let answer = written.and_then(|()| http::read(&mut stream, &mut Vec::new()));
            let status = answer.ok().flatten().map_or(0, |answer| answer.status());
            record.line(&format!("client {number} gets {status} for {id}"));
            if status != 0 {
                connection = Some(stream);
            }
        }
        let now = record.now();
        thread::sleep(due.saturating_sub(now));
        due = due.max(now);
    }
}
