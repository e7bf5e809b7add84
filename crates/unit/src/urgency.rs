//! How urgent a call is.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// How urgent a call is, as a template states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Someone waits on the answer this instant: a final, an alert.
    Now,
    /// Interactive use.
    Normal,
    /// May wait: archive queries.
    Archive,
}

impl Urgency {
    /// Every urgency, most urgent first.
    pub const ALL: [Urgency; 3] = [Self::Now, Self::Normal, Self::Archive];

    /// The word used in templates, logs and metric labels.
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
