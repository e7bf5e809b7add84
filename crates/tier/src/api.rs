//! Request and response types of an entry.

use std::time::Duration;

use bytes::Bytes;
use chestnut_fleet::Entry;
use chestnut_once::Ticket;
use chestnut_unit::{
    CallType, Coverage, Execution, MemberId, OrgName, Reason, RequestId, ServiceName, Snapshot,
    WallTime,
};
use displaydoc::Display;

/// A query from a caller: the organisation, service and call type, the deadline
/// and the body.
#[derive(Clone, Debug)]
pub struct QueryRequest {
    /// The organisation of the caller.
    pub organisation: OrgName,
    /// The service to call.
    pub service: ServiceName,
    /// The call type.
    pub call: CallType,
    /// Time within which the caller wants the answer, capped by the settings;
    /// `None` for that of the template.
    pub deadline: Option<Duration>,
    /// The query as JSON, passed to the leafs unchanged.
    pub body: Bytes,
}

/// A submission from a caller: the ticket, the organisation, service and call
/// type, the deadline and the body.
#[derive(Clone, Debug)]
pub struct SubmitRequest {
    /// The ticket that deduplicates repeats. Without one, the submission
    /// runs once for this request, but a repeat may run again.
    pub ticket: Option<Ticket>,
    /// The organisation of the caller.
    pub organisation: OrgName,
    /// The service to call.
    pub service: ServiceName,
    /// The call type.
    pub call: CallType,
    /// Time within which the caller wants the answer, capped by the settings;
    /// `None` for 5 seconds.
    pub deadline: Option<Duration>,
    /// The submission as JSON, passed to the target unchanged.
    pub body: Bytes,
}

/// Versions and age of the settings that an answer was computed with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingsUsed {
    /// Version of the template object.
    pub template: u64,
    /// Version of the organisation object.
    pub organisation: u64,
    /// Time since the settings were last confirmed to be current.
    pub confirmed_age: Duration,
}

/// An answer to a query: the rows, and the snapshot, coverage and settings that
/// they come from.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The id of the request at this entry.
    pub request_id: RequestId,
    /// The entry that answered.
    pub entry: MemberId,
    /// The snapshot that every row comes from.
    pub snapshot: Snapshot,
    /// How many shards were asked and answered, and which are missing.
    pub coverage: Coverage,
    /// The settings that applied.
    pub settings: SettingsUsed,
    /// The rows as one JSON array.
    pub rows: Bytes,
}

/// A refusal of a request: the receipt, the reason and detail, how much of the
/// request was run, and when and where to retry.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// The encoded receipt, which can be decoded later without any stored state.
    pub receipt: String,
    /// Why the request was refused.
    pub reason: Reason,
    /// What was wrong with this request, for people to read.
    pub detail: String,
    /// Whether a target ran any part of the request.
    pub execution: Execution,
    /// Delay before a retry; `None` if a retry won't help.
    pub retry_after: Option<Duration>,
    /// Other entries to try.
    pub entries: Vec<Entry>,
}

/// The result of a submission that was not refused.
#[derive(Clone, Debug)]
pub struct SubmitOutcome {
    /// The id of the request at this entry.
    pub request_id: RequestId,
    /// The target's answer as JSON.
    pub answer: Bytes,
}

/// A newly issued ticket for one submission, with its expiry.
#[derive(Clone, Debug)]
pub struct TicketReply {
    /// The ticket.
    pub ticket: Ticket,
    /// When it expires.
    pub expiry: WallTime,
}

/// The entries that a caller may use, in the order to try them, and the time
/// for which the list may be cached.
#[derive(Clone, Debug)]
pub struct EntryList {
    /// The entries, in order of preference.
    pub entries: Vec<Entry>,
    /// How long callers may cache the list.
    pub ttl: Duration,
}

/// Why an edit was not accepted, or that its outcome is not known.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum EditError {
    /// {0}
    Invalid(String),
    /// the object is at version {current}; read it again and redo the edit
    Conflict {
        /// The version in force; 0 if there is none.
        current: u64,
    },
    /// the platform can't be reached; the edit was not accepted
    Unavailable,
    /// the platform gave no answer; repeat the same edit with edit id {id} to learn its fate
    Unconfirmed {
        /// The id of the edit.
        id: String,
    },
}

impl std::error::Error for EditError {}

/// An accepted edit: its id and the version of the object that it made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditReply {
    /// The version of the object after the edit.
    pub version: u64,
    /// The id of the edit.
    pub id: String,
}
