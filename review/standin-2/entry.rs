//! Entries: the program of the deploy file as processes of their own.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::template::{self, Values};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The command of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/chestnut-entry";
/// Zones of a small deployment.
const ZONES: [&str; 3] = ["dub-a", "dub-b", "kdr-c"];

pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub settings: PathBuf,
    /// The values for the settings template, without `graceS`.
    values: Values,
    log: PathBuf,
    child: Option<Child>,
}

/// A folder for the files of a run, removed at its end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns loopback addresses of which all ports of an entry are free, one for each entry.
fn addresses(count: usize) -> Vec<Ipv4Addr> {
    let seed = std::process::id();
    let (b, c) = (64 + (seed / 251 % 128) as u8, (seed % 251) as u8);
    let all = (2..250).map(|d| Ipv4Addr::new(127, b, c, d));
    let free = |ip: &Ipv4Addr| {
        [8224, 8225, 8226, 8227, 9464]
            .iter()
            .all(|port| TcpListener::bind((*ip, *port)).is_ok())
    };
    all.filter(free).take(count).collect()
}

/// Settings of a small deployment, as the template of the deploy file gives them.
fn settings(name: &str, zone: &str, ip: Ipv4Addr, seeds: &[Ipv4Addr], store: SocketAddr) -> String {
    let seeds: Vec<String> = seeds.iter().map(|ip| format!("\"{ip}:8224\"")).collect();
    format!(
        "seeds = [{}]\n\
         [entry]\nmember = \"{name}\"\ndomain = \"{zone}\"\ncores = 0.25\nlink = 1000.0\nfiles = 4100\n\
         [listen]\ncallers = \"{ip}:8226\"\nreadiness = \"{ip}:8227\"\ndirectory = \"{ip}:8225\"\npeers = \"{ip}:8224\"\nmetrics = \"{ip}:9464\"\n\
         [store]\naddress = \"{store}\"\n\
         [extra]\npart = 0.2\nslack = 52\nwindow = \"10s\"\n\
         [cold]\n\
         [limits]\nwindow = 5\nover = 0.1\nslack = 20\n\
         [keys]\nconfirm = \"5000ms\"\n\
         [overload]\nenabled = true\n\
         [times]\ngrace = \"6s\"\ndrain = \"3000ms\"\n\
         [log]\nformat = \"json\"\nlevel = \"debug\"\n",
        seeds.join(", ")
    )
}

/// The values of a small deployment for the settings template, as JSON, without `graceS`.
fn values(name: &str, zone: &str, ip: Ipv4Addr, seeds: &[Ipv4Addr], store: SocketAddr) -> Values {
    let quoted = |text: &str| format!("\"{text}\"");
    let at = |port: u16| quoted(&format!("{ip}:{port}"));
    let seeds: Vec<String> = seeds.iter().map(|ip| format!("\"{ip}:8224\"")).collect();
    let list = [
        ("seeds", format!("[{}]", seeds.join(","))),
        ("nodeName", quoted(name)),
        ("zone", quoted(zone)),
        ("ip", quoted(&ip.to_string())),
        ("limits.cpuQuota", "0.25".to_owned()),
        ("limits.linkMbps", "1000.0".to_owned()),
        ("limits.maxFds", "4100".to_owned()),
        ("listen.frontend", at(8226)),
        ("listen.readiness", at(8227)),
        ("listen.directory", at(8225)),
        ("listen.control", at(8224)),
        ("platform.address", quoted(&store.to_string())),
        ("bounds.retryRatio", "0.2".to_owned()),
        ("bounds.retrySlack", "52".to_owned()),
        ("bounds.retryWindowS", "10".to_owned()),
        ("bounds.drainMs", "3000".to_owned()),
    ];
    list.into_iter()
        .map(|(name, value)| (name.to_owned(), value))
        .collect()
}

/// Starts `count` entries and waits until all are ready; `None` if they aren't in time.
pub fn start(count: usize, store: SocketAddr, dir: &Path) -> Option<Vec<Entry>> {
    start_with(count, store, dir, None)
}

/// Like [`start`], with the settings template of the deploy file and this `graceS`.
pub fn start_from_template(
    count: usize,
    store: SocketAddr,
    dir: &Path,
    grace: &str,
) -> Option<Vec<Entry>> {
    start_with(count, store, dir, Some(grace))
}

fn start_with(
    count: usize,
    store: SocketAddr,
    dir: &Path,
    grace: Option<&str>,
) -> Option<Vec<Entry>> {
    let ips = addresses(count);
    if ips.len() < count {
        return None;
    }
    let seeds = &ips[..count.min(3)];
    let mut entries: Vec<Entry> = ips
        .iter()
        .enumerate()
        .map(|(at, ip)| {
            let zone = ZONES[at % ZONES.len()];
            let name = format!("front-{zone}-{}", at / ZONES.len() + 1);
            let path = dir.join(format!("{name}.toml"));
            fs::write(&path, settings(&name, zone, *ip, seeds, store))
                .expect("settings can be written");
            let at = |port| SocketAddr::new(IpAddr::V4(*ip), port);
            let name_of = name.clone();
            Entry {
                log: dir.join(format!("{name}.log")),
                name,
                callers: at(8226),
                readiness: at(8227),
                settings: path,
                values: values(&name_of, zone, *ip, seeds, store),
                child: None,
            }
        })
        .collect();
    if let Some(grace) = grace {
        for entry in &entries {
            fs::write(&entry.settings, entry.filled(grace)).expect("settings can be written");
        }
    }
    entries.iter_mut().for_each(Entry::start);
    let end = Instant::now() + Duration::from_secs(15);
    while !entries.iter().all(Entry::is_ready) {
        if Instant::now() >= end {
            return None;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Some(entries)
}

impl Entry {
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("CHESTNUTPOST_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        self.child = child.ok();
    }

    /// The settings template of the deploy file, filled in with this `graceS`.
    pub fn filled(&self, grace: &str) -> String {
        let template = fs::read_to_string("deploy/entry.toml").expect("the settings template");
        let mut values = self.values.clone();
        values.insert("bounds.graceS".to_owned(), grace.to_owned());
        template::fill(&template, &values)
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    pub fn is_ready(&self) -> bool {
        let mut client = Client::new(self.readiness, Duration::from_millis(500));
        client
            .send("GET", "/ready", "ready.example", &[], b"")
            .is_ok_and(|answer| answer.status == 200)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: sends a signal to a child of this process that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.signal(SIGKILL);
        self.wait();
    }
}
