//! Templates, from which organisations are made.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::{CallType, Rate, Reason, ServiceName, Share, Urgency};
use serde::{Deserialize, Serialize};

use crate::{CheckError, span};

/// Shortest deadline that a call type may have by default.
const DEADLINE_MIN: Duration = Duration::from_millis(1);
/// Longest deadline that a call type may have by default.
const DEADLINE_MAX: Duration = Duration::from_secs(600);
/// Shortest span of serving on unconfirmed settings. Below it entries would
/// refuse between two confirmations while nothing is wrong.
const UNCONFIRMED_MIN: Duration = Duration::from_secs(10);
/// The reasons that a template may permit or withhold. All others state facts.
const OPTIONAL_REASONS: [Reason; 2] = [Reason::OrgLimit, Reason::Overload];

/// Whether a call reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CallKind {
    /// A query, which may be repeated freely.
    Query,
    /// A submission, which takes effect at most once.
    Submit,
}

/// Which answers a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Answer {
    /// Whole answers only.
    Whole,
    /// Answers that cover at least this share of the shards, always labelled.
    Least(Share),
}

impl Answer {
    /// The least share of shards that an answer must cover.
    #[must_use]
    pub fn least(self) -> Share {
        match self {
            Self::Whole => Share::WHOLE,
            Self::Least(share) => share,
        }
    }
}

/// A call type of a template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Query or submission.
    pub kind: CallKind,
    /// The services that it may be made to.
    pub services: Vec<ServiceName>,
    /// How urgent it is; an organisation may lower it, not raise it.
    pub urgency: Urgency,
    /// Which answers it takes.
    pub answer: Answer,
    /// Which optional reasons it may be refused for: `organisation_limit` and
    /// `overload`. A call that may not be refused for overload
    /// waits for its turn until its deadline can't be met.
    pub refuse: Vec<Reason>,
    /// Deadline of a request that states none.
    #[serde(with = "span")]
    pub deadline: Duration,
}

/// What one organisation may use of the tier, over all entries together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrgLimits {
    /// Requests a second.
    pub rate: Rate,
    /// Requests at once.
    pub flight: u32,
}

/// A template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// The services that its organisations may be given.
    pub services: Vec<ServiceName>,
    /// Its call types.
    pub calls: BTreeMap<CallType, Call>,
    /// Limits of an organisation that states none of its own.
    pub limits: OrgLimits,
    /// How long an entry may serve its organisations on settings that nobody
    /// has confirmed. A longer span serves on through a split of the regions;
    /// a shorter one refuses sooner.
    #[serde(with = "span")]
    pub unconfirmed: Duration,
}

impl Template {
    /// Checks what the form alone can't.
    ///
    /// # Errors
    ///
    /// Names the first key that is wrong and what would be right.
    pub fn check(&self) -> Result<(), CheckError> {
        if self.services.is_empty() {
            return Err(CheckError::new("services", "list at least one service"));
        }
        if self.calls.is_empty() {
            return Err(CheckError::new("calls", "list at least one call type"));
        }
        if self.unconfirmed < UNCONFIRMED_MIN {
            let problem = "must be at least 10s: settings are confirmed every few seconds";
            return Err(CheckError::new("unconfirmed", problem));
        }
        for (name, call) in &self.calls {
            self.check_call(name, call)?;
        }
        check_limits(&self.limits)
    }

    fn check_call(&self, name: &CallType, call: &Call) -> Result<(), CheckError> {
        let key = |field: &str| format!("calls.{name}.{field}");
        if call.services.is_empty() {
            return Err(CheckError::new(
                key("services"),
                "list at least one service",
            ));
        }
        for service in &call.services {
            if !self.services.contains(service) {
                let problem = format!("{service} is not among the template's services");
                return Err(CheckError::new(key("services"), problem));
            }
        }
        if !(DEADLINE_MIN..=DEADLINE_MAX).contains(&call.deadline) {
            return Err(CheckError::new(key("deadline"), "must be from 1ms to 10m"));
        }
        check_reasons(&key("refuse"), &call.refuse)?;
        if call.kind == CallKind::Submit && call.answer != Answer::Whole {
            return Err(CheckError::new(key("answer"), "a submission takes whole"));
        }
        Ok(())
    }
}

/// Checks that `reasons` are ones that a template may permit.
pub(crate) fn check_reasons(key: &str, reasons: &[Reason]) -> Result<(), CheckError> {
    match reasons.iter().find(|r| !OPTIONAL_REASONS.contains(r)) {
        None => Ok(()),
        Some(reason) => {
            let problem = format!(
                "{reason} always applies; only organisation_limit and overload are optional"
            );
            Err(CheckError::new(key, problem))
        }
    }
}

/// Checks that limits let something through.
pub(crate) fn check_limits(limits: &OrgLimits) -> Result<(), CheckError> {
    if limits.rate.0 == 0 {
        return Err(CheckError::new("limits.rate", "must be at least 1/s"));
    }
    if limits.flight == 0 {
        return Err(CheckError::new("limits.flight", "must be at least 1"));
    }
    Ok(())
}
