//! A stand-in of the platform's store: objects by kind and name, lists, watches and conditional
//! writes over HTTP/1.1. It is always up and answers at once.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http, json};

/// Most objects in one page of a list.
const PAGE: usize = 50;

type Key = (String, String);

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision and spec of each object.
    objects: BTreeMap<Key, (u64, String)>,
    /// Each change: its revision, its object, and the spec or `None` for a deletion.
    history: Vec<(u64, Key, Option<String>)>,
}

#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts to serve on a free port of `ip`.
    pub fn start(ip: &str) -> io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store = Self::default();
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    /// Writes an object, or deletes it without a spec.
    pub fn put(&self, kind: &str, name: &str, spec: Option<String>) {
        let mut state = self.inner.0.lock().unwrap();
        state.put(kind, name, spec);
        self.inner.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut rest) {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if http::respond(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> (&'static str, String) {
        let (method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let mut words = path.trim_start_matches('/').split('/').skip(1);
        let kind = words.next().unwrap_or("").to_owned();
        let name = words.next().map(str::to_owned);
        match (method, name) {
            ("GET", None) => match parameter("watch").and_then(|at| at.parse().ok()) {
                Some(after) => {
                    let wait = parameter("waitMs").and_then(|ms| ms.parse().ok());
                    self.watch(&kind, after, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => self.list(&kind, parameter("after").unwrap_or("")),
            },
            ("GET", Some(name)) => {
                let state = self.inner.0.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some((at, spec)) => ("200 OK", object(&name, *at, Some(spec))),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            (_, name) => self.write(method, &kind, name, &request.body),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (&'static str, String) {
        let state = self.inner.0.lock().unwrap();
        let all = state.objects.iter();
        let later = all.filter(|((k, name), _)| k == kind && name.as_str() > after);
        let items: Vec<String> = later
            .map(|((_, name), (at, spec))| object(name, *at, Some(spec)))
            .collect();
        let more = items.len() > PAGE;
        let items = items[..items.len().min(PAGE)].join(",");
        let revision = state.revision;
        let body = format!("{{\"items\":[{items}],\"hasMore\":{more},\"asOf\":{revision}}}");
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let end = Instant::now() + wait;
        let mut state = self.inner.0.lock().unwrap();
        loop {
            let new = state.history.iter();
            let new = new.filter(|(at, key, _)| *at > after && key.0 == kind);
            let events: Vec<String> = new
                .map(|(at, (_, name), spec)| {
                    let deleted = spec.is_none();
                    let object = object(name, *at, spec.as_deref());
                    format!("{{\"deleted\":{deleted},\"object\":{object}}}")
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                let body = format!("{{\"events\":[{events}],\"asOf\":{revision}}}");
                return ("200 OK", body);
            }
            state = self.inner.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: Option<String>,
        body: &[u8],
    ) -> (&'static str, String) {
        let body = String::from_utf8_lossy(body).into_owned();
        let meta = json::field(&body, "meta").unwrap_or("{}");
        let expected = json::field(meta, "revision").and_then(|n| n.parse::<u64>().ok());
        let Some(name) = name.or_else(|| json::string(meta, "name").map(str::to_owned)) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let spec = json::field(&body, "spec").unwrap_or("null").to_owned();
        let key = (kind.to_owned(), name.clone());
        let mut state = self.inner.0.lock().unwrap();
        let found = state.objects.get(&key).cloned();
        let status = match (method, &found) {
            ("POST", Some(_)) => "409 Conflict",
            ("PUT", Some((at, _))) if expected.is_some_and(|want| want != *at) => "409 Conflict",
            ("PUT" | "DELETE", None) => "404 Not Found",
            ("PUT", Some((_, old))) if *old == spec => "200 OK",
            ("DELETE", Some(_)) => {
                state.put(kind, &name, None);
                "200 OK"
            }
            _ => {
                state.put(kind, &name, Some(spec));
                "200 OK"
            }
        };
        self.inner.1.notify_all();
        let now = state.objects.get(&key);
        let now = now.map(|(at, spec)| object(&name, *at, Some(spec)));
        (status, now.unwrap_or_else(|| "{}".to_owned()))
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Option<String>) {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        match &spec {
            Some(spec) => self.objects.insert(key.clone(), (self.revision, spec.clone())),
            None => self.objects.remove(&key),
        };
        self.history.push((self.revision, key, spec));
    }
}

/// An object as the store answers it.
fn object(name: &str, revision: u64, spec: Option<&str>) -> String {
    let spec = spec.unwrap_or("null");
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}
