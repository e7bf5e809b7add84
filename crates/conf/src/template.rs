//! Templates: the call types, services and limits that organisations share.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::{CallType, Rate, Reason, ServiceName, Share, Urgency};
use serde::{Deserialize, Serialize};

use crate::{ValidationError, duration};

/// Shortest default deadline of a call type.
const DEADLINE_MIN: Duration = Duration::from_millis(1);
/// Longest default deadline of a call type.
const DEADLINE_MAX: Duration = Duration::from_secs(600);
/// Shortest allowed `unconfirmed` time. With a shorter one, entries would refuse
/// requests between two regular confirmations.
const UNCONFIRMED_MIN: Duration = Duration::from_secs(10);
/// Reasons that a template may allow or forbid. All others always apply.
const OPTIONAL_REASONS: [Reason; 2] = [Reason::OrgLimit, Reason::Overload];

/// Whether a call is a query, which reads, or a submission, which writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CallKind {
    /// A query, which is safe to repeat.
    Query,
    /// A submission, which takes effect at most once.
    Submit,
}

/// Which answers a call accepts: complete ones only, or those with a minimum coverage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Answer {
    /// Only answers that cover all shards.
    Whole,
    /// Answers that cover at least this share of the shards and state their
    /// coverage.
    Least(Share),
}

impl Answer {
    /// Returns the minimum coverage: the share of shards that an answer must include.
    #[must_use]
    pub fn min_coverage(self) -> Share {
        match self {
            Self::Whole => Share::FULL,
            Self::Least(share) => share,
        }
    }
}

/// A call type of a template: its kind, services, urgency, accepted answers, optional
/// refusal reasons and default deadline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Whether it is a query or a submission.
    pub kind: CallKind,
    /// Services that may be called.
    pub services: Vec<ServiceName>,
    /// Urgency; an organisation may lower it but not raise it.
    pub urgency: Urgency,
    /// Which answers it accepts.
    pub answer: Answer,
    /// Optional reasons for which it may be refused: `organisation_limit` and
    /// `overload`. A call that may not be refused for overload is queued until
    /// its deadline can't be met.
    pub refuse: Vec<Reason>,
    /// Default deadline, for requests that state none.
    #[serde(with = "duration")]
    pub deadline: Duration,
}

/// Limits of one organisation, over all entries: request rate and concurrent requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrgLimits {
    /// Maximum rate of requests.
    pub rate: Rate,
    /// Maximum number of concurrent requests.
    pub flight: u32,
}

/// What the organisations of a template may call and how: services, call types, default
/// limits and how long unconfirmed configuration may be used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Services that its organisations may be allowed to call.
    pub services: Vec<ServiceName>,
    /// Call types by name.
    pub calls: BTreeMap<CallType, Call>,
    /// Default limits, for organisations that state none.
    pub limits: OrgLimits,
    /// How long an entry may serve its organisations on unconfirmed configuration.
    /// A longer time keeps serving through a network partition; a shorter one limits
    /// how long outdated configuration stays in use.
    #[serde(with = "duration")]
    pub unconfirmed: Duration,
}

impl Template {
    /// Validates what the schema can't express: services and call types are listed,
    /// `unconfirmed` is long enough, each call type is valid and no limit is zero.
    ///
    /// # Errors
    ///
    /// Names the first invalid key and what is allowed.
    pub fn check(&self) -> Result<(), ValidationError> {
        if self.services.is_empty() {
            return Err(ValidationError::new(
                "services",
                "list at least one service",
            ));
        }
        if self.calls.is_empty() {
            return Err(ValidationError::new("calls", "list at least one call type"));
        }
        if self.unconfirmed < UNCONFIRMED_MIN {
            let problem = "must be at least 10s: configuration is confirmed every few seconds";
            return Err(ValidationError::new("unconfirmed", problem));
        }
        for (name, call) in &self.calls {
            self.check_call(name, call)?;
        }
        check_limits(&self.limits)
    }

    /// Validates one call type: its services are the template's, its deadline is in range,
    /// its refusal reasons are optional, and a submission accepts only whole answers.
    fn check_call(&self, name: &CallType, call: &Call) -> Result<(), ValidationError> {
        let key = |field: &str| format!("calls.{name}.{field}");
        if call.services.is_empty() {
            return Err(ValidationError::new(
                key("services"),
                "list at least one service",
            ));
        }
        for service in &call.services {
            if !self.services.contains(service) {
                let problem = format!("{service} is not among the template's services");
                return Err(ValidationError::new(key("services"), problem));
            }
        }
        if !(DEADLINE_MIN..=DEADLINE_MAX).contains(&call.deadline) {
            return Err(ValidationError::new(
                key("deadline"),
                "must be from 1ms to 10m",
            ));
        }
        check_reasons(&key("refuse"), &call.refuse)?;
        if call.kind == CallKind::Submit && call.answer != Answer::Whole {
            return Err(ValidationError::new(
                key("answer"),
                "must be whole for a submission",
            ));
        }
        Ok(())
    }
}

/// Checks that all `reasons` are optional, that is, ones a template may allow; `key` is
/// the dotted key in the error.
pub(crate) fn check_reasons(key: &str, reasons: &[Reason]) -> Result<(), ValidationError> {
    match reasons.iter().find(|r| !OPTIONAL_REASONS.contains(r)) {
        None => Ok(()),
        Some(reason) => {
            let problem = format!(
                "{reason} always applies; only organisation_limit and overload are optional"
            );
            Err(ValidationError::new(key, problem))
        }
    }
}

/// Checks that no limit is zero, which would block all requests.
pub(crate) fn check_limits(limits: &OrgLimits) -> Result<(), ValidationError> {
    if limits.rate.0 == 0 {
        return Err(ValidationError::new("limits.rate", "must be at least 1/s"));
    }
    if limits.flight == 0 {
        return Err(ValidationError::new("limits.flight", "must be at least 1"));
    }
    Ok(())
}
