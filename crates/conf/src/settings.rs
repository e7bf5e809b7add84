//! Settings of one daemon, read from a TOML file.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use chestnut_unit::{ByteSize, DomainName, MemberId, Share};
use serde::Deserialize;

use crate::{SettingsError, duration};

/// All settings of one daemon: identity, listening addresses, platform, limits, routing,
/// control and logging. Only the first three sections are required.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of this entry.
    pub entry: EntrySettings,
    /// Listening addresses.
    pub listen: ListenSettings,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Limits on callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Routing of calls to leafs.
    #[serde(default)]
    pub route: RouteSettings,
    /// Membership, addresses and configuration.
    #[serde(default)]
    pub control: ControlSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Identity of an entry: its name and its failure domain.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name, unique among all entries.
    pub member: MemberId,
    /// Failure domain in which it runs.
    pub domain: DomainName,
}

/// Listening addresses of an entry, for callers, operators and peers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// HTTP address for callers.
    pub callers: SocketAddr,
    /// HTTP address for operators.
    pub operators: SocketAddr,
    /// Address for peers: TCP for calls and UDP for probes on the same port.
    pub peers: SocketAddr,
}

/// How to call the platform's object API: its address, the call timeout, and how long a
/// watch waits, which sets how often configuration is confirmed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the API.
    pub address: SocketAddr,
    /// Timeout of one call, not counting the time that a watch waits.
    #[serde(with = "duration", default = "platform_timeout")]
    pub timeout: Duration,
    /// How long one watch call waits for a change. Configuration is confirmed each
    /// time one returns, so it is normally confirmed within twice this time.
    #[serde(with = "duration", default = "platform_watch")]
    pub watch: Duration,
}

/// Default timeout of a call to the platform: 1 s.
fn platform_timeout() -> Duration {
    Duration::from_secs(1)
}

/// Default time that a watch waits for a change: 4 s.
fn platform_watch() -> Duration {
    Duration::from_secs(4)
}

/// Limits on callers' requests and connections, and on the answers of leafs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum size of a request body.
    pub body: ByteSize,
    /// Maximum size of the answer to one leaf call or sub-query.
    pub answer: ByteSize,
    /// Longest deadline that a caller may request.
    #[serde(with = "duration")]
    pub deadline: Duration,
    /// Time limit for receiving a request head, and again for the body.
    #[serde(with = "duration")]
    pub patience: Duration,
    /// Maximum number of open connections from callers.
    pub connections: usize,
    /// Maximum number of header lines in a request.
    pub headers: usize,
    /// Maximum size of all request bodies that are held at once.
    pub memory: ByteSize,
}

impl Default for LimitSettings {
    /// Bodies of 64 KiB, answers of 4 MiB, deadlines of 60 s, 5 s to receive a head or
    /// body, 10,000 connections, 64 header lines, and 96 MiB for all bodies.
    fn default() -> Self {
        Self {
            body: ByteSize(64 << 10),
            answer: ByteSize(4 << 20),
            deadline: Duration::from_secs(60),
            patience: Duration::from_secs(5),
            connections: 10_000,
            headers: 64,
            memory: ByteSize(96 << 20),
        }
    }
}

/// How a replica of a shard is selected. Only `PeakEwma` is meant for production
/// use; the others serve as baselines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaSelection {
    /// By a peak-sensitive moving average of latency and the outstanding calls.
    PeakEwma,
    /// By the number of outstanding calls.
    LeastOutstanding,
    /// Each replica in turn.
    RoundRobin,
}

/// Routing of calls to leafs: hedge and retry budgets, selection of replicas, queue and
/// connection limits.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteSettings {
    /// Hedge budget, as a share of first calls.
    pub hedge: Share,
    /// Retry budget, as a share of first calls.
    pub retry: Share,
    /// How a replica is selected.
    pub choice: ReplicaSelection,
    /// Maximum number of requests queued for admission, per service.
    pub queue: usize,
    /// Maximum number of connections that this entry opens to one leaf.
    pub pool: usize,
}

impl Default for RouteSettings {
    /// Hedges up to 8% and retries up to 10% of first calls, selection by peak EWMA, 256
    /// queued requests per service and 2 connections to a leaf.
    fn default() -> Self {
        Self {
            hedge: Share::from_permille(80),
            retry: Share::from_permille(100),
            choice: ReplicaSelection::PeakEwma,
            queue: 256,
            pool: 2,
        }
    }
}

/// Seeds, probes, the callers' list of entries, connection shares, tickets, refusal
/// records, graceful shutdown and the secret of receipts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// Peers to contact if the platform is unreachable at start.
    pub seeds: Vec<SocketAddr>,
    /// Interval between failure detector probes.
    #[serde(with = "duration")]
    pub probe: Duration,
    /// How long callers may cache the list of entries.
    #[serde(with = "duration")]
    pub ttl: Duration,
    /// Connections to one leaf reserved for each entry that connects to it. With the
    /// leaf's connection limit it determines how many entries may do so.
    pub share: u32,
    /// Lifetime of a ticket, which identifies one submission.
    #[serde(with = "duration")]
    pub ticket: Duration,
    /// Interval between writes of refusal records to the platform.
    #[serde(with = "duration")]
    pub records: Duration,
    /// Maximum time that a graceful shutdown waits for requests in flight.
    #[serde(with = "duration")]
    pub grace: Duration,
    /// Secret from which the key of receipts' check values is derived; the same at
    /// every entry.
    pub secret: String,
}

impl Default for ControlSettings {
    /// No seeds, a probe each 500 ms, lists cached for 5 s, 4 connections per leaf and entry,
    /// tickets for 10 min, records each 5 s, 60 s for shutdown, and a well-known secret.
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            probe: Duration::from_millis(500),
            ttl: Duration::from_secs(5),
            share: 4,
            ticket: Duration::from_secs(600),
            records: Duration::from_secs(5),
            grace: Duration::from_secs(60),
            secret: "chestnutpost".to_owned(),
        }
    }
}

/// Output format of logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Minimum severity of log messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Also warnings.
    Warning,
    /// Also placement decisions and refusals.
    #[default]
    Info,
    /// Also each routing decision.
    Debug,
}

/// Format and minimum severity of the log.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Output format.
    pub format: LogFormat,
    /// Minimum severity.
    pub level: LogLevel,
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// The file can't be read.
pub fn read_settings(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// The file can't be read, does not match the schema, or contains invalid or
    /// conflicting values. The error names the file, the key and how to fix it.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read_settings(path)?, path)
    }

    /// Parses and validates the text of a settings file; `path` is used in errors.
    ///
    /// # Errors
    ///
    /// As for [`Settings::open`], except for reading the file.
    pub fn parse(text: &str, path: &Path) -> Result<Self, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|e| SettingsError::Parse {
            path: path.to_owned(),
            message: e.to_string(),
        })?;
        settings.check(path)?;
        Ok(settings)
    }

    /// Validates what the schema can't express: values out of range, a pool larger than
    /// the connection share, and callers and operators on the same address and port.
    /// Returns the first error; `path` is used in it.
    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        let fail = |key, problem: String, fix| {
            Err(SettingsError::Value {
                path: PathBuf::from(path),
                key,
                problem,
                fix,
            })
        };
        if self.listen.callers == self.listen.operators && self.listen.callers.port() != 0 {
            let problem = format!("{} is also listen.callers", self.listen.operators);
            return fail("listen.operators", problem, "Use a different port.");
        }
        if self.limits.body.0 == 0 || self.limits.body.0 > MAX_BODY {
            let problem = format!("{} is out of range", self.limits.body);
            return fail("limits.body", problem, "Write a size from 1B to 16MiB.");
        }
        if self.limits.memory.0 < 4 * self.limits.body.0 {
            let problem = format!("{} is less than four bodies", self.limits.memory);
            return fail(
                "limits.memory",
                problem,
                "Write four times limits.body or more.",
            );
        }
        if self.control.probe < MIN_PROBE || self.control.probe > MAX_PROBE {
            let problem = format!("{:?} is out of range", self.control.probe);
            return fail(
                "control.probe",
                problem,
                "Write a duration from 50ms to 10s.",
            );
        }
        if self.control.share == 0 {
            let problem = "0 allows no connection to any leaf".to_owned();
            return fail("control.share", problem, "Write 1 or more.");
        }
        if self.route.pool == 0 || self.route.pool > self.control.share as usize {
            let problem = format!("{} is not between 1 and control.share", self.route.pool);
            return fail(
                "route.pool",
                problem,
                "Write a number from 1 to control.share.",
            );
        }
        if self.platform.watch < MIN_WATCH || self.platform.watch > MAX_WATCH {
            let problem = format!("{:?} is out of range", self.platform.watch);
            return fail("platform.watch", problem, "Write a duration from 1s to 4s.");
        }
        if self.control.ttl.is_zero() {
            let problem =
                "0 would make callers fetch the list of entries before each call".to_owned();
            return fail("control.ttl", problem, "Write a duration such as 5s.");
        }
        Ok(())
    }
}

/// Largest allowed body limit, in bytes; bodies are kept in memory.
const MAX_BODY: u64 = 16 << 20;
/// Shortest probe interval, which limits the traffic of probes.
const MIN_PROBE: Duration = Duration::from_millis(50);
/// Shortest watch, which limits the rate of reads from the platform.
const MIN_WATCH: Duration = Duration::from_secs(1);
/// Longest watch, so that configuration is confirmed within the shortest
/// `unconfirmed` time that a template may set.
const MAX_WATCH: Duration = Duration::from_secs(4);
/// Longest probe interval, so that failures are detected within seconds.
const MAX_PROBE: Duration = Duration::from_secs(10);
