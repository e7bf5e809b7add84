//! Settings of one entry that forwards requests, from a TOML file.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use crate::ColdCalls;
use chestnut_conf::{LogSettings, SettingsError, read_settings, span};
use chestnut_unit::{DomainName, MemberId, Share};
use serde::Deserialize;

/// Settings of one entry that forwards requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Who this entry is.
    pub entry: RelayEntry,
    /// Where it listens.
    pub listen: RelayListen,
    /// The store that holds the book, the leafs and the adverts.
    pub store: StoreSettings,
    /// Addresses of some entries, for peers. They may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Bound on extra calls.
    pub extra: ExtraCalls,
    /// What cold leafs take, where the book bounds it.
    #[serde(default)]
    pub cold: ColdCalls,
    /// How long things last.
    pub times: Times,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Who an entry is.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayEntry {
    /// Its name, unique among the entries.
    pub member: MemberId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Processor cores that it may use.
    pub cores: f64,
    /// Its link, in megabits a second.
    pub link: f64,
    /// File descriptors that it may have open.
    pub files: usize,
}

/// Processor time that the daemon spends on a leaf call, everything counted.
const CALL_CORE: f64 = 85e-6;
/// Megabits of a leaf call: a part of 1,000 bytes with its heads, both ways.
const CALL_MEGABITS: f64 = 11.2e-3;

/// Part of the descriptors that callers' connections may take. Leafs, the store
/// and other entries need the rest.
const CALLERS_PART: f64 = 0.6;

impl RelayEntry {
    /// Connections of callers that may be open.
    #[must_use]
    pub fn callers(&self) -> usize {
        (self.files as f64 * CALLERS_PART) as usize
    }

    /// Calls a second that the entry can carry: it works on one for as long as
    /// its processor and then its link take.
    #[must_use]
    pub fn weight(&self) -> u32 {
        let span = CALL_CORE / self.cores + CALL_MEGABITS / self.link;
        (1.0 / span) as u32
    }
}

/// Where an entry listens.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayListen {
    /// Callers.
    pub callers: SocketAddr,
    /// Questions whether the entry is ready.
    pub readiness: SocketAddr,
    /// Questions where to connect.
    pub directory: SocketAddr,
    /// Peers: TCP for feeds and UDP for probes, on the same port.
    pub peers: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// The store.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
}

/// Bound on calls beyond the first of each request, for each service and all
/// entries together.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExtraCalls {
    /// As a part of first calls, from 0 to 1.
    pub part: f64,
    /// Calls on top of that part, within any window.
    pub slack: f64,
    /// The window.
    #[serde(with = "span")]
    pub window: Duration,
}

impl ExtraCalls {
    /// The part as a share.
    #[must_use]
    pub fn share(&self) -> Share {
        Share::from_permille((self.part * 1000.0) as u16)
    }
}

/// How long things last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Times {
    /// Longest time from the signal to stop to the end of the process.
    #[serde(with = "span")]
    pub grace: Duration,
    /// How long a leaf goes on serving once it is known to leave. Nothing new
    /// may be sent to it after that.
    #[serde(with = "span")]
    pub drain: Duration,
    /// How long callers keep the list of entries.
    #[serde(with = "span", default = "ttl")]
    pub ttl: Duration,
}

/// Two seconds: callers ask once each, and have let go of an entry that leaves
/// long before its grace is over.
fn ttl() -> Duration {
    Duration::from_secs(2)
}

/// Longest time from a change in the store until it is known here, with a
/// watcher that dies or a watch that is lost on the way: a pulse a second, its
/// wait of 0.4 s, and the rest for answers.
const HEARD: Duration = Duration::from_millis(1800);
/// Longest time for entries that lapsed while the store was away to come back.
/// The store promises about two seconds.
const LAPSE: Duration = Duration::from_millis(2200);
/// Part of the drain time within which a missing leaf must be given up.
const LAPSE_PART: f64 = 0.75;

impl Times {
    /// How long a leaf that is leaving may still be called where no other can
    /// be.
    #[must_use]
    pub fn linger(&self) -> Duration {
        self.drain.saturating_sub(HEARD)
    }

    /// How long a leaf whose entry is missing may still be called.
    #[must_use]
    pub fn lapse(&self) -> Duration {
        LAPSE.min(self.drain.mul_f64(LAPSE_PART))
    }
}

impl RelaySettings {
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
    /// As [`RelaySettings::open`], the reading apart.
    pub fn parse(text: &str, path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsError::Parse {
            path: path.to_owned(),
            message: error.to_string(),
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
        if self.entry.cores <= 0.0 || self.entry.link <= 0.0 {
            let problem = "an entry without processor or link serves nobody".to_owned();
            return fail("entry", problem, "Write cores and link above 0.");
        }
        if self.entry.files < FILES_MIN {
            let problem = format!("{} are too few to serve anybody", self.entry.files);
            return fail("entry.files", problem, "Write 300 or more.");
        }
        if self.extra.window.is_zero() {
            let problem = "0 bounds nothing".to_owned();
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
        let sound = |number: f64| (0.0..=SLACK_MAX).contains(&number);
        if !sound(self.cold.over) || !sound(self.cold.slack) {
            let problem = "a number is out of range".to_owned();
            return fail("cold", problem, "Write over and slack from 0 to 1000000.");
        }
        if self.times.grace < GRACE_MIN {
            let problem = format!("{:?} is too short to answer anybody", self.times.grace);
            return fail("times.grace", problem, "Write a span of 1s or more.");
        }
        if self.times.ttl.is_zero() {
            let problem = "0 would make callers ask before each call".to_owned();
            return fail("times.ttl", problem, "Write a span such as 2s.");
        }
        if self.listen.callers == self.listen.readiness {
            let problem = format!("{} is listen.callers too", self.listen.readiness);
            return fail("listen.readiness", problem, "Give it a port of its own.");
        }
        Ok(())
    }
}

/// Fewest descriptors: some 200 are kept from sockets on the users' machines.
const FILES_MIN: usize = 300;
/// Most calls of slack; far above what any service takes.
const SLACK_MAX: f64 = 1e6;
/// Shortest grace: a stop needs time to be heard of.
const GRACE_MIN: Duration = Duration::from_secs(1);
