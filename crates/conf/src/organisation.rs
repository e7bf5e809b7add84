//! Organisations: a template and the parameters filled in.

use std::collections::BTreeMap;

use chestnut_unit::{CallType, Reason, ServiceName, TemplateName, Urgency};
use serde::{Deserialize, Serialize};

use crate::{
    CheckError, OrgLimits, Template,
    template::{check_limits, check_reasons},
};

/// What an organisation changes of one call type.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallParams {
    /// A lower urgency than the template's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub urgency: Option<Urgency>,
    /// The optional reasons that it may be refused for, in place of the
    /// template's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<Vec<Reason>>,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its template.
    pub template: TemplateName,
    /// The services it may reach; each must be among the template's.
    pub services: Vec<ServiceName>,
    /// What it changes of the template's call types.
    #[serde(default)]
    pub calls: BTreeMap<CallType, CallParams>,
    /// Its limits, in place of the template's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<OrgLimits>,
}

impl Organisation {
    /// Checks the organisation against its template.
    ///
    /// # Errors
    ///
    /// Names the first key that is wrong and what would be right.
    pub fn check(&self, template: &Template) -> Result<(), CheckError> {
        if self.services.is_empty() {
            return Err(CheckError::new("services", "list at least one service"));
        }
        for service in &self.services {
            if !template.services.contains(service) {
                let problem = format!("{service} is not in template {}", self.template);
                return Err(CheckError::new("services", problem));
            }
        }
        for (name, params) in &self.calls {
            self.check_call(template, name, params)?;
        }
        self.limits.as_ref().map_or(Ok(()), check_limits)
    }

    fn check_call(
        &self,
        template: &Template,
        name: &CallType,
        params: &CallParams,
    ) -> Result<(), CheckError> {
        let Some(call) = template.calls.get(name) else {
            let problem = format!("template {} has no such call type", self.template);
            return Err(CheckError::new(format!("calls.{name}"), problem));
        };
        if let Some(urgency) = params.urgency
            && urgency < call.urgency
        {
            let problem = format!("{urgency} is above the template's {}", call.urgency);
            return Err(CheckError::new(format!("calls.{name}.urgency"), problem));
        }
        match &params.refuse {
            Some(reasons) => check_reasons(&format!("calls.{name}.refuse"), reasons),
            None => Ok(()),
        }
    }
}
