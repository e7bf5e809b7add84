//! The closed list of reasons for a refusal, and what a refusal says of the
//! work it refuses.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $number:literal, $text:literal;)*) => {
        /// Why a request was refused. The list is closed: callers, records and
        /// templates use these codes only.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub enum Reason {
            $($(#[$doc])* #[serde(rename = $code)] $name,)*
        }

        impl Reason {
            /// Every reason.
            pub const ALL: &'static [Reason] = &[$(Self::$name,)*];

            /// The code in answers, logs and metric labels.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }

            /// The number that a receipt carries. Numbers are never reused.
            #[must_use]
            pub fn number(self) -> u8 {
                match self { $(Self::$name => $number,)* }
            }

            /// A sentence for the person who reads the refusal.
            #[must_use]
            pub fn sentence(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

reasons! {
    /// The request is malformed or past a limit of the interface.
    BadRequest = "bad_request", 1, "The request can't be read; the detail says what to mend.";
    /// No such organisation.
    UnknownOrg = "unknown_organisation", 2, "This organisation is not known here.";
    /// No such service, or the organisation may not reach it.
    ServiceClosed = "service_not_allowed", 3, "The organisation may not reach this service.";
    /// The template lists no such call type.
    CallUnknown = "call_type_unknown", 4, "The organisation's template has no such call type.";
    /// The organisation is over its own limit.
    OrgLimit = "organisation_limit", 5, "The organisation is over its own limit.";
    /// The entry can't take more of this urgency now.
    Overload = "overload", 6, "The service is full and calls of this urgency give way.";
    /// The deadline would pass before the answer could be ready.
    Deadline = "deadline", 7, "The answer can't be ready by the deadline.";
    /// Shards are missing and the template takes whole answers or a least share.
    Incomplete = "incomplete", 8, "Some shards gave no answer and the template asks for more.";
    /// No live snapshot of the service is known.
    NoSnapshot = "no_snapshot", 9, "No index version of the service can be served now.";
    /// Every target refused before running the work.
    TargetRefused = "target_refused", 10, "The targets refused the work before running it.";
    /// The work was sent and its fate can't be known.
    FateUnknown = "fate_unknown", 11, "The work was sent and its outcome can't be known.";
    /// The ticket is unknown to its keeper, malformed or expired.
    BadTicket = "bad_ticket", 12, "The ticket is malformed, forged or expired; ask for another.";
    /// The keeper of the ticket can't be reached.
    KeeperGone = "keeper_gone", 13, "The entry that keeps this ticket can't be reached.";
    /// The settings of this entry have not been confirmed for too long.
    Unconfirmed = "settings_unconfirmed", 14, "This entry can't confirm its settings; use another.";
    /// The entry is starting or stopping.
    NotReady = "not_ready", 15, "This entry is starting or has stopped; use another.";
    /// Targets ended under the request each time that it was run.
    Quarantined = "quarantined", 16, "Targets crashed each time that they ran this request.";
}

impl Reason {
    /// The reason that a receipt's number stands for.
    #[must_use]
    pub fn from_number(number: u8) -> Option<Self> {
        Self::ALL.iter().copied().find(|r| r.number() == number)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Reason {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Self::ALL
            .iter()
            .copied()
            .find(|r| r.as_str() == text)
            .ok_or_else(|| format!("{text:?} is not a reason code"))
    }
}

/// What a refusal says of the work that it refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// No target ran any of it.
    NotRun,
    /// A target may have run it.
    Unknown,
    /// Some targets ran their part of a query.
    Partial,
}

impl Run {
    /// The word in answers and records.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Partial => "partial",
        }
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
