//! Starts the processes of a small deployment, and sends requests to them.

use std::{
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use chestnut_fake::DeploymentSpec;
use chestnut_port::{HttpClient, HttpReply};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};

/// Time limit for a condition to become true; no test depends on how long it takes.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process, killed when dropped.
pub struct Process(Child);

impl Process {
    /// Starts `program` without standard input or output.
    pub fn spawn(program: &Path, args: &[&str]) -> Self {
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|e| panic!("{}: {e}; build the workspace", program.display()));
        Self(child)
    }

    /// Returns the most memory that the process has had resident so far, in kB.
    pub fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number
            .expect("the peak of a living process")
            .parse()
            .unwrap()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.0.id() as i32);
        kill(pid, signal).unwrap();
    }

    /// Suspends the process and waits until all its threads have stopped: a thread that
    /// still runs after the signal was sent could answer a request.
    pub async fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
        let deadline = tokio::time::Instant::now() + WAIT_LIMIT;
        while !self.all_stopped() {
            assert!(tokio::time::Instant::now() < deadline, "still running");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether all threads are stopped, by their states in `/proc`.
    fn all_stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.0.id())).unwrap();
        tasks.map(Result::unwrap).all(|task| {
            // A thread that exited after the directory was read counts as stopped.
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            // The state follows the name in parentheses, which may contain any character.
            let state = stat.rsplit_once(") ").map(|(_, rest)| rest);
            state.is_none_or(|state| state.starts_with('T'))
        })
    }

    /// Waits until the process exits; returns whether it did, and with status 0.
    pub async fn exits_cleanly(&mut self) -> bool {
        let deadline = tokio::time::Instant::now() + WAIT_LIMIT;
        while tokio::time::Instant::now() < deadline {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status.success();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Path of another binary of this workspace, in the directory of `chestnut`.
fn binary(name: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_chestnut")).with_file_name(name)
}

/// A deployment of separate processes: a platform, back ends and entries.
pub struct Cluster {
    /// The layout of the deployment.
    pub spec: DeploymentSpec,
    /// The entry processes, by number; `None` for one that was stopped.
    pub entries: Vec<Option<Process>>,
    /// The client for all requests.
    pub http: HttpClient,
    dir: PathBuf,
    _platform: Process,
    _targets: Process,
}

/// Last byte of the address that the next test takes.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// Returns a loopback address that no other test on this machine uses.
fn unique_host() -> IpAddr {
    let pid = std::process::id();
    let test = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let (high, low) = (1 + (pid / 250 % 250) as u8, 1 + (pid % 250) as u8);
    IpAddr::V4(Ipv4Addr::new(127, high, low, test))
}

impl Cluster {
    /// Starts a platform, 30 + 6 leafs (back ends) and three entries, and waits until
    /// the entries are ready and see each other as alive.
    pub async fn start() -> Self {
        Self::start_with("").await
    }

    /// Does the same as [`Cluster::start`], with `settings` added to those of each entry.
    pub async fn start_with(settings: &str) -> Self {
        let host = unique_host();
        let dir = std::env::temp_dir().join(format!("chestnut-{host}"));
        write_files(&dir, host);
        let spec = DeploymentSpec::open(&dir.join("world.toml")).unwrap();
        let at = dir.to_str().unwrap();
        let fake = binary("chestnut-fake");
        let platform = Process::spawn(&fake, &["platform", "--folder", at]);
        let targets = Process::spawn(&fake, &["targets", "--folder", at]);
        let mut cluster = Self {
            entries: Vec::new(),
            http: HttpClient::default(),
            dir,
            _platform: platform,
            _targets: targets,
            spec,
        };
        let platform = cluster.spec.platform;
        cluster
            .eventually("the platform answers", async |c: &Cluster| {
                c.get(platform, "/control/counts").await.is_some()
            })
            .await;
        for number in 0..cluster.spec.entry.len() {
            cluster.write_settings(number, settings);
            let entry = cluster.spawn_entry(number);
            cluster.entries.push(Some(entry));
        }
        cluster.all_ready().await;
        cluster
    }

    /// Writes the settings file of an entry, with the lines of `more` added.
    fn write_settings(&self, number: usize, more: &str) {
        let text = self.spec.settings_of(&self.spec.entry[number]);
        let control = "[control]\nttl = \"1s\"\nprobe = \"200ms\"\nrecords = \"500ms\"\n";
        let path = self.dir.join(format!("entry-{number}.toml"));
        std::fs::write(path, format!("{text}\n{control}\n{more}")).unwrap();
    }

    /// Starts the process of an entry.
    pub fn spawn_entry(&self, number: usize) -> Process {
        let path = self.dir.join(format!("entry-{number}.toml"));
        Process::spawn(&binary("chestnutd"), &["--config", path.to_str().unwrap()])
    }

    /// Waits until every running entry is ready and sees all the others as alive.
    pub async fn all_ready(&self) {
        for (number, entry) in self.entries.iter().enumerate() {
            if entry.is_none() {
                continue;
            }
            let running = self.entries.iter().flatten().count();
            self.eventually(
                "the entry is ready and sees the others as alive",
                async |c: &Cluster| {
                    let Some(ready) = c.get(c.operators(number), "/readyz").await else {
                        return false;
                    };
                    let Some(status) = c.get(c.operators(number), "/status").await else {
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

    /// Returns an entry's address for callers.
    pub fn callers(&self, number: usize) -> SocketAddr {
        self.spec.entry[number].callers
    }

    /// Returns an entry's address for operators.
    pub fn operators(&self, number: usize) -> SocketAddr {
        self.spec.entry[number].operators
    }

    /// Returns the path of a file in the deployment's directory.
    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    /// Waits until `condition` is true; panics with `what` after the time limit.
    pub async fn eventually(&self, what: &str, condition: impl AsyncFn(&Cluster) -> bool) {
        let deadline = tokio::time::Instant::now() + WAIT_LIMIT;
        while !condition(self).await {
            assert!(
                tokio::time::Instant::now() < deadline,
                "timed out waiting for: {what}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a GET request; returns the JSON of the reply, or `None` without a reply.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<Value> {
        let wait = Duration::from_secs(2);
        let call = self
            .http
            .call("GET".parse().unwrap(), address, path, "".into(), wait);
        call.await.ok().map(|reply| reply.json())
    }

    /// Sends a POST request with a JSON body.
    pub async fn post(&self, address: SocketAddr, path: &str, body: Value) -> HttpReply {
        self.send("POST", address, path, body).await
    }

    /// Sends a PUT request with a JSON body.
    pub async fn put(&self, address: SocketAddr, path: &str, body: Value) -> HttpReply {
        self.send("PUT", address, path, body).await
    }

    /// Sends a request with a JSON body; panics without a reply.
    async fn send(&self, method: &str, address: SocketAddr, path: &str, body: Value) -> HttpReply {
        let wait = Duration::from_secs(10);
        let body = body.to_string().into();
        let call = self
            .http
            .call(method.parse().unwrap(), address, path, body, wait);
        call.await.unwrap()
    }

    /// Sends a query of the given call type to an entry.
    pub async fn query(&self, number: usize, call: &str) -> HttpReply {
        let body = json!({
            "organisation": "galway", "service": "ladder", "call": call, "query": {"q": 1},
        });
        self.post(self.callers(number), "/v1/query", body).await
    }

    /// Gets a ticket from an entry, which becomes its keeper.
    pub async fn ticket(&self, number: usize) -> String {
        let reply = self
            .post(self.callers(number), "/v1/tickets", json!({}))
            .await;
        reply.json()["ticket"].as_str().unwrap().to_owned()
    }

    /// Sends a submission to an entry; returns the JSON of the reply.
    pub async fn submit(&self, number: usize, ticket: &str, id: &str) -> Value {
        let body = json!({
            "ticket": ticket, "organisation": "galway", "service": "scorecard",
            "call": "score", "deadline_ms": 2000, "body": { "id": id },
        });
        self.post(self.callers(number), "/v1/submit", body)
            .await
            .json()
    }

    /// Returns how often the leafs have applied a submission.
    pub async fn applied(&self, id: &str) -> u64 {
        let mut times = 0;
        for leaf in self.spec.leafs() {
            let counters = self.get(leaf.address, "/control/ledger").await.unwrap();
            times += counters["applied"][id].as_u64().unwrap_or(0);
        }
        times
    }

    /// Changes one key in the configuration of every leaf of a service.
    pub async fn set_targets(&self, service: &str, key: &str, value: Value) {
        for leaf in self.spec.leafs() {
            if leaf.service.as_str() != service {
                continue;
            }
            let mut config = self.get(leaf.address, "/control/config").await.unwrap();
            config[key] = value.clone();
            self.put(leaf.address, "/control/config", config).await;
        }
    }

    /// Runs `chestnut` against an entry; returns its exit status and output.
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

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Writes the layout, the template and the organisation of the deployment.
fn write_files(dir: &Path, host: IpAddr) {
    std::fs::create_dir_all(dir.join("templates")).unwrap();
    std::fs::create_dir_all(dir.join("organisations")).unwrap();
    let mut world = std::fs::File::create(dir.join("world.toml")).unwrap();
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
    std::fs::write(dir.join("templates/league.json"), template.to_string()).unwrap();
    std::fs::write(dir.join("organisations/galway.json"), org.to_string()).unwrap();
}
