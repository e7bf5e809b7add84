//! Starts the processes of a small deployment and talks to them.

use std::{
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use chestnut_fake::World;
use chestnut_port::{HttpClient, HttpReply};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};

/// Longest wait for something that must come about. Nothing is concluded from
/// how long it took.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// A child process, killed when dropped.
pub struct Proc(Child);

impl Proc {
    pub fn spawn(program: &Path, args: &[&str]) -> Self {
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|e| panic!("{}: {e}; run the whole workspace", program.display()));
        Self(child)
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.0.id() as i32);
        kill(pid, signal).unwrap();
    }

    /// Stops the process and waits until all its threads stand still. The signal is sent
    /// before they do: one that still ran answered as if nothing were wrong.
    pub async fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
        let until = tokio::time::Instant::now() + PATIENCE;
        while !self.stands_still() {
            assert!(tokio::time::Instant::now() < until, "still running");
            tokio::time::sleep(LOOK).await;
        }
    }

    fn stands_still(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.0.id())).unwrap();
        tasks.map(Result::unwrap).all(|task| {
            // A thread that has ended since the folder was read runs no more.
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            // The state follows the name, which may hold anything, in parentheses.
            let state = stat.rsplit_once(") ").map(|(_, rest)| rest);
            state.is_none_or(|state| state.starts_with('T'))
        })
    }

    /// Whether the process ended by itself with success.
    pub async fn ended_well(&mut self) -> bool {
        let until = tokio::time::Instant::now() + PATIENCE;
        while tokio::time::Instant::now() < until {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status.success();
            }
            tokio::time::sleep(LOOK).await;
        }
        false
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A binary of this workspace, beside the one that cargo names.
fn binary(name: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_chestnut")).with_file_name(name)
}

/// A deployment of separate processes.
pub struct Bench {
    pub world: World,
    pub entries: Vec<Option<Proc>>,
    pub http: HttpClient,
    folder: PathBuf,
    _platform: Proc,
    _targets: Proc,
}

static NEXT: AtomicU8 = AtomicU8::new(1);

/// An address of the loopback range that no other test of this machine uses.
fn own_host() -> IpAddr {
    let pid = std::process::id();
    let test = NEXT.fetch_add(1, Ordering::Relaxed);
    let (high, low) = (1 + (pid / 250 % 250) as u8, 1 + (pid % 250) as u8);
    IpAddr::V4(Ipv4Addr::new(127, high, low, test))
}

impl Bench {
    /// Starts a platform, 30 + 6 leafs and three entries, and waits until the
    /// entries serve and know each other.
    pub async fn start() -> Self {
        Self::start_with("").await
    }

    /// As [`Bench::start`], with further settings for each entry.
    pub async fn start_with(settings: &str) -> Self {
        let host = own_host();
        let folder = std::env::temp_dir().join(format!("chestnut-{host}"));
        write_folder(&folder, host);
        let world = World::open(&folder.join("world.toml")).unwrap();
        let at = folder.to_str().unwrap();
        let fake = binary("chestnut-fake");
        let platform = Proc::spawn(&fake, &["platform", "--folder", at]);
        let targets = Proc::spawn(&fake, &["targets", "--folder", at]);
        let mut bench = Self {
            entries: Vec::new(),
            http: HttpClient::default(),
            folder,
            _platform: platform,
            _targets: targets,
            world,
        };
        let platform = bench.world.platform;
        bench
            .eventually("the platform answers", async |b: &Bench| {
                b.get(platform, "/control/counts").await.is_some()
            })
            .await;
        for number in 0..bench.world.entry.len() {
            bench.write_settings(number, settings);
            let entry = bench.spawn_entry(number);
            bench.entries.push(Some(entry));
        }
        bench.all_serve().await;
        bench
    }

    fn write_settings(&self, number: usize, more: &str) {
        let text = self.world.settings_of(&self.world.entry[number]);
        let control = "[control]\nttl = \"1s\"\nprobe = \"200ms\"\nrecords = \"500ms\"\n";
        let path = self.folder.join(format!("entry-{number}.toml"));
        std::fs::write(path, format!("{text}\n{control}\n{more}")).unwrap();
    }

    /// Starts the process of an entry.
    pub fn spawn_entry(&self, number: usize) -> Proc {
        let path = self.folder.join(format!("entry-{number}.toml"));
        Proc::spawn(&binary("chestnutd"), &["--config", path.to_str().unwrap()])
    }

    /// Waits until every running entry is ready and sees every other one.
    pub async fn all_serve(&self) {
        for (number, entry) in self.entries.iter().enumerate() {
            if entry.is_none() {
                continue;
            }
            let running = self.entries.iter().flatten().count();
            self.eventually(
                "the entry serves and knows the others",
                async |b: &Bench| {
                    let Some(ready) = b.get(b.operators(number), "/readyz").await else {
                        return false;
                    };
                    let Some(status) = b.get(b.operators(number), "/status").await else {
                        return false;
                    };
                    let present = status["members"].as_array().unwrap().iter();
                    let alive = present.filter(|m| m["liveness"] == "alive").count();
                    ready["ready"] == true && alive == running
                },
            )
            .await;
        }
    }

    pub fn callers(&self, number: usize) -> SocketAddr {
        self.world.entry[number].callers
    }

    pub fn operators(&self, number: usize) -> SocketAddr {
        self.world.entry[number].operators
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Waits until `holds` does.
    pub async fn eventually(&self, what: &str, holds: impl AsyncFn(&Bench) -> bool) {
        let until = tokio::time::Instant::now() + PATIENCE;
        while !holds(self).await {
            assert!(
                tokio::time::Instant::now() < until,
                "it never came about: {what}"
            );
            tokio::time::sleep(LOOK).await;
        }
    }

    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<Value> {
        let wait = Duration::from_secs(2);
        let call = self
            .http
            .call("GET".parse().unwrap(), address, path, "".into(), wait);
        call.await.ok().map(|reply| reply.json())
    }

    pub async fn post(&self, address: SocketAddr, path: &str, body: Value) -> HttpReply {
        self.send("POST", address, path, body).await
    }

    pub async fn put(&self, address: SocketAddr, path: &str, body: Value) -> HttpReply {
        self.send("PUT", address, path, body).await
    }

    async fn send(&self, method: &str, address: SocketAddr, path: &str, body: Value) -> HttpReply {
        let wait = Duration::from_secs(10);
        let body = body.to_string().into();
        let call = self
            .http
            .call(method.parse().unwrap(), address, path, body, wait);
        call.await.unwrap()
    }

    pub async fn query(&self, number: usize, call: &str) -> HttpReply {
        let body = json!({
            "organisation": "galway", "service": "ladder", "call": call, "query": {"q": 1},
        });
        self.post(self.callers(number), "/v1/query", body).await
    }

    pub async fn ticket(&self, number: usize) -> String {
        let reply = self
            .post(self.callers(number), "/v1/tickets", json!({}))
            .await;
        reply.json()["ticket"].as_str().unwrap().to_owned()
    }

    pub async fn submit(&self, number: usize, ticket: &str, id: &str) -> Value {
        let body = json!({
            "ticket": ticket, "organisation": "galway", "service": "scorecard",
            "call": "score", "deadline_ms": 2000, "body": { "id": id },
        });
        self.post(self.callers(number), "/v1/submit", body)
            .await
            .json()
    }

    /// How often a submission took effect, by the leafs' own accounts.
    pub async fn applied(&self, id: &str) -> u64 {
        let mut times = 0;
        for leaf in self.world.leafs() {
            let ledger = self.get(leaf.address, "/control/ledger").await.unwrap();
            times += ledger["applied"][id].as_u64().unwrap_or(0);
        }
        times
    }

    /// Changes one key of every leaf's behaviour.
    pub async fn set_targets(&self, service: &str, key: &str, value: Value) {
        for leaf in self.world.leafs() {
            if leaf.service.as_str() != service {
                continue;
            }
            let mut config = self.get(leaf.address, "/control/config").await.unwrap();
            config[key] = value.clone();
            self.put(leaf.address, "/control/config", config).await;
        }
    }

    /// Runs `chestnut` against an entry; gives its exit status and output.
    pub async fn chestnut(&self, number: usize, args: &[&str]) -> (i32, String) {
        let entry = self.operators(number).to_string();
        let mut all = vec!["--entry".to_owned(), entry];
        all.extend(args.iter().map(|arg| (*arg).to_owned()));
        let run = move || {
            Command::new(env!("CARGO_BIN_EXE_chestnut"))
                .args(&all)
                .output()
                .unwrap()
        };
        let output = tokio::task::spawn_blocking(run).await.unwrap();
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code().unwrap(),
            String::from_utf8(text).unwrap(),
        )
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn write_folder(folder: &Path, host: IpAddr) {
    std::fs::create_dir_all(folder.join("templates")).unwrap();
    std::fs::create_dir_all(folder.join("organisations")).unwrap();
    let mut world = std::fs::File::create(folder.join("world.toml")).unwrap();
    writeln!(world, "host = \"{host}\"\nplatform = \"{host}:7000\"").unwrap();
    writeln!(world, "domains = [\"dub-a\", \"dub-b\", \"kdr-c\"]").unwrap();
    for (name, shards, leafs, port) in [("ladder", 10, 30, 7400), ("scorecard", 2, 6, 7440)] {
        writeln!(
            world,
            "[[service]]\nname = \"{name}\"\nshards = {shards}\nreplicas = 3\nleafs = {leafs}\n\
             slots = 5\nconnections = 40\nopen_ms = 6\nmedian_ms = 2.0\ngroup = {leafs}\n\
             port = {port}"
        )
        .unwrap();
    }
    for (number, domain) in ["dub-a", "dub-b", "kdr-c"].iter().enumerate() {
        writeln!(
            world,
            "[[entry]]\nmember = \"{domain}-1\"\ndomain = \"{domain}\"\n\
             callers = \"{host}:{}\"\noperators = \"{host}:{}\"\npeers = \"{host}:{}\"",
            7101 + number,
            7201 + number,
            7301 + number,
        )
        .unwrap();
    }
    let template = json!({
        "services": ["ladder", "scorecard"],
        "calls": {
            "finals": { "kind": "query", "services": ["ladder"], "urgency": "now",
                "answer": "whole", "refuse": [], "deadline": "5000ms" },
            "standings": { "kind": "query", "services": ["ladder"], "urgency": "normal",
                "answer": "whole", "refuse": ["organisation_limit"], "deadline": "5000ms" },
            "score": { "kind": "submit", "services": ["scorecard"], "urgency": "now",
                "answer": "whole", "refuse": [], "deadline": "5000ms" },
        },
        "limits": { "rate": "10000/s", "flight": 10000 },
        "unconfirmed": "2h",
    });
    let org = json!({ "template": "league", "services": ["ladder", "scorecard"] });
    std::fs::write(folder.join("templates/league.json"), template.to_string()).unwrap();
    std::fs::write(folder.join("organisations/galway.json"), org.to_string()).unwrap();
}
