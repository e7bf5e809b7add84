//! The entries under test, as processes with the command of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::Path,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// The command of the role in `deploy/system.toml`.
const PROGRAM: &str = "target/release/chestnut-entry";

unsafe extern "C" {
    safe fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
#[allow(dead_code)]
pub const SIGSTOP: i32 = 19;
#[allow(dead_code)]
pub const SIGCONT: i32 = 18;

/// Ports to choose from, below those that the system gives to outgoing connections: these could
/// take a port before the entry binds it.
const PORTS: std::ops::Range<u32> = 20_000..32_000;
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Addresses of an entry.
#[derive(Clone, Debug)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
}

impl Addresses {
    /// Finds free ports on `ip`.
    pub fn free(ip: &str) -> io::Result<Self> {
        let mut listeners: Vec<TcpListener> = Vec::new();
        while listeners.len() < 5 {
            let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
            let port = PORTS.start + (std::process::id() * 31 + step) % (PORTS.end - PORTS.start);
            listeners.extend(TcpListener::bind((ip, port as u16)));
            if step > PORTS.end {
                return Err(io::Error::other("no free ports"));
            }
        }
        let address = |n: usize| listeners[n].local_addr();
        Ok(Self {
            callers: address(0)?,
            readiness: address(1)?,
            directory: address(2)?,
            peers: address(3)?,
            metrics: address(4)?,
        })
    }
}

/// A running entry. It is killed when dropped.
pub struct Entry {
    pub name: String,
    pub addresses: Addresses,
    child: Child,
}

impl Entry {
    /// Starts an entry; its settings file and log go to `folder`. The settings are those that the
    /// template in `deploy/entry.toml` gives with the figures of the site's sheet.
    pub fn start(
        name: &str,
        zone: &str,
        addresses: &Addresses,
        seeds: &[SocketAddr],
        store: SocketAddr,
        folder: &Path,
    ) -> io::Result<Self> {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let Addresses {
            callers,
            readiness,
            directory,
            peers,
            metrics,
        } = addresses;
        let settings = format!(
            "seeds = [{}]\n[entry]\nmember = \"{name}\"\ndomain = \"{zone}\"\ncores = 0.25\n\
             link = 1000.0\nfiles = 4100\n[listen]\ncallers = \"{callers}\"\n\
             readiness = \"{readiness}\"\ndirectory = \"{directory}\"\npeers = \"{peers}\"\n\
             metrics = \"{metrics}\"\n[store]\naddress = \"{store}\"\n[extra]\npart = 0.2\n\
             slack = 52\nwindow = \"10s\"\n[cold]\nover = 1.5\nslack = 5\n[limits]\n[keys]\n[overload]\nenabled = true\n\
             [times]\ngrace = \"6s\"\ndrain = \"3000ms\"\n[log]\nformat = \"json\"\n\
             level = \"debug\"\n",
            seeds.join(",")
        );
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let mut command = Command::new(PROGRAM);
        command
            .env("CHESTNUTPOST_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // An entry must not outlive a run that is ended from outside.
        // SAFETY: `prctl` is called in the child only, and allocates nothing.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn()?;
        Ok(Self {
            name: name.to_owned(),
            addresses: addresses.clone(),
            child,
        })
    }

    pub fn signal(&self, signal: i32) {
        kill(self.child.id() as i32, signal);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until `/ready` answers 200; returns whether it did in time.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if get(self.addresses.readiness, "/ready").is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Makes one GET on a connection of its own.
pub fn get(address: SocketAddr, path: &str) -> io::Result<http::Message> {
    use std::io::Write;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n")?;
    let answer = http::read(&mut stream, &mut Vec::new())?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
