//! The closed list of reasons for refusing a request, and whether refused
//! work may have run.
//!
//! A ticket identifies one submission so that retries take effect at most once;
//! its keeper is the entry that issued it. A receipt is the short text that a
//! caller gets with a refusal.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Defines [`Reason`] from a list of variants, each with its code, receipt number
/// and message.
macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $number:literal, $text:literal;)*) => {
        /// Why a request was refused: an invalid request, a configured limit, lack of
        /// capacity or time, failing targets, or an entry that can't serve. Answers to
        /// callers, refusal records and templates use no other codes.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub enum Reason {
            $($(#[$doc])* #[serde(rename = $code)] $name,)*
        }

        impl Reason {
            /// Every reason.
            pub const ALL: &'static [Reason] = &[$(Self::$name,)*];

            /// Returns the code used in answers, logs and metric labels.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }

            /// Returns the number that encodes the reason in a receipt. Numbers are
            /// never reused.
            #[must_use]
            pub fn number(self) -> u8 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns a message for the person who reads the refusal.
            #[must_use]
            pub fn message(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

reasons! {
    /// The request is malformed or exceeds a limit of the interface.
    BadRequest = "bad_request", 1, "The request can't be read; the detail says what to mend.";
    /// The organisation does not exist.
    UnknownOrg = "unknown_organisation", 2, "This organisation is not known here.";
    /// The service does not exist or the organisation may not use it.
    ServiceClosed = "service_not_allowed", 3, "The organisation may not reach this service.";
    /// The organisation's template does not list the call type.
    CallUnknown = "call_type_unknown", 4, "The organisation's template has no such call type.";
    /// The organisation exceeds its rate or concurrency limit.
    OrgLimit = "organisation_limit", 5, "The organisation is over its own limit.";
    /// There is no capacity for more requests of this urgency.
    Overload = "overload", 6, "The service is full and calls of this urgency give way.";
    /// The answer can't be ready by the deadline.
    Deadline = "deadline", 7, "The answer can't be ready by the deadline.";
    /// The answer covers fewer shards than the template's minimum coverage.
    Incomplete = "incomplete", 8, "Some shards gave no answer and the template asks for more.";
    /// No snapshot of the service can be served.
    NoSnapshot = "no_snapshot", 9, "No index version of the service can be served now.";
    /// Every target refused the work without running it.
    TargetRefused = "target_refused", 10, "The targets refused the work before running it.";
    /// The work was sent and its outcome can't be known.
    FateUnknown = "fate_unknown", 11, "The work was sent and its outcome can't be known.";
    /// The ticket is malformed, expired or unknown to its keeper.
    BadTicket = "bad_ticket", 12, "The ticket is malformed, forged or expired; ask for another.";
    /// The keeper of the ticket can't be reached.
    KeeperGone = "keeper_gone", 13, "The entry that keeps this ticket can't be reached.";
    /// The entry's configuration has not been confirmed within the allowed time.
    Unconfirmed = "settings_unconfirmed", 14, "This entry can't confirm its settings; use another.";
    /// The entry is starting or stopping.
    NotReady = "not_ready", 15, "This entry is starting or has stopped; use another.";
    /// Targets crashed each time they ran the request.
    Quarantined = "quarantined", 16, "Targets crashed each time that they ran this request.";
}

impl Reason {
    /// Returns the reason with the given receipt number, or `None` if none has it.
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

/// Whether any of the refused work may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No target ran any of it.
    NotRun,
    /// A target may have run it.
    Unknown,
    /// Some targets ran their part of a query.
    Partial,
}

impl Execution {
    /// Returns the name used in answers and records.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Partial => "partial",
        }
    }
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
