//! Stand-ins of leafs. A leaf checks `Expect-Instance`, runs a request for a while and answers
//! with its seal and the request's id.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head, Reader};
use crate::record::Record;

/// A request that a leaf began to work on.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub leaf: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// How a leaf answers; the default is a sound leaf.
pub type Answer =
    Arc<dyn Fn(&Leaf, &Head, &[u8], &mut TcpStream, &mut Reader, usize) -> bool + Send + Sync>;

pub struct Leaf {
    pub id: String,
    pub address: SocketAddr,
    pub work: Duration,
    pub runs: Runs,
    pub record: Arc<Record>,
}

impl Leaf {
    /// Starts a leaf. `answer` handles a request, given its number on its connection, and tells
    /// whether the connection is kept.
    pub fn start(
        id: &str,
        work: Duration,
        runs: &Runs,
        record: &Arc<Record>,
        answer: Answer,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let leaf = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            work,
            runs: runs.clone(),
            record: record.clone(),
        });
        let this = leaf.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, answer) = (this.clone(), answer.clone());
                thread::spawn(move || this.serve(stream, &answer));
            }
        });
        leaf
    }

    /// The registration in the store.
    pub fn spec(&self, service: &str, zone: &str, capacity: u32) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"capacity\":{capacity},\"state\":\"ready\",\"warmupLeftMs\":0,\"seq\":4}}",
            self.address
        )
    }

    fn serve(&self, stream: TcpStream, answer: &Answer) {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        let mut number = 0;
        while let Some(head) = http::read_head(&mut reader) {
            if head.get("request-id").is_none() {
                let health = head.request().1 == "/health";
                let status = if health { "200 OK" } else { "400 Bad Request" };
                let headers = format!("Instance-Id: {}\r\n", self.id);
                if !http::respond(&mut out, status, &headers, b"") {
                    return;
                }
                continue;
            }
            if head.get("expect-instance").is_some_and(|id| id != self.id) {
                let headers = format!("Instance-Id: {}\r\n", self.id);
                let Some(_) = http::read_body(&mut reader, &head) else {
                    return;
                };
                if !http::respond(&mut out, "421 Misdirected Request", &headers, b"") {
                    return;
                }
                continue;
            }
            let Some(body) = http::read_body(&mut reader, &head) else {
                return;
            };
            if !answer(self, &head, &body, &mut out, &mut reader, number) {
                return;
            }
            number += 1;
        }
    }

    /// Records that the leaf begins to work on a request, and works on it.
    pub fn run(&self, head: &Head) {
        let get = |name| head.get(name).unwrap_or("-").to_owned();
        let (id, tenant) = (get("request-id"), get("tenant"));
        self.record
            .line(&format!("leaf {} runs {id} of {tenant}", self.id));
        let run = Run {
            at: Instant::now(),
            id,
            leaf: self.id.clone(),
        };
        self.runs.lock().unwrap().push(run);
        thread::sleep(self.work);
    }

    /// Sends the whole answer to a request.
    pub fn reply(&self, head: &Head, out: &mut TcpStream) -> bool {
        let id = head.get("request-id").unwrap_or("-");
        let headers = format!("Request-Id: {id}\r\nServer-Seal: {}.{id}\r\n", self.id);
        http::respond(out, "200 OK", &headers, b"a record of the archive")
    }
}

/// The behaviour of a sound leaf.
pub fn sound() -> Answer {
    Arc::new(|leaf, head, _, out, _, _| {
        leaf.run(head);
        leaf.reply(head, out)
    })
}
