//! Metrics, in the text form that Prometheus reads.

use std::time::Duration;

use chestnut_route::CallKind;
use chestnut_unit::{Coverage, Reason, ServiceName, Urgency};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// Upper bound of the first latency bucket, in seconds.
const BUCKET_FIRST: f64 = 0.001;
/// Ratio of one bucket's bound to the one before.
const BUCKET_RATIO: f64 = 1.5;
/// Buckets: the last bound is about 38 s.
const BUCKETS: u16 = 27;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
    urgency: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct LeafLabels {
    leaf: String,
}

/// The metrics of one entry.
pub(crate) struct Metrics {
    registry: Registry,
    latency: Family<ServiceLabels, Histogram>,
    asked: Counter,
    answered: Counter,
    whole: Counter,
    calls: Family<KindLabels, Counter>,
    refusals: Family<ReasonLabels, Counter>,
    connections: Family<LeafLabels, Gauge>,
    pub(crate) share: Gauge,
    pub(crate) evictions: Counter,
    pub(crate) stale: Counter,
    pub(crate) members: Gauge,
    pub(crate) confirmed: Gauge,
    pub(crate) digest: Gauge,
    pub(crate) probe_bytes: Gauge,
    pub(crate) records: Gauge,
    pub(crate) in_flight: Gauge,
    pub(crate) cpu: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let new_histogram =
            || Histogram::new(exponential_buckets(BUCKET_FIRST, BUCKET_RATIO, BUCKETS));
        let mut metrics = Self {
            registry: Registry::with_prefix("chestnut"),
            latency: Family::new_with_constructor(new_histogram),
            asked: Counter::default(),
            answered: Counter::default(),
            whole: Counter::default(),
            calls: Family::default(),
            refusals: Family::default(),
            connections: Family::default(),
            share: Gauge::default(),
            evictions: Counter::default(),
            stale: Counter::default(),
            members: Gauge::default(),
            confirmed: Gauge::default(),
            digest: Gauge::default(),
            probe_bytes: Gauge::default(),
            records: Gauge::default(),
            in_flight: Gauge::default(),
            cpu: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        let latency = self.latency.clone();
        r.register("latency_seconds", "Time to answer a query", latency);
        r.register("shards_asked", "Shards asked", self.asked.clone());
        r.register("shards_answered", "Shards answered", self.answered.clone());
        r.register(
            "answers_whole",
            "Answers that cover all",
            self.whole.clone(),
        );
        r.register("calls", "Calls to back ends by kind", self.calls.clone());
        r.register("refusals", "Refusals by reason", self.refusals.clone());
        let connections = self.connections.clone();
        r.register("connections", "Connections to a leaf", connections);
        r.register(
            "connections_share",
            "Most connections to a leaf",
            self.share.clone(),
        );
        r.register("evictions", "Back ends evicted", self.evictions.clone());
        r.register("conf_stale", "Old versions dropped", self.stale.clone());
        r.register("members", "Members present", self.members.clone());
        r.register(
            "conf_confirmed_ms",
            "Age of confirmation",
            self.confirmed.clone(),
        );
        r.register("conf_digest", "Digest of settings", self.digest.clone());
        r.register(
            "probe_bytes",
            "Membership traffic",
            self.probe_bytes.clone(),
        );
        r.register(
            "records_waiting",
            "Refusal records waiting",
            self.records.clone(),
        );
        r.register("in_flight", "Requests that run", self.in_flight.clone());
        r.register("cpu_ms", "Processor time of the process", self.cpu.clone());
    }

    pub(crate) fn observe(
        &self,
        service: &ServiceName,
        urgency: Urgency,
        span: Duration,
        coverage: &Coverage,
    ) {
        let labels = ServiceLabels {
            service: service.to_string(),
            urgency: urgency.as_str(),
        };
        self.latency
            .get_or_create(&labels)
            .observe(span.as_secs_f64());
        self.asked.inc_by(coverage.asked as u64);
        self.answered.inc_by(coverage.answered as u64);
        if coverage.is_complete() {
            self.whole.inc();
        }
    }

    pub(crate) fn count_call(&self, kind: CallKind) {
        let labels = KindLabels {
            kind: kind.as_str(),
        };
        self.calls.get_or_create(&labels).inc();
    }

    pub(crate) fn count_refusal(&self, reason: Reason) {
        let labels = ReasonLabels {
            reason: reason.as_str(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    pub(crate) fn set_connections(&self, leaf: String, open: usize) {
        let labels = LeafLabels { leaf };
        self.connections.get_or_create(&labels).set(open as i64);
    }

    /// All metrics as text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}

/// Milliseconds of processor time that the process has used, as the system
/// counts it; zero where it can't be read.
pub(crate) fn cpu_ms() -> i64 {
    /// Length of a tick of the system's accounts.
    const TICK_MS: i64 = 10;
    /// User and system time, counted after the name in parentheses.
    const FIELDS: [usize; 2] = [11, 12];
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = FIELDS.map(|at| fields.get(at).and_then(|f| f.parse::<i64>().ok()));
    ticks.into_iter().flatten().sum::<i64>() * TICK_MS
}
