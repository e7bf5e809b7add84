//! A stand-in of a sound leaf: it runs `capacity` requests at once, queues more, and answers each
//! after its work.

use std::{
    collections::BTreeMap,
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// Requests that wait for a slot before a leaf rejects more.
const QUEUE: usize = 24;

/// What a leaf did with a request.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// The leaf that ran it.
    pub leaf: String,
    /// When it began to run.
    pub began: Duration,
    /// When its run ended and the answer was written; `None` while it runs, or if the connection
    /// was closed by then.
    pub answered: Option<Duration>,
}

/// The runs of all leafs, by request id.
pub type Runs = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

/// A leaf that runs, or that has been stopped and may start again at its address.
pub struct Leaf {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// What the connections of a leaf share.
struct Shared {
    id: String,
    capacity: usize,
    work: Duration,
    slots: Mutex<Slots>,
    freed: Condvar,
    /// Number of the present start; connections of an earlier one end.
    start: AtomicUsize,
    up: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    /// While it is cold: when that ends, and the requests in one second above which it crashes.
    cold: Mutex<Option<(Duration, usize)>>,
    runs: Runs,
    record: Arc<Record>,
}

#[derive(Default)]
struct Slots {
    busy: usize,
    queued: usize,
}

impl Leaf {
    /// Starts a leaf on a free port of `ip`.
    pub fn start(
        id: &str,
        ip: &str,
        capacity: usize,
        work: Duration,
        runs: Runs,
        record: Arc<Record>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            capacity,
            work,
            slots: Mutex::default(),
            freed: Condvar::new(),
            start: AtomicUsize::new(0),
            up: AtomicBool::new(true),
            streams: Mutex::default(),
            cold: Mutex::default(),
            runs,
            record,
        });
        let leaf = Self {
            id: id.to_owned(),
            address,
            shared,
        };
        leaf.listen(listener)?;
        Ok(leaf)
    }

    fn listen(&self, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let shared = self.shared.clone();
        let start = shared.start.load(Ordering::SeqCst);
        thread::spawn(move || {
            while shared.up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    shared.streams.lock().unwrap().push(copy);
                }
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream, start));
            }
        });
        Ok(())
    }

    /// Crashes: closes the port and all connections.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Starts again at the same address, after a crash. It is cold until `cold_until`, and crashes
    /// again if it then gets more than `most` requests in one second.
    pub fn start_again(&self, cold_until: Duration, most: usize) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        *self.shared.slots.lock().unwrap() = Slots::default();
        *self.shared.cold.lock().unwrap() = Some((cold_until, most));
        self.shared.up.store(true, Ordering::SeqCst);
        self.shared.record.line(&format!("leaf {} listens again", self.id));
        self.listen(listener)
    }

    /// Its registration in the store.
    pub fn spec(&self, service: &str, zone: &str, capacity: usize, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"capacity\":{capacity},\"state\":\"{state}\",\
             \"warmupLeftMs\":0,\"seq\":1}}",
            self.address
        )
    }
}

impl Shared {
    fn crash(&self) {
        self.record.line(&format!("leaf {} crashes", self.id));
        self.up.store(false, Ordering::SeqCst);
        self.start.fetch_add(1, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Whether the leaf is cold and got more requests in the last second than it bears.
    fn is_overloaded(&self, now: Duration) -> bool {
        let cold = *self.cold.lock().unwrap();
        let Some((until, most)) = cold.filter(|(until, _)| now < *until) else {
            return false;
        };
        let runs = self.runs.lock().unwrap();
        let own = runs.values().flatten().filter(|run| run.leaf == self.id);
        let first = now.saturating_sub(Duration::from_secs(1));
        let recent = own.filter(|run| run.began >= first && run.began <= until);
        recent.count() > most
    }

    fn serve(&self, mut stream: TcpStream, start: usize) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut rest) {
            let id = request.header("request-id").unwrap_or("").to_owned();
            let expected = request.header("expect-instance");
            let refusal = match expected.is_some_and(|name| name != self.id) {
                true => Some(("421 Misdirected Request", "Instance-Id", self.id.as_str())),
                false if !self.enter(start) => {
                    Some(("503 Service Unavailable", "Not-Executed", "1"))
                }
                false => None,
            };
            if let Some((status, key, value)) = refusal {
                let headers = [(key, value), ("Request-Id", id.as_str())];
                if http::respond(&mut stream, status, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            let began = self.record.now();
            let number = {
                let mut runs = self.runs.lock().unwrap();
                let list = runs.entry(id.clone()).or_default();
                list.push(Run {
                    leaf: self.id.clone(),
                    began,
                    answered: None,
                });
                list.len() - 1
            };
            self.record.line(&format!("leaf {} runs {id}", self.id));
            if self.start.load(Ordering::SeqCst) == start && self.is_overloaded(began) {
                self.crash();
                return;
            }
            let gone = wait_or_gone(&stream, self.work);
            self.leave(start);
            if gone || self.start.load(Ordering::SeqCst) != start {
                self.record.line(&format!("leaf {}: the connection of {id} is closed", self.id));
                return;
            }
            let seal = format!("{}.{id}", self.id);
            let headers = [("Server-Seal", seal.as_str()), ("Request-Id", id.as_str())];
            if http::respond(&mut stream, "200 OK", &headers, b"whole body").is_err() {
                return;
            }
            let now = self.record.now();
            self.runs.lock().unwrap().get_mut(&id).unwrap()[number].answered = Some(now);
            self.record.line(&format!("leaf {} has answered {id}", self.id));
        }
    }

    /// Waits for a slot; returns false if too many wait.
    fn enter(&self, start: usize) -> bool {
        let mut slots = self.slots.lock().unwrap();
        if slots.busy >= self.capacity && slots.queued >= QUEUE {
            return false;
        }
        slots.queued += 1;
        while slots.busy >= self.capacity && self.start.load(Ordering::SeqCst) == start {
            let wait = Duration::from_millis(50);
            slots = self.freed.wait_timeout(slots, wait).unwrap().0;
        }
        if self.start.load(Ordering::SeqCst) == start {
            slots.queued -= 1;
            slots.busy += 1;
        }
        true
    }

    fn leave(&self, start: usize) {
        if self.start.load(Ordering::SeqCst) == start {
            self.slots.lock().unwrap().busy -= 1;
            self.freed.notify_one();
        }
    }
}

/// Works for `work`; returns early, with true, if the caller closes the connection.
fn wait_or_gone(stream: &TcpStream, work: Duration) -> bool {
    let end = Instant::now() + work;
    let mut byte = [0];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            let _ = stream.set_read_timeout(None);
            return false;
        }
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match stream.peek(&mut byte) {
            Ok(0) => return true,
            Ok(_) => thread::sleep(left.min(Duration::from_millis(5))),
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) => {}
            Err(_) => return true,
        }
    }
}
