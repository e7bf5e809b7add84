//! An organisation's policy, derived from its template and parameters.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::{CallType, Reason, ServiceName, Share, Urgency};
use displaydoc::Display;

use crate::{Call, CallKind, OrgLimits, Organisation, Template};

/// Why an organisation's policy does not allow a call: unknown call type, service not
/// allowed, or a query for a submission's call type or the reverse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum PolicyError {
    /// the template has no such call type
    CallUnknown,
    /// the organisation may not reach the service
    ServiceNotAllowed,
    /// the call type is for the other kind of request
    KindMismatch,
}

impl std::error::Error for PolicyError {}

impl PolicyError {
    /// Returns the reason for the refusal: `CallUnknown`, or `ServiceClosed` if the service
    /// is not allowed.
    #[must_use]
    pub fn reason(self) -> Reason {
        match self {
            Self::CallUnknown | Self::KindMismatch => Reason::CallUnknown,
            Self::ServiceNotAllowed => Reason::ServiceClosed,
        }
    }
}

/// Policy of one call type for one organisation: the template's call type with the
/// organisation's overrides applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPolicy {
    /// Whether the call is a query or a submission.
    pub kind: CallKind,
    /// Services of the call type that both the organisation and its template allow.
    pub services: Vec<ServiceName>,
    /// Urgency.
    pub urgency: Urgency,
    /// Minimum coverage: the share of shards that an answer must include.
    pub min_coverage: Share,
    /// Optional reasons for which the call may be refused.
    pub refuse: Vec<Reason>,
    /// Default deadline, for requests that state none.
    pub deadline: Duration,
}

impl CallPolicy {
    /// Returns whether the call may be refused for the optional `reason`.
    #[must_use]
    pub fn may_refuse(&self, reason: Reason) -> bool {
        self.refuse.contains(&reason)
    }
}

/// Policy of one organisation, with the object versions it was derived from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrgPolicy {
    /// Version of the template.
    pub template: u64,
    /// Version of the organisation.
    pub organisation: u64,
    /// Policies by call type.
    pub calls: BTreeMap<CallType, CallPolicy>,
    /// Limits of the organisation, or the template's if it states none.
    pub limits: OrgLimits,
    /// How long an entry may serve the organisation on unconfirmed configuration.
    pub max_unconfirmed: Duration,
}

impl OrgPolicy {
    /// Applies the organisation's parameters to its template. A service or urgency
    /// that a later edit of the template no longer allows is ignored, so that an
    /// organisation never gets more than its template grants.
    #[must_use]
    pub fn resolve(template: (u64, &Template), organisation: (u64, &Organisation)) -> Self {
        let (template_version, template) = template;
        let (org_version, org) = organisation;
        let calls = template
            .calls
            .iter()
            .map(|(name, call)| (name.clone(), resolve_call(template, org, name, call)))
            .collect();
        Self {
            template: template_version,
            organisation: org_version,
            calls,
            limits: org.limits.clone().unwrap_or(template.limits.clone()),
            max_unconfirmed: template.unconfirmed,
        }
    }

    /// Returns the policy of a call to `service`.
    ///
    /// # Errors
    ///
    /// The call type is unknown or not of this kind, or the organisation may not
    /// use it to call the service.
    pub fn call(
        &self,
        name: &CallType,
        kind: CallKind,
        service: &ServiceName,
    ) -> Result<&CallPolicy, PolicyError> {
        let call = self.calls.get(name).ok_or(PolicyError::CallUnknown)?;
        if call.kind != kind {
            return Err(PolicyError::KindMismatch);
        }
        if !call.services.contains(service) {
            return Err(PolicyError::ServiceNotAllowed);
        }
        Ok(call)
    }
}

/// Applies the organisation's parameters to the call type `name` of its template.
/// Services that either doesn't allow and a raised urgency are ignored.
fn resolve_call(
    template: &Template,
    org: &Organisation,
    name: &CallType,
    call: &Call,
) -> CallPolicy {
    let params = org.calls.get(name).cloned().unwrap_or_default();
    let allowed = |s: &&ServiceName| org.services.contains(s) && template.services.contains(s);
    CallPolicy {
        kind: call.kind,
        services: call.services.iter().filter(allowed).cloned().collect(),
        urgency: params.urgency.unwrap_or(call.urgency).max(call.urgency),
        min_coverage: call.answer.min_coverage(),
        refuse: params.refuse.unwrap_or_else(|| call.refuse.clone()),
        deadline: call.deadline,
    }
}
