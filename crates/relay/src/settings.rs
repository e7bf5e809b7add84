//! Settings of one relay entry, read from a TOML file and checked.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use crate::ColdLimits;
use chestnut_conf::{LogSettings, SettingsError, duration, read_settings};
use chestnut_route::RateMargins;
use chestnut_unit::{ByteSize, DomainName, MemberId, Share, number};
use serde::Deserialize;

/// The settings file of one relay entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Identity and resources of this entry.
    pub entry: RelayEntry,
    /// Addresses at which this entry listens.
    pub listen: RelayListen,
    /// The store that holds the route book, the leafs and the adverts.
    pub store: StoreSettings,
    /// Peer addresses of some entries, for joining. They may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Budget for extra calls (hedges and retries).
    pub extra: ExtraCalls,
    /// Limits on calls to cold leafs, where the book bounds their rate.
    #[serde(default)]
    pub cold: ColdLimits,
    /// By how much all entries together may exceed the limits of organisations.
    #[serde(default)]
    pub limits: RateMargins,
    /// How keys of organisations are checked.
    #[serde(default)]
    pub keys: KeyChecks,
    /// Scheduling of requests while leafs lack capacity.
    #[serde(default)]
    pub overload: OverloadSettings,
    /// Durations of stopping, draining and caching.
    pub times: Times,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Identity and resources of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayEntry {
    /// Its member id, unique among the entries.
    pub member: MemberId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Processor cores that it may use.
    pub cores: f64,
    /// Bandwidth of its network link, in megabits per second.
    pub link: f64,
    /// File descriptors that it may have open.
    #[serde(deserialize_with = "number::floor::deserialize")]
    pub files: usize,
    /// Memory that it may take, in megabytes (10^6 bytes).
    #[serde(default = "memory", deserialize_with = "number::floor::deserialize")]
    pub memory: usize,
}

/// Default for [`RelayEntry::memory`], that of an entry's smallest usual machine.
fn memory() -> usize {
    160
}

/// Processor time of one leaf call, in core seconds, for the weight of an entry.
const CALL_CORE_SECONDS: f64 = 85e-6;
/// Network traffic of one leaf call in both directions, in megabits, for the weight of an
/// entry.
const CALL_MEGABITS: f64 = 11.2e-3;

/// Share of the file descriptors for connections from callers. Leafs, the store and other
/// entries need the rest.
const CALLERS_SHARE: f64 = 0.6;
/// Share of the file descriptors for connections to each of readiness, directory and metrics.
const SIDE_SHARE: f64 = 0.05;
/// Share of the file descriptors for connections from other entries: those of a failure domain
/// stay connected to the one that watches the store.
const PEERS_SHARE: f64 = 0.15;
/// Share of the memory for what callers make the entry hold: bodies, and answers until they are
/// read. The leafs, the book and the connections need the rest, and the allocator some of it.
const CALLERS_MEMORY_SHARE: f64 = 0.4;
/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

impl RelayEntry {
    /// Maximum number of open connections from callers, a fixed share of the file
    /// descriptors.
    #[must_use]
    pub fn max_caller_connections(&self) -> usize {
        (self.files as f64 * CALLERS_SHARE) as usize
    }

    /// Maximum number of open connections to each of readiness, directory and metrics.
    #[must_use]
    pub fn max_side_connections(&self) -> usize {
        (self.files as f64 * SIDE_SHARE) as usize
    }

    /// Maximum number of open connections from other entries.
    #[must_use]
    pub fn max_peer_connections(&self) -> usize {
        (self.files as f64 * PEERS_SHARE) as usize
    }

    /// Memory for what callers make the entry hold.
    #[must_use]
    pub fn callers_memory(&self) -> ByteSize {
        ByteSize((self.memory as f64 * MEGABYTE * CALLERS_MEMORY_SHARE) as u64)
    }

    /// Capacity of the entry in calls per second, if the processor and then the link are
    /// busy with each call in turn.
    #[must_use]
    pub fn weight(&self) -> u32 {
        let seconds = CALL_CORE_SECONDS / self.cores + CALL_MEGABITS / self.link;
        (1.0 / seconds) as u32
    }
}

/// Addresses at which an entry listens.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayListen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub readiness: SocketAddr,
    /// Queries for the addresses of serving entries.
    pub directory: SocketAddr,
    /// Peers: TCP for feeds and UDP for probes, on the same port.
    pub peers: SocketAddr,
    /// Scrapes of metrics.
    pub metrics: SocketAddr,
}

/// Connection to the store.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
}

/// Budget for extra calls (hedges and retries), per service and for all entries together.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExtraCalls {
    /// Extra calls per first call, from 0 to 1.
    pub part: f64,
    /// Extra calls allowed in any window on top of that ratio.
    pub slack: f64,
    /// Length of the window.
    #[serde(with = "duration")]
    pub window: Duration,
}

impl ExtraCalls {
    /// The ratio `part` as a [`Share`].
    #[must_use]
    pub fn ratio(&self) -> Share {
        Share::from_permille((self.part * 1000.0) as u16)
    }
}

/// How keys of organisations are checked while the store is lost, when keys that were taken
/// away may still look valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyChecks {
    /// Whether to refuse all requests that need a key once the store has confirmed nothing
    /// for `confirm`.
    pub strict: bool,
    /// How long a key that was taken away may still be accepted if the checks are strict.
    #[serde(with = "duration")]
    pub confirm: Duration,
}

impl KeyChecks {
    /// How long polls of the store may have failed before strict checks refuse: the last
    /// answer was some time before the first failure.
    #[must_use]
    pub fn patience(&self) -> Duration {
        self.confirm.saturating_sub(PROPAGATION_MAX)
    }
}

impl Default for KeyChecks {
    /// Not strict, and 5 s.
    fn default() -> Self {
        Self {
            strict: false,
            confirm: Duration::from_secs(5),
        }
    }
}

/// Scheduling of requests while leafs lack capacity.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OverloadSettings {
    /// Whether waiting requests are ordered, and refused on arrival if they would wait too
    /// long.
    pub enabled: bool,
    /// Which of the waiting requests starts first.
    pub order: QueueOrder,
    /// Longest wait for the first call, as a share of the time to the latency objective, from
    /// 0 to 1. The calls need the rest.
    pub max_wait: f64,
}

/// Which of the requests that wait for capacity starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum QueueOrder {
    /// The one that finds capacity first, mostly the newest. More requests end in time than in
    /// the order of shares, where no owner asks for much more than the others.
    Arrival,
    /// The first by urgency, then by the share of its organisation, or else of its rule.
    Share,
}

impl Default for OverloadSettings {
    /// Disabled.
    fn default() -> Self {
        Self {
            enabled: false,
            order: QueueOrder::Arrival,
            max_wait: 0.2,
        }
    }
}

/// Durations of stopping, draining and caching.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Times {
    /// Longest time from the stop signal to the end of the process.
    #[serde(with = "duration")]
    pub grace: Duration,
    /// How long a leaf keeps serving after it announces that it leaves. No new call may be
    /// sent to it after that.
    #[serde(with = "duration")]
    pub drain: Duration,
    /// How long callers may cache the list of entries.
    #[serde(with = "duration", default = "ttl")]
    pub ttl: Duration,
}

/// Default for [`Times::ttl`], 2 s: short enough that callers drop a leaving entry before its
/// grace time is over.
fn ttl() -> Duration {
    Duration::from_secs(2)
}

/// Longest propagation of a change in the store to this entry, including the failure of an
/// upstream or a watch on the way. It covers a heartbeat a second, its timeout of 0.4 s, and
/// the answers.
const PROPAGATION_MAX: Duration = Duration::from_millis(1800);
/// Time in which leafs write their registrations again that expired in an outage of the store.
/// The store promises about two seconds.
const LEAF_RECOVERY: Duration = Duration::from_millis(2200);
/// Share of the drain time after which a leaf with a missing registration must not be called.
const LEAF_RECOVERY_SHARE: f64 = 0.75;

impl Times {
    /// How long a leaving leaf may still be called if no other leaf is available, counted from
    /// when this entry learns of it: the drain time less that of propagation.
    #[must_use]
    pub fn draining_leaf_grace(&self) -> Duration {
        self.drain.saturating_sub(PROPAGATION_MAX)
    }

    /// How long a ready leaf may still be called after its registration has gone missing;
    /// limited by a share of the drain time.
    #[must_use]
    pub fn missing_leaf_grace(&self) -> Duration {
        LEAF_RECOVERY.min(self.drain.mul_f64(LEAF_RECOVERY_SHARE))
    }
}

impl RelaySettings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// The file can't be read, is not TOML of this form, or holds invalid values. The error
    /// names the file and the key, and says how to correct it.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read_settings(path)?, path)
    }

    /// Parses and checks the text of a settings file named `path`.
    ///
    /// # Errors
    ///
    /// As for [`RelaySettings::open`], except for reading the file.
    pub fn parse(text: &str, path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsError::Parse {
            path: path.to_owned(),
            message: error.to_string(),
        })?;
        settings.check(path)?;
        Ok(settings)
    }

    /// Checks the ranges of the values, and that callers and readiness have different addresses.
    /// The error for the first invalid value names `path` and the key, and how to correct it.
    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        let fail = |key, problem: String, fix| {
            Err(SettingsError::Value {
                path: PathBuf::from(path),
                key,
                problem,
                fix,
            })
        };
        let is_positive = |number: f64| number.is_finite() && number > 0.0;
        if !is_positive(self.entry.cores) || !is_positive(self.entry.link) {
            let (cores, link) = (self.entry.cores, self.entry.link);
            let problem = format!("cores and link must be positive, not {cores} and {link}");
            return fail("entry", problem, "Write cores and link above 0.");
        }
        if self.entry.files < FILES_MIN {
            let problem = format!("{} file descriptors are too few", self.entry.files);
            return fail("entry.files", problem, "Write 300 or more.");
        }
        if self.entry.memory < MEMORY_MIN {
            let problem = format!("{} MB of memory are too few", self.entry.memory);
            return fail("entry.memory", problem, "Write 64 or more.");
        }
        if self.extra.window.is_zero() {
            let problem = "the window must not be empty".to_owned();
            return fail("extra.window", problem, "Write a span such as 10s.");
        }
        if !(0.0..=1.0).contains(&self.extra.part) {
            let problem = format!("{} is out of range", self.extra.part);
            return fail("extra.part", problem, "Write a number from 0 to 1.");
        }
        if !(0.0..=SLACK_MAX).contains(&self.extra.slack) {
            let problem = format!("{} is out of range", self.extra.slack);
            return fail("extra.slack", problem, "Write a number from 0 to 1000000.");
        }
        let in_range = |number: f64| (0.0..=SLACK_MAX).contains(&number);
        if !in_range(self.cold.over) || !in_range(self.cold.slack) {
            let (over, slack) = (self.cold.over, self.cold.slack);
            let problem = format!("over {over} or slack {slack} is out of range");
            return fail("cold", problem, "Write over and slack from 0 to 1000000.");
        }
        let RateMargins {
            window,
            over,
            slack,
        } = self.limits;
        if !(WINDOW_MIN..=SLACK_MAX).contains(&window) {
            let problem = format!("{window} is out of range");
            return fail(
                "limits.window",
                problem,
                "Write seconds from 0.1 to 1000000.",
            );
        }
        if !in_range(over) || !in_range(slack) {
            let problem = format!("over {over} or slack {slack} is out of range");
            return fail("limits", problem, "Write over and slack from 0 to 1000000.");
        }
        if !(0.0..=1.0).contains(&self.overload.max_wait) {
            let problem = format!("{} is out of range", self.overload.max_wait);
            return fail("overload.max_wait", problem, "Write a number from 0 to 1.");
        }
        if self.times.grace < GRACE_MIN {
            let problem = format!("{:?} is too short to finish requests", self.times.grace);
            return fail("times.grace", problem, "Write a span of 1s or more.");
        }
        if self.times.ttl < TTL_MIN {
            let problem = format!(
                "{:?} is too short: callers are told whole seconds, and with 0 \
                they would ask for addresses before each call",
                self.times.ttl
            );
            return fail("times.ttl", problem, "Write a span such as 2s.");
        }
        if self.listen.callers == self.listen.readiness {
            let problem = format!(
                "{} is also the address of listen.callers",
                self.listen.readiness
            );
            return fail("listen.readiness", problem, "Give it a port of its own.");
        }
        Ok(())
    }
}

/// Fewest file descriptors that `entry.files` may give, as some are reserved for other uses
/// than sockets.
const FILES_MIN: usize = 300;
/// Least `entry.memory`, in megabytes: what an entry takes without callers, and some for them.
const MEMORY_MIN: usize = 64;
/// Greatest number in `extra`, `cold` and `limits`, far above the load of any service.
const SLACK_MAX: f64 = 1e6;
/// Shortest `limits.window`, in seconds.
const WINDOW_MIN: f64 = 0.1;
/// Shortest `times.ttl`, the least that callers are told.
const TTL_MIN: Duration = Duration::from_secs(1);
/// Shortest `times.grace`: other entries and callers have to learn of the stop.
const GRACE_MIN: Duration = Duration::from_secs(1);
