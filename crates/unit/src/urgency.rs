//! Priority classes of calls.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Priority class of a call, as set in a template: `Now`, `Normal` or `Archive`. The
/// more urgent class compares as less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Needed immediately, such as live results or alerts.
    Now,
    /// Interactive use.
    Normal,
    /// Background use that tolerates delay, such as archive queries.
    Archive,
}

impl Urgency {
    /// All urgencies, most urgent first.
    pub const ALL: [Urgency; 3] = [Self::Now, Self::Normal, Self::Archive];

    /// Returns the name used in templates, logs and metric labels.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Now => "now",
            Self::Normal => "normal",
            Self::Archive => "archive",
        }
    }
}

impl fmt::Display for Urgency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Urgency {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Self::ALL
            .into_iter()
            .find(|urgency| urgency.as_str() == text)
            .ok_or_else(|| format!("{text:?} is not one of now, normal, archive"))
    }
}
