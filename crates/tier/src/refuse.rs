//! Builds refusals: the receipt, its record, the log line and the metric.
//!
//! A receipt is a text with a keyed check value that identifies a refusal; its
//! record is stored on the platform.

use std::time::Duration;

use chestnut_audit::{Receipt, Record};
use chestnut_conf::OrgPolicy;
use chestnut_unit::{CallType, Execution, OrgName, Reason, RequestId, ServiceName};
use rand::Rng;
use slog::info;

use crate::{
    api::Refusal,
    shared::{Shared, lock},
};

/// The attributes of a request that go into its receipt if it is refused: its
/// id, its organisation, service and call type if known, and the versions of
/// its settings.
#[derive(Clone, Debug, Default)]
pub(crate) struct Subject {
    pub(crate) request: RequestId,
    pub(crate) organisation: Option<OrgName>,
    pub(crate) service: Option<ServiceName>,
    pub(crate) call: Option<CallType>,
    /// Versions of the template and of the organisation, 0 if unknown.
    pub(crate) versions: (u64, u64),
}

impl Subject {
    /// Records the versions of the template and organisation that apply.
    pub(crate) fn set_versions(&mut self, policy: &OrgPolicy) {
        self.versions = (policy.template, policy.organisation);
    }
}

/// Why a request is refused, before its receipt is made: the reason, how much
/// of the request was run, a detail for people and the retry delay.
pub(crate) struct RefusalCause {
    pub(crate) reason: Reason,
    pub(crate) execution: Execution,
    pub(crate) detail: String,
    /// Time after which the caller may retry; `None` for the default of the
    /// reason.
    pub(crate) retry_after: Option<Duration>,
}

impl RefusalCause {
    /// Creates the cause of refusing a request of which nothing was sent.
    pub(crate) fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            execution: Execution::NotRun,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets how much of the request may have run.
    pub(crate) fn execution(mut self, execution: Execution) -> Self {
        self.execution = execution;
        self
    }

    /// Sets the time after which the caller may retry.
    pub(crate) fn after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

/// Mean retry delay of a refusal that sets none, if a retry may help. After a
/// fault, it gives routing time to avoid the faulty back end.
const FAULT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The retry delay of a refusal that sets none, with jitter so that callers
/// don't retry in step. `None` if the same request would be refused again.
fn default_retry_delay(reason: Reason, rng: &mut dyn Rng) -> Option<Duration> {
    match reason {
        Reason::BadRequest
        | Reason::UnknownOrg
        | Reason::ServiceClosed
        | Reason::CallUnknown
        | Reason::BadTicket
        | Reason::FateUnknown
        | Reason::KeeperGone => None,
        _ => {
            let jitter = 0.5 + rng.next_u64() as f64 / u64::MAX as f64;
            Some(FAULT_RETRY_DELAY.mul_f64(jitter))
        }
    }
}

/// Makes the receipt of a refusal, logs and counts it, queues its record for
/// the platform, and returns the refusal with a retry delay and other entries
/// to try.
pub(crate) fn refuse(shared: &Shared, subject: &Subject, cause: RefusalCause) -> Refusal {
    let wall = shared.runtime.clock.wall();
    let receipt = Receipt {
        entry: shared.own.id.clone(),
        request: subject.request,
        at: wall,
        reason: cause.reason,
        run: cause.execution,
        org_version: subject.versions.1,
        template_version: subject.versions.0,
        organisation: subject.organisation.clone(),
        service: subject.service.clone(),
        call: subject.call.clone(),
    };
    let text = receipt.encode(&shared.mac_key);
    info!(shared.runtime.log, "refuse: {}", cause.reason;
        "request" => subject.request.0, "run" => cause.execution.as_str(), "why" => &cause.detail,
        "organisation" => subject.organisation.as_ref().map_or("-", OrgName::as_str));
    shared.metrics.count_refusal(cause.reason);
    let record = Record {
        receipt: text.clone(),
        detail: cause.detail.clone(),
    };
    lock(&shared.refusal_log).add(cause.reason, record, wall);
    Refusal {
        receipt: text,
        reason: cause.reason,
        detail: cause.detail,
        execution: cause.execution,
        retry_after: cause
            .retry_after
            .or_else(|| default_retry_delay(cause.reason, &mut shared.rng())),
        entries: shared.other_entries(),
    }
}
