//! LOST: an entry gets SIGTERM while clients still hold its address, as the pages allow them to.
//! No request that it has passed on to a leaf may end without a complete answer.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    entry::{Addresses, Entry, SIGKILL, SIGTERM, get},
    http,
    leaf::{Leaf, Runs},
    record::Record,
    store::Store,
};

const SERVICE: &str = "archive";
const HOST: &str = "leno12.example";
const ZONES: [&str; 3] = ["dub-a", "dub-b", "kdr-c"];
/// Leafs and slots of `archive` in the sheet.
const LEAFS: usize = 13;
const CAPACITY: usize = 6;
/// Less than a third of the time that the route and the clients allow.
const WORK: Duration = Duration::from_millis(2500);
const DEADLINE: Duration = Duration::from_millis(8000);
/// The platform sends SIGKILL this long after SIGTERM.
const GRACE: Duration = Duration::from_secs(6);
/// Some clients keep a response of the directory three times as long as its `ttl_s` of 2.
const KEPT: Duration = Duration::from_secs(6);
const CLIENTS: usize = 52;
const ENTRIES: usize = 3;
/// How often each entry is stopped.
const ROUNDS: usize = 3;
/// When the first entry gets SIGTERM, after the clients have started.
const STOP_AT: Duration = Duration::from_secs(8);
/// From the end of one entry to its restart, and from then to the SIGTERM of the next.
const PAUSE: Duration = Duration::from_secs(1);
/// From the last end of an entry to the end of the run.
const TAIL: Duration = Duration::from_secs(5);

/// How a request ended at its client.
struct Outcome {
    id: String,
    entry: SocketAddr,
    sent: Duration,
    ended: Duration,
    /// The status, or `None` if the connection ended without a complete answer.
    status: Option<u16>,
}

/// Plays the case; returns whether the rule held.
pub fn play(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let work_folder = folder.join("tmp");
    std::fs::create_dir_all(&work_folder)?;
    let runs = Runs::default();
    let (store, store_address) = Store::start("127.0.0.1")?;
    store.put("config", "main", Some(config()));
    for number in 0..LEAFS {
        let id = format!("i-leaf{number:02}");
        let leaf = Leaf::start(&id, "127.0.0.1", CAPACITY, WORK, runs.clone(), record.clone())?;
        let zone = ZONES[number % ZONES.len()];
        store.put("servers", &leaf.id, Some(leaf.spec(SERVICE, zone, CAPACITY, "ready")));
    }
    let addresses: Vec<Addresses> = (0..ENTRIES)
        .map(|_| Addresses::free("127.0.0.1"))
        .collect::<io::Result<_>>()?;
    let seeds: Vec<SocketAddr> = addresses.iter().take(3).map(|a| a.peers).collect();
    let mut entries = Vec::new();
    for (number, free) in addresses.iter().enumerate() {
        let zone = ZONES[number % ZONES.len()];
        let name = format!("front-{zone}-{}", number / ZONES.len() + 1);
        entries.push(Entry::start(&name, zone, free, &seeds, store_address, &work_folder)?);
    }
    for entry in &entries {
        if !entry.wait_ready(Duration::from_secs(15)) {
            return Err(io::Error::other(format!("{} is not ready", entry.name)));
        }
    }
    thread::sleep(Duration::from_secs(6));
    record.line("all entries are ready, the clients start");
    let directories: Arc<Vec<SocketAddr>> =
        Arc::new(addresses.iter().map(|a| a.directory).collect());
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let ends = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = Client {
                number,
                directories: directories.clone(),
                outcomes: outcomes.clone(),
                ends: ends.clone(),
                count: count.clone(),
                record: record.clone(),
            };
            thread::spawn(move || client.run())
        })
        .collect();
    thread::sleep(STOP_AT);
    let mut stops = Vec::new();
    for number in (0..ROUNDS).flat_map(|_| 0..ENTRIES) {
        if !trouble {
            thread::sleep(GRACE + PAUSE);
            continue;
        }
        let entry = &mut entries[number];
        let term = record.now();
        record.line(&format!("SIGTERM to {}", entry.name));
        entry.signal(SIGTERM);
        let killed_at = Instant::now() + GRACE;
        while Instant::now() < killed_at && !entry.has_ended() {
            thread::sleep(Duration::from_millis(5));
        }
        let ended = entry.has_ended();
        record.line(&format!("{} has ended by itself: {ended}", entry.name));
        entry.signal(SIGKILL);
        stops.push(Stop {
            entry: entry.addresses.callers,
            term,
        });
        thread::sleep(PAUSE);
        let (name, addresses) = (entry.name.clone(), entry.addresses.clone());
        let zone = ZONES[number % ZONES.len()];
        *entry = Entry::start(&name, zone, &addresses, &seeds, store_address, &work_folder)?;
        if !entry.wait_ready(Duration::from_secs(15)) {
            return Err(io::Error::other(format!("{name} is not ready again")));
        }
        thread::sleep(PAUSE);
    }
    thread::sleep(TAIL);
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().unwrap();
    Ok(judge(&outcomes, &runs, &stops, &record))
}

/// A SIGTERM of an entry.
struct Stop {
    entry: SocketAddr,
    term: Duration,
}

/// Checks the rule as it is written: requests that an entry took and passed on to a leaf, and whose
/// connection ended without a complete answer, from its SIGTERM until 1 s after the grace. Excused:
/// a request that was sent no later than 3 s after SIGTERM and at which the leaf was still at work
/// in the last sixth of the grace; one whose deadline was reached. Without the disruption every
/// lost request counts.
fn judge(outcomes: &[Outcome], runs: &Runs, stops: &[Stop], record: &Record) -> bool {
    let runs = runs.lock().unwrap();
    let (mut broken, mut excused, mut answered, mut other) = (0, 0, 0, 0);
    for outcome in outcomes {
        match outcome.status {
            Some(200) => answered += 1,
            Some(_) => other += 1,
            None => {}
        }
        let run = runs.get(&outcome.id).and_then(|list| list.last());
        let (None, Some(run)) = (outcome.status, run) else {
            continue;
        };
        let stop = stops.iter().find(|stop| {
            let until = stop.term + GRACE + Duration::from_secs(1);
            stop.entry == outcome.entry && (stop.term..=until).contains(&outcome.ended)
        });
        let early = stop.is_some_and(|stop| {
            outcome.sent <= stop.term + Duration::from_secs(3)
                && outcome.ended >= stop.term + GRACE * 5 / 6
        });
        let in_time = outcome.ended - outcome.sent < DEADLINE;
        let counts = in_time && !early && (stop.is_some() || stops.is_empty());
        let verdict = if counts { "BROKEN" } else { "excused" };
        broken += usize::from(counts);
        excused += usize::from(!counts);
        let since = |at: Duration| stop.map_or(0.0, |stop| at.as_secs_f64() - stop.term.as_secs_f64());
        record.line(&format!(
            "{verdict}: {} was sent to {} {:.3} s after its SIGTERM, a leaf ran it from {:.3} s on, \
             and its connection ended without an answer after {:.3} s",
            outcome.id,
            outcome.entry,
            since(outcome.sent),
            since(run.began),
            since(outcome.ended),
        ));
    }
    let text = format!(
        "requests answered 200: {answered}; other answers: {other}; passed on to a leaf and lost: \
         {broken}; lost, but excused: {excused}"
    );
    record.line(&text);
    println!("{text}");
    broken == 0
}

/// The route and figures of `archive-fetch` in the sheet.
fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-archive\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"/archive/\",\"type\":\"safe\",\"timeoutMs\":8000,\"goalMs\":800,\
         \"priority\":2,\"service\":\"{SERVICE}\",\"attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":2000,\"idleTimeoutMs\":20000}}}}"
    )
}

/// A client that asks the directory, keeps its response for `KEPT`, and sends one request after
/// the other, each on a connection to an address that it picks at random.
struct Client {
    number: usize,
    directories: Arc<Vec<SocketAddr>>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    ends: Arc<AtomicBool>,
    count: Arc<AtomicUsize>,
    record: Arc<Record>,
}

impl Client {
    fn run(self) {
        let mut seed = 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(self.number as u64 + 1);
        let mut draw = move |below: usize| {
            seed ^= seed << 13;
            seed ^= seed >> 7;
            seed ^= seed << 17;
            (seed % below as u64) as usize
        };
        let mut list: Vec<SocketAddr> = Vec::new();
        let mut asked = None;
        // They ask the directory at different times.
        thread::sleep(KEPT * self.number as u32 / CLIENTS as u32);
        while !self.ends.load(Ordering::Relaxed) {
            let outdated = asked.is_none_or(|at: Instant| at.elapsed() >= KEPT);
            if outdated && let Some(addresses) = self.resolve(draw(self.directories.len())) {
                list = addresses;
                asked = Some(Instant::now());
            }
            if list.is_empty() {
                thread::sleep(Duration::from_millis(100));
                continue;
            }
            let entry = list[draw(list.len())];
            if !self.request(entry) {
                // It stays away from addresses that failed it.
                list.retain(|address| *address != entry);
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn resolve(&self, first: usize) -> Option<Vec<SocketAddr>> {
        let order = (0..3).map(|n| self.directories[(first + n) % self.directories.len()]);
        for directory in order {
            let path = format!("/resolve?name={HOST}&region=ie-east&zone=dub-a");
            if let Ok(answer) = get(directory, &path)
                && answer.status() == 200
            {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let list = crate::json::field(&text, "addrs")?;
                let list = list.trim_matches(|c| c == '[' || c == ']').split(',');
                let list = list.filter_map(|word| word.trim_matches('"').parse().ok());
                return Some(list.collect());
            }
        }
        None
    }

    /// Makes one request; returns whether the entry answered.
    fn request(&self, entry: SocketAddr) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&entry, Duration::from_secs(1)) else {
            return false;
        };
        let _ = stream.set_nodelay(true);
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let head = format!(
            "GET /archive/{number}/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {}\r\n\r\n",
            DEADLINE.as_millis()
        );
        let sent = self.record.now();
        let _ = stream.set_read_timeout(Some(DEADLINE));
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        self.record.line(&format!("client {} sends {id} to {entry}", self.number));
        let answer = http::read(&mut stream, &mut Vec::new());
        let answer = answer.ok().flatten();
        let status = answer.as_ref().map(http::Message::status);
        let wait = answer.and_then(|answer| answer.header("retry-after")?.parse::<f64>().ok());
        let ended = self.record.now();
        self.record.line(&match status {
            Some(status) => format!("client {} gets {status} for {id}", self.number),
            None => format!("client {} finds the connection of {id} ended", self.number),
        });
        self.outcomes.lock().unwrap().push(Outcome {
            id,
            entry,
            sent,
            ended,
            status,
        });
        if let Some(wait) = wait {
            thread::sleep(Duration::from_secs_f64(wait.clamp(0.0, 2.0)));
        }
        status.is_some()
    }
}
