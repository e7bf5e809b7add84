//! A stand-in of the platform's metadata store, by the pages: objects by kind and name, one
//! revision counter, lists, watches, and conditional writes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

struct Change {
    revision: u64,
    kind: String,
    name: String,
    spec: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    history: Vec<Change>,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Arc::new(Self {
            address,
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let this = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        store
    }

    /// Writes an object, or deletes it without a spec.
    pub fn put(&self, kind: &str, name: &str, spec: Option<&str>) {
        self.state.lock().unwrap().put(kind, name, spec);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader) {
            let Some(body) = http::read_body(&mut reader, &head) else {
                return;
            };
            let (status, answer) = self.answer(&head, &String::from_utf8_lossy(&body));
            let headers = "Content-Type: application/json\r\n";
            if !http::respond(&mut out, status, headers, answer.as_bytes()) {
                return;
            }
        }
    }

    fn answer(&self, head: &http::Head, body: &str) -> (&'static str, String) {
        let (method, target) = head.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| value)
                .next()
        };
        let words: Vec<&str> = path.split('/').skip(2).collect();
        let kind = words.first().copied().unwrap_or("");
        match (method, words.get(1)) {
            ("GET", None) => match query("watch") {
                Some(after) => {
                    let wait = query("waitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                    self.watch(
                        kind,
                        after.parse().unwrap_or(0),
                        Duration::from_millis(wait),
                    )
                }
                None => self.list(kind, query("after").unwrap_or("")),
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.object(kind, name) {
                    Some(object) => ("200 OK", object),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            _ => self.write(method, kind, words.get(1).copied(), body),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        let names = state
            .objects
            .keys()
            .filter(|key| key.0 == kind && key.1.as_str() > after);
        let items: Vec<String> = names.filter_map(|key| state.object(kind, &key.1)).collect();
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":false,\"asOf\":{}}}",
            items.join(","),
            state.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let new = state
                .history
                .iter()
                .filter(|change| change.revision > after && change.kind == kind);
            let events: Vec<String> = new
                .map(|change| {
                    let object = object(&change.name, change.revision, change.spec.as_deref());
                    format!(
                        "{{\"deleted\":{},\"object\":{object}}}",
                        change.spec.is_none()
                    )
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    events.join(","),
                    state.revision
                );
                return ("200 OK", body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: Option<&str>,
        body: &str,
    ) -> (&'static str, String) {
        let meta = member(body, "meta").unwrap_or("{}");
        let spec = member(body, "spec").unwrap_or("null");
        let named = member(meta, "name").map(|name| name.trim_matches('"').to_owned());
        let name = name.map(str::to_owned).or(named).unwrap_or_default();
        let expected: Option<u64> = member(meta, "revision").and_then(|text| text.parse().ok());
        let mut state = self.state.lock().unwrap();
        let found = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let status = match (method, &found) {
            ("POST", Some(_)) => "409 Conflict",
            ("PUT" | "DELETE", None) => "404 Not Found",
            ("PUT", Some((at, _))) if expected.is_some_and(|expected| expected != *at) => {
                "409 Conflict"
            }
            ("PUT", Some((_, known))) if known == spec => "200 OK",
            ("DELETE", Some(_)) => {
                state.put(kind, &name, None);
                "200 OK"
            }
            _ => {
                state.put(kind, &name, Some(spec));
                "200 OK"
            }
        };
        let answer = state.object(kind, &name).unwrap_or_else(|| "{}".to_owned());
        drop(state);
        self.changed.notify_all();
        (status, answer)
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Option<&str>) {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        match spec {
            Some(spec) => self.objects.insert(key, (self.revision, spec.to_owned())),
            None => self.objects.remove(&key),
        };
        self.history.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec: spec.map(str::to_owned),
        });
    }

    fn object(&self, kind: &str, name: &str) -> Option<String> {
        let (revision, spec) = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(object(name, *revision, Some(spec)))
    }
}

fn object(name: &str, revision: u64, spec: Option<&str>) -> String {
    let spec = spec.unwrap_or("null");
    format!("{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}")
}

/// Returns the text of a member of a JSON object.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = text.find('{')? + 1;
    loop {
        while at < bytes.len() && (bytes[at].is_ascii_whitespace() || bytes[at] == b',') {
            at += 1;
        }
        if at >= bytes.len() || bytes[at] != b'"' {
            return None;
        }
        let end = value_end(bytes, at);
        let key = &text[at + 1..end - 1];
        at = end;
        while bytes[at] != b':' {
            at += 1;
        }
        at += 1;
        while bytes[at].is_ascii_whitespace() {
            at += 1;
        }
        let end = value_end(bytes, at);
        if key == name {
            return Some(text[at..end].trim());
        }
        at = end;
    }
}

/// Returns the end of the JSON value that begins at `at`.
fn value_end(bytes: &[u8], at: usize) -> usize {
    let (mut depth, mut quoted, mut i) = (0, false, at);
    while i < bytes.len() {
        match bytes[i] {
            b'\\' if quoted => i += 1,
            b'"' => {
                quoted = !quoted;
                if !quoted && depth == 0 {
                    return i + 1;
                }
            }
            b'{' | b'[' if !quoted => depth += 1,
            b'}' | b']' if !quoted => {
                if depth == 0 {
                    return i;
                }
                depth -= 1;
                if depth == 0 {
                    return i + 1;
                }
            }
            b',' if !quoted && depth == 0 => return i,
            _ => {}
        }
        i += 1;
    }
    i
}
