//! Organisations (customers), each a template with parameters.

use std::collections::BTreeMap;

use chestnut_unit::{CallType, Reason, ServiceName, TemplateName, Urgency};
use serde::{Deserialize, Serialize};

use crate::{
    OrgLimits, Template, ValidationError,
    template::{check_limits, check_reasons},
};

/// An organisation's overrides of one call type of its template: the urgency and the
/// optional refusal reasons. `None` keeps the template's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallParams {
    /// Urgency, which may not be above the template's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub urgency: Option<Urgency>,
    /// Optional reasons for which a call may be refused, in place of the
    /// template's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<Vec<Reason>>,
}

/// An organisation as operators specify it: its template, services, and overrides of
/// call types and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of its template.
    pub template: TemplateName,
    /// Services that it may call; each must be one of the template's.
    pub services: Vec<ServiceName>,
    /// Overrides of the template's call types.
    #[serde(default)]
    pub calls: BTreeMap<CallType, CallParams>,
    /// Limits, in place of the template's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<OrgLimits>,
}

impl Organisation {
    /// Validates the organisation against its template: services and call types must be
    /// the template's, urgencies no higher than its, refusal reasons optional, and limits
    /// above zero.
    ///
    /// # Errors
    ///
    /// Names the first invalid key and what is allowed.
    pub fn check(&self, template: &Template) -> Result<(), ValidationError> {
        if self.services.is_empty() {
            return Err(ValidationError::new(
                "services",
                "list at least one service",
            ));
        }
        for service in &self.services {
            if !template.services.contains(service) {
                let problem = format!("{service} is not in template {}", self.template);
                return Err(ValidationError::new("services", problem));
            }
        }
        for (name, params) in &self.calls {
            self.check_call(template, name, params)?;
        }
        self.limits.as_ref().map_or(Ok(()), check_limits)
    }

    /// Validates the overrides of one call type: the template has it, the urgency is not
    /// above the template's, and all refusal reasons are optional.
    fn check_call(
        &self,
        template: &Template,
        name: &CallType,
        params: &CallParams,
    ) -> Result<(), ValidationError> {
        let Some(call) = template.calls.get(name) else {
            let problem = format!("template {} has no such call type", self.template);
            return Err(ValidationError::new(format!("calls.{name}"), problem));
        };
        if let Some(urgency) = params.urgency
            && urgency < call.urgency
        {
            let problem = format!("{urgency} is above the template's {}", call.urgency);
            return Err(ValidationError::new(
                format!("calls.{name}.urgency"),
                problem,
            ));
        }
        match &params.refuse {
            Some(reasons) => check_reasons(&format!("calls.{name}.refuse"), reasons),
            None => Ok(()),
        }
    }
}
