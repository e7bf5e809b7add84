//! Settings of one daemon, from a TOML file.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use chestnut_unit::{ByteSize, DomainName, MemberId, Share};
use serde::Deserialize;

use crate::{SettingsError, span};

/// Settings of one daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who this entry is.
    pub entry: EntrySettings,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: Limits,
    /// Routing.
    #[serde(default)]
    pub route: RouteSettings,
    /// Membership, addresses and configuration.
    #[serde(default)]
    pub control: Control,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Who this entry is.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Its name, unique among the entries.
    pub member: MemberId,
    /// Its failure domain.
    pub domain: DomainName,
}

/// Where an entry listens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers, HTTP.
    pub callers: SocketAddr,
    /// Operators, HTTP.
    pub operators: SocketAddr,
    /// Peers: TCP for calls and UDP for probes, on the same port.
    pub peers: SocketAddr,
}

/// The platform's object API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Bound on one call, the waiting of a watch apart.
    #[serde(with = "span", default = "platform_timeout")]
    pub timeout: Duration,
    /// How long one watch call waits for a change. Settings are confirmed each
    /// time one returns, so their age stays below twice this.
    #[serde(with = "span", default = "platform_watch")]
    pub watch: Duration,
}

fn platform_timeout() -> Duration {
    Duration::from_secs(1)
}

fn platform_watch() -> Duration {
    Duration::from_secs(4)
}

/// Limits towards callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body.
    pub body: ByteSize,
    /// Largest answer of one leaf call or sub-query.
    pub answer: ByteSize,
    /// Longest deadline that a caller may state.
    #[serde(with = "span")]
    pub deadline: Duration,
    /// How long a caller may take to send its request.
    #[serde(with = "span")]
    pub patience: Duration,
    /// Open connections from callers.
    pub connections: usize,
    /// Most header lines in a request.
    pub headers: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: ByteSize(64 << 10),
            answer: ByteSize(4 << 20),
            deadline: Duration::from_secs(60),
            patience: Duration::from_secs(5),
            connections: 10_000,
            headers: 64,
        }
    }
}

/// How a replica is chosen. All but the first are there to compare with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaChoice {
    /// By the highest recent duration and the outstanding calls.
    PeakEwma,
    /// By the outstanding calls alone.
    LeastOutstanding,
    /// In turn.
    RoundRobin,
}

/// Routing.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteSettings {
    /// Extra leaf calls that hedges may add, as a share of first calls.
    pub hedge: Share,
    /// Extra leaf calls that retries may add, as a share of first calls.
    pub retry: Share,
    /// How a replica is chosen.
    pub choice: ReplicaChoice,
    /// Requests that may wait for admission, for each service.
    pub queue: usize,
    /// Most connections that this entry opens to one leaf.
    pub pool: usize,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            hedge: Share::from_permille(80),
            retry: Share::from_permille(100),
            choice: ReplicaChoice::PeakEwma,
            queue: 256,
            pool: 2,
        }
    }
}

/// Membership, addresses and configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Peers to try while the platform can't be reached at start.
    pub seeds: Vec<SocketAddr>,
    /// Time between two probes of a member.
    #[serde(with = "span")]
    pub probe: Duration,
    /// How long callers keep the list of entries.
    #[serde(with = "span")]
    pub ttl: Duration,
    /// Connections that one entry keeps to a leaf; a leaf's limit divided by
    /// this is the number of its holders.
    pub share: u32,
    /// How long a ticket lives.
    #[serde(with = "span")]
    pub ticket: Duration,
    /// Time between two writes of refusal records to the platform.
    #[serde(with = "span")]
    pub records: Duration,
    /// Longest time a planned stop waits for requests in flight.
    #[serde(with = "span")]
    pub grace: Duration,
    /// Key of the check value in receipts; the same at every entry.
    pub secret: String,
}

impl Default for Control {
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

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Least severity that is logged. Routing decisions are logged at `debug`,
/// placement decisions and refusals at `info`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Faults only.
    Error,
    /// Faults and what may become one.
    Warning,
    /// Placement decisions and refusals too.
    #[default]
    Info,
    /// Each routing decision too.
    Debug,
}

/// Logs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least severity.
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
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The file can't be read, is not TOML of this form, or holds values that
    /// clash. The error names the file, the key and the mend.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read_settings(path)?, path)
    }

    /// Parses and checks the text of a settings file named `path`.
    ///
    /// # Errors
    ///
    /// As [`Settings::open`], the reading apart.
    pub fn parse(text: &str, path: &Path) -> Result<Self, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|e| SettingsError::Parse {
            path: path.to_owned(),
            message: e.to_string(),
        })?;
        settings.check(path)?;
        Ok(settings)
    }

    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        let fail = |key, problem: String, mend| {
            Err(SettingsError::Value {
                path: PathBuf::from(path),
                key,
                problem,
                mend,
            })
        };
        if self.listen.callers == self.listen.operators && self.listen.callers.port() != 0 {
            let problem = format!("{} is listen.callers too", self.listen.operators);
            return fail("listen.operators", problem, "Give it a port of its own.");
        }
        if self.limits.body.0 == 0 || self.limits.body.0 > MAX_BODY {
            let problem = format!("{} is out of range", self.limits.body);
            return fail("limits.body", problem, "Write a size from 1B to 16MiB.");
        }
        if self.control.probe < MIN_PROBE || self.control.probe > MAX_PROBE {
            let problem = format!("{:?} is out of range", self.control.probe);
            return fail("control.probe", problem, "Write a span from 50ms to 10s.");
        }
        if self.control.share == 0 {
            let problem = "0 leaves no connection to any leaf".to_owned();
            return fail("control.share", problem, "Write 1 or more.");
        }
        if self.route.pool == 0 || self.route.pool > self.control.share as usize {
            let problem = format!("{} is not within control.share", self.route.pool);
            return fail("route.pool", problem, "Write 1 up to control.share.");
        }
        if self.platform.watch < MIN_WATCH || self.platform.watch > MAX_WATCH {
            let problem = format!("{:?} is out of range", self.platform.watch);
            return fail("platform.watch", problem, "Write a span from 1s to 4s.");
        }
        if self.control.ttl.is_zero() {
            let problem = "0 would make callers ask before each call".to_owned();
            return fail("control.ttl", problem, "Write a span such as 5s.");
        }
        Ok(())
    }
}

/// Largest body limit: bodies are held in memory while a request is served.
const MAX_BODY: u64 = 16 << 20;
/// Shortest probe interval: below it probes alone pass the control budget.
const MIN_PROBE: Duration = Duration::from_millis(50);
/// Shortest watch: each return is a read of the platform.
const MIN_WATCH: Duration = Duration::from_secs(1);
/// Longest watch: templates may ask for settings confirmed ten seconds ago.
const MAX_WATCH: Duration = Duration::from_secs(4);
/// Longest probe interval: above it a death is not known within seconds.
const MAX_PROBE: Duration = Duration::from_secs(10);
