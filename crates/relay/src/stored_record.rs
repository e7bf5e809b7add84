//! The form in which quarantine records are stored: requests under which leafs crashed.

use std::time::Duration;

use chestnut_port::decode;
use chestnut_quarantine::{Fingerprint, LeafHash, SuspectReport};
use chestnut_unit::WallTime;
use serde::{Deserialize, Serialize};

use crate::QuarantineRecord;

/// Most crashes in one record; none with more is ever written.
const CRASHES_MAX: usize = 8;

/// A stored quarantine record. Times are in milliseconds; ages are at the time of writing.
#[derive(Deserialize, Serialize)]
struct Spec {
    written_ms: u64,
    cleared_ago_ms: Option<u64>,
    episodes: u32,
    strikes: Vec<CrashSpec>,
}

#[derive(Deserialize, Serialize)]
struct CrashSpec {
    leaf: u32,
    ago_ms: u64,
}

impl QuarantineRecord {
    /// Decodes the record stored under `name`, a fingerprint, from JSON.
    ///
    /// # Errors
    ///
    /// The name or a field that can't be read, and why.
    pub fn from_stored(name: &str, text: &str) -> Result<Self, String> {
        let fingerprint: Fingerprint = name.parse().map_err(|_| "the name is not a fingerprint")?;
        let spec: Spec = decode(text)?;
        if spec.strikes.len() > CRASHES_MAX {
            return Err(format!("the record has more than {CRASHES_MAX} crashes"));
        }
        let crashes = spec.strikes.into_iter().map(|crash| {
            let age = Duration::from_millis(crash.ago_ms);
            (LeafHash(crash.leaf), age)
        });
        Ok(Self {
            report: SuspectReport {
                fingerprint,
                answered: spec.cleared_ago_ms.map(Duration::from_millis),
                crashes: crashes.collect(),
                episodes: spec.episodes,
            },
            at: WallTime(spec.written_ms),
        })
    }

    /// Returns what is stored of the record under its fingerprint.
    pub fn to_stored(&self) -> impl Serialize + use<> {
        let report = &self.report;
        let crashes = report.crashes.iter().map(|(leaf, age)| CrashSpec {
            leaf: leaf.0,
            ago_ms: age.as_millis() as u64,
        });
        Spec {
            written_ms: self.at.0,
            cleared_ago_ms: report.answered.map(|age| age.as_millis() as u64),
            episodes: report.episodes,
            strikes: crashes.collect(),
        }
    }
}
