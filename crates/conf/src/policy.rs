//! What one organisation may do, worked out from its template and parameters.

use std::{collections::BTreeMap, time::Duration};

use chestnut_unit::{CallType, Reason, ServiceName, Share, Urgency};
use displaydoc::Display;

use crate::{Call, CallKind, OrgLimits, Organisation, Template};

/// Why a call is not within an organisation's policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum PolicyError {
    /// the template has no such call type
    CallUnknown,
    /// the organisation may not reach the service
    ServiceClosed,
    /// the call type is for the other kind of request
    KindMismatch,
}

impl std::error::Error for PolicyError {}

impl PolicyError {
    /// The reason code of the refusal.
    #[must_use]
    pub fn reason(self) -> Reason {
        match self {
            Self::CallUnknown | Self::KindMismatch => Reason::CallUnknown,
            Self::ServiceClosed => Reason::ServiceClosed,
        }
    }
}

/// The policy of one call type for one organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPolicy {
    /// Query or submission.
    pub kind: CallKind,
    /// The services that it may be made to.
    pub services: Vec<ServiceName>,
    /// How urgent it is.
    pub urgency: Urgency,
    /// The least share of shards that an answer must cover.
    pub least: Share,
    /// The optional reasons that it may be refused for.
    pub refuse: Vec<Reason>,
    /// Deadline of a request that states none.
    pub deadline: Duration,
}

impl CallPolicy {
    /// Whether the call may be refused for the optional `reason`.
    #[must_use]
    pub fn may_refuse(&self, reason: Reason) -> bool {
        self.refuse.contains(&reason)
    }
}

/// The policy of one organisation, with the versions that it was made from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrgPolicy {
    /// Version of the template object.
    pub template: u64,
    /// Version of the organisation object.
    pub organisation: u64,
    /// Its call types.
    pub calls: BTreeMap<CallType, CallPolicy>,
    /// Its limits.
    pub limits: OrgLimits,
    /// How long it may be served on unconfirmed settings.
    pub unconfirmed: Duration,
}

impl OrgPolicy {
    /// Lays the organisation's parameters over its template. A parameter that
    /// a later edit of the template made illegal loses: an organisation never
    /// gets more than its template gives.
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
            unconfirmed: template.unconfirmed,
        }
    }

    /// The policy of a call to `service`.
    ///
    /// # Errors
    ///
    /// The call type is unknown or of the other kind, or the service is not
    /// one that the organisation may reach by it.
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
            return Err(PolicyError::ServiceClosed);
        }
        Ok(call)
    }
}

fn resolve_call(
    template: &Template,
    org: &Organisation,
    name: &CallType,
    call: &Call,
) -> CallPolicy {
    let params = org.calls.get(name).cloned().unwrap_or_default();
    let open = |s: &&ServiceName| org.services.contains(s) && template.services.contains(s);
    CallPolicy {
        kind: call.kind,
        services: call.services.iter().filter(open).cloned().collect(),
        urgency: params.urgency.unwrap_or(call.urgency).max(call.urgency),
        least: call.answer.least(),
        refuse: params.refuse.unwrap_or_else(|| call.refuse.clone()),
        deadline: call.deadline,
    }
}
