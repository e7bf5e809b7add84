//! Makes refusals: receipt, record, log line and count in one place.

use std::time::Duration;

use chestnut_audit::{Receipt, Record};
use chestnut_conf::OrgPolicy;
use chestnut_unit::{CallType, OrgName, Reason, RequestId, Run, ServiceName};
use rand::Rng;
use slog::info;

use crate::{
    api::Refused,
    shared::{Shared, lock},
};

/// What a request that may be refused is about.
#[derive(Clone, Debug, Default)]
pub(crate) struct Subject {
    pub(crate) request: RequestId,
    pub(crate) organisation: Option<OrgName>,
    pub(crate) service: Option<ServiceName>,
    pub(crate) call: Option<CallType>,
    pub(crate) versions: (u64, u64),
}

impl Subject {
    /// Notes the versions of the settings that decide on the request.
    pub(crate) fn under(&mut self, policy: &OrgPolicy) {
        self.versions = (policy.template, policy.organisation);
    }
}

/// Why a request is refused.
pub(crate) struct Why {
    pub(crate) reason: Reason,
    pub(crate) run: Run,
    pub(crate) detail: String,
    pub(crate) after: Option<Duration>,
}

impl Why {
    /// A refusal before anything was sent.
    pub(crate) fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            run: Run::NotRun,
            detail: detail.into(),
            after: None,
        }
    }

    pub(crate) fn run(mut self, run: Run) -> Self {
        self.run = run;
        self
    }

    pub(crate) fn after(mut self, after: Duration) -> Self {
        self.after = Some(after);
        self
    }
}

/// Time after which callers are asked back when a fault, not load, is the
/// cause: routing has changed by then.
const FAULT_BACK: Duration = Duration::from_millis(200);

/// When to come back after a refusal that states no time of its own: at random
/// around a fixed time, so that callers refused together don't return
/// together. `None` if the same request would be refused again.
fn come_back(reason: Reason, rng: &mut dyn Rng) -> Option<Duration> {
    match reason {
        Reason::BadRequest
        | Reason::UnknownOrg
        | Reason::ServiceClosed
        | Reason::CallUnknown
        | Reason::BadTicket
        | Reason::FateUnknown
        | Reason::KeeperGone => None,
        _ => {
            let spread = 0.5 + rng.next_u64() as f64 / u64::MAX as f64;
            Some(FAULT_BACK.mul_f64(spread))
        }
    }
}

/// Refuses a request.
pub(crate) fn refuse(shared: &Shared, subject: &Subject, why: Why) -> Refused {
    let wall = shared.host.clock.wall();
    let receipt = Receipt {
        entry: shared.own.id.clone(),
        request: subject.request,
        at: wall,
        reason: why.reason,
        run: why.run,
        org_version: subject.versions.1,
        template_version: subject.versions.0,
        organisation: subject.organisation.clone(),
        service: subject.service.clone(),
        call: subject.call.clone(),
    };
    let text = receipt.encode(&shared.check);
    info!(shared.host.log, "refuse: {}", why.reason;
        "request" => subject.request.0, "run" => why.run.as_str(), "why" => &why.detail,
        "organisation" => subject.organisation.as_ref().map_or("-", OrgName::as_str));
    shared.metrics.count_refusal(why.reason);
    let record = Record {
        receipt: text.clone(),
        detail: why.detail.clone(),
    };
    lock(&shared.journal).add(why.reason, record, wall);
    Refused {
        receipt: text,
        reason: why.reason,
        detail: why.detail,
        run: why.run,
        after: why
            .after
            .or_else(|| come_back(why.reason, &mut shared.rng())),
        entries: shared.other_entries(),
    }
}
