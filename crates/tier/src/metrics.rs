//! Metrics of an entry, in the OpenMetrics text format.

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
const FIRST_BUCKET: f64 = 0.001;
/// Ratio of the bounds of successive buckets.
const BUCKET_RATIO: f64 = 1.5;
/// Number of latency buckets; the last bound is about 38 s.
const BUCKETS: u16 = 27;

/// Labels of the latency of queries: service and urgency.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
    urgency: &'static str,
}

/// Label of the count of refusals: the reason.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

/// Label of the count of calls to back ends: why the call was made.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

/// Label of the number of connections: the leaf.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct LeafLabels {
    leaf: String,
}

/// The metrics of one entry and the registry that encodes them. Counters and
/// the histogram follow events; the gauges are set before each encoding.
pub(crate) struct Metrics {
    registry: Registry,
    latency: Family<ServiceLabels, Histogram>,
    shards_asked: Counter,
    shards_answered: Counter,
    complete: Counter,
    calls: Family<KindLabels, Counter>,
    refusals: Family<ReasonLabels, Counter>,
    connections: Family<LeafLabels, Gauge>,
    /// Connection limit of this entry per leaf.
    pub(crate) connection_limit: Gauge,
    /// Back ends evicted as outliers.
    pub(crate) evictions: Counter,
    /// Received objects dropped because their version is old.
    pub(crate) stale_objects: Counter,
    /// Members that are present.
    pub(crate) members: Gauge,
    /// Time since the configuration was confirmed, in milliseconds; -1 if it never
    /// was.
    pub(crate) confirmed_age: Gauge,
    /// Digest of the configuration.
    pub(crate) digest: Gauge,
    /// Bytes of membership traffic.
    pub(crate) probe_bytes: Gauge,
    /// Refusal records not yet written to the platform.
    pub(crate) pending_records: Gauge,
    /// Requests in progress.
    pub(crate) in_flight: Gauge,
    /// Processor time of the process in milliseconds.
    pub(crate) cpu: Gauge,
}

impl Metrics {
    /// Creates all metrics and registers them under the prefix `chestnut`.
    pub(crate) fn new() -> Self {
        let new_histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET, BUCKET_RATIO, BUCKETS));
        let mut metrics = Self {
            registry: Registry::with_prefix("chestnut"),
            latency: Family::new_with_constructor(new_histogram),
            shards_asked: Counter::default(),
            shards_answered: Counter::default(),
            complete: Counter::default(),
            calls: Family::default(),
            refusals: Family::default(),
            connections: Family::default(),
            connection_limit: Gauge::default(),
            evictions: Counter::default(),
            stale_objects: Counter::default(),
            members: Gauge::default(),
            confirmed_age: Gauge::default(),
            digest: Gauge::default(),
            probe_bytes: Gauge::default(),
            pending_records: Gauge::default(),
            in_flight: Gauge::default(),
            cpu: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Registers each metric with its name and help text.
    fn register(&mut self) {
        let r = &mut self.registry;
        let latency = self.latency.clone();
        r.register("latency_seconds", "Time to answer a query", latency);
        r.register("shards_asked", "Shards asked", self.shards_asked.clone());
        r.register(
            "shards_answered",
            "Shards answered",
            self.shards_answered.clone(),
        );
        r.register(
            "answers_whole",
            "Answers that cover all",
            self.complete.clone(),
        );
        r.register("calls", "Calls to back ends by kind", self.calls.clone());
        r.register("refusals", "Refusals by reason", self.refusals.clone());
        let connections = self.connections.clone();
        r.register("connections", "Connections to a leaf", connections);
        r.register(
            "connections_share",
            "Most connections to a leaf",
            self.connection_limit.clone(),
        );
        r.register("evictions", "Back ends evicted", self.evictions.clone());
        r.register(
            "conf_stale",
            "Old versions dropped",
            self.stale_objects.clone(),
        );
        r.register("members", "Members present", self.members.clone());
        r.register(
            "conf_confirmed_ms",
            "Age of confirmation",
            self.confirmed_age.clone(),
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
            self.pending_records.clone(),
        );
        r.register("in_flight", "Requests that run", self.in_flight.clone());
        r.register("cpu_ms", "Processor time of the process", self.cpu.clone());
    }

    /// Records an answered query: its latency `span`, its shards asked and
    /// answered, and whether the answer is complete.
    pub(crate) fn observe_answer(
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
        self.shards_asked.inc_by(coverage.asked as u64);
        self.shards_answered.inc_by(coverage.answered as u64);
        if coverage.is_complete() {
            self.complete.inc();
        }
    }

    /// Counts a call to a back end under its kind.
    pub(crate) fn count_call(&self, kind: CallKind) {
        let labels = KindLabels {
            kind: kind.as_str(),
        };
        self.calls.get_or_create(&labels).inc();
    }

    /// Counts a refusal under its reason.
    pub(crate) fn count_refusal(&self, reason: Reason) {
        let labels = ReasonLabels {
            reason: reason.as_str(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Sets the number of open connections to a leaf.
    pub(crate) fn set_connections(&self, leaf: String, open: usize) {
        let labels = LeafLabels { leaf };
        self.connections.get_or_create(&labels).set(open as i64);
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a String cannot fail");
        text
    }
}

/// Processor time used by the process in milliseconds, read from
/// `/proc/self/stat`; zero if that can't be read.
pub(crate) fn cpu_ms() -> i64 {
    /// Length of a clock tick in that file (`USER_HZ` is 100).
    const TICK_MS: i64 = 10;
    /// Indices of user and system time among the fields after the process name.
    const CPU_FIELDS: [usize; 2] = [11, 12];
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = CPU_FIELDS.map(|at| fields.get(at).and_then(|f| f.parse::<i64>().ok()));
    ticks.into_iter().flatten().sum::<i64>() * TICK_MS
}
