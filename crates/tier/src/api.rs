//! What callers and operators ask of an entry and what they get.

use std::time::Duration;

use bytes::Bytes;
use chestnut_fleet::Entry;
use chestnut_once::Ticket;
use chestnut_unit::{
    CallType, Coverage, MemberId, OrgName, Reason, RequestId, Run, ServiceName, Snapshot, Wall,
};
use displaydoc::Display;

/// A query of a caller.
#[derive(Clone, Debug)]
pub struct QueryRequest {
    /// The organisation that asks.
    pub organisation: OrgName,
    /// The service.
    pub service: ServiceName,
    /// The call type.
    pub call: CallType,
    /// Time in which the caller wants the answer; the template's if none.
    pub deadline: Option<Duration>,
    /// The query, JSON, passed to the leafs as it is.
    pub body: Bytes,
}

/// A submission of a caller.
#[derive(Clone, Debug)]
pub struct SubmitRequest {
    /// Its ticket. Without one it runs once for this request, and nothing is
    /// promised about repeats.
    pub ticket: Option<Ticket>,
    /// The organisation that submits.
    pub organisation: OrgName,
    /// The service.
    pub service: ServiceName,
    /// The call type.
    pub call: CallType,
    /// Time in which the caller wants the answer; the template's if none.
    pub deadline: Option<Duration>,
    /// The submission, JSON, passed to the target as it is.
    pub body: Bytes,
}

/// Which settings an answer was made under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingsUsed {
    /// Version of the template object.
    pub template: u64,
    /// Version of the organisation object.
    pub organisation: u64,
    /// How long ago the settings were confirmed.
    pub confirmed: Duration,
}

/// An answer to a query.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The request at this entry.
    pub request: RequestId,
    /// The entry.
    pub entry: MemberId,
    /// The snapshot that every row comes from.
    pub snapshot: Snapshot,
    /// What the rows cover.
    pub coverage: Coverage,
    /// The settings in force.
    pub settings: SettingsUsed,
    /// The rows, one JSON array.
    pub rows: Bytes,
}

/// A refusal.
#[derive(Clone, Debug)]
pub struct Refused {
    /// The receipt, which tells the truth about it for good.
    pub receipt: String,
    /// Why.
    pub reason: Reason,
    /// What is wrong in this case.
    pub detail: String,
    /// What was run.
    pub run: Run,
    /// When to come back; `None` if coming back won't help.
    pub after: Option<Duration>,
    /// Other entries to try.
    pub entries: Vec<Entry>,
}

/// How a submission ended, if it was not refused.
#[derive(Clone, Debug)]
pub struct SubmitOutcome {
    /// The request at this entry.
    pub request: RequestId,
    /// The target's answer, JSON.
    pub answer: Bytes,
}

/// A ticket for one submission.
#[derive(Clone, Debug)]
pub struct TicketReply {
    /// The ticket.
    pub ticket: Ticket,
    /// When it expires.
    pub expiry: Wall,
}

/// The entries that a caller may use.
#[derive(Clone, Debug)]
pub struct EntryList {
    /// The entries, in order of preference.
    pub entries: Vec<Entry>,
    /// How long the list may be kept.
    pub ttl: Duration,
}

/// Why an edit was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum EditError {
    /// {0}
    Check(String),
    /// the object is at version {current}; read it again and redo the edit
    Conflict {
        /// The version in force; 0 if there is none.
        current: u64,
    },
    /// the platform can't be reached; the edit was not accepted
    Outage,
    /// the platform gave no answer; repeat the same edit with edit id {id} to learn its fate
    Unsettled {
        /// The id of the edit.
        id: String,
    },
}

impl std::error::Error for EditError {}

/// An accepted edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditReply {
    /// The version that it made.
    pub version: u64,
    /// Its id.
    pub id: String,
}
